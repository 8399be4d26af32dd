import { EngineErrorCode } from '../core/interfaces/index.js';
import type {
  CacheHandle, Engine, EngineError, EngineEvent, GenerateCall, Log, Meter,
} from '../core/interfaces/index.js';
import type { DispatchHandle, Dispatcher } from '../core/admission/index.js';
import { AttemptOutcome, EventAction, StreamAssembler } from '../core/serving/index.js';
import type {
  Placement, AdmissionRefusal, WorkItem, StreamTicket, TicketSigner,
} from '../core/serving/index.js';
import { prefixBlocks } from '../core/routing/index.js';
import { RanStatus } from '../core/refusals.js';
import type { Refusal } from '../core/refusals.js';
import { fail, ok } from '../core/result.js';
import type { Result } from '../core/result.js';
import { sleep } from '../core/time.js';
import { estimateTokens } from '../core/tokens.js';
import type { AnswerEvent, GenerateRequest } from './api.js';
import { ACCEPT_TIMEOUT_MS, startAttempt } from './attempt.js';
import type { AttemptContext } from './attempt.js';
import { EngineReader } from './enginereader.js';

/** Dependencies of a {@link GenerationRun}. */
export interface GenerationRunContext extends AttemptContext {
  readonly log: Log;
  readonly meter: Meter;
  readonly dispatcher: Dispatcher;
  readonly signer: TicketSigner;
  /** Takes a retry from the retry budget and waits for its backoff; false if none is left. `attempt` starts at 1. */
  readonly takeRetry: (attempt: number, deadline: number) => Promise<boolean>;
  /** Weight of a workspace in the fleet file. */
  readonly weightOf: (workspace: string) => number;
  /** Records a successful request in the retry budget. */
  readonly recordSuccess: () => void;
}

/** A stream that sends no token for this long is reopened, or moved to another engine. */
const STALL_TIMEOUT_MS = 10_000;
/** Interval between tries to resume a stream that its engine may not have started yet. */
const RESUME_RETRY_INTERVAL_MS = 50;
const MAX_RESUME_TRIES = 10;
/** A request fails after this many failed attempts. */
const MAX_ATTEMPTS = 4;

/** Open stream of an engine, with the ticket that its event ids carry. */
interface EngineStream {
  readonly engine: Engine;
  readonly attemptId: string;
  readonly ticket: string;
  readonly reader: EngineReader;
  readonly assembler: StreamAssembler;
}

/** What a run starts from: a new request, or the ticket of a stream that any entry started. */
type RunOrigin =
  | { readonly request: GenerateRequest; readonly workspace: string; readonly ticket: null }
  | { readonly request: null; readonly workspace: string; readonly ticket: StreamTicket };

/** Runs one request from admission to its last token; moves it to another engine if its engine fails or leaves. */
export class GenerationRun {
  private stream: EngineStream | null = null;

  private dispatchHandle: DispatchHandle | null = null;

  /** Placement of the current attempt. */
  private placement: Placement | null = null;

  private deliveredText = '';

  private nextIndex: number;

  /** Next index at which the stream was last reopened. Without progress since then, it is not reopened again. */
  private lastReopenIndex = -1;

  private attempts = 0;

  private finished = false;

  private evacuating = false;

  private readonly avoidedEngines = new Set<string>();

  private constructor(
    private readonly context: GenerationRunContext,
    public readonly requestId: string,
    private readonly origin: RunOrigin,
    firstIndex: number,
    private readonly deadline: number,
  ) {
    this.nextIndex = firstIndex;
  }

  private get request(): GenerateRequest | null {
    return this.origin.request;
  }

  /** Creates the run of a new request. */
  public static create(context: GenerationRunContext, request: GenerateRequest): GenerationRun {
    const deadline = context.clock.monotonic() + request.deadlineMs;
    return new GenerationRun(context, context.random.id(), {
      request, workspace: request.workspace, ticket: null,
    }, 0, deadline);
  }

  /** Creates a run that continues a stream after the token at `lastIndex`; any entry may have started it. */
  public static continue(context: GenerationRunContext, ticket: StreamTicket, lastIndex: number): GenerationRun {
    const { requestId, workspace } = ticket;
    return new GenerationRun(context, requestId, { request: null, workspace, ticket }, lastIndex + 1, Infinity);
  }

  /** Places a new request, or resumes the stream of the ticket. Resolves to a refusal if that fails. */
  public start(): Promise<Refusal | null> {
    const { ticket } = this.origin;
    return ticket === null ? this.placeAndStart(null) : this.resumeStream(ticket);
  }

  /** Name of the engine whose stream the run reads. */
  public get engineName(): string | null {
    return this.stream?.engine.name ?? null;
  }

  /** Whether this run has a request on the engine; a prefill counts until its KV cache was exported. */
  public uses(engine: string): boolean {
    return this.engineName === engine || this.placement?.engine === engine || this.placement?.prefill === engine;
  }

  /** State for the dump. */
  public describe(): Record<string, unknown> {
    return {
      request: this.requestId,
      workspace: this.origin.workspace,
      engine: this.engineName,
      nextIndex: this.nextIndex,
      attempts: this.attempts,
      dropped: this.stream?.assembler.dropped ?? 0,
    };
  }

