import { describe, expect, it } from 'vitest';
import { SimulatedClock } from '../src/emulator/clock.js';
import type { ConnectionPool } from '../src/gateway/connections.js';
import { OpenRuns } from '../src/gateway/openruns.js';
import type { Run } from '../src/gateway/openruns.js';
import { UpstreamEnd } from '../src/gateway/upstream.js';

/** Runs at a server with connections 1 to 3, of which those in `open` are open. */
function createRuns(open: Set<number>) {
  const clock = new SimulatedClock();
  const pool = {
    newestConnection: 3, hasOpenConnection: (number: number) => [...open].some((other) => other <= number),
  } as ConnectionPool;
  const proven: Run[] = [];
  const ends: (readonly Run[])[] = [];
  const runs = new OpenRuns(clock, pool, { proven: (run) => proven.push(run), ended: (broken) => ends.push(broken) });
  return {
    clock, runs, proven, ends,
  };
}

describe('OpenRuns', () => {
  it('reports the end of a server with all calls that broke at once', async () => {
    const open = new Set([1, 2]);
    const { clock, runs, ends } = createRuns(open);
    const calls = ['a', 'b'].map((id) => runs.create(id, ['p']));
    for (const call of calls) runs.written(call);
    runs.end(calls[0]!, UpstreamEnd.Broken);
    await clock.advance(3);
    open.clear();
    runs.end(calls[1]!, UpstreamEnd.Broken);
    await clock.advance(20);
    expect(ends).toEqual([calls]);
  });

  // Guards against the end of a server that only breaks off single answers.
  it('reports no end while another connection is open', async () => {
    const { clock, runs, ends } = createRuns(new Set([1]));
    const call = runs.create('a', ['p']);
    runs.written(call);
    runs.end(call, UpstreamEnd.Broken);
    await clock.advance(100);
    expect(ends).toEqual([]);
  });

  it('does not take connections for open that were made after the end', async () => {
    const { clock, runs, ends } = createRuns(new Set([4]));
    const call = runs.create('a', ['p']);
    runs.written(call);
    runs.end(call, UpstreamEnd.Broken);
    await clock.advance(20);
    expect(ends).toHaveLength(1);
  });

  it('reports nothing for calls that were given up or never written', async () => {
    const { clock, runs, ends } = createRuns(new Set());
    const call = runs.create('a', ['p']);
    runs.end(runs.create('b', ['p']), UpstreamEnd.Broken);
    runs.written(call);
    runs.end(call, UpstreamEnd.Aborted);
    await clock.advance(20);
    expect(ends).toEqual([]);
  });

  it('takes a prompt for proven once its answer has gone on, or is complete', () => {
    const { runs, proven } = createRuns(new Set([1]));
    const [short, long] = ['a', 'b'].map((id) => runs.create(id, ['p'])) as [Run, Run];
    for (const call of [short, long]) {
      runs.written(call);
      runs.answered(call);
    }
    runs.receivedChunk(long);
    expect(proven).toEqual([]);
    runs.receivedChunk(long);
    runs.receivedChunk(long);
    runs.end(short, UpstreamEnd.Complete);
    runs.end(long, UpstreamEnd.Complete);
    expect(proven).toEqual([long, short]);
  });

  // Guards against parts that seem to work because engines refuse calls on them.
  it('does not take a prompt for proven by the whole body of a refusal or an error', () => {
    const { runs, proven } = createRuns(new Set([1]));
    const refused = runs.create('a', ['p']);
    runs.written(refused);
    for (let chunk = 0; chunk < 3; chunk += 1) runs.receivedChunk(refused);
    runs.end(refused, UpstreamEnd.Complete);
    expect(proven).toEqual([]);
  });
});
