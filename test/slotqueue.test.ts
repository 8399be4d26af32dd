import { describe, expect, it } from 'vitest';
import { SimulatedClock } from '../src/emulator/clock.js';
import { SlotQueue } from '../src/gateway/slotqueue.js';
import type { ReservedSlot, NoSlot } from '../src/gateway/slotqueue.js';
import type { Result } from '../src/core/result.js';

/** Time in ms from the arrival of a call in which it should have its slot. */
const TARGET_MS = 60;

/** Wait in ms after which a call may go to an engine other than its preferred one. */
const OTHER_ENGINE_AFTER_MS = 20;

/** Time in ms from the arrival of a call after which a slot is of no use to it. */
const EXPIRY_MS = 1_500;

/** One engine that runs its calls one after another, each in the same time. */
class Engine {
  public open = 0;

  private freeAt = 0;

  public constructor(private readonly clock: SimulatedClock, private readonly workMs: number) {}

  public run(done: () => void): void {
    this.freeAt = Math.max(this.freeAt, this.clock.monotonic()) + this.workMs;
    this.clock.after(this.freeAt - this.clock.monotonic(), done);
  }
}

function createQueue(
  clock: SimulatedClock,
  engines: ReadonlyMap<string, Engine>,
  room: number,
  waitingAtPeers: (server: string) => number = () => 0,
): SlotQueue {
  return new SlotQueue({
    clock,
    freeSlots: () => [...engines].filter(([, { open }]) => open < room)
      .map(([server, { open }]) => ({
        server, idle: open === 0, openToLateCalls: room - open > waitingAtPeers(server), isOpenTo: () => true,
      })),
    reserve: (server) => {
      const engine = engines.get(server)!;
      engine.open += 1;
      return {
        dispose: () => {
          engine.open -= 1;
        },
      };
    },
  });
}

/** Numbers of calls by their outcome. */
interface Outcomes {
  readonly onTime: number;
  readonly late: number;
  readonly refused: number;
  /** Refused calls that waited for more than half of their time. */
  readonly waitedLong: number;
}

/** Simulates arrivals at a fixed period at one engine; with unlimited room, calls wait in the engine's own queue. */
async function simulate(periodMs: number, calls: number, room: number): Promise<Outcomes> {
  const clock = new SimulatedClock();
  const engines = new Map([['a', new Engine(clock, 10)]]);
  const queue = createQueue(clock, engines, room);
  const counts = {
    onTime: 0, late: 0, refused: 0, waitedLong: 0,
  };
  const call = async (): Promise<void> => {
    const arrivedAt = clock.monotonic();
    const slot = await queue.wait({
      preferredEngines: ['a'], otherEngineAfterMs: OTHER_ENGINE_AFTER_MS, targetAt: arrivedAt + TARGET_MS, expiresAt: arrivedAt + EXPIRY_MS,
    }, new AbortController().signal);
    if (!slot.success) {
      counts.refused += 1;
      if (clock.monotonic() - arrivedAt > EXPIRY_MS / 2) counts.waitedLong += 1;
      return;
    }
    engines.get('a')!.run(() => {
      if (clock.monotonic() - arrivedAt <= 2 * TARGET_MS) counts.onTime += 1;
      else counts.late += 1;
      slot.data.reservation.dispose();
      queue.assignFreeSlots();
    });
  };
  for (let index = 0; index < calls; index += 1) {
    void call();
    await clock.advance(periodMs);
  }
  await clock.advance(3 * EXPIRY_MS);
  queue.dispose();
  return counts;
}

/** Enqueues a call and adds its result to `got`; the returned controller disconnects its caller. */
function enqueue(
  queue: SlotQueue,
  clock: SimulatedClock,
  preferredEngines: readonly string[],
  got: string[],
): AbortController {
  const caller = new AbortController();
  const now = clock.monotonic();
  void queue.wait({
    preferredEngines, otherEngineAfterMs: OTHER_ENGINE_AFTER_MS, targetAt: now + TARGET_MS, expiresAt: now + EXPIRY_MS,
  }, caller.signal)
    .then((slot: Result<ReservedSlot, NoSlot>) => got.push(slot.success ? slot.data.server : 'refused'));
  return caller;
}

