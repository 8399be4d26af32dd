import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { AddressSelector } from '../src/core/membership/addresses.js';
import { createIncarnation, Membership } from '../src/core/membership/membership.js';
import type { MembershipOptions } from '../src/core/membership/membership.js';
import { SimulatedClock } from '../src/emulator/clock.js';
import { EmulatedNetwork } from '../src/emulator/peers.js';
import { EmulatedProcess } from '../src/emulator/process.js';
import { SeededRandom } from '../src/emulator/random.js';
import { quietLog } from './support/fakes.js';

interface Node {
  readonly address: string;
  readonly membership: Membership;
  readonly addresses: AddressSelector;
  readonly process: EmulatedProcess;
}

class Cluster {
  public readonly clock = new SimulatedClock();

  public readonly network = new EmulatedNetwork(this.clock);

  public readonly nodes: Node[] = [];

  private replaced = 0;

  public constructor(count: number, private readonly opts: Partial<MembershipOptions> = {}) {
    for (let index = 0; index < count; index += 1) this.nodes.push(this.start(index));
  }

  public start(index: number, seed = index + 1): Node {
    const address = `10.0.0.${index}:7000`;
    const random = new SeededRandom(seed);
    const server = this.network.listen(address);
    const process = new EmulatedProcess(this.clock);
    const { clock } = process;
    const membership = new Membership({
      id: `entry-${index}`,
      incarnation: createIncarnation(this.clock, random),
      address,
      callerAddress: `10.0.0.${index}:8000`,
      failureDomain: `domain-${index % 3}`,
      leaving: false,
      revision: 0,
      load: 0,
    }, {
      clock, random, client: process.deferResults(this.network.client(address)), server, log: quietLog,
    }, { seeds: ['10.0.0.0:7000', '10.0.0.1:7000'], ...this.opts });
    void membership.run(new AbortController().signal);
    return {
      address, membership, process, addresses: new AddressSelector(membership, random),
    };
  }

  public kill(index: number): void {
    const { process, address } = this.nodes[index]!;
    process.kill();
    this.network.close(address);
  }

  public replace(index: number): void {
    this.kill(index);
    this.replaced += 1;
    this.nodes[index] = this.start(index, 100 + this.replaced);
  }

  public pause(index: number): void {
    this.nodes[index]!.process.pause();
    this.network.pause(this.nodes[index]!.address);
  }

  /** Lets timers fire before the messages received during the pause are read, which is the harder order. */
  public unpause(index: number): void {
    this.nodes[index]!.process.unpause();
    this.clock.after(1, () => this.network.unpause(this.nodes[index]!.address));
  }

  public cut(from: number, to: number, on: boolean): void {
    this.network.setCut(`10.0.0.${from}:7000`, `10.0.0.${to}:7000`, on);
  }

  public isolate(index: number, on: boolean): void {
    for (let other = 0; other < this.nodes.length; other += 1) {
      if (other === index) continue;
      this.cut(index, other, on);
      this.cut(other, index, on);
    }
  }

  /** Ids of the members that a node considers alive and does not suspect. */
  public unsuspectedIds(index: number): string[] {
    const { membership } = this.nodes[index]!;
    return membership.live().filter(({ incarnation }) => !membership.isSuspect(incarnation)).map(({ id }) => id).sort();
  }
}

