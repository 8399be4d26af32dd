import type {
  Clock, Disposable, Log, Meter,
} from '../core/interfaces/index.js';
import type { ServerRecord } from './serverregistry.js';

/** Largest number of pauses that are kept; beyond it, the one that ends first is forgotten. */
const MAX_PAUSES = 20_000;

/** Dependencies of {@link ServerPauses}. */
export interface ServerPausesDependencies {
  readonly clock: Clock;
  readonly log: Log;
  readonly meter: Meter;
}

/** Incarnation of a backend server. */
type Incarnation = Pick<ServerRecord, 'id' | 'bornAt'>;

interface Pause {
  /** Monotonic time in ms. */
  endsAt: number;
  timer: Disposable;
}

function keyOf({ id, bornAt }: Incarnation): string {
  return `${bornAt} ${id}`;
}

/**
 * Pauses for which backend servers have asked: until their end this process sends such a server no request. They belong
 * to an incarnation, whatever becomes of its record, and to this process, as the server has asked no other one.
 */
export class ServerPauses implements Disposable {
  private readonly pauses = new Map<string, Pause>();

  private readonly listeners = new Set<() => void>();

  public constructor(private readonly deps: ServerPausesDependencies) {}

  /** Number of servers that are paused now. */
  public get size(): number {
    return this.pauses.size;
  }

  /** Monotonic time in ms at which the pause of an incarnation ends; `null` where it has none. */
  public endsAt(server: Incarnation): number | null {
    if (this.pauses.size === 0) return null;
    const endsAt = this.pauses.get(keyOf(server))?.endsAt ?? -Infinity;
    return endsAt > this.deps.clock.monotonic() ? endsAt : null;
  }

  /**
   * Records that a server wants no request for `pauseMs`, stated in the answer to a request of the given kind. A pause
   * never becomes shorter.
   */
  public record(server: ServerRecord, pauseMs: number, answerTo: string): void {
    const { clock, log, meter } = this.deps;
    meter.count('server_pauses', 1, { answer_to: answerTo });
    meter.record('server_pause_ms', pauseMs);
    const key = keyOf(server);
    const endsAt = clock.monotonic() + pauseMs;
    const known = this.pauses.get(key);
    if (known !== undefined) {
      known.endsAt = Math.max(known.endsAt, endsAt);
      return;
    }
    this.pauses.set(key, { endsAt, timer: this.endAfter(key, pauseMs) });
    if (this.pauses.size > MAX_PAUSES) this.forgetFirst();
    meter.gauge('servers_paused', this.pauses.size);
    log.info('server_paused', {
      server: server.id, service: server.service, born: server.bornAt, for_ms: Math.round(pauseMs), answer_to: answerTo,
    });
  }

  /** Calls `listener` whenever a pause has ended. */
  public onEnd(listener: () => void): Disposable {
    this.listeners.add(listener);
    return { dispose: () => this.listeners.delete(listener) };
  }

  public dispose(): void {
    for (const { timer } of this.pauses.values()) timer.dispose();
    this.pauses.clear();
  }

  private endAfter(key: string, delayMs: number): Disposable {
    return this.deps.clock.after(Math.ceil(delayMs), () => this.endIfDue(key));
  }

  private endIfDue(key: string): void {
    const pause = this.pauses.get(key);
    if (pause === undefined) return;
    const leftMs = pause.endsAt - this.deps.clock.monotonic();
    if (leftMs > 0) {
      pause.timer = this.endAfter(key, leftMs);
      return;
    }
    this.pauses.delete(key);
    this.deps.meter.gauge('servers_paused', this.pauses.size);
    for (const listener of this.listeners) listener();
  }

  private forgetFirst(): void {
    let first: [string, Pause] | null = null;
    for (const entry of this.pauses) if (first === null || entry[1].endsAt < first[1].endsAt) first = entry;
    if (first === null) return;
    first[1].timer.dispose();
    this.pauses.delete(first[0]);
  }
}
