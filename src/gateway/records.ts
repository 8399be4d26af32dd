import { z } from 'zod';
import type {
  Clock, KeyValueEntry, Log, Meter, PeerClient, PeerServer, Random, WatchEvent,
} from '../core/interfaces/index.js';
import type { Members } from '../core/membership/index.js';
import { fail, ok } from '../core/result.js';
import { sleep } from '../core/time.js';
import { reportUnexpected, runTogether } from '../core/unexpected.js';
import type { StoreContact } from './contact.js';
import { KeyFollower } from './follower.js';
import type { KeySource } from './follower.js';
import { ChangeHistory } from './history.js';
import {
  MAX_RELAY_AGE_MS, MAX_RELAYED_CHARACTERS, relayMethod, relayRequestSchema,
} from './relays.js';
import type { RelayAnswer } from './relays.js';

/** Age in ms of this process's records above which it asks peers, because the store does not answer it. */
const STALE_MS = 700;

/** Age in ms above which records are not handed to a peer. */
const MAX_SHARED_AGE_MS = 2_500;

/** Time in ms between two requests to peers. */
const PEER_POLL_PERIOD_MS = 400;

/** Time in ms after an outage for which peers are asked whether they could not reach the store either. */
const POLL_AFTER_OUTAGE_MS = 3_000;

const PEER_TIMEOUT_MS = 350;

/** Beginning of the name of the peer method; the prefix of the keys follows it. */
const METHOD = 'records';

const peerRequestSchema = z.object({ prefix: z.string().max(200), revision: z.number() });

const peerViewSchema = z.object({
  revision: z.number(),
  /** Age of the records in ms. */
  age: z.number().nonnegative(),
  /** Age in ms of the beginning and the end of the period over which the store is known to have answered. */
  contact: z.object({ since: z.number(), until: z.number() }),
  /** `null` where the records are too old or not newer than those of the requesting gateway. */
  entries: z.array(z.object({ key: z.string(), value: z.string(), version: z.number() })).nullable(),
});

type PeerView = z.infer<typeof peerViewSchema>;

/** Where records came from. */
export enum RecordOrigin {
  /** A change that was read from the store. */
  Change = 'change',
  /** A read of all records from the store. */
  Snapshot = 'snapshot',
  /** The records of another gateway. */
  Gateway = 'gateway',
}

/** Where records came from, and at which revision. */
export interface RecordSource {
  readonly origin: RecordOrigin;
  /** Store revision of the change, or of all records. */
  readonly revision: number;
}

/** Receives the records under one prefix. */
export interface RecordsListener {
  /** All records; they replace the previous ones. */
  replaced(entries: readonly KeyValueEntry[], source: RecordSource): void;
  put(entry: KeyValueEntry, source: RecordSource): void;
  removed(key: string, source: RecordSource): void;
}

/** Options of {@link Records}; times in ms. */
export interface RecordsOptions {
  readonly prefix: string;
  /** Longest wait of one call for changes. */
  readonly waitMs: number;
  /** Shortest time between two calls to the store. */
  readonly periodMs: number;
  /** Peer addresses that are asked in addition to those of the known members. */
  readonly seeds: readonly string[];
}

/** Dependencies of {@link Records}. */
export interface RecordsDependencies {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly meter: Meter;
  readonly source: KeySource;
  readonly client: PeerClient;
  readonly server: PeerServer;
  readonly members: Members;
  readonly contact: StoreContact;
}

function isTooLarge(entries: readonly { readonly value: string }[]): boolean {
  return entries.reduce((sum, { value }) => sum + value.length, 0) > MAX_RELAYED_CHARACTERS;
}

/** Records under one key prefix of the store, read from the store or, while it does not answer, from other gateways. */
export class Records {
  private readonly follower: KeyFollower;

  private readonly entries = new Map<string, KeyValueEntry>();

  private revision = -1;

  private readonly history = new ChangeHistory();

  /** Called once after the next change of the revision. */
  private readonly waiting = new Set<() => void>();

  /** Monotonic time in ms of the request that a peer answered with current records, and their age then. */
  private adopted: { readonly at: number; readonly ageMs: number } | null = null;

  public constructor(
    private readonly deps: RecordsDependencies,
    private readonly listener: RecordsListener,
    private readonly opts: RecordsOptions,
  ) {
    this.follower = new KeyFollower(deps.source, deps, {
      replaced: (entries, revision) => this.replace(entries, { origin: RecordOrigin.Snapshot, revision }),
      changed: (events, revision) => this.change(events, revision),
    }, opts);
  }

