import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { CONFIGURATION_KEY } from '../src/core/configuration/applying.js';
import { Configuration } from '../src/core/configuration/configuration.js';
import type { ApplyOutcome } from '../src/core/configuration/revisions.js';
import { safeParseFleet } from '../src/core/configuration/fleet.js';
import { ok } from '../src/core/result.js';
import { Revisions, decodeRecord, hashFile } from '../src/core/configuration/revisions.js';
import { SimulatedClock } from '../src/emulator/clock.js';
import { EmulatedEntry, EmulatedMembers, silent } from '../src/emulator/entry.js';
import { KeyValueStore } from '../src/emulator/keyvalue.js';
import { EmulatedNetwork } from '../src/emulator/peers.js';
import { SeededRandom } from '../src/emulator/random.js';

const fileNamed = (name: string): string => `[fleet]\nname = ${name}\n\n[model.a]\nversion = 1\n\n[model.b]\nversion = 1\n`;

class World {
  public readonly clock = new SimulatedClock();

  public readonly store = new KeyValueStore(this.clock);

  public readonly network = new EmulatedNetwork(this.clock);

  public readonly members = new EmulatedMembers();

  public readonly hosts: EmulatedEntry[] = [];

  public readonly entries: Configuration[] = [];

  /** Hashes of all files that were in force anywhere. */
  public readonly seen = new Set<string>();

  private readonly highest = new Map<Configuration, number>();

  public constructor(count: number, private readonly seed = 1) {
    for (let index = 0; index < count; index += 1) this.start(index);
  }

  public start(index: number): void {
    const address = `10.0.0.${index}:1`;
    const host = new EmulatedEntry(address, this.clock, this.network, this.store);
    const entry = new Configuration({
      clock: host.clock,
      random: new SeededRandom(this.seed * 100 + this.highest.size),
      keyValue: host.keyValue,
      members: this.members.view(address, String(this.highest.size)),
      peers: host.peers,
      server: this.network.listen(address),
      seeds: ['10.0.0.0:1', '10.0.0.1:1'],
      parse: safeParseFleet,
      log: silent,
      meter: silent,
    });
    this.highest.set(entry, 0);
    this.hosts[index] = host;
    this.entries[index] = entry;
    void entry.run(new AbortController().signal);
  }

  public partition(index: number, cut: boolean): void {
    for (const { address } of this.hosts) this.network.setCut(this.hosts[index]!.address, address, cut);
  }

  /** I9: no process ever goes back to a lower revision. */
  public check(): void {
    for (const [entry, revision] of this.highest) {
      const now = entry.show()?.revision ?? 0;
      expect(now).toBeGreaterThanOrEqual(revision);
      this.highest.set(entry, now);
      this.seen.add(entry.show()?.hash ?? '');
    }
  }

  public async advance(durationMs: number): Promise<void> {
    for (let elapsed = 0; elapsed < durationMs; elapsed += 50) {
      await this.clock.advance(Math.min(50, durationMs - elapsed));
      this.check();
    }
  }

  public async apply(index: number, file: string, base?: number, timeoutMs = 3_000): Promise<ApplyOutcome> {
    let outcome: ApplyOutcome | null = null;
    void this.entries[index]!.apply(file, base, timeoutMs).then((result) => {
      outcome = result;
    });
    while (outcome === null) await this.advance(10);
    return outcome;
  }

  public revisions(): number[] {
    return this.entries.map((entry) => entry.show()?.revision ?? 0);
  }
}

