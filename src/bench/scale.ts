import { CostRouter, LeastRequestsRouter, selectSubset } from '../core/routing/index.js';
import { EngineDirectory, AttemptOutcome } from '../core/serving/index.js';
import { Priority, Role } from '../core/interfaces/index.js';
import type { Placement, WorkItem } from '../core/serving/index.js';
import type { Router, SubsetEngine } from '../core/routing/index.js';
import { SimulatedClock } from '../emulator/clock.js';
import { SeededRandom } from '../emulator/random.js';
import type { Experiment, RunOptions, ExperimentResult } from './experiment.js';
import { SEEDS } from './policy.js';
import { quantile } from './simulation.js';

const REPLICAS = [10, 100, 1_000, 10_000];

const ENTRY_COUNTS = [6, 1_800];

const MODELS = 9;

const FAILURE_DOMAINS = 15;

/** Measured decisions, and the decisions before them that are not measured. */
const MEASURED_DECISIONS = 4_000;

const WARM_UP_DECISIONS = 2_000;

/** Maximum number of requests in flight at the measured entry. */
const MAX_IN_FLIGHT = 200;

/** Maximum time in us of one decision at 10,000 replicas that the target allows. */
const MAX_DECISION_US = 20;

/** Maximum ratio of the cost with 1,800 entries to that with 6 that still counts as flat. */
const MAX_FLAT_RATIO = 1.5;

/** Bytes of one load report with its HTTP framing; an entry receives one a second from each engine of its subset. */
const REPORT_BYTES = 90;

const VARIANTS = ['baseline', 'policy'];

function createItem(random: SeededRandom, index: number, now: number): WorkItem {
  const short = random.float() < 0.25;
  return {
    requestId: `r${index}`,
    workspace: 'w',
    model: `model-${random.integer(0, MODELS - 1)}`,
    kind: short ? 'short' : 'long',
    priority: Priority.Normal,
    promptTokens: short ? 4_000 : 300,
    maxTokens: short ? 3 : 160,
    prefixBlockHashes: [],
    deadline: now + 7_400,
    arrival: now,
  };
}

/** Time of one routing decision, and size and computation time of the entry's subset of engines. */
interface DecisionCost {
  readonly medianUs: number;
  readonly p99Us: number;
  readonly subset: number;
  readonly subsetMs: number;
}

/** Measures the time in which one entry of a fleet chooses an engine for a request and records its start. */
function measure(variant: string, seed: number, replicas: number, nodeCount: number): DecisionCost {
  const clock = new SimulatedClock();
  const random = new SeededRandom(seed);
  const nodes = Array.from({ length: nodeCount }, (_, index) => `node-${index}`);
  const engines: SubsetEngine[] = Array.from({ length: replicas }, (_, index) => ({
    name: `engine-${index}`,
    failureDomain: `domain-${index % FAILURE_DOMAINS}`,
    models: [`model-${index % MODELS}`],
  }));
  const directory = new EngineDirectory();
  const subsetStart = process.hrtime.bigint();
  const subset = new Set(variant === 'policy'
    ? selectSubset('node-0', nodes, engines)
    : engines.map((engine) => engine.name));
  const subsetMs = Number(process.hrtime.bigint() - subsetStart) / 1e6;
  for (const engine of engines) {
    if (subset.has(engine.name)) directory.set({ ...engine, role: Role.Mixed, available: true });
  }
  const hasRoom = (): boolean => true;
  const router: Router = variant === 'policy'
    ? new CostRouter({
      clock,
      directory,
      random,
      hasRoom,
      node: 'node-0',
      nodes: () => nodes,
      failureDomain: 'domain-0',
      expectedOutput: (item) => item.maxTokens,
    })
    : new LeastRequestsRouter({ directory, random, hasRoom });
  const inFlight: { item: WorkItem; placement: Placement }[] = [];
  const times: number[] = [];
  // The baseline scans every replica; a twentieth of the decisions is enough to show that cost in a large fleet.
  const share = variant === 'baseline' && replicas >= 1_000 ? 0.05 : 1;
  const warmUp = WARM_UP_DECISIONS * share;
  for (let index = 0; index < warmUp + MEASURED_DECISIONS * share; index += 1) {
    clock.advanceSync(5);
    const item = createItem(random, index, clock.monotonic());
    const start = process.hrtime.bigint();
    const placement = router.choose(item);
    if (placement !== null) router.started(item, placement);
    const end = process.hrtime.bigint();
    if (index >= warmUp) times.push(Number(end - start) / 1_000);
    if (placement !== null) inFlight.push({ item, placement });
    while (inFlight.length > MAX_IN_FLIGHT || (placement === null && inFlight.length > 0)) {
      const [done] = inFlight.splice(random.integer(0, inFlight.length - 1), 1);
      router.finished(done!.item, done!.placement, AttemptOutcome.Done);
      if (placement === null) break;
    }
  }
  return {
    medianUs: quantile(times, 0.5), p99Us: quantile(times, 0.99), subset: subset.size, subsetMs,
  };
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}

/** Measures the cost of one routing decision as the fleet grows. */
export const scale: Experiment = {
  name: 'scale',
  shows: 'time of one decision at 10 to 10,000 replicas, with 6 and 1,800 entries',
  target: 'under 20 us at 10,000 replicas; flat in entries (within 1.5 x)',
  variants: VARIANTS,
  async run(opts: RunOptions): Promise<ExperimentResult> {
    const medians = new Map<string, number>();
    for (const variant of VARIANTS.filter((name) => opts.variant === undefined || name === opts.variant)) {
      for (const nodeCount of ENTRY_COUNTS) {
        for (const replicas of REPLICAS) {
          const costs: DecisionCost[] = [];
          for (let { seed } = opts; seed < opts.seed + SEEDS; seed += 1) {
            costs.push(measure(variant, seed, replicas, nodeCount));
          }
          const sorted = costs.map((cost) => round(cost.medianUs)).sort((a, b) => a - b);
          const median = sorted[Math.floor(sorted.length / 2)]!;
          medians.set(`${variant}/${nodeCount}/${replicas}`, median);
          opts.emit({
            variant,
            entries: nodeCount,
            replicas,
            medianUs: median,
            medianLowUs: sorted[0],
            medianHighUs: sorted.at(-1),
            p99Us: round(Math.max(...costs.map((cost) => cost.p99Us))),
            subset: costs.map((cost) => cost.subset)[0],
            reportBytesPerSecond: costs[0]!.subset * REPORT_BYTES,
            subsetMs: round(Math.max(...costs.map((cost) => cost.subsetMs))),
          });
        }
      }
    }
    const medianAt = (nodeCount: number): number => medians.get(`policy/${nodeCount}/10000`) ?? 0;
    const [few, many] = [medianAt(ENTRY_COUNTS[0]!), medianAt(ENTRY_COUNTS[1]!)];
    const figure = { medianUsAt6: few, medianUsAt1800: many, ratio: round(many / few) };
    return { pass: Math.max(few, many) < MAX_DECISION_US && many <= MAX_FLAT_RATIO * few, figure };
  },
};
