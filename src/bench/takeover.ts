import { Fencing } from '../core/configuration/index.js';
import { SeededRandom } from '../emulator/random.js';
import type { Experiment, RunOptions, ExperimentResult } from './experiment.js';
import { LEASE_MS, PAUSE_ALLOWANCE_MS, PlannerGroup } from './plannergroup.js';
import type { Protection } from './plannergroup.js';

const RUNS = 500;

const BASELINE_RUNS = 100;

/** Rounds of role changes in a run. */
const CHANGES = 10;

const CHANGE_EVERY_MS = 2_000;

/** How the holder of the authority lease fails during a run. */
type HolderFailure = 'kill' | 'pause';

interface Variant {
  readonly name: string;
  readonly failures: readonly HolderFailure[];
  readonly runs: number;
  readonly without?: Protection;
}

const VARIANTS: readonly Variant[] = [
  { name: 'kill', failures: ['kill'], runs: RUNS },
  { name: 'pause', failures: ['pause'], runs: RUNS },
  ...(['guard', 'abandonment', 'intents', 'own-clock'] as const).map((without) => ({
    name: `without-${without}`, failures: ['kill', 'pause'] as const, runs: BASELINE_RUNS, without,
  })),
];

interface RunOutcome {
  /** Time in ms from the failure until an engine accepts an order of the next term; absent without a takeover. */
  readonly takeoverMs: number | undefined;
  /** Conflicting orders at engines that enforce fencing. */
  readonly enforced: number;
  /** Conflicting orders at engines that ignore fencing. */
  readonly ignored: number;
  /** True when every engine is in the wanted state at the end. */
  readonly reachedTarget: boolean;
}

/** Kills the holder, or pauses it at a random point of its next order or at once. */
function failHolder(group: PlannerGroup, failure: HolderFailure, random: SeededRandom): void {
  const index = group.findHolderIndex();
  const host = group.emulatedEntries[index];
  if (host === undefined) return;
  if (failure === 'kill') {
    host.kill();
    if (random.float() < 0.5) group.clock.after(random.integer(500, 10_000), () => group.start(index));
    return;
  }
  const point = random.pick(['send', 'guard', 'any'] as const);
  const lengthMs = point === 'send' ? random.integer(3_000, PAUSE_ALLOWANCE_MS) : random.integer(3_000, 25_000);
  if (point !== 'any') {
    host.pausePoint = { at: point, lengthMs };
    return;
  }
  host.pause();
  group.clock.after(lengthMs, () => host.resume());
}

/** Highest term of any order that an engine has accepted. */
function latestTerm(group: PlannerGroup): number {
  return Math.max(0, ...group.engines.flatMap(({ appliedOrders: accepted }) => accepted.map(({ term }) => term)));
}

