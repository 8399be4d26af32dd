import { EngineErrorCode } from '../core/interfaces/index.js';
import type {
  CacheHandle, Engine, EngineError, EngineEvent, GenerateCall, Log, Meter,
} from '../core/interfaces/index.js';
import type { DispatchHandle, Dispatcher } from '../core/admission/index.js';
import { AttemptOutcome, EventVerdict, StreamAssembler } from '../core/serving/index.js';
import type {
  Placement, AdmissionRefusal, WorkItem, StreamTicket, TicketSigner,
} from '../core/serving/index.js';
import { prefixBlocks } from '../core/routing/index.js';
import { Ran } from '../core/refusals.js';
import type { Refusal } from '../core/refusals.js';
import { fail, ok } from '../core/result.js';
import type { Result } from '../core/result.js';
import { sleep } from '../core/time.js';
import { estimateTokens } from '../core/tokens.js';
import type { AnswerEvent, GenerateRequest } from './api.js';
import { ACCEPT_TIMEOUT_MS, startAttempt } from './attempt.js';
import type { AttemptContext } from './attempt.js';
import { EngineReader } from './reader.js';

/** What a run needs from its entry. */
export interface RunContext extends AttemptContext {
  readonly log: Log;
  readonly meter: Meter;
  readonly dispatcher: Dispatcher;
  readonly signer: TicketSigner;
  /** Takes one retry from the budget of this process; `attempt` counts from 1. Resolves to false when none is left. */
  readonly retry: (attempt: number, deadline: number) => Promise<boolean>;
  /** Share of a workspace as the fleet file says. */
  readonly weightOf: (workspace: string) => number;
  /** Tells the budget that a request succeeded. */
  readonly succeeded: () => void;
}

/** A decode stream without a token for this long is read again or moved. */
const STALL_TIMEOUT_MS = 10_000;
/** How often a stream is asked for again where the engine may not have started it yet. */
const RESUME_POLL_MS = 50;
const RESUME_POLLS = 10;
/** A request that met this many broken engines is given up. */
const MAX_ATTEMPTS = 4;

interface Source {
  readonly engine: Engine;
  readonly attemptId: string;
  readonly ticket: string;
  readonly reader: EngineReader;
  readonly assembler: StreamAssembler;
}

/** What a run starts from: a request of its own, or the ticket of a stream that any entry has started. */
type Origin =
  | { readonly request: GenerateRequest; readonly workspace: string; readonly ticket: null }
  | { readonly request: null; readonly workspace: string; readonly ticket: StreamTicket };

/** One request from admission to its last token; moves between engines when they fail or leave. */
export class Run {
  private source: Source | null = null;

  private handle: DispatchHandle | null = null;

  /** Where the running attempt was placed. */
  private placement: Placement | null = null;

  private delivered = '';

  private nextIndex: number;

  /** Index at which the stream was last read again, to give up when that brings no progress. */
  private recoveredAt = -1;

  private attempts = 0;

  private finished = false;

  private leaveEngine = false;

  private readonly excluded = new Set<string>();

  private constructor(
    private readonly context: RunContext,
    public readonly requestId: string,
    private readonly origin: Origin,
    firstIndex: number,
    private readonly deadline: number,
  ) {
    this.nextIndex = firstIndex;
  }

  private get request(): GenerateRequest | null {
    return this.origin.request;
  }

  /** Run of a new request. */
  public static create(context: RunContext, request: GenerateRequest): Run {
    const deadline = context.clock.monotonic() + request.deadlineMs;
    return new Run(context, context.random.id(), { request, workspace: request.workspace, ticket: null }, 0, deadline);
  }

  /** Run that continues a stream after the token at `lastIndex`, wherever it was started. */
  public static continue(context: RunContext, ticket: StreamTicket, lastIndex: number): Run {
    const { requestId, workspace } = ticket;
    return new Run(context, requestId, { request: null, workspace, ticket }, lastIndex + 1, Infinity);
  }

  /** Places a new request, or finds the stream to continue; a refusal tells why neither was possible. */
  public start(): Promise<Refusal | null> {
    const { ticket } = this.origin;
    return ticket === null ? this.place(null) : this.findStream(ticket);
  }

