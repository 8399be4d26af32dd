import { describe, expect, it } from 'vitest';
import { SimulatedClock } from '../src/emulator/clock.js';
import { EmulatedMembers } from '../src/emulator/entry.js';
import { EmulatedNetwork } from '../src/emulator/peers.js';
import { SeededRandom } from '../src/emulator/random.js';
import { CountingMeter, RecordingLog } from '../src/emulator/recording.js';
import { engineRecord } from '../src/emulator/quarantinegroup.js';
import { ReachEvidence } from '../src/gateway/reach/evidence.js';
import { CutOffGateways, ServerReach } from '../src/gateway/reach/index.js';

const SERVERS = ['s1', 's2', 's3', 's4'].map(engineRecord);

const [S1, S2, S3, S4] = SERVERS as [typeof SERVERS[0], typeof SERVERS[0], typeof SERVERS[0], typeof SERVERS[0]];

describe('the evidence that no server is in reach', () => {
  it('is the failure of three servers, or of all where there are two, without any answer', () => {
    const evidence = new ReachEvidence();
    evidence.failed(S1, 100);
    evidence.failed(S2, 200);
    expect(evidence.silence(4, 500)).toBeNull();
    expect(evidence.silence(2, 500)).toMatchObject({ since: 100, servers: ['s1', 's2'], services: ['engine'] });
    evidence.failed(S3, 300);
    expect(evidence.silence(4, 500)).toMatchObject({ since: 100 });
    evidence.answered(S4, 510);
    expect(evidence.silence(4, 1_000)).toBeNull();
  });

  it('is no failure of the only server', () => {
    const evidence = new ReachEvidence();
    evidence.failed(S1, 100);
    expect(evidence.silence(1, 5_000)).toBeNull();
  });

  // Guards against a process that stood still and takes all its waiting calls for failures of its links.
  it('is no failure of all servers at one moment, before answers had time to be read', () => {
    const evidence = new ReachEvidence();
    for (const server of SERVERS) evidence.failed(server, 5_000);
    expect(evidence.silence(4, 5_000)).toBeNull();
    evidence.answered(S1, 5_010);
    expect(evidence.silence(4, 6_000)).toBeNull();
  });

  it('is answered by others for the same services and the same time only', () => {
    const evidence = new ReachEvidence();
    evidence.answered(S1, 100);
    evidence.answered(S2, 200);
    evidence.answered({ id: 'p1', service: 'ledger' }, 200);
    expect(evidence.reachedSince(new Set(['engine']), 150, 300)).toEqual(['s2']);
    expect(evidence.reachedSince(new Set(['engine', 'ledger']), 50, 300)).toEqual(['s1', 's2', 'p1']);
  });
});

/** Gateways of which `reaching` get an answer of each server every 50 ms, and the others none. */
class ReachGroup {
  public readonly clock = new SimulatedClock();

  public readonly reaching = new Set<string>();

  /** Gateways whose probes are answered although their calls are not. */
  public readonly slow = new Set<string>();

  public readonly nodes = new Map<string, ServerReach>();

  /** Gateways that each one takes for cut off. */
  public readonly cutOff = new Map<string, CutOffGateways>();

  private readonly announcements: ((key: string, value: string) => boolean)[] = [];

  public constructor(names: readonly string[]) {
    const network = new EmulatedNetwork(this.clock);
    const members = new EmulatedMembers();
    const log = new RecordingLog();
    for (const name of names) this.reaching.add(name);
    names.forEach((name, index) => {
      const view = members.view(`${name}:1`, name);
      const cutOff = new CutOffGateways({
        clock: this.clock,
        log: log.forEntry(name),
        announcements: {
          self: () => view.self(),
          publish: (_topic, key, value) => this.announcements.forEach((hear) => hear(key, value)),
          onAnnouncement: (_topic, hear) => {
            this.announcements.push(hear);
            return { dispose: () => {} };
          },
        },
      });
      const reach = new ServerReach({
        clock: this.clock,
        random: new SeededRandom(index + 1),
        log: log.forEntry(name),
        meter: new CountingMeter(),
        client: network.client(`${name}:1`),
        server: network.listen(`${name}:1`),
        members: view,
        cutOff,
        servers: () => SERVERS,
        probe: async () => this.reaching.has(name) || this.slow.has(name),
      });
      this.nodes.set(name, reach);
      this.cutOff.set(name, cutOff);
      void reach.run(new AbortController().signal);
    });
  }

