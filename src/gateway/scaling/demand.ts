import type { Clock } from '../../core/interfaces/index.js';
import type { OpenCalls } from '../occupancy.js';

/** Time in ms over which the largest demand counts, so that capacity does not follow short falls of the load. */
const PEAK_WINDOW_MS = 30_000;

/** Time in ms over which samples are averaged, so that a few calls at one moment do not count as a peak. */
const BUCKET_MS = 2_000;

/** Share of the time for which a server should be busy on average. */
const TARGET_UTILIZATION = 0.6;

/** Load of one server at one moment, from all gateways together. */
export interface ServerLoad extends OpenCalls {
  /** Calls that the server runs at once. */
  readonly slots: number;
}

/**
 * Share of a server that is busy: one prefill keeps an engine busy, other calls take one of its slots. A server that
 * does not answer holds many calls, and counts as one busy server.
 */
export function busyShare({
  prefills, continuations, wholes, slots,
}: ServerLoad): number {
  return Math.min(1, prefills + (continuations + wholes) / Math.max(1, slots));
}

/** Number of servers that are as busy with a load as they should be. */
export function serversFor(loads: readonly ServerLoad[]): number {
  return loads.reduce((sum, load) => sum + busyShare(load), 0) / TARGET_UTILIZATION;
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
