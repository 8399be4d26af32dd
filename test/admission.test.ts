import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { AdmissionQueue } from '../src/core/admission/queue.js';
import type { QueuedRequest } from '../src/core/admission/queue.js';
import { EngineDirectory } from '../src/core/serving/directory.js';
import type { DispatchHandle } from '../src/core/admission/dispatch.js';
import { Priority, Role } from '../src/core/interfaces/index.js';
import { AttemptOutcome } from '../src/core/serving/placement.js';
import type { WorkItem } from '../src/core/serving/placement.js';
import { PolicyDispatcher } from '../src/core/admission/policydispatcher.js';
import { LeastRequestsRouter } from '../src/core/routing/router.js';
import { SimulatedClock } from '../src/emulator/clock.js';
import { SeededRandom } from '../src/emulator/random.js';

const PRIORITIES = [Priority.Urgent, Priority.Normal, Priority.Bulk];

function createItem(overrides: Partial<WorkItem> = {}): WorkItem {
  return {
    requestId: 'r',
    workspace: 'w',
    model: 'm',
    kind: 'k',
    priority: Priority.Normal,
    promptTokens: 1_000,
    maxTokens: 100,
    prefixBlockHashes: [],
    deadline: 60_000,
    arrival: 0,
    ...overrides,
  };
}

function createQueuedRequest(overrides: Partial<WorkItem> = {}, queuedAt = 0): QueuedRequest {
  return {
    item: createItem(overrides), group: 'm', cost: 1_000, expectedFirstTokenMs: 0, queuedAt,
  };
}

function createQueue(maxQueued = 1_000) {
  const clock = new SimulatedClock();
  const queue = new AdmissionQueue<QueuedRequest>({
    clock, random: new SeededRandom(1), maxQueued, firstTokenTargetMs: 740,
  });
  return { clock, queue };
}

function takeOne(queue: AdmissionQueue<QueuedRequest>): QueuedRequest | null {
  let taken: QueuedRequest | null = null;
  queue.placeWaiting((entry) => {
    if (taken !== null) return false;
    taken = entry;
    return true;
  });
  return taken;
}

describe('AdmissionQueue', () => {
  // Guards against one workspace filling the queue and starving the others.
  it('shares placements fairly between workspaces by tokens, also when one of them fills the queue', () => {
    const { queue } = createQueue();
    for (let count = 0; count < 100; count += 1) queue.offer(createQueuedRequest({ workspace: 'greedy' }));
    for (let count = 0; count < 20; count += 1) queue.offer(createQueuedRequest({ workspace: 'modest' }));
    const first = Array.from({ length: 40 }, () => takeOne(queue)!.item.workspace);
    expect(first.filter((workspace) => workspace === 'modest').length).toBeGreaterThanOrEqual(16);
  });

  // Guards against a weight in the fleet file having no effect.
  it('shares placements in proportion to the weights of the workspaces', () => {
    const { queue } = createQueue();
    for (let count = 0; count < 100; count += 1) {
      queue.offer(createQueuedRequest({ workspace: 'heavy', weight: 3 }));
      queue.offer(createQueuedRequest({ workspace: 'light', weight: 1 }));
    }
    const taken: string[] = [];
    queue.placeWaiting(({ item }) => taken.length < 64 && taken.push(item.workspace) > 0);
    const heavy = taken.filter((workspace) => workspace === 'heavy').length;
    expect(heavy / (taken.length - heavy)).toBeGreaterThan(2.5);
    expect(heavy / (taken.length - heavy)).toBeLessThan(3.5);
  });

  it('places urgent requests first, and a bulk request within a few placements once it has aged', () => {
    const { queue, clock } = createQueue();
    const bulk = createQueuedRequest({ priority: Priority.Bulk });
    queue.offer(bulk);
    for (let count = 0; count < 20; count += 1) queue.offer(createQueuedRequest({ priority: Priority.Urgent }));
    expect(takeOne(queue)!.item.priority).toBe(Priority.Urgent);
    clock.advanceSync(3_500);
    const next = Array.from({ length: 4 }, () => takeOne(queue));
    expect(next).toContain(bulk);
  });

  // Guards against a request being refused only after its deadline has passed.
  it('refuses a request immediately when its deadline cannot be met', () => {
    const { queue, clock } = createQueue();
    for (let count = 0; count < 30; count += 1) {
      queue.offer(createQueuedRequest({ priority: Priority.Bulk }));
      clock.advanceSync(100);
      takeOne(queue);
    }
    for (let count = 0; count < 20; count += 1) queue.offer(createQueuedRequest({ priority: Priority.Bulk }));
    const refusal = queue.offer(createQueuedRequest({ priority: Priority.Bulk, deadline: clock.monotonic() + 200 }));
    expect(refusal?.code).toBe('deadline_unreachable');
    expect(refusal!.retryAfterMs).toBeGreaterThan(0);
  });

  it('never holds more than maxQueued requests and refuses the rest with queue_full', () => {
    const { queue } = createQueue(10);
    const refusals = Array.from({ length: 15 }, () => queue.offer(createQueuedRequest()));
    expect(queue.length).toBe(10);
    expect(refusals.filter((refusal) => refusal?.code === 'queue_full').length).toBe(5);
  });
});

