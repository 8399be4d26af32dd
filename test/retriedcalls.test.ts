import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { RetriedCallDetector } from '../src/gateway/retriedcalls.js';

describe('RetriedCallDetector', () => {
  // Guards against new calls that are treated as retried because deadlines vary a little.
  it('does not report calls with about the usual deadline as retried', () => {
    fc.assert(fc.property(fc.array(fc.integer({ min: 1_700, max: 2_000 }), { minLength: 1 }), (deadlines) => {
      const detector = new RetriedCallDetector();
      expect(deadlines.map((deadline) => detector.isRetried('route', deadline))).not.toContain(true);
    }), { seed: 1 });
  });

  // Guards against retried calls, which are late already, that take slots from calls that can still be on time.
  it('reports calls with a clearly shorter deadline as retried', () => {
    const detector = new RetriedCallDetector();
    for (const deadline of [1_800, 2_000, 1_750]) detector.isRetried('route', deadline);
    expect([1_300, 1_000, 200].map((deadline) => detector.isRetried('route', deadline))).toEqual([true, true, true]);
  });

  it('compares deadlines within a route only, and never reports a call without a deadline', () => {
    const detector = new RetriedCallDetector();
    detector.isRetried('patient', 15_000);
    expect(detector.isRetried('quick', 900)).toBe(false);
    expect(detector.isRetried('patient', null)).toBe(false);
  });

  // Guards against a route whose callers come to use shorter deadlines and whose calls all count as retried for good.
  it('adapts to callers that come to use shorter deadlines', () => {
    const detector = new RetriedCallDetector();
    detector.isRetried('route', 15_000);
    const answers = Array.from({ length: 3_000 }, () => detector.isRetried('route', 2_000));
    expect(answers[0]).toBe(true);
    expect(answers.at(-1)).toBe(false);
  });
});
