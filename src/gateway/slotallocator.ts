import type {
  Clock, Disposable, Meter, Random,
} from '../core/interfaces/index.js';
import { Role } from '../core/interfaces/index.js';
import { DisposableStore } from '../core/disposables.js';
import { fail, ok } from '../core/result.js';
import type { Result } from '../core/result.js';
import type { ForwardingService } from './configuration.js';
import type { Estimates, EngineTimes, PromptSize } from './engineestimates.js';
import { explainServer } from './explanation.js';
import type { ExplainedStep } from './explanation.js';
import type { AvoidanceTracker, BackendFleet } from './fleet.js';
import type { Occupancy, OpenCalls } from './occupancy.js';
import type { Refusal } from './outcome.js';
import type { ServerPauses } from './pauses.js';
import type { PlaceExchange } from './places/index.js';
import {
  firstPauseEnd, suspectFailedHandovers, mayTakeLateCall, selectPreferredEngines, pickLeastOccupied, promptSize,
  sharedPartId, withoutPaused, withRole,
} from './placement.js';
import type { Candidate } from './placement.js';
import { PrefillPlaces } from './prefillplaces.js';
import { surplusDecoders } from './rolebalancer.js';
import type { ReservedServer } from './reservedserver.js';
import type { ServerRecord } from './serverregistry.js';
import {
  callTokens, rankOf, shareHolder, UNRANKED,
} from './shares/index.js';
import type { WorkLedger } from './shares/index.js';
import { SlotQueue } from './slotqueue.js';
import type { FreeSlot, QueuedCall, WaitingCalls } from './slotqueue.js';
import type { StreamVersions } from './streamversions.js';
import type { CallContext } from './callcontext.js';

/** Number of engines that should cache one shared prompt part. */
const PREFERRED_ENGINES_PER_PART = 1;

/** Largest number of prefills open at one engine, all gateways together; a few keep it busy while answers travel. */
export const MAX_PREFILLS_PER_ENGINE = 4;

/** Share of a route's target time for which a call waits for its preferred engine before anything was measured. */
const INITIAL_WAIT_SHARE = 1 / 8;

/** An engine with at most this many prefills has time to prefill shared parts that another engine has cached. */
export const MAX_PREFILLS_WHEN_IDLE = 1;

/** Largest number of calls per engine slot, of all gateways together and with those that wait at the server. */
const MAX_CALLS_PER_SLOT = 3;

/** Slots of a decoder that whole calls, which last for seconds, leave free for the short continuations. */
const SLOTS_KEPT_FOR_CONTINUATIONS = 2;

const RETRY_AFTER_MS = 250;

/** Time in ms over which callers return after the end of a pause. */
const PAUSE_SPREAD_MS = 250;

const NO_PROMPT: PromptSize = { promptTokens: 0, ownTokens: 0 };

/** What a call in a queue waits for; times in ms. */
interface QueueRequest extends Omit<QueuedCall, 'targetAt' | 'expiresAt' | 'rank'> {
  /** Expected time from the slot to the first event of the answer. */
  readonly expectedMs: number;
}

/** What the choice of a server needs to know of the fleet. */
export interface SlotFleet extends Pick<BackendFleet, 'candidates' | 'record'> {
  readonly pauses: Pick<ServerPauses, 'size' | 'onEnd'>;
  readonly serverFor: (record: ServerRecord) => {
    readonly handovers: Pick<AvoidanceTracker, 'isAvoided'>;
    readonly times: EngineTimes;
  };
}

/** Dependencies of {@link SlotAllocator}. */
export interface SlotAllocatorDependencies {
  readonly clock: Clock;
  readonly random: Random;
  readonly fleet: SlotFleet;
  readonly occupancy: Occupancy;
  readonly estimates: Estimates;
  readonly ledger: WorkLedger;
  /** Whether calls of workspaces are ranked by their shares and by urgency. */
  readonly ranksCalls: boolean;
  readonly meter: Meter;
  readonly streams: Pick<StreamVersions, 'mayBegin'>;
  /** Gives out places of engines; `null` while gateways count the open calls of each other. */
  readonly places: () => PlaceExchange | null;
}

