import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  RetryBudget, RetryPolicy, RecoveryJitter, SendStatus,
} from '../src/core/retries.js';
import { SimulatedClock } from '../src/emulator/clock.js';
import { SeededRandom } from '../src/emulator/random.js';
import { RetryBudgets } from '../src/gateway/budgets.js';

const failed = {
  attempts: 1, sent: SendStatus.Unknown, safe: true, deadline: 10_000, expectedMs: 100,
};

function createPolicy(budget = new RetryBudget()) {
  const clock = new SimulatedClock();
  return { clock, budget, policy: new RetryPolicy({ clock, random: new SeededRandom(1), budget }) };
}

describe('RetryBudget', () => {
  // Guards against retries that amplify an overload, because more are granted than the successes and the burst allow.
  it('never grants more retries than the burst plus the share earned by successes', () => {
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

describe('RetryBudgets', () => {
  // Guards against gateways that each have the share of a small fleet, because they knew few others when they started.
  it('follow the number of gateways in both directions', () => {
    let gatewayCount = 6;
    const budget = new RetryBudgets({ perThousand: 100, burst: 60 }, () => gatewayCount).forService('ledger');
    expect(budget.available).toBe(10);
    gatewayCount = 30;
    expect(budget.available).toBe(2);
    expect([budget.take(), budget.take(), budget.take()]).toEqual([true, true, false]);
    gatewayCount = 6;
    expect(budget.available).toBe(0);
    for (let index = 0; index < 200; index += 1) budget.succeeded();
    expect(budget.available).toBe(10);
  });
});

describe('RetryPolicy', () => {
  // Guards against a booking being executed twice.
  it('retries a call that is not safe to repeat only when it was certainly not sent', () => {
    const { policy } = createPolicy();
    expect(policy.decide({ ...failed, safe: false })).toEqual({ retry: false, reason: 'unsafe' });
    expect(policy.decide({ ...failed, safe: false, sent: SendStatus.No }).retry).toBe(true);
  });

  it('does not retry, and uses no budget, when the deadline cannot be met', () => {
    const { policy, budget } = createPolicy();
    const before = budget.available;
    expect(policy.decide({ ...failed, deadline: 90 })).toEqual({ retry: false, reason: 'deadline' });
    expect(budget.available).toBe(before);
  });

  it('waits at least as long as the server asked with retryAfterMs', () => {
    const { policy } = createPolicy();
    const decision = policy.decide({ ...failed, retryAfterMs: 700 });
    expect(decision.retry && decision.delayMs >= 700).toBe(true);
  });

  it('does not retry when the budget is used up', () => {
    const { policy } = createPolicy(new RetryBudget({ burst: 1 }));
    expect(policy.decide(failed).retry).toBe(true);
    expect(policy.decide(failed)).toEqual({ retry: false, reason: 'budget' });
  });
});

describe('RecoveryJitter', () => {
  // Guards against all entries using a service again at the same moment after its outage.
  it('delays the use of a recovered service by at most the duration of its outage', () => {
    const clock = new SimulatedClock();
    const jitter = new RecoveryJitter({ clock, random: new SeededRandom(1) });
    expect(jitter.recordRecovery()).toBe(0);
    jitter.recordFailure();
    clock.advanceSync(300);
    jitter.recordFailure();
    const delayMs = jitter.recordRecovery();
    expect(delayMs).toBeGreaterThan(0);
    expect(delayMs).toBeLessThanOrEqual(300);
    expect(jitter.recordRecovery()).toBe(0);
  });
});
