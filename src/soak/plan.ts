import { SeededRandom } from '../emulator/random.js';
import { assertNever } from '../core/result.js';

/** What the soak does to gateways, their paths to the store, the store and the backend servers. */
export enum DisturbanceKind {
  /** The path of one gateway to the store falls silent. */
  Cut = 'cut',
  /** All connections of one gateway to the store are reset. */
  Reset = 'reset',
  /** The store answers nobody. */
  StoreDown = 'store_down',
  /** The store drops its history. */
  Compact = 'compact',
  /** One gateway stands still. */
  Pause = 'pause',
  Kill = 'kill',
  /** A planned stop of one gateway, which starts again. */
  Stop = 'stop',
  /** A backend server says that it drains, and leaves later; another one comes. */
  Drain = 'drain',
  /** The record of a backend server goes, and it leaves later; another one comes. */
  Leave = 'leave',
  /** A backend server is gone at once; another one comes. */
  Crash = 'crash',
  /** The configuration gets one more route. */
  Configure = 'configure',
}

/** One disturbance; times in ms from the begin of the load. */
export interface Disturbance {
  readonly kind: DisturbanceKind;
  readonly at: number;
  /** How long it lasts, for those that end. */
  readonly forMs: number;
  /** Draw that picks the gateway or the backend server. */
  readonly draw: number;
}

/** Longest gap in ms between two disturbances; many last longer, so they overlap. */
const LONGEST_GAP_MS = 1_400;

const LONGEST_MS = 4_000;

/** Share of the disturbances that last, at whose end a backend server leaves without saying so before. */
const FOLLOWED_SHARE = 0.5;

/** Longest time in ms from such an end to the removal. */
const FOLLOWED_WITHIN_MS = 1_500;

const KINDS: readonly DisturbanceKind[] = Object.values(DisturbanceKind);

function longestMs(kind: DisturbanceKind): number {
  switch (kind) {
    case DisturbanceKind.Cut:
    case DisturbanceKind.StoreDown:
    case DisturbanceKind.Pause: return LONGEST_MS;
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

/** Disturbances of one seed within `durationMs`; the same for the same seed. */
export function planDisturbances(seed: number, durationMs: number): readonly Disturbance[] {
  const random = new SeededRandom(seed);
  const plan: Disturbance[] = [];
  for (let at = 0; at < durationMs; at += LONGEST_GAP_MS * random.float()) {
    const kind = random.pick(KINDS);
    const forMs = longestMs(kind) * random.float();
    plan.push({
      kind, at, forMs: Math.min(forMs, durationMs - at), draw: random.float(),
    });
    if (forMs > 0 && random.float() < FOLLOWED_SHARE) {
      const followedAt = Math.min(at + forMs + FOLLOWED_WITHIN_MS * random.float(), durationMs);
      plan.push({
        kind: DisturbanceKind.Leave, at: followedAt, forMs: 0, draw: random.float(),
      });
    }
  }
  return plan.sort((left, right) => left.at - right.at);
}
