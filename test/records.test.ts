import { describe, expect, it } from 'vitest';
import type { KeyValueEntry, PeerHandler } from '../src/core/interfaces/index.js';
import { fail, ok } from '../src/core/result.js';
import { SimulatedClock } from '../src/emulator/clock.js';
import { StoreContact } from '../src/gateway/contact.js';
import type { KeyChanges, KeySource } from '../src/gateway/follower.js';
import { Records } from '../src/gateway/records.js';
import { SystemRandom } from '../src/adapters/system.js';
import { Metrics } from '../src/daemon/metrics.js';
import type { Members } from '../src/core/membership/index.js';
import { silentLog } from './support/loopback.js';

const PREFIX = 'servers/';

function entry(id: string, version: number): KeyValueEntry {
  return { key: `${PREFIX}${id}`, value: `${id}@${version}`, version };
}

/** Answer of another gateway whose records are `age` ms old. */
function peerView(revision: number, age: number, entries: readonly KeyValueEntry[] | null) {
  return {
    revision, age, contact: { since: 60_000, until: age }, entries,
  };
}

interface Script {
  readonly snapshot: { readonly entries: readonly KeyValueEntry[]; readonly revision: number };
  /** Answers to the calls for changes, in order; after them the store no longer answers. */
  readonly changes: KeyChanges[];
  /** Answer of the other gateway. */
  readonly peerView: unknown;
}

/** Starts records that read a scripted store and one other gateway, on a clock that the test advances. */
function start({ snapshot, changes, peerView: answer }: Script, nextPeerView: () => unknown = () => answer) {
  const clock = new SimulatedClock();
  const keys = new Map<string, string>();
  const history: string[] = [];
  const handlers = new Map<string, PeerHandler>();
  const source: KeySource = {
    snapshot: async () => ok(snapshot),
    changes: async (_prefix, _revision, _waitMs, { signal }) => {
      const next = changes.shift();
      if (next !== undefined) return ok(next);
      await new Promise((resolve) => {
        signal?.addEventListener('abort', resolve, { once: true });
        clock.after(2_300, () => resolve(null));
      });
      return fail({ code: 'unavailable' as never, message: 'silent' });
    },
  };
  const members = {
    self: () => ({ address: 'own' }), live: () => [{ address: 'other' }],
  } as unknown as Members;
  const records = new Records({
    clock,
    random: new SystemRandom(),
    log: silentLog,
    meter: new Metrics(),
    source,
    client: { call: async () => ok(nextPeerView()) },
    server: {
      register: (method, handler) => {
        handlers.set(method, handler);
        return { dispose: () => {} };
      },
    },
    members,
    contact: new StoreContact(clock),
  }, {
    replaced: (entries) => {
      keys.clear();
      for (const { key, value } of entries) keys.set(key, value);
      history.push(`all:${[...keys.values()].join(',')}`);
    },
    put: ({ key, value }) => {
      keys.set(key, value);
      history.push(`put:${value}`);
    },
    removed: (key) => {
      keys.delete(key);
      history.push(`removed:${key}`);
    },
  }, {
    prefix: PREFIX, waitMs: 1_400, periodMs: 0, seeds: [],
  });
  const stop = new AbortController();
  void records.run(stop.signal);
  return {
    clock, records, keys, history, handlers, stop,
  };
}

describe('Records', () => {
  // Guards against calls to a server that has left, because a change that is older than its removal is read afterwards.
  it('ignores a change that is older than the records of a peer, in which it was removed again', async () => {
    const changes: KeyChanges[] = [];
    const running = start({
      snapshot: { entries: [entry('a', 5)], revision: 10 },
      changes,
      peerView: peerView(20, 100, [entry('a', 5)]),
    });
    // The store does not answer, so the records of the other gateway are used, in which `b` was added and removed.
    await running.clock.advance(3_000);
    changes.push({ events: [{ type: 'put', entry: entry('b', 15) }], revision: 16 });
    await running.clock.advance(2_000);
    expect([...running.keys.keys()]).toEqual(['servers/a']);
    running.stop.abort();
  });

  // Guards against calls to a server that was added and removed within one answer, until its removal is applied.
  it('reports only the last state of a record that changes twice in one answer', async () => {
    const running = start({
      snapshot: { entries: [entry('a', 5)], revision: 10 },
      changes: [{
        events: [
          { type: 'put', entry: entry('b', 11) },
          { type: 'delete', key: 'servers/b', version: 12 },
          { type: 'put', entry: entry('a', 13) },
        ],
        revision: 13,
      }],
      peerView: null,
    });
    await running.clock.advance(100);
    expect(running.history).toEqual(['all:a@5', 'put:a@13']);
    running.stop.abort();
  });

  // Guards against calls to a server that has left, at a gateway that knows it from another relay than the one that saw
  // its record and its removal in one answer.
  it('passes on the removal of a record that it never had', async () => {
    const running = start({
      snapshot: { entries: [entry('a', 5)], revision: 10 },
      changes: [{
        events: [{ type: 'put', entry: entry('b', 11) }, { type: 'delete', key: 'servers/b', version: 12 }],
        revision: 12,
      }],
      peerView: null,
    });
    await running.clock.advance(100);
    const answer = await running.handlers.get(`records.changes:${PREFIX}`)!({ revision: 11, wait: 0 });
    expect(answer).toMatchObject({ success: true, data: { type: 'changes', removals: [['servers/b', 12]] } });
    running.stop.abort();
  });

  // Guards against old records of another gateway that count as current.
  it('adds the age that the records of another gateway had when it sent them', async () => {
    const running = start({
      snapshot: { entries: [entry('a', 5)], revision: 10 },
      changes: [],
      peerView: peerView(20, 1_300, [entry('a', 5)]),
    });
    await running.clock.advance(2_850);
    expect(running.history.at(-1)).toBe('all:a@5');
    expect(running.records.ageMs()).toBeGreaterThanOrEqual(1_300);
    expect(running.records.ageMs()).toBeLessThan(1_800);
    running.stop.abort();
  });

  // Guards against records that count as old because the last answer came from a gateway that had no contact to the
  // store either.
  it('keeps the lowest known age, whichever gateway answers last', async () => {
    const script: Script = { snapshot: { entries: [entry('a', 5)], revision: 10 }, changes: [], peerView: null };
    const answers = [peerView(10, 0, null)];
    const running = start(script, () => answers.shift() ?? peerView(10, 60_000, null));
    await running.clock.advance(3_500);
    expect(running.records.ageMs()).toBeLessThan(1_500);
    running.stop.abort();
  });

  it('counts its records as current where another gateway with current ones has none that are newer', async () => {
    const running = start({
      snapshot: { entries: [entry('a', 5)], revision: 10 }, changes: [], peerView: peerView(10, 0, null),
    });
    await running.clock.advance(6_000);
    expect(running.records.ageMs()).toBeLessThan(500);
    running.stop.abort();
  });
});
