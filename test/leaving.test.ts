import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { EngineDirectory } from '../src/core/serving/directory.js';
import { Draining } from '../src/core/membership/draining.js';
import { HostState, Role } from '../src/core/interfaces/index.js';
import { fleetSchema, ServerState } from '../src/core/configuration/fleet.js';
import type { Fleet } from '../src/core/configuration/fleet.js';
import { LeavingServers } from '../src/core/serving/leaving.js';
import type { Member } from '../src/core/membership/members.js';
import type { AnnouncementListener } from '../src/core/membership/announcements.js';
import { ServerDirectory } from '../src/core/serving/servers.js';
import { SimulatedClock } from '../src/emulator/clock.js';
import { EmulatedHostList } from '../src/emulator/platform.js';
import { SeededRandom } from '../src/emulator/random.js';
import { EmulatedService, ServiceLedger } from '../src/emulator/service.js';

const log = { info: () => {}, warn: () => {}, error: () => {} };

function createFleet(state = ServerState.Active): Fleet {
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

/** Delivers each announcement to all listeners immediately. */
class AnnouncementChannelStub {
  public readonly sent: string[] = [];

  public peers: readonly Member[] = [];

  private readonly listeners = new Set<AnnouncementListener>();

  public publish(_topic: string, key: string, value: string): void {
    this.sent.push(value);
    for (const listener of this.listeners) listener(key, value);
  }

  public self() {
    return { incarnation: 'life-0' } as Member;
  }

  public live(): readonly Member[] {
    return this.peers;
  }

  public onAnnouncement(_topic: string, listener: AnnouncementListener) {
    this.listeners.add(listener);
    return { dispose: () => this.listeners.delete(listener) };
  }
}

class TestEntry {
  public readonly clock = new SimulatedClock();

  public readonly hosts = new EmulatedHostList();

  public readonly engines = new EngineDirectory();

  public readonly servers: ServerDirectory;

  public readonly leaving: LeavingServers;

  public constructor(public readonly channel = new AnnouncementChannelStub()) {
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
      clock, random, hosts: this.hosts, announcements: this.channel, engines: this.engines, servers: this.servers, log,
    });
    this.leaving.applyFleet(createFleet());
    void this.leaving.run(new AbortController().signal);
  }

  /** Tests whether the engine and the plain server, in this order, may receive new work. */
  public usable(): [boolean, boolean] {
    return [this.engines.serving('reader').length > 0, this.servers.choose('ledger', new Set()) !== null];
  }
}

