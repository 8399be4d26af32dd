import type { Clock, Disposable } from '../core/interfaces/index.js';
import type { Member, Members } from '../core/membership/index.js';
import { hashName } from '../core/rendezvous.js';
import { sleep } from '../core/time.js';
import { safeUnpack, pack } from './packing.js';
import { ANNOUNCE_PERIOD_MS, MAX_ANNOUNCED, UNRANKED } from './shares/index.js';
import type { AnnouncedWork, WorkLedger } from './shares/index.js';
import type { WaitingCalls } from './slotqueue.js';

/** Numbers of calls that are open at one backend server, by their kind. */
export interface OpenCalls {
  /** Prefills of long prompts. */
  readonly prefills: number;
  /** Calls that continue from a prefill at another engine. */
  readonly continuations: number;
  /** Calls that the server runs from beginning to end. */
  readonly wholes: number;
}

/** Unreliable transport for small messages between gateways. */
export interface Datagrams {
  /** Sends a message to the gateway at an IP address; it may be lost. */
  send(ip: string, message: Uint8Array): void;
  onMessage(listener: (message: Uint8Array) => void): Disposable;
}

/**
 * Shortest time in ms between two messages: about as long as a prefill takes; a message costs about 0.05 ms. It is
 * longer where there are more gateways than receivers: the counts are then a sample, which newer ones improve little.
 */
const PERIOD_MS = 20;

/** Factor by which that time is longer besides, where there are more gateways than receivers. */
const SAMPLED_PERIOD_FACTOR = 2;

/** Time in ms after which an unchanged table is sent again, because a message may have been lost. */
const REPEAT_MS = 250;

/** Time in ms without a message after which the table of a gateway counts as empty. */
const PEER_EXPIRY_MS = 1_000;

/**
 * Largest number of gateways that one gateway sends to, which bounds the cost in a large fleet. In a larger one,
 * messages stay in the failure domain, because traffic between failure domains is expensive.
 */
export const MAX_RECEIVERS = 24;

/**
 * Gateways that receive the messages of `self`: all, or where there are too many the next ones of its failure domain
 * in the order of their ids, so that each gateway hears as many others.
 */
export function selectReceivers<T extends Pick<Member, 'id' | 'failureDomain'>>(
  self: Pick<Member, 'id' | 'failureDomain'>,
  others: readonly T[],
): readonly T[] {
  if (others.length <= MAX_RECEIVERS) return others;
  const near = others.filter(({ failureDomain }) => failureDomain === self.failureDomain)
    .sort((left, right) => (left.id < right.id ? -1 : 1));
  const next = near.findIndex(({ id }) => id > self.id);
  const ring = next === -1 ? near : [...near.slice(next), ...near.slice(0, next)];
  return ring.slice(0, MAX_RECEIVERS);
}

/** Time in ms between two messages of a gateway that knows `others`; shorter than a table of a gateway is valid. */
export function messagePeriodMs(others: number): number {
  if (others <= MAX_RECEIVERS) return PERIOD_MS;
  return Math.min(REPEAT_MS, (PERIOD_MS * SAMPLED_PERIOD_FACTOR * others) / MAX_RECEIVERS);
}

/** Largest number of servers in one message. */
const MAX_SERVERS = 2_000;

/**
 * Message of a gateway, without names of fields and with hashes in place of ids, because these messages are most of the
 * bytes between gateways. Two ids with the same hash would only share their counts.
 */
type Message = readonly [
  /** Hash of the sender's id. */
  from: number,
  sequence: number,
  /** Hashes of server ids, with their prefills, continuations and whole calls. */
  open: readonly (readonly [server: number, prefills: number, continuations: number, wholes: number])[],
  /** Hashes of server ids, with the number of on-time calls that wait for them, and their rank where it is not 0. */
  waiting: readonly (readonly [server: number, count: number, rank?: number])[],
  /** Recent work of workspaces; only now and then, and where the configuration has workspaces. */
  work?: AnnouncedWork,
];

function isCounts(value: unknown, length: number): boolean {
  return Array.isArray(value) && value.length === length
    && value.every((count) => Number.isSafeInteger(count) && count >= 0);
}

function isTable(value: unknown, columns: number, maxRows = MAX_SERVERS): boolean {
  return Array.isArray(value) && value.length <= maxRows && value.every((row) => isCounts(row, columns));
}

