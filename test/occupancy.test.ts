import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { hashName } from '../src/core/rendezvous.js';
import type { Member, Members } from '../src/core/membership/members.js';
import { SimulatedClock } from '../src/emulator/clock.js';
import { SeededRandom } from '../src/emulator/random.js';
import { selectCallerAddresses, MAX_ADDRESSES, sampleAddresses } from '../src/gateway/directory.js';
import type { PeerGateway } from '../src/gateway/directory.js';
import { pack, safeUnpack } from '../src/gateway/packing.js';
import {
  MAX_RECEIVERS, messagePeriodMs, Occupancy, selectReceivers,
} from '../src/gateway/occupancy.js';
import type { Datagrams } from '../src/gateway/occupancy.js';

function member(id: string, index: number): Member {
  return {
    id,
    incarnation: id,
    address: `10.0.0.${index}:1`,
    callerAddress: `10.0.0.${index}:80`,
    failureDomain: 'regina',
    leaving: false,
    revision: 1,
    load: 0,
  };
}

/** Gateways whose datagrams arrive at once, apart from those for which `lost` returns true. */
function gateways(count: number, lost: (message: Uint8Array) => boolean = () => false) {
  const clock = new SimulatedClock();
  const all = Array.from({ length: count }, (_, index) => member(`g${index}`, index));
  const listeners = new Map<string, (message: Uint8Array) => void>();
  const stop = new AbortController();
  const occupancies = all.map((self, index) => {
    const members = {
      self: () => self,
      live: () => all.filter((other) => other !== self),
      update: () => {},
      onChange: () => ({ dispose: () => {} }),
    } satisfies Members;
    const datagrams: Datagrams = {
      send: (ip, message) => {
        if (!lost(message)) listeners.get(ip)?.(message);
      },
      onMessage: (listener) => {
        listeners.set(`10.0.0.${index}`, listener);
        return { dispose: () => listeners.delete(`10.0.0.${index}`) };
      },
    };
    const occupancy = new Occupancy({ clock, members, datagrams });
    void occupancy.run(stop.signal);
    return occupancy;
  });
  return {
    clock, occupancies, listeners, stop,
  };
}

