import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { hashName } from '../src/core/rendezvous.js';
import { SimulatedClock } from '../src/emulator/clock.js';
import { createQuarantineGroup, engineRecord, openRun } from '../src/emulator/quarantinegroup.js';
import type { QuarantineGroup } from '../src/emulator/quarantinegroup.js';
import { CountingMeter, RecordingLog } from '../src/emulator/recording.js';
import {
  MAX_ENDS, MAX_KEYS, MAX_KEYS_PER_RUN, MAX_PARTS, MAX_RUNS, Override,
} from '../src/gateway/quarantine/evidence.js';
import { partKey, Quarantine } from '../src/gateway/quarantine/index.js';
import { packNews, unpackDatagram } from '../src/gateway/quarantine/wire.js';

const DEAD = partKey('engine', 'dead');

/** Bound of the deployment with the shortest one, in ms. */
const CONTACT_MS = 3_000;

/** Lets two gateways each see one server end under the part, which stands last in prompts of `parts` shared parts. */
async function crashTwice({ clock, nodes }: QuarantineGroup, parts = 2): Promise<void> {
  const prompt = [...Array.from({ length: parts - 1 }, (_, index) => `5c1e${index}`), 'dead'];
  nodes[0]!.quarantine.recordEnd(engineRecord('s1'), [openRun(prompt, clock.monotonic() - 5)]);
  await clock.advance(200);
  nodes.at(-1)!.quarantine.recordEnd(engineRecord('s2'), [openRun(prompt, clock.monotonic() - 5)]);
}

