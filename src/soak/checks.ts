import type { ProviderCall } from '../emulator/provider.js';
import type { KeyRecord } from './keys.js';

/** Period in ms on the clock of the soak run, both ends included. */
export interface Span {
  readonly from: number;
  readonly to: number;
}

/** Types of calls that the callers send; the values are also the names of their routes. */
export enum CallType {
  /** Non-idempotent: must be executed at most once. */
  Order = 'order',
  /** Idempotent read: may be executed again. */
  Look = 'look',
  /** Resumable stream: may continue at another server. */
  Talk = 'talk',
}

/** One call as its caller saw it; times in ms. */
export interface CallRecord {
  readonly id: string;
  readonly type: CallType;
  readonly gateway: string;
  readonly path: string;
  readonly key: string;
  /** Workspace of the key. */
  readonly workspace: string;
  readonly sentAt: number;
  readonly endedAt: number;
  /** HTTP status, or 0 if no response head arrived. */
  readonly status: number;
  /** Whether the response arrived to its end. */
  readonly complete: boolean;
  readonly body: string;
  /** Whether the caller gave up because its deadline passed. */
  readonly timedOut: boolean;
}

/** One call as a backend server saw it; times in ms. */
export interface Arrival {
  /** Id of the call, which each retry keeps. */
  readonly call: string;
  readonly server: string;
  readonly at: number;
  /** By how much `at` may be too late, because the process of the soak was itself delayed. */
  readonly lagMs: number;
  /** Whether the server executed the call. */
  readonly ran: boolean;
  /** Workspace that the gateway named. */
  readonly workspace: string;
  /** Whether the call had a key. */
  readonly showsKey: boolean;
}

/** One planned stop of a gateway (SIGTERM); times in ms. */
export interface StopRecord {
  readonly gateway: string;
  readonly at: number;
  readonly tookMs: number;
  /** Exit code, or `null` if a signal ended the process. */
  readonly exitCode: number | null;
}

/** Everything that the checks need to know of a run; times in ms on the clock of the run. */
export interface History {
  readonly calls: readonly CallRecord[];
  readonly arrivals: readonly Arrival[];
  /** When the store acknowledged that a server is leaving, by server id. */
  readonly leavingSince: ReadonlyMap<string, number>;
  /** When a server stopped serving, by server id. */
  readonly stoppedAt: ReadonlyMap<string, number>;
  /** When the store acknowledged a route, by the path of its calls. */
  readonly routedAt: ReadonlyMap<string, number>;
  /** Disturbances of gateways other than planned stops, by gateway address. */
  readonly gatewayDisturbances: ReadonlyMap<string, readonly Span[]>;
  readonly storeDisturbances: readonly Span[];
  readonly keys: ReadonlyMap<string, KeyRecord>;
  /** Calls to the provider, in the order of their arrival. */
  readonly providerCalls: readonly ProviderCall[];
  readonly stops: readonly StopRecord[];
  /** When the last disturbance ended; from then on the run is undisturbed. */
  readonly calmFrom: number;
}

/** Time limits that the gateways guarantee, in ms. */
export interface Bounds {
  /** Within this time after a server starts to leave, gateways stop sending calls to it. */
  readonly drainMs: number;
  /** Within this time after a disturbance, a gateway is connected to the store and up to date again. */
  readonly reconnectMs: number;
  /** Within this time after the store acknowledged a configuration, it is in force. */
  readonly applyMs: number;
  /** Within this time a planned stop of a gateway ends. */
  readonly graceMs: number;
}

/** Broken guarantee, as the report shows it. */
export type Violation =
  | { readonly code: 'leaving_server_used'; readonly call: string; readonly server: string; readonly afterMs: number }
  | { readonly code: 'ran_twice'; readonly call: string; readonly servers: readonly string[] }
  | { readonly code: 'refused_but_ran'; readonly call: string; readonly status: number }
  | { readonly code: 'wrong_answer'; readonly call: string; readonly body: string }
  | { readonly code: 'cut_by_planned_stop'; readonly call: string; readonly gateway: string }
  | { readonly code: 'stop_failed'; readonly gateway: string; readonly exitCode: number | null; readonly tookMs: number }
  | { readonly code: 'route_missing'; readonly call: string; readonly afterMs: number }
  | { readonly code: 'not_served_in_calm'; readonly call: string; readonly status: number }
  | { readonly code: 'wrong_workspace'; readonly call: string; readonly workspace: string; readonly showsKey: boolean }
  | { readonly code: 'revoked_key_served'; readonly call: string; readonly afterMs: number }
  | { readonly code: 'key_refused'; readonly call: string; readonly afterMs: number }
  | { readonly code: 'usage_differs'; readonly window: number }
  | { readonly code: 'usage_exceeds_runs'; readonly reported: number; readonly ran: number }
  | { readonly code: 'term_fell'; readonly holder: string; readonly token: number };

