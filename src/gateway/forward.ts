import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Disposable, Meter, Random } from '../core/interfaces/index.js';
import { sleep } from '../core/time.js';
import { reportUnexpected } from '../core/unexpected.js';
import { readBytes, waitForSocketReads } from '../daemon/http.js';
import type { AnswerMemory } from './answermemory.js';
import { chooseDestination, mayBeResumed } from './configuration.js';
import type { ForwardingService, Route, RouteTable } from './configuration.js';
import { deliver } from './delivery.js';
import type { AnswerHead, Call, SendPlan } from './codec.js';
import { isEventStream, ResumableStream } from './events.js';
import type { ExplainedRefusal, Explanation } from './explanation.js';
import type { Occupancy } from './occupancy.js';
import { CONFIRM_MS, isProven } from './openruns.js';
import { refusalAnswer } from './outcome.js';
import type { Refusal } from './outcome.js';
import type { PlaceExchange } from './places/index.js';
import { promptSize } from './placement.js';
import { QuarantineGate } from './quarantinegate.js';
import type { QuarantineGateDependencies } from './quarantinegate.js';
import type { ServerReach } from './reach/index.js';
import { rankOf } from './shares/index.js';
import type { WorkLedger } from './shares/index.js';
import { SlotAllocator } from './slotallocator.js';
import type { ServerRecord } from './serverregistry.js';
import { sendRefusal, recordCall } from './report.js';
import { RetriedCallDetector } from './retriedcalls.js';
import { mayRunTwice, Sender } from './sending.js';
import type { PrefilledPrompt, SenderDependencies } from './sending.js';
import type { Upstream } from './upstream.js';
import type { StreamVersions } from './streamversions.js';
import { AbortReason, addStep } from './callcontext.js';
import type { Delivery, Trace, CallContext } from './callcontext.js';
import { callPriority, identifyCaller } from './workspaces.js';
import type { Caller } from './workspaces.js';

/** Dependencies of {@link Forwarder}. */
export interface ForwarderDependencies extends SenderDependencies, QuarantineGateDependencies {
  readonly random: Random;
  readonly meter: Meter;
  readonly occupancy: Occupancy;
  readonly answers: AnswerMemory;
  readonly ledger: WorkLedger;
  readonly streams: Pick<StreamVersions, 'originOf' | 'remembered' | 'bind' | 'finish' | 'mayBegin'>;
  /** Whether calls of workspaces are ranked by their shares and by urgency. */
  readonly ranksCalls: boolean;
  /** Gives out places of engines; `null` while gateways count the open calls of each other. */
  readonly places: () => PlaceExchange | null;
  /** Routes in force, or `null` before the first configuration. */
  readonly routes: () => RouteTable | null;
  /** Monotonic time in ms by which all calls must have ended; `null` while this process is not stopping. */
  readonly endsAt: () => number | null;
  /** Age in ms of the server records. */
  readonly recordsAgeMs: () => number;
  /** Whether this gateway reaches no backend server while others do. */
  readonly reach: Pick<ServerReach, 'answered' | 'failed' | 'isCutOff'>;
  /** Whether the keys of callers were read so long ago that one of them may have been taken away. */
  readonly keysAreTooOld: () => boolean;
}

/** Options of {@link Forwarder}; times in ms. */
export interface ForwarderOptions {
  readonly failureDomain: string;
  /** Time in which an answer travels from a backend server through this process to the caller. */
  readonly transitMs: number;
  /** Largest number of calls that are served at once. */
  readonly maxCalls: number;
}

const RETRY_AFTER_MS = 250;

/** Number of servers that may end under one call whose answer has not gone on; a further one is likely to end too. */
const MAX_ENDED_SERVERS = 2;

/** Retry delay in ms for calls that this process refuses although another gateway can take them at once. */
const OTHER_GATEWAY_RETRY_MS = 20;

