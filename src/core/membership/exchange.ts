import type { z } from 'zod';
import type {
  CallOptions, Clock, PeerClient, PeerError, Random,
} from '../interfaces/index.js';
import { ok, fail } from '../result.js';
import type { Result } from '../result.js';
import type { Roster } from './roster.js';
import {
  encodeRow, exchangeAnswerSchema, exchangeSchema, MESSAGE_MAX_ROWS,
} from './rows.js';
import type { ExchangeAnswer, ExchangeMessage, WireRow } from './rows.js';
import { sleep } from '../time.js';

const EXCHANGE_TIMEOUT_MS = 2_000;
const JOIN_RETRY_MS = 500;
const PAGE_PAUSE_MS = 50;
const PAGE_MAX_BYTES = 8_192;

/** Calls another entry and validates its answer; `null` when the call fails or the answer does not fit `schema`. */
export async function callPeer<T extends z.ZodType>(
  client: PeerClient,
  address: string,
  method: string,
  params: unknown,
  schema: T,
  opts: CallOptions,
): Promise<z.infer<T> | null> {
  const result = await client.call(address, method, params, opts);
  if (!result.success) return null;
  const parsed = schema.safeParse(result.data);
  return parsed.success ? parsed.data : null;
}

/** Error returned to the sender of a message that does not fit its schema. */
export function malformedMessage(): Result<never, PeerError> {
  return fail({ code: 'rejected', message: 'malformed membership message' });
}

/** Dependencies of {@link Exchange}. */
export interface ExchangeDependencies {
  readonly clock: Clock;
  readonly random: Random;
  readonly client: PeerClient;
}

/** Rows of one message, with the row of its sender. */
export interface RowsMessage {
  readonly from: WireRow;
  readonly rows: readonly WireRow[];
}

/** Anti-entropy: periodically compares the whole roster with another member, which repairs missed gossip. */
export class Exchange {
  public constructor(
    private readonly roster: Roster,
    private readonly deps: ExchangeDependencies,
    private readonly opts: { readonly seeds: readonly string[]; readonly periodMs: number },
    private readonly receive: (message: RowsMessage, direct: boolean) => void,
  ) {}

  /** Exchanges with all seeds until one answers, then with random members once per period. */
  public async run(signal: AbortSignal): Promise<void> {
    const { clock, random } = this.deps;
    const seeds = this.opts.seeds.filter((address) => address !== this.roster.self().member.address);
    let joined = seeds.length === 0;
    while (!signal.aborted) {
      const targets = joined ? this.chooseTargets(seeds) : seeds;
      const answered = await Promise.all(targets.map((address) => this.exchangeWith(address, signal)));
      joined ||= answered.includes(true);
      const pauseMs = joined ? this.opts.periodMs : JOIN_RETRY_MS;
      await sleep(clock, pauseMs * (0.9 + 0.2 * random.float()), signal);
    }
  }

  /** Answers an `exchange` request. */
  public handle(params: unknown): Result<ExchangeAnswer, PeerError> {
    const message = exchangeSchema.safeParse(params);
    if (!message.success) return malformedMessage();
    const { hashes, after } = message.data;
    const differing = this.roster.bucketHashes().flatMap((hash, bucket) => (hash === hashes[bucket] ? [] : [bucket]));
    const page = this.roster.page(new Set(differing), after, PAGE_MAX_BYTES, MESSAGE_MAX_ROWS);
    this.receive(message.data, false);
    return ok({ from: encodeRow(this.roster.self()), ...page, differing });
  }

  /**
   * Addresses for one exchange: a random live member, and a random seed or member considered dead, so that the two
   * sides of a partition find each other again once it has healed.
   */
  private chooseTargets(seeds: readonly string[]): string[] {
    const live = new Set(this.roster.live().map(({ member }) => member.address));
    const known = this.roster.all().map(({ row }) => row.member.address);
    const lost = new Set([...seeds, ...known].filter((address) => !live.has(address)));
    return [this.pickRandom([...live]), this.pickRandom([...lost])].filter((address) => address !== undefined);
  }

  private pickRandom(addresses: readonly string[]): string | undefined {
    return addresses[Math.floor(this.deps.random.float() * addresses.length)];
  }

  /** Compares all buckets, then exchanges the rows of those that differ page by page; true if the member answered. */
  private async exchangeWith(address: string, signal: AbortSignal): Promise<boolean> {
    const { clock, client } = this.deps;
    const hashes = this.roster.bucketHashes();
    let differing: ReadonlySet<number> = new Set();
    let after = '';
    let ownAfter = '';
    for (let page = 0; !signal.aborted; page += 1) {
      const own = this.roster.page(differing, ownAfter, PAGE_MAX_BYTES, MESSAGE_MAX_ROWS);
      ownAfter = own.rows.at(-1)?.[1] ?? ownAfter;
      const message: ExchangeMessage = {
        from: encodeRow(this.roster.self()), hashes, rows: own.rows, after,
      };
      const opts = { timeoutMs: EXCHANGE_TIMEOUT_MS, signal };
      const answer = await callPeer(client, address, 'exchange', message, exchangeAnswerSchema, opts);
      if (answer === null) return page > 0;
      this.receive(answer, true);
      after = answer.rows.at(-1)?.[1] ?? after;
      if (page === 0) differing = new Set(answer.differing);
      if (differing.size === 0 || (page > 0 && !answer.more && !own.more)) return true;
      await sleep(clock, PAGE_PAUSE_MS, signal);
    }
    return true;
  }
}
