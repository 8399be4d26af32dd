import type { Clock } from '../core/interfaces/index.js';
import type { Run } from '../gateway/openruns.js';
import { Quarantine, QuarantineExchange, Trials } from '../gateway/quarantine/index.js';
import type { ServerRecord } from '../gateway/serverregistry.js';
import { SimulatedClock } from './clock.js';
import { EmulatedMembers } from './entry.js';
import { EmulatedNetwork } from './peers.js';
import { SeededRandom } from './random.js';
import { CountingMeter, RecordingLog } from './recording.js';

/** Time in ms in which a datagram arrives. */
const DATAGRAM_MS = 1;

/** What one gateway has of the quarantine. */
export interface QuarantineNode {
  readonly ip: string;
  readonly quarantine: Quarantine;
  readonly exchange: QuarantineExchange;
  readonly trials: Trials;
  readonly meter: CountingMeter;
}

/** Gateways that exchange what they know of prompt parts, over an emulated network. */
export interface QuarantineGroup {
  readonly clock: SimulatedClock;
  readonly network: EmulatedNetwork;
  readonly nodes: readonly QuarantineNode[];
  /** IP addresses whose datagrams are lost. */
  readonly isolated: Set<string>;
  /** Starts one more gateway. */
  add(): QuarantineNode;
  /** Number of gateways that keep a part from the engines of `engine`. */
  blockedAt(part: string): number;
  /** Number of log lines of an event, of all gateways. */
  lines(event: string): number;
}

/** Record of an engine of the service `engine`. */
export function engineRecord(id: string): ServerRecord {
  return {
    id,
    bornAt: 1,
    sequence: 1,
    service: 'engine',
    address: '10.9.0.1:1',
    failureDomain: 'regina',
    slots: 4,
    draining: false,
    reclaimable: false,
    softwareVersion: 'v1',
    role: null,
    models: [],
  };
}

/** Run that was written at a time in ms and has no answer. */
export function openRun(parts: readonly string[], sentAt: number, request = `r${sentAt}`): Run {
  return {
    request, parts, sentAt, isAnswered: false, chunks: 0, serverEnded: null,
  };
}

function createDatagrams(clock: Clock, ip: string, meter: CountingMeter, group: {
  readonly receivers: Map<string, (message: Uint8Array) => void>;
  readonly isLost: (from: string, to: string) => boolean;
  readonly delayMs: () => number;
}) {
  return {
    send: (to: string, message: Uint8Array): void => {
      meter.count('sent');
      if (!group.isLost(ip, to)) clock.after(group.delayMs(), () => group.receivers.get(to)?.(message));
    },
    onMessage: (listener: (message: Uint8Array) => void) => {
      group.receivers.set(ip, listener);
      return { dispose: () => group.receivers.delete(ip) };
    },
  };
}

/**
 * Starts `count` gateways; `loss` is the share of datagrams that are lost, 0 by default, and `maxDelayMs` the longest
 * time in which one arrives.
 */
export function createQuarantineGroup(
  count: number,
  { loss = 0, maxDelayMs = DATAGRAM_MS } = {},
): QuarantineGroup {
  const clock = new SimulatedClock();
  const network = new EmulatedNetwork(clock);
  const members = new EmulatedMembers();
  const log = new RecordingLog();
  const losses = new SeededRandom(1);
  const isolated = new Set<string>();
  const transport = {
    receivers: new Map<string, (message: Uint8Array) => void>(),
    isLost: (from: string, to: string) => isolated.has(from) || isolated.has(to) || losses.float() < loss,
    delayMs: () => DATAGRAM_MS + (maxDelayMs - DATAGRAM_MS) * losses.float(),
  };
  const nodes: QuarantineNode[] = [];
  const add = (): QuarantineNode => {
    const ip = `10.0.${Math.floor(nodes.length / 250)}.${nodes.length % 250}`;
    const meter = new CountingMeter();
    const deps = { clock, log: log.forEntry(ip), meter };
    const quarantine = new Quarantine(deps);
    const exchangeDeps = {
      ...deps,
      random: new SeededRandom(nodes.length + 2),
      client: network.client(`${ip}:1`),
      server: network.listen(`${ip}:1`),
      members: members.view(`${ip}:1`),
      datagrams: createDatagrams(clock, ip, meter, transport),
      quarantine,
    };
    const exchange = new QuarantineExchange(exchangeDeps, { hasSeeds: true });
    const trials = new Trials(exchangeDeps);
    trials.serve();
    void exchange.run(new AbortController().signal);
    const node = {
      ip, quarantine, exchange, trials, meter,
    };
    nodes.push(node);
    return node;
  };
  for (let index = 0; index < count; index += 1) add();
  return {
    clock,
    network,
    nodes,
    isolated,
    add,
    blockedAt: (part) => nodes.filter(({ quarantine }) => quarantine.findBlocked('engine', [part]) !== null).length,
    lines: (event) => log.lines.filter((line) => line.event === event).length,
  };
}
