import { z } from 'zod';
import { KeyValueErrorCode } from '../core/interfaces/index.js';
import type {
  CallOptions, Clock, KeyValueError, Log, Meter, PeerClient, Random,
} from '../core/interfaces/index.js';
import type { Member, Members } from '../core/membership/index.js';
import { lowestByRendezvous } from '../core/rendezvous.js';
import { fail, ok } from '../core/result.js';
import type { Result } from '../core/result.js';
import type {
  KeyChanges, KeyChangesError, KeySnapshot, KeySource, StoreEvidence,
} from './follower.js';

/** Number of gateways that follow the store in a failure domain with many of them. */
const RELAYS_PER_DOMAIN = 1;

/** Number of gateways in a failure domain up to which all of them follow the store, as relays would save little. */
const MAX_ALL_FOLLOW = 2;

/** Age in ms of a gateway's records above which others do not follow it, because it may have lost the store. */
export const MAX_RELAY_AGE_MS = 1_000;

/** Longest wait in ms of a call for changes to a relay, and of a relay to the store. */
const RELAY_WAIT_MS = 500;

/** Time in ms that a call to a relay may take in addition to its wait. */
const RELAY_MARGIN_MS = 300;

/**
 * Largest size of the records, in characters, that a relay passes on in one answer. Larger ones, such as a
 * configuration with many routes, are read from the store, because copies for all followers would fill its link.
 */
export const MAX_RELAYED_CHARACTERS = 32_768;

/** Time in ms for which a relay that did not answer, or whose records are too old, is not asked. */
const AVOID_RELAY_MS = 1_500;

/**
 * Mean time in ms between two attempts to reach the store directly while the relays answer that it is away. Without it,
 * all gateways would call a store that just returns.
 */
const DIRECT_RETRY_MS = 1_500;

/** Beginning of the name of the peer method; the prefix of the keys follows it. */
const METHOD = 'records.changes';

/** Name of the peer method by which a gateway passes on the records under a prefix. */
export function relayMethod(prefix: string): string {
  return `${METHOD}:${prefix}`;
}

/** Request for the changes after a revision, or for all records where it is `null`; `wait` in ms. */
export const relayRequestSchema = z.object({
  revision: z.number().nullable(),
  wait: z.number().min(0).max(RELAY_WAIT_MS),
});

const entrySchema = z.object({ key: z.string(), value: z.string(), version: z.number() });

const evidenceShape = {
  /** Age of the records in ms. */
  age: z.number().nonnegative(),
  /** Age in ms of the beginning and the end of the period over which the store is known to have answered. */
  contact: z.object({ since: z.number(), until: z.number() }),
};

/** Answer of a relay. */
export const relayAnswerSchema = z.discriminatedUnion('type', [
  /** The records are incomplete or too old. */
  z.object({ type: z.literal('stale') }),
  /** There are changes, and they are to be read from the store. */
  z.object({ type: z.literal('too_large') }),
  /** The relay no longer knows which keys were removed since the requested revision. */
  z.object({ type: z.literal('history_lost') }),
  z.object({
    type: z.literal('all'), revision: z.number(), entries: z.array(entrySchema), ...evidenceShape,
  }),
  z.object({
    type: z.literal('changes'),
    revision: z.number(),
    puts: z.array(entrySchema),
    removals: z.array(z.tuple([z.string(), z.number()])),
    ...evidenceShape,
  }),
]);

/** Answer of a relay. */
export type RelayAnswer = z.infer<typeof relayAnswerSchema>;

/** Members, and which of them may have stopped. */
export interface RelayMembers extends Pick<Members, 'self' | 'live'> {
  isSuspect(incarnation: string): boolean;
}

/**
 * Ids of the gateways of a failure domain that follow the store; the same at all gateways that know the same members.
 */
export function selectRelays(
  members: readonly Pick<Member, 'id' | 'failureDomain'>[],
  domain: string,
): readonly string[] {
  const ids = members.filter(({ failureDomain }) => failureDomain === domain).map(({ id }) => id);
  return ids.length <= MAX_ALL_FOLLOW ? ids.sort() : lowestByRendezvous(ids, `relay/${domain}`, RELAYS_PER_DOMAIN);
}

function unavailable(): Result<never, KeyValueError> {
  return fail({ code: KeyValueErrorCode.Unavailable, message: 'no gateway has current records' });
}

/** Dependencies of {@link RelayedSource}. */
export interface RelayedSourceDependencies {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly meter: Meter;
  readonly client: PeerClient;
  readonly members: RelayMembers;
  readonly store: KeySource;
}

/**
 * Reads records from the store where this gateway is a relay of its failure domain, and otherwise from a relay, so that
 * the calls to the store grow with the failure domains and not with the gateways. Without a relay that has current
 * records, it reads from the store itself.
 */
export class RelayedSource implements KeySource {
  /** Monotonic time in ms until which a relay is not asked, by its address. */
  private readonly avoidedUntil = new Map<string, number>();

  /** Monotonic time in ms before which the store is not called again, by prefix; only where the last call failed. */
  private readonly directAt = new Map<string, number>();

  private lastSource = '';

  public constructor(private readonly deps: RelayedSourceDependencies) {}

  public async snapshot(prefix: string, opts: CallOptions): Promise<Result<KeySnapshot, KeyValueError>> {
    const relayed = await this.askRelays(prefix, null, 0, opts);
    if (relayed?.type === 'all') {
      return ok({ entries: relayed.entries, revision: relayed.revision, evidence: this.evidence(relayed) });
    }
    if (relayed !== null && relayed.type !== 'too_large') return unavailable();
    return this.readStore(prefix, () => this.deps.store.snapshot(prefix, opts));
  }

