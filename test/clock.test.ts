import { describe, expect, it } from 'vitest';
import { sleep, within } from '../src/core/time.js';
import { SimulatedClock } from '../src/emulator/clock.js';

describe('SimulatedClock', () => {
  // Guards against timers that fire out of order, which would make every simulated result depend on chance.
  it('fires timers in time order, then in order of creation', async () => {
    const clock = new SimulatedClock();
    const fired: string[] = [];
    clock.after(20, () => fired.push('c'));
    clock.after(10, () => fired.push('a'));
    clock.after(10, () => fired.push('b'));
    clock.after(5, () => fired.push('cancelled')).dispose();
    await clock.advance(20);
    expect(fired).toEqual(['a', 'b', 'c']);
  });

  it('lets sequential code run between timers', async () => {
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

describe('within', () => {
  it('gives null when the time is over first', async () => {
    const clock = new SimulatedClock();
    const result = within(clock, 5, new Promise<number>(() => {}));
    await clock.advance(5);
    expect(await result).toBeNull();
  });
});
