import { z } from 'zod';
import type {
  Clock, KeyValueEntry, Log, Meter, PeerClient, PeerServer, Random, WatchEvent,
} from '../core/edges/index.js';
import type { Members } from '../core/membership/index.js';
import { fail, ok } from '../core/result.js';
import { sleep } from '../core/time.js';
import type { StoreContact } from './contact.js';
import { KeyFollower } from './follower.js';
import type { KeySource } from './follower.js';

/** Age in ms of this process's view from which on it asks peers, because the store does not answer it. */
const STALE_MS = 700;

/** A peer whose own view is older than this, in ms, has nothing to offer. */
const OFFER_MAX_AGE_MS = 2_500;

const ASK_PERIOD_MS = 400;

/** Time in ms after an outage for which peers are asked whether the store was away for them too. */
const DOUBT_MS = 3_000;

const ASK_TIMEOUT_MS = 350;

const METHOD = 'records';

const askSchema = z.object({ prefix: z.string().max(200), revision: z.number() });

const offerSchema = z.object({
  revision: z.number(),
  /** Age of the view in ms. */
  age: z.number().nonnegative(),
  /** Ages in ms of the begin and the end of the time over which the store is known to have answered. */
  contact: z.object({ since: z.number(), until: z.number() }),
  /** `null` where the view is not newer than the asking one. */
  entries: z.array(z.object({ key: z.string(), value: z.string(), version: z.number() })).nullable(),
});

type Offer = z.infer<typeof offerSchema>;

/** From whom records were learned. */
export enum RecordOrigin {
  Change = 'change',
  Snapshot = 'snapshot',
  Gateway = 'gateway',
}

/** How records were learned. */
export interface RecordSource {
  readonly origin: RecordOrigin;
  /** The store's revision of the change, or of the whole view. */
  readonly revision: number;
}

/** Receives the records below one prefix. */
export interface RecordsListener {
  /** All records, in place of those before. */
  replaced(entries: readonly KeyValueEntry[], source: RecordSource): void;
  put(entry: KeyValueEntry, source: RecordSource): void;
  removed(key: string, source: RecordSource): void;
}

/** Options of {@link Records}; times in ms. */
export interface RecordsOptions {
  readonly prefix: string;
  readonly waitMs: number;
  readonly periodMs: number;
  readonly seeds: readonly string[];
}

/** Edges of {@link Records}. */
export interface RecordsEdges {
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

/** Records below one prefix of the store, from the store itself or, while it does not answer, from other gateways. */
export class Records {
  private readonly follower: KeyFollower;

  private readonly entries = new Map<string, KeyValueEntry>();

  private revision = -1;

  /** Monotonic time in ms at which a peer's view was taken over, and its age then. */
  private adopted: { readonly at: number; readonly ageMs: number } | null = null;

  public constructor(
    private readonly edges: RecordsEdges,
    private readonly listener: RecordsListener,
    private readonly opts: RecordsOptions,
  ) {
    this.follower = new KeyFollower(edges.source, edges, {
      replaced: (entries, revision) => this.replace(entries, { origin: RecordOrigin.Snapshot, revision }),
      changed: (events, revision) => this.change(events, revision),
    }, opts);
  }

  /** Whether all records have been read at least once in this life. */
  public get complete(): boolean {
    return this.revision >= 0;
  }

  /** Time in ms since the records were known to be current. */
  public ageMs(): number {
    const own = this.follower.synchronized ? this.follower.ageMs() : Infinity;
    const { adopted } = this;
    return adopted === null ? own : Math.min(own, this.edges.clock.monotonic() - adopted.at + adopted.ageMs);
  }

  public async run(signal: AbortSignal): Promise<void> {
    const method = `${METHOD}:${this.opts.prefix}`;
    const registration = this.edges.server.register(method, async (params) => this.offer(params));
    await Promise.all([this.follower.run(signal), this.askPeers(method, signal)]);
    registration.dispose();
  }

  public dump(): Record<string, unknown> {
    return {
      prefix: this.opts.prefix, revision: this.revision, records: this.entries.size, age_ms: this.ageMs(),
    };
  }

