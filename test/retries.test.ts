import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  RetryBudget, RetryPolicy, ReturnRamp, Sent,
} from '../src/core/retries.js';
import { SimulatedClock } from '../src/emulator/clock.js';
import { SeededRandom } from '../src/emulator/random.js';

const failed = {
  attempts: 1, sent: Sent.Unknown, safe: true, deadline: 10_000, expectedMs: 100,
};

function createPolicy(budget = new RetryBudget()) {
  const clock = new SimulatedClock();
  return { clock, budget, policy: new RetryPolicy({ clock, random: new SeededRandom(1), budget }) };
}

describe('RetryBudget', () => {
  // Guards against retries that amplify an overload: more of them than successes and the burst have earned.
  it('never grants more retries than were earned', () => {
    fc.assert(fc.property(fc.array(fc.boolean(), { maxLength: 500 }), (successes) => {
      const budget = new RetryBudget({ ratio: 0.1, burst: 5 });
      let granted = 0;
      let earned = 0;
      for (const success of successes) {
        if (success) {
          budget.succeeded();
          earned += 1;
        } else if (budget.take()) granted += 1;
        expect(granted).toBeLessThanOrEqual(5 + earned * 0.1 + 1e-6);
      }
    }), { seed: 7 });
  });
});

describe('RetryPolicy', () => {
  // Guards against a booking that runs twice.
  it('repeats an unsafe call only when it is certain that it was not sent', () => {
    const { policy } = createPolicy();
    expect(policy.decide({ ...failed, safe: false })).toEqual({ retry: false, reason: 'unsafe' });
    expect(policy.decide({ ...failed, safe: false, sent: Sent.No }).retry).toBe(true);
  });

  it('does not retry where the deadline cannot be met, and keeps the budget', () => {
    const { policy, budget } = createPolicy();
    const before = budget.available;
    expect(policy.decide({ ...failed, deadline: 90 })).toEqual({ retry: false, reason: 'deadline' });
    expect(budget.available).toBe(before);
  });

  it('waits at least as long as the server asked', () => {
    const { policy } = createPolicy();
    const decision = policy.decide({ ...failed, retryAfterMs: 700 });
    expect(decision.retry && decision.delayMs >= 700).toBe(true);
  });

  it('stops when the budget is used up', () => {
    const { policy } = createPolicy(new RetryBudget({ burst: 1 }));
    expect(policy.decide(failed).retry).toBe(true);
    expect(policy.decide(failed)).toEqual({ retry: false, reason: 'budget' });
  });
});

describe('ReturnRamp', () => {
  // Guards against entries that all return at the same moment after an outage.
  it('spreads returns over a window no longer than the outage', () => {
    const clock = new SimulatedClock();
    const ramp = new ReturnRamp({ clock, random: new SeededRandom(1) });
    expect(ramp.recovered()).toBe(0);
    ramp.failed();
    clock.advanceSync(300);
    ramp.failed();
    const delays = ramp.recovered();
    expect(delays).toBeGreaterThan(0);
    expect(delays).toBeLessThanOrEqual(300);
    expect(ramp.recovered()).toBe(0);
  });
});
