import { z } from 'zod';
import { NO_DEMAND, sumDemand } from '../core/affinity.js';
import type { Demand } from '../core/affinity.js';
import { DisposableStore } from '../core/disposables.js';
import type {
  Clock, Disposable, PeerClient, PeerServer, Random,
} from '../core/edges.js';
import type { Member, Members } from '../core/membership.js';
import { ok } from '../core/result.js';
import { sleep } from '../core/time.js';

const demandSchema: z.ZodType<Demand> = z.object({
  shortPerSecond: z.number().min(0),
  shortShare: z.number().min(0),
  longPerSecond: z.number().min(0),
  longPrefillShare: z.number().min(0),
  tokensPerMs: z.number().min(0),
});

/** Options of {@link DemandExchange}. */
export interface DemandExchangeOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly members: Members;
  readonly client: PeerClient;
  readonly server: PeerServer;
  /** Demand that this entry sees. */
  readonly own: () => Demand;
}

const METHOD = 'demand';
const PERIOD_MS = 2_000;
const TIMEOUT_MS = 500;
/** Members asked in one period; the demand of a larger fleet is estimated from the sample. */
const SAMPLE = 5;
/** Answers older than this no longer count. */
const MAX_AGE_MS = 10_000;

interface Known {
  readonly demand: Demand;
  readonly at: number;
}

function scale(demand: Demand, factor: number): Demand {
  return {
    shortPerSecond: demand.shortPerSecond * factor,
    shortShare: demand.shortShare * factor,
    longPerSecond: demand.longPerSecond * factor,
    longPrefillShare: demand.longPrefillShare * factor,
    tokensPerMs: demand.tokensPerMs * factor,
  };
}

/** Estimates the demand that the other entries see, from a few of them. */
export class DemandExchange implements Disposable {
  private readonly known = new Map<string, Known>();

  private readonly disposables = new DisposableStore();

  private estimate: Demand = NO_DEMAND;

  public constructor(private readonly options: DemandExchangeOptions) {
    this.disposables.add(options.server.register(METHOD, async () => ok(options.own())));
  }

  /** Estimated demand at all other entries together. */
  public others(): Demand {
    return this.estimate;
  }

  /** Demand of the whole fleet of entries. */
  public total(): Demand {
    return sumDemand([this.options.own(), this.estimate]);
  }

  public async run(signal: AbortSignal): Promise<void> {
    const { clock, random } = this.options;
    while (!signal.aborted) {
      await Promise.all(this.sample().map((member) => this.ask(member)));
      this.update();
      await sleep(clock, PERIOD_MS * (0.75 + random.float() / 2), signal);
    }
  }

  public dump(): Record<string, unknown> {
    return { own: this.options.own(), others: this.estimate, sampled: this.known.size };
  }

  public dispose(): void {
    this.disposables.dispose();
  }

  private sample(): Member[] {
    const { members, random } = this.options;
    const left = [...members.live()];
    const chosen: Member[] = [];
    while (left.length > 0 && chosen.length < SAMPLE) {
      chosen.push(...left.splice(Math.floor(random.float() * left.length), 1));
    }
    return chosen;
  }

  private async ask(member: Member): Promise<void> {
    const { client, clock } = this.options;
    const answer = await client.call(member.address, METHOD, {}, { timeoutMs: TIMEOUT_MS });
    if (!answer.success) return;
    const demand = demandSchema.safeParse(answer.data);
    if (demand.success) this.known.set(member.id, { demand: demand.data, at: clock.monotonic() });
  }

  private update(): void {
    const { clock, members } = this.options;
    const live = new Set(members.live().map(({ id }) => id));
    for (const [id, { at }] of this.known) {
      if (!live.has(id) || clock.monotonic() - at > MAX_AGE_MS) this.known.delete(id);
    }
    const sum = sumDemand([...this.known.values()].map(({ demand }) => demand));
    this.estimate = this.known.size === 0 ? NO_DEMAND : scale(sum, live.size / this.known.size);
  }
}
