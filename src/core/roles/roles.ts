import { Role } from '../edges/index.js';
import type { Demand } from '../routing/index.js';
import type { RoleCounts, SplitModel } from './split.js';
import { splitValue } from './split.js';

/** Engine as the planner sees it. */
export interface PlannedEngine {
  readonly name: string;
  readonly failureDomain: string;
  readonly role: Role;
  /** Leaving, draining, changing role or not loaded; it keeps its place in the counts under the role it will have. */
  readonly away: boolean;
  /** Requests that run there, whose KV cache would have to move. */
  readonly running: number;
}

/** What the planner decides from at one tick; one model at a time. */
export interface PlanInput {
  /** Monotonic time in ms. */
  readonly now: number;
  readonly engines: readonly PlannedEngine[];
  /** Smoothed demand of all nodes for this model. */
  readonly demand: Demand;
}

/** Wanted role of one engine. */
export interface RoleChange {
  readonly engine: string;
  readonly role: Role;
}

/** Options of {@link RolePlanner}. */
export interface RolePlannerOptions {
  readonly model: SplitModel;
  /** Time that a role change keeps an engine away, in ms. */
  readonly changeMs: number;
  /** Time that moving the KV cache of one running request costs it, in ms. */
  readonly moveMs: number;
  /** Lost service, as a multiple of the price of the change, that must add up before the change is made. */
  readonly patience: number;
  /** One engine at a time may be away for each so many engines. */
  readonly enginesPerChange: number;
}

/** Defaults of {@link RolePlannerOptions}, without the model of engine service. */
export const DEFAULT_PLANNER_OPTIONS = {
  changeMs: 6_000,
  moveMs: 50,
  patience: 3,
  enginesPerChange: 5,
};

/** Largest number of engines for which every division is weighed; beyond it only a change of a few engines is. */
const MAX_EXHAUSTIVE = 32;

const LARGE_STEP_SHARE = 1 / 16;

/** Gain relative to the current value below which two divisions count as equal; the model is no better than that. */
const MIN_GAIN = 0.05;

function countRoles(engines: readonly PlannedEngine[]): RoleCounts {
  const count = (role: Role): number => engines.filter((engine) => engine.role === role).length;
  return { prefill: count(Role.Prefill), decode: count(Role.Decode), mixed: count(Role.Mixed) };
}

/** Changes of single engines between two divisions. */
function distance(from: RoleCounts, to: RoleCounts): number {
  const { abs } = Math;
  return (abs(from.prefill - to.prefill) + abs(from.decode - to.decode) + abs(from.mixed - to.mixed)) / 2;
}

const ROLES = [
  [Role.Prefill, 'prefill'], [Role.Decode, 'decode'], [Role.Mixed, 'mixed'],
] as const;

/**
 * Decides which engines change role. A change is made once the service that the current division has lost adds up to
 * the price of the change, so a swing too short to repay it causes none, and the loss by waiting is bounded.
 */
export class RolePlanner {
  /** Requests lost so far by not having the best division. */
  private regret = 0;

  private at: number | null = null;

  /** Time for which another division has been better, in ms. */
  private lastedMs = 0;

  public constructor(private readonly options: RolePlannerOptions) {}

  /** Changes to order now; empty most of the time. */
  public plan(input: PlanInput): RoleChange[] {
    const elapsedMs = this.at === null ? 0 : input.now - this.at;
    this.at = input.now;
    const counts = countRoles(input.engines);
    const current = this.value(counts, input.demand);
    const target = this.bestTarget(counts, input.demand);
    const gain = this.value(target, input.demand) - current;
    const moves = distance(counts, target);
    if (moves === 0 || gain <= MIN_GAIN * current) {
      // Half of the regret is forgotten in the time of a change once the division fits again.
      this.regret *= 0.5 ** (elapsedMs / this.options.changeMs);
      this.lastedMs = 0;
      return [];
    }
    this.regret += (gain * elapsedMs) / 1_000;
    this.lastedMs += elapsedMs;
    // A swing is expected to last as long again as it has lasted, and a change must be over before it ends.
    if (this.lastedMs < this.options.changeMs) return [];
    if (this.regret < this.options.patience * this.price(input, counts, target, current)) return [];
    const changes = this.pick(input, counts, target);
    if (distance(counts, target) <= changes.length) this.regret = 0;
    return changes;
  }

