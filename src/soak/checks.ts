/** Span of time in ms on the soak's own clock. */
export interface Span {
  readonly from: number;
  readonly to: number;
}

/** What a caller asks for. */
export enum CallType {
  /** May run once. */
  Order = 'order',
  /** May run again. */
  Look = 'look',
  /** A stream that may go on at another server. */
  Talk = 'talk',
}

/** One call as its caller saw it. */
export interface CallRecord {
  readonly id: string;
  readonly type: CallType;
  readonly gateway: string;
  readonly path: string;
  readonly sentAt: number;
  readonly endedAt: number;
  /** 0 where no head of an answer arrived. */
  readonly status: number;
  /** Whether the whole answer arrived. */
  readonly whole: boolean;
  readonly body: string;
  /** Whether the caller gave up before the answer. */
  readonly gaveUp: boolean;
}

/** One call as a backend server saw it. */
export interface Arrival {
  readonly call: string;
  readonly server: string;
  readonly at: number;
  /** Time in ms by which the soak's own process may have noticed it late. */
  readonly lagMs: number;
  readonly ran: boolean;
}

/** One planned stop of a gateway. */
export interface StopRecord {
  readonly gateway: string;
  readonly at: number;
  readonly tookMs: number;
  readonly exitCode: number | null;
}

/** What happened in a run, as callers, backend servers and the soak itself saw it. */
export interface History {
  readonly calls: readonly CallRecord[];
  readonly arrivals: readonly Arrival[];
  /** When the store acknowledged that a server leaves, by server. */
  readonly leftAt: ReadonlyMap<string, number>;
  /** When a server was gone, by server. */
  readonly goneAt: ReadonlyMap<string, number>;
  /** When the store acknowledged a route, by its path. */
  readonly routedAt: ReadonlyMap<string, number>;
  /** Disturbances of gateways other than planned stops, by gateway. */
  readonly disturbed: ReadonlyMap<string, readonly Span[]>;
  readonly storeDisturbed: readonly Span[];
  readonly stops: readonly StopRecord[];
  /** When the last disturbance ended. */
  readonly calmFrom: number;
}

/** Bounds that are promised, in ms. */
export interface Bounds {
  readonly drainMs: number;
  readonly contactMs: number;
  readonly applyMs: number;
  readonly graceMs: number;
}

/** Broken promise. */
export type Violation =
  | { readonly code: 'leaving_server_used'; readonly call: string; readonly server: string; readonly afterMs: number }
  | { readonly code: 'ran_twice'; readonly call: string; readonly servers: readonly string[] }
  | { readonly code: 'refused_but_ran'; readonly call: string; readonly status: number }
  | { readonly code: 'wrong_answer'; readonly call: string; readonly body: string }
  | { readonly code: 'cut_by_planned_stop'; readonly call: string; readonly gateway: string }
  | { readonly code: 'stop_failed'; readonly gateway: string; readonly exitCode: number | null; readonly tookMs: number }
  | { readonly code: 'route_missing'; readonly call: string; readonly afterMs: number }
  | { readonly code: 'not_served_in_calm'; readonly call: string; readonly status: number };

/** Events of a stream. */
export const EVENTS = 8;

/** Whole body of an answer to a call. */
export function expectedBody(type: CallType, id: string): string {
  if (type !== CallType.Talk) return `done ${id}`;
  return Array.from({ length: EVENTS }, (_, index) => `id: ${index + 1}\ndata: ${id} ${index + 1}\n\n`).join('');
}

/** Characters of a wrong answer that a report shows. */
const SHOWN_CHARACTERS = 200;

const PROMISING_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

function touches(spans: readonly Span[], from: number, to: number): boolean {
  return spans.some((span) => span.from <= to && span.to >= from);
}

/** What the checks ask of a run. */
class Findings {
  private readonly arrivalsOf = new Map<string, Arrival[]>();

  public constructor(public readonly history: History, public readonly bounds: Bounds) {
    for (const arrival of history.arrivals) {
      this.arrivalsOf.set(arrival.call, [...this.arrivalsOf.get(arrival.call) ?? [], arrival]);
    }
  }

  public arrivals(call: string): readonly Arrival[] {
    return this.arrivalsOf.get(call) ?? [];
  }

  public stops(gateway: string): readonly Span[] {
    return this.history.stops.filter((stop) => stop.gateway === gateway)
      .map(({ at, tookMs }) => ({ from: at, to: at + tookMs }));
  }

  public disturbed(gateway: string): readonly Span[] {
    return this.history.disturbed.get(gateway) ?? [];
  }

