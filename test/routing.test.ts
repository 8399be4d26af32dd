import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { CostRouter } from '../src/core/routing/costrouter.js';
import type { CostRouterOptions } from '../src/core/routing/costrouter.js';
import { EngineDirectory } from '../src/core/serving/directory.js';
import { Priority, Role } from '../src/core/interfaces/index.js';
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

/** Request with `expected` expected output tokens. */
function item(promptTokens: number, expected: number, more: Partial<WorkItem> = {}): WorkItem {
  return {
    requestId: 'r',
    workspace: 'w',
    model: 'm',
    kind: 'k',
    priority: Priority.Normal,
    promptTokens,
    maxTokens: expected,
    prefixBlockHashes: [],
    deadline: 10_000,
    arrival: 0,
    ...more,
  };
}

describe('CostRouter', () => {
  // A handover would take a short answer longer than its whole budget between tokens.
  it('runs a very short answer entirely on a prefill engine, without a handover', () => {
    const { router } = setUp([Role.Prefill, Role.Decode]);
    expect(router.choose(item(4_000, 3))).toEqual({ engine: 'e0', prefill: null });
    expect(router.choose(item(300, 160))).toEqual({ engine: 'e1', prefill: 'e0' });
  });

  // Prefilling a second prompt would delay every token of the short answer in progress.
  it('keeps a request waiting until the short answer in progress has finished', () => {
    const { router } = setUp([Role.Prefill, Role.Decode]);
    const first = router.choose(item(4_000, 3))!;
    router.started(item(4_000, 3), first);
    expect(router.choose(item(4_000, 3))).toBeNull();
    router.finished(item(4_000, 3), first, AttemptOutcome.Done);
    expect(router.choose(item(4_000, 3))).not.toBeNull();
  });

  // Guards against placing a prompt in a fleet of decode engines, none of which could prefill it.
  it('returns no placement when no engine can prefill, unless the KV cache is imported', () => {
    const { router } = setUp([Role.Decode]);
    expect(router.choose(item(300, 160))).toBeNull();
    expect(router.choose(item(300, 160, { importedTokens: 300 }))).toEqual({ engine: 'e0', prefill: null });
  });

  it('never chooses an engine that is excluded, full, ejected or unavailable', () => {
    const { router, directory } = setUp(Array<Role>(4).fill(Role.Mixed), {
      hasRoom: (engine) => engine !== 'e1',
      healthWeight: (engine) => (engine === 'e2' ? 0 : 1),
    });
    directory.set({ ...directory.get('e3')!, available: false });
    expect(router.choose(item(300, 160))?.engine).toBe('e0');
    expect(router.choose(item(300, 160, { excludedEngines: new Set(['e0']) }))).toBeNull();
  });

  it('sends at most one request at a time to an engine on probation', () => {
    const { router } = setUp([Role.Mixed], { healthWeight: () => 0.1 });
    const first = router.choose(item(300, 160))!;
    router.started(item(300, 160), first);
    expect(router.choose(item(300, 160))).toBeNull();
  });

  // Guards against in-flight counts that are not decremented, so that an engine appears loaded forever.
  it('counts no requests in flight after all have finished, for any sequence of calls', () => {
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
