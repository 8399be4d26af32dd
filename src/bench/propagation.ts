import { readFileSync } from 'node:fs';
import { CONFIGURATION_KEY, Configuration, safeParseFleet } from '../core/configuration/index.js';
import type { ApplyOutcome } from '../core/configuration/index.js';
import type { PeerClient } from '../core/interfaces/index.js';
import { Membership, createIncarnation } from '../core/membership/index.js';
import { SimulatedClock } from '../emulator/clock.js';
import { EmulatedEntry, silent } from '../emulator/entry.js';
import { KeyValueStore } from '../emulator/keyvalue.js';
import { EmulatedNetwork } from '../emulator/peers.js';
import { SeededRandom } from '../emulator/random.js';
import type { Experiment, RunOptions, Verdict } from './experiment.js';

const ENTRIES = 6;

const RUNS = 20;

const CHANGES = 5;

const LIMIT_MS = 30_000;

const UP_TARGET_MS = 2_000;

const PEERS_TARGET_MS = 5_000;

interface Variant {
  readonly name: string;
  /** Stated target in ms; absent for a baseline. */
  readonly targetMs?: number;
  /** Sets the faults before a change; entry `applier` accepts the file. */
  readonly before?: (group: Group, applier: number) => void;
  /** Sets the faults at the moment of acceptance. */
  readonly accepted?: (group: Group, applier: number) => void;
  /** Plants the loss of every announcement, so that revisions spread by heartbeats only. */
  readonly withoutPush?: boolean;
}

function cutService(group: Group, spared: readonly number[]): void {
  for (const [index, { connection }] of group.hosts.entries()) connection.cut = !spared.includes(index);
  group.store.breakWatches();
}

const VARIANTS: readonly Variant[] = [
  { name: 'up', targetMs: UP_TARGET_MS },
  {
    name: 'slow',
    targetMs: UP_TARGET_MS,
    before: ({ store }) => Object.assign(store, { latencyMs: 700 }),
  },
  {
    name: 'down-for-three',
    targetMs: PEERS_TARGET_MS,
    before: (group, applier) => cutService(group, [0, 1, 2].map((offset) => (applier + offset) % ENTRIES)),
  },
  {
    name: 'down-for-all-but-one',
    targetMs: PEERS_TARGET_MS,
    before: (group, applier) => cutService(group, [applier]),
  },
  {
    name: 'down-after-acceptance',
    targetMs: PEERS_TARGET_MS,
    before: (group, applier) => cutService(group, [applier]),
    accepted: (group) => cutService(group, []),
  },
  {
    name: 'without-push',
    before: (group, applier) => cutService(group, [applier]),
    withoutPush: true,
  },
];

/** Six entries with real membership and configuration on the simulated clock. */
class Group {
  public readonly clock = new SimulatedClock();

  public readonly store = new KeyValueStore(this.clock);

  public readonly hosts: EmulatedEntry[] = [];

  public readonly entries: Configuration[] = [];

  private readonly network = new EmulatedNetwork(this.clock);

  public constructor(seed: number, private readonly withoutPush: boolean) {
    for (let index = 0; index < ENTRIES; index += 1) this.start(index, new SeededRandom(seed * 100 + index));
  }

  private start(index: number, random: SeededRandom): void {
    const address = `10.0.0.${index}:7100`;
    const host = new EmulatedEntry(address, this.clock, this.network, this.store);
    const seeds = ['10.0.0.0:7100', '10.0.0.1:7100'];
    const edges = {
      clock: host.clock, random, log: silent, meter: silent, server: this.network.listen(address),
    };
    const peers = this.withoutPush ? this.dropPushes(host.peers) : host.peers;
    const members = new Membership({
      id: `entry-${index}`,
      incarnation: createIncarnation(host.clock, random),
      address,
      callerAddress: address,
      failureDomain: 'regina',
      leaving: false,
      revision: 0,
      load: 0,
    }, { ...edges, client: host.peers }, { seeds });
    const entry = new Configuration({
      ...edges, members, peers, keyValue: host.keyValue, seeds, parse: safeParseFleet,
    });
    const { signal } = new AbortController();
    void members.run(signal);
    void entry.run(signal);
    this.hosts.push(host);
    this.entries.push(entry);
  }

  private dropPushes(client: PeerClient): PeerClient {
    return {
      call: (address, method, params, opts) => (method === 'configuration.push'
        ? new Promise(() => {})
        : client.call(address, method, params, opts)),
    };
  }

  /** Applies a file and returns the time from the moment the service holds it until it is in force everywhere. */
  public async spread(file: string, variant: Variant, applier: number): Promise<number> {
    const before = this.store.peek(CONFIGURATION_KEY)?.version;
    const wanted = (this.entries[applier]!.currentFile()?.revision ?? 0) + 1;
    let outcome: ApplyOutcome | null = null;
    void this.entries[applier]!.apply(file, undefined, 10_000).then((result) => {
      outcome = result;
      variant.accepted?.(this, applier);
    });
    while (this.store.peek(CONFIGURATION_KEY)?.version === before) await this.clock.advance(5);
    const start = this.clock.monotonic();
    const inForce = () => this.entries.every((entry) => entry.currentFile()?.revision === wanted);
    while ((outcome === null || !inForce()) && this.clock.monotonic() - start < LIMIT_MS) await this.clock.advance(5);
    return this.clock.monotonic() - start;
  }
}

async function runVariant(variant: Variant, file: string, opts: RunOptions): Promise<Record<string, number>> {
  const times: number[] = [];
  for (let run = 0; run < RUNS; run += 1) {
    const group = new Group(opts.seed * 1_000 + run, variant.withoutPush === true);
    const random = new SeededRandom(opts.seed * 1_000 + run);
    await group.clock.advance(5_000);
    for (let change = 0; change < CHANGES; change += 1) {
      const applier = random.integer(0, ENTRIES - 1);
      variant.before?.(group, applier);
      await group.clock.advance(random.integer(500, 4_000));
      times.push(await group.spread(file.replace(/^version = .*$/mu, `version = ${run}.${change}`), variant, applier));
      for (const { connection } of group.hosts) connection.cut = false;
      await group.clock.advance(3_000);
    }
  }
  times.sort((a, b) => a - b);
  const at = (share: number) => times[Math.min(times.length - 1, Math.floor(times.length * share))]!;
  return {
    runs: RUNS, changes: times.length, p50_ms: at(0.5), p99_ms: at(0.99), max_ms: at(1),
  };
}

/** Propagation of an accepted fleet file to six entries. */
export const propagation: Experiment = {
  name: 'propagation',
  shows: 'time from a file being accepted to its being in force on all six entries; service up, slow or down for some',
  target: '2 s with the service up, 5 s when only peers can pass the file on',
  variants: VARIANTS.map(({ name }) => name),
  async run(opts): Promise<Verdict> {
    const file = readFileSync(new URL('../../examples/halvorsen/fleet.ini', import.meta.url), 'utf8');
    const figure: Record<string, number> = {};
    let pass = true;
    for (const variant of VARIANTS) {
      if (opts.variant !== undefined && opts.variant !== variant.name) continue;
      const line = await runVariant(variant, file, opts);
      opts.emit({ variant: variant.name, ...line });
      figure[`${variant.name}_max_ms`] = line.max_ms!;
      if (variant.targetMs !== undefined) pass &&= line.max_ms! <= variant.targetMs;
    }
    return { pass, figure };
  },
};