/** Service of a call, and the version of the software to which the call is restricted. */
type Restriction = Pick<CallContext, 'service' | 'softwareVersion'>;

/** Chooses the server of a call and reserves a slot there; calls to engines wait in a queue while none is free. */
export class SlotAllocator implements Disposable {
  private readonly prefillQueues = new Map<string, SlotQueue>();

  private readonly wholeCallQueues = new Map<string, SlotQueue>();

  private readonly prefillPlaces: PrefillPlaces;

  private readonly disposables = new DisposableStore();

  public constructor(
    private readonly deps: SlotAllocatorDependencies,
    private readonly opts: { readonly failureDomain: string; readonly transitMs: number },
  ) {
    this.prefillPlaces = new PrefillPlaces(deps);
    this.disposables.add(deps.occupancy.onChange(() => this.assignFreeSlots()));
    this.disposables.add(deps.fleet.pauses.onEnd(() => this.assignFreeSlots()));
    deps.occupancy.setDemandSource(() => this.demand());
  }

  /** Gives free slots to waiting calls; to be called whenever a slot may have become free. */
  public assignFreeSlots(): void {
    for (const all of [this.prefillQueues, this.wholeCallQueues]) {
      for (const queue of all.values()) if (queue.length > 0) queue.assignFreeSlots();
    }
  }

  /** Waits for a slot at an engine that prefills and is not in `tried`. */
  public async reservePrefill(
    context: CallContext,
    tried: ReadonlySet<string>,
  ): Promise<Result<ReservedServer, Refusal>> {
    const { call: { generation }, route, service } = context;
    this.recordAsk(context);
    const all = this.prefillCandidates(service);
    const untried = all.filter(({ record }) => !tried.has(record.id));
    const candidates = withoutPaused(untried);
    if (untried.length === 0) return fail(this.refusalIfPaused(all) ?? this.noSlotRefusal([]));
    // A prefill is useless while no decoder has room to continue from it.
    const refusal = this.refusalOf(context);
    if (refusal !== null) return fail(refusal);
    const part = generation === null ? null : sharedPartId(generation);
    const preferredEngines = part === null ? [] : selectPreferredEngines(candidates, part, PREFERRED_ENGINES_PER_PART);
    const estimates = this.deps.estimates.forService(service.name);
    const { promptTokens, ownTokens } = generation === null ? NO_PROMPT : promptSize(generation);
    const request: QueueRequest = {
      preferredEngines,
      // Beyond this wait, it is faster to prefill the shared parts again elsewhere.
      otherEngineAfterMs: estimates.prefillMs(promptTokens - ownTokens) ?? INITIAL_WAIT_SHARE * route.targetMs,
      expectedMs: estimates.firstEventMs(promptTokens),
    };
    const { expectedMs, ...queued } = request;
    const readBy = context.trace.arrivedAt + route.targetMs - estimates.continuationMeanMs - this.opts.transitMs;
    const call = { ...queued, ...this.queueTimes(context, expectedMs), readBy };
    const given = await this.prefillPlaces.reserve(context, call, candidates);
    if (given === null) {
      const reserved = await this.waitInQueue(this.prefillQueue(service), context, request);
      return this.orPaused(reserved, this.prefillCandidates(service));
    }
    if (given.success) this.recordWork(context);
    return given;
  }

  /**
   * Reserves a slot for a call that one server runs from beginning to end, at a server that is not in `tried`. The
   * first attempt at an engine waits for a slot; others, and streams that go on at one version of the software, are
   * refused where no server has room.
   */
  public async reserveWholeCall(
    context: CallContext,
    tried: ReadonlySet<string>,
  ): Promise<Result<ReservedServer, Refusal>> {
    const { service, softwareVersion } = context;
    // Few servers may have the version, and a caller gives a stream up after a pause.
    if (service.engine === null || tried.size > 0 || softwareVersion !== null) return this.reserveLeastOccupied(context, tried, 'wholes');
    this.recordAsk(context);
    const reserved = await this.waitInQueue(this.wholeCallQueue(service), context, {
      preferredEngines: [], otherEngineAfterMs: 0, expectedMs: 0,
    });
    return this.orPaused(reserved, this.wholeCallCandidates(context));
  }

