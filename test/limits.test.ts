import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { AdaptiveLimit } from '../src/core/admission/adaptive.js';
import { EngineDirectory } from '../src/core/serving/directory.js';
import { Priority, Role } from '../src/core/interfaces/index.js';
import { Lane, LanePlan } from '../src/core/admission/lanes.js';
import { EngineLimits } from '../src/core/admission/limits.js';
import type { WorkItem } from '../src/core/serving/placement.js';
import { SimulatedClock } from '../src/emulator/clock.js';

const OPTIONS = {
  initial: 10, min: 1, max: 100, step: 1, tolerance: 0.1,
};

const item: WorkItem = {
  requestId: 'r',
  workspace: 'w',
  model: 'm',
  kind: 'k',
  priority: Priority.Normal,
  promptTokens: 300,
  maxTokens: 1_000,
  prefixBlockHashes: [],
  deadline: 1_000,
  arrival: 0,
};

function createLimits(engines: number) {
  const clock = new SimulatedClock();
  const directory = new EngineDirectory();
  for (let index = 0; index < engines; index += 1) {
    directory.set({
      name: `e${index}`, failureDomain: 'd', models: ['m'], role: Role.Mixed, available: true,
    });
  }
  return new EngineLimits({ clock, directory, lanes: new LanePlan({ directory }) });
}

function addWindow(limit: AdaptiveLimit, at: number, late: boolean): void {
  limit.markConstrained();
  for (let sample = 0; sample < 6; sample += 1) limit.addSample(at + sample * 100, late);
}

describe('AdaptiveLimit', () => {
  it('stays between its minimum and maximum for any observations', () => {
    fc.assert(fc.property(fc.array(fc.boolean(), { maxLength: 300 }), (observations) => {
      const limit = new AdaptiveLimit(0, OPTIONS);
      observations.forEach((late, index) => {
        limit.markConstrained();
        limit.addSample(index * 150, late);
        expect(limit.value).toBeGreaterThanOrEqual(1);
        expect(limit.value).toBeLessThanOrEqual(100);
      });
    }), { seed: 7 });
  });

  // Guards against one entry permanently keeping a larger share of the engines than the others.
  it('converges with another limit that observes the same late samples', () => {
    const large = new AdaptiveLimit(0, { ...OPTIONS, initial: 40 });
    const small = new AdaptiveLimit(0, { ...OPTIONS, initial: 4 });
    for (let round = 0; round < 200; round += 1) {
      const late = large.value + small.value > 60;
      addWindow(large, round * 600, late);
      addWindow(small, round * 600, late);
    }
    expect(large.value / small.value).toBeLessThan(1.2);
  });

  it('grows back from its minimum within 10 s of samples that meet the target', () => {
    const limit = new AdaptiveLimit(0, { ...OPTIONS, initial: 1 });
    for (let round = 0; round < 16; round += 1) addWindow(limit, round * 600, false);
    expect(limit.value).toBeGreaterThan(30);
  });
});

describe('EngineLimits', () => {
  // Guards against a request that can never run because it exceeds the limit on its own.
  it('lets an idle engine take a request of any size', () => {
    expect(createLimits(1).hasRoom('e0', { ...item, promptTokens: 500_000 })).toBe(true);
  });

  it('frees the capacity of a request exactly once, although both the first token and the end free a part', () => {
    const limits = createLimits(1);
    const held = Array.from({ length: 40 }, () => limits.reserve(item, { engine: 'e0', prefill: null }));
    expect(limits.hasRoom('e0', item)).toBe(false);
    for (const each of held) {
      limits.recordFirstToken(each, 50);
      limits.release(each);
    }
    expect(limits.hasRoom('e0', item)).toBe(true);
  });

  // Guards against a planned drain cutting off an answer because the engine that takes it over is at its limit.
  it('never holds back the continuation of an answer', () => {
    const limits = createLimits(1);
    for (let count = 0; count < 40; count += 1) limits.reserve(item, { engine: 'e0', prefill: null });
    expect(limits.hasRoom('e0', { ...item, continuation: true })).toBe(true);
  });

  // Guards against all engines of a model being assigned to a lane that only another model's work needs.
  it('leaves at least one engine to every lane of every model', () => {
    const clock = new SimulatedClock();
    const directory = new EngineDirectory();
    const lanes = new LanePlan({ directory, entryPosition: () => ({ index: 4, count: 6 }) });
    for (let index = 0; index < 9; index += 1) {
      directory.set({
        name: `e${index}`, failureDomain: 'd', models: [`m${index % 3}`], role: Role.Mixed, available: true,
      });
    }
    const limits = new EngineLimits({ clock, directory, lanes });
    lanes.recordArrival('m0', Lane.Long, 90_000);
    lanes.recordArrival('m1', Lane.Short, 500);
    lanes.recordArrival('m1', Lane.Long, 90_000);
    lanes.rebalance(500, 30_000);
    for (const model of ['m0', 'm1', 'm2']) {
      for (const promptTokens of [300, 5_000]) {
        const engines = directory.serving(model);
        expect(engines.some(({ name }) => limits.hasRoom(name, { ...item, model, promptTokens }))).toBe(true);
      }
    }
  });
});
