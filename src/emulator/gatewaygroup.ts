import { Role } from '../core/interfaces/index.js';
import type { Members } from '../core/membership/index.js';
import type { CallContext } from '../gateway/callcontext.js';
import type { Generation } from '../gateway/codec.js';
import type { ForwardingService } from '../gateway/configuration.js';
import { EngineTimes, Estimates } from '../gateway/engineestimates.js';
import { Occupancy } from '../gateway/occupancy.js';
import type { Datagrams } from '../gateway/occupancy.js';
import { PlaceExchange } from '../gateway/places/index.js';
import type { Candidate } from '../gateway/placement.js';
import type { ServerRecord } from '../gateway/serverregistry.js';
import { WorkLedger } from '../gateway/shares/index.js';
import { MAX_PREFILLS_PER_ENGINE, MAX_PREFILLS_WHEN_IDLE, SlotAllocator } from '../gateway/slotallocator.js';
import type { SlotFleet } from '../gateway/slotallocator.js';
import type { Caller } from '../gateway/workspaces.js';
import type { SimulatedClock } from './clock.js';
import { EmulatedMembers } from './entry.js';
import { CountingMeter } from './recording.js';
import type { SeededRandom } from './random.js';

/** One-way time in ms between two processes. */
const NETWORK_MS = 1;

/** Time in ms from the end of a prefill to the first event of its answer. */
const CONTINUATION_MS = 10;

const SERVICE: ForwardingService = {
  name: 'engine',
  maxConnections: 400,
  engine: {
    slots: 8, cacheTokens: 1, handleTtlMs: 5_000, switchMs: 3_000,
  },
  scaling: null,
};

/** Engine that prefills one prompt after another and caches the parts that it has read. */
export class PrefillEngine {
  public readonly record: ServerRecord;

  /** Tokens that it has read, and those of them that are shared and that some engine had read before. */
  public readonly read = { tokens: 0, again: 0 };

  /** Tokens that it reads in a ms; may change while it runs. */
  public speed: number;

  private readonly cache = new Map<string, number>();

  private cachedTokens = 0;

  private freeAt = 0;

  public constructor(id: string, private readonly clock: SimulatedClock, private readonly opts: {
    readonly tokensPerMs: number;
    readonly fixedMs: number;
    readonly cacheTokens: number;
    readonly failureDomain: string;
    readonly known: Set<string>;
  }) {
    this.speed = opts.tokensPerMs;
    this.record = {
      id,
      bornAt: 1,
      sequence: 1,
      service: SERVICE.name,
      address: '10.9.0.1:1',
      failureDomain: opts.failureDomain,
      slots: 8,
      draining: false,
      reclaimable: false,
      softwareVersion: 'v1',
      role: Role.Prefill,
      models: [],
    };
  }

  /** Reads a prompt; returns the time in ms until it has. */
  public prefill({ parts }: Generation): number {
    let missing = false;
    let tokens = 0;
    for (const [index, { id, tokens: size }] of parts.entries()) {
      missing ||= !this.cache.has(id);
      if (missing) {
        tokens += size;
        if (index < parts.length - 1 && this.opts.known.has(id)) this.read.again += size;
      }
      this.keep(id, size);
      this.opts.known.add(id);
    }
    this.read.tokens += tokens;
    const now = this.clock.monotonic();
    this.freeAt = Math.max(this.freeAt, now) + this.opts.fixedMs + tokens / this.speed;
    return this.freeAt - now;
  }

  /** Loses what it has cached, as a restart does. */
  public clearCache(): void {
    this.cache.clear();
    this.cachedTokens = 0;
  }

  private keep(id: string, tokens: number): void {
    if (this.cache.delete(id)) this.cachedTokens -= tokens;
    this.cache.set(id, tokens);
    this.cachedTokens += tokens;
    for (const [oldest, size] of this.cache) {
      if (this.cachedTokens <= this.opts.cacheTokens) break;
      this.cache.delete(oldest);
      this.cachedTokens -= size;
    }
  }
}

