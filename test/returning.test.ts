import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { UsualDeadlines } from '../src/gateway/returning.js';

describe('UsualDeadlines', () => {
  // Guards against new calls that are put behind because their deadline varies.
  it('takes calls with about the usual time for new ones', () => {
    fc.assert(fc.property(fc.array(fc.integer({ min: 1_700, max: 2_000 }), { minLength: 1 }), (deadlines) => {
      const usual = new UsualDeadlines();
      expect(deadlines.map((deadline) => usual.isReturning('route', deadline))).not.toContain(true);
    }), { seed: 1 });
  });

  // Guards against calls that are late already and take places from those that can still be on time.
  it('recognizes calls that have used part of their time', () => {
    const usual = new UsualDeadlines();
    for (const deadline of [1_800, 2_000, 1_750]) usual.isReturning('route', deadline);
    expect([1_300, 1_000, 200].map((deadline) => usual.isReturning('route', deadline))).toEqual([true, true, true]);
  });

  it('knows each route by itself, and nothing of a call without a deadline', () => {
    const usual = new UsualDeadlines();
    usual.isReturning('patient', 15_000);
    expect(usual.isReturning('quick', 900)).toBe(false);
    expect(usual.isReturning('patient', null)).toBe(false);
  });

  // Guards against a route whose callers have become less patient and would all be late for ever.
  it('follows callers that become less patient', () => {
    const usual = new UsualDeadlines();
    usual.isReturning('route', 15_000);
    const answers = Array.from({ length: 3_000 }, () => usual.isReturning('route', 2_000));
    expect(answers[0]).toBe(true);
    expect(answers.at(-1)).toBe(false);
  });
});