  private offer(params: unknown) {
    const ask = askSchema.safeParse(params);
    if (!ask.success) return fail({ code: 'rejected' as const, message: 'malformed' });
    const age = this.follower.ageMs();
    const newer = this.revision > ask.data.revision && age <= OFFER_MAX_AGE_MS;
    const now = this.edges.clock.monotonic();
    const { since, until } = this.edges.contact.span;
    const offer: Offer = {
      revision: this.revision,
      age,
      contact: { since: now - since, until: now - until },
      entries: newer ? [...this.entries.values()].map(({ key, value, version }) => ({ key, value, version })) : null,
    };
    return ok(offer);
  }

  private async askPeers(method: string, signal: AbortSignal): Promise<void> {
    const { clock, random, members } = this.edges;
    while (!signal.aborted) {
      await sleep(clock, ASK_PERIOD_MS, signal);
      if (signal.aborted || !this.needsPeers()) continue;
      const own = members.self().address;
      const peers = [...new Set([...members.live().map(({ address }) => address), ...this.opts.seeds])]
        .filter((address) => address !== own);
      const peer = peers[Math.floor(random.float() * peers.length)];
      if (peer !== undefined) await this.ask(peer, method, signal);
    }
  }

  /** Whether the store may have changes that are not known here, or may have been away. */
  private needsPeers(): boolean {
    const { contact, clock } = this.edges;
    const current = this.complete && !this.follower.isLost && this.follower.ageMs() < STALE_MS + this.opts.waitMs;
    return !current || clock.monotonic() - contact.returnedAt < DOUBT_MS;
  }

  private async ask(peer: string, method: string, signal: AbortSignal): Promise<void> {
    const {
      client, log, clock, meter, contact,
    } = this.edges;
    const params = { prefix: this.opts.prefix, revision: this.revision };
    const askedAt = clock.monotonic();
    const answer = await client.call(peer, method, params, { timeoutMs: ASK_TIMEOUT_MS, signal });
    if (!answer.success) {
      meter.count('records_asked', 1, { outcome: answer.error.code });
      return;
    }
    const offer = offerSchema.safeParse(answer.data);
    const useful = offer.success && offer.data.entries !== null && offer.data.revision > this.revision;
    meter.count('records_asked', 1, { outcome: useful ? 'adopted' : 'nothing' });
    if (!offer.success) {
      log.warn('records_unreadable', { prefix: this.opts.prefix, peer, problem: z.prettifyError(offer.error) });
      return;
    }
    const { revision, age, entries } = offer.data;
    // Ages that have grown on the way make the span shorter, never longer.
    contact.add({ since: clock.monotonic() - offer.data.contact.since, until: askedAt - offer.data.contact.until });
    if (revision < this.revision) return;
    if (age + clock.monotonic() - askedAt < this.ageMs()) this.adopted = { at: askedAt, ageMs: age };
    if (entries === null || revision === this.revision) return;
    log.info('records_from_peer', {
      prefix: this.opts.prefix, peer, revision, age_ms: Math.round(age),
    });
    this.replace(entries, { origin: RecordOrigin.Gateway, revision });
  }

  private replace(entries: readonly KeyValueEntry[], source: RecordSource): void {
    const { revision } = source;
    // What a peer handed on may be newer than the store's answer that was on its way.
    if (revision < this.revision) return;
    this.revision = revision;
    this.entries.clear();
    for (const entry of entries) this.entries.set(entry.key, entry);
    this.listener.replaced(entries, source);
  }

  /** Applies changes in one step, so that nothing acts on a state between them. */
  private change(events: readonly WatchEvent[], revision: number): void {
    const last = new Map(events.map((event) => [event.type === 'put' ? event.entry.key : event.key, event]));
    for (const [key, event] of last) this.apply(key, event);
    this.revision = Math.max(this.revision, revision);
  }

  private apply(key: string, event: WatchEvent): void {
    const version = event.type === 'put' ? event.entry.version : event.version;
    const known = this.entries.get(key);
    // A snapshot of several pages has records that are newer than its revision.
    if (version <= this.revision || (known !== undefined && known.version >= version)) return;
    const source = { origin: RecordOrigin.Change, revision: version };
    if (event.type === 'put') {
      this.entries.set(key, event.entry);
      this.listener.put(event.entry, source);
    } else if (known !== undefined) {
      this.entries.delete(key);
      this.listener.removed(key, source);
    }
  }
}