  /** Whether all records have been read at least once since the process started. */
  public get isComplete(): boolean {
    return this.revision >= 0;
  }

  /** Time in ms since the records were last known to be current; `Infinity` before the first read. */
  public ageMs(): number {
    const own = this.follower.isSynchronized ? this.follower.ageMs() : Infinity;
    const { adopted } = this;
    return adopted === null ? own : Math.min(own, this.deps.clock.monotonic() - adopted.at + adopted.ageMs);
  }

  /** Follows the records, and answers and asks peers, until `signal` aborts. */
  public async run(signal: AbortSignal): Promise<void> {
    const method = `${METHOD}:${this.opts.prefix}`;
    const { server } = this.deps;
    const registrations = [
      server.register(method, async (params) => this.answerPeer(params)),
      server.register(relayMethod(this.opts.prefix), (params) => this.answerFollower(params, signal)),
    ];
    try {
      await runTogether(signal, [
        (stopped) => this.follower.run(stopped), (stopped) => this.pollPeers(method, stopped),
      ]);
    } finally {
      for (const registration of registrations) registration.dispose();
    }
  }

  /**
   * Reads the changes that the store has now, without a relay; false where it does not answer. What a gateway knows may
   * be seconds old without its noticing, because its monotonic clock may stand still while it does.
   */
  public async refresh(store: Pick<KeySource, 'changes'>, timeoutMs: number): Promise<boolean> {
    const { revision } = this;
    if (!this.isComplete) return false;
    const changes = await store.changes(this.opts.prefix, revision, 0, { timeoutMs });
    if (!changes.success || changes.data.revision < revision) return false;
    this.change(changes.data.events, changes.data.revision);
    return true;
  }

  /** Prefix, revision, number and age of the records. */
  public dump(): Record<string, unknown> {
    return {
      prefix: this.opts.prefix, revision: this.revision, records: this.entries.size, age_ms: this.ageMs(),
    };
  }

  private answerPeer(params: unknown) {
    const request = peerRequestSchema.safeParse(params);
    if (!request.success) return fail({ code: 'rejected' as const, message: 'malformed' });
    const age = this.follower.ageMs();
    const isNewer = this.revision > request.data.revision && age <= MAX_SHARED_AGE_MS;
    const now = this.deps.clock.monotonic();
    const { since, until } = this.deps.contact.span;
    const view: PeerView = {
      revision: this.revision,
      age,
      contact: { since: now - since, until: now - until },
      entries: isNewer ? [...this.entries.values()].map(({ key, value, version }) => ({ key, value, version })) : null,
    };
    return ok(view);
  }

  /** Passes on all records, or the changes after a revision once there are any, to a gateway that follows this one. */
  private async answerFollower(params: unknown, signal: AbortSignal) {
    const request = relayRequestSchema.safeParse(params);
    if (!request.success) return fail({ code: 'rejected' as const, message: 'malformed' });
    const { revision, wait } = request.data;
    if (revision !== null && this.revision <= revision) await this.waitForChange(wait, signal);
    return ok(this.relayAnswer(revision));
  }

  private relayAnswer(revision: number | null): RelayAnswer {
    const age = this.follower.ageMs();
    if (!this.isComplete || age > MAX_RELAY_AGE_MS) return { type: 'stale' };
    const now = this.deps.clock.monotonic();
    const { since, until } = this.deps.contact.span;
    const evidence = { age, contact: { since: now - since, until: now - until } };
    const entries = [...this.entries.values()].map(({ key, value, version }) => ({ key, value, version }));
    if (revision === null) {
      if (isTooLarge(entries)) return { type: 'too_large' };
      return {
        type: 'all', revision: this.revision, entries, ...evidence,
      };
    }
    const removals = this.history.removalsSince(revision);
    if (removals === null) return { type: 'history_lost' };
    const puts = entries.filter(({ version }) => version > revision);
    if (isTooLarge(puts)) return { type: 'too_large' };
    return {
      type: 'changes', revision: this.revision, puts, removals: [...removals], ...evidence,
    };
  }

  private async waitForChange(waitMs: number, signal: AbortSignal): Promise<void> {
    const changed = new AbortController();
    const listener = (): void => changed.abort();
    this.waiting.add(listener);
    await sleep(this.deps.clock, waitMs, AbortSignal.any([signal, changed.signal]));
    this.waiting.delete(listener);
  }

  private setRevision(revision: number): void {
    if (revision === this.revision) return;
    this.revision = revision;
    for (const listener of [...this.waiting]) listener();
  }

