import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { hashName } from '../src/core/rendezvous.js';
import { SimulatedClock } from '../src/emulator/clock.js';
import { EmulatedMembers } from '../src/emulator/entry.js';
import { EmulatedNetwork } from '../src/emulator/peers.js';
import { SeededRandom } from '../src/emulator/random.js';
import { CountingMeter, RecordingLog } from '../src/emulator/recording.js';
import type { Run } from '../src/gateway/openruns.js';
import {
  MAX_ENDS, MAX_PARTS, Override,
} from '../src/gateway/quarantine/evidence.js';
import {
  partKey, Quarantine, QuarantineExchange, Trials,
} from '../src/gateway/quarantine/index.js';
import { packNews, unpackDatagram } from '../src/gateway/quarantine/wire.js';
import type { ServerRecord } from '../src/gateway/serverregistry.js';

const DEAD = partKey('engine', 'dead');

/** Bound of the deployment with the shortest one, in ms. */
const CONTACT_MS = 3_000;

interface Node {
  readonly quarantine: Quarantine;
  readonly exchange: QuarantineExchange;
  readonly trials: Trials;
  readonly meter: CountingMeter;
  readonly stop: AbortController;
}

function record(id: string): ServerRecord {
  return { id, bornAt: 1, service: 'engine' } as ServerRecord;
}

function run(parts: readonly string[], sentAt: number, request = `r${sentAt}`): Run {
  return {
    request, parts, sentAt, chunks: 0,
  };
}

/** Gateways with an exchange between them; datagrams are lost with a probability. */
function createGroup(loss = 0) {
  const clock = new SimulatedClock();
  const network = new EmulatedNetwork(clock);
  const members = new EmulatedMembers();
  const log = new RecordingLog();
  const losses = new SeededRandom(1);
  const receivers = new Map<string, (message: Uint8Array) => void>();
  const isolated = new Set<string>();
  const nodes: Node[] = [];
  const add = (): Node => {
    const ip = `10.0.${Math.floor(nodes.length / 250)}.${nodes.length % 250}`;
    const meter = new CountingMeter();
    const deps = { clock, log: log.forEntry(ip), meter };
    const quarantine = new Quarantine(deps);
    const exchangeDeps = {
      ...deps,
      random: new SeededRandom(nodes.length + 2),
      client: network.client(`${ip}:1`),
      server: network.listen(`${ip}:1`),
      members: members.view(`${ip}:1`),
      quarantine,
      datagrams: {
        send: (to: string, message: Uint8Array) => {
          meter.count('sent');
          if (losses.float() < loss || isolated.has(ip) || isolated.has(to)) return;
          clock.after(1, () => receivers.get(to)?.(message));
        },
        onMessage: (listener: (message: Uint8Array) => void) => {
          receivers.set(ip, listener);
          return { dispose: () => receivers.delete(ip) };
        },
      },
    };
    const exchange = new QuarantineExchange(exchangeDeps, { hasSeeds: true });
    const trials = new Trials(exchangeDeps);
    const stop = new AbortController();
    trials.serve();
    void exchange.run(stop.signal);
    const node = {
      quarantine, exchange, trials, meter, stop,
    };
    nodes.push(node);
    return node;
  };
  const blockedAt = (): number => nodes.filter(({ quarantine }) => quarantine.findBlocked('engine', ['dead']) !== null).length;
  return {
    clock, network, nodes, add, isolated, blockedAt, log,
  };
}

/** Lets two gateways each see one server end under the part. */
async function crashTwice({ clock, nodes }: ReturnType<typeof createGroup>): Promise<void> {
  nodes[0]!.quarantine.recordEnd(record('s1'), [run(['first', 'dead'], clock.monotonic() - 5)]);
  await clock.advance(200);
  nodes.at(-1)!.quarantine.recordEnd(record('s2'), [run(['first', 'dead'], clock.monotonic() - 5)]);
}

