import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { EngineDirectory } from '../src/core/serving/directory.js';
import { Draining } from '../src/core/membership/draining.js';
import { HostState, Role } from '../src/core/edges/index.js';
import { fleetSchema, ServerState } from '../src/core/configuration/fleet.js';
import type { Fleet } from '../src/core/configuration/fleet.js';
import { LeavingServers } from '../src/core/serving/leaving.js';
import type { Member } from '../src/core/membership/members.js';
import type { NoteListener } from '../src/core/membership/notes.js';
import { ServerDirectory } from '../src/core/serving/servers.js';
import { SimulatedClock } from '../src/emulator/clock.js';
import { EmulatedHostList } from '../src/emulator/platform.js';
import { SeededRandom } from '../src/emulator/random.js';
import { EmulatedService, ServiceLedger } from '../src/emulator/service.js';

const log = { info: () => {}, warn: () => {}, error: () => {} };

function fleet(state = ServerState.Active): Fleet {
  return fleetSchema.parse({
    name: 'shop',
    models: [{ name: 'reader', version: '1' }],
    engines: [{
      name: 'engine-0',
      address: '10.0.1.1:8100',
      host: 'host-e',
      failureDomain: 'regina',
      models: ['reader'],
      fencing: 'enforced',
      state,
    }],
    services: [{ name: 'ledger', nonIdempotent: ['book'] }],
    servers: [{
      name: 'ledger-0', service: 'ledger', address: '10.0.2.1:8200', host: 'host-l', failureDomain: 'regina', state,
    }],
    workspaces: [{ name: 'dealer' }],
  });
}

/** Notes that reach every part at once. */
class Board {
  public readonly sent: string[] = [];

  public others: readonly Member[] = [];

  private readonly listeners = new Set<NoteListener>();

  public publish(_topic: string, key: string, value: string): void {
    this.sent.push(value);
    for (const listener of this.listeners) listener(key, value);
  }

  public self() {
    return { incarnation: 'life-0' } as Member;
  }

  public live(): readonly Member[] {
    return this.others;
  }

  public onNote(_topic: string, listener: NoteListener) {
    this.listeners.add(listener);
    return { dispose: () => this.listeners.delete(listener) };
  }
}

class Rig {
  public readonly clock = new SimulatedClock();

  public readonly hosts = new EmulatedHostList();

  public readonly engines = new EngineDirectory();

  public readonly servers: ServerDirectory;

  public readonly leaving: LeavingServers;

  public constructor(public readonly board = new Board()) {
    const random = new SeededRandom(1);
    const { clock } = this;
    this.servers = new ServerDirectory('regina', random);
    this.servers.set({
      name: 'ledger-0',
      service: 'ledger',
      host: 'host-l',
      failureDomain: 'regina',
      available: true,
      client: new EmulatedService('ledger-0', clock, new ServiceLedger()),
    });
    this.engines.set({
      name: 'engine-0', failureDomain: 'regina', models: ['reader'], role: Role.Mixed, available: true,
    });
    this.hosts.set('host-e', 'regina');
    this.hosts.set('host-l', 'regina');
    this.leaving = new LeavingServers({
      clock, random, hosts: this.hosts, notes: this.board, engines: this.engines, servers: this.servers, log,
    });
    this.leaving.follow(fleet());
    void this.leaving.run(new AbortController().signal);
  }

  /** Whether the engine and the plain server may get new work. */
  public usable(): [boolean, boolean] {
    return [this.engines.serving('reader').length > 0, this.servers.choose('ledger', new Set()) !== null];
  }
}