  /** Reserves a slot at a decoder, not in `tried`, for the rest of a call whose prefill is done. */
  public reserveContinuation(context: CallContext, tried: ReadonlySet<string>): Result<ReservedServer, Refusal> {
    return this.reserveLeastOccupied(context, tried, 'continuations');
  }

  /** Steps of a call with the servers that it would use now; nothing is reserved. */
  public explain(context: CallContext, needsPrefill: boolean): readonly ExplainedStep[] {
    const { call: { generation }, service } = context;
    const now = this.deps.clock.monotonic();
    const steps: ExplainedStep[] = [];
    if (needsPrefill && generation !== null) {
      const candidates = this.prefillCandidates(service);
      const part = sharedPartId(generation);
      const preferred = part === null ? null
        : selectPreferredEngines(withoutPaused(candidates), part, PREFERRED_ENGINES_PER_PART)[0] ?? null;
      const hasRoom = ({
        open, limit, suspect, pausedUntil,
      }: Candidate): boolean => open < limit && !suspect && pausedUntil === null;
      const ordered = [...candidates].sort((left, right) => Number(hasRoom(right)) - Number(hasRoom(left))
        || Number(right.record.id === preferred) - Number(left.record.id === preferred) || left.open - right.open);
      steps.push({
        step: 'prefill',
        servers: ordered.map((candidate) => explainServer(candidate, preferred, now)),
        waiting: this.prefillQueues.get(service.name)?.length ?? 0,
        placesAreOwned: this.deps.places() !== null,
      });
    }
    const isStreamed = service.engine !== null && steps.length === 0;
    const candidates = isStreamed ? this.wholeCallCandidates(context) : this.workCandidates(context);
    steps.push({
      step: steps.length === 0 ? 'whole' : 'continuation',
      servers: this.inOrder(candidates, isStreamed).map((candidate) => explainServer(candidate, null, now)),
      waiting: isStreamed ? this.wholeCallQueues.get(service.name)?.length ?? 0 : 0,
      placesAreOwned: false,
    });
    return steps;
  }

  /** Refusal of a call for which no server has room or is there at all, or `null`. */
  public refusalOf(call: Restriction): Refusal | null {
    const all = this.workCandidates(call);
    return withoutPaused(all).some(({ open, limit }) => open < limit) ? null : this.noSlotRefusal(all);
  }

  /** Refusal of a call while all servers that could take it have asked for a pause, or `null`. */
  public pausedRefusal(call: Restriction): Refusal | null {
    return this.refusalIfPaused(this.workCandidates(call));
  }

  /** Whether a server other than the given one may take a call, or continue it, now. */
  public hasOtherServer(call: Restriction, id: string): boolean {
    return withoutPaused(this.workCandidates(call)).some(({ record, suspect }) => record.id !== id && !suspect);
  }

  public dispose(): void {
    this.disposables.dispose();
    for (const all of [this.prefillQueues, this.wholeCallQueues]) for (const queue of all.values()) queue.dispose();
  }

  /** Waiting prefills that are still on time. */
  private demand(): readonly WaitingCalls[] {
    return [...this.prefillQueues.values()].flatMap((queue) => queue.demand());
  }

  private reserveLeastOccupied(
    call: Restriction,
    tried: ReadonlySet<string>,
    kind: keyof OpenCalls,
  ): Result<ReservedServer, Refusal> {
    const all = this.workCandidates(call);
    const candidates = withoutPaused(all).filter(({ record }) => !tried.has(record.id));
    const { random } = this.deps;
    const chosen = pickLeastOccupied(candidates, this.opts.failureDomain, () => random.float());
    if (chosen === null) return fail(this.noSlotRefusal(all));
    return ok(this.reserved(chosen.record, this.deps.occupancy.countCall(chosen.record.id, kind)));
  }

