import {
  beforeEach, describe, expect, it,
} from 'vitest';
import { SimulatedClock } from '../src/emulator/clock.js';
import { silentLogAndMeter } from '../src/emulator/entry.js';
import { EmulatedKeyValue, KeyValueStore } from '../src/emulator/keyvalue.js';
import { SeededRandom } from '../src/emulator/random.js';
import type { Call } from '../src/gateway/codec.js';
import { StoreContact } from '../src/gateway/contact.js';
import { RecordOrigin } from '../src/gateway/records.js';
import { ServerRegistry } from '../src/gateway/serverregistry.js';
import { StreamRecords } from '../src/gateway/streamrecords.js';
import { StreamBindings, StreamVersions } from '../src/gateway/streamversions.js';
import { createServerRecord } from './support/serverrecord.js';

const SOURCE = { origin: RecordOrigin.Change, revision: 1 };

let clock: SimulatedClock;
let store: KeyValueStore;
let era: number;
let started = 0;

/** What the gateways remember of streams, for those that ask. */
let remembered: StreamBindings[];

function call(id: string, resumes: string | null = null): Call {
  return { id, resumes, deadlineMs: 15_000 } as Call;
}

function originAt(softwareVersion: string) {
  return { service: 'ledger', softwareVersion };
}

/** Gateway that knows a server of each version. */
function startNode(versions: readonly string[]) {
  const deps = { clock, log: silentLogAndMeter, meter: silentLogAndMeter };
  const registry = new ServerRegistry({ ...deps, contact: new StoreContact(clock) });
  const bindings = new StreamBindings(clock);
  remembered.push(bindings);
  started += 1;
  let refreshServers = (): boolean => !store.down;
  const records = new StreamRecords({
    ...deps,
    random: new SeededRandom(started),
    store: new EmulatedKeyValue(store, clock),
    registry,
    bindings,
    services: () => new Set(['ledger']),
    gatewayCount: () => 6,
    storeEra: () => era,
    refreshServers: () => Promise.resolve(refreshServers()),
  }, { name: 'g', incarnation: `incarnation${started}` });
  const addServer = (softwareVersion: string): void => (
    registry.put(createServerRecord(`server ${softwareVersion}`, { softwareVersion }), SOURCE)
  );
  versions.forEach(addServer);
  const stop = new AbortController();
  void records.run(stop.signal);
  return {
    registry,
    bindings,
    records,
    addServer,
    /** Replaces how changes of server records are read. */
    onRefresh: (refresh: () => boolean) => {
      refreshServers = refresh;
    },
    streams: new StreamVersions({
      registry,
      bindings,
      fleet: records,
      peers: {
        ask: async (id) => remembered.map((other) => other.find(id)).find((origin) => origin !== null) ?? null,
      },
    }),
    stop: () => stop.abort(),
  };
}

/** Version at which a stream goes on, or the code of the refusal. */
async function originOf({ streams }: ReturnType<typeof startNode>, resumes: string | null): Promise<string> {
  const origin = streams.originOf(call('take-up', resumes), ['ledger']);
  await clock.advance(1_000);
  const result = await origin;
  return result.success ? result.data.softwareVersion : result.error.code;
}

function written(): string {
  return store.list('streams/').map(({ value }) => value).join();
}

beforeEach(() => {
  clock = new SimulatedClock();
  store = new KeyValueStore(clock);
  era = 0;
  remembered = [];
});

describe('the record of a gateway\'s streams', () => {
  it('names a version before streams begin there, unless the store does not answer for a second', async () => {
    const node = startNode(['v1']);
    expect(node.records.mayBegin(originAt('v1'))).toBe(false);
    await clock.advance(300);
    expect([node.records.mayBegin(originAt('v1')), written()]).toEqual([true, '{"ledger":{"v1":[]}}']);
    store.down = true;
    node.addServer('v2');
    const may: boolean[] = [];
    for (let tries = 0; tries < 3; tries += 1) {
      may.push(node.records.mayBegin(originAt('v2')));
      await clock.advance(600);
    }
    expect(may).toEqual([false, false, true]);
  });

  it('lets a gateway that starts begin streams at once where others have named the version', async () => {
    startNode(['v1']);
    await clock.advance(500);
    const { records } = startNode(['v1', 'v2']);
    while (!records.mayBegin(originAt('v1'))) await clock.advance(1);
    expect([store.list('streams/').length, records.mayBegin(originAt('v2'))]).toEqual([1, false]);
  });

  it('lists unfinished streams only while several versions are in use', async () => {
    const node = startNode(['v1']);
    node.bindings.bind(call('a'), originAt('v1'));
    node.bindings.bind(call('b'), originAt('v1'));
    node.bindings.finish(call('b'));
    await clock.advance(500);
    expect(written()).toBe('{"ledger":{"v1":[]}}');
    node.addServer('v2');
    await clock.advance(500);
    expect(written()).toBe('{"ledger":{"v1":["a"],"v2":[]}}');
    node.registry.removeInvalid('server v1', SOURCE);
    await clock.advance(18_000);
    expect(written()).toBe('{"ledger":{"v2":[]}}');
  });

  it.each([
    ['its lease has ended', () => store.leaseIds().forEach((id) => store.expireLease(id)), 16_000],
    ['answers of the store are lost', () => {
      store.loseAnswers = 3;
    }, 3_000],
    ['the store is back from a copy without it', () => {
      const [entry] = store.list('streams/');
      store.applyAll([{ key: entry!.key, expected: entry!.version, value: '{"ledger":{"v1":[]}}' }]);
      era += 1;
    }, 1_000],
  ])('is written again where %s', async (_why, disturb, afterMs) => {
    const node = startNode(['v1', 'v2']);
    node.bindings.bind({ ...call('a'), deadlineMs: 60_000 }, originAt('v2'));
    await clock.advance(500);
    disturb();
    node.bindings.bind({ ...call('b'), deadlineMs: 60_000 }, originAt('v1'));
    await clock.advance(afterMs);
    expect(written()).toBe('{"ledger":{"v1":["b"],"v2":["a"]}}');
    await clock.advance(90_000);
    expect(written()).toBe('{"ledger":{"v1":[],"v2":[]}}');
  });

  it('is split where it has more streams than one value may list, and the oldest are dropped', async () => {
    const node = startNode(['v1', 'v2']);
    node.bindings.bind(call('oldest'), originAt('v0'));
    for (let id = 0; id < 20_100; id += 1) node.bindings.bind(call(`stream ${id}`), originAt('v1'));
    await clock.advance(500);
    expect([node.bindings.size, node.bindings.find('oldest')]).toEqual([20_000, null]);
    expect(store.list('streams/').every(({ value }) => value.includes('"v0":[]'))).toBe(true);
    expect(store.list('streams/').map(({ value }) => value.split('stream').length - 1)).toEqual([4_000, 4_000, 4_000, 4_000, 4_000]);
    await clock.advance(20_000);
    expect(store.list('streams/')).toHaveLength(1);
  });
});

