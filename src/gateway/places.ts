import type { Clock, Disposable, Random } from '../core/edges/index.js';
import { Role } from '../core/edges/index.js';
import { fail, ok } from '../core/result.js';
import type { Result } from '../core/result.js';
import type { ForwardingService } from './configuration.js';
import type { FleetUse } from './fleet.js';
import type { Occupancy, OpenCalls } from './occupancy.js';
import type { Refusal } from './outcome.js';
import {
  avoidLapsing, hasSpare, homesOf, pickLeastOccupied, sharedPart, withRole,
} from './placement.js';
import type { Candidate } from './placement.js';
import type { ServerRecord } from './servers.js';
import { WaitingLine } from './waitingline.js';
import type { FreePlace } from './waitingline.js';
import type { Work } from './work.js';

/** Engines that may hold one shared part. */
const PREFILL_HOMES = 1;

/** Prefills open at one engine, all gateways together; a few keep it busy while answers travel. */
const PREFILLS_PER_ENGINE = 4;

/** An engine with no more prefills than this has time to read shared parts that another one holds. */
const IDLE_PREFILLS = 1;

/** Calls of all gateways together per slot of a server, the waiting ones included. */
const OVERCOMMIT = 3;

/** Slots of a decoder that stay free of whole calls, which last for seconds, for the short continuations. */
const CONTINUATION_SLOTS = 2;

/** Weight of the newest of the measured times. */
const SMOOTHING = 0.1;

/** Time in ms of a prefill, and from there to the first event, before any was measured. */
const FIRST_PREFILL_MS = 30;

const FIRST_CONTINUATION_MS = 15;

const RETRY_AFTER_MS = 250;

/** Server with a place that is counted until it is released. */
export interface Placed {
  readonly server: ServerRecord;
  readonly held: Disposable;
}

/** Edges of {@link Places}. */
export interface PlacesEdges {
  readonly clock: Clock;
  readonly random: Random;
  readonly fleet: FleetUse;
  readonly occupancy: Occupancy;
}

/** Decides where a call goes, and lets it wait where there is no room. */
export class Places implements Disposable {
  private readonly prefillLines = new Map<string, WaitingLine>();

  private readonly wholeLines = new Map<string, WaitingLine>();

  private readonly subscription: Disposable;

  /** Smoothed time in ms from the send of a prefill to its handle. */
  private prefillMs = FIRST_PREFILL_MS;

  /** Smoothed time in ms from the send of a continuation to the head of its answer. */
  private continuationMs = FIRST_CONTINUATION_MS;

  public constructor(
    private readonly edges: PlacesEdges,
    private readonly opts: { readonly failureDomain: string; readonly transitMs: number },
  ) {
    this.subscription = edges.occupancy.onChange(() => this.pump());
    edges.occupancy.tellDemand(() => this.demand());
  }

  /** Time in ms that an engine usually takes to the first event of a long prompt's answer. */
  public get usualMs(): number {
    return this.prefillMs + this.continuationMs;
  }

  /** Takes the measured time in ms of a step. */
  public observe(step: 'prefill' | 'continuation', tookMs: number): void {
    if (step === 'prefill') this.prefillMs += SMOOTHING * (tookMs - this.prefillMs);
    else this.continuationMs += SMOOTHING * (tookMs - this.continuationMs);
  }

  /** Gives places that have become free to the calls that wait. */
  public pump(): void {
    for (const lines of [this.prefillLines, this.wholeLines]) {
      for (const line of lines.values()) if (line.length > 0) line.pump();
    }
  }

  /** Waits for a place at an engine that prefills and has not been tried. */
  public async prefill(work: Work, tried: ReadonlySet<string>): Promise<Result<Placed, Refusal>> {
    const { call: { generation }, service } = work;
    const candidates = this.prefillers(service).filter(({ record }) => !tried.has(record.id));
    if (candidates.length === 0) return fail({ code: 'no_server', retryAfterMs: 2 * RETRY_AFTER_MS });
    // A prefill is of no use where no decoder can go on from it.
    if (!this.workers(service).some(({ open, limit }) => open < limit)) return fail(this.unplaced(service));
    const part = generation === null ? null : sharedPart(generation);
    const homes = part === null ? [] : homesOf(candidates, part, PREFILL_HOMES);
    return this.waitIn(this.prefillLine(service), work, homes, this.usualMs);
  }

  /** Server for a call that begins there, other than those that were tried; at an engine after a wait for a slot. */
  public async whole(work: Work, tried: ReadonlySet<string>): Promise<Result<Placed, Refusal>> {
    const { service } = work;
    if (service.engine === null || tried.size > 0) return this.pick(service, tried, 'wholes');
    return this.waitIn(this.wholeLine(service), work, [], 0);
  }