  /** Engine that the run reads from. */
  public get engineName(): string | null {
    return this.source?.engine.name ?? null;
  }

  /** Whether this run has a request on the engine, a prefill that has not been handed on included. */
  public uses(engine: string): boolean {
    return this.engineName === engine || this.placement?.engine === engine || this.placement?.prefill === engine;
  }

  /** Facts for the dump. */
  public describe(): Record<string, unknown> {
    return {
      request: this.requestId,
      workspace: this.origin.workspace,
      engine: this.engineName,
      nextIndex: this.nextIndex,
      attempts: this.attempts,
      dropped: this.source?.assembler.dropped ?? 0,
    };
  }

  /** Moves the stream off its engine with the KV cache, where another engine can take it. */
  public evacuate(): void {
    if (this.request === null || this.source === null || this.leaveEngine) return;
    this.leaveEngine = true;
    this.source.reader.stop();
  }

  /** Next event for the caller, or `null` after the end. */
  public async next(): Promise<AnswerEvent | null> {
    while (!this.finished) {
      const { source } = this;
      const event = source === null ? null : await source.reader.next(this.waitLimit());
      if (this.finished) return null;
      if (source === null || event === null) {
        const refusal = await this.recover();
        if (refusal !== null) return this.interrupted(refusal);
        continue;
      }
      const verdict = source.assembler.accept(event);
      if (verdict === EventVerdict.Deliver) return this.deliver(source, event);
      if (verdict === EventVerdict.Gap) source.reader.stop();
      else this.context.meter.count('stream_events_dropped_total');
    }
    return null;
  }

  /** Ends the run without cancelling the engine's stream; {@link cancel} does that later. */
  public detach(): void {
    this.finished = true;
    this.source?.reader.stop();
  }

  /** Cancels the engine's stream, unless another entry reads it by now. */
  public async cancel(): Promise<void> {
    this.detach();
    const { source } = this;
    this.settle(AttemptOutcome.Cancelled);
    if (source === null) return;
    await source.engine.cancel(this.requestId, source.attemptId, { timeoutMs: ACCEPT_TIMEOUT_MS });
  }

  private async findStream(ticket: StreamTicket): Promise<Refusal | null> {
    const engine = this.context.engine(ticket.engine);
    if (engine === undefined) return { code: 'stream_lost' };
    for (let poll = 0; poll < RESUME_POLLS; poll += 1) {
      const error = await this.readAgain(engine, ticket.attemptId);
      if (error === null) return null;
      if (error.code !== EngineErrorCode.NotFound && error.code !== EngineErrorCode.NotSent) break;
      await sleep(this.context.clock, RESUME_POLL_MS);
    }
    return { code: 'stream_lost' };
  }

  private deliver(source: Source, event: EngineEvent): AnswerEvent {
    if (event.type === 'end') {
      this.finished = true;
      this.settle(AttemptOutcome.Done);
      this.context.succeeded();
      const { index, reason, promptTokens } = event;
      return {
        type: 'end', eventId: `${source.ticket}.${index}`, reason, promptTokens, outputTokens: index,
      };
    }
    if (this.nextIndex === 0) this.handle?.reportFirstToken();
    this.nextIndex = event.index + 1;
    this.handle?.reportProgress(this.nextIndex);
    if (this.request !== null) this.delivered += event.text;
    return {
      type: 'token', eventId: `${source.ticket}.${event.index}`, index: event.index, text: event.text,
    };
  }

  private interrupted(refusal: Refusal): AnswerEvent {
    this.finished = true;
    this.settle(AttemptOutcome.Failed);
    return { type: 'interrupted', resumable: false, refusal };
  }

  private waitLimit(): number {
    const { clock } = this.context;
    return this.nextIndex > 0 ? STALL_TIMEOUT_MS : Math.max(1, this.deadline - clock.monotonic());
  }

