import type { EngineDirectory } from './directory.js';
import type {
  CallOptions, Clock, Disposable, HostList, HostRecord, Log, Random,
} from '../edges/index.js';
import { ServerState } from '../configuration/index.js';
import type { Fleet } from '../configuration/index.js';
import { LeavingSource, ServerLife } from './life.js';
import type { Members, NoteListener } from '../membership/index.js';
import { lowestByRendezvous } from '../rendezvous.js';
import type { ServerDirectory } from './servers.js';
import { sleep } from '../time.js';

/** Spreads small facts among the entries; implemented by `Membership`. */
export interface NoteBoard extends Pick<Members, 'self' | 'live'> {
  publish(topic: string, key: string, value: string): void;
  onNote(topic: string, listener: NoteListener): Disposable;
}

/** Edges of {@link LeavingServers}. */
export interface LeavingEdges {
  readonly clock: Clock;
  readonly random: Random;
  readonly hosts: HostList;
  readonly notes: NoteBoard;
  readonly engines: EngineDirectory;
  readonly servers: ServerDirectory;
  readonly log: Log;
}

const TOPIC = 'leaving';
const POLL_MS = 1_000;
const POLL_TIMEOUT_MS = 1_000;

/** Entries that read the host list in each period. */
const HOST_READERS = 3;

/** Period in which the other entries read it, and the least period for each host in the list. */
const REPAIR_MS = 30_000;
const REPAIR_PER_HOST_MS = 60;

/** A host that was missing from the list for this long and comes back is a new one. */
const HOST_ABSENT_MS = 60_000;

/** Which backend servers are leaving: the first source that says so counts, and none can take it back by itself. */
export class LeavingServers {
  private readonly watched = new Map<string, ServerLife>();

  /** Monotonic time since which a host is missing from the host list. */
  private readonly absentSince = new Map<string, number>();

  private readonly listeners = new Set<(server: string) => void>();

  public constructor(private readonly edges: LeavingEdges) {}

  /** True if a backend server may get new work. */
  public accepts(server: string): boolean {
    return this.watched.get(server)?.leaving !== true;
  }

  /** Calls `listener` with each server that starts or stops leaving. */
  public onChange(listener: (server: string) => void): Disposable {
    this.listeners.add(listener);
    return { dispose: () => this.listeners.delete(listener) };
  }

  /** Takes the servers of a fleet file; another address, host or state is an explicit change and starts a new life. */
  public follow(fleet: Fleet): void {
    const specs = [...fleet.engines, ...fleet.servers];
    const names = new Set(specs.map(({ name }) => name));
    for (const name of this.watched.keys()) {
      if (!names.has(name)) this.watched.delete(name);
    }
    for (const {
      name, host, address, state,
    } of specs) {
      const spec = `${address} ${host} ${state}`;
      const known = this.watched.get(name);
      if (known?.spec === spec) continue;
      const life = new ServerLife(host, spec);
      if (known !== undefined) life.inherit(known);
      this.watched.set(name, life);
      if (state !== ServerState.Active) life.signal(LeavingSource.FleetFile, this.edges.clock.monotonic());
      if (life.leaving !== (known?.leaving ?? false)) this.changed(name);
    }
  }

  /** Takes what a server says of itself; `incarnation` is known for engines and changes when they restart. */
  public observe(server: string, leaving: boolean, incarnation?: string): void {
    this.apply(server, LeavingSource.Server, (life, time) => {
      if (incarnation !== undefined) life.observe(incarnation);
      if (leaving) life.signal(LeavingSource.Server, time);
    });
  }

  /** Takes one reading of the host list. */
  public observeHosts(records: readonly HostRecord[]): void {
    const now = this.edges.clock.monotonic();
    const listed = new Map(records.map((record) => [record.host, record.state]));
    const hosts = new Set([...this.watched.values()].map(({ host }) => host));
    for (const name of this.watched.keys()) {
      this.apply(name, LeavingSource.HostList, (life, time) => {
        const state = listed.get(life.host);
        if (state === undefined) return;
        if (time - (this.absentSince.get(life.host) ?? time) >= HOST_ABSENT_MS) life.renew();
        life.list(state, time);
      });
    }
    for (const host of [...hosts, ...this.absentSince.keys()]) {
      if (listed.has(host) || !hosts.has(host)) this.absentSince.delete(host);
      else if (!this.absentSince.has(host)) this.absentSince.set(host, now);
    }
  }

  /** Reads the host list and listens to the other entries until `signal` aborts. */
  public async run(signal: AbortSignal): Promise<void> {
    const { clock, random, hosts } = this.edges;
    const subscription = this.edges.notes.onNote(TOPIC, (server, note) => {
      let news = false;
      this.apply(server, LeavingSource.Peers, (life, time) => {
        news = life.takeNote(note, time);
      });
      return news;
    });
    let readAt = -Infinity;
    let repairMs = REPAIR_MS;
    while (!signal.aborted) {
      if (this.readsOften() || clock.monotonic() - readAt >= repairMs) {
        const opts: CallOptions = { timeoutMs: POLL_TIMEOUT_MS, signal };
        const records = await hosts.list(opts);
        if (records.success) {
          readAt = clock.monotonic();
          this.observeHosts(records.data);
          repairMs = Math.max(REPAIR_MS, records.data.length * REPAIR_PER_HOST_MS) * (0.75 + random.float() / 2);
        }
      }
      await sleep(clock, POLL_MS * (0.75 + random.float() / 2), signal);
    }
    subscription.dispose();
  }

  /** Leaving servers with source and age in ms. */
  public dump(): Record<string, unknown>[] {
    const time = this.edges.clock.monotonic();
    return [...this.watched].flatMap(([server, { first }]) => (first === null
      ? []
      : [{ server, source: first.source, ageMs: time - first.since }]));
  }

  /** True on a few entries, which tell the others; the list of a large fleet is too long for all to read often. */
  private readsOften(): boolean {
    const { notes } = this.edges;
    const own = notes.self().incarnation;
    const members = [own, ...notes.live().map(({ incarnation }) => incarnation)];
    return lowestByRendezvous(members, TOPIC, HOST_READERS).includes(own);
  }

  private apply(server: string, source: LeavingSource, signal: (life: ServerLife, time: number) => void): void {
    const life = this.watched.get(server);
    if (life === undefined) return;
    const { leaving } = life;
    const said = life.has(source);
    signal(life, this.edges.clock.monotonic());
    // The membership passes on notes from peers by itself.
    if (source !== LeavingSource.Peers && !said && life.has(source)) {
      this.edges.notes.publish(TOPIC, server, life.describe(source));
    }
    if (life.leaving === leaving) return;
    this.edges.log.info(life.leaving ? 'server_leaving' : 'server_returned', { server, source });
    this.changed(server);
  }

  private changed(server: string): void {
    const { engines, servers } = this.edges;
    const accepts = this.accepts(server);
    servers.setLeaving(server, !accepts);
    const facts = engines.get(server);
    // A returning engine becomes available with its next status, because only that tells what it has loaded.
    if (facts?.available === true && !accepts) engines.set({ ...facts, available: false });
    for (const listener of this.listeners) listener(server);
  }
}