describe('apply', () => {
  it('refuses an invalid file and one over the size limit before any call', async () => {
    const world = new World(1);
    const calls = { ...world.store.calls };
    expect(await world.apply(0, 'nothing', undefined, 100)).toMatchObject({ type: 'invalid' });
    const large = `${fileNamed('a')}${'#'.repeat(1_000_000)}`;
    expect(await world.apply(0, large, undefined, 100)).toMatchObject({ type: 'invalid', issues: [{ code: 'too_large' }] });
    expect(world.store.calls.transact).toBe(calls.transact);
  });

  it('tells one of two racing operators the winning revision', async () => {
    const world = new World(2);
    await world.apply(0, fileNamed('a'));
    const outcomes = [world.entries[0]!.apply(fileNamed('b'), 1, 3_000), world.entries[1]!.apply(fileNamed('c'), 1, 3_000)];
    await world.advance(500);
    const types = (await Promise.all(outcomes)).map(({ type }) => type);
    expect(types.sort()).toEqual(['accepted', 'conflict']);
    expect(await world.apply(0, fileNamed('d'), 1)).toMatchObject({ type: 'conflict', revision: 2 });
  });

  it('tells the winner to an operator whose entry was paused past the deadline', async () => {
    const world = new World(2);
    await world.apply(0, fileNamed('a'));
    world.hosts[0]!.pause();
    const late = world.entries[0]!.apply(fileNamed('b'), 1, 1_000);
    await world.apply(1, fileNamed('c'));
    await world.advance(2_000);
    world.hosts[0]!.resume();
    await world.advance(500);
    expect(await late).toMatchObject({ type: 'conflict', revision: 2 });
  });

  // Guards against an operator who is told `conflict` or `unknown` about a file that is in force.
  it('settles a lost answer, also when a later file has replaced the attempt', async () => {
    const world = new World(2);
    world.hosts[0]!.connection.loseAnswers = 1;
    const first = world.entries[0]!.apply(fileNamed('a'), undefined, 5_000);
    await world.advance(500);
    expect(await world.apply(1, fileNamed('b'), 1)).toMatchObject({ type: 'accepted', revision: 2 });
    await world.advance(5_000);
    expect(await first).toMatchObject({ type: 'accepted', revision: 1, hash: hashFile(fileNamed('a')) });
  });

  it('says unknown when the service stays down after the write, and unavailable before it', async () => {
    const world = new World(1);
    world.hosts[0]!.connection.loseAnswers = 1;
    const outcome = world.entries[0]!.apply(fileNamed('a'), undefined, 3_000);
    await world.advance(10);
    world.store.down = true;
    await world.advance(4_000);
    expect((await outcome).type).toBe('unknown');
    expect((await world.apply(0, fileNamed('b'))).type).toBe('unavailable');
  });
});

describe('propagation', () => {
  it.each([
    { name: 'two seconds', targetMs: 2_000, cut: [] },
    { name: 'five seconds when only peers can inform some', targetMs: 5_000, cut: [2, 3, 4, 5] },
  ])('reaches every entry within $name', async ({ targetMs, cut }) => {
    const world = new World(6);
    for (const index of cut) world.hosts[index]!.connection.cut = true;
    await world.advance(1_000);
    await world.apply(0, fileNamed('a'));
    await world.advance(targetMs);
    expect(world.revisions()).toEqual([1, 1, 1, 1, 1, 1]);
  });

  it('sends only the changed sections to a peer that has the base', async () => {
    const world = new World(2);
    await world.apply(0, fileNamed('a'));
    await world.advance(1_000);
    for (const { connection } of world.hosts) connection.cut = true;
    world.hosts[0]!.connection.cut = false;
    world.store.breakWatches();
    await world.advance(1_500);
    await world.apply(0, fileNamed('a').replace('version = 1', 'version = 2'));
    await world.advance(2_000);
    expect(world.revisions()).toEqual([2, 2]);
    expect(world.entries[1]!.dump()).toMatchObject({ peer_messages: { sections: 1 } });
  });

  it('holds watches on three members only', async () => {
    const world = new World(6);
    await world.apply(0, fileNamed('a'));
    await world.advance(3_000);
    expect(world.entries.filter((entry) => entry.dump().watching === true)).toHaveLength(3);
  });

  it('lets a starting entry take the highest revision while the service is down', async () => {
    const world = new World(3);
    await world.apply(0, fileNamed('a'));
    await world.advance(2_000);
    world.store.down = true;
    world.start(3);
    await world.advance(1_500);
    expect(world.revisions()[3]).toBe(1);
  });

  it('stays without a file while nothing answers', async () => {
    const world = new World(0);
    world.store.down = true;
    world.start(0);
    await world.advance(5_000);
    expect(world.entries[0]!.show()).toBeNull();
  });

  // Guards against a malformed message from a peer that stops the process or is taken.
  it('refuses malformed messages and files with a wrong hash', async () => {
    const world = new World(2);
    const server = world.network.listen('10.0.0.0:1');
    server.register('configuration.pull', () => Promise.resolve(ok({
      type: 'whole', revision: 9, hash: 'wrong', file: fileNamed('z'),
    })));
    const client = world.network.client('10.0.0.9:1');
    const call = client.call('10.0.0.1:1', 'configuration.push', { revision: 'x' }, { timeoutMs: 50 });
    await world.advance(50);
    expect(await call).toMatchObject({ success: false, error: { code: 'rejected' } });
    const push = { revision: 9, address: '10.0.0.0:1' };
    void client.call('10.0.0.1:1', 'configuration.push', push, { timeoutMs: 50 });
    await world.advance(500);
    expect(world.revisions()[1]).toBe(0);
  });
});