describe('Occupancy', () => {
  // Guards against gateways that each count only their own calls and together overload an engine.
  it('adds up the open calls of all gateways', async () => {
    const { clock, occupancies } = gateways(3);
    const call = occupancies[0]!.countCall('engine', 'prefills');
    occupancies[1]!.countCall('engine', 'wholes');
    await clock.advance(25);
    expect(occupancies[2]!.total('engine')).toEqual({ prefills: 1, continuations: 0, wholes: 1 });
    call.dispose();
    await clock.advance(25);
    expect(occupancies[2]!.total('engine')).toEqual({ prefills: 0, continuations: 0, wholes: 1 });
  });

  // Guards against late calls that take slots needed by on-time calls at other gateways.
  it('reports to other gateways how many on-time calls wait, and when none does any longer', async () => {
    const { clock, occupancies } = gateways(3);
    const demand = [{ server: 'engine', rank: 0, count: 2 }];
    occupancies[0]!.setDemandSource(() => demand);
    occupancies[1]!.setDemandSource(() => [{ server: 'engine', rank: 0, count: 1 }]);
    await clock.advance(25);
    expect(occupancies.map((occupancy) => occupancy.waitingAtPeers('engine'))).toEqual([1, 2, 3]);
    demand.length = 0;
    await clock.advance(25);
    expect(occupancies[2]!.waitingAtPeers('engine')).toBe(1);
  });

  it('corrects the counts with a later message after one was lost', async () => {
    let losing = true;
    const { clock, occupancies } = gateways(2, () => losing);
    occupancies[0]!.countCall('engine', 'prefills');
    await clock.advance(100);
    expect(occupancies[1]!.total('engine').prefills).toBe(0);
    losing = false;
    await clock.advance(300);
    expect(occupancies[1]!.total('engine').prefills).toBe(1);
  });

  // Guards against calls of a killed gateway that count at an engine for good.
  it('ignores the calls of a gateway that no longer sends messages', async () => {
    let gone = false;
    const { clock, occupancies } = gateways(2, (message) => gone && (safeUnpack(message) as unknown[])[0] === hashName('g0'));
    occupancies[0]!.countCall('engine', 'prefills');
    await clock.advance(50);
    expect(occupancies[1]!.total('engine').prefills).toBe(1);
    gone = true;
    await clock.advance(1_300);
    expect(occupancies[1]!.total('engine').prefills).toBe(0);
    expect(occupancies[1]!.lastMessageAgeMs('g0')).toBeGreaterThan(1_000);
  });

  // Guards against a datagram of any process that stops a gateway or changes what it counts.
  it('ignores malformed messages', async () => {
    const { clock, occupancies, listeners } = gateways(2);
    await clock.advance(0);
    const receive = listeners.get('10.0.0.0')!;
    const nothing = { prefills: 0, continuations: 0, wholes: 0 };
    const [from, engine] = [hashName('g1'), hashName('engine')];
    const malformed: unknown[] = [
      null, {}, [], 'x', [from], [from, 1, [[engine, 1, 1]], []], [from, 1, [[engine, -1, 0, 0]], []],
      [from, 1, [[engine, 1, 0, 0.5]], []], [from, 'x', [[engine, 1, 0, 0]], []], [from, 1, {}, []],
    ];
    for (const message of malformed) receive(pack(message));
    receive(pack([from, 1, [[engine, 1, 0, 0]], []]).subarray(0, -2));
    fc.assert(fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => receive(bytes)), { seed: 7, numRuns: 2_000 });
    expect(occupancies[0]!.total('engine')).toEqual(nothing);
    receive(pack([from, 1, [[engine, 1, 0, 0]], []]));
    expect(occupancies[0]!.total('engine')).toEqual({ ...nothing, prefills: 1 });
  });

  // Guards against a cost of these messages that grows with the square of the gateways.
  it('receives at most as many messages at 200 gateways as at 50', async () => {
    const messagesPerGateway = async (count: number): Promise<number> => {
      let messages = 0;
      const { clock, occupancies, stop } = gateways(count, () => {
        messages += 1;
        return true;
      });
      for (let step = 0; step < 50; step += 1) {
        for (const occupancy of occupancies) occupancy.countCall('engine', 'wholes').dispose();
        await clock.advance(20);
      }
      stop.abort();
      return messages / count;
    };
    expect(await messagesPerGateway(200)).toBeLessThanOrEqual(await messagesPerGateway(50));
  });

  // Guards against messages that cost more between failure domains than the calls that they are about.
  it('sends a message of under 100 bytes for five servers', async () => {
    const sizes: number[] = [];
    const { clock, occupancies } = gateways(2, (message) => {
      sizes.push(message.length);
      return false;
    });
    for (let index = 0; index < 5; index += 1) occupancies[0]!.countCall(`i-${index}48c9204aa`, 'prefills');
    await clock.advance(25);
    expect(Math.max(...sizes)).toBeLessThan(100);
  });
});

describe('selectReceivers', () => {
  const fleet = (count: number) => Array.from({ length: count }, (_, index) => ({
    id: `g${String(index).padStart(3, '0')}`, failureDomain: index % 2 === 0 ? 'regina' : 'brandon',
  }));

  // Guards against tables that expire before the next message, and against cost that grows with the fleet.
  it('are sent at a period that grows with the fleet and stays well below the validity of a table', () => {
    expect([6, 24].map(messagePeriodMs)).toEqual([20, 20]);
    expect(messagePeriodMs(87)).toBeGreaterThan(100);
    expect(messagePeriodMs(1_800)).toBeLessThanOrEqual(250);
  });

  it('selects all gateways of a small fleet', () => {
    const [self, ...others] = fleet(MAX_RECEIVERS + 1);
    expect(selectReceivers(self!, others)).toEqual(others);
  });

  // Guards against traffic between failure domains that grows with the square of the gateways, and against gateways
  // that hear nobody because all others send to the same few.
  it('selects gateways of its own failure domain in a large fleet, so that each hears as many others', () => {
    const all = fleet(120);
    const heard = new Map<string, number>();
    for (const self of all) {
      const receivers = selectReceivers(self, all.filter((other) => other !== self));
      expect(receivers.every(({ failureDomain }) => failureDomain === self.failureDomain)).toBe(true);
      for (const { id } of receivers) heard.set(id, (heard.get(id) ?? 0) + 1);
    }
    expect([...heard.values()]).toEqual(all.map(() => MAX_RECEIVERS));
  });
});