describe('Membership', () => {
  // Guards against members that never discover each other when they are configured with two seeds only.
  it('lets six members that are configured with two seeds discover each other', async () => {
    const cluster = new Cluster(6);
    await cluster.clock.advance(4_000);
    for (let index = 0; index < 6; index += 1) expect(cluster.unsuspectedIds(index)).toHaveLength(5);
  });

  // Guards against address answers that name a killed entry for longer than the design allows.
  it('suspects a killed member within 5 s and removes it within another 4 s', async () => {
    const cluster = new Cluster(6);
    await cluster.clock.advance(4_000);
    cluster.kill(5);
    await cluster.clock.advance(5_000);
    for (let index = 0; index < 5; index += 1) expect(cluster.unsuspectedIds(index)).not.toContain('entry-5');
    await cluster.clock.advance(4_000);
    for (let index = 0; index < 5; index += 1) expect(cluster.nodes[index]!.membership.live()).toHaveLength(4);
  });

  // Guards against members that are wrongly declared dead when one direction of one link loses messages.
  it('keeps a member that only one other member cannot reach', async () => {
    const cluster = new Cluster(6);
    await cluster.clock.advance(4_000);
    cluster.cut(0, 1, true);
    for (let second = 0; second < 30; second += 1) {
      await cluster.clock.advance(1_000);
      for (let index = 2; index < 6; index += 1) expect(cluster.nodes[index]!.membership.live()).toHaveLength(5);
      expect(cluster.nodes[0]!.membership.live()).toHaveLength(5);
    }
  });

  // Guards against a replaced host that inherits the dead state or the fields of its predecessor.
  it('treats a new process at the same address as a new member', async () => {
    const cluster = new Cluster(6);
    await cluster.clock.advance(4_000);
    const old = cluster.nodes[3]!.membership.self().incarnation;
    cluster.replace(3);
    await cluster.clock.advance(4_000);
    const { incarnation } = cluster.nodes[3]!.membership.self();
    for (const index of [0, 1, 2, 4, 5]) {
      const held = cluster.nodes[index]!.membership.live().map((member) => member.incarnation);
      expect(held).toContain(incarnation);
      expect(held).not.toContain(old);
    }
  });

  // Guards against a partitioned side that never rejoins because its members have been declared dead.
  it('rejoins both sides of a partition that lasted longer than the suspicion time', async () => {
    const cluster = new Cluster(6);
    await cluster.clock.advance(4_000);
    const cut = (on: boolean): void => {
      for (const a of [0, 1, 2]) {
        for (const b of [3, 4, 5]) {
          cluster.cut(a, b, on);
          cluster.cut(b, a, on);
        }
      }
    };
    cut(true);
    await cluster.clock.advance(60_000);
    for (let index = 0; index < 6; index += 1) expect(cluster.unsuspectedIds(index)).toHaveLength(2);
    cut(false);
    await cluster.clock.advance(30_000);
    for (let index = 0; index < 6; index += 1) expect(cluster.unsuspectedIds(index)).toHaveLength(5);
  });

  // Guards against callers that are sent to a leaving entry after the time that its planned stop waits for.
  it('spreads the leaving flag to all members within spreadMs', async () => {
    const cluster = new Cluster(6);
    await cluster.clock.advance(4_000);
    cluster.nodes[2]!.membership.update({ leaving: true });
    await cluster.clock.advance(cluster.nodes[2]!.membership.spreadMs());
    for (const index of [0, 1, 3, 4, 5]) {
      const row = cluster.nodes[index]!.membership.live().find(({ id }) => id === 'entry-2');
      expect(row?.leaving).toBe(true);
    }
  });

  // Guards against outdated loads and revisions, which happen if only membership changes are gossiped.
  it('sends load and revision of each member to all others', async () => {
    const cluster = new Cluster(6);
    await cluster.clock.advance(4_000);
    cluster.nodes[4]!.membership.update({ load: 0.5, revision: 7 });
    await cluster.clock.advance(4_000);
    for (const index of [0, 1, 2, 3, 5]) {
      const row = cluster.nodes[index]!.membership.live().find(({ id }) => id === 'entry-4');
      expect(row).toMatchObject({ load: 0.5, revision: 7 });
    }
  });

  // Guards against malformed or oversized messages that change the roster or stop the process.
  it('rejects messages that do not fit the schema', async () => {
    const cluster = new Cluster(2);
    await cluster.clock.advance(2_000);
    const client = cluster.network.client('10.9.9.9:1');
    for (const method of ['probe', 'probeIndirect', 'exchange']) {
      const call = client.call(cluster.nodes[0]!.address, method, { from: [1], rows: 'x' }, { timeoutMs: 100 });
      await cluster.clock.advance(100);
      expect(await call).toMatchObject({ success: false, error: { code: 'rejected' } });
    }
    expect(cluster.unsuspectedIds(0)).toEqual(['entry-1']);
  });

  // Guards against input that throws, makes a member accept itself as dead, or grows its roster without limit.
  it('keeps its identity and a bounded roster after arbitrary messages', async () => {
    const cluster = new Cluster(2);
    await cluster.clock.advance(2_000);
    const own = cluster.nodes[0]!.membership.self();
    const row = fc.tuple(
      fc.string(),
      fc.constantFrom(own.incarnation, 'x-1', ''),
      fc.constantFrom(own.address, '10.9.9.9:1'),
      fc.string(),
      fc.string(),
      fc.constantFrom('alive', 'suspect', 'dead', 'gone'),
      fc.integer(),
      fc.boolean(),
      fc.integer(),
      fc.integer(),
      fc.double(),
    );
    const message = fc.oneof(fc.jsonValue(), fc.record({ from: row, rows: fc.array(row, { maxLength: 4 }) }));
    const client = cluster.network.client('10.9.9.9:1');
    await fc.assert(fc.asyncProperty(fc.constantFrom('probe', 'exchange'), message, async (method, params) => {
      void client.call(own.address, method, params, { timeoutMs: 100 });
      await cluster.clock.advance(10);
      expect(cluster.nodes[0]!.membership.self().incarnation).toBe(own.incarnation);
      expect(cluster.nodes[0]!.membership.live().length).toBeLessThan(4);
    }), { seed: 31, numRuns: 300 });
  });
});