  private queueTimes(context: CallContext, expectedMs: number): Pick<QueuedCall, 'targetAt' | 'expiresAt' | 'rank'> {
    const {
      route, trace, deadline, retried, softwareVersion,
    } = context;
    const restMs = expectedMs + this.opts.transitMs;
    return {
      // The target time starts with the caller's first attempt, so a retried call has missed it already. A stream that
      // goes on was on time, and its caller gives it up after a pause.
      targetAt: retried && softwareVersion === null ? -Infinity : trace.arrivedAt + route.targetMs - restMs,
      expiresAt: deadline - restMs,
      rank: () => (this.deps.ranksCalls ? rankOf(context, this.deps.ledger) : UNRANKED),
    };
  }

  private async waitInQueue(
    queue: SlotQueue,
    context: CallContext,
    { expectedMs, ...queued }: QueueRequest,
  ): Promise<Result<ReservedServer, Refusal>> {
    const slot = await queue.wait({ ...queued, ...this.queueTimes(context, expectedMs) }, context.ended);
    if (!slot.success) {
      return fail({ code: 'occupied', retryAfterMs: Math.max(RETRY_AFTER_MS, slot.error.afterMs) });
    }
    this.recordWork(context);
    const { server, reservation } = slot.data;
    const record = this.deps.fleet.record(server);
    if (record !== null) return ok(this.reserved(record, reservation));
    reservation.dispose();
    return fail({ code: 'no_server', retryAfterMs: RETRY_AFTER_MS });
  }

  private recordAsk({ caller }: CallContext): void {
    if (this.deps.ranksCalls && caller.type !== 'unchecked') this.deps.ledger.ask(shareHolder(caller));
  }

  private recordWork({
    caller, call: { generation }, trace, priority,
  }: CallContext): void {
    const { ledger, meter, ranksCalls } = this.deps;
    if (!ranksCalls || caller.type === 'unchecked') return;
    trace.rank = rankOf({ caller, priority }, ledger);
    meter.count('slots', 1, { level: String(ledger.level(shareHolder(caller))) });
    if (generation !== null) ledger.add(shareHolder(caller), callTokens(generation));
  }

  private reserved(server: ServerRecord, reservation: Disposable): ReservedServer {
    return { server, reservation, prefillsAhead: Math.max(0, this.deps.occupancy.total(server.id).prefills - 1) };
  }

  private prefillCandidates(service: ForwardingService): readonly Candidate[] {
    const all = this.deps.fleet.candidates(service.name, ({ prefills }) => prefills, () => MAX_PREFILLS_PER_ENGINE);
    return suspectFailedHandovers(
      withRole(all, Role.Prefill),
      ({ record }) => this.deps.fleet.serverFor(record).handovers.isAvoided,
    );
  }

  /** Servers that may take whole calls and continuations. */
  private workCandidates({ service, softwareVersion }: Restriction): readonly Candidate[] {
    const all = this.deps.fleet.candidates(
      service.name,
      ({ continuations, wholes }) => continuations + wholes,
      ({ slots }) => slots * MAX_CALLS_PER_SLOT,
    );
    return this.withVersion(service.engine === null ? all : this.decoders(service, all), softwareVersion);
  }

  /** Servers of a version of the software, or those at which any stream may begin. */
  private withVersion(all: readonly Candidate[], softwareVersion: string | null): readonly Candidate[] {
    return all.filter(({ record }) => (
      softwareVersion === null ? this.deps.streams.mayBegin(record) : record.softwareVersion === softwareVersion
    ));
  }

  /** Engines that decode and are not about to change their role. */
  private decoders(service: ForwardingService, all: readonly Candidate[]): readonly Candidate[] {
    const decoders = withRole(all, Role.Decode);
    if (service.scaling === null) return decoders;
    const surplus = new Set(surplusDecoders(all.map(({ record }) => record)).map(({ id }) => id));
    return decoders.filter(({ record }) => !surplus.has(record.id));
  }