/** Number of events in a whole stream. */
export const EVENTS_PER_STREAM = 8;

/** Returns the complete response body of a call. */
export function expectedBody(type: CallType, id: string): string {
  if (type !== CallType.Talk) return `done ${id}`;
  return Array.from({ length: EVENTS_PER_STREAM }, (_, i) => `id: ${i + 1}\ndata: ${id} ${i + 1}\n\n`).join('');
}

/** Length to which the body of a wrong answer is cut in the report. */
const MAX_REPORTED_CHARACTERS = 200;

/** Largest number of reported calls as a multiple of those that servers ran. */
const MAX_REPORTED_SHARE = 1.05;

/** Statuses that guarantee to the caller that its call was not executed. */
const NOT_EXECUTED_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

function overlaps(spans: readonly Span[], from: number, to: number): boolean {
  return spans.some((span) => span.from <= to && span.to >= from);
}

/** Lookups in the history of a run that several checks need. */
class HistoryView {
  private readonly arrivalsByCall = new Map<string, Arrival[]>();

  public constructor(public readonly history: History, public readonly bounds: Bounds) {
    for (const arrival of history.arrivals) {
      this.arrivalsByCall.set(arrival.call, [...this.arrivalsByCall.get(arrival.call) ?? [], arrival]);
    }
  }

  public arrivalsOf(call: string): readonly Arrival[] {
    return this.arrivalsByCall.get(call) ?? [];
  }

  public plannedStopsOf(gateway: string): readonly Span[] {
    return this.history.stops.filter((stop) => stop.gateway === gateway)
      .map(({ at, tookMs }) => ({ from: at, to: at + tookMs }));
  }

  public disturbancesOf(gateway: string): readonly Span[] {
    return this.history.gatewayDisturbances.get(gateway) ?? [];
  }

  /** Whether a gateway was undisturbed from `reconnectMs` before `from` until `to`, so that the bounds apply to it. */
  public isConnected(gateway: string, from: number, to: number): boolean {
    return !overlaps(
      [...this.disturbancesOf(gateway), ...this.plannedStopsOf(gateway)],
      from - this.bounds.reconnectMs,
      to,
    );
  }

  /** Whether the store was undisturbed from `reconnectMs` before `from` until `to`. */
  public isStoreUndisturbed(from: number, to: number): boolean {
    return !overlaps(this.history.storeDisturbances, from - this.bounds.reconnectMs, to);
  }
}

function findCallsToLeavingServers(view: HistoryView): readonly Violation[] {
  const { history: { calls, arrivals, leavingSince }, bounds } = view;
  const gateways = new Map(calls.map(({ id, gateway }) => [id, gateway]));
  return arrivals.flatMap(({
    call, server, at, lagMs,
  }) => {
    const left = leavingSince.get(server);
    const gateway = gateways.get(call);
    if (left === undefined || gateway === undefined || at - lagMs - left <= bounds.drainMs) return [];
    if (!view.isStoreUndisturbed(left, left) || !view.isConnected(gateway, at, at)) return [];
    return [{
      code: 'leaving_server_used', call, server, afterMs: Math.round(at - left),
    }];
  });
}

function findWrongExecutions(call: CallRecord, view: HistoryView): readonly Violation[] {
  const runs = view.arrivalsOf(call.id).filter(({ ran }) => ran);
  if (call.type !== CallType.Order) return [];
  const violations: Violation[] = [];
  if (runs.length > 1) violations.push({ code: 'ran_twice', call: call.id, servers: runs.map(({ server }) => server) });
  if (NOT_EXECUTED_STATUSES.has(call.status) && runs.length > 0) {
    violations.push({ code: 'refused_but_ran', call: call.id, status: call.status });
  }
  return violations;
}

function findWrongAnswer({
  id, type, status, complete, body,
}: CallRecord): readonly Violation[] {
  if (status !== 200 || !complete || body === expectedBody(type, id)) return [];
  return [{ code: 'wrong_answer', call: id, body: body.slice(0, MAX_REPORTED_CHARACTERS) }];
}

function findCutByPlannedStop(call: CallRecord, view: HistoryView): readonly Violation[] {
  const { history: { stoppedAt }, bounds } = view;
  const arrivals = view.arrivalsOf(call.id);
  if (call.timedOut || call.complete || arrivals.length === 0) return [];
  const serverStopped = arrivals.some(({ server }) => (stoppedAt.get(server) ?? Infinity) <= call.endedAt);
  const stopped = overlaps(view.plannedStopsOf(call.gateway), call.sentAt, call.endedAt);
  const disturbed = overlaps(view.disturbancesOf(call.gateway), call.sentAt - bounds.reconnectMs, call.endedAt);
  return stopped && !disturbed && !serverStopped
    ? [{ code: 'cut_by_planned_stop', call: call.id, gateway: call.gateway }] : [];
}