const NODES = 5;
const nodeIndex = fc.integer({ min: 0, max: NODES - 1 });

/** One member is unreachable for a moment, and another one is paused before it receives the refutation. */
const pauseEpisodes = fc.array(fc.record({
  victim: nodeIndex,
  observer: nodeIndex,
  isolateMs: fc.integer({ min: 300, max: 2_000 }),
  pauseAfterMs: fc.integer({ min: 0, max: 500 }),
  pauseMs: fc.integer({ min: 1_300, max: 12_000 }),
}), { minLength: 1, maxLength: 3 });

/** Healthy members that a running member has removed; `excused` ones were paused themselves and don't count. */
function findDropped(cluster: Cluster, excused: ReadonlySet<number>): string[] {
  return cluster.nodes.flatMap(({ membership, process }, index) => {
    if (!process.running) return [];
    const held = new Set(membership.live().map(({ id }) => id));
    return cluster.nodes.flatMap((_, other) => (
      other === index || excused.has(other) || held.has(`entry-${other}`) ? [] : [`entry-${index} dropped entry-${other}`]
    ));
  });
}

async function runPauseEpisodes(
  cluster: Cluster,
  episodes: (typeof pauseEpisodes extends fc.Arbitrary<infer T> ? T : never),
) {
  await cluster.clock.advance(5_000);
  for (const {
    victim, observer, isolateMs, pauseAfterMs, pauseMs,
  } of episodes) {
    if (victim === observer) continue;
    const { membership: watching } = cluster.nodes[observer]!;
    const { incarnation } = cluster.nodes[victim]!.membership.self();
    cluster.isolate(victim, true);
    cluster.clock.after(isolateMs, () => cluster.isolate(victim, false));
    // The pause begins while the observer holds the suspicion, and ends after the refutation was sent.
    const suspicion = watching.onChange(() => {
      if (!watching.isSuspect(incarnation)) return;
      suspicion.dispose();
      cluster.clock.after(pauseAfterMs, () => cluster.pause(observer));
      cluster.clock.after(pauseAfterMs + pauseMs, () => cluster.unpause(observer));
    });
    // A removed member may be added again at once, so every change is checked.
    let wrong: string[] = [];
    const check = (): void => {
      if (wrong.length === 0) wrong = findDropped(cluster, new Set([observer]));
    };
    const subscriptions = cluster.nodes.map(({ membership }) => membership.onChange(check));
    await cluster.clock.advance(isolateMs + pauseAfterMs + pauseMs + 20_000);
    suspicion.dispose();
    for (const subscription of subscriptions) subscription.dispose();
    if (wrong.length > 0) return wrong;
  }
  return [];
}

