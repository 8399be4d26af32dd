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

/** Demand by model. */
export type Demands = Readonly<Record<string, Demand>>;

const demandsSchema: z.ZodType<Demands> = z.record(z.string(), demandSchema);

/** Options of {@link DemandExchange}. */
export interface DemandExchangeOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly members: Members;
  readonly client: PeerClient;
  readonly server: PeerServer;
  /** Demand that this entry sees. */
  readonly own: () => Demands;
}

const METHOD = 'demand';
const PERIOD_MS = 4_000;
const TIMEOUT_MS = 500;
/** Members asked in one period; the demand of a larger fleet is estimated from the sample. */
const SAMPLE = 5;
/** Answers older than this no longer count. */
const MAX_AGE_MS = 15_000;

interface Known {
  readonly demands: Demands;
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

  private factor = 0;

  public constructor(private readonly options: DemandExchangeOptions) {
    this.disposables.add(options.server.register(METHOD, async () => ok(options.own())));
  }

  /** Estimated demand for a model at all other entries together. */
  public others(model: string): Demand {
    const sampled = [...this.known.values()].map(({ demands }) => demands[model] ?? NO_DEMAND);
    return scale(sumDemand(sampled), this.factor);
  }

  /** Demand for a model at all entries. */
  public total(model: string): Demand {
    return sumDemand([this.options.own()[model] ?? NO_DEMAND, this.others(model)]);
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
    const own = this.options.own();
    const others = Object.fromEntries(Object.keys(own).map((model) => [model, this.others(model)]));
    return { own, others, sampled: this.known.size };
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
    const demands = demandsSchema.safeParse(answer.data);
    if (demands.success) this.known.set(member.id, { demands: demands.data, at: clock.monotonic() });
  }

  private update(): void {
    const { clock, members } = this.options;
    const live = new Set(members.live().map(({ id }) => id));
    for (const [id, { at }] of this.known) {
      if (!live.has(id) || clock.monotonic() - at > MAX_AGE_MS) this.known.delete(id);
    }
    this.factor = this.known.size === 0 ? 0 : live.size / this.known.size;
  }
}
