import type { Clock, Log } from '../core/interfaces/index.js';
import { assertNever } from '../core/result.js';
import type { RetryBudget } from '../core/retries.js';
import { CallKind } from './configuration.js';
import type { ControlClient } from './control.js';
import type {
  AnswerHead, Codec, PrefillHandle, SendPlan,
} from './codec.js';
import type { Estimates, PrefillWork } from './engineestimates.js';
import type { BackendFleet, BackendServer } from './fleet.js';
import type { LeavingAnswers } from './leavinganswers.js';
import type { PromptObserver } from './openruns.js';
import type { Refusal } from './outcome.js';
import type { ServerPauses } from './pauses.js';
import { promptSize, suspectIds } from './placement.js';
import type { ServerReach } from './reach/index.js';
import type { ServerRecord } from './serverregistry.js';
import type { ReservedServer } from './reservedserver.js';
import type { SlotAllocator } from './slotallocator.js';
import { Upstream, UpstreamEnd } from './upstream.js';
import type { SendOutcome } from './upstream.js';
import { addStep } from './callcontext.js';
import type { SendTrace, CallContext } from './callcontext.js';

/** Dependencies of {@link Sender}. */
export interface SenderDependencies {
  readonly clock: Clock;
  readonly log: Log;
  readonly codec: Codec;
  readonly fleet: BackendFleet;
  readonly estimates: Estimates;
  readonly prompts: PromptObserver;
  readonly leaving: Pick<LeavingAnswers, 'record'>;
  readonly pauses: Pick<ServerPauses, 'record'>;
  readonly reach: Pick<ServerReach, 'answered' | 'failed'>;
  readonly control: Pick<ControlClient, 'send'>;
  /** This process's share of the retry budget of a service. */
  readonly budget: (service: string) => RetryBudget;
  /** Counts a call of a workspace that a server has begun to run. */
  readonly countBegin: (workspace: string) => void;
}

/** Shortest time in ms without an answer after which a plain service may count as unreachable; its calls now and then
 * take several times their target time.
 */
const MIN_PLAIN_SILENCE_MS = 700;

/** Such a time as a multiple of the route's target time. */
const PLAIN_SILENCE_FACTOR = 2.5;

/** Largest body in bytes of the answer to a prefill. */
const MAX_HANDLE_BYTES = 65_536;

/** Time in ms for the body of a refusal to arrive, after which its connection is closed. */
const REFUSAL_BODY_MS = 500;

/** Time in ms without the head of an answer after which a send may be a sign that no server is in reach. */
const UNANSWERED_MS = 400;

/** Number of servers that have ended under a part from which each send on it is logged. */
const MIN_LOGGED_ENDS = 2;

/** Shortest deadline in ms that is sent to a backend server. */
const MIN_SEND_MS = 5;

const RETRY_AFTER_MS = 250;

/** Handle of the KV cache of a prefilled prompt, and the engine that holds the cache. */
export interface PrefilledPrompt {
  readonly type: 'handle';
  readonly handle: PrefillHandle;
  readonly holder: BackendServer;
  /** Record of the holder. */
  readonly record: ServerRecord;
}

/** Result of a prefill. */
export type PrefillResult =
  | PrefilledPrompt
  | { readonly type: 'refused'; readonly refusal: Refusal };

/** Result of one send, up to the head of its answer. */
export interface SendResult {
  readonly backend: BackendServer;
  readonly upstream: Upstream;
  readonly outcome: SendOutcome;
  /** Time in ms from the send to its outcome. */
  readonly tookMs: number;
  /** Whether there was no answer in the usual time. */
  readonly timedOut: boolean;
}

/** Whether a call may run more than once. */
export function mayRunTwice({ route }: CallContext): boolean {
  return route.kind === CallKind.Idempotent || (route.kind === CallKind.Stream && route.resumable);
}

function prefillWork({ call: { generation } }: CallContext, { prefillsAhead }: ReservedServer): PrefillWork {
  const { promptTokens, ownTokens } = generation === null ? { promptTokens: 0, ownTokens: 0 } : promptSize(generation);
  return { promptTokens, ownTokens, ahead: prefillsAhead };
}

