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

const PROMISING_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

function touches(spans: readonly Span[], from: number, to: number): boolean {
  return spans.some((span) => span.from <= to && span.to >= from);
}

/** Promises that a run broke. */
export function findViolations(history: History, bounds: Bounds): readonly Violation[] {
  const {
    calls, arrivals, leftAt, goneAt, routedAt, storeDisturbed, stops, calmFrom,
  } = history;
  const byId = new Map(calls.map((call) => [call.id, call]));
  const violations: Violation[] = [];
  const stopsOf = (gateway: string): readonly Span[] => stops.filter((stop) => stop.gateway === gateway)
    .map(({ at, tookMs }) => ({ from: at, to: at + tookMs }));
  const disturbedOf = (gateway: string): readonly Span[] => history.disturbed.get(gateway) ?? [];
  const inTouch = (gateway: string, from: number, to: number): boolean => (
    !touches([...disturbedOf(gateway), ...stopsOf(gateway)], from - bounds.contactMs, to)
  );
  const storeCalm = (from: number, to: number): boolean => !touches(storeDisturbed, from - bounds.contactMs, to);
  const serversOf = new Map<string, Arrival[]>();
  for (const arrival of arrivals) serversOf.set(arrival.call, [...serversOf.get(arrival.call) ?? [], arrival]);

  for (const {
    call, server, at, lagMs,
  } of arrivals) {
    const left = leftAt.get(server);
    const caller = byId.get(call);
    if (left === undefined || caller === undefined) continue;
    const late = at - lagMs - left > bounds.drainMs;
    if (late && storeCalm(left, left) && inTouch(caller.gateway, at, at)) {
      violations.push({
        code: 'leaving_server_used', call, server, afterMs: Math.round(at - left),
      });
    }
  }
  for (const call of calls) {
    const seen = serversOf.get(call.id) ?? [];
    const runs = seen.filter(({ ran }) => ran);
    if (call.type === CallType.Order && runs.length > 1) {
      violations.push({ code: 'ran_twice', call: call.id, servers: runs.map(({ server }) => server) });
    }
    if (call.type === CallType.Order && PROMISING_STATUSES.has(call.status) && runs.length > 0) {
      violations.push({ code: 'refused_but_ran', call: call.id, status: call.status });
    }
    if (call.status === 200 && call.whole && call.body !== expectedBody(call.type, call.id)) {
      violations.push({ code: 'wrong_answer', call: call.id, body: call.body.slice(0, 200) });
    }
    const serverGone = seen.some(({ server }) => {
      const gone = goneAt.get(server);
      return gone !== undefined && gone <= call.endedAt;
    });
    const stopped = touches(stopsOf(call.gateway), call.sentAt, call.endedAt);
    const disturbed = touches(disturbedOf(call.gateway), call.sentAt - bounds.contactMs, call.endedAt);
    const ended = call.gaveUp || call.whole;
    if (!ended && stopped && !disturbed && !serverGone && seen.length > 0) {
      violations.push({ code: 'cut_by_planned_stop', call: call.id, gateway: call.gateway });
    }
    const routed = routedAt.get(call.path);
    if (call.status === 404 && routed !== undefined && call.sentAt - routed > bounds.applyMs
      && inTouch(call.gateway, routed, call.sentAt) && storeCalm(routed, call.sentAt)) {
      violations.push({ code: 'route_missing', call: call.id, afterMs: Math.round(call.sentAt - routed) });
    }
    if (call.sentAt > calmFrom + bounds.contactMs && call.status !== 200) {
      violations.push({ code: 'not_served_in_calm', call: call.id, status: call.status });
    }
  }
  for (const {
    gateway, at, tookMs, exitCode,
  } of stops) {
    const disturbed = touches(disturbedOf(gateway), at, at + tookMs);
    if (!disturbed && (exitCode !== 0 || tookMs > bounds.graceMs)) {
      violations.push({
        code: 'stop_failed', gateway, exitCode, tookMs: Math.round(tookMs),
      });
    }
  }
  return violations;
}
