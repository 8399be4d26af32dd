import { Role } from '../interfaces/index.js';
import type { Demand } from '../routing/index.js';
import type { RoleCounts, RoleCapacityModel } from './capacity.js';
import { estimateGoodAnswersPerSecond } from './capacity.js';

/** State of an engine that the planner considers. */
export interface PlannedEngine {
  readonly name: string;
  readonly failureDomain: string;
  readonly role: Role;
  /** True while it is leaving, draining, changing its role or not loaded; it is counted under its future role. */
  readonly away: boolean;
  /** Number of running requests, whose KV cache a role change would have to move. */
  readonly running: number;
}

/** Input of one planning step for one model. */
export interface PlanInput {
  /** Monotonic time in ms. */
  readonly now: number;
  readonly engines: readonly PlannedEngine[];
  /** Smoothed demand for this model, summed over all nodes. */
  readonly demand: Demand;
}

/** Role that one engine must change to. */
export interface RoleChange {
  readonly engine: string;
  readonly role: Role;
}

/** Options of {@link RolePlanner}. */
export interface RolePlannerOptions {
  /** Model of how much the engines of each role serve. */
  readonly model: RoleCapacityModel;
  /** Time in ms for which a role change makes an engine unavailable. */
  readonly changeMs: number;
  /** Time in ms by which moving its KV cache delays one running request. */
  readonly moveMs: number;
  /** Loss, as a multiple of the cost of a change, that must accumulate before the change is made. */
  readonly patience: number;
  /** Number of engines for each of which one engine may be unavailable at a time. */
  readonly enginesPerChange: number;
}

/** Defaults of {@link RolePlannerOptions}, except for `model`. */
export const DEFAULT_ROLE_PLANNER_OPTIONS = {
  changeMs: 6_000,
  moveMs: 50,
  patience: 3,
  enginesPerChange: 5,
};

/** Largest number of engines for which all divisions are evaluated; with more, only those close to the current one. */
const MAX_EXHAUSTIVE_ENGINES = 32;

/** Largest difference per role from the current division that is evaluated then, as a share of all engines. */
const MAX_DISTANCE_SHARE = 1 / 16;

/** Gain relative to the current division up to which two divisions count as equal; the model is no more accurate. */
const MIN_GAIN = 0.05;

function countRoles(engines: readonly PlannedEngine[]): RoleCounts {
  const count = (role: Role): number => engines.filter((engine) => engine.role === role).length;
  return { prefill: count(Role.Prefill), decode: count(Role.Decode), mixed: count(Role.Mixed) };
}

/** Number of engines that change role between two divisions. */
function countRoleChanges(from: RoleCounts, to: RoleCounts): number {
  const { abs } = Math;
  return (abs(from.prefill - to.prefill) + abs(from.decode - to.decode) + abs(from.mixed - to.mixed)) / 2;
}

const ROLE_KEYS = [
  [Role.Prefill, 'prefill'], [Role.Decode, 'decode'], [Role.Mixed, 'mixed'],
] as const;

/**
 * Decides which engines change role. A change is made once the accumulated loss of the current division reaches a
 * multiple of the cost of the change. So a swing in demand that is too short to repay the cost causes no change, and
 * the loss from waiting is bounded.
 */
export class RolePlanner {
  /** Good answers lost so far because the division is not the best one. */
  private lostAnswers = 0;

  /** Monotonic time of the last step in ms. */
  private lastPlanAt: number | null = null;

  /** Time in ms for which another division has been better without interruption. */
  private betterForMs = 0;

  public constructor(private readonly options: RolePlannerOptions) {}

  /** Runs one planning step and returns the changes to order now, usually none. */
  public plan(input: PlanInput): RoleChange[] {
    const elapsedMs = this.lastPlanAt === null ? 0 : input.now - this.lastPlanAt;
    this.lastPlanAt = input.now;
    const counts = countRoles(input.engines);
    const current = this.goodAnswersPerSecond(counts, input.demand);
    const target = this.bestTarget(counts, input.demand);
    const gain = this.goodAnswersPerSecond(target, input.demand) - current;
    const roleChanges = countRoleChanges(counts, target);
    if (roleChanges === 0 || gain <= MIN_GAIN * current) {
      // Once the division fits again, the loss is halved in the time that a change takes.
      this.lostAnswers *= 0.5 ** (elapsedMs / this.options.changeMs);
      this.betterForMs = 0;
      return [];
    }
    this.lostAnswers += (gain * elapsedMs) / 1_000;
    this.betterForMs += elapsedMs;
    // A swing is expected to last as long again as it has lasted, and the change must be complete before it ends.
    if (this.betterForMs < this.options.changeMs) return [];
    if (this.lostAnswers < this.options.patience * this.changeCost(input, counts, target, current)) return [];
    const changes = this.selectChanges(input, counts, target);
    if (countRoleChanges(counts, target) <= changes.length) this.lostAnswers = 0;
    return changes;
  }

