import type { PeerServer } from '../core/interfaces/index.js';
import { parseFleet } from '../core/configuration/index.js';
import type { Fleet } from '../core/configuration/index.js';
import { Entry } from '../daemon/entry.js';
import { SimulatedClock } from './clock.js';
import type { EngineParameters } from './enginemodel.js';
import { ENGINE_PARAMETERS } from './enginemodel.js';
import { EmulatedKeyValue } from './keyvalue.js';
import { EmulatedNetwork } from './peers.js';
import { EmulatedProcess } from './process.js';
import { SeededRandom } from './random.js';
import { RecordingLog } from './recording.js';
import type { CountingMeter } from './recording.js';
import { createStandIns } from './standins.js';
import type { StandIns } from './standins.js';

/** One entry of a deployment with its emulated process and its connection to the key-value service. */
export interface DeployedEntry {
  readonly name: string;
  readonly address: string;
  readonly entry: Entry;
  readonly process: EmulatedProcess;
  readonly keyValue: EmulatedKeyValue;
}

/** Options of {@link Deployment}. */
export interface DeploymentOptions {
  readonly seed: number;
  readonly fleetFile: string;
  readonly entries: number;
  readonly parameters?: EngineParameters;
  readonly log: RecordingLog;
  readonly meter: CountingMeter;
}

/** Role changes and model loads take less time than in the experiments, which keeps the scenarios short. */
const DEFAULT_PARAMETERS: EngineParameters = { ...ENGINE_PARAMETERS, roleChangeMs: 2_000, modelLoadMs: 3_000 };

const ADDRESS_TTL_MS = 5_000;
const DRAIN_TIMEOUT_MS = 30_000;
const RESUME_WINDOW_MS = 15_000;
const LEASE_MS = 3_000;

/**
 * Deployment in one process on a simulated clock. The entries run the production code; the network and all services
 * around them are emulated.
 */
export class Deployment {
  public readonly clock = new SimulatedClock();

  public readonly network = new EmulatedNetwork(this.clock);

  public readonly fleet: Fleet;

  public readonly standIns: StandIns;

  private readonly deployed = new Map<string, DeployedEntry>();

  private startCount = 0;

  public constructor(private readonly options: DeploymentOptions) {
    this.fleet = parseFleet(options.fleetFile);
    this.standIns = createStandIns(this.clock, this.fleet, options.parameters ?? DEFAULT_PARAMETERS);
  }

  /** Names of all entries of this deployment, whether started or not. */
  public get names(): string[] {
    return Array.from({ length: this.options.entries }, (_, index) => `n${index + 1}`);
  }

  /** Started entries whose process has not been killed; paused ones are included. */
  public alive(): DeployedEntry[] {
    return [...this.deployed.values()].filter(({ process }) => process.alive);
  }

  public get(name: string): DeployedEntry | undefined {
    return this.deployed.get(name);
  }

  /** Starts an entry at the address of `name`. Each start creates a new process and a new member of the group. */
  public start(name: string): DeployedEntry {
    const index = this.names.indexOf(name);
    const address = this.addressOf(name);
    const process = new EmulatedProcess(this.clock);
    const keyValue = new EmulatedKeyValue(this.standIns.store, this.clock);
    this.startCount += 1;
    const {
      engines, services, hosts, weights,
    } = this.standIns;
    const domains = [...new Set(this.fleet.engines.map(({ failureDomain }) => failureDomain))];
    const entry = new Entry({
      clock: process.clock,
      random: new SeededRandom(this.options.seed * 1_000 + this.startCount),
      log: this.options.log.forEntry(name),
      meter: this.options.meter,
      keyValue: process.deferResults(keyValue),
      hostList: process.deferResults(hosts),
      weightStore: process.deferResults(weights),
      peerClient: process.deferResults(this.network.client(address)),
      peerServer: this.listen(address),
      backends: {
        engine: (spec) => process.deferResults(engines.get(spec.name)!),
        service: (spec) => process.deferResults(services.get(spec.name)!),
      },
    }, {
      name,
      failureDomain: domains[index % domains.length]!,
      callerAddress: `10.0.0.${index + 1}:8000`,
      peerAddress: address,
      seeds: this.names.map((peerName) => this.addressOf(peerName)),
      addressTtlMs: ADDRESS_TTL_MS,
      handoverAfterMs: DRAIN_TIMEOUT_MS,
      resumeWindowMs: RESUME_WINDOW_MS,
      leaseMs: LEASE_MS,
      ticketKey: 'ticket-key-of-the-deployment',
    });
    void entry.run();
    const deployed: DeployedEntry = {
      name, address, entry, process, keyValue,
    };
    this.deployed.set(name, deployed);
    return deployed;
  }

  /** Kills a process without clean-up; its timers and the results it waits for are dropped. */
  public kill(name: string): void {
    const deployed = this.deployed.get(name);
    if (deployed === undefined) return;
    deployed.process.kill();
    this.network.close(deployed.address);
    this.network.unpause(deployed.address);
  }

  /** Pauses a process: its timers and the messages and results for it are held back until {@link unpause}. */
  public pause(name: string): void {
    this.deployed.get(name)?.process.pause();
    this.network.pause(this.addressOf(name));
  }

  /** Ends a pause; what was held back is delivered in its order. */
  public unpause(name: string): void {
    this.deployed.get(name)?.process.unpause();
    this.network.unpause(this.addressOf(name));
  }

  /** Drops or again delivers all messages between two entries, in both directions. */
  public setCut(a: string, b: string, cut: boolean): void {
    this.network.setCut(this.addressOf(a), this.addressOf(b), cut);
    this.network.setCut(this.addressOf(b), this.addressOf(a), cut);
  }

  /** Ends all cut connections, pauses and outages. */
  public heal(): void {
    for (const a of this.names) {
      for (const b of this.names) this.setCut(a, b, false);
      this.unpause(a);
    }
    for (const { keyValue } of this.deployed.values()) keyValue.cut = false;
    for (const engine of this.standIns.engines.values()) engine.faults.cut = false;
    this.standIns.store.down = false;
    this.standIns.store.latencyMs = 2;
  }

  private listen(address: string): PeerServer {
    return this.network.listen(address);
  }

  private addressOf(name: string): string {
    return `10.0.0.${this.names.indexOf(name) + 1}:9000`;
  }
}
