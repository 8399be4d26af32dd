import type { EngineDirectory } from './directory.js';
import type {
  CallOptions, Clock, Disposable, HostList, HostRecord, Log, Random,
} from '../interfaces/index.js';
import { ServerState } from '../configuration/index.js';
import type { Fleet } from '../configuration/index.js';
import { LeavingSource, ServerLeavingState } from './leavingstate.js';
import type { Members, AnnouncementListener } from '../membership/index.js';
import { lowestByRendezvous } from '../rendezvous.js';
import type { ServerDirectory } from './servers.js';
import { sleep } from '../time.js';

/** Distributes announcements, which are small key-value facts, to all entries; implemented by `Membership`. */
export interface AnnouncementChannel extends Pick<Members, 'self' | 'live'> {
  /** Sends an announcement to the other entries; `key` identifies it within its topic. */
  publish(topic: string, key: string, value: string): void;
  /** Calls `listener` with each received announcement of a topic; those for which it returns true are passed on. */
  onAnnouncement(topic: string, listener: AnnouncementListener): Disposable;
}

/** Dependencies of {@link LeavingServers}. */
export interface LeavingServersDependencies {
  readonly clock: Clock;
  readonly random: Random;
  readonly hosts: HostList;
  readonly announcements: AnnouncementChannel;
  readonly engines: EngineDirectory;
  readonly servers: ServerDirectory;
  readonly log: Log;
}

const TOPIC = 'leaving';
const POLL_MS = 1_000;
const POLL_TIMEOUT_MS = 1_000;

/** Number of entries that read the host list in every poll period. */
const HOST_LIST_READERS = 3;

/** Time between two reads of the list by each of the other entries: the larger of this and the time per listed host. */
const FALLBACK_READ_MS = 30_000;
const FALLBACK_READ_PER_HOST_MS = 60;

/** A host that returns after it was missing from the list for this long counts as a new host. */
const HOST_ABSENT_MS = 60_000;

/**
 * Tracks which backend servers are leaving. A signal from any one source is enough. A source can't revoke its signal
 * alone: the server must also have been restarted, its host replaced, or its specification in the fleet file changed.
 */
export class LeavingServers {
  private readonly leavingStates = new Map<string, ServerLeavingState>();

  /** Monotonic time in ms since which each absent host has been missing from the host list. */
  private readonly absentSince = new Map<string, number>();

  private readonly listeners = new Set<(server: string) => void>();

  public constructor(private readonly deps: LeavingServersDependencies) {}

  /** Tests whether a backend server may receive new work; true for an unknown server. */
  public accepts(server: string): boolean {
    return this.leavingStates.get(server)?.isLeaving !== true;
  }

  /** Calls `listener` with each server that starts or stops leaving. */
  public onChange(listener: (server: string) => void): Disposable {
    this.listeners.add(listener);
    return { dispose: () => this.listeners.delete(listener) };
  }

  /**
   * Applies the servers of a fleet file. Another address, host or state is an explicit change of a server, after which
   * its earlier signals no longer count, except that of the host list if the host is the same.
   */
  public applyFleet(fleet: Fleet): void {
    const specs = [...fleet.engines, ...fleet.servers];
    const names = new Set(specs.map(({ name }) => name));
    for (const name of this.leavingStates.keys()) {
      if (!names.has(name)) this.leavingStates.delete(name);
    }
    for (const {
      name, host, address, state,
    } of specs) {
      const specKey = `${address} ${host} ${state}`;
      const known = this.leavingStates.get(name);
      if (known?.specKey === specKey) continue;
      const tracked = new ServerLeavingState(host, specKey);
      if (known !== undefined) tracked.inheritHostListSignal(known);
      this.leavingStates.set(name, tracked);
      if (state !== ServerState.Active) tracked.addSignal(LeavingSource.FleetFile, this.deps.clock.monotonic());
      if (tracked.isLeaving !== (known?.isLeaving ?? false)) this.notifyChanged(name);
    }
  }

  /** Applies a server's own report. `incarnation` is known only for engines and changes when they restart. */
  public observe(server: string, leaving: boolean, incarnation?: string): void {
    this.applySignal(server, LeavingSource.Server, (tracked, time) => {
      if (incarnation !== undefined) tracked.observeIncarnation(incarnation);
      if (leaving) tracked.addSignal(LeavingSource.Server, time);
    });
  }