/** Call of one caller. */
export interface GroupCall {
  readonly caller: Caller;
  readonly priority: number;
  readonly generation: Generation;
  readonly targetMs: number;
  readonly timeoutMs: number;
}

/** What a caller got. */
export interface GroupOutcome {
  /** Time in ms to the first event, or `null` where the call was refused. */
  readonly firstMs: number | null;
  readonly retryAfterMs: number;
  readonly engine: string | null;
}

/** What one gateway of the group has. */
export interface GroupNode {
  readonly allocator: SlotAllocator;
  readonly occupancy: Occupancy;
  readonly ledger: WorkLedger;
  readonly estimates: Estimates;
}

/** Options of {@link GatewayGroup}. */
export interface GatewayGroupOptions {
  readonly gateways: number;
  readonly engines: number;
  readonly tokensPerMs: number;
  /** Time in ms that each prefill takes besides its tokens. */
  readonly fixedMs?: number;
  /** Speeds of the engines, by turns, as factors; all 1 by default. */
  readonly speeds?: readonly number[];
  /** Size of the cache of an engine in tokens; unlimited by default. */
  readonly cacheTokens?: number;
  readonly failureDomains?: readonly string[];
  /** Whether gateways tell each other the work of workspaces; true by default. */
  readonly announcesWork?: boolean;
  /** Whether one gateway gives out the places of each engine; false by default. */
  readonly givesOutPlaces?: boolean;
}

const DECODER: ServerRecord = {
  id: 'decoder',
  bornAt: 1,
  sequence: 1,
  service: SERVICE.name,
  address: '10.9.0.2:1',
  failureDomain: 'a',
  slots: 1_000_000,
  draining: false,
  reclaimable: false,
  softwareVersion: 'v1',
  role: Role.Decode,
  models: [],
};

/** Gateways that place prefills at the same engines with the decisions of the product, on a simulated clock. */
export class GatewayGroup {
  public readonly engines: readonly PrefillEngine[];

  public readonly nodes: readonly GroupNode[];

  /** Datagrams that were sent, and their bytes. */
  public readonly sent = { messages: 0, bytes: 0 };

  private readonly stop = new AbortController();

  private readonly times = new Map<string, EngineTimes>();

  private calls = 0;

  public constructor(
    private readonly clock: SimulatedClock,
    private readonly random: SeededRandom,
    private readonly opts: GatewayGroupOptions,
  ) {
    const domains = opts.failureDomains ?? ['a'];
    const known = new Set<string>();
    this.engines = Array.from({ length: opts.engines }, (_, index) => new PrefillEngine(`engine-${index}`, clock, {
      tokensPerMs: opts.tokensPerMs * (opts.speeds?.[index % opts.speeds.length] ?? 1),
      fixedMs: opts.fixedMs ?? 0,
      cacheTokens: opts.cacheTokens ?? Infinity,
      failureDomain: domains[index % domains.length]!,
      known,
    }));
    const members = new EmulatedMembers();
    const receivers = new Map<string, Set<(message: Uint8Array) => void>>();
    this.nodes = Array.from({ length: opts.gateways }, (_, index) => {
      const ip = `10.${Math.floor(index / 250)}.0.${index % 250}`;
      const failureDomain = domains[index % domains.length]!;
      const view = members.view(`${ip}:1`, '1', failureDomain);
      return this.createNode(view, ip, receivers, opts);
    });
  }

  public dispose(): void {
    this.stop.abort();
    for (const { allocator } of this.nodes) allocator.dispose();
  }