  /** Whether a gateway was undisturbed for so long before `from`, and until `to`, that the bounds hold for it. */
  public inTouch(gateway: string, from: number, to: number): boolean {
    return !touches([...this.disturbed(gateway), ...this.stops(gateway)], from - this.bounds.contactMs, to);
  }

  public storeCalm(from: number, to: number): boolean {
    return !touches(this.history.storeDisturbed, from - this.bounds.contactMs, to);
  }
}

function leavingServersUsed(found: Findings): readonly Violation[] {
  const { history: { calls, arrivals, leftAt }, bounds } = found;
  const gateways = new Map(calls.map(({ id, gateway }) => [id, gateway]));
  return arrivals.flatMap(({
    call, server, at, lagMs,
  }) => {
    const left = leftAt.get(server);
    const gateway = gateways.get(call);
    if (left === undefined || gateway === undefined || at - lagMs - left <= bounds.drainMs) return [];
    if (!found.storeCalm(left, left) || !found.inTouch(gateway, at, at)) return [];
    return [{
      code: 'leaving_server_used', call, server, afterMs: Math.round(at - left),
    }];
  });
}

function wrongRuns(call: CallRecord, found: Findings): readonly Violation[] {
  const runs = found.arrivals(call.id).filter(({ ran }) => ran);
  if (call.type !== CallType.Order) return [];
  const violations: Violation[] = [];
  if (runs.length > 1) violations.push({ code: 'ran_twice', call: call.id, servers: runs.map(({ server }) => server) });
  if (PROMISING_STATUSES.has(call.status) && runs.length > 0) {
    violations.push({ code: 'refused_but_ran', call: call.id, status: call.status });
  }
  return violations;
}

function wrongAnswer({
  id, type, status, whole, body,
}: CallRecord): readonly Violation[] {
  if (status !== 200 || !whole || body === expectedBody(type, id)) return [];
  return [{ code: 'wrong_answer', call: id, body: body.slice(0, SHOWN_CHARACTERS) }];
}

function cutByStop(call: CallRecord, found: Findings): readonly Violation[] {
  const { history: { goneAt }, bounds } = found;
  const arrivals = found.arrivals(call.id);
  if (call.gaveUp || call.whole || arrivals.length === 0) return [];
  const serverGone = arrivals.some(({ server }) => (goneAt.get(server) ?? Infinity) <= call.endedAt);
  const stopped = touches(found.stops(call.gateway), call.sentAt, call.endedAt);
  const disturbed = touches(found.disturbed(call.gateway), call.sentAt - bounds.contactMs, call.endedAt);
  return stopped && !disturbed && !serverGone
    ? [{ code: 'cut_by_planned_stop', call: call.id, gateway: call.gateway }] : [];
}

function routeMissing(call: CallRecord, found: Findings): readonly Violation[] {
  const { history: { routedAt }, bounds } = found;
  const routed = routedAt.get(call.path);
  if (call.status !== 404 || routed === undefined || call.sentAt - routed <= bounds.applyMs) return [];
  if (!found.inTouch(call.gateway, routed, call.sentAt) || !found.storeCalm(routed, call.sentAt)) return [];
  return [{ code: 'route_missing', call: call.id, afterMs: Math.round(call.sentAt - routed) }];
}

function notServedInCalm({ id, sentAt, status }: CallRecord, found: Findings): readonly Violation[] {
  const { history: { calmFrom }, bounds } = found;
  return sentAt > calmFrom + bounds.contactMs && status !== 200
    ? [{ code: 'not_served_in_calm', call: id, status }] : [];
}

function failedStops(found: Findings): readonly Violation[] {
  const { history: { stops }, bounds } = found;
  return stops.flatMap(({
    gateway, at, tookMs, exitCode,
  }) => {
    const kept = exitCode === 0 && tookMs <= bounds.graceMs;
    if (kept || touches(found.disturbed(gateway), at, at + tookMs)) return [];
    return [{
      code: 'stop_failed', gateway, exitCode, tookMs: Math.round(tookMs),
    }];
  });
}

/** Promises that a run broke. */
export function findViolations(history: History, bounds: Bounds): readonly Violation[] {
  const found = new Findings(history, bounds);
  return [
    ...leavingServersUsed(found),
    ...history.calls.flatMap((call) => [
      ...wrongRuns(call, found),
      ...wrongAnswer(call),
      ...cutByStop(call, found),
      ...routeMissing(call, found),
      ...notServedInCalm(call, found),
    ]),
    ...failedStops(found),
  ];
}