/** What the head of an answer says about its server. */
function statementsOf(outcome: SendOutcome): Pick<AnswerHead, 'serverLeaves' | 'pauseMs'> {
  switch (outcome.type) {
    case 'answered': return outcome.head;
    case 'not_executed': return outcome;
    case 'not_sent':
    case 'withheld': return { serverLeaves: false, pauseMs: null };
    case 'broken': return { serverLeaves: false, pauseMs: outcome.pauseMs };
    default: return assertNever(outcome);
  }
}

/** Records what the outcome of a send says about the health of its server; nothing where this process gave it up. */
function recordHealth(backend: BackendServer, outcome: SendOutcome, isGivenUp: boolean): void {
  switch (outcome.type) {
    case 'answered':
      backend.succeeded();
      break;
    case 'not_executed':
      if (outcome.pauseMs === null) backend.refused();
      else backend.askedForPause();
      break;
    case 'not_sent':
      if (!isGivenUp) backend.wasUnreachable();
      break;
    case 'broken':
      if (!isGivenUp) backend.refused();
      break;
    case 'withheld':
      break;
    default: assertNever(outcome);
  }
}

/** Sends calls to backend servers within the retry budget. */
export class Sender {
  public constructor(
    private readonly deps: SenderDependencies,
    private readonly slotAllocator: SlotAllocator,
    private readonly opts: { readonly transitMs: number },
  ) {}

  /**
   * Prefills a prompt on an engine with that role that is not in `tried`, and adds each engine that it tries. Only the
   * first prefill of a call does not take from the retry budget.
   */
  public async prefill(context: CallContext, tried: Set<string>, isRetry: boolean): Promise<PrefillResult> {
    const { service, trace } = context;
    const { clock, budget, codec: platformCodec } = this.deps;
    for (let mustTake = isRetry; ;) {
      const reserved = await this.slotAllocator.reservePrefill(context, tried);
      addStep(trace, reserved.success ? 'line' : 'line:refused', clock.monotonic());
      if (!reserved.success) return { type: 'refused', refusal: reserved.error };
      const { server, reservation } = reserved.data;
      if (context.ended.aborted) {
        reservation.dispose();
        return { type: 'refused', refusal: { code: 'expired', retryAfterMs: RETRY_AFTER_MS } };
      }
      if (mustTake && !budget(service.name).take()) {
        reservation.dispose();
        addStep(trace, 'prefill:budget', clock.monotonic());
        return { type: 'refused', refusal: { code: 'not_executed', retryAfterMs: RETRY_AFTER_MS } };
      }
      const {
        backend, upstream, outcome, tookMs, timedOut,
      } = await this.send(context, reserved.data, { type: 'prefill' });
      if (outcome.type === 'withheld') {
        if (mustTake) budget(service.name).giveBack();
        continue;
      }
      tried.add(server.id);
      mustTake = true;
      const estimates = this.deps.estimates.forService(service.name);
      const work = prefillWork(context, reserved.data);
      if (timedOut) estimates.recordSilence(backend.times, work, tookMs);
      if (outcome.type === 'answered' && outcome.head.status === 200) {
        const body = await upstream.collect(MAX_HANDLE_BYTES);
        const handle = body === null ? null : platformCodec.readHandle(server, body);
        if (handle !== null) {
          estimates.recordPrefill(backend.times, work, tookMs);
          return {
            type: 'handle', handle, holder: backend, record: server,
          };
        }
        addStep(trace, 'handle:unreadable', clock.monotonic());
      } else if (outcome.type === 'answered') upstream.abort('no handle');
      if (outcome.type !== 'not_sent') trace.countedSends += 1;
    }
  }

  /** Whether the call may be sent once more; each send after the first takes from the retry budget. */
  public reserveSend({ trace, service }: CallContext): boolean {
    if (trace.countedSends === 0 || this.deps.budget(service.name).take()) {
      trace.countedSends += 1;
      return true;
    }
    addStep(trace, 'budget:empty', this.deps.clock.monotonic());
    return false;
  }

