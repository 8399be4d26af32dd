import type { Draining } from '../core/membership/index.js';
import type { Disposable } from '../core/interfaces/index.js';
import type { Refusal } from '../core/refusals.js';
import { fail, ok } from '../core/result.js';
import type { Result } from '../core/result.js';
import { sleep } from '../core/time.js';
import type { Answer, AnswerEvent, GenerateRequest } from './api.js';
import { Run } from './run.js';
import type { RunContext } from './run.js';

/** Options of {@link Serving}. */
export interface ServingOptions extends RunContext {
  readonly draining: Draining;
  /** Time after a caller's disconnect during which the engine goes on, in ms. */
  readonly resumeWindowMs: number;
}

/** Running answer with its place in the planned stop. */
class Session {
  public tracked: Disposable | null = null;

  /** True once the caller can continue elsewhere, because it has received an event id. */
  public delivered = false;

  public handingOver = false;

  private confirm: () => void = () => {};

  public constructor(public readonly run: Run) {}

  /** Ends the stream with a resumable event id; resolves to true once the caller has been told. */
  public async handOver(): Promise<boolean> {
    if (!this.delivered) return false;
    const told = new Promise<void>((resolve) => {
      this.confirm = resolve;
    });
    this.handingOver = true;
    this.run.detach();
    await told;
    return true;
  }

  public handedOver(): void {
    this.confirm();
  }
}

/** Serves generation requests and keeps the running answers of this entry. */
export class Serving {
  private readonly sessions = new Set<Session>();

  public constructor(private readonly options: ServingOptions) {}

  /** Number of requests that are queued or running here. */
  public get active(): number {
    return this.sessions.size;
  }

  /** Runs a new request; success means that the first event has arrived. */
  public async generate(request: GenerateRequest): Promise<Result<Answer, Refusal>> {
    const { clock, meter } = this.options;
    const startedAt = clock.monotonic();
    const answer = await this.admit(Run.create(this.options, request), startedAt + request.deadlineMs);
    if (answer.success) meter.record('first_token_ms', clock.monotonic() - startedAt, { priority: request.priority });
    return answer;
  }

  /** Continues an answer that any entry has started. */
  public async resume(eventId: string): Promise<Result<Answer, Refusal>> {
    const position = this.options.signer.safeParse(eventId);
    if (!position.success) return fail({ code: 'invalid_event_id' });
    const { ticket, index } = position.data;
    return this.admit(Run.continue(this.options, ticket, index), Infinity);
  }

  /** Moves the running answers off an engine that is leaving or about to change. */
  public evacuate(engine: string): void {
    for (const { run } of this.sessions) {
      if (run.engineName === engine) run.evacuate();
    }
  }

  /** Requests of this entry on an engine, from their placement on. */
  public activeOn(engine: string): number {
    return [...this.sessions].filter(({ run }) => run.uses(engine)).length;
  }

  /** Facts for the dump. */
  public dump(): Record<string, unknown> {
    return {
      active: this.active,
      runs: [...this.sessions].map(({ run }) => run.describe()),
    };
  }

  private async admit(run: Run, deadline: number): Promise<Result<Answer, Refusal>> {
    const session = new Session(run);
    session.tracked = this.options.draining.trackRequest({ handOver: () => session.handOver(), deadline });
    if (session.tracked === null) return fail({ code: 'draining' });
    this.sessions.add(session);
    const refusal = await run.start();
    const first = refusal === null ? await run.next() : null;
    if (first !== null && first.type !== 'interrupted') return ok(this.answer(session, first));
    this.end(session);
    return fail(refusal ?? first?.refusal ?? { code: 'stream_lost' });
  }

  private answer(session: Session, first: AnswerEvent): Answer {
    const { run } = session;
    session.delivered = true;
    const close = (): void => {
      if (!this.end(session)) return;
      run.detach();
      void this.cancelAfterWindow(run);
    };
    return { requestId: run.requestId, events: this.read(session, first), close };
  }

  private async* read(session: Session, first: AnswerEvent): AsyncIterable<AnswerEvent> {
    const { run } = session;
    let event: AnswerEvent | null = first;
    while (event !== null) {
      // A finished run needs no cancellation when its reader goes away.
      if (event.type !== 'token') this.end(session);
      yield event;
      event = await run.next();
    }
    if (!session.handingOver) return;
    try {
      yield { type: 'interrupted', resumable: true, refusal: { code: 'draining' } };
    } finally {
      session.handedOver();
      this.end(session);
    }
  }

  /** Forgets a session; false if that has happened before. */
  private end(session: Session): boolean {
    session.tracked?.dispose();
    return this.sessions.delete(session);
  }

  private async cancelAfterWindow(run: Run): Promise<void> {
    await sleep(this.options.clock, this.options.resumeWindowMs);
    await run.cancel();
  }
}