describe('selectCallerAddresses', () => {
  const own = { callerAddress: 'own:80', ready: true, configured: true };

  const peer = (address: string, changes: Partial<PeerGateway> = {}): PeerGateway => ({
    member: { callerAddress: address, leaving: false, revision: 1 },
    suspected: false,
    isCutOff: false,
    lastMessageAgeMs: 100,
    ...changes,
  });

  // Guards against a host that is down and is listed until membership removes it, which took 6 s in a simulated day.
  it('omits a gateway that no longer sends messages', () => {
    expect(selectCallerAddresses(own, [peer('a'), peer('b', { lastMessageAgeMs: 2_000 })])).toEqual(['own:80', 'a']);
  });

  it('omits gateways that are leaving, have no configuration or are suspected', () => {
    const leaving = peer('a', { member: { callerAddress: 'a', leaving: true, revision: 1 } });
    const unconfigured = peer('b', { member: { callerAddress: 'b', leaving: false, revision: 0 } });
    expect(selectCallerAddresses(own, [leaving, unconfigured, peer('c', { suspected: true }), peer('d')]))
      .toEqual(['own:80', 'd']);
  });

  // Guards against a gateway that was paused and takes all others for stopped.
  it('uses membership alone where no gateway has sent a recent message', () => {
    expect(selectCallerAddresses(own, [peer('a', { lastMessageAgeMs: 9_000 }), peer('b', { lastMessageAgeMs: null })]))
      .toEqual(['own:80', 'a', 'b']);
  });

  // Guards against a large fleet in which all callers are sent to the few gateways whose messages arrive here.
  it('uses membership alone where not every gateway sends messages to this one', () => {
    const many = Array.from(
      { length: 40 },
      (_, index) => peer(`a${index}`, { lastMessageAgeMs: index < 5 ? 100 : null }),
    );
    expect(selectCallerAddresses(own, many)).toHaveLength(41);
  });

  // Guards against callers that are sent to gateways at which no call can be served, and against a list of none.
  it('lists gateways that reach no server only if there is no other gateway', () => {
    const cutOff = [peer('a', { isCutOff: true }), peer('b', { isCutOff: true })];
    expect(selectCallerAddresses(own, [...cutOff, peer('c')])).toEqual(['own:80', 'c']);
    expect(selectCallerAddresses(own, cutOff)).toEqual(['own:80']);
    expect(selectCallerAddresses({ ...own, ready: false }, [...cutOff, peer('c')])).toEqual(['c']);
    expect(selectCallerAddresses({ ...own, ready: false }, cutOff)).toEqual(['a', 'b']);
    expect(selectCallerAddresses({ ...own, ready: false }, [])).toEqual(['own:80']);
  });

  it('lists its own address while it stops only if there is no other gateway', () => {
    const stopping = { ...own, ready: false };
    expect(selectCallerAddresses(stopping, [peer('a')])).toEqual(['a']);
    expect(selectCallerAddresses(stopping, [])).toEqual(['own:80']);
  });
});

describe('sampleAddresses', () => {
  const all = Array.from({ length: 200 }, (_, index) => `a${index}`);

  // Guards against an answer that is too long for callers, and a large fleet of which they use only some gateways.
  it('returns no more addresses than callers accept, and every gateway over several answers', () => {
    const random = new SeededRandom(7);
    const answers = Array.from({ length: 40 }, () => sampleAddresses(all, MAX_ADDRESSES, random));
    expect(answers.map((answer) => new Set(answer).size)).toEqual(answers.map(() => 64));
    expect(new Set(answers.flat()).size).toBe(200);
  });

  it('returns every address of a small fleet once', () => {
    expect([...sampleAddresses(['a', 'b', 'c'], MAX_ADDRESSES, new SeededRandom(7))].sort()).toEqual(['a', 'b', 'c']);
  });
});