describe('SlotQueue under overload', () => {
  // Guards against a first-in, first-out queue, in which under overload every call waits too long to be on time.
  it('answers on time most of the calls that the engine has capacity for', async () => {
    const queue = await simulate(8, 400, 4);
    const engineQueue = await simulate(8, 400, Infinity);
    expect(queue.onTime).toBeGreaterThan(400 * (8 / 10) * 0.8);
    expect(queue.onTime).toBeGreaterThan(2 * engineQueue.onTime);
  });

  // Guards against an order in which each on-time call gets its slot only just before its target time.
  it('gives on-time calls their slot well before their target time', async () => {
    const clock = new SimulatedClock();
    const engines = new Map([['a', new Engine(clock, 10)]]);
    const queue = createQueue(clock, engines, 1);
    const waits: number[] = [];
    for (let index = 0; index < 200; index += 1) {
      const now = clock.monotonic();
      void queue.wait({
        preferredEngines: ['a'], otherEngineAfterMs: OTHER_ENGINE_AFTER_MS, targetAt: now + TARGET_MS, expiresAt: now + EXPIRY_MS,
      }, new AbortController().signal)
        .then((slot) => {
          if (!slot.success) return;
          waits.push(clock.monotonic() - now);
          engines.get('a')!.run(() => {
            slot.data.reservation.dispose();
            queue.assignFreeSlots();
          });
        });
      await clock.advance(8);
    }
    queue.dispose();
    const onTime = waits.filter((wait) => wait <= TARGET_MS);
    expect(onTime.length).toBeGreaterThan(100);
    expect(onTime.filter((wait) => wait > TARGET_MS / 2).length).toBeLessThan(onTime.length / 4);
  });

  // Guards against late calls of one gateway that take the slots that another gateway needs for on-time calls.
  it('does not give late calls the slots needed by on-time calls at another gateway', async () => {
    const clock = new SimulatedClock();
    const engines = new Map([['a', new Engine(clock, 10)]]);
    const queues: SlotQueue[] = [];
    const demandAt = (index: number) => (server: string): number => (
      queues[index]!.demand().find((waiting) => waiting.server === server)?.count ?? 0
    );
    queues.push(createQueue(clock, engines, 2, demandAt(1)), createQueue(clock, engines, 2, demandAt(0)));
    let onTime = 0;
    const call = async (queue: SlotQueue): Promise<void> => {
      const now = clock.monotonic();
      const slot = await queue.wait({
        preferredEngines: ['a'], otherEngineAfterMs: OTHER_ENGINE_AFTER_MS, targetAt: now + TARGET_MS, expiresAt: Infinity,
      }, new AbortController().signal);
      if (!slot.success) return;
      if (queue === queues[1] && clock.monotonic() <= now + TARGET_MS) onTime += 1;
      engines.get('a')!.run(() => {
        slot.data.reservation.dispose();
        // The gateway whose call has ended sees the free slot before the others.
        queue.assignFreeSlots();
        queues.forEach((other) => other.assignFreeSlots());
      });
    };
    for (let index = 0; index < 60; index += 1) void call(queues[0]!);
    await clock.advance(100);
    for (let index = 0; index < 30; index += 1) {
      void call(queues[1]!);
      await clock.advance(11);
    }
    await clock.advance(500);
    expect(onTime).toBeGreaterThan(28);
    queues.forEach((queue) => queue.dispose());
  });

  // Guards against calls that wait until their deadline although it was clear that they would not get a slot.
  it('refuses calls that will not get a slot, long before their deadline', async () => {
    const { refused, waitedLong } = await simulate(3, 600, 4);
    expect(refused).toBeGreaterThan(100);
    expect(waitedLong).toBeLessThan(refused / 10);
  });

  // Guards against refusals while the engine has capacity.
  it('refuses no call below capacity', async () => {
    expect(await simulate(12, 200, 4)).toMatchObject({ onTime: 200, refused: 0, late: 0 });
  });
});