describe('a stream that a client takes up at a gateway that has just started', () => {
  it('goes on only at the version that began it, also if the attempt that is named took it up itself', async () => {
    const dead = startNode(['v1', 'v2']);
    dead.bindings.bind(call('a'), originAt('v1'));
    dead.bindings.bind(call('b'), originAt('v2'));
    dead.bindings.bind(call('c', 'b'), originAt('v2'));
    await clock.advance(500);
    dead.stop();
    const node = startNode(['v2']);
    expect([await originOf(node, 'a'), await originOf(node, 'b'), await originOf(node, 'c')]).toEqual(['version_gone', 'v2', 'v2']);
    expect([await originOf(node, 'x'), await originOf(node, null)]).toEqual(['version_unknown', 'version_unknown']);
    await clock.advance(160_000);
    expect([await originOf(node, 'x'), await originOf(node, null)]).toEqual(['v2', 'v2']);
  });

  it('is refused until the store has answered once', async () => {
    store.down = true;
    const node = startNode(['v1']);
    expect(await originOf(node, 'a')).toBe('version_unknown');
    store.down = false;
    await clock.advance(3_000);
    expect(await originOf(node, 'a')).toBe('v1');
    node.addServer('v2');
    expect(await originOf(node, 'a')).toBe('version_unknown');
  });
});

describe('a stream that a client takes up at a gateway that was out of step while a second version came', () => {
  let node: ReturnType<typeof startNode>;

  /** Begins a stream at the second version, which only the other gateway knows, and ends that gateway. */
  async function beginAtOther({ isWritten }: { readonly isWritten: boolean }): Promise<void> {
    const other = startNode(['v1']);
    node = startNode(['v1']);
    await clock.advance(500);
    if (!isWritten) other.stop();
    other.addServer('v2');
    await clock.advance(500);
    other.bindings.bind(call('a'), originAt('v2'));
    await clock.advance(500);
    other.stop();
    remembered = [];
  }

  // Guards against a gateway that takes the version that it has seen for the only one, and joins two versions.
  it('is refused while the store does not answer', async () => {
    await beginAtOther({ isWritten: true });
    store.down = true;
    expect(await originOf(node, 'a')).toBe('version_unknown');
    store.down = false;
    node.addServer('v2');
    expect(await originOf(node, 'a')).toBe('v2');
  });

  // Guards against the same where the second version was used without having been written down.
  it('is refused where the servers that are registered by now have several versions, or cannot be read', async () => {
    await beginAtOther({ isWritten: false });
    node.onRefresh(() => false);
    expect(await originOf(node, 'a')).toBe('version_unknown');
    node.onRefresh(() => {
      node.addServer('v2');
      return true;
    });
    expect(await originOf(node, 'a')).toBe('version_unknown');
  });

  // Guards against the same where the store has lost what was written about the second version.
  it('is refused until gateways and servers have written again what a store lacks that is back from a copy', async () => {
    await beginAtOther({ isWritten: true });
    const [lost] = store.list('streams/').filter(({ value }) => value.includes('v2'));
    store.applyAll([{ key: lost!.key, expected: lost!.version, value: null }]);
    era += 1;
    expect(await originOf(node, 'a')).toBe('version_unknown');
    await clock.advance(3_000);
    expect(await originOf(node, 'b')).toBe('v1');
  });

  // Guards against a wait that begins with the first stream that is taken up, long after the store was back.
  it('goes on at the only version at once where the store came back long ago', async () => {
    node = startNode(['v1']);
    await clock.advance(500);
    era += 1;
    await clock.advance(4_000);
    expect(await originOf(node, 'a')).toBe('v1');
  });

  it('goes on where another gateway remembers where it began, also without the store', async () => {
    await beginAtOther({ isWritten: true });
    node.addServer('v2');
    store.down = true;
    const third = startNode(['v2']);
    third.bindings.bind(call('a'), originAt('v2'));
    expect(await originOf(node, 'a')).toBe('v2');
  });
});