  private prefillQueue(service: ForwardingService): SlotQueue {
    return this.queueFor(
      this.prefillQueues,
      service,
      'prefills',
      () => this.prefillCandidates(service),
      MAX_PREFILLS_WHEN_IDLE,
    );
  }

  /** Engines that may run calls from beginning to end. */
  private wholeCallCandidates({ service, softwareVersion }: Restriction): readonly Candidate[] {
    return this.withVersion(this.decoders(service, this.deps.fleet.candidates(
      service.name,
      ({ wholes }) => wholes,
      ({ slots }) => Math.max(1, slots - SLOTS_KEPT_FOR_CONTINUATIONS),
    )), softwareVersion);
  }

  private wholeCallQueue(service: ForwardingService): SlotQueue {
    const candidates = (): readonly Candidate[] => this.wholeCallCandidates({ service, softwareVersion: null });
    return this.queueFor(this.wholeCallQueues, service, 'wholes', candidates, Infinity);
  }

  /** Candidates in the order in which calls would use them, apart from draws between equal ones. */
  private inOrder(candidates: readonly Candidate[], isStreamed: boolean): readonly Candidate[] {
    const paused = candidates.filter(({ pausedUntil }) => pausedUntil !== null);
    let left = withoutPaused(candidates);
    if (isStreamed) return [...[...left].sort((one, other) => one.open - other.open), ...paused];
    const ordered: Candidate[] = [];
    for (;;) {
      const next = pickLeastOccupied(left, this.opts.failureDomain, () => 0);
      if (next === null) return [...ordered, ...left, ...paused];
      ordered.push(next);
      left = left.filter((candidate) => candidate !== next);
    }
  }

  private queueFor(
    queues: Map<string, SlotQueue>,
    service: ForwardingService,
    kind: keyof OpenCalls,
    candidates: () => readonly Candidate[],
    maxCallsWhenIdle: number,
  ): SlotQueue {
    const known = queues.get(service.name);
    if (known !== undefined) return known;
    const freeSlots = (): readonly FreeSlot[] => withoutPaused(candidates())
      .filter(({ open, limit, suspect }) => open < limit && !suspect)
      .sort((left, right) => left.open - right.open)
      .map(({ record, open, limit }) => ({
        server: record.id,
        idle: open <= maxCallsWhenIdle,
        openToLateCalls: mayTakeLateCall({ open, limit }, this.deps.occupancy.waitingAtPeers(record.id)),
        isOpenTo: (rank) => rank === UNRANKED || limit - open > this.deps.occupancy.waitingAtPeers(record.id, rank),
      }));
    const queue = new SlotQueue({
      clock: this.deps.clock,
      freeSlots,
      pausedUntil: () => (this.deps.fleet.pauses.size === 0 ? null : firstPauseEnd(candidates())),
      reserve: (server) => this.deps.occupancy.countCall(server, kind),
    });
    queues.set(service.name, queue);
    return queue;
  }

  private noSlotRefusal(candidates: readonly Candidate[]): Refusal {
    if (candidates.length === 0) return { code: 'no_server', retryAfterMs: 2 * RETRY_AFTER_MS };
    return this.refusalIfPaused(candidates) ?? { code: 'occupied', retryAfterMs: RETRY_AFTER_MS };
  }

  private refusalIfPaused(candidates: readonly Candidate[]): Refusal | null {
    const endsAt = firstPauseEnd(candidates);
    if (endsAt === null) return null;
    const { clock, random } = this.deps;
    return {
      code: 'paused', retryAfterMs: Math.ceil(endsAt - clock.monotonic() + PAUSE_SPREAD_MS * random.float()),
    };
  }

  /** Result of a wait, with the reason why there is no slot where all candidates have asked for a pause. */
  private orPaused(
    reserved: Result<ReservedServer, Refusal>,
    candidates: readonly Candidate[],
  ): Result<ReservedServer, Refusal> {
    const paused = reserved.success ? null : this.refusalIfPaused(candidates);
    return paused === null ? reserved : fail(paused);
  }
}
