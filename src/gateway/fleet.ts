import type { Clock, Disposable } from '../core/edges.js';
import { ConnectionPool } from './connections.js';
import type { Occupancy, OpenCalls } from './occupancy.js';
import type { Candidate } from './placement.js';
import { incarnationOf } from './servers.js';
import type { ServerRecord, ServerRegistry } from './servers.js';

/** Time in ms for which a server is avoided after a call failed there. */
const SUSPECT_MS = 1_500;

/** Failures in a row after which a server is avoided. */
const SUSPECT_FAILURES = 2;

/** One start of a backend server, as this process uses it. */
export class ServerUse {
  private failures = 0;

  private suspectUntil = -Infinity;

  public constructor(
    public readonly pool: ConnectionPool,
    private readonly clock: Clock,
  ) {}

  public get suspect(): boolean {
    return this.clock.monotonic() < this.suspectUntil;
  }

  public succeeded(): void {
    this.failures = 0;
    this.suspectUntil = -Infinity;
  }

  /** Notes a call without an answer; `certain` where the server can't be reached at all. */
  public failed(certain: boolean): void {
    this.failures += 1;
    if (certain || this.failures >= SUSPECT_FAILURES) this.suspectUntil = this.clock.monotonic() + SUSPECT_MS;
  }
}

/** Connections and open calls of this process at each backend server that is registered. */
export class FleetUse implements Disposable {
  private readonly uses = new Map<string, { readonly incarnation: string; readonly use: ServerUse }>();

  private readonly subscription: Disposable;

  public constructor(
    private readonly registry: ServerRegistry,
    private readonly occupancy: Occupancy,
    private readonly clock: Clock,
  ) {
    this.subscription = registry.onChange((id) => this.follow(id));
  }

  /** Servers of a service that take work; `limit` is the most calls that may be open at one. */
  public candidates(
    service: string,
    kind: keyof OpenCalls,
    limit: (record: ServerRecord) => number,
  ): readonly Candidate[] {
    return this.registry.available(service).map((record) => ({
      record,
      open: this.occupancy.total(record.id)[kind],
      limit: limit(record),
      suspect: this.of(record).suspect,
    }));
  }

  public of(record: ServerRecord): ServerUse {
    const incarnation = incarnationOf(record);
    const known = this.uses.get(record.id);
    if (known?.incarnation === incarnation) return known.use;
    known?.use.pool.dispose();
    const use = new ServerUse(new ConnectionPool(record.address), this.clock);
    this.uses.set(record.id, { incarnation, use });
    return use;
  }

  /** Use of the server that is registered at an address, or `null`. */
  public byAddress(address: string): ServerUse | null {
    const record = this.registry.all().find((candidate) => candidate.address === address);
    return record === undefined ? null : this.of(record);
  }

  public dump(): readonly Record<string, unknown>[] {
    return this.registry.all().map((record) => {
      const use = this.of(record);
      return {
        ...record, open: this.occupancy.total(record.id), connections: use.pool.size, suspect: use.suspect,
      };
    });
  }

  public dispose(): void {
    this.subscription.dispose();
    for (const { use } of this.uses.values()) use.pool.dispose();
    this.uses.clear();
  }

  private follow(id: string): void {
    const record = this.registry.get(id);
    const known = this.uses.get(id);
    if (known === undefined) return;
    if (record !== null && incarnationOf(record) === known.incarnation) return;
    known.use.pool.dispose();
    this.uses.delete(id);
  }
}
