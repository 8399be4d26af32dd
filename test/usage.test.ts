import { describe, expect, it } from 'vitest';
import { Authority } from '../src/core/authority/index.js';
import { SimulatedClock } from '../src/emulator/clock.js';
import { EmulatedEntry, EmulatedMembers, silentLogAndMeter } from '../src/emulator/entry.js';
import { KeyValueStore } from '../src/emulator/keyvalue.js';
import { EmulatedNetwork } from '../src/emulator/peers.js';
import { SeededRandom } from '../src/emulator/random.js';
import { DutyOutcome } from '../src/gateway/provider.js';
import type { DutyFence, Provider, UsageReport } from '../src/gateway/provider.js';
import { groupAddresses, mergeParts, totalCounts } from '../src/gateway/usage/collector.js';
import { UsageCollector, UsageCounter, UsageReporter } from '../src/gateway/usage/index.js';

const WINDOW_MS = 5_000;

const LEASE_MS = 3_000;

interface Node {
  readonly entry: EmulatedEntry;
  readonly authority: Authority;
  readonly counter: UsageCounter;
  readonly collector: UsageCollector;
  readonly stop: AbortController;
}

interface Sent extends UsageReport, DutyFence {}

/** Gateways that count and report usage over an emulated network, store and provider. */
class UsageGroup {
  public readonly clock = new SimulatedClock();

  public readonly store = new KeyValueStore(this.clock);

  public readonly network = new EmulatedNetwork(this.clock);

  public readonly nodes: Node[] = [];

  /** Reports that arrived at the provider, in order. */
  public readonly sent: Sent[] = [];

  /** What the provider answers. */
  public answer: () => DutyOutcome = () => DutyOutcome.Accepted;

  private readonly members = new EmulatedMembers();

  private readonly provider: Provider = {
    reportUsage: async (fence, report, { mayStillSend }) => {
      if (!mayStillSend()) return DutyOutcome.Refused;
      const outcome = this.answer();
      if (outcome !== DutyOutcome.Refused) this.sent.push({ ...fence, ...report });
      return outcome;
    },
    orderServers: async () => DutyOutcome.Refused,
  };

  public constructor(count: number) {
    for (let index = 0; index < count; index += 1) this.start(index);
  }

  /** Index of the gateway that holds the authority lease, or -1. */
  public get holder(): number {
    return this.nodes.findIndex(({ authority, entry }) => entry.running && authority.mayAct());
  }

  /** Reports with the counts of each window; fails if one window was reported with other counts. */
  public reports(): ReadonlyMap<number, UsageReport['counts']> {
    const known = new Map<number, UsageReport['counts']>();
    for (const { window, counts } of this.sent) {
      expect(known.get(window) ?? counts).toEqual(counts);
      known.set(window, counts);
    }
    return known;
  }

  /** Moves to the middle of the next window, so that counts do not depend on the moment of the start. */
  public async advanceToWindow(): Promise<number> {
    const { counter } = this.nodes[0]!;
    const into = this.clock.now().getTime() - counter.endOf(counter.current - 1);
    await this.clock.advance(1.5 * WINDOW_MS - into);
    return counter.current;
  }

  private start(index: number): void {
    const address = `10.0.0.${index}:1`;
    const entry = new EmulatedEntry(address, this.clock, this.network, this.store);
    const members = this.members.view(address, String(index));
    const deps = {
      ...silentLogAndMeter,
      clock: entry.clock,
      log: silentLogAndMeter,
      meter: silentLogAndMeter,
      store: entry.keyValue,
      client: entry.peers,
      server: this.network.listen(address),
      members,
    };
    const authority = new Authority({
      ...deps,
      random: new SeededRandom(index + 1),
      keyValue: entry.keyValue,
      holder: { member: `g${index}`, address, incarnation: String(index) },
      leaseMs: LEASE_MS,
    });
    const counter = new UsageCounter(entry.clock, WINDOW_MS);
    const collector = new UsageCollector({ ...deps, counter });
    collector.serve();
    const reporter = new UsageReporter({
      ...deps, authority, counter, collector, provider: this.provider, hasWorkspaces: () => true,
    }, { holder: `g${index}`, dueMs: 10_000 });
    const stop = new AbortController();
    void authority.run(stop.signal);
    void reporter.run(stop.signal);
    this.nodes.push({
      entry, authority, counter, collector, stop,
    });
  }
}

