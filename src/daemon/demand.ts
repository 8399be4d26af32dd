import { z } from 'zod';
import { NO_DEMAND, sumDemand } from '../core/routing/index.js';
import type { Demand } from '../core/routing/index.js';
import { DisposableStore } from '../core/disposables.js';
import type {
  Clock, Disposable, PeerClient, PeerServer, Random,
} from '../core/interfaces/index.js';
import type { Member, Members } from '../core/membership/index.js';
import { ok } from '../core/result.js';
import { sleep } from '../core/time.js';

const demandSchema: z.ZodType<Demand> = z.object({
  shortPerSecond: z.number().min(0),
  shortShare: z.number().min(0),
  longPerSecond: z.number().min(0),
  longPrefillShare: z.number().min(0),
  tokensPerMs: z.number().min(0),
});

/** Demand by model name. */
export type DemandByModel = Readonly<Record<string, Demand>>;

const demandByModelSchema: z.ZodType<DemandByModel> = z.record(z.string(), demandSchema);

/** Options of {@link DemandExchange}. */
export interface DemandExchangeOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly members: Members;
  readonly client: PeerClient;
  readonly server: PeerServer;
  /** Demand measured at this entry. */
  readonly ownDemand: () => DemandByModel;
}

const METHOD = 'demand';
const PERIOD_MS = 4_000;
const TIMEOUT_MS = 500;
/** Members queried per period; with more members, the total is extrapolated from this sample. */
const SAMPLE_SIZE = 5;
/** Answers older than this are discarded. */
const MAX_AGE_MS = 15_000;

interface DemandSample {
  readonly demands: DemandByModel;
  readonly receivedAt: number;
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

/** Estimates the demand at the peer entries by querying a random sample of them. */
export class DemandExchange implements Disposable {
  private readonly samples = new Map<string, DemandSample>();

  private readonly disposables = new DisposableStore();

  private scaleFactor = 0;

  public constructor(private readonly options: DemandExchangeOptions) {
    this.disposables.add(options.server.register(METHOD, async () => ok(options.ownDemand())));
  }

  /** Estimated total demand for a model at all peer entries. */
  public peerDemand(model: string): Demand {
    const sampled = [...this.samples.values()].map(({ demands }) => demands[model] ?? NO_DEMAND);
    return scale(sumDemand(sampled), this.scaleFactor);
  }

  /** Estimated demand for a model at all entries, this one included. */
  public total(model: string): Demand {
    return sumDemand([this.options.ownDemand()[model] ?? NO_DEMAND, this.peerDemand(model)]);
  }

  /** Queries a new sample every period until `signal` aborts. */
  public async run(signal: AbortSignal): Promise<void> {
    const { clock, random } = this.options;
    while (!signal.aborted) {
      await Promise.all(this.chooseMembers().map((member) => this.requestDemand(member)));
      this.refreshSamples();
      await sleep(clock, PERIOD_MS * (0.75 + random.float() / 2), signal);
    }
  }

  public dump(): Record<string, unknown> {
    const own = this.options.ownDemand();
    const others = Object.fromEntries(Object.keys(own).map((model) => [model, this.peerDemand(model)]));
    return { own, others, sampled: this.samples.size };
  }

  public dispose(): void {
    this.disposables.dispose();
  }

  private chooseMembers(): Member[] {
    const { members, random } = this.options;
    const remaining = [...members.live()];
    const chosen: Member[] = [];
    while (remaining.length > 0 && chosen.length < SAMPLE_SIZE) {
      chosen.push(...remaining.splice(Math.floor(random.float() * remaining.length), 1));
    }
    return chosen;
  }

  private async requestDemand(member: Member): Promise<void> {
    const { client, clock } = this.options;
    const answer = await client.call(member.address, METHOD, {}, { timeoutMs: TIMEOUT_MS });
    if (!answer.success) return;
    const demands = demandByModelSchema.safeParse(answer.data);
    if (demands.success) this.samples.set(member.id, { demands: demands.data, receivedAt: clock.monotonic() });
  }

  private refreshSamples(): void {
    const { clock, members } = this.options;
    const live = new Set(members.live().map(({ id }) => id));
    for (const [id, { receivedAt }] of this.samples) {
      if (!live.has(id) || clock.monotonic() - receivedAt > MAX_AGE_MS) this.samples.delete(id);
    }
    this.scaleFactor = this.samples.size === 0 ? 0 : live.size / this.samples.size;
  }
}
