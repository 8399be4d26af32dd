import { describe, expect, it } from 'vitest';
import { SimulatedClock } from '../src/emulator/clock.js';
import { WaitingLine } from '../src/gateway/waitingline.js';
import type { Place, Unplaced } from '../src/gateway/waitingline.js';
import type { Result } from '../src/core/result.js';

const TARGET_MS = 60;
const LAST_MS = 1_500;

/** One engine with room for a few calls, each of which takes the same time one after another. */
class Engine {
  public open = 0;

  private freeAt = 0;

  public constructor(private readonly clock: SimulatedClock, private readonly workMs: number) {}

  public run(done: () => void): void {
    this.freeAt = Math.max(this.freeAt, this.clock.monotonic()) + this.workMs;
    this.clock.after(this.freeAt - this.clock.monotonic(), done);
  }
}

function lineOver(
  clock: SimulatedClock,
  engines: ReadonlyMap<string, Engine>,
  room: number,
  waitingElsewhere: (server: string) => number = () => 0,
): WaitingLine {
  return new WaitingLine({
    clock,
    places: () => [...engines].filter(([, { open }]) => open < room)
      .map(([server, { open }]) => ({
        server, idle: open === 0, spare: room - open > waitingElsewhere(server),
      })),
    take: (server) => {
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

interface Played {
  readonly onTime: number;
  readonly late: number;
  readonly refused: number;
  /** Refused calls that were held for more than half of their time. */
  readonly heldLong: number;
}

/** Plays arrivals at a fixed period against one engine; with a huge room, the engine's own queue decides. */
async function play(periodMs: number, calls: number, room: number): Promise<Played> {
  const clock = new SimulatedClock();
  const engines = new Map([['a', new Engine(clock, 10)]]);
  const line = lineOver(clock, engines, room);
  const counts = {
    onTime: 0, late: 0, refused: 0, heldLong: 0,
  };
  const call = async (): Promise<void> => {
    const arrivedAt = clock.monotonic();
    const place = await line.wait({
      homes: ['a'], targetAt: arrivedAt + TARGET_MS, lastAt: arrivedAt + LAST_MS,
    }, new AbortController().signal);
    if (!place.success) {
      counts.refused += 1;
      if (clock.monotonic() - arrivedAt > LAST_MS / 2) counts.heldLong += 1;
      return;
    }
    engines.get('a')!.run(() => {
      if (clock.monotonic() - arrivedAt <= 2 * TARGET_MS) counts.onTime += 1;
      else counts.late += 1;
      place.data.held.dispose();
      line.pump();
    });
  };
  for (let index = 0; index < calls; index += 1) {
    void call();
    await clock.advance(periodMs);
  }
  await clock.advance(3 * LAST_MS);
  line.dispose();
  return counts;
}

function waitOn(line: WaitingLine, clock: SimulatedClock, homes: readonly string[], got: string[]): AbortController {
  const left = new AbortController();
  const now = clock.monotonic();
  void line.wait({ homes, targetAt: now + TARGET_MS, lastAt: now + LAST_MS }, left.signal)
    .then((place: Result<Place, Unplaced>) => got.push(place.success ? place.data.server : 'refused'));
  return left;
}

describe('WaitingLine under a load over the capacity', () => {
  // Guards against a queue in which everybody waits equally long, so that nobody is answered on time.
  it('answers most of what the engine can serve on time', async () => {
    const line = await play(8, 400, 4);
    const engineQueue = await play(8, 400, Infinity);
    expect(line.onTime).toBeGreaterThan(400 * (8 / 10) * 0.8);
    expect(line.onTime).toBeGreaterThan(2 * engineQueue.onTime);
  });

  // Guards against an order in which each call is answered at the very end of its time.
  it('leaves time to spare to the calls that it answers on time', async () => {
    const clock = new SimulatedClock();
    const engines = new Map([['a', new Engine(clock, 10)]]);
    const line = lineOver(clock, engines, 1);
    const waits: number[] = [];
    for (let index = 0; index < 200; index += 1) {
      const now = clock.monotonic();
      void line.wait({ homes: ['a'], targetAt: now + TARGET_MS, lastAt: now + LAST_MS }, new AbortController().signal)
        .then((place) => {
          if (!place.success) return;
          waits.push(clock.monotonic() - now);
          engines.get('a')!.run(() => {
            place.data.held.dispose();
            line.pump();
          });
        });
      await clock.advance(8);
    }
    line.dispose();
    const onTime = waits.filter((wait) => wait <= TARGET_MS);
    expect(onTime.length).toBeGreaterThan(100);
    expect(onTime.filter((wait) => wait > TARGET_MS / 2).length).toBeLessThan(onTime.length / 4);
  });

  // Guards against a gateway whose late calls take the places that another one needs for calls on time.
  it('leaves places to calls on time that wait at another gateway', async () => {
    const clock = new SimulatedClock();
    const engines = new Map([['a', new Engine(clock, 10)]]);
    const lines: WaitingLine[] = [];
    const demandAt = (index: number) => (server: string): number => lines[index]!.demand().get(server) ?? 0;
    lines.push(lineOver(clock, engines, 2, demandAt(1)), lineOver(clock, engines, 2, demandAt(0)));
    let onTime = 0;
    const call = async (line: WaitingLine): Promise<void> => {
      const now = clock.monotonic();
      const place = await line.wait({
        homes: ['a'], targetAt: now + TARGET_MS, lastAt: Infinity,
      }, new AbortController().signal);
      if (!place.success) return;
      if (line === lines[1] && clock.monotonic() <= now + TARGET_MS) onTime += 1;
      engines.get('a')!.run(() => {
        place.data.held.dispose();
        // The gateway whose call has ended learns of the free place before the others.
        line.pump();
        lines.forEach((other) => other.pump());
      });
    };
    for (let index = 0; index < 60; index += 1) void call(lines[0]!);
    await clock.advance(100);
    for (let index = 0; index < 30; index += 1) {
      void call(lines[1]!);
      await clock.advance(11);
    }
    await clock.advance(500);
    expect(onTime).toBeGreaterThan(28);
    lines.forEach((line) => line.dispose());
  });

  // Guards against calls that are held until their time is over although it was clear that they can't be served.
  it('refuses what it can not reach long before its time is over', async () => {
    const { refused, heldLong } = await play(3, 600, 4);
    expect(refused).toBeGreaterThan(100);
    expect(heldLong).toBeLessThan(refused / 10);
  });

  // Guards against refusals while the engine has room.
  it('refuses nobody below the capacity', async () => {
    expect(await play(12, 200, 4)).toMatchObject({ onTime: 200, refused: 0, late: 0 });
  });
});

describe('WaitingLine for late calls', () => {
  // Guards against a caller that comes back after a refusal and is refused once more behind others with more time.
  it('serves the one with the least time left first', async () => {
    const clock = new SimulatedClock();
    const engines = new Map([['a', new Engine(clock, 10)]]);
    const line = lineOver(clock, engines, 1);
    engines.get('a')!.open = 1;
    const got: string[] = [];
    const wait = (name: string, targetAt: number, lastAt: number): void => {
      void line.wait({ homes: ['a'], targetAt, lastAt }, new AbortController().signal)
        .then((place) => got.push(place.success ? name : `${name} refused`));
    };
    wait('first', 10, LAST_MS);
    wait('returning', -Infinity, LAST_MS / 2);
    wait('on time', 200, LAST_MS);
    await clock.advance(50);
    for (let served = 0; served < 3; served += 1) {
      engines.get('a')!.open = 0;
      line.pump();
      await clock.advance(1);
    }
    expect(got).toEqual(['on time', 'returning', 'first']);
    line.dispose();
  });
});

describe('WaitingLine', () => {
  function twoEngines() {
    const clock = new SimulatedClock();
    const engines = new Map([['a', new Engine(clock, 10)], ['b', new Engine(clock, 10)]]);
    return { clock, engines, line: lineOver(clock, engines, 1) };
  }

  // Guards against shared parts that are read on every engine.
  it('keeps a call for its home while the home is busy for a short time', async () => {
    const { clock, engines, line } = twoEngines();
    const got: string[] = [];
    engines.get('a')!.open = 1;
    waitOn(line, clock, ['a'], got);
    await clock.advance(10);
    expect(got).toEqual([]);
    engines.get('a')!.open = 0;
    line.pump();
    await clock.advance(0);
    expect(got).toEqual(['a']);
  });

  it('gives a call to an idle engine after a while', async () => {
    const { clock, engines, line } = twoEngines();
    const got: string[] = [];
    engines.get('a')!.open = 1;
    waitOn(line, clock, ['a'], got);
    await clock.advance(50);
    expect(got).toEqual(['b']);
  });

  // Guards against two calls that are given the same free place in one turn.
  it('gives each place once', async () => {
    const { clock, line } = twoEngines();
    const got: string[] = [];
    waitOn(line, clock, ['a'], got);
    waitOn(line, clock, ['a'], got);
    await clock.advance(5);
    expect(got).toEqual(['a']);
    expect(line.length).toBe(1);
  });

  // Guards against work for a caller that left before its call came into the line.
  it('takes no call whose caller has left already', async () => {
    const { clock, line } = twoEngines();
    const left = new AbortController();
    left.abort();
    const place = await line.wait({ homes: ['a'], targetAt: 10, lastAt: 100 }, left.signal);
    await clock.advance(5);
    expect(place.success).toBe(false);
    expect(line.length).toBe(0);
  });

  // Guards against callers that have left and still take places.
  it('forgets a call whose caller has left', async () => {
    const { clock, engines, line } = twoEngines();
    const got: string[] = [];
    engines.get('a')!.open = 1;
    engines.get('b')!.open = 1;
    const left = waitOn(line, clock, ['a'], got);
    left.abort();
    await clock.advance(0);
    expect(line.length).toBe(0);
    expect(got).toEqual(['refused']);
  });
});