/** Route and service that were chosen for a call, and who sends it. */
interface Routed {
  readonly route: Route;
  readonly service: ForwardingService;
  readonly caller: Caller;
  readonly priority: number;
}

const OUT_OF_REACH: Refusal = { code: 'out_of_reach', retryAfterMs: OTHER_GATEWAY_RETRY_MS };

const SERVERS_ENDED = 'servers have ended under this call';

const OCCUPIED: Refusal = { code: 'occupied', retryAfterMs: RETRY_AFTER_MS };

/** Explanation of a call without a route or a caller. */
const NOTHING_EXPLAINED = {
  workspace: null,
  priority: null,
  rank: null,
  service: null,
  softwareVersion: null,
  destinations: [],
  steps: [],
  retriesLeft: null,
} as const;

function explainRefusal(refusal: Refusal): ExplainedRefusal {
  return { code: refusal.code, ...refusalAnswer(refusal) };
}

/** Answer of a backend server whose head has arrived, or the result for the caller where there is none. */
type ObtainedAnswer =
  | { readonly type: 'answer'; readonly upstream: Upstream; readonly head: AnswerHead; readonly server: ServerRecord }
  | Delivery;

function refused(refusal: Refusal): Delivery {
  return { type: 'refused', refusal };
}

/** Forwards the calls of callers to backend servers and passes the answers back. */
export class Forwarder implements Disposable {
  private activeCalls = 0;

  /** Calls that are served now, by what aborts them. */
  private readonly served = new Map<AbortController, CallContext>();

  private readonly retriedCalls = new RetriedCallDetector();

  private readonly slotAllocator: SlotAllocator;

  private readonly sender: Sender;

  private readonly quarantineGate: QuarantineGate;

  public constructor(private readonly deps: ForwarderDependencies, private readonly opts: ForwarderOptions) {
    this.slotAllocator = new SlotAllocator(deps, opts);
    this.sender = new Sender(deps, this.slotAllocator, opts);
    this.quarantineGate = new QuarantineGate(deps);
  }

  /** Number of calls that are not answered yet. */
  public get running(): number {
    return this.activeCalls;
  }

  /** Ends all calls at the end of a planned stop; those that were not sent are refused, and no answer looks whole. */
  public endAll(): void {
    for (const ended of [...this.served.keys()]) ended.abort(AbortReason.Stopped);
  }

  /**
   * Ends the calls without an answer that other gateways can serve: those not sent and those that may run twice. An
   * answer that has begun may go on over its open connection.
   */
  public releaseCalls(): void {
    for (const [ended, context] of [...this.served]) {
      const { res, trace } = context;
      const mayBeServedElsewhere = trace.countedSends === 0 || mayRunTwice(context);
      if (!res.headersSent && mayBeServedElsewhere) ended.abort(AbortReason.OutOfReach);
    }
  }

  public dispose(): void {
    this.slotAllocator.dispose();
    this.quarantineGate.dispose();
  }

  /** Where a call would go now, and why. Nothing is sent, reserved or drawn from a budget. */
  public explain(call: Call): Explanation {
    const table = this.deps.routes();
    const routed = this.route(call);
    const beliefs = {
      configurationVersion: table?.configuration.version ?? null,
      recordsAgeMs: Math.round(this.deps.recordsAgeMs()),
      heardShare: this.deps.occupancy.heardShare(),
    };
    if ('code' in routed) {
      return {
        ...NOTHING_EXPLAINED,
        refusal: explainRefusal(routed),
        route: table?.find(call.host, call.target)?.name ?? null,
        beliefs,
      };
    }
    const {
      route, service, caller, priority,
    } = routed;
    const softwareVersion = this.deps.streams.remembered(call)?.softwareVersion ?? null;
    const context = {
      ...routed, call, body: null, softwareVersion,
    } as unknown as CallContext;
    const refusal = this.quarantineGate.refusalOf(context)
      ?? (this.activeCalls >= this.opts.maxCalls ? OCCUPIED : this.slotAllocator.refusalOf(context));
    return {
      refusal: refusal === null ? null : explainRefusal(refusal),
      route: route.name,
      workspace: caller.type === 'workspace' ? caller.name : null,
      priority,
      rank: this.deps.ranksCalls && caller.type !== 'unchecked' ? rankOf(routed, this.deps.ledger) : null,
      service: service.name,
      softwareVersion,
      destinations: route.destinations,
      steps: this.slotAllocator.explain(context, this.needsPrefill(context)),
      retriesLeft: this.deps.budget(service.name).available,
      beliefs,
    };
  }