function isWaitingTable(value: unknown): boolean {
  return Array.isArray(value) && value.length <= MAX_SERVERS
    && value.every((row) => isCounts(row, 2) || isCounts(row, 3));
}

/** Whether a value is a message; checked by hand, because gateways receive hundreds a second. */
function isMessage(value: unknown): value is Message {
  return Array.isArray(value) && (value.length === 4 || value.length === 5) && isCounts(value.slice(0, 2), 2)
    && isTable(value[2], 4) && isWaitingTable(value[3])
    && (value.length === 4 || isTable(value[4], 2, MAX_ANNOUNCED));
}

/** Largest number of hashes that are kept. */
const MAX_HASHES = 10_000;

interface RankedCount {
  readonly rank: number;
  readonly count: number;
}

/** Newest message of another gateway. */
interface PeerTable {
  readonly sequence: number;
  readonly receivedAt: number;
  /** Open calls by the hash of the server id. */
  readonly open: ReadonlyMap<number, OpenCalls>;
  /** Waiting calls by the hash of the server id, with the count of each rank. */
  readonly waiting: ReadonlyMap<number, readonly RankedCount[]>;
}

function groupByServer(rows: Message[3]): ReadonlyMap<number, readonly RankedCount[]> {
  const groups = new Map<number, RankedCount[]>();
  for (const [server, count, rank = UNRANKED] of rows) {
    const group = groups.get(server);
    if (group === undefined) groups.set(server, [{ rank, count }]);
    else group.push({ rank, count });
  }
  return groups;
}

const NO_CALLS: OpenCalls = { prefills: 0, continuations: 0, wholes: 0 };

/** Counts the open calls of all gateways at each backend server; those of other gateways arrive a few ms late. */
export class Occupancy {
  /** Open calls of this gateway by server id. */
  private readonly own = new Map<string, { -readonly [Kind in keyof OpenCalls]: number }>();

  /** Newest message of each other gateway by the hash of its id. */
  private readonly peers = new Map<number, PeerTable>();

  /** Hashes of the ids that are in use; computing one again costs more than the look-up. */
  private readonly hashes = new Map<string, number>();

  private readonly listeners = new Set<() => void>();

  private demand: () => readonly WaitingCalls[] = () => [];

  /** Monotonic time in ms of the last announcement of work. */
  private announcedAt = -Infinity;

  /** Whether the calls of this gateway have changed since its last message. */
  private changed = false;

  /** Number of the last message; it starts at the wall-clock time, so that it also increases over a restart. */
  private sequence = 0;

  public constructor(
    private readonly deps: {
      readonly clock: Clock;
      readonly members: Members;
      readonly datagrams: Datagrams;
      /** Work of workspaces that gateways tell each other; none by default. */
      readonly ledger?: WorkLedger;
    },
  ) {
    this.sequence = deps.clock.now().getTime();
  }

  /** Calls that all gateways together have open at a server. */
  public total(server: string): OpenCalls {
    const now = this.deps.clock.monotonic();
    const hash = this.hash(server);
    let { prefills, continuations, wholes } = this.own.get(server) ?? NO_CALLS;
    for (const { receivedAt, open } of this.peers.values()) {
      const calls = now - receivedAt < PEER_EXPIRY_MS ? open.get(hash) : undefined;
      prefills += calls?.prefills ?? 0;
      continuations += calls?.continuations ?? 0;
      wholes += calls?.wholes ?? 0;
    }
    return { prefills, continuations, wholes };
  }

  /** Number of on-time calls of ranks below the given one that wait for a server at the other gateways. */
  public waitingAtPeers(server: string, belowRank = Infinity): number {
    const now = this.deps.clock.monotonic();
    const hash = this.hash(server);
    let total = 0;
    for (const { receivedAt, waiting } of this.peers.values()) {
      if (now - receivedAt >= PEER_EXPIRY_MS) continue;
      for (const { rank, count } of waiting.get(hash) ?? []) if (rank < belowRank) total += count;
    }
    return total;
  }

  /** Share of all gateways whose open calls are known here. */
  public heardShare(): number {
    const now = this.deps.clock.monotonic();
    const heard = [...this.peers.values()].filter(({ receivedAt }) => now - receivedAt < PEER_EXPIRY_MS).length;
    return Math.min(1, (heard + 1) / (this.deps.members.live().length + 1));
  }

  /** Sets the function that counts the on-time waiting calls of this gateway by server and rank. */
  public setDemandSource(demand: () => readonly WaitingCalls[]): void {
    this.demand = demand;
  }

