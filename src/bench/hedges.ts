import {
  HedgePolicy, HedgeRace, TokenAction, RaceAttempt, HealthState,
} from '../core/routing/index.js';
import type { Attempt } from './attempt.js';
import type { PolicyEntry } from './policy.js';
import type { Simulation } from './simulation.js';

/** How often all running attempts are checked. */
const SCAN_PERIOD_MS = 20;

/** Normal time between tokens at full load, when a step includes a prefill chunk. */
const EXPECTED_GAP_MS = 70;

/** Typical wait in an engine's queue behind one other prompt. */
const EXPECTED_QUEUE_WAIT_MS = 80;

/** Typical prefill time per prompt token, in ms. */
const EXPECTED_MS_PER_PROMPT_TOKEN = 0.065;

/** Sends hedges (second attempts at other engines) for late requests; each entry has its own hedge budget. */
export class HedgeDriver {
  /** Hedge policy of each entry, in the order of the entries. */
  public readonly policies: readonly HedgePolicy[];

  private readonly hedgedAttempts = new Set<Attempt>();

  /** Attempts that must not be recorded as primary work again, and hedges, which are never recorded as such. */
  private readonly countedAttempts = new Set<Attempt>();

  /** Number of hedges sent. */
  public hedges = 0;

  public constructor(private readonly simulation: Simulation, private readonly entries: readonly PolicyEntry[]) {
    this.policies = entries.map(() => new HedgePolicy());
  }

  /** Work of hedges in tokens, as a share of the work of first attempts. */
  public get workShare(): number {
    const totalWork = (kind: 'primary' | 'hedge'): number => this.policies.reduce((sum, { work }) => sum + work[kind], 0);
    return totalWork('hedge') / Math.max(1, totalWork('primary'));
  }

  /** Schedules the checks until `untilMs` of simulated time. */
  public run(untilMs: number): void {
    this.simulation.every(SCAN_PERIOD_MS, untilMs, () => {
      for (const name of this.simulation.engines.keys()) {
        for (const attempt of this.simulation.listAttemptsAt(name)) this.hedgeIfLate(attempt);
      }
    });
  }

  /** Sends a hedge for an attempt if it is late and the budget allows it; the first to win cancels the other. */
  private hedgeIfLate(attempt: Attempt): void {
    const { entry, item, record } = attempt.options;
    const policy = this.policies[this.entries.indexOf(entry as PolicyEntry)]!;
    if (!this.countedAttempts.has(attempt)) {
      this.countedAttempts.add(attempt);
      policy.recordPrimaryWork(item.promptTokens);
    }
    if (attempt.ended || attempt.placement === null || this.hedgedAttempts.has(attempt)) return;
    const { engine, prefill } = attempt.placement;
    const waitingEngine = attempt.awaitsFirstToken && prefill !== null ? prefill : engine;
    const expectedMs = attempt.awaitsFirstToken
      ? EXPECTED_QUEUE_WAIT_MS + item.promptTokens * EXPECTED_MS_PER_PROMPT_TOKEN
      : EXPECTED_GAP_MS;
    const waitedMs = this.simulation.options.clock.monotonic() - attempt.lastProgressAt;
    const due = policy.tryHedge({
      safe: true,
      waitedMs,
      expectedMs,
      workTokens: item.promptTokens + attempt.produced,
      suspect: (entry as PolicyEntry).health.state(waitingEngine) !== HealthState.Healthy,
    });
    if (!due) return;
    this.hedges += 1;
    (entry as PolicyEntry).health.observe(waitingEngine, waitedMs, expectedMs);
    this.hedgedAttempts.add(attempt);
    const race = new HedgeRace(attempt.produced);
    const excluded = new Set([...item.excludedEngines ?? [], engine, ...(prefill === null ? [] : [prefill])]);
    const hedge = this.simulation.startAttempt({
      entry, item: { ...item, excludedEngines: excluded }, record, produced: attempt.produced, importedTokens: 0,
    });
    this.countedAttempts.add(hedge);
    const createTokenFilter = (raceAttempt: RaceAttempt) => (current: Attempt): boolean => {
      const action = race.token(raceAttempt, current.produced);
      if (action === TokenAction.Win) current.otherAttempt?.cancel();
      return action !== TokenAction.Drop;
    };
    Object.assign(attempt, { tokenFilter: createTokenFilter(RaceAttempt.Primary), otherAttempt: hedge });
    Object.assign(hedge, { tokenFilter: createTokenFilter(RaceAttempt.Hedge), otherAttempt: attempt });
  }
}