  /** Sends calls to all servers in turn for a while; those of gateways that reach none fail. */
  public async play(forMs: number): Promise<void> {
    for (let at = 0; at < forMs; at += 50) {
      for (const [name, reach] of this.nodes) {
        const server = SERVERS[(at / 50) % SERVERS.length]!;
        if (this.reaching.has(name)) reach.answered(server);
        else reach.failed(server);
      }
      await this.clock.advance(50);
    }
  }

  public isCutOff(): readonly string[] {
    return [...this.nodes].flatMap(([name, reach]) => (reach.isCutOff ? [name] : []));
  }
}

describe('ServerReach', () => {
  const names = ['a', 'b', 'c', 'd', 'e', 'f'];

  it('finds a gateway cut off that reaches no server while others do, and in reach again once two have answered', async () => {
    const group = new ReachGroup(names);
    await group.play(500);
    group.reaching.delete('a');
    await group.play(1_500);
    expect(group.isCutOff()).toEqual(['a']);
    expect(names.filter((name) => group.cutOff.get(name)!.has('a'))).toEqual(names.slice(1));
    group.reaching.add('a');
    await group.play(2_500);
    expect(group.isCutOff()).toEqual([]);
    expect(names.filter((name) => group.cutOff.get(name)!.has('a'))).toEqual([]);
  });

  it('finds all but one gateway cut off, and none where no one reaches a server', async () => {
    const most = new ReachGroup(names);
    await most.play(500);
    for (const name of names.slice(1)) most.reaching.delete(name);
    await most.play(3_000);
    expect(most.isCutOff()).toEqual(names.slice(1));
    const all = new ReachGroup(names);
    await all.play(500);
    all.reaching.clear();
    await all.play(5_000);
    expect(all.isCutOff()).toEqual([]);
  });

  // Guards against callers that are moved each time links come and go.
  it('stays cut off for a second although its probes are answered at once', async () => {
    const group = new ReachGroup(names);
    await group.play(500);
    group.reaching.delete('a');
    for (let tries = 0; tries < 20 && group.isCutOff().length === 0; tries += 1) await group.play(200);
    group.reaching.add('a');
    await group.play(600);
    expect(group.isCutOff()).toEqual(['a']);
    await group.play(1_400);
    expect(group.isCutOff()).toEqual([]);
  });

  // Guards against a gateway that is left out for good because others have missed that it reaches servers again.
  it('is believed for half a minute after its last statement', async () => {
    const group = new ReachGroup(['a', 'b']);
    group.cutOff.get('a')!.announce(true);
    group.cutOff.get('a')!.dispose();
    await group.clock.advance(25_000);
    expect(group.cutOff.get('b')!.has('a')).toBe(true);
    await group.clock.advance(10_000);
    expect(group.cutOff.get('b')!.has('a')).toBe(false);
  });

  // Guards against servers that are only slow for the calls of one gateway.
  it('does not find a gateway cut off whose probes are answered', async () => {
    const group = new ReachGroup(names);
    await group.play(500);
    group.reaching.delete('a');
    group.slow.add('a');
    await group.play(3_000);
    expect(group.isCutOff()).toEqual([]);
  });

  it('does not find a gateway cut off that no other gateway answers', async () => {
    const group = new ReachGroup(['a']);
    group.reaching.clear();
    await group.play(3_000);
    expect(group.isCutOff()).toEqual([]);
  });
});