  /** Places a call at a gateway and prefills it there. */
  public async call(gateway: number, call: GroupCall): Promise<GroupOutcome> {
    const { allocator, estimates } = this.nodes[gateway]!;
    const arrivedAt = this.clock.monotonic();
    const ended = new AbortController();
    this.calls += 1;
    const context = {
      call: { id: `r${this.calls}`, generation: call.generation },
      route: { targetMs: call.targetMs },
      service: SERVICE,
      caller: call.caller,
      priority: call.priority,
      deadline: arrivedAt + call.timeoutMs,
      retried: false,
      softwareVersion: null,
      trace: { arrivedAt, steps: [] },
      ended: ended.signal,
    } as unknown as CallContext;
    const slot = await allocator.reservePrefill(context, new Set());
    if (!slot.success) {
      const retryAfterMs = 'retryAfterMs' in slot.error ? slot.error.retryAfterMs : 0;
      return { firstMs: null, retryAfterMs, engine: null };
    }
    const {
      server, reservation, prefillsAhead, recordRead,
    } = slot.data;
    const sentAt = this.clock.monotonic();
    const engine = this.engines.find(({ record }) => record.id === server.id)!;
    await this.pass(NETWORK_MS);
    await this.pass(engine.prefill(call.generation) + NETWORK_MS);
    const { promptTokens, parts } = call.generation;
    estimates.forService(SERVICE.name).recordPrefill(
      this.timesOf(server.id),
      { promptTokens, ownTokens: parts.at(-1)?.tokens ?? promptTokens, ahead: prefillsAhead },
      this.clock.monotonic() - sentAt,
    );
    recordRead?.();
    reservation.dispose();
    allocator.assignFreeSlots();
    estimates.forService(SERVICE.name).recordContinuation(CONTINUATION_MS);
    return { firstMs: this.clock.monotonic() - arrivedAt + CONTINUATION_MS, retryAfterMs: 0, engine: server.id };
  }

  private pass(ms: number): Promise<void> {
    return new Promise((resolve) => {
      this.clock.after(ms, resolve);
    });
  }

  private timesOf(engine: string): EngineTimes {
    let times = this.times.get(engine);
    if (times === undefined) {
      times = new EngineTimes();
      this.times.set(engine, times);
    }
    return times;
  }

  private createNode(
    members: Members,
    ip: string,
    receivers: Map<string, Set<(message: Uint8Array) => void>>,
    { announcesWork = true, givesOutPlaces = false }: GatewayGroupOptions,
  ): GroupNode {
    const { clock, random } = this;
    const datagrams: Datagrams = {
      send: (to, message) => {
        this.sent.messages += 1;
        this.sent.bytes += message.length;
        clock.after(NETWORK_MS, () => receivers.get(to)?.forEach((listener) => listener(message)));
      },
      onMessage: (listener) => {
        const listeners = receivers.get(ip) ?? new Set();
        receivers.set(ip, listeners.add(listener));
        return { dispose: () => listeners.delete(listener) };
      },
    };
    const ledger = new WorkLedger(clock);
    const occupancy = new Occupancy({
      clock, members, datagrams, ...(announcesWork ? { ledger } : {}),
    });
    const estimates = new Estimates();
    const all = [...this.engines.map(({ record }) => record), DECODER];
    const records = new Map(all.map((record) => [record.id, record]));
    const fleet: SlotFleet = {
      pauses: { size: 0, onEnd: () => ({ dispose: () => {} }) },
      candidates: (_service, open, limit): readonly Candidate[] => [...records.values()].map((record) => ({
        record, open: open(occupancy.total(record.id)), limit: limit(record), suspect: false, pausedUntil: null,
      })),
      record: (id) => records.get(id) ?? null,
      serverFor: ({ id }) => ({ handovers: { isAvoided: false }, times: this.timesOf(id) }),
    };
    const places = givesOutPlaces ? new PlaceExchange({
      clock, random, members, datagrams, cacheTokens: () => this.opts.cacheTokens ?? Infinity,
    }, { places: MAX_PREFILLS_PER_ENGINE, maxWhenIdle: MAX_PREFILLS_WHEN_IDLE }) : null;
    const allocator = new SlotAllocator({
      clock,
      random,
      fleet,
      occupancy,
      estimates,
      ledger,
      ranksCalls: true,
      meter: new CountingMeter(),
      places: () => places,
      streams: { mayBegin: () => true },
    }, { failureDomain: members.self().failureDomain, transitMs: 2 });
    void occupancy.run(this.stop.signal);
    return {
      allocator, occupancy, ledger, estimates,
    };
  }
}