describe('Membership under faults', () => {
  // Guards against a process that resumes from a pause and declares members dead whose refutations it has not read yet.
  it('keeps all healthy members at an observer that was paused', async () => {
    await fc.assert(fc.asyncProperty(pauseEpisodes, async (episodes) => {
      expect(await runPauseEpisodes(new Cluster(NODES), episodes)).toEqual([]);
    }), { seed: 21, numRuns: 60 });
  });

  // Guards the previous check itself: it must fail for an observer that ignores its pauses.
  it('fails the pause check when an observer ignores its own pauses', async () => {
    const details = await fc.check(fc.asyncProperty(pauseEpisodes, async (episodes) => (
      (await runPauseEpisodes(new Cluster(NODES, { pauseToleranceMs: Infinity }), episodes)).length === 0
    )), { seed: 21, numRuns: 60, endOnFailure: true });
    expect(details.failed).toBe(true);
  });

  // Guards against members that stay missing, or dead ones that stay listed, after faults have ended.
  it('lists exactly the running members at every node once faults have ended', async () => {
    const fault = fc.record({
      type: fc.constantFrom('replace', 'pause', 'isolate', 'one_way'),
      at: fc.integer({ min: 0, max: 20_000 }),
      forMs: fc.integer({ min: 100, max: 15_000 }),
      a: nodeIndex,
      b: nodeIndex,
    });
    await fc.assert(fc.asyncProperty(fc.array(fault, { maxLength: 6 }), async (faults) => {
      const cluster = new Cluster(NODES);
      await cluster.clock.advance(5_000);
      for (const {
        type, at, forMs, a, b,
      } of faults) {
        cluster.clock.after(at, () => {
          if (type === 'replace') cluster.replace(a);
          if (type === 'pause') cluster.pause(a);
          if (type === 'isolate') cluster.isolate(a, true);
          if (type === 'one_way') cluster.cut(a, b, true);
        });
        cluster.clock.after(at + forMs, () => {
          if (type === 'pause') cluster.unpause(a);
          if (type === 'isolate') cluster.isolate(a, false);
          if (type === 'one_way') cluster.cut(a, b, false);
        });
      }
      await cluster.clock.advance(35_000 + 60_000);
      const all = cluster.nodes.map(({ membership }) => membership.self().incarnation).sort();
      for (const { membership } of cluster.nodes) {
        const held = [...membership.live().map(({ incarnation }) => incarnation), membership.self().incarnation];
        expect(held.sort()).toEqual(all);
        expect(membership.live().filter(({ incarnation }) => membership.isSuspect(incarnation))).toEqual([]);
      }
    }), { seed: 22, numRuns: 40 });
  });

  // Guards invariant I8: a caller that is sent to an entry after its planned stop finds no process there.
  it('returns no address of a leaving entry once spreadMs has passed', async () => {
    const fault = fc.record({
      type: fc.constantFrom('pause', 'one_way'), forMs: fc.integer({ min: 500, max: 20_000 }), a: nodeIndex, b: nodeIndex,
    });
    await fc.assert(fc.asyncProperty(nodeIndex, fc.array(fault, { maxLength: 2 }), async (leaver, faults) => {
      const cluster = new Cluster(NODES);
      await cluster.clock.advance(5_000);
      for (const {
        type, forMs, a, b,
      } of faults) {
        if (type === 'pause' && a !== leaver) {
          cluster.pause(a);
          cluster.clock.after(forMs, () => cluster.unpause(a));
        } else if (type === 'one_way') cluster.cut(a, b, true);
      }
      const { membership } = cluster.nodes[leaver]!;
      membership.update({ leaving: true });
      await cluster.clock.advance(membership.spreadMs());
      for (let time = 0; time < 25_000; time += 100) {
        for (const { process, addresses } of cluster.nodes) {
          const answer = process.running ? addresses.choose() : null;
          if (answer?.success === true) expect(answer.data.address).not.toBe(membership.self().callerAddress);
        }
        await cluster.clock.advance(100);
      }
    }), { seed: 23, numRuns: 60 });
  });
});