  private async pollPeers(method: string, signal: AbortSignal): Promise<void> {
    const { clock, random, members } = this.deps;
    while (!signal.aborted) {
      await sleep(clock, PEER_POLL_PERIOD_MS, signal);
      if (signal.aborted || !this.needsPeers()) continue;
      const own = members.self().address;
      const peers = [...new Set([...members.live().map(({ address }) => address), ...this.opts.seeds])]
        .filter((address) => address !== own);
      const peer = peers[Math.floor(random.float() * peers.length)];
      if (peer !== undefined) await this.requestFromPeer(peer, method, signal);
    }
  }

  /**
   * Whether the store may have changes that were not read here, or an outage is so recent that peers must confirm it.
   */
  private needsPeers(): boolean {
    const { contact, clock } = this.deps;
    const current = this.isComplete && !this.follower.hasFailed && this.follower.ageMs() < STALE_MS + this.opts.waitMs;
    return !current || clock.monotonic() - contact.recoveredAt < POLL_AFTER_OUTAGE_MS;
  }

  private async requestFromPeer(peer: string, method: string, signal: AbortSignal): Promise<void> {
    const {
      client, log, clock, meter, contact,
    } = this.deps;
    const params = { prefix: this.opts.prefix, revision: this.revision };
    const requestedAt = clock.monotonic();
    const answer = await client.call(peer, method, params, { timeoutMs: PEER_TIMEOUT_MS, signal });
    if (!answer.success) {
      meter.count('records_asked', 1, { outcome: answer.error.code });
      return;
    }
    const view = peerViewSchema.safeParse(answer.data);
    const isNewer = view.success && view.data.entries !== null && view.data.revision > this.revision;
    meter.count('records_asked', 1, { outcome: isNewer ? 'adopted' : 'nothing' });
    if (!view.success) {
      log.warn('records_unreadable', { prefix: this.opts.prefix, peer, problem: z.prettifyError(view.error) });
      return;
    }
    const { revision, age, entries } = view.data;
    // The ages have grown while the answer travelled, which makes the span shorter, never longer.
    contact.add({ since: clock.monotonic() - view.data.contact.since, until: requestedAt - view.data.contact.until });
    if (revision < this.revision) return;
    if (age + clock.monotonic() - requestedAt < this.ageMs()) this.adopted = { at: requestedAt, ageMs: age };
    if (entries === null || revision === this.revision) return;
    log.info('records_from_peer', {
      prefix: this.opts.prefix, peer, revision, age_ms: Math.round(age),
    });
    this.replace(entries, { origin: RecordOrigin.Gateway, revision });
  }

  private replace(entries: readonly KeyValueEntry[], source: RecordSource): void {
    const { revision } = source;
    // Records from a peer may be newer than an answer of the store that was in flight meanwhile.
    if (revision < this.revision) return;
    this.history.reset(revision);
    this.entries.clear();
    for (const entry of entries) this.entries.set(entry.key, entry);
    this.setRevision(revision);
    this.notify(() => this.listener.replaced(entries, source));
  }

  /** Applies only the last change of each key, so that no listener acts on an intermediate state. */
  private change(events: readonly WatchEvent[], revision: number): void {
    const last = new Map(events.map((event) => [event.type === 'put' ? event.entry.key : event.key, event]));
    for (const [key, event] of last) this.apply(key, event);
    this.setRevision(Math.max(this.revision, revision));
  }

  private apply(key: string, event: WatchEvent): void {
    const version = event.type === 'put' ? event.entry.version : event.version;
    const known = this.entries.get(key);
    // A snapshot that was read in several pages contains records that are newer than its revision.
    if (version <= this.revision || (known !== undefined && known.version >= version)) return;
    const source = { origin: RecordOrigin.Change, revision: version };
    if (event.type === 'put') {
      this.entries.set(key, event.entry);
      this.history.recordPut(key);
      this.notify(() => this.listener.put(event.entry, source));
      return;
    }
    // A gateway that follows this one may know the record from elsewhere, even if it was never read here.
    this.history.recordRemoval(key, version);
    if (known === undefined) return;
    this.entries.delete(key);
    this.notify(() => this.listener.removed(key, source));
  }

  /** Calls the listener; an exception over one entry must not keep the others from it. */
  private notify(call: () => void): void {
    try {
      call();
    } catch (err) {
      reportUnexpected(this.deps, `records ${this.opts.prefix}`, err);
    }
  }
}