describe('usage of workspaces', () => {
  it('is added up over all gateways and reported once for each window', async () => {
    const group = new UsageGroup(6);
    const window = await group.advanceToWindow();
    for (const { counter } of group.nodes) {
      counter.count('inn');
      counter.count('lodge');
    }
    group.nodes[0]!.counter.count('inn');
    await group.clock.advance(3 * WINDOW_MS);
    expect(group.reports().get(window)).toEqual({ inn: 7, lodge: 6 });
    expect(group.sent.filter((report) => report.window === window)).toHaveLength(1);
    expect(new Set(group.sent.map(({ holder }) => holder)).size).toBe(1);
  });

  it('is due before the end of its time while a gateway does not answer', async () => {
    const group = new UsageGroup(4);
    const window = await group.advanceToWindow();
    group.nodes[group.holder]!.counter.count('inn');
    const silent = group.nodes.find((_node, index) => index !== group.holder)!;
    group.network.close(silent.entry.address);
    await group.clock.advance(WINDOW_MS / 2 + 10_000);
    expect(group.reports().get(window)).toEqual({ inn: 1 });
  });

  // Guards against counts that are lost with a gateway that stops as planned.
  it('survives the planned stop of a gateway, and counts once though two others have it', async () => {
    const group = new UsageGroup(5);
    const window = await group.advanceToWindow();
    const index = group.nodes.findIndex((_node, candidate) => candidate !== group.holder);
    const stopping = group.nodes[index]!;
    for (let count = 0; count < 9; count += 1) stopping.counter.count('inn');
    await Promise.all([stopping.collector.handOver(), group.clock.advance(1_000)]);
    group.network.close(stopping.entry.address);
    await group.clock.advance(3 * WINDOW_MS);
    expect(group.reports().get(window)).toEqual({ inn: 9 });
  });

  // Guards against two holders that send other counts for one window.
  it('is not reported with other counts by the next holder, wherever the holder dies', async () => {
    for (let dieAfterMs = 0; dieAfterMs < 2 * WINDOW_MS; dieAfterMs += 400) {
      const group = new UsageGroup(3);
      await group.advanceToWindow();
      const tick = async (): Promise<void> => {
        for (const { counter, entry } of group.nodes) if (entry.running) counter.count('inn');
        await group.clock.advance(100);
      };
      for (let at = 0; at < dieAfterMs; at += 100) await tick();
      const dying = group.nodes[group.holder]!;
      dying.stop.abort();
      dying.entry.kill();
      for (let at = 0; at < 6 * WINDOW_MS; at += 100) await tick();
      const windows = [...group.reports().keys()].sort();
      // The next holder goes on without a gap.
      expect(windows).toEqual(windows.map((_window, position) => windows[0]! + position));
      const tokens = group.sent.map(({ token }) => token);
      expect(tokens).toEqual([...tokens].sort((left, right) => left - right));
    }
  });

  it('is sent again with the same counts after a lost answer, and after the provider was away', async () => {
    const group = new UsageGroup(3);
    const window = await group.advanceToWindow();
    group.nodes[0]!.counter.count('inn');
    const outcomes = [DutyOutcome.Unknown, DutyOutcome.Refused, DutyOutcome.Refused];
    group.answer = () => outcomes.shift() ?? DutyOutcome.Accepted;
    await group.clock.advance(4 * WINDOW_MS);
    expect(group.reports().get(window)).toEqual({ inn: 1 });
    const windows = group.sent.map((report) => report.window);
    expect([...windows].sort((left, right) => left - right)).toEqual(windows);
  });

  it('is reported for the windows of an outage of the store once it is back', async () => {
    const group = new UsageGroup(3);
    const window = await group.advanceToWindow();
    group.store.down = true;
    for (const { counter } of group.nodes) counter.count('inn');
    await group.clock.advance(2 * WINDOW_MS);
    group.store.down = false;
    await group.clock.advance(4 * WINDOW_MS);
    expect(group.reports().get(window)).toEqual({ inn: 3 });
  });

  it('is kept for a bounded number of windows', async () => {
    const group = new UsageGroup(1);
    const [{ counter }] = group.nodes as [Node];
    for (let window = 0; window < 60; window += 1) {
      counter.count('inn');
      await group.clock.advance(WINDOW_MS);
    }
    expect(counter.all().length).toBeLessThanOrEqual(25);
  });
});

describe('collecting usage', () => {
  it('asks in groups whose number and size are about the root of the number of gateways', () => {
    const groups = groupAddresses(Array.from({ length: 1_800 }, (_, index) => `g${index}`));
    expect(groups.length).toBeLessThanOrEqual(43);
    expect(Math.max(...groups.map(({ length }) => length))).toBeLessThanOrEqual(43);
    expect(groups.flat()).toHaveLength(1_800);
  });

  it('counts a stopped gateway once, and not at all if it still answers itself', () => {
    const part = (sources: string[], adopted: string[]) => ({
      sources, counts: { inn: 1 }, adopted: adopted.map((source) => ({ source, counts: { inn: 10 } })), missing: [],
    });
    expect(totalCounts(mergeParts([part(['a'], ['x']), part(['b'], ['x'])]))).toEqual({ inn: 12 });
    expect(totalCounts(mergeParts([part(['a'], ['b']), part(['b'], [])]))).toEqual({ inn: 2 });
  });
});