/** Runs one seed: roles keep changing while the holder fails; an engine may restart, orders to one may be late. */
async function simulateRun(seed: number, failure: HolderFailure, without: Protection | undefined): Promise<RunOutcome> {
  const random = new SeededRandom(seed);
  const group = new PlannerGroup({ seed, without });
  await group.advanceUntil(() => group.findHolderIndex() >= 0, 10_000);
  const { engines } = group;
  engines[random.integer(0, 3)]!.faults.orderDelayMs = random.pick([0, 0, 500, 1_500]);
  if (random.float() < 0.3) {
    group.clock.after(random.integer(4_000, 15_000), () => engines[random.integer(0, 3)]!.crash());
  }
  if (random.float() < 0.2) {
    group.clock.after(random.integer(0, 9_000), () => Object.assign(group.store, { loseAnswers: 1 }));
  }

  const failAt = random.integer(2_500, 4_500) + group.clock.monotonic();
  let failedAt: number | undefined;
  let termBefore = 0;
  let takeoverMs: number | undefined;
  for (let change = 0; change < CHANGES; change += 1) {
    for (const [index] of engines.entries()) if (random.float() < 0.7) group.requestOtherRole(index);
    for (let elapsed = 0; elapsed < CHANGE_EVERY_MS; elapsed += 50) {
      await group.clock.advance(50);
      const now = group.clock.monotonic();
      if (now >= failAt && failedAt === undefined && group.findHolderIndex() >= 0) {
        termBefore = group.authorities[group.findHolderIndex()]!.term;
        failHolder(group, failure, random);
        failedAt = Infinity;
      }
      // A pause at an order starts only when the holder sends its next order, so the failure is timed from there.
      if (failedAt === Infinity && group.findHolderIndex() < 0) failedAt = now;
      const takenOver = failedAt !== undefined && takeoverMs === undefined && latestTerm(group) > termBefore;
      if (takenOver) takeoverMs = now - failedAt!;
    }
  }
  group.emulatedEntries.forEach((host) => host.resume());
  for (const engine of engines) engine.faults.orderDelayMs = 0;
  await group.clock.advance(25_000);
  const conflicts = (fencing: Fencing) => engines
    .filter((_, index) => group.fleet.engines[index]!.fencing === fencing)
    .reduce((sum, engine) => sum + engine.conflictingOrders.length, 0);
  return {
    takeoverMs,
    enforced: conflicts(Fencing.Enforced),
    ignored: conflicts(Fencing.Ignored),
    reachedTarget: await group.matchesFleet(),
  };
}

async function runVariant(variant: Variant, opts: RunOptions): Promise<Record<string, number>> {
  const outcomes: RunOutcome[] = [];
  for (let run = 0; run < variant.runs; run += 1) {
    const failure = variant.failures[run % variant.failures.length]!;
    outcomes.push(await simulateRun(opts.seed * 10_000 + run, failure, variant.without));
  }
  const times = outcomes
    .flatMap(({ takeoverMs }) => (takeoverMs === undefined ? [] : [takeoverMs]))
    .sort((a, b) => a - b);
  const percentileAt = (share: number) => times[Math.min(times.length - 1, Math.floor(times.length * share))] ?? -1;
  const total = (kind: 'enforced' | 'ignored') => outcomes.reduce((sum, outcome) => sum + outcome[kind], 0);
  return {
    runs: outcomes.length,
    takeovers: times.length,
    next_order_p50_ms: percentileAt(0.5),
    next_order_p99_ms: percentileAt(0.99),
    next_order_max_ms: percentileAt(1),
    conflicts_fencing_enforced: total('enforced'),
    conflicts_fencing_ignored: total('ignored'),
    runs_with_conflicts: outcomes.filter(({ enforced, ignored }) => enforced + ignored > 0).length,
    runs_not_settled: outcomes.filter(({ reachedTarget }) => !reachedTarget).length,
  };
}

/** Measures how another entry takes over planning after the holder is killed or paused. */
export const takeover: Experiment = {
  name: 'takeover',
  shows: 'time to the next order after the holder is killed or paused, and conflicting orders at engines',
  target: 'next order under 2 leases (6000 ms); 0 conflicting orders at engines of both kinds over >= 500 seeded runs',
  variants: VARIANTS.map(({ name }) => name),
  async run(opts): Promise<ExperimentResult> {
    const figure: Record<string, number> = {};
    let pass = true;
    for (const variant of VARIANTS) {
      if (opts.variant !== undefined && opts.variant !== variant.name) continue;
      const line = await runVariant(variant, opts);
      opts.emit({ variant: variant.name, ...line });
      if (variant.without !== undefined) {
        figure[`${variant.name}_conflicts`] = line.conflicts_fencing_enforced! + line.conflicts_fencing_ignored!;
        continue;
      }
      const conflicts = line.conflicts_fencing_enforced! + line.conflicts_fencing_ignored!;
      figure[`${variant.name}_next_order_max_ms`] = line.next_order_max_ms!;
      figure[`${variant.name}_conflicts`] = conflicts;
      pass &&= conflicts === 0 && line.takeovers! > 0 && line.next_order_max_ms! < 2 * LEASE_MS
        && line.runs_not_settled === 0;
    }
    return { pass, figure };
  },
};
