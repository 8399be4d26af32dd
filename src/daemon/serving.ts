import type { Draining } from '../core/membership/index.js';
import type { Disposable } from '../core/interfaces/index.js';
import type { Refusal } from '../core/refusals.js';
import { fail, ok } from '../core/result.js';
import type { Result } from '../core/result.js';
import { sleep } from '../core/time.js';
import type { Answer, AnswerEvent, GenerateRequest } from './api.js';
import { GenerationRun } from './generationrun.js';
import type { GenerationRunContext } from './generationrun.js';

/** Options of {@link Serving}. */
export interface ServingOptions extends GenerationRunContext {
  readonly draining: Draining;
  /** Time in ms for which the engine continues after a caller disconnects. */
  readonly resumeWindowMs: number;
}

/** Running answer, as the planned stop tracks it. */
class Session {
  public drainRegistration: Disposable | null = null;

  /** Whether the caller can resume at another entry, because it has an event id. */
  public isResumable = false;

  public isHandingOver = false;

  private resolveHandOver: () => void = () => {};

  public constructor(public readonly run: GenerationRun) {}

  /**
   * Ends the stream so that the caller can resume it at another entry. Resolves to true after the caller was notified,
   * and to false if it cannot resume.
   */
  public async handOver(): Promise<boolean> {
    if (!this.isResumable) return false;
    const confirmed = new Promise<void>((resolve) => {
      this.resolveHandOver = resolve;
    });
    this.isHandingOver = true;
    this.run.detach();
    await confirmed;
    return true;
  }

  public confirmHandOver(): void {
    this.resolveHandOver();
  }
}

/** Serves generation requests and tracks the running answers of this entry. */
export class Serving {
  private readonly sessions = new Set<Session>();

  public constructor(private readonly options: ServingOptions) {}

  /** Number of requests that are queued or running at this entry. */
  public get active(): number {
    return this.sessions.size;
  }

  /** Runs a new request; success means that the first event has arrived. */
  public async generate(request: GenerateRequest): Promise<Result<Answer, Refusal>> {
    const { clock, meter } = this.options;
    const startedAt = clock.monotonic();
    const answer = await this.startSession(GenerationRun.create(this.options, request), startedAt + request.deadlineMs);
    if (answer.success) meter.record('first_token_ms', clock.monotonic() - startedAt, { priority: request.priority });
    return answer;
  }

  /** Continues an answer that any entry started. */
  public async resume(eventId: string): Promise<Result<Answer, Refusal>> {
    const position = this.options.signer.safeParse(eventId);
    if (!position.success) return fail({ code: 'invalid_event_id' });
    const { ticket, index } = position.data;
    return this.startSession(GenerationRun.continue(this.options, ticket, index), Infinity);
  }

  /** Moves running answers away from an engine that is leaving or will be changed. */
  public evacuate(engine: string): void {
    for (const { run } of this.sessions) {
      if (run.engineName === engine) run.evacuate();
    }
  }

  /** Number of this entry's requests on an engine; a request counts from its placement. */
  public activeOn(engine: string): number {
    return [...this.sessions].filter(({ run }) => run.uses(engine)).length;
  }

  /** State for the dump. */
  public dump(): Record<string, unknown> {
    return {
      active: this.active,
      runs: [...this.sessions].map(({ run }) => run.describe()),
    };
  }

  private async startSession(run: GenerationRun, deadline: number): Promise<Result<Answer, Refusal>> {
    const session = new Session(run);
    session.drainRegistration = this.options.draining.trackRequest({ handOver: () => session.handOver(), deadline });
    if (session.drainRegistration === null) return fail({ code: 'draining' });
    this.sessions.add(session);
    const refusal = await run.start();
    const first = refusal === null ? await run.next() : null;
    if (first !== null && first.type !== 'interrupted') return ok(this.createAnswer(session, first));
    this.removeSession(session);
    return fail(refusal ?? first?.refusal ?? { code: 'stream_lost' });
  }

  private createAnswer(session: Session, first: AnswerEvent): Answer {
    const { run } = session;
    session.isResumable = true;
    const close = (): void => {
      if (!this.removeSession(session)) return;
      run.detach();
      void this.cancelAfterWindow(run);
    };
    return { requestId: run.requestId, events: this.readEvents(session, first), close };
  }

  private async* readEvents(session: Session, first: AnswerEvent): AsyncIterable<AnswerEvent> {
    const { run } = session;
    let event: AnswerEvent | null = first;
    while (event !== null) {
      // A finished run needs no cancellation when the caller disconnects.
      if (event.type !== 'token') this.removeSession(session);
      yield event;
      event = await run.next();
    }
    if (!session.isHandingOver) return;
    try {
      yield { type: 'interrupted', resumable: true, refusal: { code: 'draining' } };
    } finally {
      session.confirmHandOver();
      this.removeSession(session);
    }
  }

  /** Removes a session; false if it was removed before. */
  private removeSession(session: Session): boolean {
    session.drainRegistration?.dispose();
    return this.sessions.delete(session);
  }

  private async cancelAfterWindow(run: GenerationRun): Promise<void> {
    await sleep(this.options.clock, this.options.resumeWindowMs);
    await run.cancel();
  }
}