describe('QuarantineExchange', () => {
  // Guards against ends that each gateway sees once, so that none of them finds their common cause.
  it.each([[3, 0], [40, 0.3]])('tells %i gateways of a part that two of them have seen, with %f of the datagrams lost', async (count, loss) => {
    const group = createQuarantineGroup(count, { loss });
    await group.clock.advance(500);
    await crashTwice(group);
    await group.clock.advance(CONTACT_MS / 2);
    expect(group.blockedAt('dead')).toBe(count);
  });

  // Guards against prompts whose many parts fit into no datagram, so that no gateway learns of both ends.
  it.each([[6, 40], [40, 300]])('tells %i gateways of the last of %i parts within the bound of contact', async (count, parts) => {
    const group = createQuarantineGroup(count);
    await group.clock.advance(500);
    await crashTwice(group, parts);
    await group.clock.advance(CONTACT_MS);
    expect(group.blockedAt('dead')).toBe(count);
    expect(group.blockedAt('5c1e0')).toBe(0);
  });

  // Guards against messages that grow with the square of the gateways.
  it('sends as many datagrams for each gateway in a large group as in a small one', async () => {
    const perGateway: number[] = [];
    for (const count of [20, 200]) {
      const group = createQuarantineGroup(count);
      await group.clock.advance(500);
      await crashTwice(group);
      await group.clock.advance(1_000);
      expect(group.blockedAt('dead')).toBe(count);
      perGateway.push(group.nodes.reduce((sum, { meter }) => sum + (meter.counts.get('sent') ?? 0), 0) / count);
    }
    expect(perGateway[1]).toBeLessThan(1.5 * perGateway[0]!);
  });

  // Guards against a gateway that starts and sends the part to an engine before it has asked the others.
  it('is synchronized only once a gateway that has started knows what the others know', async () => {
    const group = createQuarantineGroup(4);
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

  // Guards against gateways that were killed together and learn from each other that nothing is known.
  it('does not take the answer of a gateway that has just started itself for what the others know', async () => {
    const group = createQuarantineGroup(3);
    await group.clock.advance(500);
    await crashTwice(group);
    await group.clock.advance(500);
    const old = group.nodes.map(({ ip }) => `${ip}:1`);
    const [late, other] = [group.add(), group.add()];
    const setCut = (cut: boolean): void => old.forEach((address) => {
      for (const { ip } of [late, other]) group.network.setCut(`${ip}:1`, address, cut);
    });
    setCut(true);
    for (const { ip } of [late, other]) group.isolated.add(ip);
    let blocked: string | null = null;
    void late.exchange.whenSynchronized().then(() => {
      blocked = late.quarantine.findBlocked('engine', ['dead']) ?? 'nothing';
    });
    await group.clock.advance(450);
    expect(blocked).toBeNull();
    setCut(false);
    await group.clock.advance(500);
    expect(blocked).toBe(DEAD);
  });

  it('brings a gateway that was cut off up to date within the bound of contact', async () => {
    const group = createQuarantineGroup(6);
    await group.clock.advance(500);
    group.isolated.add('10.0.0.3');
    for (let index = 0; index < 6; index += 1) group.network.setCut(`10.0.0.${index}:1`, '10.0.0.3:1', true);
    await crashTwice(group);
    await group.clock.advance(5_000);
    expect(group.blockedAt('dead')).toBe(5);
    group.isolated.clear();
    for (let index = 0; index < 6; index += 1) group.network.setCut(`10.0.0.${index}:1`, '10.0.0.3:1', false);
    await group.clock.advance(CONTACT_MS);
    expect(group.blockedAt('dead')).toBe(6);
  });

  it('takes an operator\'s orders to all gateways', async () => {
    const group = createQuarantineGroup(3);
    await group.clock.advance(500);
    group.nodes[0]!.quarantine.order(DEAD, Override.Block);
    await group.clock.advance(1_000);
    expect(group.blockedAt('dead')).toBe(3);
    group.nodes[2]!.quarantine.order(DEAD, null);
    await group.clock.advance(1_000);
    expect(group.blockedAt('dead')).toBe(0);
  });
});

describe('a part that is proven to work while servers end under it', () => {
  // Guards against a verdict that swings with each proof and message, and against log lines that swing with it.
  it('changes its state only as often as there are new ends', async () => {
    const group = createQuarantineGroup(6, { maxDelayMs: 40 });
    await group.clock.advance(500);
    const ENDS = 10;
    for (let turn = 0; turn < 400; turn += 1) {
      const now = group.clock.monotonic();
      const node = group.nodes[turn % 6]!.quarantine;
      if (turn % 40 < ENDS / 2 && turn < 80) {
        node.recordEnd(engineRecord(`s${turn}`), [openRun(['first', 'sound'], now - 1, `r${turn}`)]);
      }
      if (turn > 20) group.nodes[(turn + 3) % 6]!.quarantine.recordProof(engineRecord('e'), openRun(['first', 'sound'], now));
      await group.clock.advance(25);
    }
    expect(group.blockedAt('sound')).toBe(0);
    const changes = group.lines('part_quarantined') + group.lines('part_released');
    expect(changes).toBeLessThanOrEqual(ENDS * group.nodes.length);
  });
});

describe('Trials', () => {
  // Guards against gateways that each try a part by themselves.
  it('lets one call of all gateways try a part, and none for a longer time after a further end', async () => {
    const group = createQuarantineGroup(5);
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
    group.nodes[2]!.quarantine.recordEnd(engineRecord('s3'), [openRun(['first', 'dead'], group.clock.monotonic() - 5)]);
    await group.clock.advance(31_000);
    expect(await ask()).toBe(0);
  });

  it('releases a part once an answer on it is complete', async () => {
    const group = createQuarantineGroup(3);
    await group.clock.advance(500);
    await crashTwice(group);
    await group.clock.advance(1_000);
    group.nodes[1]!.quarantine.recordProof(engineRecord('s4'), openRun(['first', 'dead'], group.clock.monotonic()));
    await group.clock.advance(1_000);
    expect(group.blockedAt('dead')).toBe(0);
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
    quarantine.recordEnd(engineRecord('s1'), [openRun(['dead'], 0)]);
    await clock.advance(100);
    quarantine.recordAnswer(engineRecord('s1'), clock.monotonic());
    quarantine.recordEnd(engineRecord('s2'), [openRun(['dead'], clock.monotonic())]);
    expect(quarantine.findBlocked('engine', ['dead'])).toBeNull();
  });

  // Guards against sound calls that are kept out because their gateway is the first to judge two ends.
  it('does not blame the one prompt that this gateway had open at ends before others have told theirs', async () => {
    const { clock, quarantine } = alone();
    for (const server of ['s1', 's2']) {
      const at = clock.monotonic();
      quarantine.recordEnd(engineRecord(server), [openRun(['p', '*sound'], at - 5, 'mine')]);
      await clock.advance(20);
      const keys = ['p', 'dead', '*deadly'].map((id) => partKey('engine', id));
      const runs = new Map([['theirs', { keys, sentAt: at - 5 }]]);
      quarantine.learn({ ends: new Map([[`${server}@1`, { at, refuted: false, runs }]]), parts: new Map() });
      await clock.advance(80);
    }
    expect(quarantine.findBlocked('engine', ['*sound'])).toBeNull();
    quarantine.recordEnd(engineRecord('s3'), [openRun(['p', 'dead', '*deadly'], clock.monotonic(), 'other')]);
    await clock.advance(100);
    expect(quarantine.findBlocked('engine', ['*sound'])).toBeNull();
    expect(quarantine.findBlocked('engine', ['*deadly'])).not.toBeNull();
  });

  // Guards against ends that are taken back because the server has started again under its id and old record.
  it('keeps the end of a server that answers only after a while', async () => {
    const { clock, quarantine } = alone();
    quarantine.recordEnd(engineRecord('s1'), [openRun(['dead'], 0)]);
    await clock.advance(3_000);
    quarantine.recordAnswer(engineRecord('s1'), clock.monotonic());
    quarantine.recordEnd(engineRecord('s2'), [openRun(['dead'], clock.monotonic())]);
    expect(quarantine.findBlocked('engine', ['dead'])).toBe(DEAD);
  });

  it('does not blame calls whose answers had gone on', async () => {
    const { clock, quarantine } = alone();
    for (const id of ['s1', 's2', 's3', 's4', 's5']) {
      quarantine.recordEnd(engineRecord(id), [{ ...openRun(['sound'], clock.monotonic()), chunks: 2 }]);
      await clock.advance(100);
    }
    expect(quarantine.findBlocked('engine', ['sound'])).toBeNull();
  });

  it('keeps its state bounded however many parts and ends come', async () => {
    const { clock, quarantine } = alone();
    for (let index = 0; index < 600; index += 1) {
      for (const reporter of ['a', 'b']) {
        quarantine.recordEnd(engineRecord(`s${index}`), Array.from({ length: 20 }, (_, call) => (
          openRun([`p${index}-${call}`], clock.monotonic(), `${reporter}${index}-${call}`)
        )));
      }
      quarantine.order(partKey('engine', `ordered${index}`), Override.Block);
      await clock.advance(10);
    }
    const { ends, parts } = quarantine.all();
    expect(ends.size).toBeLessThanOrEqual(MAX_ENDS);
    expect(Math.max(...[...ends.values()].map(({ runs }) => runs.size))).toBeLessThanOrEqual(MAX_RUNS);
    expect(parts.size).toBeLessThanOrEqual(MAX_PARTS);
  });

  it('keeps its state bounded however many parts prompts have', async () => {
    const { clock, quarantine } = alone();
    for (let index = 0; index < 100; index += 1) {
      quarantine.recordEnd(engineRecord(`s${index}`), [
        openRun(Array.from({ length: 2_000 }, (_, part) => `p${index}-${part}`), clock.monotonic()),
      ]);
      await clock.advance(10);
    }
    const runs = [...quarantine.all().ends.values()].flatMap((end) => [...end.runs.values()]);
    const keys = runs.map((run) => run.keys.length);
    expect(Math.max(...keys)).toBeLessThanOrEqual(MAX_KEYS_PER_RUN);
    expect(keys.reduce((sum, count) => sum + count, 0)).toBeLessThanOrEqual(MAX_KEYS);
    expect(keys.length).toBeGreaterThan(1);
  });

  // Guards against a part that stays in quarantine for good because the ends that it was judged by are forgotten.
  it.each([false, true])('releases a part that is proven long after the last end (proven before: %s)', async (isProvenBefore) => {
    const { clock, quarantine } = alone();
    const end = async (server: string): Promise<void> => {
      quarantine.recordEnd(engineRecord(server), [openRun(['dead'], clock.monotonic())]);
      await clock.advance(10);
    };
    await end('s1');
    if (isProvenBefore) quarantine.recordProof(engineRecord('s0'), openRun(['dead'], clock.monotonic()));
    await clock.advance(100);
    for (const server of ['s2', 's3', 's4', 's5']) await end(server);
    await clock.advance(400_000);
    quarantine.expire();
    expect(quarantine.findBlocked('engine', ['dead'])).toBe(DEAD);
    quarantine.recordProof(engineRecord('s9'), openRun(['dead'], clock.monotonic()));
    expect(quarantine.findBlocked('engine', ['dead'])).toBeNull();
  });

  it('forgets a part that nothing has asked for in a quarter of an hour', async () => {
    const { clock, quarantine } = alone();
    quarantine.recordEnd(engineRecord('s1'), [openRun(['dead'], 0)]);
    await clock.advance(100);
    quarantine.recordEnd(engineRecord('s2'), [openRun(['dead'], clock.monotonic())]);
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