  /** Takes back what {@link reserveSend} has counted, for a send that was withheld. */
  public returnSend({ trace, service }: CallContext): void {
    trace.countedSends -= 1;
    if (trace.countedSends > 0) this.deps.budget(service.name).giveBack();
  }

  /** Sends a call once and waits for the head of the answer; the slot is released when the answer has ended. */
  public async send(
    context: CallContext,
    reserved: ReservedServer,
    work: SendPlan['work'],
  ): Promise<SendResult> {
    try {
      return await this.sendReserved(context, reserved, work);
    } catch (err) {
      reserved.reservation.dispose();
      throw err;
    }
  }

  private async sendReserved(
    context: CallContext,
    reserved: ReservedServer,
    work: SendPlan['work'],
  ): Promise<SendResult> {
    const { server, reservation } = reserved;
    const { clock, codec: platformCodec, fleet } = this.deps;
    const backend = fleet.serverFor(server);
    const probe = backend.countProbe();
    const sentAt = clock.monotonic();
    const trace: SendTrace = {
      softwareVersion: server.softwareVersion, revision: fleet.revision(server.id), writtenMs: null, end: null,
    };
    context.trace.sends.push(trace);
    // A prefill writes no answer.
    const run = work.type === 'prefill'
      ? null : backend.runs.create(context.call.id, suspectIds(context.call, context.body));
    if (run !== null) context.trace.runs.push(run);
    const upstream = new Upstream(context.call, platformCodec, backend.pool, {
      server,
      deadlineMs: Math.max(MIN_SEND_MS, context.deadline - sentAt - this.opts.transitMs),
      // With priorities, long prompts would preempt answers that have been running for seconds.
      priority: null,
      caller: context.caller,
      work,
    }, context.body, {
      // The server may have said that it leaves, or asked for a pause, while this call waited for a connection.
      mayBeSent: () => fleet.takesRequests(server),
      written: () => {
        trace.writtenMs = Math.round(clock.monotonic() - sentAt);
        if (run !== null) backend.runs.written(run);
        this.logSuspect(context, server, work);
      },
      answered: ({ status }) => {
        if (run !== null && status === 200) backend.runs.answered(run);
      },
      chunk: () => {
        if (run === null) return;
        backend.runs.receivedChunk(run);
        this.countBegin(context);
      },
      ended: (end) => {
        trace.end = end;
      },
    });
    const abortSend = (): void => upstream.abort(String(context.ended.reason));
    context.ended.addEventListener('abort', abortSend, { once: true });
    let timedOut = false;
    const silence = clock.after(this.silenceTimeoutMs(context, reserved, backend, work), () => {
      timedOut = true;
      if (backend.answeredAt < sentAt) backend.wasUnreachable();
      // A prefill may be repeated, because it does not execute the call. It is aborted even if the server answers other
      // calls, because the server may still never answer this one. A slow answer is better than none, so that a call
      // that no other server could run is not aborted.
      const isRepeatable = mayRunTwice(context) && this.slotAllocator.hasOtherServer(context, server.id);
      if (work.type === 'prefill' || isRepeatable) upstream.abort('no answer in the usual time');
    });
    const unanswered = clock.after(UNANSWERED_MS, () => this.deps.reach.failed(server));
    let answered = false;
    void upstream.closed.then((how) => {
      if (run !== null) backend.runs.end(run, how);
      if (how === UpstreamEnd.Complete && answered) reserved.recordRead?.();
      reservation.dispose();
      probe.dispose();
      context.ended.removeEventListener('abort', abortSend);
      this.slotAllocator.assignFreeSlots();
    });
    const outcome = await upstream.outcome;
    answered = outcome.type === 'answered' && outcome.head.status === 200;
    silence.dispose();
    unanswered.dispose();
    const { serverLeaves, pauseMs } = statementsOf(outcome);
    if (serverLeaves) this.deps.leaving.record(server, work.type);
    if (pauseMs !== null) this.deps.pauses.record(server, pauseMs, work.type);
    if (outcome.type === 'not_executed') {
      const late = clock.after(REFUSAL_BODY_MS, () => upstream.abort('the refusal has no end'));
      void upstream.closed.then(() => late.dispose());
    }
    const mayHaveRun = outcome.type === 'answered' || outcome.type === 'broken';
    if (context.service.engine === null && mayHaveRun) this.countBegin(context);
    if (outcome.type === 'answered') this.deps.prompts.recordAnswer(server, sentAt);
    recordHealth(backend, outcome, context.ended.aborted);
    this.recordReach(server, outcome, context.ended.aborted);
    const pause = pauseMs === null ? '' : `:pause=${Math.round(pauseMs)}`;
    addStep(context.trace, `${work.type}:${server.id}:${outcome.type}${pause}`, clock.monotonic());
    return {
      backend, upstream, outcome, tookMs: clock.monotonic() - sentAt, timedOut,
    };
  }

