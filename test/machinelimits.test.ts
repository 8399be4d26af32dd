import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { machineLimits } from '../src/gateway/machinelimits.js';

describe('limits of a machine', () => {
  // Guards against limits that a constant sets and that are more than a small machine has.
  it('leave room for the process itself, on every machine', () => {
    const machine = fc.record({
      memory: fc.integer({ min: 128_000_000, max: 4_000_000_000 }),
      descriptors: fc.integer({ min: 400, max: 1_000_000 }),
    });
    fc.assert(fc.property(machine, ({ memory, descriptors }) => {
      const { bodyMemory, peerMemory, connections } = machineLimits({ memory, descriptors });
      expect(bodyMemory + peerMemory).toBeLessThanOrEqual(memory / 4);
      const open = Object.values(connections).reduce((sum, count) => sum + count, 0);
      expect(open).toBeLessThanOrEqual(descriptors * 0.9);
    }), { seed: 20_261_206 });
  });

  it('grow with the machine', () => {
    const [small, large] = [160_000_000, 600_000_000].map((memory) => machineLimits({ memory, descriptors: 4_096 }));
    expect(large!.bodyMemory).toBeGreaterThan(small!.bodyMemory);
    expect(large!.calls).toBeGreaterThan(small!.calls);
  });
});
