import { CONFIGURATION_KEY, applyFile } from './apply.js';
import { DisposableStore } from '../disposables.js';
import type {
  Clock, Disposable, KeyValue, Log, Meter, PeerClient, PeerServer, Random,
} from '../interfaces/index.js';
import type { Fleet } from './fleet.js';
import type { Members } from '../membership/index.js';
import { Propagation } from './propagation.js';
import { lowestByRendezvous } from '../rendezvous.js';
import { Revisions, decodeRecord } from './revisions.js';
import type { ApplyOutcome, FleetParser, FleetRevision } from './revisions.js';
import { sleep } from '../time.js';

/** Number of members that watch the key in the key-value service. */
const WATCHERS = 3;

const READ_INTERVAL_MS = 10_000;

/** Fleet size up to which each member reads the service every 10 s; larger fleets share the same total read rate. */
const READERS_AT_FULL_RATE = 6;

/** Number of members that a starting process pulls from, besides the seeds. */
const INITIAL_PULL_MEMBERS = 3;

const CATCH_UP_INTERVAL_MS = 500;

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
  /** Addresses of entries to pull from at the start, besides the key-value service. */
  readonly seeds: readonly string[];
  readonly parse: FleetParser;
  readonly log: Log;
  readonly meter: Meter;
}

/**
 * The fleet file of one process. A new file is written to the key-value service by a compare-and-swap and propagated
 * between entries; a revision is never replaced by a lower one.
 */
export class Configuration {
  private readonly revisions: Revisions;

  private readonly propagation: Propagation;

  private readonly disposables = new DisposableStore();

  private readonly callCounts: Record<string, number> = {
    get: 0, transact: 0, watch: 0,
  };

  /** Highest version of the key seen so far; a new watch starts after it. */
  private version = 0;

  private watching = false;

  public constructor(private readonly options: ConfigurationOptions) {
    this.revisions = new Revisions(options);
    this.propagation = this.disposables.add(new Propagation({ ...options, revisions: this.revisions }));
  }

  /** Fleet file in force, or `null` before the first one. */
  public currentFile(): FleetRevision | null {
    return this.revisions.inForce();
  }

  /** Parsed fleet file in force, or `null` before the first one. */
  public fleet(): Fleet | null {
    return this.revisions.fleet();
  }

  /** Calls `listener` whenever a new revision is in force. */
  public onChange(listener: () => void): Disposable {
    return this.revisions.onChange(listener);
  }

  /**
   * Validates and applies a complete file. `baseRevision` is the revision that the operator's file is based on; without
   * it, the file replaces the revision in force. `timeoutMs` is the time in ms after which the attempt ends.
   */
  public async apply(file: string, baseRevision: number | undefined, timeoutMs: number): Promise<ApplyOutcome> {
    const parsed = this.options.parse(file);
    if (!parsed.success) return { type: 'invalid', issues: parsed.error };
    const outcome = await applyFile(file, {
      ...this.options,
      revisions: this.revisions,
      baseRevision,
      timeoutMs,
      onCall: (method) => this.countCall(method),
    });
    this.options.meter.count('configuration_applies', 1, { outcome: outcome.type });
    return outcome;
  }

  /** Reads the service, and pulls from all seeds and a few members, once; returns whether a file is in force. */
  public async loadInitial(): Promise<boolean> {
    const { seeds, members } = this.options;
    const own = members.self().address;
    // Each answer may contain a whole file, so it pulls from only a few members besides the seeds.
    const others = members.live().map(({ address }) => address);
    const sampled = lowestByRendezvous(others, own, INITIAL_PULL_MEMBERS);
    const addresses = [...new Set([...seeds, ...sampled])];
    await Promise.all([
      this.read(),
      ...addresses.filter((address) => address !== own).map((address) => this.propagation.pull(address)),
    ]);
    return this.revisions.revision > 0;
  }

  /** Loads a file, retrying until one is in force, and keeps it up to date until `signal` aborts. */
  public async run(signal: AbortSignal): Promise<void> {
    await Promise.all([
      this.loadUntilInForce(signal),
      this.readRegularly(signal),
      this.watchWhileChosen(signal),
      this.catchUpRegularly(signal),
    ]);
  }

  /** Dumps the state under stable keys, with ages in ms. */
  public dump(): Record<string, unknown> {
    return {
      ...this.revisions.dump(),
      watching: this.watching,
      service_version: this.version,
      service_calls: { ...this.callCounts },
      peer_messages: this.propagation.dump(),
    };
  }

  /** Stops answering peers and following the members. */
  public dispose(): void {
    this.disposables.dispose();
  }

  private async loadUntilInForce(signal: AbortSignal): Promise<void> {
    const { clock, random } = this.options;
    while (!signal.aborted && this.revisions.revision === 0 && !await this.loadInitial()) {
      await sleep(clock, RETRY_MS * (0.5 + random.float()), signal);
    }
  }

  private async read(): Promise<void> {
    this.countCall('get');
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
      await sleep(clock, READ_INTERVAL_MS * share * (0.5 + random.float()), signal);
      if (!signal.aborted) await this.read();
    }
  }

  /** Repeats failed pulls, and pulls when the membership reports a higher revision of another member. */
  private async catchUpRegularly(signal: AbortSignal): Promise<void> {
    const { clock, random } = this.options;
    while (!signal.aborted) {
      await sleep(clock, CATCH_UP_INTERVAL_MS * (0.5 + random.float()), signal);
      this.propagation.catchUp();
    }
  }

  /** True if this member is one of the few that watch the key in the key-value service. */
  private isWatcher(): boolean {
    const { members } = this.options;
    const self = members.self();
    const ids = [self, ...members.live()].filter(({ leaving }) => !leaving).map(({ id }) => id);
    return lowestByRendezvous(ids, CONFIGURATION_KEY, WATCHERS).includes(self.id);
  }

  private async watchWhileChosen(signal: AbortSignal): Promise<void> {
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
    this.countCall('watch');
    const events = this.options.keyValue.watch(CONFIGURATION_KEY, this.version + 1, signal);
    for await (const event of events) {
      if (event.type !== 'put' || event.entry.key !== CONFIGURATION_KEY) continue;
      this.version = Math.max(this.version, event.entry.version);
      const record = decodeRecord(event.entry);
      if (record !== null) this.revisions.adopt(record, 'watch');
    }
  }

  private countCall(method: 'get' | 'transact' | 'watch'): void {
    this.callCounts[method] = (this.callCounts[method] ?? 0) + 1;
  }
}