  /** Applies the complete host list. */
  public observeHosts(records: readonly HostRecord[]): void {
    const now = this.deps.clock.monotonic();
    const listed = new Map(records.map((record) => [record.host, record.state]));
    const hosts = new Set([...this.leavingStates.values()].map(({ host }) => host));
    for (const name of this.leavingStates.keys()) {
      this.applySignal(name, LeavingSource.HostList, (tracked, time) => {
        const state = listed.get(tracked.host);
        if (state === undefined) return;
        if (time - (this.absentSince.get(tracked.host) ?? time) >= HOST_ABSENT_MS) tracked.startIncarnation();
        tracked.observeHostState(state, time);
      });
    }
    for (const host of [...hosts, ...this.absentSince.keys()]) {
      if (listed.has(host) || !hosts.has(host)) this.absentSince.delete(host);
      else if (!this.absentSince.has(host)) this.absentSince.set(host, now);
    }
  }

  /** Polls the host list and receives announcements of the other entries until `signal` aborts. */
  public async run(signal: AbortSignal): Promise<void> {
    const { clock, random, hosts } = this.deps;
    const subscription = this.deps.announcements.onAnnouncement(TOPIC, (server, announcement) => {
      let isNew = false;
      this.applySignal(server, LeavingSource.Peers, (tracked, time) => {
        isNew = tracked.receiveAnnouncement(announcement, time);
      });
      return isNew;
    });
    let readAt = -Infinity;
    let fallbackReadMs = FALLBACK_READ_MS;
    while (!signal.aborted) {
      if (this.isHostListReader() || clock.monotonic() - readAt >= fallbackReadMs) {
        const opts: CallOptions = { timeoutMs: POLL_TIMEOUT_MS, signal };
        const records = await hosts.list(opts);
        if (records.success) {
          readAt = clock.monotonic();
          this.observeHosts(records.data);
          fallbackReadMs = Math.max(FALLBACK_READ_MS, records.data.length * FALLBACK_READ_PER_HOST_MS)
            * (0.75 + random.float() / 2);
        }
      }
      await sleep(clock, POLL_MS * (0.75 + random.float() / 2), signal);
    }
    subscription.dispose();
  }

  /** Leaving servers with the source and the age in ms of their first signal, for the state dump. */
  public dump(): Record<string, unknown>[] {
    const time = this.deps.clock.monotonic();
    return [...this.leavingStates].flatMap(([server, { firstSignal }]) => (firstSignal === null
      ? []
      : [{ server, source: firstSignal.source, ageMs: time - firstSignal.since }]));
  }

  /**
   * Tests whether this is one of the few entries that read the host list often and announce what they find. The list of
   * a large fleet is too long for all entries to read it often.
   */
  private isHostListReader(): boolean {
    const { announcements: notes } = this.deps;
    const ownIncarnation = notes.self().incarnation;
    const members = [ownIncarnation, ...notes.live().map(({ incarnation }) => incarnation)];
    return lowestByRendezvous(members, TOPIC, HOST_LIST_READERS).includes(ownIncarnation);
  }

  /** Applies `update` to the state of a server; announces a new signal and notifies listeners of a change. */
  private applySignal(
    server: string,
    source: LeavingSource,
    update: (tracked: ServerLeavingState, time: number) => void,
  ): void {
    const tracked = this.leavingStates.get(server);
    if (tracked === undefined) return;
    const { isLeaving: wasLeaving } = tracked;
    const hadSignal = tracked.hasSignal(source);
    update(tracked, this.deps.clock.monotonic());
    // Membership itself passes on the announcements of peers.
    if (source !== LeavingSource.Peers && !hadSignal && tracked.hasSignal(source)) {
      this.deps.announcements.publish(TOPIC, server, tracked.formatAnnouncement(source));
    }
    if (tracked.isLeaving === wasLeaving) return;
    this.deps.log.info(tracked.isLeaving ? 'server_leaving' : 'server_returned', { server, source });
    this.notifyChanged(server);
  }

  private notifyChanged(server: string): void {
    const { engines, servers } = this.deps;
    const accepts = this.accepts(server);
    servers.setLeaving(server, !accepts);
    const facts = engines.get(server);
    // A returning engine becomes available with its next status, because only the status states what it has loaded.
    if (facts?.available === true && !accepts) engines.set({ ...facts, available: false });
    for (const listener of this.listeners) listener(server);
  }
}