describe('QuarantineExchange', () => {
  // Guards against ends that each gateway sees once, so that none of them finds their common cause.
  it.each([[3, 0], [40, 0.3]])('tells %i gateways of a part that two of them have seen, with %f of the datagrams lost', async (count, loss) => {
    const group = createGroup(loss);
    for (let index = 0; index < count; index += 1) group.add();
    await group.clock.advance(500);
    await crashTwice(group);
    await group.clock.advance(CONTACT_MS / 2);
    expect(group.blockedAt()).toBe(count);
  });

  // Guards against messages that grow with the square of the gateways.
  it('sends as many datagrams for each gateway in a large group as in a small one', async () => {
    const perGateway: number[] = [];
    for (const count of [20, 200]) {
      const group = createGroup();
      for (let index = 0; index < count; index += 1) group.add();
      await group.clock.advance(500);
      await crashTwice(group);
      await group.clock.advance(1_000);
      expect(group.blockedAt()).toBe(count);
      perGateway.push(group.nodes.reduce((sum, { meter }) => sum + (meter.counts.get('sent') ?? 0), 0) / count);
    }
    expect(perGateway[1]).toBeLessThan(1.5 * perGateway[0]!);
  });

  // Guards against a gateway that starts and sends the part to an engine before it has asked the others.
  it('is synchronized only once a gateway that has started knows what the others know', async () => {
    const group = createGroup();
    for (let index = 0; index < 4; index += 1) group.add();
    await group.clock.advance(500);
    await crashTwice(group);
    await group.clock.advance(500);
    const late = group.add();
    let blocked: string | null = null;
    void late.exchange.whenSynchronized().then(() => {
      blocked = late.quarantine.findBlocked('engine', ['dead']);
    });
    await group.clock.advance(300);
    expect(blocked).toBe(DEAD);
  });

  it('brings a gateway that was cut off up to date within the bound of contact', async () => {
    const group = createGroup();
    for (let index = 0; index < 6; index += 1) group.add();
    await group.clock.advance(500);
    group.isolated.add('10.0.0.3');
    for (let index = 0; index < 6; index += 1) group.network.setCut(`10.0.0.${index}:1`, '10.0.0.3:1', true);
    await crashTwice(group);
    await group.clock.advance(5_000);
    expect(group.blockedAt()).toBe(5);
    group.isolated.clear();
    for (let index = 0; index < 6; index += 1) group.network.setCut(`10.0.0.${index}:1`, '10.0.0.3:1', false);
    await group.clock.advance(CONTACT_MS);
    expect(group.blockedAt()).toBe(6);
  });

  it('takes an operator\'s orders to all gateways', async () => {
    const group = createGroup();
    for (let index = 0; index < 3; index += 1) group.add();
    await group.clock.advance(500);
    group.nodes[0]!.quarantine.order(DEAD, Override.Block);
    await group.clock.advance(1_000);
    expect(group.blockedAt()).toBe(3);
    group.nodes[2]!.quarantine.order(DEAD, null);
    await group.clock.advance(1_000);
    expect(group.blockedAt()).toBe(0);
  });
});

describe('Trials', () => {
  // Guards against gateways that each try a part by themselves.
  it('lets one call of all gateways try a part, and none for a longer time after a further end', async () => {
    const group = createGroup();
    for (let index = 0; index < 5; index += 1) group.add();
    await group.clock.advance(500);
    await crashTwice(group);
    await group.clock.advance(1_000);
    const ask = async (): Promise<number> => {
      const answers = Promise.all(group.nodes.map(({ trials }) => trials.request(DEAD)));
      await group.clock.advance(500);
      return (await answers).filter((granted) => granted).length;
    };
    expect(await ask()).toBe(0);
    await group.clock.advance(30_000);
    expect(await ask()).toBe(1);
    group.nodes[2]!.quarantine.recordEnd(record('s3'), [run(['first', 'dead'], group.clock.monotonic() - 5)]);
    await group.clock.advance(31_000);
    expect(await ask()).toBe(0);
  });

  it('releases a part once an answer on it is complete', async () => {
    const group = createGroup();
    for (let index = 0; index < 3; index += 1) group.add();
    await group.clock.advance(500);
    await crashTwice(group);
    await group.clock.advance(1_000);
    group.nodes[1]!.quarantine.recordProof(record('s4'), run(['first', 'dead'], group.clock.monotonic()));
    await group.clock.advance(1_000);
    expect(group.blockedAt()).toBe(0);
  });
});

