import type { Clock } from '../../core/interfaces/index.js';
import type { OpenCalls } from '../occupancy.js';

/** Time in ms over which the largest demand counts, so that capacity does not follow each short fall of the load. */
const PEAK_WINDOW_MS = 30_000;

/** Time in ms over which samples are averaged, so that a few calls at one moment do not count as a peak. */
const BUCKET_MS = 1_000;

/** Prefills that an engine should have open on average: it reads one prompt at a time, and the next one waits there. */
const PREFILLS_PER_ENGINE = 2;

/** Waiting calls that count as one server: a queue shows a lack of servers, but not its size. */
const WAITING_PER_SERVER = 8;

/** Share of its slots that a server should have taken on average. */
const SLOT_SHARE = 1 / 2;

/** Work of a service at one moment, of all gateways together. */
export interface ServiceLoad extends OpenCalls {
  /** Calls that wait at gateways for a prefill. */
  readonly waiting: number;
  /** Calls that one server runs at once. */
  readonly slots: number;
}

/** Number of servers that a load keeps as busy as they should be. */
export function serversFor({
  prefills, continuations, wholes, waiting, slots,
}: ServiceLoad): number {
  return prefills / PREFILLS_PER_ENGINE + waiting / WAITING_PER_SERVER
    + (continuations + wholes) / (Math.max(1, slots) * SLOT_SHARE);
}

interface Bucket {
  readonly since: number;
  sum: number;
  samples: number;
}

/** Keeps the largest demand of the last half minute, in servers. */
export class DemandMeter {
  private buckets: Bucket[] = [];

  private startedAt: number | null = null;

  public constructor(private readonly clock: Clock) {}

  public add(servers: number): void {
    const now = this.clock.monotonic();
    this.startedAt ??= now;
    const last = this.buckets.at(-1);
    if (last !== undefined && now - last.since < BUCKET_MS) {
      last.sum += servers;
      last.samples += 1;
    } else this.buckets.push({ since: now, sum: servers, samples: 1 });
    this.buckets = this.buckets.filter(({ since }) => now - since <= PEAK_WINDOW_MS);
  }

  /** Number of servers that the largest recent load needs; `floor` counts until the load was seen for long enough. */
  public needed(floor: number): number {
    const seenMs = this.startedAt === null ? 0 : this.clock.monotonic() - this.startedAt;
    const peak = Math.max(0, ...this.buckets.map(({ sum, samples }) => sum / samples));
    return Math.ceil(seenMs < PEAK_WINDOW_MS ? Math.max(peak, floor) : peak);
  }
}
