import type { Clock, Disposable, Log } from '../core/edges/index.js';
import { ConnectionPool } from './connections.js';
import type { Occupancy, OpenCalls } from './occupancy.js';
import type { Candidate } from './placement.js';
import type { ServerRecord, ServerRegistry } from './servers.js';

/** Time in ms for which a server is avoided after it was found not to answer. */
const SILENT_MS = 1_200;

/** Failures in a row after which a server is avoided. */
const LEAST_IN_ROW = 2;

/** Time in ms for which it is avoided then; each further failure doubles it up to {@link MAX_REFUSING_MS}. */
const REFUSING_MS = 100;

const MAX_REFUSING_MS = 1_600;

/** Time in ms between two looks for answers whose head has no end. */
const ENDLESS_PERIOD_MS = 100;

/** Called when something begins to be avoided, with the failures in a row and the time in ms. */
export type AvoidedListener = (inRow: number, forMs: number) => void;

/** Failures in a row, and for how long what fails is avoided. */
export class Suspicion {
  private inRow = 0;

  private avoidUntil = -Infinity;

  public constructor(private readonly clock: Clock, private readonly onAvoided: AvoidedListener) {}

  /** Whether so many failures came in a row that further ones are likely. */
  public get failing(): boolean {
    return this.inRow >= LEAST_IN_ROW;
  }

  /** Whether it should be left alone now. */
  public get avoided(): boolean {
    return this.failing && this.clock.monotonic() < this.avoidUntil;
  }

  public succeeded(): void {
    this.inRow = 0;
  }

  public failed(): void {
    const { avoided } = this;
    this.inRow += 1;
    this.avoid(avoided, Math.min(MAX_REFUSING_MS, REFUSING_MS * 2 ** Math.max(0, this.inRow - LEAST_IN_ROW)));
  }

  /** Avoids at once and for a longer time what gave no answer. */
  public fellSilent(): void {
    const { avoided } = this;
    this.inRow = Math.max(LEAST_IN_ROW, this.inRow + 1);
    this.avoid(avoided, SILENT_MS);
  }

  private avoid(already: boolean, forMs: number): void {
    this.avoidUntil = Math.max(this.avoidUntil, this.clock.monotonic() + forMs);
    // Calls that were under way when it began to be avoided fail too, and say nothing new.
    if (!already && this.avoided) this.onAvoided(this.inRow, forMs);
  }
}

/** One start of a backend server, as this process uses it. */
export class ServerUse {
  /** Monotonic time in ms of the last answer of any kind. */
  public answeredAt = -Infinity;

  /** How calls went on elsewhere from what was prefilled here. */
  public readonly handovers: Suspicion;

  private readonly calls: Suspicion;

  /** Calls open that find out whether a server that was avoided takes work again. */
  private probes = 0;

  public constructor(
    public readonly pool: ConnectionPool,
    private readonly clock: Clock,
    onAvoided: (what: 'calls' | 'handovers', ...details: Parameters<AvoidedListener>) => void = () => {},
  ) {
    this.calls = new Suspicion(clock, (...details) => onAvoided('calls', ...details));
    this.handovers = new Suspicion(clock, (...details) => onAvoided('handovers', ...details));
  }

  /** Whether the server should get no work now; after a while one call at a time tries it again. */
  public get suspect(): boolean {
    return this.calls.avoided || (this.calls.failing && this.probes > 0);
  }

  /** Counts a call that may find out whether the server takes work again. */
  public enter(): Disposable {
    if (!this.calls.failing) return { dispose: () => {} };
    this.probes += 1;
    return {
      dispose: () => {
        this.probes -= 1;
      },
    };
  }

  public succeeded(): void {
    this.answeredAt = this.clock.monotonic();
    this.calls.succeeded();
  }

  /** Notes a refusal, or an answer that broke off. */
  public refused(): void {
    this.answeredAt = this.clock.monotonic();
    this.calls.failed();
  }

  /** Notes that the server can't be reached, or does not answer. */
  public silent(): void {
    this.calls.fellSilent();
  }
}

/** Connections and open calls of this process at each backend server that is registered. */
export class FleetUse implements Disposable {
  private readonly uses = new Map<string, { readonly bornAt: number; readonly use: ServerUse }>();

  private readonly subscription: Disposable;

  private timer: Disposable | null = null;

  public constructor(
    private readonly registry: ServerRegistry,
    private readonly occupancy: Occupancy,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {
    this.subscription = registry.onChange((id) => this.follow(id));
    this.watchHeads();
  }

  /** Servers of a service that take work; `limit` is the most calls that may be open at one. */
  public candidates(
    service: string,
    open: (calls: OpenCalls) => number,
    limit: (record: ServerRecord) => number,
  ): readonly Candidate[] {
    return this.registry.available(service).map((record) => ({
      record,
      open: open(this.occupancy.total(record.id)),
      limit: limit(record),
      suspect: this.of(record).suspect,
    }));
  }

  public of(record: ServerRecord): ServerUse {
    const known = this.uses.get(record.id);
    if (known?.bornAt === record.bornAt) return known.use;
    known?.use.pool.dispose();
    const use = new ServerUse(new ConnectionPool(record.address), this.clock, (what, inRow, forMs) => {
      this.log.warn('server_avoided', {
        server: record.id, service: record.service, what, failures: inRow, for_ms: forMs,
      });
    });
    this.uses.set(record.id, { bornAt: record.bornAt, use });
    return use;
  }

  /** The server that is registered under an id, or `null`. */
  public record(id: string): ServerRecord | null {
    return this.registry.get(id);
  }

  /** Revision of the store at which a server's record was learned, or `null`. */
  public revision(id: string): number | null {
    return this.registry.revision(id);
  }

  public dump(): readonly Record<string, unknown>[] {
    return this.registry.all().map((record) => {
      const use = this.of(record);
      return {
        ...record,
        revision: this.registry.revision(record.id),
        open: this.occupancy.total(record.id),
        connections: use.pool.size,
        suspect: use.suspect,
      };
    });
  }

  public dispose(): void {
    this.subscription.dispose();
    this.timer?.dispose();
    for (const { use } of this.uses.values()) use.pool.dispose();
    this.uses.clear();
  }

  private watchHeads(): void {
    for (const { use } of this.uses.values()) use.pool.abortEndless();
    this.timer = this.clock.after(ENDLESS_PERIOD_MS, () => this.watchHeads());
  }

  private follow(id: string): void {
    const record = this.registry.get(id);
    const known = this.uses.get(id);
    if (known === undefined) return;
    if (record?.bornAt === known.bornAt) return;
    known.use.pool.dispose();
    this.uses.delete(id);
  }
}
