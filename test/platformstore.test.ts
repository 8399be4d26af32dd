import {
  afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import { PlatformStore } from '../platform/index.js';
import { SystemClock, SystemRandom } from '../src/adapters/system.js';
import { Authority } from '../src/core/authority/authority.js';
import { KeyValueErrorCode } from '../src/core/interfaces/index.js';
import { StoreContact } from '../src/gateway/contact.js';
import { KeyFollower } from '../src/gateway/follower.js';
import { quietLog, quietMeter } from './support/fakes.js';
import { StoreStandIn } from '../src/emulator/platformstore.js';

const OPTIONS = { timeoutMs: 500 };

let standIn: StoreStandIn;
let store: PlatformStore;

beforeEach(async () => {
  standIn = new StoreStandIn();
  await standIn.start();
  store = new PlatformStore(standIn.address);
});

afterEach(() => {
  store.dispose();
  standIn.stop();
});

async function waitUntil(condition: () => boolean): Promise<void> {
  for (let tries = 0; tries < 400 && !condition(); tries += 1) {
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
  expect(condition()).toBe(true);
}

describe('PlatformStore', () => {
  // Guards against a listing that stops after its first page and so misses routes or servers.
  it('reads all pages of a listing', async () => {
    for (const name of ['a', 'b', 'c', 'd', 'e']) standIn.put(`servers/${name}`, `value of ${name}`);
    const entries = await store.range('servers/', OPTIONS);
    expect(entries.success && entries.data.map(({ value }) => value.at(-1)).join('')).toBe('abcde');
  });

  it('applies all operations of a transaction or none', async () => {
    standIn.put('taken', 'x');
    const operations = [{ key: 'new', expected: 0, value: 'n' }, { key: 'taken', expected: 0, value: 'y' }];
    const refused = await store.transact(operations, OPTIONS);
    expect(refused.success && refused.data.map(({ applied }) => applied)).toEqual([false, false]);
    expect(await store.get('new', OPTIONS)).toEqual({ success: true, data: null });
    const written = await store.transact([operations[0]!], OPTIONS);
    expect(written.success && written.data[0]?.applied).toBe(true);
  });

  // Guards against reporting a write as failed although it took effect.
  it('reports a write whose answer was lost as outcome unknown, and a refused one as unavailable', async () => {
    standIn.loseAnswers = 1;
    const lost = await store.transact([{ key: 'k', expected: 0, value: 'v' }], OPTIONS);
    expect(!lost.success && lost.error.code).toBe(KeyValueErrorCode.OutcomeUnknown);
    standIn.fault = (_req, res) => {
      res.writeHead(503).end();
      return true;
    };
    const refused = await store.transact([{ key: 'k', expected: 0, value: 'v' }], OPTIONS);
    expect(!refused.success && refused.error.code).toBe(KeyValueErrorCode.Unavailable);
  });

  // Guards against calls that hang because the store no longer answers on their connection.
  it('fails a read after its timeout if no answer arrives', async () => {
    standIn.fault = () => true;
    const read = await store.get('k', { timeoutMs: 100 });
    expect(!read.success && read.error.code).toBe(KeyValueErrorCode.Unavailable);
  });

  it('returns an error for an answer that does not match the schema', async () => {
    standIn.fault = (_req, res) => {
      res.writeHead(200, { 'content-type': 'application/json' }).end('{"items":7}');
      return true;
    };
    const read = await store.range('servers/', OPTIONS);
    expect(!read.success && read.error.code).toBe(KeyValueErrorCode.Unavailable);
  });
});

describe('KeyFollower on PlatformStore', () => {
  function follow(values: Map<string, string>, contact = new StoreContact(new SystemClock())) {
    const stop = new AbortController();
    const deps = {
      clock: new SystemClock(), random: new SystemRandom(), log: quietLog, contact,
    };
    const follower = new KeyFollower(store, deps, {
      replaced: (entries) => {
        values.clear();
        for (const { key, value } of entries) values.set(key, value);
      },
      changed: (events) => {
        for (const event of events) {
          if (event.type === 'put') values.set(event.entry.key, event.entry.value);
          else values.delete(event.key);
        }
      },
    }, {
      prefix: 'op/', waitMs: 50, periodMs: 0,
    });
    const running = follower.run(stop.signal);
    return async () => {
      stop.abort();
      await running;
    };
  }

  it('receives writes and deletions', async () => {
    standIn.put('op/config', '1');
    const values = new Map<string, string>();
    const stop = follow(values);
    await waitUntil(() => values.get('op/config') === '1');
    standIn.put('op/config', '2');
    await waitUntil(() => values.get('op/config') === '2');
    standIn.remove('op/config');
    await waitUntil(() => values.size === 0);
    await stop();
  });

  // Guards against missing changes that the store has dropped from its history.
  it('reads a new snapshot when the store has dropped the history that it needs', async () => {
    standIn.put('op/config', '1');
    const values = new Map<string, string>();
    let isUnavailable = false;
    standIn.fault = (_req, res) => {
      if (!isUnavailable) return false;
      res.writeHead(503).end();
      return true;
    };
    const stop = follow(values);
    await waitUntil(() => values.get('op/config') === '1');
    isUnavailable = true;
    standIn.put('op/config', '2');
    standIn.put('op/extra', 'x');
    standIn.remove('op/extra');
    standIn.compact();
    isUnavailable = false;
    await waitUntil(() => values.get('op/config') === '2');
    expect([...values.keys()]).toEqual(['op/config']);
    await stop();
  });

  // Guards against removing servers right after an outage of the store, before they could register again.
  it('records the end of a long outage of the store, but not of a short one', async () => {
    const contact = new StoreContact(new SystemClock());
    const values = new Map<string, string>();
    standIn.put('op/config', '1');
    const stop = follow(values, contact);
    await waitUntil(() => values.size === 1);
    const dropConnection = (_req: unknown, res: { destroy(): void }): boolean => {
      res.destroy();
      return true;
    };
    standIn.fault = dropConnection;
    await new Promise((resolve) => {
      setTimeout(resolve, 300);
    });
    standIn.fault = () => false;
    standIn.put('op/config', '2');
    await waitUntil(() => values.get('op/config') === '2');
    expect(contact.recoveredAt).toBe(-Infinity);
    standIn.fault = dropConnection;
    await new Promise((resolve) => {
      setTimeout(resolve, 1_700);
    });
    standIn.fault = () => false;
    await waitUntil(() => contact.recoveredAt > 0);
    await stop();
  });
});

describe('Authority on PlatformStore', () => {
  // Guards against two holders acting at the same time, even if the answer to the write that takes the lease is lost.
  it('is held by exactly one of two candidates although the answer to a write is lost', async () => {
    const stop = new AbortController();
    standIn.loseAnswers = 1;
    const candidates = ['one', 'two'].map((member) => new Authority({
      clock: new SystemClock(),
      random: new SystemRandom(),
      keyValue: store,
      log: quietLog,
      meter: quietMeter,
      holder: { member, address: 'a', incarnation: member },
      leaseMs: 600,
    }));
    const running = candidates.map((candidate) => candidate.run(stop.signal));
    await waitUntil(() => candidates.some((candidate) => candidate.mayAct()));
    await new Promise((resolve) => {
      setTimeout(resolve, 700);
    });
    expect(candidates.filter((candidate) => candidate.mayAct())).toHaveLength(1);
    stop.abort();
    await Promise.all(running);
  });
});