  public async changes(
    prefix: string,
    revision: number,
    waitMs: number,
    opts: CallOptions,
  ): Promise<Result<KeyChanges, KeyChangesError>> {
    const relayed = await this.askRelays(prefix, revision, Math.min(waitMs, RELAY_WAIT_MS), opts);
    if (relayed?.type === 'history_lost') return fail({ code: 'history_lost', relayed: true });
    if (relayed?.type === 'changes') {
      return ok({
        events: [
          ...relayed.puts.map((entry) => ({ type: 'put' as const, entry })),
          ...relayed.removals.map(([key, version]) => ({ type: 'delete' as const, key, version })),
        ],
        // A relay may be behind this gateway, which has nothing to do with a store that lost its history.
        revision: Math.max(revision, relayed.revision),
        evidence: this.evidence(relayed),
      });
    }
    if (relayed !== null && relayed.type !== 'too_large') return unavailable();
    // A gateway that others follow must notice sooner that it has lost the store.
    const storeWaitMs = this.hasFollowers() ? Math.min(waitMs, RELAY_WAIT_MS) : waitMs;
    const timeoutMs = opts.timeoutMs - (waitMs - storeWaitMs);
    return this.readStore(prefix, () => this.deps.store.changes(prefix, revision, storeWaitMs, { ...opts, timeoutMs }));
  }

  /** Relays to ask, in order; none where this gateway is one itself. */
  private candidates(): readonly Member[] {
    const { members, clock, random } = this.deps;
    const self = members.self();
    const known = this.knownMembers();
    const own = selectRelays([self, ...known], self.failureDomain);
    if (own.includes(self.id)) return [];
    const now = clock.monotonic();
    const usable = known.filter(({ address }) => (this.avoidedUntil.get(address) ?? -Infinity) <= now);
    const near = lowestByRendezvous(own, self.id, own.length);
    const nearRelays = near.flatMap((id) => usable.filter((member) => member.id === id));
    const domains = [...new Set(known.map(({ failureDomain }) => failureDomain))]
      .filter((domain) => domain !== self.failureDomain);
    const domain = domains[Math.floor(random.float() * domains.length)];
    const far = domain === undefined ? [] : selectRelays(known, domain);
    const farRelay = usable.find(({ id }) => id === far[Math.floor(random.float() * far.length)]);
    return farRelay === undefined ? nearRelays : [...nearRelays, farRelay];
  }

  /** Other gateways that may be followed. Those that have just started answer that their records are incomplete. */
  private knownMembers(): readonly Member[] {
    const { members } = this.deps;
    return members.live().filter(({ leaving, incarnation }) => !leaving && !members.isSuspect(incarnation));
  }

  private isRelay(): boolean {
    const self = this.deps.members.self();
    return selectRelays([self, ...this.knownMembers()], self.failureDomain).includes(self.id);
  }

  /** Whether other gateways of the failure domain read from its relays. */
  private hasFollowers(): boolean {
    const { failureDomain } = this.deps.members.self();
    const others = this.deps.members.live().filter((member) => member.failureDomain === failureDomain);
    return others.length >= MAX_ALL_FOLLOW;
  }

  /** Asks one relay after another; `null` where the store is to be read. */
  private async askRelays(
    prefix: string,
    revision: number | null,
    waitMs: number,
    { signal }: CallOptions,
  ): Promise<Exclude<RelayAnswer, { type: 'stale' }> | { readonly type: 'wait' } | null> {
    const { clock, client, meter } = this.deps;
    for (const { address, id } of this.candidates()) {
      const answer = await client.call(address, relayMethod(prefix), { revision, wait: waitMs }, {
        timeoutMs: waitMs + RELAY_MARGIN_MS, ...(signal === undefined ? {} : { signal }),
      });
      const parsed = answer.success ? relayAnswerSchema.safeParse(answer.data) : null;
      const outcome = parsed?.success === true ? parsed.data.type : 'failed';
      meter.count('relay_calls', 1, { outcome });
      if (parsed?.success === true && parsed.data.type !== 'stale') {
        this.logSource(id, outcome);
        return parsed.data;
      }
      this.avoidedUntil.set(address, clock.monotonic() + AVOID_RELAY_MS);
      this.logSource('', `${id}: ${outcome}`);
      if (signal?.aborted === true) return { type: 'wait' };
    }
    return clock.monotonic() < (this.directAt.get(prefix) ?? -Infinity) ? { type: 'wait' } : null;
  }

  private async readStore<T extends Result<unknown, unknown>>(prefix: string, read: () => Promise<T>): Promise<T> {
    const { clock, random } = this.deps;
    const retryMs = this.isRelay() ? 0 : DIRECT_RETRY_MS * (0.5 + random.float());
    this.directAt.set(prefix, clock.monotonic() + retryMs);
    const result = await read();
    if (result.success) this.directAt.delete(prefix);
    return result;
  }

  private evidence({ age, contact }: Extract<RelayAnswer, { readonly age: number }>): StoreEvidence {
    const now = this.deps.clock.monotonic();
    return { ageMs: age, contact: { since: now - contact.since, until: now - contact.until } };
  }

  private logSource(relay: string, reason: string): void {
    const { log, members } = this.deps;
    if (relay === this.lastSource) return;
    this.lastSource = relay;
    log.info('records_source', { relay: relay === '' ? null : relay, reason, gateways: members.live().length + 1 });
  }
}