describe('Quarantine', () => {
  function alone() {
    const clock = new SimulatedClock();
    return { clock, quarantine: new Quarantine({ clock, log: new RecordingLog().forEntry('a'), meter: new CountingMeter() }) };
  }

  // Guards against a broken link that counts as the ends of all the servers behind it.
  it('takes back the end of a server that answers afterwards', async () => {
    const { clock, quarantine } = alone();
    quarantine.recordEnd(record('s1'), [run(['dead'], 0)]);
    await clock.advance(100);
    quarantine.recordAnswer(record('s1'), clock.monotonic());
    quarantine.recordEnd(record('s2'), [run(['dead'], clock.monotonic())]);
    expect(quarantine.findBlocked('engine', ['dead'])).toBeNull();
  });

  it('does not blame calls whose answers had gone on', async () => {
    const { clock, quarantine } = alone();
    for (const id of ['s1', 's2', 's3', 's4', 's5']) {
      quarantine.recordEnd(record(id), [{ ...run(['sound'], clock.monotonic()), chunks: 2 }]);
      await clock.advance(100);
    }
    expect(quarantine.findBlocked('engine', ['sound'])).toBeNull();
  });

  it('keeps its state bounded however many parts and ends come', async () => {
    const { clock, quarantine } = alone();
    for (let index = 0; index < 1_000; index += 1) {
      quarantine.recordEnd(record(`s${index}`), Array.from({ length: 40 }, (_, call) => (
        run([`p${index}-${call}`], clock.monotonic(), `r${index}-${call}`)
      )));
      quarantine.order(partKey('engine', `ordered${index}`), Override.Block);
      await clock.advance(10);
    }
    const { ends, parts } = quarantine.all();
    expect(ends.size).toBeLessThanOrEqual(MAX_ENDS);
    expect(parts.size).toBeLessThanOrEqual(MAX_PARTS);
  });

  it('forgets a part that nothing has asked for in a quarter of an hour', async () => {
    const { clock, quarantine } = alone();
    quarantine.recordEnd(record('s1'), [run(['dead'], 0)]);
    await clock.advance(100);
    quarantine.recordEnd(record('s2'), [run(['dead'], clock.monotonic())]);
    expect(quarantine.findBlocked('engine', ['dead'])).toBe(DEAD);
    await clock.advance(901_000);
    quarantine.expire();
    expect(quarantine.findBlocked('engine', ['dead'])).toBeNull();
    expect(quarantine.summary()).toBe('');
  });
});

describe('datagrams of the quarantine', () => {
  it('carry all news in pieces that are not fragmented', () => {
    const ends = Array.from({ length: 60 }, (_, index) => (
      [`s${index}@1`, 5, false, [[`r${index}`, 9, [DEAD, `engine/${hashName(String(index))}`]]]] as never
    ));
    const messages = packNews({ ends, parts: [] });
    expect(messages.every(({ length }) => length <= 1_200)).toBe(true);
    const received = messages.flatMap((message) => {
      const datagram = unpackDatagram(message);
      return datagram?.type === 'news' ? datagram.news.ends : [];
    });
    expect(received).toEqual(ends);
  });

  // Guards against one malformed message that takes a gateway down.
  it('of any bytes are decoded or left out, never thrown on', () => {
    fc.assert(fc.property(fc.uint8Array({ maxLength: 200 }), fc.boolean(), (bytes, tagged) => {
      const message = tagged ? Uint8Array.from([0xc1, ...bytes]) : bytes;
      expect(() => unpackDatagram(message)).not.toThrow();
    }), { seed: 26, numRuns: 500 });
  });
});