  /** Good answers lost by making a change, because engines are unavailable and KV caches are moved. */
  private changeCost(input: PlanInput, counts: RoleCounts, target: RoleCounts, current: number): number {
    const { changeMs, moveMs } = this.options;
    const total = input.engines.length;
    const perEnginePerSecond = current / Math.max(1, total);
    const moved = Math.max(0, counts.decode + counts.mixed - target.decode - target.mixed);
    const running = input.engines.reduce((sum, engine) => sum + engine.running, 0) / Math.max(1, total);
    return (countRoleChanges(counts, target) * perEnginePerSecond * changeMs + moved * running * moveMs) / 1_000;
  }

  private goodAnswersPerSecond(counts: RoleCounts, demand: Demand): number {
    return estimateGoodAnswersPerSecond(counts, demand, this.options.model);
  }

  /** Division with the highest expected rate of good answers, less a small penalty for each role change. */
  private bestTarget(counts: RoleCounts, demand: Demand): RoleCounts {
    const total = counts.prefill + counts.decode + counts.mixed;
    const maxDistance = total <= MAX_EXHAUSTIVE_ENGINES ? total : Math.max(1, Math.floor(total * MAX_DISTANCE_SHARE));
    const step = total <= MAX_EXHAUSTIVE_ENGINES ? 1 : Math.max(1, Math.floor(maxDistance / 4));
    const { changeMs } = this.options;
    let best = counts;
    let bestScore = this.goodAnswersPerSecond(counts, demand);
    const perChange = (bestScore / Math.max(1, total)) * MIN_GAIN * (changeMs / 1_000);
    for (let prefill = Math.max(0, counts.prefill - maxDistance); prefill <= total; prefill += step) {
      if (prefill > counts.prefill + maxDistance) break;
      for (let decode = Math.max(0, counts.decode - maxDistance); prefill + decode <= total; decode += step) {
        if (decode > counts.decode + maxDistance) break;
        const candidate = { prefill, decode, mixed: total - prefill - decode };
        const score = this.goodAnswersPerSecond(candidate, demand) - countRoleChanges(counts, candidate) * perChange;
        if (score > bestScore) {
          best = candidate;
          bestScore = score;
        }
      }
    }
    return best;
  }

  /** Selects engines to change towards the target, as many as may be unavailable at a time. */
  private selectChanges(input: PlanInput, counts: RoleCounts, target: RoleCounts): RoleChange[] {
    const away = input.engines.filter((engine) => engine.away).length;
    const allowedChanges = Math.max(1, Math.floor(input.engines.length / this.options.enginesPerChange)) - away;
    const changes: RoleChange[] = [];
    const remaining = { ...counts };
    const taken = new Set<string>();
    while (changes.length < allowedChanges) {
      const surplus = ROLE_KEYS.find(([, key]) => remaining[key] > target[key]);
      const shortage = ROLE_KEYS.find(([, key]) => remaining[key] < target[key]);
      if (surplus === undefined || shortage === undefined) break;
      const [from, fromKey] = surplus;
      const [role, roleKey] = shortage;
      const engine = RolePlanner.leastNeeded(input.engines.filter(({ name }) => !taken.has(name)), from);
      if (engine === null || !this.keepsBothPhases(input, taken, engine)) break;
      taken.add(engine.name);
      changes.push({ engine: engine.name, role });
      remaining[fromKey] -= 1;
      remaining[roleKey] += 1;
    }
    return changes;
  }

  /** Tests whether an engine for prefill and one for decode remain available while `leaving` is unavailable. */
  private keepsBothPhases(input: PlanInput, taken: ReadonlySet<string>, leaving: PlannedEngine): boolean {
    const present = input.engines.filter((engine) => (
      !engine.away && engine !== leaving && !taken.has(engine.name)
    ));
    return present.some((engine) => engine.role !== Role.Decode)
      && present.some((engine) => engine.role !== Role.Prefill);
  }

  /** Engine of a role with the most others of the role in its failure domain, then with the fewest running requests. */
  private static leastNeeded(engines: readonly PlannedEngine[], role: Role): PlannedEngine | null {
    const present = engines.filter((engine) => engine.role === role && !engine.away);
    const peers = (engine: PlannedEngine): number => (
      present.filter((other) => other.failureDomain === engine.failureDomain).length
    );
    present.sort((a, b) => peers(b) - peers(a) || a.running - b.running || (a.name < b.name ? -1 : 1));
    return present[0] ?? null;
  }
}