  /** Logs a send, of a prefill too, on a part under which several servers have ended. */
  private logSuspect(
    { call, body, trace }: CallContext,
    server: ServerRecord,
    work: SendPlan['work'],
  ): void {
    const { prompts, log } = this.deps;
    const suspicion = prompts.hasSuspects ? prompts.suspicionOf(server.service, suspectIds(call, body)) : null;
    if (suspicion === null || suspicion.ends < MIN_LOGGED_ENDS) return;
    log.info('suspect_sent', {
      request: call.id, server: server.id, work: work.type, sends: trace.sends.length, ...suspicion,
    });
  }

  private recordReach(server: ServerRecord, outcome: SendOutcome, isGivenUp: boolean): void {
    const { reach } = this.deps;
    switch (outcome.type) {
      case 'answered':
      case 'not_executed':
        reach.answered(server);
        break;
      case 'not_sent':
      case 'broken':
        if (!isGivenUp) reach.failed(server);
        break;
      case 'withheld':
        break;
      default: assertNever(outcome);
    }
  }

  /** Counts a call once, at the first sign that a server runs it. */
  private countBegin({ trace, caller }: CallContext): void {
    if (trace.begun) return;
    trace.begun = true;
    if (caller.type === 'workspace') this.deps.countBegin(caller.name);
  }

  /**
   * Records whether a call could continue from a prefill of the given engine. A broken connection to the decoder and a
   * pause that it asks for are not counted, because they say nothing about that engine.
   */
  public recordHandover({ handovers }: BackendServer, { outcome, timedOut }: SendResult): void {
    if (outcome.type === 'answered') handovers.succeeded();
    else if ((outcome.type === 'not_executed' && outcome.pauseMs === null) || timedOut) handovers.failed();
  }

  /** Frees the KV cache of a prefill from which no engine will continue. */
  public freeCache({ handle, holder, record }: PrefilledPrompt): void {
    if (holder.pool.isDisposed) return;
    const { codec: platformCodec, control, log } = this.deps;
    void control.send(holder.pool, record, platformCodec.freeRequest(handle), 'free').then((answer) => {
      if (answer === null) log.warn('handle_not_freed', { address: handle.address });
    });
  }

  /** Time in ms without an answer to a send after which the server may count as unreachable. */
  private silenceTimeoutMs(
    context: CallContext,
    reserved: ReservedServer,
    { times }: BackendServer,
    work: SendPlan['work'],
  ): number {
    const { route: { targetMs }, service, deadline } = context;
    if (service.engine === null) return Math.max(MIN_PLAIN_SILENCE_MS, PLAIN_SILENCE_FACTOR * targetMs);
    const estimates = this.deps.estimates.forService(service.name);
    switch (work.type) {
      case 'prefill': {
        const leftMs = deadline - this.deps.clock.monotonic();
        return estimates.prefillSilenceMs(times, prefillWork(context, reserved), targetMs, leftMs);
      }
      case 'decode':
      case 'whole': return estimates.answerSilenceMs(targetMs);
      default: return assertNever(work);
    }
  }
}