describe('LeavingServers', () => {
  // Guards invariant I7: a signal from any source alone must stop new work to the server within 3 s.
  it.each([
    ['host list', (entry: TestEntry) => {
      entry.hosts.set('host-e', 'regina', HostState.Leaving);
      entry.hosts.set('host-l', 'regina', HostState.Leaving);
    }],
    ['fleet file', (entry: TestEntry) => entry.leaving.applyFleet(createFleet(ServerState.Draining))],
    ['own answers', (entry: TestEntry) => {
      entry.leaving.observe('engine-0', true, 'a');
      entry.leaving.observe('ledger-0', true);
    }],
    ['peers', (entry: TestEntry) => {
      const other = new TestEntry(entry.channel);
      other.leaving.observe('engine-0', true, 'a');
      other.leaving.observe('ledger-0', true);
    }],
  ])('sends a server no new work within 3 s after a signal from only the %s', async (_source, signal) => {
    const entry = new TestEntry();
    await entry.clock.advance(2_000);
    expect(entry.usable()).toEqual([true, true]);
    signal(entry);
    await entry.clock.advance(3_000);
    expect(entry.usable()).toEqual([false, false]);
  });

  // Guards against a lagging host list making a leaving server usable again.
  it('keeps a server that reports leaving out of use while the host list still states live', async () => {
    const entry = new TestEntry();
    await entry.clock.advance(1_000);
    entry.leaving.observe('ledger-0', true);
    await entry.clock.advance(60_000);
    expect(entry.usable()[1]).toBe(false);
  });

  // Guards against an engine staying unused after its replacement has started.
  it('makes a server usable again when a new incarnation reports that it is not leaving', async () => {
    const entry = new TestEntry();
    entry.leaving.observe('engine-0', false, 'a');
    entry.leaving.observe('engine-0', true, 'a');
    expect(entry.leaving.accepts('engine-0')).toBe(false);
    entry.leaving.observe('engine-0', false, 'b');
    expect(entry.leaving.accepts('engine-0')).toBe(true);
  });

  // Guards against use of a server that restarts on a host that is still leaving, and against late announcements about
  // its earlier incarnation.
  it('keeps the signal of the host list across a restart, and ignores announcements about an earlier incarnation', async () => {
    const entry = new TestEntry();
    entry.leaving.observe('engine-0', false, 'a');
    entry.hosts.set('host-e', 'regina', HostState.Leaving);
    await entry.clock.advance(2_000);
    entry.leaving.observe('engine-0', false, 'b');
    await entry.clock.advance(2_000);
    expect(entry.leaving.accepts('engine-0')).toBe(false);
    entry.hosts.set('host-e', 'regina', HostState.Live);
    await entry.clock.advance(2_000);
    expect(entry.leaving.accepts('engine-0')).toBe(true);
    for (const sent of [...entry.channel.sent]) entry.channel.publish('leaving', 'engine-0', sent);
    expect(entry.leaving.accepts('engine-0')).toBe(true);
  });

  // Guards against every entry of a large fleet reading the host list each second, and against the few entries that do
  // so not announcing what they find.
  it('receives the signal of the host list from the few entries that read it, also across a restart', async () => {
    const channel = new AnnouncementChannelStub();
    const reader = new TestEntry(channel);
    const entry = new TestEntry(channel);
    entry.leaving.observe('engine-0', false, 'a');
    let reads = 0;
    const { list } = reader.hosts;
    reader.hosts.list = () => {
      reads += 1;
      return list.call(reader.hosts);
    };
    // Among these members, this entry is not one of those that read the list often.
    channel.peers = Array.from({ length: 40 }, (_, index) => ({ incarnation: `other-${index}` }) as Member);
    reader.hosts.set('host-e', 'regina', HostState.Leaving);
    await reader.clock.advance(45_000);
    expect(reads).toBeLessThan(4);
    expect(entry.leaving.accepts('engine-0')).toBe(false);
    entry.leaving.observe('engine-0', false, 'b');
    expect(entry.leaving.accepts('engine-0')).toBe(false);
  });

  // Guards against an operator's change having no effect.
  it('makes a server usable again after an explicit change of the fleet file', async () => {
    const entry = new TestEntry();
    entry.leaving.applyFleet(createFleet(ServerState.Draining));
    expect(entry.leaving.accepts('ledger-0')).toBe(false);
    entry.leaving.applyFleet(createFleet());
    expect(entry.leaving.accepts('ledger-0')).toBe(true);
    expect(entry.usable()[1]).toBe(true);
  });

  // Guards invariant I7 for any order of signals: once a server is leaving, only a new incarnation or an explicit
  // change makes it usable again.
  it('never uses a leaving server again in any order of signals without a restart or explicit change', async () => {
    await fc.assert(fc.asyncProperty(
      fc.array(fc.constantFrom('live', 'leaving', 'absent', 'says-leaving', 'says-staying', 'note', 'wait'), { maxLength: 20 }),
      async (steps) => {
        const entry = new TestEntry();
        entry.leaving.observe('engine-0', false, 'a');
        let left = false;
        for (const step of steps) {
          if (step === 'live') entry.leaving.observeHosts([{ host: 'host-e', failureDomain: 'r', state: HostState.Live }]);
          if (step === 'leaving') entry.leaving.observeHosts([{ host: 'host-e', failureDomain: 'r', state: HostState.Leaving }]);
          if (step === 'absent') entry.leaving.observeHosts([]);
          if (step === 'says-leaving') entry.leaving.observe('engine-0', true, 'a');
          if (step === 'says-staying') entry.leaving.observe('engine-0', false, 'a');
          if (step === 'note') for (const sent of [...entry.channel.sent]) entry.channel.publish('leaving', 'engine-0', sent);
          if (step === 'wait') await entry.clock.advance(1_500);
          left ||= step === 'leaving' || step === 'says-leaving';
          expect(entry.leaving.accepts('engine-0')).toBe(!left);
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

  // Guards invariant I8: callers may cache the address for some seconds, and their requests must be served.
  it('accepts new requests until cached addresses have expired, then completes the running ones', async () => {
    const clock = new SimulatedClock();
    const steps: string[] = [];
    const draining = new Draining(members(steps), clock, log);
    const report = draining.drain();
    await clock.advance(7_900);
    const late = draining.trackRequest({ handOver: null, deadline: 20_000 });
    expect(late).not.toBeNull();
    await clock.advance(200);
    expect(draining.trackRequest({ handOver: null, deadline: 20_000 })).toBeNull();
    await clock.advance(1_900);
    late?.dispose();
    await clock.advance(1_000);
    expect(await report).toMatchObject({ finished: 1, handedOver: 0, cut: 0 });
    expect(steps).toEqual(['leaving', 'departed']);
  });

  // Guards against streams being cut off at the time limit of a drain, and against bookings being handed over.
  it('hands streams over at the time limit and lets other requests complete', async () => {
    const clock = new SimulatedClock();
    const draining = new Draining(members([]), clock, log);
    draining.trackRequest({ handOver: async () => true, deadline: 90_000 });
    const booking = draining.trackRequest({ handOver: null, deadline: 40_000 });
    const report = draining.drain();
    await clock.advance(35_000);
    booking?.dispose();
    await clock.advance(1_000);
    expect(await report).toMatchObject({ finished: 1, handedOver: 1, cut: 0 });
  });
});