  /** Handles one call; resolves when its answer has ended. */
  public async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const trace: Trace = {
      arrivedAt: this.deps.clock.monotonic(),
      countedSends: 0,
      begun: false,
      steps: [],
      sends: [],
      runs: [],
      firstMs: null,
      pauseMs: 0,
      passedBytes: 0,
      lastEventId: null,
    };
    this.activeCalls += 1;
    try {
      const call = this.deps.codec.readCall(req);
      const body = await readBytes(req);
      if (!body.success && body.error.code === 'aborted') return;
      const routed = call.success ? this.route(call.data) : call.error;
      let delivery: Delivery;
      if ('code' in routed) delivery = refused(routed);
      else if (!body.success) {
        delivery = refused(body.error.code === 'body_too_large'
          ? { code: 'body_too_large' } : { code: 'occupied', retryAfterMs: RETRY_AFTER_MS });
      } else if (this.activeCalls > this.opts.maxCalls) {
        delivery = refused({ code: 'occupied', retryAfterMs: RETRY_AFTER_MS });
      } else if (call.success) delivery = await this.serveOrFail(call.data, body.data, routed, res, trace);
      else delivery = refused(call.error);
      if (delivery.type === 'refused') sendRefusal(res, delivery.refusal);
      const { route, caller } = 'route' in routed ? routed : { route: null, caller: null };
      const workspace = caller?.type === 'workspace' ? caller.name : null;
      recordCall(call.success ? call.data : null, route, workspace, delivery, trace, {
        ...this.deps,
        version: this.deps.routes()?.configuration.version,
        recordsAgeMs: this.deps.recordsAgeMs(),
      });
    } finally {
      this.activeCalls -= 1;
    }
  }

  private route(call: Call): Routed | Refusal {
    const table = this.deps.routes();
    if (table === null) return { code: 'not_configured' };
    const route = table.find(call.host, call.target);
    if (route === null) return { code: 'no_route' };
    if (table.keys !== null && !route.isPublic && this.deps.keysAreTooOld()) return { code: 'not_configured' };
    const caller = identifyCaller(route, table.keys, call.credential);
    if (!caller.success) return caller.error;
    if (call.id === null) return { code: 'invalid_call', message: 'the request id is missing' };
    const name = chooseDestination(route, this.deps.random.float());
    const service = name === null ? undefined : table.configuration.services.get(name);
    if (service === undefined) return { code: 'no_server', retryAfterMs: RETRY_AFTER_MS };
    return {
      route, service, caller: caller.data, priority: callPriority(route, caller.data),
    };
  }

  /** Serves a call; an exception ends this call only, and nobody knows whether it was executed. */
  private async serveOrFail(
    call: Call,
    bytes: Buffer,
    routed: Routed,
    res: ServerResponse,
    trace: Trace,
  ): Promise<Delivery> {
    try {
      return await this.serve(call, bytes, routed, res, trace);
    } catch (err) {
      reportUnexpected(this.deps, 'call', err);
      // After an ordinary close, an answer without length would look complete.
      if (res.headersSent) res.socket?.resetAndDestroy();
      return refused({ code: 'outcome_unknown', message: 'unexpected error' });
    }
  }

  private async serve(call: Call, bytes: Buffer, routed: Routed, res: ServerResponse, trace: Trace): Promise<Delivery> {
    const waitMs = Math.min(call.deadlineMs ?? Infinity, routed.route.timeoutMs);
    const endsAt = this.deps.endsAt();
    if (endsAt !== null && trace.arrivedAt + waitMs > endsAt) {
      return refused({ code: 'stopping', retryAfterMs: OTHER_GATEWAY_RETRY_MS });
    }
    if (this.deps.reach.isCutOff) return refused(OUT_OF_REACH);
    const ended = new AbortController();
    const onCallerLeft = (): void => {
      if (!res.writableFinished) ended.abort(AbortReason.CallerLeft);
    };
    const { socket } = res;
    res.once('close', onCallerLeft);
    socket?.once('end', onCallerLeft);
    const timer = this.deps.clock.after(Math.max(0, waitMs), () => ended.abort(AbortReason.Timeout));
    const hasBody = bytes.length > 0 || (call.method !== 'GET' && call.method !== 'HEAD');
    const context: CallContext = {
      ...routed,
      call,
      body: hasBody ? bytes : null,
      softwareVersion: null,
      deadline: trace.arrivedAt + waitMs,
      retried: this.retriedCalls.isRetried(routed.route.name, call.deadlineMs),
      trace,
      res,
      ended: ended.signal,
    };
    this.served.set(ended, context);
    const watch = this.quarantineGate.watch(context, () => ended.abort(AbortReason.Quarantined));
    try {
      await waitForSocketReads();
      if (ended.signal.aborted) return this.endResult(context);
      const taken = await this.bindTakeUp(context);
      if (ended.signal.aborted) return this.endResult(context);
      return 'code' in taken ? refused(taken) : await this.obtainAndDeliver(taken);
    } catch (err) {
      // Nobody reads the answer of a server any more.
      ended.abort(AbortReason.Failed);
      throw err;
    } finally {
      this.served.delete(ended);
      timer.dispose();
      watch.dispose();
      res.off('close', onCallerLeft);
      socket?.off('end', onCallerLeft);
    }
  }

  /** Restricts a call that takes up a stream to the version of the software that began the stream. */
  private async bindTakeUp(context: CallContext): Promise<CallContext | Refusal> {
    const { call, route, trace } = context;
    if (!mayBeResumed(route) || call.lastEventId === null) return context;
    const origin = await this.deps.streams.originOf(call, [
      context.service.name, ...route.destinations.map(({ service }) => service),
    ]);
    const found = origin.success ? `${origin.data.softwareVersion}:${origin.data.source}` : origin.error.code;
    addStep(trace, `origin:${found}`, this.deps.clock.monotonic());
    if (!origin.success) return origin.error;
    const { softwareVersion, service: name } = origin.data;
    const service = this.deps.routes()?.configuration.services.get(name) ?? context.service;
    return { ...context, service, softwareVersion };
  }

  private async obtainAndDeliver(context: CallContext): Promise<Delivery> {
    const quarantined = await this.quarantineGate.admit(context);
    if (context.ended.aborted) return this.endResult(context);
    if (quarantined !== null) return refused(quarantined);
    this.deps.budget(context.service.name).succeeded();
    const answer = await this.obtainAnswer(context, new Set());
    if (answer.type !== 'answer') return answer;
    const { upstream, head } = answer;
    const deliveryIfNothingSent = (message: string): Delivery => (
      context.ended.aborted ? this.endResult(context) : refused({ code: 'outcome_unknown', message })
    );
    const mayResume = mayBeResumed(context.route);
    const stream = mayResume && isEventStream(head) ? this.resumableStream(context, head, answer.server) : null;
    // A caller may also take up a stream that this process does not split into events.
    if (mayResume && stream === null && head.status === 200) this.bindStream(context, answer.server);
    const delivery = await deliver(context, upstream, head, {
      clock: this.deps.clock, memory: this.deps.answers, deliveryIfNothingSent, stream,
    });
    if (mayResume && delivery.type === 'delivered') this.deps.streams.finish(context.call);
    return delivery;
  }

  private resumableStream(context: CallContext, head: AnswerHead, server: ServerRecord): ResumableStream {
    return new ResumableStream({
      startRun: async (lastEventId, failed, begun) => {
        const softwareVersion = begun?.softwareVersion ?? context.softwareVersion;
        const next = await this.resume({ ...context, softwareVersion }, lastEventId, failed);
        // The close that ends a stream without length must not become an end that the caller takes for certain.
        if (next === null || head.endsWithConnection || !next.head.endsWithConnection) return next;
        next.upstream.abort('the end of the stream is not marked');
        return null;
      },
      began: (first) => this.bindStream(context, first),
    }, server);
  }

  private bindStream({ call, service }: CallContext, { softwareVersion }: ServerRecord): void {
    this.deps.streams.bind(call, { service: service.name, softwareVersion });
  }

  /** Sends a call to one server after another until one answers or the call must not be sent again. */
  private async obtainAnswer(context: CallContext, tried: Set<string>): Promise<ObtainedAnswer> {
    const { route, service, trace } = context;
    const mayRunAgain = mayRunTwice(context) && !this.quarantineGate.isTrial(context);
    let prefilled: PrefilledPrompt | null = null;
    const prefillers = new Set<string>();
    if (await this.hasEndedServers(context)) return refused({ code: 'outcome_unknown', message: SERVERS_ENDED });
    if (this.needsPrefill(context)) {
      const result = await this.sender.prefill(context, prefillers, tried.size > 0);
      if (result.type === 'refused') return context.ended.aborted ? this.endResult(context) : result;
      prefilled = result;
    }
    let lastRefusal: Refusal | null = null;
    const refuse = (): Delivery => refused(lastRefusal ?? this.slotAllocator.pausedRefusal(context)
      ?? { code: 'not_executed', retryAfterMs: RETRY_AFTER_MS });
    for (let attempts = 0; attempts < route.maxAttempts;) {
      const reserved = prefilled === null
        ? await this.slotAllocator.reserveWholeCall(context, tried)
        : this.slotAllocator.reserveContinuation(context, tried);
      if (context.ended.aborted || !reserved.success) {
        if (reserved.success) reserved.data.reservation.dispose();
        if (prefilled !== null) this.sender.freeCache(prefilled);
        if (context.ended.aborted) return this.endResult(context);
        return reserved.success || tried.size > 0 ? refuse() : refused(reserved.error);
      }
      if (!this.sender.reserveSend(context)) {
        reserved.data.reservation.dispose();
        break;
      }
      const { server } = reserved.data;
      const plannedWork: SendPlan['work'] = prefilled === null
        ? { type: 'whole' } : { type: 'decode', handle: prefilled.handle };
      const sending = await this.sender.send(context, reserved.data, plannedWork);
      const { upstream, outcome, tookMs } = sending;
      if (outcome.type === 'withheld') {
        this.sender.returnSend(context);
        continue;
      }
      tried.add(server.id);
      if (prefilled !== null) this.sender.recordHandover(prefilled.holder, sending);
      if (outcome.type === 'answered') {
        const { head } = outcome;
        if (prefilled !== null) this.deps.estimates.forService(service.name).recordContinuation(tookMs);
        if (head.status < 500 || !mayRunAgain || attempts + 1 >= route.maxAttempts) {
          return {
            type: 'answer', upstream, head, server,
          };
        }
        upstream.abort('another server is tried');
        lastRefusal = { code: 'outcome_unknown', message: `status ${head.status}` };
      } else if (outcome.type === 'broken') {
        if (context.ended.aborted) return this.endResult(context);
        lastRefusal = { code: 'outcome_unknown', message: outcome.message };
        if (!mayRunAgain || await this.hasEndedServers(context)) return refused(lastRefusal);
        if (prefilled !== null && attempts + 1 < route.maxAttempts) {
          // The decoder may have consumed the handle. If instead it could not fetch the KV cache, a new handle of the
          // same prefill engine may fail as well, so another engine is tried first.
          let result = await this.sender.prefill(context, prefillers, true);
          const noOtherEngine = result.type === 'refused' && result.refusal.code === 'no_server';
          if (noOtherEngine) result = await this.sender.prefill(context, new Set(), true);
          if (result.type === 'refused') return context.ended.aborted ? this.endResult(context) : refused(lastRefusal);
          prefilled = result;
        }
      }
      // A send of which nothing was written reached no server and does not count as an attempt.
      if (outcome.type === 'not_sent') trace.countedSends -= 1;
      else attempts += 1;
    }
    if (prefilled !== null) this.sender.freeCache(prefilled);
    return refuse();
  }

  /** Whether so many engines have ended under a call, whose answer has not gone on, that it must not be sent again. */
  private async hasEndedServers({ call, trace }: CallContext): Promise<boolean> {
    if (call.generation === null) return false;
    const broken = trace.runs.filter((run) => !isProven(run) && run.serverEnded !== false);
    if (broken.length < MAX_ENDED_SERVERS) return false;
    if (broken.some(({ serverEnded }) => serverEnded === null)) await sleep(this.deps.clock, CONFIRM_MS + 1);
    return broken.filter(({ serverEnded }) => serverEnded === true).length >= MAX_ENDED_SERVERS;
  }

  /** Whether another engine prefills the prompt of a call before a decoder continues from it. */
  private needsPrefill({ call: { generation }, route, service }: CallContext): boolean {
    return service.engine !== null && generation !== null
      && this.deps.estimates.forService(service.name).isLongPrompt(promptSize(generation), route.targetMs);
  }

  /**
   * Continues a stream after the last event that its caller has received, at a server other than the failed one and of
   * the version of the software that began it. The engine that prefills may have any version: a KV cache is no text.
   */
  private async resume(
    context: CallContext,
    lastEventId: string | null,
    failed: ServerRecord,
  ): Promise<Extract<ObtainedAnswer, { readonly type: 'answer' }> | null> {
    if (context.ended.aborted || this.quarantineGate.refusalOf(context) !== null) return null;
    addStep(context.trace, 'resume', this.deps.clock.monotonic());
    const call = lastEventId === null ? context.call : { ...context.call, lastEventId };
    try {
      const answer = await this.obtainAnswer({ ...context, call }, new Set([failed.id]));
      if (answer.type !== 'answer') return null;
      if (isEventStream(answer.head) && answer.head.signed) return answer;
      answer.upstream.abort('no stream to go on with');
      return null;
    } catch (err) {
      reportUnexpected(this.deps, 'resume', err);
      return null;
    }
  }

  /** Result for a call whose caller has disconnected, whose time is over, or whose prompt is in quarantine by now. */
  private endResult(context: CallContext): Delivery {
    const { ended, trace } = context;
    if (ended.reason === AbortReason.CallerLeft) return { type: 'cut', reason: AbortReason.CallerLeft };
    if (ended.reason === AbortReason.Quarantined) {
      const refusal = trace.countedSends > 0 ? null : this.quarantineGate.refusalOf(context);
      return refused(refusal ?? { code: 'outcome_unknown', message: AbortReason.Quarantined });
    }
    if (ended.reason === AbortReason.Stopped) {
      return refused(trace.countedSends > 0
        ? { code: 'outcome_unknown', message: AbortReason.Stopped }
        : { code: 'stopping', retryAfterMs: OTHER_GATEWAY_RETRY_MS });
    }
    if (ended.reason === AbortReason.OutOfReach) {
      return refused(trace.countedSends > 0
        ? { code: 'outcome_unknown', message: AbortReason.OutOfReach } : OUT_OF_REACH);
    }
    // A call of which only the prefill was sent was not executed.
    return refused(trace.countedSends > 0 ? { code: 'timeout' } : { code: 'expired', retryAfterMs: RETRY_AFTER_MS });
  }
}
