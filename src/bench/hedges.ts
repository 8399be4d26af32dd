import {
  HedgePolicy, HedgeRace, TokenAction, RaceAttempt, HealthState,
} from '../core/routing/index.js';
import type { Attempt } from './attempt.js';
import type { PolicyEntry } from './policy.js';
import type { Simulation } from './simulation.js';

const SCAN_MS = 20;

/** Time between tokens that is normal at full load, with a prefill chunk in the step. */
const EXPECTED_GAP_MS = 70;

/** Typical wait behind one other prompt, and time per prompt token. */
const EXPECTED_WAIT_MS = 80;

const PROMPT_MS_PER_TOKEN = 0.065;

/** Sends hedges for late requests of a simulation, each entry within its own budget. */
export class HedgeDriver {
  public readonly policies: readonly HedgePolicy[];

  private readonly hedged = new Set<Attempt>();

  private readonly counted = new Set<Attempt>();

  public hedges = 0;

  public constructor(private readonly simulation: Simulation, private readonly entries: readonly PolicyEntry[]) {
    this.policies = entries.map(() => new HedgePolicy());
  }

  /** Share of all work that hedges added. */
  public get workShare(): number {
    const sum = (kind: 'primary' | 'hedge'): number => this.policies.reduce((all, { work }) => all + work[kind], 0);
    return sum('hedge') / Math.max(1, sum('primary'));
  }

  public run(untilMs: number): void {
    this.simulation.every(SCAN_MS, untilMs, () => {
      for (const name of this.simulation.engines.keys()) {
        for (const attempt of this.simulation.attemptsAt(name)) this.consider(attempt);
      }
    });
  }

  private consider(attempt: Attempt): void {
    const { entry, item, record } = attempt.options;
    const policy = this.policies[this.entries.indexOf(entry as PolicyEntry)]!;
    if (!this.counted.has(attempt)) {
      this.counted.add(attempt);
      policy.recordPrimaryWork(item.promptTokens);
    }
    if (attempt.ended || attempt.placement === null || this.hedged.has(attempt)) return;
    const { engine, prefill } = attempt.placement;
    const waiting = attempt.silent && prefill !== null ? prefill : engine;
    const expectedMs = attempt.silent
      ? EXPECTED_WAIT_MS + item.promptTokens * PROMPT_MS_PER_TOKEN
      : EXPECTED_GAP_MS;
    const waitedMs = this.simulation.options.clock.monotonic() - attempt.lastProgressAt;
    const due = policy.tryHedge({
      safe: true,
      waitedMs,
      expectedMs,
      workTokens: item.promptTokens + attempt.produced,
      suspect: (entry as PolicyEntry).health.state(waiting) !== HealthState.Healthy,
    });
    if (!due) return;
    this.hedges += 1;
    (entry as PolicyEntry).health.observe(waiting, waitedMs, expectedMs);
    this.hedged.add(attempt);
    const race = new HedgeRace(attempt.produced);
    const excluded = new Set([...item.excludedEngines ?? [], engine, ...(prefill === null ? [] : [prefill])]);
    const hedge = this.simulation.attempt({
      entry, item: { ...item, excludedEngines: excluded }, record, produced: attempt.produced, importedTokens: 0,
    });
    this.counted.add(hedge);
    const gate = (runner: RaceAttempt) => (self: Attempt): boolean => {
      const step = race.token(runner, self.produced);
      if (step === TokenAction.Win) self.rival?.cancel();
      return step !== TokenAction.Drop;
    };
    Object.assign(attempt, { gate: gate(RaceAttempt.Primary), rival: hedge });
    Object.assign(hedge, { gate: gate(RaceAttempt.Hedge), rival: attempt });
  }
}
