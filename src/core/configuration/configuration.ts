import { CONFIGURATION_KEY, applyFile } from './applying.js';
import { DisposableStore } from '../disposables.js';
import type {
  Clock, Disposable, KeyValue, Log, Meter, PeerClient, PeerServer, Random,
} from '../edges/index.js';
import type { Fleet } from './fleet.js';
import type { Members } from '../membership/index.js';
import { Propagation } from './propagation.js';
import { lowestByRendezvous } from '../rendezvous.js';
import { Revisions, decodeRecord } from './revisions.js';
import type { ApplyOutcome, FleetParser, InForce } from './revisions.js';
import { sleep } from '../time.js';

const WATCHERS = 3;

const READ_EVERY_MS = 10_000;

/** Members up to which each reads the service every 10 s; a larger fleet shares the same total rate of reads. */
const READERS_AT_FULL_RATE = 6;

const START_MEMBERS = 3;

const CATCH_UP_EVERY_MS = 500;

const RETRY_MS = 1_000;

const CALL_TIMEOUT_MS = 1_000;

/** Options of {@link Configuration}. */
export interface ConfigurationOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly keyValue: KeyValue;
  readonly members: Members;
  readonly peers: PeerClient;
  readonly server: PeerServer;
  /** Addresses asked at the start, besides the service. */
  readonly seeds: readonly string[];
  readonly parse: FleetParser;
  readonly log: Log;
  readonly meter: Meter;
}

/** The fleet file: applied by one compare-and-swap, passed on by peers, and never replaced by a lower revision. */
export class Configuration {
  private readonly revisions: Revisions;

  private readonly propagation: Propagation;

  private readonly disposables = new DisposableStore();

  private readonly calls: Record<string, number> = {
    get: 0, transact: 0, watch: 0,
  };

  /** Version of the key at the last contact with the service; a broken watch resumes after it. */
  private version = 0;

  private watching = false;

  public constructor(private readonly options: ConfigurationOptions) {
    this.revisions = new Revisions(options);
    this.propagation = this.disposables.add(new Propagation({ ...options, revisions: this.revisions }));
  }

  /** Fleet file in force, or `null` before the first. */
  public show(): InForce | null {
    return this.revisions.inForce();
  }

  public fleet(): Fleet | null {
    return this.revisions.fleet();
  }

  /** Calls `listener` after each new revision. */
  public onChange(listener: () => void): Disposable {
    return this.revisions.onChange(listener);
  }

  /**
   * Applies a complete file. `baseRevision` is the revision that the operator read; absent means whatever is in force.
   */
  public async apply(file: string, baseRevision: number | undefined, timeoutMs: number): Promise<ApplyOutcome> {
    const parsed = this.options.parse(file);
    if (!parsed.success) return { type: 'invalid', issues: parsed.error };
    const outcome = await applyFile(file, {
      ...this.options,
      revisions: this.revisions,
      baseRevision,
      timeoutMs,
      onCall: (method) => this.count(method),
    });
    this.options.meter.count('configuration_applies', 1, { outcome: outcome.type });
    return outcome;
  }

  /** Asks the service and all seeds once and takes the highest revision; true once a file is in force. */
  public async start(): Promise<boolean> {
    const { seeds, members } = this.options;
    const own = members.self().address;
    // Every answer may be a whole file, so only a few members are asked besides the seeds.
    const others = members.live().map(({ address }) => address);
    const few = lowestByRendezvous(others, own, START_MEMBERS);
    const addresses = [...new Set([...seeds, ...few])];
    await Promise.all([
      this.read(),
      ...addresses.filter((address) => address !== own).map((address) => this.propagation.pull(address)),
    ]);
    return this.revisions.revision > 0;
  }

  /** Asks until a file is in force, and keeps it up to date until `signal` aborts. */
  public async run(signal: AbortSignal): Promise<void> {
    await Promise.all([
      this.startUntilInForce(signal),
      this.readRegularly(signal),
      this.watchWhenChosen(signal),
      this.catchUpRegularly(signal),
    ]);
  }

  /** State under stable keys, with ages in ms. */
  public dump(): Record<string, unknown> {
    return {
      ...this.revisions.dump(),
      watching: this.watching,
      service_version: this.version,
      service_calls: { ...this.calls },
      peer_messages: this.propagation.dump(),
    };
  }

  public dispose(): void {
    this.disposables.dispose();
  }

  private async startUntilInForce(signal: AbortSignal): Promise<void> {
    const { clock, random } = this.options;
    while (!signal.aborted && this.revisions.revision === 0 && !await this.start()) {
      await sleep(clock, RETRY_MS * (0.5 + random.float()), signal);
    }
  }

  private async read(): Promise<void> {
    this.count('get');
    const entry = await this.options.keyValue.get(CONFIGURATION_KEY, { timeoutMs: CALL_TIMEOUT_MS });
    if (!entry.success) return;
    this.version = Math.max(this.version, entry.data?.version ?? 0);
    const record = decodeRecord(entry.data);
    if (record !== null) this.revisions.adopt(record, 'service');
  }

  private async readRegularly(signal: AbortSignal): Promise<void> {
    const { clock, random, members } = this.options;
    while (!signal.aborted) {
      const share = Math.max(1, (members.live().length + 1) / READERS_AT_FULL_RATE);
      await sleep(clock, READ_EVERY_MS * share * (0.5 + random.float()), signal);
      if (!signal.aborted) await this.read();
    }
  }

  /** Repeats pulls that failed, and finds revisions that arrived with heartbeats. */
  private async catchUpRegularly(signal: AbortSignal): Promise<void> {
    const { clock, random } = this.options;
    while (!signal.aborted) {
      await sleep(clock, CATCH_UP_EVERY_MS * (0.5 + random.float()), signal);
      this.propagation.catchUp();
    }
  }

  /** Whether this member is one of the few that hold a watch. */
  private isWatcher(): boolean {
    const { members } = this.options;
    const self = members.self();
    const ids = [self, ...members.live()].filter(({ leaving }) => !leaving).map(({ id }) => id);
    return lowestByRendezvous(ids, CONFIGURATION_KEY, WATCHERS).includes(self.id);
  }

  private async watchWhenChosen(signal: AbortSignal): Promise<void> {
    const { clock, random, members } = this.options;
    while (!signal.aborted) {
      const changed = new AbortController();
      const ended = AbortSignal.any([signal, changed.signal]);
      const listener = members.onChange(() => {
        if (this.isWatcher() !== this.watching) changed.abort();
      });
      this.watching = this.isWatcher();
      if (this.watching) await this.watch(ended);
      await sleep(clock, RETRY_MS * (0.5 + random.float()), ended);
      listener.dispose();
    }
    this.watching = false;
  }

  private async watch(signal: AbortSignal): Promise<void> {
    this.count('watch');
    const events = this.options.keyValue.watch(CONFIGURATION_KEY, this.version + 1, signal);
    for await (const event of events) {
      if (event.type !== 'put' || event.entry.key !== CONFIGURATION_KEY) continue;
      this.version = Math.max(this.version, event.entry.version);
      const record = decodeRecord(event.entry);
      if (record !== null) this.revisions.adopt(record, 'watch');
    }
  }

  private count(method: 'get' | 'transact' | 'watch'): void {
    this.calls[method] = (this.calls[method] ?? 0) + 1;
  }
}
