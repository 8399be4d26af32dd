import { describe, expect, it } from 'vitest';
import type { Member, Members } from '../src/core/membership/members.js';
import { SimulatedClock } from '../src/emulator/clock.js';
import { SeededRandom } from '../src/emulator/random.js';
import { callerAddresses, MAX_ADDRESSES, sampleAddresses } from '../src/gateway/directory.js';
import type { KnownGateway } from '../src/gateway/directory.js';
import { Occupancy } from '../src/gateway/occupancy.js';
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

/** Gateways whose datagrams arrive at once, unless `lost` says so. */
function gateways(count: number, lost: (message: string) => boolean = () => false) {
  const clock = new SimulatedClock();
  const all = Array.from({ length: count }, (_, index) => member(`g${index}`, index));
  const listeners = new Map<string, (message: string) => void>();
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
  // Guards against gateways that each believe to be alone and together fill an engine several times over.
  it('adds up the calls of all gateways', async () => {
    const { clock, occupancies } = gateways(3);
    const call = occupancies[0]!.enter('engine', 'prefills');
    occupancies[1]!.enter('engine', 'wholes');
    await clock.advance(25);
    expect(occupancies[2]!.total('engine')).toEqual({ prefills: 1, continuations: 0, wholes: 1 });
    call.dispose();
    await clock.advance(25);
    expect(occupancies[2]!.total('engine')).toEqual({ prefills: 0, continuations: 0, wholes: 1 });
  });

  // Guards against late calls of one gateway that can't see who else waits for an engine.
  it('tells the others which calls wait on time, and when none does any more', async () => {
    const { clock, occupancies } = gateways(3);
    const demand = new Map([['engine', 2]]);
    occupancies[0]!.tellDemand(() => demand);
    occupancies[1]!.tellDemand(() => new Map([['engine', 1]]));
    await clock.advance(25);
    expect(occupancies.map((occupancy) => occupancy.waitingElsewhere('engine'))).toEqual([1, 2, 3]);
    demand.clear();
    await clock.advance(25);
    expect(occupancies[2]!.waitingElsewhere('engine')).toBe(1);
  });

  it('makes up for a lost message with a later one', async () => {
    let losing = true;
    const { clock, occupancies } = gateways(2, () => losing);
    occupancies[0]!.enter('engine', 'prefills');
    await clock.advance(100);
    expect(occupancies[1]!.total('engine').prefills).toBe(0);
    losing = false;
    await clock.advance(300);
    expect(occupancies[1]!.total('engine').prefills).toBe(1);
  });

  // Guards against calls of a gateway that was killed and that would keep an engine full for ever.
  it('forgets a gateway that is no longer heard', async () => {
    let gone = false;
    const { clock, occupancies } = gateways(2, (message) => gone && message.includes('"g0"'));
    occupancies[0]!.enter('engine', 'prefills');
    await clock.advance(50);
    expect(occupancies[1]!.total('engine').prefills).toBe(1);
    gone = true;
    await clock.advance(1_300);
    expect(occupancies[1]!.total('engine').prefills).toBe(0);
    expect(occupancies[1]!.heardMs('g0')).toBeGreaterThan(1_000);
  });

  it('ignores messages that it can not read', async () => {
    const { clock, occupancies, listeners } = gateways(2);
    await clock.advance(0);
    for (const message of ['', '{', '[]', '{"method":"occupancy","params":{"from":"x"}}']) listeners.get('10.0.0.0')!(message);
    expect(occupancies[0]!.total('engine')).toEqual({ prefills: 0, continuations: 0, wholes: 0 });
  });
});

describe('callerAddresses', () => {
  const own = { callerAddress: 'own:80', ready: true, configured: true };

  const known = (address: string, changes: Partial<KnownGateway> = {}): KnownGateway => ({
    member: { callerAddress: address, leaving: false, revision: 1 }, suspected: false, heardMs: 100, ...changes,
  });

  // Guards against a host that is off and is named until membership agrees on its loss, 6 s on a played day.
  it('leaves out a gateway that is no longer heard', () => {
    expect(callerAddresses(own, [known('a'), known('b', { heardMs: 2_000 })])).toEqual(['own:80', 'a']);
  });

  it('leaves out those that leave, know no configuration or are suspected', () => {
    const leaving = known('a', { member: { callerAddress: 'a', leaving: true, revision: 1 } });
    const empty = known('b', { member: { callerAddress: 'b', leaving: false, revision: 0 } });
    expect(callerAddresses(own, [leaving, empty, known('c', { suspected: true }), known('d')])).toEqual(['own:80', 'd']);
  });

  // Guards against a gateway that was paused and believes all others gone.
  it('follows membership where nobody is heard', () => {
    expect(callerAddresses(own, [known('a', { heardMs: 9_000 }), known('b', { heardMs: null })]))
      .toEqual(['own:80', 'a', 'b']);
  });

  // Guards against a large fleet in which the few gateways that are heard get all callers.
  it('follows membership where not every gateway sends messages to this one', () => {
    const many = Array.from({ length: 40 }, (_, index) => known(`a${index}`, { heardMs: index < 5 ? 100 : null }));
    expect(callerAddresses(own, many)).toHaveLength(41);
  });

  it('names itself while it stops only if there is nobody else', () => {
    const stopping = { ...own, ready: false };
    expect(callerAddresses(stopping, [known('a')])).toEqual(['a']);
    expect(callerAddresses(stopping, [])).toEqual(['own:80']);
  });
});

describe('sampleAddresses', () => {
  const all = Array.from({ length: 200 }, (_, index) => `a${index}`);

  // Guards against an answer that is too long for callers, and a large fleet of which they use only the first gateways.
  it('names no more than callers take, and over some answers every gateway', () => {
    const random = new SeededRandom(7);
    const answers = Array.from({ length: 40 }, () => sampleAddresses(all, MAX_ADDRESSES, random));
    expect(answers.map((answer) => new Set(answer).size)).toEqual(answers.map(() => 64));
    expect(new Set(answers.flat()).size).toBe(200);
  });

  it('names all of a small fleet once', () => {
    expect([...sampleAddresses(['a', 'b', 'c'], MAX_ADDRESSES, new SeededRandom(7))].sort()).toEqual(['a', 'b', 'c']);
  });
});
