import { createJSONRPCNotification } from 'json-rpc-2.0';
import { z } from 'zod';
import type { Clock, Disposable } from '../core/edges/index.js';
import { safeParseJson } from '../core/json.js';
import type { Members } from '../core/membership/index.js';
import { sleep } from '../core/time.js';

/** Calls open at one backend server. */
export interface OpenCalls {
  /** Prefills of long prompts. */
  readonly prefills: number;
  /** Calls that go on from a prefill elsewhere. */
  readonly continuations: number;
  /** Calls that the server works on from their beginning to their end. */
  readonly wholes: number;
}

/** Carries small messages that may be lost to the other gateways. */
export interface Datagrams {
  send(ip: string, message: string): void;
  onMessage(listener: (message: string) => void): Disposable;
}

/** Shortest time in ms between two messages; a prefill takes about as long, and a message costs about 0.05 ms. */
const PERIOD_MS = 20;

/** Time in ms after which an unchanged table is sent again, because a message may be lost. */
const REPEAT_MS = 250;

/** Time in ms after which the table of a gateway that is no longer heard counts as empty. */
const EXPIRY_MS = 1_000;

/** Gateways that one gateway sends to; the cost stays bounded where there are more. */
export const MAX_RECEIVERS = 24;

const METHOD = 'occupancy';

/** Servers in one message. */
const MAX_SERVERS = 2_000;

const countSchema = z.number().int().nonnegative();

const messageSchema = z.object({
  method: z.literal(METHOD),
  params: z.object({
    from: z.string(),
    sequence: z.number(),
    /** Server ids with their prefills, continuations and whole calls. */
    open: z.array(z.tuple([z.string(), countSchema, countSchema, countSchema])).max(MAX_SERVERS),
    /** Server ids with the calls that wait for them and are still on time. */
    waiting: z.array(z.tuple([z.string(), countSchema])).max(MAX_SERVERS).default([]),
  }),
});

interface PeerTable {
  readonly sequence: number;
  readonly receivedAt: number;
  readonly open: ReadonlyMap<string, OpenCalls>;
  readonly waiting: ReadonlyMap<string, number>;
}

const NONE: OpenCalls = { prefills: 0, continuations: 0, wholes: 0 };

/** Calls open at each backend server, of this gateway and, a few ms late, of the others. */
export class Occupancy {
  private readonly own = new Map<string, { -readonly [Kind in keyof OpenCalls]: number }>();

  private readonly peers = new Map<string, PeerTable>();

  private readonly listeners = new Set<() => void>();

  private demand: () => ReadonlyMap<string, number> = () => new Map();

  private changed = false;

  private sequence = 0;

  public constructor(
    private readonly edges: { readonly clock: Clock; readonly members: Members; readonly datagrams: Datagrams },
  ) {
    this.sequence = edges.clock.now().getTime();
  }

  /** Calls open at a server, all gateways together. */
  public total(server: string): OpenCalls {
    const now = this.edges.clock.monotonic();
    let { prefills, continuations, wholes } = this.own.get(server) ?? NONE;
    for (const { receivedAt, open } of this.peers.values()) {
      const calls = now - receivedAt < EXPIRY_MS ? open.get(server) : undefined;
      prefills += calls?.prefills ?? 0;
      continuations += calls?.continuations ?? 0;
      wholes += calls?.wholes ?? 0;
    }
    return { prefills, continuations, wholes };
  }

  /** Calls of the other gateways that wait for a server and are still on time. */
  public waitingElsewhere(server: string): number {
    const now = this.edges.clock.monotonic();
    let count = 0;
    for (const { receivedAt, waiting } of this.peers.values()) {
      if (now - receivedAt < EXPIRY_MS) count += waiting.get(server) ?? 0;
    }
    return count;
  }

  /** Sets where the waiting calls of this gateway are counted, by the server that they wait for. */
  public tellDemand(demand: () => ReadonlyMap<string, number>): void {
    this.demand = demand;
  }

  /** Time in ms since the last message of a gateway, or `null` where there was none. */
  public heardMs(gateway: string): number | null {
    const table = this.peers.get(gateway);
    return table === undefined ? null : this.edges.clock.monotonic() - table.receivedAt;
  }

  /** Counts a call until the returned handle is disposed. */
  public enter(server: string, kind: keyof OpenCalls): Disposable {
    const calls = this.own.get(server) ?? { ...NONE };
    this.own.set(server, calls);
    calls[kind] += 1;
    this.changed = true;
    return {
      dispose: () => {
        calls[kind] -= 1;
        const unused = calls.prefills + calls.continuations + calls.wholes === 0;
        if (unused && this.own.get(server) === calls) this.own.delete(server);
        this.changed = true;
      },
    };
  }

  /** Calls `listener` when another gateway has told of its calls. */
  public onChange(listener: () => void): Disposable {
    this.listeners.add(listener);
    return { dispose: () => this.listeners.delete(listener) };
  }

  /** Exchanges tables until `signal` aborts. */
  public async run(signal: AbortSignal): Promise<void> {
    const { clock, datagrams } = this.edges;
    const subscription = datagrams.onMessage((message) => this.receive(message));
    let sentAt = -Infinity;
    while (!signal.aborted) {
      await sleep(clock, PERIOD_MS, signal);
      const demand = this.demand();
      if (!this.changed && demand.size === 0 && clock.monotonic() - sentAt < REPEAT_MS) continue;
      // The end of a demand is told as well.
      this.changed = demand.size > 0;
      sentAt = clock.monotonic();
      this.broadcast(demand);
    }
    subscription.dispose();
  }

  public dump(): Record<string, unknown> {
    const now = this.edges.clock.monotonic();
    return {
      own: Object.fromEntries(this.own),
      peers: [...this.peers].map(([name, { receivedAt, open }]) => ({
        name, age_ms: now - receivedAt, servers: open.size,
      })),
    };
  }

  private broadcast(demand: ReadonlyMap<string, number>): void {
    const { members, datagrams } = this.edges;
    this.sequence += 1;
    const open = [...this.own].map(([server, calls]) => [server, calls.prefills, calls.continuations, calls.wholes]);
    const message = JSON.stringify(createJSONRPCNotification(METHOD, {
      from: members.self().id, sequence: this.sequence, open, waiting: [...demand],
    }));
    for (const { address } of members.live().slice(0, MAX_RECEIVERS)) {
      datagrams.send(address.split(':')[0] ?? '', message);
    }
  }

  private receive(message: string): void {
    const parsed = messageSchema.safeParse(safeParseJson(message));
    if (!parsed.success) return;
    const {
      from, sequence, open, waiting,
    } = parsed.data.params;
    if ((this.peers.get(from)?.sequence ?? -1) >= sequence) return;
    this.peers.set(from, {
      sequence,
      receivedAt: this.edges.clock.monotonic(),
      open: new Map(open.map(([server, prefills, continuations, wholes]) => (
        [server, { prefills, continuations, wholes }]
      ))),
      waiting: new Map(waiting),
    });
    for (const listener of this.listeners) listener();
  }
}
