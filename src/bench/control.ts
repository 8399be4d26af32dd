import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import type { Clock } from '../core/interfaces/index.js';
import { createIncarnation, Membership } from '../core/membership/index.js';
import { SimulatedClock } from '../emulator/clock.js';
import { Deployment } from '../emulator/deployment.js';
import { EmulatedNetwork } from '../emulator/peers.js';
import { SeededRandom } from '../emulator/random.js';
import { CountingMeter, RecordingLog } from '../emulator/recording.js';
import { scenarioFleet } from '../scenario/fleets.js';
import type { Experiment, ExperimentResult } from './experiment.js';
import { measureMemberProcesses } from './memberprocesses.js';
import { measurePeerCost } from './peercost.js';
import type { PeerCost } from './peercost.js';
import { round } from './summary.js';

const NODE_COUNTS = [6, 12, 24, 48];
const WARM_UP_MS = 20_000;
const MEASURED_MS = 40_000;

/** Time for which real member processes run. */
const PROCESS_RUN_MS = 8_000;

/** Targets per node: CPU time as a share of one core, memory, and bytes sent and received per second. */
const TARGET_CORE_SHARE = 0.023;
const TARGET_MEMORY_MB = 32;
const TARGET_BYTES_PER_SECOND = 4_096;

const BACKEND_METHODS = ['status', 'loadReport', 'cacheEvents', 'call', 'list'];
const KEY_VALUE_METHODS = ['get', 'range', 'transact', 'leaseGrant', 'leaseRenew'];

/** Traffic of one kind of connection; `bytes` counts the JSON payloads in both directions. */
interface Traffic {
  calls: number;
  bytes: number;
}

/** Running nodes of one variant. */
interface RunningNodes {
  readonly clock: SimulatedClock;
  readonly traffic: Readonly<Record<string, Traffic>>;
  /** Reference that keeps the nodes from being garbage-collected before their memory is measured. */
  readonly retained: unknown;
}

const collectGarbage = ((): (() => void) => {
  setFlagsFromString('--expose-gc');
  return runInNewContext('gc') as () => void;
})();

/** Heap size in bytes after garbage collection. */
function heapBytes(): number {
  collectGarbage();
  collectGarbage();
  return process.memoryUsage().heapUsed;
}

/** Wraps methods of an object to count their calls and payload bytes. Methods that the object lacks are skipped. */
function countCalls(target: object, methods: readonly string[], traffic: Traffic): void {
  const sink = traffic;
  for (const method of methods) {
    const inner: unknown = Reflect.get(target, method);
    if (typeof inner !== 'function') continue;
    Reflect.set(target, method, async (...args: unknown[]) => {
      const result: unknown = await (inner as (...values: unknown[]) => unknown).apply(target, args);
      sink.calls += 1;
      sink.bytes += Buffer.byteLength(JSON.stringify(args.slice(0, -1))) + Buffer.byteLength(JSON.stringify(result));
      return result;
    });
  }
}

/** Counts the calls between entries. */
function countPeerCalls(network: EmulatedNetwork, traffic: Traffic): void {
  const sink = traffic;
  const inner = network.client.bind(network);
  Object.assign(network, {
    client: (from: string) => {
      const client = inner(from);
      countCalls(client, ['call'], sink);
      return client;
    },
  });
}

/** Changes the load that a member announces every second, as an entry does. */
function changeLoad(clock: Clock, membership: Membership, random: SeededRandom): void {
  membership.update({ load: random.float() });
  clock.after(1_000, () => changeLoad(clock, membership, random));
}

/** Starts nodes that run only the membership protocol. */
async function startMembers(nodes: number, seed: number): Promise<RunningNodes> {
  const clock = new SimulatedClock();
  const network = new EmulatedNetwork(clock);
  const traffic = { peers: { calls: 0, bytes: 0 } };
  countPeerCalls(network, traffic.peers);
  const address = (index: number): string => `10.0.${Math.floor(index / 250)}.${index % 250}:7000`;
  const seeds = [0, 1, 2].map(address);
  const memberships = Array.from({ length: nodes }, (_, index) => {
    const random = new SeededRandom(seed * 10_000 + index);
    const membership = new Membership({
      id: `entry-${index}`,
      incarnation: createIncarnation(clock, random),
      address: address(index),
      callerAddress: address(index).replace(':7000', ':8000'),
      failureDomain: ['regina', 'brandon', 'saskatoon'][index % 3]!,
      leaving: false,
      revision: 1,
      load: 0,
    }, {
      clock, random, client: network.client(address(index)), server: network.listen(address(index)), log: new RecordingLog().forEntry(''),
    }, { seeds });
    void membership.run(new AbortController().signal);
    changeLoad(clock, membership, random);
    return membership;
  });
  return { clock, traffic, retained: memberships };
}

/** Starts complete entries that serve no requests, with a fleet of 10 engines and 3 backend servers applied. */
async function startEntries(nodes: number, seed: number): Promise<RunningNodes> {
  const deployment = new Deployment({
    seed,
    fleetFile: scenarioFleet({ engines: 10, servers: 3 }),
    entries: nodes,
    log: new RecordingLog(),
    meter: new CountingMeter(),
  });
  const noTraffic = (): Traffic => ({ calls: 0, bytes: 0 });
  const traffic = { peers: noTraffic(), keyValue: noTraffic(), backends: noTraffic() };
  countPeerCalls(deployment.network, traffic.peers);
  for (const engine of deployment.standIns.engines.values()) countCalls(engine, BACKEND_METHODS, traffic.backends);
  countCalls(deployment.standIns.hosts, BACKEND_METHODS, traffic.backends);
  for (const name of deployment.names) {
    countCalls(deployment.start(name).keyValue, KEY_VALUE_METHODS, traffic.keyValue);
  }
  await deployment.clock.advance(3_000);
  const first = deployment.get(deployment.names[0]!)!;
  void first.entry.apply(scenarioFleet({ engines: 10, servers: 3 }), undefined, 2_000);
  await deployment.clock.advance(5_000);
  return { clock: deployment.clock, traffic, retained: deployment };
}

