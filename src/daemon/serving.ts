import type { Refusal } from '../core/refusals.js';
import { fail, ok } from '../core/result.js';
import type { Result } from '../core/result.js';
import { sleep } from '../core/time.js';
import type { Answer, AnswerEvent, GenerateRequest } from './api.js';
import { Run } from './run.js';
import type { RunContext } from './run.js';

/** Options of {@link Serving}. */
export interface ServingOptions extends RunContext {
  /** Time after a caller's disconnect during which the engine goes on, in ms. */
  readonly resumeWindowMs: number;
}

interface Session {
  readonly run: Run;
  /** Set when the stream was given to another entry on a planned stop. */
  handedOver: boolean;
}

/** Serves generation requests and keeps the running answers of this entry. */
export class Serving {
  private readonly sessions = new Set<Session>();

  private handedOverCount = 0;

  public constructor(private readonly options: ServingOptions) {}

  /** Number of answers that are being read. */
  public get active(): number {
    return this.sessions.size;
  }

  /** Answers handed over to other entries so far. */
  public get handedOver(): number {
    return this.handedOverCount;
  }

  /** Runs a new request; success means that the first event has arrived. */
  public async generate(request: GenerateRequest): Promise<Result<Answer, Refusal>> {
    const started = this.options.clock.monotonic();
    const run = await Run.start(this.options, request);
    if (!run.success) return run;
    const answer = await this.open(run.data);
    if (answer.success) {
      const priority: string = request.priority;
      this.options.meter.record('first_token_ms', this.options.clock.monotonic() - started, { priority });
    }
    return answer;
  }

  /** Continues an answer that any entry has started. */
  public async resume(eventId: string): Promise<Result<Answer, Refusal>> {
    const position = this.options.signer.safeParse(eventId);
    if (!position.success) return fail({ code: 'invalid_event_id' });
    const run = await Run.resume(this.options, position.data.ticket, position.data.index);
    return run.success ? this.open(run.data) : run;
  }

  /** Moves the running answers off an engine that is leaving. */
  public evacuate(engine: string): void {
    for (const { run } of this.sessions) {
      if (run.engineName === engine) run.evacuate();
    }
  }

  /** Running answers on an engine. */
  public activeOn(engine: string): number {
    return [...this.sessions].filter(({ run }) => run.engineName === engine).length;
  }

  /** Ends all running answers with a resumable event id; the engines go on generating. */
  public handOverAll(): void {
    for (const session of this.sessions) {
      session.handedOver = true;
      this.handedOverCount += 1;
      session.run.detach();
    }
  }

  /** Facts for the dump. */
  public dump(): Record<string, unknown> {
    return { active: this.active, runs: [...this.sessions].map(({ run }) => run.describe()) };
  }

  private async open(run: Run): Promise<Result<Answer, Refusal>> {
    const first = await run.next();
    if (first === null) return fail({ code: 'stream_lost' });
    if (first.type === 'interrupted') return fail(first.refusal);
    const session: Session = { run, handedOver: false };
    this.sessions.add(session);
    let closed = false;
    const close = (): void => {
      if (closed) return;
      closed = true;
      if (!this.sessions.delete(session)) return;
      run.detach();
      void this.cancelAfterWindow(run);
    };
    return ok({ requestId: run.requestId, events: this.read(session, first), close });
  }

  private async* read(session: Session, first: AnswerEvent): AsyncIterable<AnswerEvent> {
    const { run } = session;
    let event: AnswerEvent | null = first;
    while (event !== null) {
      // A finished run no longer needs a cancellation when its reader goes away.
      if (event.type !== 'token') this.sessions.delete(session);
      yield event;
      event = await run.next();
    }
    if (session.handedOver) yield { type: 'interrupted', resumable: true, refusal: { code: 'draining' } };
    this.sessions.delete(session);
  }

  private async cancelAfterWindow(run: Run): Promise<void> {
    await sleep(this.options.clock, this.options.resumeWindowMs);
    await run.cancel();
  }
}