describe('LeavingServers', () => {
  // Guards I7: each source alone must stop new work within 3 s.
  it.each([
    ['host list', (rig: Rig) => {
      rig.hosts.set('host-e', 'regina', HostState.Leaving);
      rig.hosts.set('host-l', 'regina', HostState.Leaving);
    }],
    ['fleet file', (rig: Rig) => rig.leaving.follow(fleet(ServerState.Draining))],
    ['own answers', (rig: Rig) => {
      rig.leaving.observe('engine-0', true, 'a');
      rig.leaving.observe('ledger-0', true);
    }],
    ['peers', (rig: Rig) => {
      const other = new Rig(rig.board);
      other.leaving.observe('engine-0', true, 'a');
      other.leaving.observe('ledger-0', true);
    }],
  ])('takes the word of the %s alone', async (_source, signal) => {
    const rig = new Rig();
    await rig.clock.advance(2_000);
    expect(rig.usable()).toEqual([true, true]);
    signal(rig);
    await rig.clock.advance(3_000);
    expect(rig.usable()).toEqual([false, false]);
  });

  // Guards against a lagging list that brings a leaving server back.
  it('is not undone by a host list that says live', async () => {
    const rig = new Rig();
    await rig.clock.advance(1_000);
    rig.leaving.observe('ledger-0', true);
    await rig.clock.advance(60_000);
    expect(rig.usable()[1]).toBe(false);
  });

  // Guards against an engine that stays unused after it has been replaced.
  it('ends with a new incarnation of the server', async () => {
    const rig = new Rig();
    rig.leaving.observe('engine-0', false, 'a');
    rig.leaving.observe('engine-0', true, 'a');
    expect(rig.leaving.accepts('engine-0')).toBe(false);
    rig.leaving.observe('engine-0', false, 'b');
    expect(rig.leaving.accepts('engine-0')).toBe(true);
  });

  // Guards against a restart on a host that is still leaving, and against late news of the earlier life.
  it('keeps the word of the host list over a restart, and drops late notes', async () => {
    const rig = new Rig();
    rig.leaving.observe('engine-0', false, 'a');
    rig.hosts.set('host-e', 'regina', HostState.Leaving);
    await rig.clock.advance(2_000);
    rig.leaving.observe('engine-0', false, 'b');
    await rig.clock.advance(2_000);
    expect(rig.leaving.accepts('engine-0')).toBe(false);
    rig.hosts.set('host-e', 'regina', HostState.Live);
    await rig.clock.advance(2_000);
    expect(rig.leaving.accepts('engine-0')).toBe(true);
    for (const note of [...rig.board.sent]) rig.board.publish('leaving', 'engine-0', note);
    expect(rig.leaving.accepts('engine-0')).toBe(true);
  });

  // Guards against a list that every entry of a large fleet reads each second, and against readers that keep its word.
  it('learns from the few readers of the host list, also over a restart', async () => {
    const board = new Board();
    const reader = new Rig(board);
    const rig = new Rig(board);
    rig.leaving.observe('engine-0', false, 'a');
    let reads = 0;
    const { list } = reader.hosts;
    reader.hosts.list = () => {
      reads += 1;
      return list.call(reader.hosts);
    };
    // Among these members the own one is not a reader.
    board.others = Array.from({ length: 40 }, (_, index) => ({ incarnation: `other-${index}` }) as Member);
    reader.hosts.set('host-e', 'regina', HostState.Leaving);
    await reader.clock.advance(45_000);
    expect(reads).toBeLessThan(4);
    expect(rig.leaving.accepts('engine-0')).toBe(false);
    rig.leaving.observe('engine-0', false, 'b');
    expect(rig.leaving.accepts('engine-0')).toBe(false);
  });

  // Guards against an operator's word that does not count.
  it('ends with an explicit change of the fleet file', async () => {
    const rig = new Rig();
    rig.leaving.follow(fleet(ServerState.Draining));
    expect(rig.leaving.accepts('ledger-0')).toBe(false);
    rig.leaving.follow(fleet());
    expect(rig.leaving.accepts('ledger-0')).toBe(true);
    expect(rig.usable()[1]).toBe(true);
  });

  // Guards I7 over all orders of signals: once leaving, only a new life or an explicit change gives work back.
  it('holds under any order of signals', async () => {
    await fc.assert(fc.asyncProperty(
      fc.array(fc.constantFrom('live', 'leaving', 'absent', 'says-leaving', 'says-staying', 'note', 'wait'), { maxLength: 20 }),
      async (steps) => {
        const rig = new Rig();
        rig.leaving.observe('engine-0', false, 'a');
        let left = false;
        for (const step of steps) {
          if (step === 'live') rig.leaving.observeHosts([{ host: 'host-e', failureDomain: 'r', state: HostState.Live }]);
          if (step === 'leaving') rig.leaving.observeHosts([{ host: 'host-e', failureDomain: 'r', state: HostState.Leaving }]);
          if (step === 'absent') rig.leaving.observeHosts([]);
          if (step === 'says-leaving') rig.leaving.observe('engine-0', true, 'a');
          if (step === 'says-staying') rig.leaving.observe('engine-0', false, 'a');
          if (step === 'note') for (const note of [...rig.board.sent]) rig.board.publish('leaving', 'engine-0', note);
          if (step === 'wait') await rig.clock.advance(1_500);
          left ||= step === 'leaving' || step === 'says-leaving';
          expect(rig.leaving.accepts('engine-0')).toBe(!left);
        }
      },
    ), { seed: 7, numRuns: 100 });
  });
});

describe('Draining', () => {
  const members = (departed: string[]) => ({
    self: () => {
      throw new Error('unused');
    },
    live: () => [],
    update: () => departed.push('leaving'),
    onChange: () => ({ dispose: () => {} }),
    spreadMs: () => 3_000,
    depart: async () => {
      departed.push('departed');
    },
  });

  // Guards I8: callers may hold the address for some seconds, and their requests must be served.
  it('serves new requests until kept addresses have expired, then finishes what runs', async () => {
    const clock = new SimulatedClock();
    const steps: string[] = [];
    const draining = new Draining(members(steps), clock, log);
    const report = draining.drain();
    await clock.advance(7_900);
    const late = draining.begin({ handOver: null, deadline: 20_000 });
    expect(late).not.toBeNull();
    await clock.advance(200);
    expect(draining.begin({ handOver: null, deadline: 20_000 })).toBeNull();
    await clock.advance(1_900);
    late?.dispose();
    await clock.advance(1_000);
    expect(await report).toMatchObject({ finished: 1, handedOver: 0, cut: 0 });
    expect(steps).toEqual(['leaving', 'departed']);
  });

  // Guards against streams that are cut at the bound, and against bookings that are handed over.
  it('hands streams over at the bound and lets other requests end', async () => {
    const clock = new SimulatedClock();
    const draining = new Draining(members([]), clock, log);
    draining.begin({ handOver: async () => true, deadline: 90_000 });
    const booking = draining.begin({ handOver: null, deadline: 40_000 });
    const report = draining.drain();
    await clock.advance(35_000);
    booking?.dispose();
    await clock.advance(1_000);
    expect(await report).toMatchObject({ finished: 1, handedOver: 1, cut: 0 });
  });
});