const VARIANTS: Record<string, (nodes: number, seed: number) => Promise<RunningNodes>> = {
  membership: startMembers, entry: startEntries,
};

/** Figures per node and second; bytes are those sent and received, including headers. */
interface Figures {
  readonly bytesPerSecond: number;
  readonly peerCallsPerSecond: number;
  readonly coreShare: number;
  readonly heapMb: number;
  readonly details: Readonly<Record<string, Traffic>>;
}

async function measure(
  start: (nodes: number, seed: number) => Promise<RunningNodes>,
  nodes: number,
  seed: number,
  cost: PeerCost,
): Promise<Figures> {
  const heapBefore = heapBytes();
  const running = await start(nodes, seed);
  await running.clock.advance(WARM_UP_MS);
  const before = structuredClone(running.traffic) as Record<string, Traffic>;
  const cpuBefore = process.cpuUsage();
  await running.clock.advance(MEASURED_MS);
  const { user, system } = process.cpuUsage(cpuBefore);
  const nodeSeconds = nodes * (MEASURED_MS / 1_000);
  const details = Object.fromEntries(Object.entries(running.traffic).map(([kind, { calls, bytes }]) => [kind, {
    calls: round((calls - before[kind]!.calls) / nodeSeconds),
    bytes: Math.round((bytes - before[kind]!.bytes) / nodeSeconds),
  }]));
  const heapMb = (heapBytes() - heapBefore) / nodes / 1e6;
  if (running.retained === null) throw new Error('the nodes were freed');
  const calls = Object.values(details).reduce((sum, traffic) => sum + traffic.calls, 0);
  const headerBytes = cost.requestBytes + cost.responseBytes;
  const bytesWithHeaders = (traffic: Traffic): number => traffic.bytes + traffic.calls * headerBytes;
  const total = Object.values(details).reduce((sum, traffic) => sum + bytesWithHeaders(traffic), 0);
  return {
    // A call between entries is traffic at both of them, so it is counted twice.
    bytesPerSecond: Math.round(total + bytesWithHeaders(details.peers!)),
    peerCallsPerSecond: details.peers!.calls,
    coreShare: round(((user + system) / 1_000 + calls * nodeSeconds * cost.processorMs) / nodeSeconds / 1_000, 5),
    heapMb: round(heapMb, 3),
    details,
  };
}

/** Experiment: cost of the control traffic per node. */
export const control: Experiment = {
  name: 'control',
  shows: 'bytes, calls, processor time and memory of control traffic per node and second at 6, 12, 24 and 48 nodes',
  target: 'at 6 nodes: 2.3% of a core, 32 MB beyond an idle process, 4 KB/s',
  variants: Object.keys(VARIANTS),
  async run(opts): Promise<ExperimentResult> {
    const sample = { from: 'x'.repeat(100), rows: ['x'.repeat(200)] };
    const cost = await measurePeerCost(sample);
    opts.emit({ http: cost });
    // The real processes run at the same time as the simulation.
    const memberProcesses = measureMemberProcesses(NODE_COUNTS[0]!, PROCESS_RUN_MS);
    const figuresOfFewestNodes: Record<string, Figures> = {};
    const figure: Record<string, number> = {};
    let pass = true;
    for (const [variant, start] of Object.entries(VARIANTS)) {
      if (opts.variant !== undefined && opts.variant !== variant) continue;
      const figures: Figures[] = [];
      for (const nodes of NODE_COUNTS) {
        figures.push(await measure(start, nodes, opts.seed, cost));
        opts.emit({ variant, nodes, ...figures.at(-1)! });
      }
      const [small, large] = [figures[0]!, figures.at(-1)!];
      const span = NODE_COUNTS.at(-1)! - NODE_COUNTS[0]!;
      opts.emit({
        variant,
        slopePerNode: {
          bytesPerSecond: round((large.bytesPerSecond - small.bytesPerSecond) / span),
          calls: round((large.peerCallsPerSecond - small.peerCallsPerSecond) / span, 4),
          coreShare: round((large.coreShare - small.coreShare) / span, 7),
          heapMb: round((large.heapMb - small.heapMb) / span, 5),
        },
      });
      figuresOfFewestNodes[variant] = small;
      pass &&= small.bytesPerSecond <= TARGET_BYTES_PER_SECOND && small.coreShare <= TARGET_CORE_SHARE;
      Object.assign(figure, {
        [`${variant}BytesPerSecond`]: small.bytesPerSecond,
        [`${variant}CoreShare`]: small.coreShare,
      });
    }
    const member = await memberProcesses;
    opts.emit({ memberProcess: member });
    // Memory of an entry: that of a process with membership alone, plus the additional heap of a complete entry.
    const entryHeapMb = (figuresOfFewestNodes.entry?.heapMb ?? 0) - (figuresOfFewestNodes.membership?.heapMb ?? 0);
    const memoryMb = round(member.residentMb + Math.max(0, entryHeapMb), 1);
    pass &&= member.coreShare <= TARGET_CORE_SHARE && memoryMb <= TARGET_MEMORY_MB;
    return { pass, figure: { ...figure, processCoreShare: member.coreShare, memoryMb } };
  },
};