function findMissingRoute(call: CallRecord, view: HistoryView): readonly Violation[] {
  const { history: { routedAt }, bounds } = view;
  const routed = routedAt.get(call.path);
  if (call.status !== 404 || routed === undefined || call.sentAt - routed <= bounds.applyMs) return [];
  if (!view.isConnected(call.gateway, routed, call.sentAt) || !view.isStoreUndisturbed(routed, call.sentAt)) return [];
  return [{ code: 'route_missing', call: call.id, afterMs: Math.round(call.sentAt - routed) }];
}

function findNotServedInCalm({
  id, sentAt, status, key,
}: CallRecord, view: HistoryView): readonly Violation[] {
  const { history: { calmFrom, keys }, bounds } = view;
  const isRevoked = (keys.get(key)?.removedAt ?? null) !== null;
  return sentAt > calmFrom + bounds.reconnectMs && status !== 200 && !isRevoked
    ? [{ code: 'not_served_in_calm', call: id, status }] : [];
}

function findWrongWorkspaces(call: CallRecord, view: HistoryView): readonly Violation[] {
  return view.arrivalsOf(call.id).filter(({ workspace, showsKey }) => workspace !== call.workspace || showsKey)
    .map(({ workspace, showsKey }) => ({
      code: 'wrong_workspace', call: call.id, workspace, showsKey,
    }));
}

function findWrongAdmission(call: CallRecord, view: HistoryView): readonly Violation[] {
  const record = view.history.keys.get(call.key);
  if (record === undefined) return [];
  const { addedAt, removedAt } = record;
  const boundsApply = (since: number): boolean => call.sentAt - since > view.bounds.applyMs
    && view.isConnected(call.gateway, since, call.sentAt) && view.isStoreUndisturbed(since, call.sentAt);
  if (call.status === 200 && removedAt !== null && boundsApply(removedAt)) {
    return [{ code: 'revoked_key_served', call: call.id, afterMs: Math.round(call.sentAt - removedAt) }];
  }
  const isValid = removedAt === null || removedAt > call.endedAt;
  return call.status === 401 && isValid && boundsApply(addedAt)
    ? [{ code: 'key_refused', call: call.id, afterMs: Math.round(call.sentAt - addedAt) }] : [];
}

/** Each window is reported with the same counts only, by holders whose terms grow, and never more than has run. */
function findWrongUsage({ history: { providerCalls, arrivals } }: HistoryView): readonly Violation[] {
  const violations: Violation[] = [];
  const known = new Map<number, Record<string, number>>();
  let highest = 0;
  for (const { holder, token, body } of providerCalls) {
    if (token < highest) violations.push({ code: 'term_fell', holder, token });
    highest = Math.max(highest, token);
    const window = Number(body['window-id']);
    const counts = body.counts as Record<string, number>;
    const before = known.get(window) ?? counts;
    known.set(window, counts);
    const names = new Set([...Object.keys(before), ...Object.keys(counts)]);
    if ([...names].some((name) => before[name] !== counts[name])) violations.push({ code: 'usage_differs', window });
  }
  const counts = [...known.values()].flatMap((reportedCounts) => Object.values(reportedCounts));
  const reported = counts.reduce((sum, count) => sum + count, 0);
  const ran = new Set(arrivals.filter((arrival) => arrival.ran).map(({ call }) => call)).size;
  // A plain call that broke off counts as run although it may not have reached its server.
  if (reported > ran * MAX_REPORTED_SHARE) violations.push({ code: 'usage_exceeds_runs', reported, ran });
  return violations;
}

function findFailedStops(view: HistoryView): readonly Violation[] {
  const { history: { stops }, bounds } = view;
  return stops.flatMap(({
    gateway, at, tookMs, exitCode,
  }) => {
    const stoppedInTime = exitCode === 0 && tookMs <= bounds.graceMs;
    if (stoppedInTime || overlaps(view.disturbancesOf(gateway), at, at + tookMs)) return [];
    return [{
      code: 'stop_failed', gateway, exitCode, tookMs: Math.round(tookMs),
    }];
  });
}

/** Returns the guarantees that were broken in a run. */
export function findViolations(history: History, bounds: Bounds): readonly Violation[] {
  const view = new HistoryView(history, bounds);
  return [
    ...findCallsToLeavingServers(view),
    ...history.calls.flatMap((call) => [
      ...findWrongExecutions(call, view),
      ...findWrongAnswer(call),
      ...findCutByPlannedStop(call, view),
      ...findMissingRoute(call, view),
      ...findNotServedInCalm(call, view),
      ...findWrongWorkspaces(call, view),
      ...findWrongAdmission(call, view),
    ]),
    ...findWrongUsage(view),
    ...findFailedStops(view),
  ];
}
