import { SeededRandom } from '../emulator/random.js';
import { assertNever } from '../core/result.js';

/** Faults and planned changes of gateways, their links to the store, the store and the backend servers. */
export enum DisturbanceKind {
  /** The link of one gateway to the store passes no bytes for a while, without closing its connections. */
  Cut = 'cut',
  /** All connections of one gateway to the store are reset. */
  Reset = 'reset',
  /** The store answers no requests for a while: it either closes their connections or leaves them unanswered. */
  StoreDown = 'store_down',
  /** The store discards its history of changes. */
  Compact = 'compact',
  /** One gateway is paused for a while (SIGSTOP). */
  Pause = 'pause',
  /** One gateway is killed (SIGKILL) and started again. */
  Kill = 'kill',
  /** One gateway is stopped as planned (SIGTERM) and started again. */
  Stop = 'stop',
  /** The record of a backend server changes to draining, and the server stops later; another one is added. */
  Drain = 'drain',
  /** The record of a backend server is removed, and the server stops later; another one is added. */
  Leave = 'leave',
  /** A backend server stops at once, and its record is removed later; another one is added. */
  Crash = 'crash',
  /** One more route is added to the configuration. */
  Configure = 'configure',
}

/** One disturbance; times in ms since the start of the load. */
export interface Disturbance {
  readonly kind: DisturbanceKind;
  readonly at: number;
  /** Duration of a cut, a pause or an outage of the store; 0 for the other kinds. */
  readonly forMs: number;
  /** Random number from 0 to below 1 that selects the gateway or the backend server, and the form of a store outage. */
  readonly draw: number;
}

/** Longest time in ms from the start of one disturbance to the next; many last longer, so that they overlap. */
const MAX_GAP_MS = 1_400;

/** Longest duration in ms of a disturbance that lasts. */
const MAX_DURATION_MS = 4_000;

/** Share of the lasting disturbances after whose end a backend server leaves without draining first. */
const FOLLOWED_BY_LEAVE_SHARE = 0.5;

/** Longest time in ms from the end of such a disturbance to the removal of the server. */
const MAX_LEAVE_DELAY_MS = 1_500;

const KINDS: readonly DisturbanceKind[] = Object.values(DisturbanceKind);

function maxDurationMs(kind: DisturbanceKind): number {
  switch (kind) {
    case DisturbanceKind.Cut:
    case DisturbanceKind.StoreDown:
    case DisturbanceKind.Pause: return MAX_DURATION_MS;
    case DisturbanceKind.Reset:
    case DisturbanceKind.Compact:
    case DisturbanceKind.Kill:
    case DisturbanceKind.Stop:
    case DisturbanceKind.Drain:
    case DisturbanceKind.Leave:
    case DisturbanceKind.Crash:
    case DisturbanceKind.Configure: return 0;
    default: return assertNever(kind);
  }
}

/** Returns the disturbances of one seed in order of time, all within `durationMs`; deterministic for a given seed. */
export function planDisturbances(seed: number, durationMs: number): readonly Disturbance[] {
  const random = new SeededRandom(seed);
  const plan: Disturbance[] = [];
  for (let at = 0; at < durationMs; at += MAX_GAP_MS * random.float()) {
    const kind = random.pick(KINDS);
    const forMs = maxDurationMs(kind) * random.float();
    plan.push({
      kind, at, forMs: Math.min(forMs, durationMs - at), draw: random.float(),
    });
    if (forMs > 0 && random.float() < FOLLOWED_BY_LEAVE_SHARE) {
      const leaveAt = Math.min(at + forMs + MAX_LEAVE_DELAY_MS * random.float(), durationMs);
      plan.push({
        kind: DisturbanceKind.Leave, at: leaveAt, forMs: 0, draw: random.float(),
      });
    }
  }
  return plan.sort((left, right) => left.at - right.at);
}