const faults: Record<string, (world: World, index: number) => void> = {
  pause: (world, index) => world.hosts[index]!.pause(),
  resume: (world, index) => world.hosts[index]!.resume(),
  cut: (world, index) => Object.assign(world.hosts[index]!.connection, { cut: true }),
  mend: (world, index) => Object.assign(world.hosts[index]!.connection, { cut: false }),
  outage: ({ store }) => Object.assign(store, { down: true }),
  recovery: ({ store }) => Object.assign(store, { down: false }),
  lostAnswer: ({ store }) => Object.assign(store, { loseAnswers: 1 }),
  brokenWatches: ({ store }) => store.breakWatches(),
  staleReads: (world, index) => Object.assign(world.hosts[index]!, { staleReads: true }),
  freshReads: (world, index) => Object.assign(world.hosts[index]!, { staleReads: false }),
  slow: ({ store }) => Object.assign(store, { latencyMs: 1_200 }),
  fast: ({ store }) => Object.assign(store, { latencyMs: 2 }),
  partition: (world, index) => world.partition(index, true),
  replace: (world, index) => {
    world.hosts[index]!.kill();
    world.start(index);
  },
};

const step = fc.record({
  action: fc.constantFrom('apply', 'apply', 'apply', ...Object.keys(faults)),
  index: fc.nat(3),
  waitMs: fc.integer({ min: 1, max: 2_000 }),
});

/** Accepted revisions are unique, refused files are never in force, no process goes back, and all agree in the end. */
const neverReverts = fc.asyncProperty(fc.array(step, { maxLength: 25, size: 'max' }), async (schedule) => {
  const world = new World(4, 3);
  const accepted = new Map<number, string>();
  const refused = new Set<string>();
  for (const [round, { action, index, waitMs }] of schedule.entries()) {
    if (action === 'apply') {
      const file = fileNamed(`n${round}`);
      void world.entries[index]!.apply(file, undefined, 2_000).then((outcome) => {
        if (['conflict', 'unavailable'].includes(outcome.type)) refused.add(hashFile(file));
        if (outcome.type !== 'accepted') return;
        expect(accepted.get(outcome.revision) ?? outcome.hash).toBe(outcome.hash);
        accepted.set(outcome.revision, outcome.hash);
      });
    } else faults[action]!(world, index);
    await world.advance(waitMs);
  }
  for (let index = 0; index < 4; index += 1) {
    world.hosts[index]!.resume();
    faults.mend!(world, index);
    world.partition(index, false);
  }
  Object.assign(world.store, { down: false, latencyMs: 2, loseAnswers: 0 });
  await world.advance(20_000);
  const latest = Math.max(0, ...accepted.keys());
  const inForce = world.entries.map((entry) => entry.show());
  for (const file of inForce) {
    expect(file?.revision ?? 0).toBeGreaterThanOrEqual(latest);
    expect(file?.hash).toBe(inForce[0]?.hash);
    expect(accepted.get(file?.revision ?? 0) ?? file?.hash).toBe(file?.hash);
  }
  expect([...refused].filter((hash) => world.seen.has(hash))).toEqual([]);
  const stored = world.store.peek(CONFIGURATION_KEY);
  expect(inForce[0]?.revision).toBe(decodeRecord(stored ?? null)?.revision);
});

describe('random faults', () => {
  it('never revert a file, and all entries agree afterwards', async () => {
    await fc.assert(neverReverts, { seed: 21, numRuns: 40 });
  });

  it('are caught when a process takes a lower revision', async () => {
    const { adopt } = Revisions.prototype;
    Revisions.prototype.adopt = function adoptAnything(candidate, source) {
      Object.assign(this, { held: null });
      return adopt.call(this, candidate, source);
    };
    try {
      expect((await fc.check(neverReverts, { seed: 21, numRuns: 300, endOnFailure: true })).failed).toBe(true);
    } finally {
      Revisions.prototype.adopt = adopt;
    }
  });
});