  /** Makes the run move to another engine with its KV cache. A resumed run stays, as it does not have the prompt. */
  public evacuate(): void {
    if (this.request === null || this.stream === null || this.evacuating) return;
    this.evacuating = true;
    this.stream.reader.stop();
  }

  /** Next event for the caller, or `null` after the end. */
  public async next(): Promise<AnswerEvent | null> {
    while (!this.finished) {
      const { stream } = this;
      const event = stream === null ? null : await stream.reader.next(this.waitLimitMs());
      if (this.finished) return null;
      if (stream === null || event === null) {
        const refusal = await this.recover();
        if (refusal !== null) return this.interrupt(refusal);
        continue;
      }
      const verdict = stream.assembler.accept(event);
      if (verdict === EventAction.Deliver) return this.deliver(stream, event);
      if (verdict === EventAction.Gap) stream.reader.stop();
      else this.context.meter.count('stream_events_dropped_total');
    }
    return null;
  }

  /** Ends the run but leaves the engine's stream running until {@link cancel}. */
  public detach(): void {
    this.finished = true;
    this.stream?.reader.stop();
  }

  /** Ends the run and cancels the engine's stream, unless another entry has resumed it since. */
  public async cancel(): Promise<void> {
    this.detach();
    const { stream } = this;
    this.finishAttempt(AttemptOutcome.Cancelled);
    if (stream === null) return;
    await stream.engine.cancel(this.requestId, stream.attemptId, { timeoutMs: ACCEPT_TIMEOUT_MS });
  }

  private async resumeStream(ticket: StreamTicket): Promise<Refusal | null> {
    const engine = this.context.engine(ticket.engine);
    if (engine === undefined) return { code: 'stream_lost' };
    for (let poll = 0; poll < MAX_RESUME_TRIES; poll += 1) {
      const error = await this.reopenStream(engine, ticket.attemptId);
      if (error === null) return null;
      if (error.code !== EngineErrorCode.NotFound && error.code !== EngineErrorCode.NotSent) break;
      await sleep(this.context.clock, RESUME_RETRY_INTERVAL_MS);
    }
    return { code: 'stream_lost' };
  }

  private deliver(stream: EngineStream, event: EngineEvent): AnswerEvent {
    if (event.type === 'end') {
      this.finished = true;
      this.finishAttempt(AttemptOutcome.Done);
      this.context.recordSuccess();
      const { index, reason, promptTokens } = event;
      return {
        type: 'end', eventId: `${stream.ticket}.${index}`, reason, promptTokens, outputTokens: index,
      };
    }
    if (this.nextIndex === 0) this.dispatchHandle?.reportFirstToken();
    this.nextIndex = event.index + 1;
    this.dispatchHandle?.reportProgress(this.nextIndex);
    if (this.request !== null) this.deliveredText += event.text;
    return {
      type: 'token', eventId: `${stream.ticket}.${event.index}`, index: event.index, text: event.text,
    };
  }

  private interrupt(refusal: Refusal): AnswerEvent {
    this.finished = true;
    this.finishAttempt(AttemptOutcome.Failed);
    return { type: 'interrupted', resumable: false, refusal };
  }

  private waitLimitMs(): number {
    const { clock } = this.context;
    return this.nextIndex > 0 ? STALL_TIMEOUT_MS : Math.max(1, this.deadline - clock.monotonic());
  }

  /** Reopens the stream at its engine, or moves the request to another engine. */
  private async recover(): Promise<Refusal | null> {
    const { stream } = this;
    if (this.nextIndex === 0 && this.context.clock.monotonic() >= this.deadline) {
      await this.cancel();
      return { code: 'deadline_exceeded', ran: RanStatus.Yes };
    }
    if (stream !== null && !this.evacuating && this.lastReopenIndex !== this.nextIndex) {
      this.lastReopenIndex = this.nextIndex;
      if (await this.reopenStream(stream.engine, stream.attemptId) === null) return null;
    }
    if (this.request === null) return { code: 'stream_lost' };
    const cacheHandle = await this.leaveStream();
    this.context.meter.count('stream_moves_total');
    return this.placeAndStart(cacheHandle);
  }

  /** Leaves the current engine; resolves to a handle of the exported KV cache if the run is being evacuated. */
  private async leaveStream(): Promise<CacheHandle | null> {
    const { stream, evacuating } = this;
    this.stream = null;
    this.evacuating = false;
    this.finishAttempt(AttemptOutcome.Failed);
    if (stream === null) return null;
    this.avoidedEngines.add(stream.engine.name);
    const opts = { timeoutMs: ACCEPT_TIMEOUT_MS };
    if (evacuating) {
      const exported = await stream.engine.exportCache(this.requestId, stream.attemptId, opts);
      if (exported.success) return exported.data;
    }
    void stream.engine.cancel(this.requestId, stream.attemptId, opts);
    return null;
  }

