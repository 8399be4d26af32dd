import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { DEFAULT_HEALTH_OPTIONS, HealthState, HealthTracker } from '../src/core/routing/health.js';
import {
  HedgePolicy, HedgeRace, TokenAction, RaceAttempt,
} from '../src/core/routing/hedging.js';
import { SimulatedClock } from '../src/emulator/clock.js';

const ENGINES = Array.from({ length: 8 }, (_, index) => `e${index}`);

function setUp() {
  const clock = new SimulatedClock();
  const tracker = new HealthTracker({ clock, ...DEFAULT_HEALTH_OPTIONS });
  for (const engine of ENGINES) tracker.add(engine);
  /** Observes every engine `rounds` times, 60 ms apart, at `ratioOf` times the expected time. */
  const observeAll = (ratioOf: (engine: string) => number, rounds: number): void => {
    for (let round = 0; round < rounds; round += 1) {
      clock.advanceSync(60);
      for (const engine of ENGINES) tracker.observe(engine, 40 * ratioOf(engine), 40);
    }
  };
  return { clock, tracker, observeAll };
}

describe('HealthTracker', () => {
  // Guards against requests to a slow engine for as long as its load reports, which are late, do not show it.
  it('ejects an engine that is five times slower within a few tokens, and readmits it once it has recovered', () => {
    const { clock, tracker, observeAll } = setUp();
    observeAll(() => 1, 10);
    observeAll((engine) => (engine === 'e3' ? 5 : 1), 4);
    expect([tracker.state('e3'), tracker.weight('e3')]).toEqual([HealthState.Ejected, 0]);
    clock.advanceSync(DEFAULT_HEALTH_OPTIONS.ejectionMs);
    expect(tracker.state('e3')).toBe(HealthState.Probation);
    observeAll(() => 1, 4);
    expect(tracker.weight('e3')).toBe(1);
  });

  // In overload all engines become slower; ejecting the slowest would overload the others more.
  it('ejects no engine when the whole fleet has become slower', () => {
    const { tracker, observeAll } = setUp();
    observeAll(() => 1, 10);
    observeAll((engine) => (engine === 'e0' ? 6 : 3), 20);
    expect(ENGINES.map((engine) => tracker.weight(engine))).toEqual(ENGINES.map(() => 1));
  });

  // Limits the damage of wrong detections.
  it('never ejects more than a third of the engines at a time', () => {
    fc.assert(fc.property(fc.array(fc.array(fc.double({ min: 0.1, max: 10, noNaN: true }), {
      minLength: 8, maxLength: 8,
    }), { maxLength: 40 }), (rounds) => {
      const { tracker, observeAll } = setUp();
      for (const ratios of rounds) {
        observeAll((engine) => ratios[ENGINES.indexOf(engine)]!, 1);
        const ejected = ENGINES.filter((engine) => tracker.state(engine) === HealthState.Ejected);
        expect(ejected.length).toBeLessThanOrEqual(Math.floor(8 / 3));
      }
    }), { seed: 1 });
  });
});

describe('HedgePolicy', () => {
  const late = {
    safe: true, waitedMs: 1_000, expectedMs: 50, workTokens: 100, suspect: false,
  };

  // Guards against running a request twice that has side effects.
  it('hedges only requests that are late and safe to run twice', () => {
    const policy = new HedgePolicy();
    policy.recordPrimaryWork(1_000_000);
    expect(policy.tryHedge({ ...late, safe: false })).toBe(false);
    expect(policy.tryHedge({ ...late, waitedMs: 60 })).toBe(false);
    expect(policy.tryHedge(late)).toBe(true);
  });

  // Guards against hedges that add load without limit when all requests are late.
  it('keeps the work of hedges within 5% of the work of first attempts', () => {
    fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: 9_000 }), { maxLength: 100 }), (sizes) => {
      const policy = new HedgePolicy();
      for (const workTokens of sizes) {
        policy.recordPrimaryWork(workTokens);
        policy.tryHedge({ ...late, workTokens });
      }
      expect(policy.work.hedge).toBeLessThanOrEqual(0.05 * policy.work.primary);
    }), { seed: 1 });
  });
});

describe('HedgeRace', () => {
  // Guards against tokens that reach the caller twice or not at all.
  it('delivers every token exactly once and in order, whichever attempt is ahead', () => {
    fc.assert(fc.property(fc.array(fc.boolean(), { maxLength: 60 }), (order) => {
      const race = new HedgeRace(5);
      const reached = { [RaceAttempt.Primary]: 5, [RaceAttempt.Hedge]: 5 };
      let loser: RaceAttempt | null = null;
      const delivered: number[] = [];
      for (const first of order) {
        const attempt = first ? RaceAttempt.Primary : RaceAttempt.Hedge;
        if (attempt === loser) continue;
        reached[attempt] += 1;
        const step = race.token(attempt, reached[attempt]);
        if (step !== TokenAction.Drop) delivered.push(reached[attempt]);
        if (step === TokenAction.Win) loser = attempt === RaceAttempt.Primary ? RaceAttempt.Hedge : RaceAttempt.Primary;
      }
      expect(delivered).toEqual(delivered.map((_, index) => 6 + index));
    }), { seed: 1 });
  });
});
