import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { CostRouter } from '../src/core/routing/costrouter.js';
import type { CostRouterOptions } from '../src/core/routing/costrouter.js';
import { EngineDirectory } from '../src/core/serving/directory.js';
import { Priority, Role } from '../src/core/edges/index.js';
import { AttemptOutcome } from '../src/core/serving/placement.js';
import type { Placement, WorkItem } from '../src/core/serving/placement.js';
import { SimulatedClock } from '../src/emulator/clock.js';
import { SeededRandom } from '../src/emulator/random.js';

const NODES = ['n0', 'n1'];

function setUp(roles: readonly Role[], options: Partial<CostRouterOptions> = {}) {
  const clock = new SimulatedClock();
  const directory = new EngineDirectory();
  const router = new CostRouter({
    clock,
    directory,
    random: new SeededRandom(1),
    node: 'n0',
    nodes: () => NODES,
    failureDomain: 'a',
    hasRoom: () => true,
    expectedOutput: (work) => work.maxTokens,
    ...options,
  });
  roles.forEach((role, index) => directory.set({
    name: `e${index}`, failureDomain: 'a', models: ['m'], role, available: true,
  }));
  return { clock, directory, router };
}

function item(promptTokens: number, expected: number, more: Partial<WorkItem> = {}): WorkItem {
  return {
    requestId: 'r',
    workspace: 'w',
    model: 'm',
    kind: 'k',
    priority: Priority.Normal,
    promptTokens,
    maxTokens: expected,
    blocks: [],
    deadline: 10_000,
    arrival: 0,
    ...more,
  };
}

describe('CostRouter', () => {
  // Guards against a handover that costs a short answer more than its time between tokens.
  it('runs a very short answer wholly on a prefill engine', () => {
    const { router } = setUp([Role.Prefill, Role.Decode]);
    expect(router.choose(item(4_000, 3))).toEqual({ engine: 'e0', prefill: null });
    expect(router.choose(item(300, 160))).toEqual({ engine: 'e1', prefill: 'e0' });
  });

  // Guards against a second prompt that delays every token of a short answer in progress.
  it('holds a request until the own short answer has finished', () => {
    const { router } = setUp([Role.Prefill, Role.Decode]);
    const first = router.choose(item(4_000, 3))!;
    router.started(item(4_000, 3), first);
    expect(router.choose(item(4_000, 3))).toBeNull();
    router.finished(item(4_000, 3), first, AttemptOutcome.Done);
    expect(router.choose(item(4_000, 3))).not.toBeNull();
  });

  // Guards against a fleet without prefill-capable engines that accepts prompts nobody can read.
  it('gives no placement when no engine can prefill', () => {
    const { router } = setUp([Role.Decode]);
    expect(router.choose(item(300, 160))).toBeNull();
    expect(router.choose(item(300, 160, { importedTokens: 300 }))).toEqual({ engine: 'e0', prefill: null });
  });

  // Guards against work for engines that are excluded, full, ejected or unavailable.
  it('never chooses an engine that may not be used', () => {
    const { router, directory } = setUp(Array<Role>(4).fill(Role.Mixed), {
      hasRoom: (engine) => engine !== 'e1',
      healthWeight: (engine) => (engine === 'e2' ? 0 : 1),
    });
    directory.set({ ...directory.get('e3')!, available: false });
    expect(router.choose(item(300, 160))?.engine).toBe('e0');
    expect(router.choose(item(300, 160, { excluded: new Set(['e0']) }))).toBeNull();
  });

  // Guards against piling more work on an engine that is on probation.
  it('sends one request at a time to an engine on probation', () => {
    const { router } = setUp([Role.Mixed], { healthWeight: () => 0.1 });
    const probe = router.choose(item(300, 160))!;
    router.started(item(300, 160), probe);
    expect(router.choose(item(300, 160))).toBeNull();
  });

  // Guards against in-flight counts that drift, after which an engine looks loaded for ever.
  it('returns to no work in flight after any order of calls', () => {
    const call = fc.record({ prompt: fc.integer({ min: 1, max: 9_000 }), output: fc.integer({ min: 1, max: 300 }) });
    fc.assert(fc.property(fc.array(call, { maxLength: 20 }), fc.integer(), (calls, seed) => {
      const { router, clock } = setUp([Role.Mixed, Role.Prefill, Role.Decode]);
      const random = new SeededRandom(seed);
      const open: { work: WorkItem; placement: Placement }[] = [];
      for (const { prompt, output } of calls) {
        const work = item(prompt, output);
        const placement = router.choose(work);
        if (placement !== null) {
          router.started(work, placement);
          open.push({ work, placement });
        }
        clock.advanceSync(random.integer(0, 50));
        if (open.length > 0 && random.float() < 0.6) {
          const one = random.pick(open);
          router.firstToken(one.work, one.placement, 10);
          router.progress(one.work, one.placement, random.integer(1, 400));
        }
      }
      for (const { work, placement } of open) {
        router.finished(work, placement, AttemptOutcome.Done);
        router.finished(work, placement, AttemptOutcome.Cancelled);
      }
      expect(['e0', 'e1', 'e2'].map((engine) => router.inFlight(engine))).toEqual([0, 0, 0]);
    }), { seed: 1 });
  });
});
