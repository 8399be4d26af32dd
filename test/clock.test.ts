import { describe, expect, it } from 'vitest';
import { sleep, withTimeout } from '../src/core/time.js';
import { SimulatedClock } from '../src/emulator/clock.js';

describe('SimulatedClock', () => {
  // Guards against timers that fire out of order, which would make simulated runs non-deterministic.
  it('fires timers in order of their time, then of their creation, and no cancelled timer', async () => {
    const clock = new SimulatedClock();
    const fired: string[] = [];
    clock.after(20, () => fired.push('c'));
    clock.after(10, () => fired.push('a'));
    clock.after(10, () => fired.push('b'));
    clock.after(5, () => fired.push('cancelled')).dispose();
    await clock.advance(20);
    expect(fired).toEqual(['a', 'b', 'c']);
  });

  it('runs code that awaits a timer before it fires the next timer', async () => {
    const clock = new SimulatedClock();
    const times: number[] = [];
    const task = (async () => {
      for (let round = 0; round < 3; round += 1) {
        await sleep(clock, 10);
        times.push(clock.monotonic());
      }
    })();
    await clock.advance(30);
    await task;
    expect(times).toEqual([10, 20, 30]);
  });
});

describe('withTimeout', () => {
  it('returns null when the timeout passes before the promise resolves', async () => {
    const clock = new SimulatedClock();
    const result = withTimeout(clock, 5, new Promise<number>(() => {}));
    await clock.advance(5);
    expect(await result).toBeNull();
  });
});