function createDispatcher(ejected: string | null = null) {
  const clock = new SimulatedClock();
  const random = new SeededRandom(3);
  const directory = new EngineDirectory();
  const dispatcher = new PolicyDispatcher({
    clock,
    random,
    directory,
    createRouter: (hasRoom) => new LeastRequestsRouter({
      directory, random, hasRoom: (engine, item) => engine !== ejected && hasRoom(engine, item),
    }),
    entryPosition: () => ({ index: 0, count: 3 }),
    maxQueued: 50,
  });
  for (const name of ['a', 'b', 'c']) {
    directory.set({
      name, failureDomain: 'd', models: ['m'], role: Role.Mixed, available: true,
    });
  }
  return { clock, dispatcher };
}

const ARRIVAL = fc.record({
  gapMs: fc.integer({ min: 0, max: 60 }),
  workspace: fc.constantFrom('x', 'y', 'z'),
  priority: fc.constantFrom(...PRIORITIES),
  promptTokens: fc.integer({ min: 10, max: 9_000 }),
  serviceMs: fc.integer({ min: 1, max: 900 }),
});

describe('PolicyDispatcher', () => {
  // Guards against requests that are lost in a queue, or both placed and refused.
  it('places or refuses every request exactly once', () => {
    fc.assert(fc.property(fc.array(ARRIVAL, { minLength: 1, maxLength: 120 }), (arrivals) => {
      const { clock, dispatcher } = createDispatcher();
      const decisions: number[] = arrivals.map(() => 0);
      arrivals.forEach(({ gapMs, serviceMs, ...rest }, index) => {
        clock.advanceSync(gapMs);
        const now = clock.monotonic();
        let handle: DispatchHandle | null = null;
        const item = createItem({ ...rest, arrival: now, deadline: now + 7_400 });
        handle = dispatcher.submit(item, {
          placed: () => {
            decisions[index]! += 1;
            clock.after(serviceMs, () => {
              handle!.reportFirstToken();
              handle!.finish(AttemptOutcome.Done);
            });
          },
          refused: () => {
            decisions[index]! += 1;
          },
        });
      });
      clock.advanceSync(60_000);
      expect(decisions.every((count) => count === 1)).toBe(true);
    }), { seed: 11, numRuns: 60 });
  });

  // Guards against answers being cut off by a full queue while their engine is drained.
  it('places the continuation of an answer at once, before all waiting requests', () => {
    const { clock, dispatcher } = createDispatcher();
    const listener = { placed: () => {}, refused: () => {} };
    for (let count = 0; count < 200; count += 1) {
      dispatcher.submit(createItem({ arrival: clock.monotonic(), deadline: clock.monotonic() + 7_400 }), listener);
    }
    let placed = false;
    dispatcher.submit(createItem({ continuation: true, deadline: 0 }), {
      placed: () => {
        placed = true;
      },
      refused: () => {},
    });
    expect(placed).toBe(true);
  });

  // Guards against all long prompts being refused while the router rejects the engine of their lane.
  it.each(['a', 'b', 'c'])('places long prompts while engine %s is ejected as unhealthy', (ejected) => {
    const { clock, dispatcher } = createDispatcher(ejected);
    const long: number[] = [];
    for (let count = 0; count < 40; count += 1) {
      const promptTokens = count % 2 === 0 ? 5_000 : 300;
      let handle: DispatchHandle | null = null;
      const now = clock.monotonic();
      handle = dispatcher.submit(createItem({ promptTokens, arrival: now, deadline: now + 7_400 }), {
        placed: () => {
          if (promptTokens === 5_000) long.push(now);
          clock.after(100, () => {
            handle!.reportFirstToken();
            handle!.finish(AttemptOutcome.Done);
          });
        },
        refused: () => {},
      });
      clock.advanceSync(300);
    }
    expect(long.length).toBeGreaterThanOrEqual(19);
  });
});