  /** Decoder for the rest of a call whose prefill is done. */
  public continuation(work: Work, tried: ReadonlySet<string>): Result<Placed, Refusal> {
    return this.pick(work.service, tried, 'continuations');
  }

  public dispose(): void {
    this.subscription.dispose();
    for (const lines of [this.prefillLines, this.wholeLines]) for (const line of lines.values()) line.dispose();
  }

  /** Waiting prefills that are still on time, by the engine that they wait for. */
  private demand(): ReadonlyMap<string, number> {
    return new Map([...this.prefillLines.values()].flatMap((line) => [...line.demand()]));
  }

  private pick(
    service: ForwardingService,
    tried: ReadonlySet<string>,
    kind: keyof OpenCalls,
  ): Result<Placed, Refusal> {
    const candidates = this.workers(service).filter(({ record }) => !tried.has(record.id));
    const chosen = pickLeastOccupied(candidates, this.opts.failureDomain, () => this.edges.random.float());
    if (chosen === null) return fail(this.unplaced(service));
    return ok({ server: chosen.record, held: this.edges.occupancy.enter(chosen.record.id, kind) });
  }

  private async waitIn(
    line: WaitingLine,
    {
      route, trace, deadline, ended, returning,
    }: Work,
    homes: readonly string[],
    usualMs: number,
  ): Promise<Result<Placed, Refusal>> {
    const restMs = usualMs + this.opts.transitMs;
    const place = await line.wait({
      homes,
      // The target counts from the first call of a caller, so one that comes back has missed it.
      targetAt: returning ? -Infinity : trace.arrivedAt + route.targetMs - restMs,
      lastAt: deadline - restMs,
    }, ended);
    if (!place.success) {
      return fail({ code: 'occupied', retryAfterMs: Math.max(RETRY_AFTER_MS, place.error.afterMs) });
    }
    const { server, held } = place.data;
    const record = this.edges.fleet.record(server);
    if (record !== null) return ok({ server: record, held });
    held.dispose();
    return fail({ code: 'no_server', retryAfterMs: RETRY_AFTER_MS });
  }

  private prefillers(service: ForwardingService): readonly Candidate[] {
    const all = this.edges.fleet.candidates(service.name, ({ prefills }) => prefills, () => PREFILLS_PER_ENGINE);
    return avoidLapsing(withRole(all, Role.Prefill), ({ record }) => this.edges.fleet.of(record).handovers.avoided);
  }

  /** Servers that take whole calls and continuations. */
  private workers(service: ForwardingService): readonly Candidate[] {
    const all = this.edges.fleet.candidates(
      service.name,
      ({ continuations, wholes }) => continuations + wholes,
      ({ slots }) => slots * OVERCOMMIT,
    );
    return service.engine === null ? all : withRole(all, Role.Decode);
  }

  private prefillLine(service: ForwardingService): WaitingLine {
    return this.line(this.prefillLines, service, 'prefills', () => this.prefillers(service), IDLE_PREFILLS);
  }

  private wholeLine(service: ForwardingService): WaitingLine {
    const candidates = (): readonly Candidate[] => withRole(this.edges.fleet.candidates(
      service.name,
      ({ wholes }) => wholes,
      ({ slots }) => Math.max(1, slots - CONTINUATION_SLOTS),
    ), Role.Decode);
    return this.line(this.wholeLines, service, 'wholes', candidates, Infinity);
  }

  private line(
    lines: Map<string, WaitingLine>,
    service: ForwardingService,
    kind: keyof OpenCalls,
    candidates: () => readonly Candidate[],
    idle: number,
  ): WaitingLine {
    const known = lines.get(service.name);
    if (known !== undefined) return known;
    const places = (): readonly FreePlace[] => candidates()
      .filter(({ open, limit, suspect }) => open < limit && !suspect)
      .sort((left, right) => left.open - right.open)
      .map(({ record, open, limit }) => ({
        server: record.id,
        idle: open <= idle,
        spare: hasSpare({ open, limit }, this.edges.occupancy.waitingElsewhere(record.id)),
      }));
    const line = new WaitingLine({
      clock: this.edges.clock, places, take: (server) => this.edges.occupancy.enter(server, kind),
    });
    lines.set(service.name, line);
    return line;
  }

  private unplaced(service: ForwardingService): Refusal {
    return this.workers(service).length === 0
      ? { code: 'no_server', retryAfterMs: 2 * RETRY_AFTER_MS }
      : { code: 'occupied', retryAfterMs: RETRY_AFTER_MS };
  }
}
