import { describe, expect, it } from 'vitest';
import { createIncarnation, Membership } from '../src/core/membership.js';
import type { MembershipOptions } from '../src/core/membership.js';
import { SimulatedClock } from '../src/emulator/clock.js';
import { EmulatedNetwork } from '../src/emulator/peers.js';
import { SeededRandom } from '../src/emulator/random.js';

const log = { info: () => {}, warn: () => {}, error: () => {} };

interface Node {
  readonly address: string;
  readonly membership: Membership;
  readonly stop: () => void;
}

class Cluster {
  public readonly clock = new SimulatedClock();

  public readonly network = new EmulatedNetwork(this.clock);

  public readonly nodes: Node[] = [];

  public constructor(count: number, private readonly opts: Partial<MembershipOptions> = {}) {
    for (let index = 0; index < count; index += 1) this.nodes.push(this.start(index));
  }

  public start(index: number, seed = index + 1): Node {
    const address = `10.0.0.${index}:7000`;
    const random = new SeededRandom(seed);
    const server = this.network.listen(address);
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
      clock: this.clock, random, client: this.network.client(address), server, log,
    }, { seeds: ['10.0.0.0:7000', '10.0.0.1:7000'], ...this.opts });
    const end = new AbortController();
    void membership.run(end.signal);
    return {
      address,
      membership,
      stop: () => {
        end.abort();
        this.network.close(address);
      },
    };
  }

  /** Ids that a node believes to be alive and does not suspect. */
  public seen(index: number): string[] {
    const { membership } = this.nodes[index]!;
    return membership.live().filter(({ incarnation }) => !membership.suspected(incarnation)).map(({ id }) => id).sort();
  }
}

describe('Membership', () => {
  // Guards against members that never learn of each other when they know only two seeds.
  it('brings six members together through two seeds', async () => {
    const cluster = new Cluster(6);
    await cluster.clock.advance(4_000);
    for (let index = 0; index < 6; index += 1) expect(cluster.seen(index)).toHaveLength(5);
  });

  // Guards against address answers that name a killed entry for longer than the design states.
  it('suspects a killed member within 5 s and drops it 3 s later', async () => {
    const cluster = new Cluster(6);
    await cluster.clock.advance(4_000);
    cluster.nodes[5]!.stop();
    await cluster.clock.advance(5_000);
    for (let index = 0; index < 5; index += 1) expect(cluster.seen(index)).not.toContain('entry-5');
    await cluster.clock.advance(4_000);
    for (let index = 0; index < 5; index += 1) expect(cluster.nodes[index]!.membership.live()).toHaveLength(4);
  });

  // Guards against false verdicts when one direction of one link loses messages.
  it('keeps a member that only one other cannot reach', async () => {
    const cluster = new Cluster(6);
    await cluster.clock.advance(4_000);
    cluster.network.setCut(cluster.nodes[0]!.address, cluster.nodes[1]!.address, true);
    for (let second = 0; second < 30; second += 1) {
      await cluster.clock.advance(1_000);
      for (let index = 2; index < 6; index += 1) expect(cluster.nodes[index]!.membership.live()).toHaveLength(5);
      expect(cluster.nodes[0]!.membership.live()).toHaveLength(5);
    }
  });

  // Guards against a replaced host that inherits the death, or the facts, of its predecessor.
  it('takes a new process at the same address as a new member', async () => {
    const cluster = new Cluster(6);
    await cluster.clock.advance(4_000);
    const old = cluster.nodes[3]!.membership.self().incarnation;
    cluster.nodes[3]!.stop();
    cluster.nodes[3] = cluster.start(3, 99);
    await cluster.clock.advance(4_000);
    const { incarnation } = cluster.nodes[3].membership.self();
    for (const index of [0, 1, 2, 4, 5]) {
      const held = cluster.nodes[index]!.membership.live().map((member) => member.incarnation);
      expect(held).toContain(incarnation);
      expect(held).not.toContain(old);
    }
  });

  // Guards against an isolated side that never rejoins after its members have been declared dead.
  it('heals a partition that outlasted the suspicion', async () => {
    const cluster = new Cluster(6);
    await cluster.clock.advance(4_000);
    const cut = (on: boolean): void => {
      for (const a of [0, 1, 2]) {
        for (const b of [3, 4, 5]) {
          cluster.network.setCut(cluster.nodes[a]!.address, cluster.nodes[b]!.address, on);
          cluster.network.setCut(cluster.nodes[b]!.address, cluster.nodes[a]!.address, on);
        }
      }
    };
    cut(true);
    await cluster.clock.advance(60_000);
    for (let index = 0; index < 6; index += 1) expect(cluster.seen(index)).toHaveLength(2);
    cut(false);
    await cluster.clock.advance(30_000);
    for (let index = 0; index < 6; index += 1) expect(cluster.seen(index)).toHaveLength(5);
  });

  // Guards against callers that are sent to a leaving entry after the time that its planned stop allows for.
  it('spreads the leaving flag within the stated time', async () => {
    const cluster = new Cluster(6);
    await cluster.clock.advance(4_000);
    cluster.nodes[2]!.membership.update({ leaving: true });
    await cluster.clock.advance(cluster.nodes[2]!.membership.spreadMs());
    for (const index of [0, 1, 3, 4, 5]) {
      const row = cluster.nodes[index]!.membership.live().find(({ id }) => id === 'entry-2');
      expect(row?.leaving).toBe(true);
    }
  });

  // Guards against load and revision that go stale because only membership changes are passed on.
  it('carries load and revision of each member to all others', async () => {
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
  it('refuses messages that do not fit the schema', async () => {
    const cluster = new Cluster(2);
    await cluster.clock.advance(2_000);
    const client = cluster.network.client('10.9.9.9:1');
    for (const method of ['probe', 'probeIndirect', 'exchange']) {
      const call = client.call(cluster.nodes[0]!.address, method, { from: [1], rows: 'x' }, { timeoutMs: 100 });
      await cluster.clock.advance(100);
      expect(await call).toMatchObject({ success: false, error: { code: 'rejected' } });
    }
    expect(cluster.seen(0)).toEqual(['entry-1']);
  });
});