  /** Reads the stream again where it is, or moves the request to another engine. */
  private async recover(): Promise<Refusal | null> {
    const { source } = this;
    if (this.nextIndex === 0 && this.context.clock.monotonic() >= this.deadline) {
      await this.cancel();
      return { code: 'deadline_exceeded', ran: Ran.Yes };
    }
    if (source !== null && !this.leaveEngine && this.recoveredAt !== this.nextIndex) {
      this.recoveredAt = this.nextIndex;
      if (await this.readAgain(source.engine, source.attemptId) === null) return null;
    }
    if (this.request === null) return { code: 'stream_lost' };
    const handle = await this.leaveSource();
    this.context.meter.count('stream_moves_total');
    return this.place(handle);
  }

  /** Gives up the present engine; the result is its exported KV cache on a planned move. */
  private async leaveSource(): Promise<CacheHandle | null> {
    const { source, leaveEngine } = this;
    this.source = null;
    this.leaveEngine = false;
    this.settle(AttemptOutcome.Failed);
    if (source === null) return null;
    this.excluded.add(source.engine.name);
    const opts = { timeoutMs: ACCEPT_TIMEOUT_MS };
    if (leaveEngine) {
      const exported = await source.engine.exportCache(this.requestId, source.attemptId, opts);
      if (exported.success) return exported.data;
    }
    void source.engine.cancel(this.requestId, source.attemptId, opts);
    return null;
  }

  /** Finds an engine and starts the request there; retries while the budget and the deadline allow. */
  private async place(cache: CacheHandle | null): Promise<Refusal | null> {
    for (;;) {
      const placed = await this.admit();
      if (!placed.success) return placed.error;
      this.placement = placed.data;
      const call = (attemptId: string, extras: Partial<GenerateCall>): GenerateCall => this.call(attemptId, extras);
      const started = await startAttempt(this.context, placed.data, call, {
        requestId: this.requestId, cache, limitMs: this.waitLimit(),
      });
      if (started.success) {
        const {
          engine, attemptId, events, stop,
        } = started.data;
        this.attach(engine, attemptId, events, stop);
        return null;
      }
      const { error, exclude } = started.error;
      if (exclude) this.excluded.add(started.error.engine);
      this.settle(AttemptOutcome.Failed);
      this.attempts += 1;
      this.context.log.warn('attempt_failed', {
        request: this.requestId, engine: started.error.engine, code: error.code, message: error.message,
      });
      const deadline = this.nextIndex > 0 ? this.context.clock.monotonic() + STALL_TIMEOUT_MS : this.deadline;
      const again = this.attempts < MAX_ATTEMPTS && await this.context.retry(this.attempts, deadline);
      if (!again) return { code: 'engine_failed', ran: this.ranAfter(error) };
    }
  }

  private ranAfter(error: EngineError): Ran {
    if (this.nextIndex > 0) return Ran.Yes;
    return error.code === EngineErrorCode.Broken || this.attempts > 1 ? Ran.Unknown : Ran.No;
  }

  private admit(): Promise<Result<Placement, AdmissionRefusal>> {
    const { dispatcher } = this.context;
    return new Promise((resolve) => {
      this.handle = dispatcher.submit(this.workItem(), {
        placed: (placement) => resolve(ok(placement)),
        refused: (refusal) => resolve(fail(refusal)),
      });
    });
  }

  private workItem(): WorkItem {
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
      excludedEngines: this.excluded,
      continuation: this.nextIndex > 0,
    };
  }

  private call(attemptId: string, extras: Partial<GenerateCall>): GenerateCall {
    const request = this.request!;
    return {
      requestId: this.requestId,
      attemptId,
      workspace: request.workspace,
      model: request.model,
      prompt: request.prompt,
      delivered: this.delivered,
      firstIndex: this.nextIndex,
      maxTokens: request.maxTokens,
      priority: request.priority,
      ...extras,
    };
  }

  private async readAgain(engine: Engine, attemptId: string): Promise<EngineError | null> {
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
    this.source = {
      engine,
      attemptId,
      ticket,
      reader: new EngineReader(this.context.clock, events, stop),
      assembler: new StreamAssembler(this.requestId, attemptId, this.nextIndex),
    };
    if (this.finished) this.source.reader.stop();
  }

  private settle(outcome: AttemptOutcome): void {
    this.handle?.finish(outcome);
    this.handle = null;
    this.placement = null;
  }
}
