import { z } from 'zod';
import type { Disposable, PeerClient, PeerServer } from '../../core/interfaces/index.js';
import type { Members } from '../../core/membership/index.js';
import { lowestByRendezvous } from '../../core/rendezvous.js';
import { fail, ok } from '../../core/result.js';
import { addCounts } from './counter.js';
import type { UsageCounter, UsageCounts } from './counter.js';

const COLLECT_METHOD = 'usage.collect';

const ADOPT_METHOD = 'usage.adopt';

/** Smallest number of gateways whose counts one of them adds up for the others. */
const MIN_GROUP = 16;

const MEMBER_TIMEOUT_MS = 400;

const GROUP_TIMEOUT_MS = 900;

/** Number of gateways that keep the counts of one that stops. */
const ADOPTERS = 2;

const MAX_NAME = 300;

const countsSchema = z.record(z.string().max(MAX_NAME), z.number().int().nonnegative());

const requestSchema = z.object({ window: z.number().int(), others: z.array(z.string().max(MAX_NAME)).max(10_000) });

const partSchema = z.object({
  /** Incarnations whose counts are in `counts`. */
  sources: z.array(z.string().max(MAX_NAME)),
  counts: countsSchema,
  /** Counts of gateways that have stopped; two gateways may have those of the same one. */
  adopted: z.array(z.object({ source: z.string().max(MAX_NAME), counts: countsSchema })),
  /** Addresses of gateways that did not answer. */
  missing: z.array(z.string().max(MAX_NAME)),
});

const adoptSchema = z.object({
  source: z.string().max(MAX_NAME),
  windows: z.array(z.object({ window: z.number().int(), counts: countsSchema })).max(100),
});

/** Counts of some gateways in one window. */
export type UsagePart = z.infer<typeof partSchema>;

/** Adds up parts; a gateway that stopped counts once, however many others have its counts. */
export function mergeParts(parts: readonly UsagePart[]): UsagePart {
  const counts: Record<string, number> = {};
  for (const part of parts) addCounts(counts, part.counts);
  const sources = new Set(parts.flatMap((part) => part.sources));
  const adopted = new Map(parts.flatMap((part) => part.adopted)
    .filter(({ source }) => !sources.has(source)).map((entry) => [entry.source, entry]));
  return {
    sources: [...sources], counts, adopted: [...adopted.values()], missing: parts.flatMap(({ missing }) => missing),
  };
}

/** Counts of a whole part, with those of gateways that have stopped. */
export function totalCounts({ counts, adopted }: UsagePart): UsageCounts {
  const total = { ...counts };
  for (const entry of adopted) addCounts(total, entry.counts);
  return total;
}

/** Divides addresses into groups; each has about as many members as there are groups. */
export function groupAddresses(addresses: readonly string[]): readonly (readonly string[])[] {
  const size = Math.max(MIN_GROUP, Math.ceil(Math.sqrt(addresses.length)));
  return Array.from({ length: Math.ceil(addresses.length / size) }, (_, index) => (
    addresses.slice(index * size, (index + 1) * size)
  ));
}

/** Dependencies of {@link UsageCollector}. */
export interface UsageCollectorDependencies {
  readonly client: PeerClient;
  readonly server: PeerServer;
  readonly members: Members;
  readonly counter: UsageCounter;
}

/** Collects the counts of all gateways, and hands over those of this one when it stops. */
export class UsageCollector {
  public constructor(private readonly deps: UsageCollectorDependencies) {}

  /** Answers other gateways until the returned handle is disposed. */
  public serve(): Disposable {
    const { server, counter } = this.deps;
    const handlers = [
      server.register(COLLECT_METHOD, async (params) => {
        const request = requestSchema.safeParse(params);
        if (!request.success) return fail({ code: 'rejected' as const, message: 'malformed' });
        const { window, others } = request.data;
        const part = await this.collectGroup(window, others);
        return part === null ? fail({ code: 'rejected' as const, message: 'the window is open' }) : ok(part);
      }),
      server.register(ADOPT_METHOD, async (params) => {
        const request = adoptSchema.safeParse(params);
        if (!request.success) return fail({ code: 'rejected' as const, message: 'malformed' });
        const { source, windows } = request.data;
        for (const { window, counts } of windows) counter.adopt(source, window, counts);
        return ok({ adopted: windows.length });
      }),
    ];
    return { dispose: () => handlers.forEach((handler) => handler.dispose()) };
  }

  /** Addresses of the other gateways that may have counts. */
  public get addresses(): readonly string[] {
    return this.deps.members.live().map(({ address }) => address).sort();
  }

  /** Collects the counts of a closed window from gateways; one of each group asks the others of its group. */
  public collect(window: number, addresses: readonly string[]): Promise<UsagePart> {
    return this.collectGroups(window, groupAddresses(addresses));
  }

  /** Collects the counts from gateways that did not answer before; one that asks others may be the one that is gone. */
  public collectAgain(window: number, addresses: readonly string[]): Promise<UsagePart> {
    return this.collectGroups(window, addresses.map((address) => [address]));
  }

  /** Counts of this gateway alone in a closed window, or `null` while it is open. */
  public own(window: number): UsagePart | null {
    const counts = this.deps.counter.closed(window);
    if (counts === null) return null;
    return {
      sources: [this.deps.members.self().incarnation],
      counts,
      adopted: this.deps.counter.adoptedIn(window).map(({ source, counts: handedOver }) => (
        { source, counts: { ...handedOver } }
      )),
      missing: [],
    };
  }

  /** Hands the counts of this gateway over to others, because it stops. */
  public async handOver(): Promise<void> {
    const { members, counter, client } = this.deps;
    const { incarnation } = members.self();
    const others = members.live().filter(({ leaving }) => !leaving);
    const adopters = lowestByRendezvous(others.map(({ id }) => id), `usage/${incarnation}`, ADOPTERS);
    await Promise.all(others.filter(({ id }) => adopters.includes(id)).map(({ address }) => (
      client.call(address, ADOPT_METHOD, { source: incarnation, windows: counter.all() }, {
        timeoutMs: MEMBER_TIMEOUT_MS,
      })
    )));
  }

  private async collectGroups(window: number, groups: readonly (readonly string[])[]): Promise<UsagePart> {
    const parts = await Promise.all(groups.map(async ([head, ...others]) => {
      if (head === undefined) return null;
      const answer = await this.ask(head, window, others, GROUP_TIMEOUT_MS);
      return answer ?? {
        sources: [], counts: {}, adopted: [], missing: [head, ...others],
      };
    }));
    return mergeParts(parts.filter((part) => part !== null));
  }

  private async collectGroup(window: number, others: readonly string[]): Promise<UsagePart | null> {
    const own = this.own(window);
    if (own === null) return null;
    const parts = await Promise.all(others.map(async (address) => (
      await this.ask(address, window, [], MEMBER_TIMEOUT_MS) ?? {
        sources: [], counts: {}, adopted: [], missing: [address],
      }
    )));
    return mergeParts([own, ...parts]);
  }

  private async ask(
    address: string,
    window: number,
    others: readonly string[],
    timeoutMs: number,
  ): Promise<UsagePart | null> {
    const answer = await this.deps.client.call(address, COLLECT_METHOD, { window, others }, { timeoutMs });
    return answer.success ? partSchema.safeParse(answer.data).data ?? null : null;
  }
}