describe('SlotQueue for late calls', () => {
  // Guards against calls that end unserved because others are on time until their deadline has passed.
  it.each([[0, 0], [0.25, 25]])('gives them a share of %s of the slots while others are on time', async (lateShare, expected) => {
    const clock = new SimulatedClock();
    let free = 0;
    const queue = new SlotQueue({
      clock,
      freeSlots: () => (free === 0 ? [] : [{
        server: 'a', idle: false, openToLateCalls: true, isOpenTo: () => true,
      }]),
      reserve: () => {
        free -= 1;
        return { dispose: () => {} };
      },
    }, { minLateShare: 1, lateShare });
    let late = 0;
    const wait = (targetAt: number): void => {
      void queue.wait({
        preferredEngines: ['a'], otherEngineAfterMs: 0, targetAt, expiresAt: 60_000,
      }, new AbortController().signal).then((slot) => {
        if (slot.success && targetAt < 0) late += 1;
      });
    };
    for (let index = 0; index < 50; index += 1) wait(-1);
    for (let index = 0; index < 100; index += 1) {
      wait(60_000);
      free = 1;
      queue.assignFreeSlots();
      await clock.advance(5);
    }
    queue.dispose();
    expect(Math.abs(late - expected)).toBeLessThanOrEqual(3);
  });

  // Guards against a retried call that is refused once more because calls with more time left went first.
  it('serves the call with the least time left first', async () => {
    const clock = new SimulatedClock();
    const engines = new Map([['a', new Engine(clock, 10)]]);
    const queue = createQueue(clock, engines, 1);
    engines.get('a')!.open = 1;
    const got: string[] = [];
    const wait = (name: string, targetAt: number, expiresAt: number): void => {
      void queue.wait({
        preferredEngines: ['a'], otherEngineAfterMs: OTHER_ENGINE_AFTER_MS, targetAt, expiresAt,
      }, new AbortController().signal)
        .then((slot) => got.push(slot.success ? name : `${name} refused`));
    };
    wait('first', 10, EXPIRY_MS);
    wait('returning', -Infinity, EXPIRY_MS / 2);
    wait('on time', 200, EXPIRY_MS);
    await clock.advance(50);
    for (let served = 0; served < 3; served += 1) {
      engines.get('a')!.open = 0;
      queue.assignFreeSlots();
      await clock.advance(1);
    }
    expect(got).toEqual(['on time', 'returning', 'first']);
    queue.dispose();
  });
});

describe('SlotQueue', () => {
  function twoEngines() {
    const clock = new SimulatedClock();
    const engines = new Map([['a', new Engine(clock, 10)], ['b', new Engine(clock, 10)]]);
    return { clock, engines, queue: createQueue(clock, engines, 1) };
  }

  // Guards against shared prompt parts that are prefilled on every engine.
  it('keeps a call for its preferred engine while that is busy for a short time', async () => {
    const { clock, engines, queue } = twoEngines();
    const got: string[] = [];
    engines.get('a')!.open = 1;
    enqueue(queue, clock, ['a'], got);
    await clock.advance(10);
    expect(got).toEqual([]);
    engines.get('a')!.open = 0;
    queue.assignFreeSlots();
    await clock.advance(0);
    expect(got).toEqual(['a']);
  });

  it('gives a call to another, idle engine after a while', async () => {
    const { clock, engines, queue } = twoEngines();
    const got: string[] = [];
    engines.get('a')!.open = 1;
    enqueue(queue, clock, ['a'], got);
    await clock.advance(50);
    expect(got).toEqual(['b']);
  });

  // Guards against two calls that get the same free slot in one turn.
  it('gives each slot to one call only', async () => {
    const { clock, queue } = twoEngines();
    const got: string[] = [];
    enqueue(queue, clock, ['a'], got);
    enqueue(queue, clock, ['a'], got);
    await clock.advance(5);
    expect(got).toEqual(['a']);
    expect(queue.length).toBe(1);
  });

  // Guards against work for a caller that disconnected before its call was enqueued.
  it('does not enqueue a call whose caller has disconnected already', async () => {
    const { clock, queue } = twoEngines();
    const caller = new AbortController();
    caller.abort();
    const slot = await queue.wait({
      preferredEngines: ['a'], otherEngineAfterMs: OTHER_ENGINE_AFTER_MS, targetAt: 10, expiresAt: 100,
    }, caller.signal);
    await clock.advance(5);
    expect(slot.success).toBe(false);
    expect(queue.length).toBe(0);
  });

  // Guards against slots for calls whose caller has disconnected while they waited.
  it('removes a call whose caller disconnects', async () => {
    const { clock, engines, queue } = twoEngines();
    const got: string[] = [];
    engines.get('a')!.open = 1;
    engines.get('b')!.open = 1;
    const caller = enqueue(queue, clock, ['a'], got);
    caller.abort();
    await clock.advance(0);
    expect(queue.length).toBe(0);
    expect(got).toEqual(['refused']);
  });

  // Guards against calls that wait until their deadline although all servers have asked for a longer pause meanwhile.
  it('refuses waiting calls once all servers are paused until shortly before their deadline', async () => {
    const clock = new SimulatedClock();
    let pausedUntil = 0;
    const queue = new SlotQueue({
      clock, freeSlots: () => [], reserve: () => ({ dispose: () => {} }), pausedUntil: () => pausedUntil || null,
    });
    const got: string[] = [];
    for (let calls = 0; calls < 2; calls += 1) enqueue(queue, clock, ['a'], got);
    await clock.advance(20);
    pausedUntil = EXPIRY_MS / 2;
    await clock.advance(20);
    expect(got).toEqual([]);
    pausedUntil = EXPIRY_MS / 2 + 40;
    await clock.advance(20);
    expect(got).toEqual(['refused', 'refused']);
  });
});
