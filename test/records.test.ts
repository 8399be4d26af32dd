import { describe, expect, it } from 'vitest';
import type { KeyValueEntry } from '../src/core/edges/index.js';
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

/** What another gateway answers whose view is `age` ms old. */
function offer(revision: number, age: number, entries: readonly KeyValueEntry[] | null) {
  return {
    revision, age, contact: { since: 60_000, until: age }, entries,
  };
}

interface Script {
  readonly snapshot: { readonly entries: readonly KeyValueEntry[]; readonly revision: number };
  /** Answers to the calls for changes in order; the store is silent for good after them. */
  readonly changes: KeyChanges[];
  /** Answer of the other gateway, or null. */
  readonly offer: unknown;
}

/** Records over a scripted store and one other gateway, on a clock that the test moves. */
function start({ snapshot, changes, offer: answer }: Script, nextOffer: () => unknown = () => answer) {
  const clock = new SimulatedClock();
  const keys = new Map<string, string>();
  const history: string[] = [];
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
    client: { call: async () => ok(nextOffer()) },
    server: { register: () => ({ dispose: () => {} }) },
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
    clock, records, keys, history, stop,
  };
}

describe('Records', () => {
  // Guards against a server that has left and gets calls again, because its record is older than its removal.
  it('does not take over a record that was removed before the view was taken', async () => {
    const changes: KeyChanges[] = [];
    const running = start({
      snapshot: { entries: [entry('a', 5)], revision: 10 },
      changes,
      offer: offer(20, 100, [entry('a', 5)]),
    });
    // The store is silent, so the view of the other gateway is taken, in which `b` has come and gone.
    await running.clock.advance(3_000);
    changes.push({ events: [{ type: 'put', entry: entry('b', 15) }], revision: 16 });
    await running.clock.advance(2_000);
    expect([...running.keys.keys()]).toEqual(['servers/a']);
    running.stop.abort();
  });

  // Guards against a server that has come and gone within one answer and gets calls until its removal is applied.
  it('tells only the last state of a record that changes twice in one answer', async () => {
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
      offer: null,
    });
    await running.clock.advance(100);
    expect(running.history).toEqual(['all:a@5', 'put:a@13']);
    running.stop.abort();
  });

  // Guards against an old view of another gateway that counts as news.
  it('counts the age that a view of another gateway had when it was offered', async () => {
    const running = start({
      snapshot: { entries: [entry('a', 5)], revision: 10 },
      changes: [],
      offer: offer(20, 1_300, [entry('a', 5)]),
    });
    await running.clock.advance(2_850);
    expect(running.history.at(-1)).toBe('all:a@5');
    expect(running.records.ageMs()).toBeGreaterThanOrEqual(1_300);
    expect(running.records.ageMs()).toBeLessThan(1_800);
    running.stop.abort();
  });

  // Guards against a list that counts as old because a gateway that was cut off too answered last.
  it('keeps the newest knowledge of its age, whoever answers last', async () => {
    const script: Script = { snapshot: { entries: [entry('a', 5)], revision: 10 }, changes: [], offer: null };
    const answers = [offer(10, 0, null)];
    const running = start(script, () => answers.shift() ?? offer(10, 60_000, null));
    await running.clock.advance(3_500);
    expect(running.records.ageMs()).toBeLessThan(1_500);
    running.stop.abort();
  });

  it('knows that its view is current where another gateway has none that is newer', async () => {
    const running = start({
      snapshot: { entries: [entry('a', 5)], revision: 10 }, changes: [], offer: offer(10, 0, null),
    });
    await running.clock.advance(6_000);
    expect(running.records.ageMs()).toBeLessThan(500);
    running.stop.abort();
  });
});