  /** Time in ms since the last message of a gateway, or `null` where there was none. */
  public lastMessageAgeMs(gateway: string): number | null {
    const table = this.peers.get(this.hash(gateway));
    return table === undefined ? null : this.deps.clock.monotonic() - table.receivedAt;
  }

  /** Counts a call as open at a server until the returned handle is disposed. */
  public countCall(server: string, kind: keyof OpenCalls): Disposable {
    const calls = this.own.get(server) ?? { ...NO_CALLS };
    this.own.set(server, calls);
    calls[kind] += 1;
    this.changed = true;
    let isOpen = true;
    return {
      dispose: () => {
        if (!isOpen) return;
        isOpen = false;
        calls[kind] -= 1;
        const unused = calls.prefills + calls.continuations + calls.wholes === 0;
        if (unused && this.own.get(server) === calls) this.own.delete(server);
        this.changed = true;
      },
    };
  }

  /** Calls `listener` after each message of another gateway. */
  public onChange(listener: () => void): Disposable {
    this.listeners.add(listener);
    return { dispose: () => this.listeners.delete(listener) };
  }

  /** Exchanges tables with the other gateways until `signal` aborts. */
  public async run(signal: AbortSignal): Promise<void> {
    const { clock, datagrams, members } = this.deps;
    const subscription = datagrams.onMessage((message) => this.receive(message));
    let sentAt = -Infinity;
    try {
      while (!signal.aborted) {
        await sleep(clock, messagePeriodMs(members.live().length), signal);
        const demand = this.demand();
        if (!this.changed && demand.length === 0 && clock.monotonic() - sentAt < REPEAT_MS) continue;
        // The flag stays set while calls wait, so that one more message reports that none waits any longer.
        this.changed = demand.length > 0;
        sentAt = clock.monotonic();
        this.broadcast(demand);
      }
    } finally {
      subscription.dispose();
    }
  }

  /** Own calls by server, and the age of each peer's table. */
  public dump(): Record<string, unknown> {
    const now = this.deps.clock.monotonic();
    return {
      own: Object.fromEntries(this.own),
      peers: this.deps.members.live().map(({ id }) => {
        const table = this.peers.get(this.hash(id));
        const ageMs = table === undefined ? null : now - table.receivedAt;
        return { name: id, age_ms: ageMs, servers: table?.open.size ?? 0 };
      }),
    };
  }

  private broadcast(demand: readonly WaitingCalls[]): void {
    const { members, datagrams } = this.deps;
    this.sequence += 1;
    const open = [...this.own].map(([server, calls]) => (
      [this.hash(server), calls.prefills, calls.continuations, calls.wholes]
    ));
    const waiting = demand.map(({ server, rank, count }) => (
      rank === UNRANKED ? [this.hash(server), count] : [this.hash(server), count, rank]
    ));
    const message = pack([this.hash(members.self().id), this.sequence, open, waiting, ...this.announcements()]);
    for (const { address } of selectReceivers(members.self(), members.live())) {
      datagrams.send(address.split(':')[0] ?? '', message);
    }
  }

  /** Work of workspaces at the end of a message, now and then and where there is any. */
  private announcements(): readonly [] | readonly [AnnouncedWork] {
    const { clock, ledger } = this.deps;
    const now = clock.monotonic();
    if (ledger === undefined || now - this.announcedAt < ANNOUNCE_PERIOD_MS) return [];
    this.announcedAt = now;
    const work = ledger.announcement();
    return work.length > 0 ? [work] : [];
  }

  private hash(id: string): number {
    let hash = this.hashes.get(id);
    if (hash === undefined) {
      if (this.hashes.size >= MAX_HASHES) this.hashes.clear();
      hash = hashName(id);
      this.hashes.set(id, hash);
    }
    return hash;
  }

  private receive(message: Uint8Array): void {
    const unpacked = safeUnpack(message);
    if (!isMessage(unpacked)) return;
    const [from, sequence, open, waiting, work] = unpacked;
    if ((this.peers.get(from)?.sequence ?? -1) >= sequence) return;
    this.peers.set(from, {
      sequence,
      receivedAt: this.deps.clock.monotonic(),
      open: new Map(open.map(([server, prefills, continuations, wholes]) => (
        [server, { prefills, continuations, wholes }]
      ))),
      waiting: groupByServer(waiting),
    });
    if (work !== undefined) this.deps.ledger?.receive(from, work);
    for (const listener of this.listeners) listener();
  }
}