  /** Waits for an engine and starts the request there; retries within the retry budget and the deadline. */
  private async placeAndStart(cache: CacheHandle | null): Promise<Refusal | null> {
    for (;;) {
      const placed = await this.waitForPlacement();
      if (!placed.success) return placed.error;
      this.placement = placed.data;
      const call = (attemptId: string, extras: Partial<GenerateCall>): GenerateCall => this.createCall(
        attemptId,
        extras,
      );
      const started = await startAttempt(this.context, placed.data, call, {
        requestId: this.requestId, cache, limitMs: this.waitLimitMs(),
      });
      if (started.success) {
        const {
          engine, attemptId, events, stop,
        } = started.data;
        this.attach(engine, attemptId, events, stop);
        return null;
      }
      const { error, exclude } = started.error;
      if (exclude) this.avoidedEngines.add(started.error.engine);
      else if (error.retryAfterMs !== undefined) this.avoidFor(started.error.engine, error.retryAfterMs);
      this.finishAttempt(AttemptOutcome.Failed);
      this.attempts += 1;
      this.context.log.warn('attempt_failed', {
        request: this.requestId, engine: started.error.engine, code: error.code, message: error.message,
      });
      const deadline = this.nextIndex > 0 ? this.context.clock.monotonic() + STALL_TIMEOUT_MS : this.deadline;
      const shouldRetry = this.attempts < MAX_ATTEMPTS && await this.context.takeRetry(this.attempts, deadline);
      if (!shouldRetry) return { code: 'engine_failed', ran: this.ranAfterFailure(error) };
    }
  }

  /** Does not send the request to an engine again before the time in ms that the engine asked for has passed. */
  private avoidFor(engine: string, forMs: number): void {
    const { clock } = this.context;
    const { avoidedEngines } = this;
    avoidedEngines.add(engine);
    // By the end of the longer of both times, the request has ended.
    const longestMs = Math.max(STALL_TIMEOUT_MS, this.deadline - clock.monotonic());
    clock.after(Math.min(forMs, longestMs), () => avoidedEngines.delete(engine));
  }

  private ranAfterFailure(error: EngineError): RanStatus {
    if (this.nextIndex > 0) return RanStatus.Yes;
    return error.code === EngineErrorCode.Broken || this.attempts > 1 ? RanStatus.Unknown : RanStatus.No;
  }

  private waitForPlacement(): Promise<Result<Placement, AdmissionRefusal>> {
    const { dispatcher } = this.context;
    return new Promise((resolve) => {
      this.dispatchHandle = dispatcher.submit(this.createWorkItem(), {
        placed: (placement) => resolve(ok(placement)),
        refused: (refusal) => resolve(fail(refusal)),
      });
    });
  }

  private createWorkItem(): WorkItem {
    const request = this.request!;
    const arrival = this.context.clock.monotonic();
    return {
      requestId: this.requestId,
      workspace: request.workspace,
      weight: this.context.weightOf(request.workspace),
      model: request.model,
      kind: request.kind,
      priority: request.priority,
      promptTokens: estimateTokens(request.prompt) + this.nextIndex,
      maxTokens: request.maxTokens - this.nextIndex,
      prefixBlockHashes: prefixBlocks(request.prompt),
      deadline: this.nextIndex > 0 ? arrival + STALL_TIMEOUT_MS : this.deadline,
      arrival,
      excludedEngines: this.avoidedEngines,
      continuation: this.nextIndex > 0,
    };
  }

  private createCall(attemptId: string, extras: Partial<GenerateCall>): GenerateCall {
    const request = this.request!;
    return {
      requestId: this.requestId,
      attemptId,
      workspace: request.workspace,
      model: request.model,
      prompt: request.prompt,
      delivered: this.deliveredText,
      firstIndex: this.nextIndex,
      maxTokens: request.maxTokens,
      priority: request.priority,
      ...extras,
    };
  }

  private async reopenStream(engine: Engine, attemptId: string): Promise<EngineError | null> {
    const newAttemptId = this.context.random.id();
    const stop = new AbortController();
    const resumed = await engine.resume({
      requestId: this.requestId, attemptId, newAttemptId, fromIndex: this.nextIndex,
    }, { timeoutMs: ACCEPT_TIMEOUT_MS, signal: stop.signal });
    if (!resumed.success) return resumed.error;
    this.context.meter.count('stream_resumes_total');
    this.attach(engine, newAttemptId, resumed.data, stop);
    return null;
  }

  private attach(engine: Engine, attemptId: string, events: AsyncIterable<EngineEvent>, stop: AbortController): void {
    const ticket = this.context.signer.sign({
      engine: engine.name, requestId: this.requestId, attemptId, workspace: this.origin.workspace,
    });
    this.stream = {
      engine,
      attemptId,
      ticket,
      reader: new EngineReader(this.context.clock, events, stop),
      assembler: new StreamAssembler(this.requestId, attemptId, this.nextIndex),
    };
    if (this.finished) this.stream.reader.stop();
  }

  private finishAttempt(outcome: AttemptOutcome): void {
    this.dispatchHandle?.finish(outcome);
    this.dispatchHandle = null;
    this.placement = null;
  }
}
