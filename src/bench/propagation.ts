import { readFileSync } from 'node:fs';
import { CONFIGURATION_KEY, Configuration, safeParseFleet } from '../core/configuration/index.js';
import type { ApplyOutcome } from '../core/configuration/index.js';
import type { PeerClient } from '../core/interfaces/index.js';
import { Membership, createIncarnation } from '../core/membership/index.js';
import { SimulatedClock } from '../emulator/clock.js';
import { EmulatedEntry, silentLogAndMeter } from '../emulator/entry.js';
import { KeyValueStore } from '../emulator/keyvalue.js';
import { EmulatedNetwork } from '../emulator/peers.js';
import { SeededRandom } from '../emulator/random.js';
import type { Experiment, RunOptions, ExperimentResult } from './experiment.js';

const ENTRIES = 6;

/** Independent groups per variant, and changes in each of them. */
const RUNS = 20;

const CHANGES = 5;

/** A change that takes longer is counted with this time. */
const LIMIT_MS = 30_000;

const SERVICE_UP_TARGET_MS = 2_000;

const PEERS_ONLY_TARGET_MS = 5_000;

interface Variant {
  readonly name: string;
  /** Target in ms for the slowest change; absent for a baseline. */
  readonly targetMs?: number;
  /** Injects faults before a change; the entry with index `applier` accepts the file. */
  readonly beforeChange?: (group: EntryGroup, applier: number) => void;
  /** Injects faults at the moment of acceptance. */
  readonly afterAcceptance?: (group: EntryGroup, applier: number) => void;
  /** Loses every push between entries, so that new revisions spread by heartbeats only. */
  readonly withoutPush?: boolean;
}

/** Cuts every entry but the `connected` ones off the key-value service, and breaks all watches. */
function cutServiceExcept(group: EntryGroup, connected: readonly number[]): void {
  for (const [index, { connection }] of group.emulatedEntries.entries()) connection.cut = !connected.includes(index);
  group.store.breakWatches();
}

const VARIANTS: readonly Variant[] = [
  { name: 'up', targetMs: SERVICE_UP_TARGET_MS },
  {
    name: 'slow',
    targetMs: SERVICE_UP_TARGET_MS,
    beforeChange: ({ store }) => Object.assign(store, { latencyMs: 700 }),
  },
  {
    name: 'down-for-three',
    targetMs: PEERS_ONLY_TARGET_MS,
    beforeChange: (group, applier) => cutServiceExcept(group, [0, 1, 2].map((offset) => (applier + offset) % ENTRIES)),
  },
  {
    name: 'down-for-all-but-one',
    targetMs: PEERS_ONLY_TARGET_MS,
    beforeChange: (group, applier) => cutServiceExcept(group, [applier]),
  },
  {
    name: 'down-after-acceptance',
    targetMs: PEERS_ONLY_TARGET_MS,
    beforeChange: (group, applier) => cutServiceExcept(group, [applier]),
    afterAcceptance: (group) => cutServiceExcept(group, []),
  },
  {
    name: 'without-push',
    beforeChange: (group, applier) => cutServiceExcept(group, [applier]),
    withoutPush: true,
  },
];

/** Six entries with real membership and configuration on the simulated clock. */
class EntryGroup {
  public readonly clock = new SimulatedClock();

  public readonly store = new KeyValueStore(this.clock);

  public readonly emulatedEntries: EmulatedEntry[] = [];

  public readonly configurations: Configuration[] = [];

  private readonly network = new EmulatedNetwork(this.clock);

  public constructor(seed: number, private readonly withoutPush: boolean) {
    for (let index = 0; index < ENTRIES; index += 1) this.start(index, new SeededRandom(seed * 100 + index));
  }

  private start(index: number, random: SeededRandom): void {
    const address = `10.0.0.${index}:7100`;
    const emulated = new EmulatedEntry(address, this.clock, this.network, this.store);
    const seeds = ['10.0.0.0:7100', '10.0.0.1:7100'];
    const deps = {
      clock: emulated.clock,
      random,
      log: silentLogAndMeter,
      meter: silentLogAndMeter,
      server: this.network.listen(address),
    };
    const peers = this.withoutPush ? this.dropPushes(emulated.peers) : emulated.peers;
    const members = new Membership({
      id: `entry-${index}`,
      incarnation: createIncarnation(emulated.clock, random),
      address,
      callerAddress: address,
      failureDomain: 'regina',
      leaving: false,
      revision: 0,
      load: 0,
    }, { ...deps, client: emulated.peers }, { seeds });
    const entry = new Configuration({
      ...deps, members, peers, keyValue: emulated.keyValue, seeds, parse: safeParseFleet,
    });
    const { signal } = new AbortController();
    void members.run(signal);
    void entry.run(signal);
    this.emulatedEntries.push(emulated);
    this.configurations.push(entry);
  }

  /** Client whose pushes of the configuration never complete. */
  private dropPushes(client: PeerClient): PeerClient {
    return {
      call: (address, method, params, opts) => (method === 'configuration.push'
        ? new Promise(() => {})
        : client.call(address, method, params, opts)),
    };
  }

  /** Applies a file and returns the time in ms from its storage in the service until all entries have it in force. */
  public async measurePropagation(file: string, variant: Variant, applier: number): Promise<number> {
    const before = this.store.peek(CONFIGURATION_KEY)?.version;
    const expectedRevision = (this.configurations[applier]!.currentFile()?.revision ?? 0) + 1;
    let outcome: ApplyOutcome | null = null;
    void this.configurations[applier]!.apply(file, undefined, 10_000).then((result) => {
      outcome = result;
      variant.afterAcceptance?.(this, applier);
    });
    while (this.store.peek(CONFIGURATION_KEY)?.version === before) await this.clock.advance(5);
    const start = this.clock.monotonic();
    const inForce = () => this.configurations.every((entry) => entry.currentFile()?.revision === expectedRevision);
    while ((outcome === null || !inForce()) && this.clock.monotonic() - start < LIMIT_MS) await this.clock.advance(5);
    return this.clock.monotonic() - start;
  }
}

async function runVariant(variant: Variant, file: string, opts: RunOptions): Promise<Record<string, number>> {
  const times: number[] = [];
  for (let run = 0; run < RUNS; run += 1) {
    const group = new EntryGroup(opts.seed * 1_000 + run, variant.withoutPush === true);
    const random = new SeededRandom(opts.seed * 1_000 + run);
    await group.clock.advance(5_000);
    for (let change = 0; change < CHANGES; change += 1) {
      const applier = random.integer(0, ENTRIES - 1);
      variant.beforeChange?.(group, applier);
      await group.clock.advance(random.integer(500, 4_000));
      times.push(await group.measurePropagation(file.replace(/^version = .*$/mu, `version = ${run}.${change}`), variant, applier));
      for (const { connection } of group.emulatedEntries) connection.cut = false;
      await group.clock.advance(3_000);
    }
  }
  times.sort((a, b) => a - b);
  const quantileAt = (share: number) => times[Math.min(times.length - 1, Math.floor(times.length * share))]!;
  return {
    runs: RUNS, changes: times.length, p50_ms: quantileAt(0.5), p99_ms: quantileAt(0.99), max_ms: quantileAt(1),
  };
}

/** Measures how fast an accepted fleet file reaches all six entries. */
export const propagation: Experiment = {
  name: 'propagation',
  shows: 'time from a file being accepted to its being in force on all six entries; service up, slow or down for some',
  target: '2 s with the service up, 5 s when only peers can pass the file on',
  variants: VARIANTS.map(({ name }) => name),
  async run(opts): Promise<ExperimentResult> {
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