  /** Loss in requests by carrying out a change: engines away, and KV cache moved. */
  private price(input: PlanInput, counts: RoleCounts, target: RoleCounts, current: number): number {
    const { changeMs, moveMs } = this.options;
    const total = input.engines.length;
    const perEngine = current / Math.max(1, total);
    const moved = Math.max(0, counts.decode + counts.mixed - target.decode - target.mixed);
    const running = input.engines.reduce((sum, engine) => sum + engine.running, 0) / Math.max(1, total);
    return (distance(counts, target) * perEngine * changeMs + moved * running * moveMs) / 1_000;
  }

  private value(counts: RoleCounts, demand: Demand): number {
    return splitValue(counts, demand, this.options.model);
  }

  private bestTarget(counts: RoleCounts, demand: Demand): RoleCounts {
    const total = counts.prefill + counts.decode + counts.mixed;
    const reach = total <= MAX_EXHAUSTIVE ? total : Math.max(1, Math.floor(total * LARGE_STEP_SHARE));
    const step = total <= MAX_EXHAUSTIVE ? 1 : Math.max(1, Math.floor(reach / 4));
    const { changeMs } = this.options;
    let best = counts;
    let bestScore = this.value(counts, demand);
    const perChange = (bestScore / Math.max(1, total)) * MIN_GAIN * (changeMs / 1_000);
    for (let prefill = Math.max(0, counts.prefill - reach); prefill <= total; prefill += step) {
      if (prefill > counts.prefill + reach) break;
      for (let decode = Math.max(0, counts.decode - reach); prefill + decode <= total; decode += step) {
        if (decode > counts.decode + reach) break;
        const candidate = { prefill, decode, mixed: total - prefill - decode };
        const score = this.value(candidate, demand) - distance(counts, candidate) * perChange;
        if (score > bestScore) {
          best = candidate;
          bestScore = score;
        }
      }
    }
    return best;
  }

  private pick(input: PlanInput, counts: RoleCounts, target: RoleCounts): RoleChange[] {
    const away = input.engines.filter((engine) => engine.away).length;
    const allowed = Math.max(1, Math.floor(input.engines.length / this.options.enginesPerChange)) - away;
    const changes: RoleChange[] = [];
    const left = { ...counts };
    const taken = new Set<string>();
    while (changes.length < allowed) {
      const surplus = ROLES.find(([, key]) => left[key] > target[key]);
      const lack = ROLES.find(([, key]) => left[key] < target[key]);
      if (surplus === undefined || lack === undefined) break;
      const [from, fromKey] = surplus;
      const [role, roleKey] = lack;
      const engine = RolePlanner.cheapest(input.engines.filter(({ name }) => !taken.has(name)), from);
      if (engine === null || !this.keepsService(input, taken, engine)) break;
      taken.add(engine.name);
      changes.push({ engine: engine.name, role });
      left[fromKey] -= 1;
      left[roleKey] += 1;
    }
    return changes;
  }

  /** Whether prompts and decodes still have an engine that is present while this one is away. */
  private keepsService(input: PlanInput, taken: ReadonlySet<string>, leaving: PlannedEngine): boolean {
    const present = input.engines.filter((engine) => (
      !engine.away && engine !== leaving && !taken.has(engine.name)
    ));
    return present.some((engine) => engine.role !== Role.Decode)
      && present.some((engine) => engine.role !== Role.Prefill);
  }

  /** Engine of a role whose loss hurts least: most peers of the role in its failure domain, then fewest requests. */
  private static cheapest(engines: readonly PlannedEngine[], role: Role): PlannedEngine | null {
    const present = engines.filter((engine) => engine.role === role && !engine.away);
    const peers = (engine: PlannedEngine): number => (
      present.filter((other) => other.failureDomain === engine.failureDomain).length
    );
    present.sort((a, b) => peers(b) - peers(a) || a.running - b.running || (a.name < b.name ? -1 : 1));
    return present[0] ?? null;
  }
}
