import { Authority } from '../core/authority/index.js';
import { Role } from '../core/interfaces/index.js';
import type { Engine } from '../core/interfaces/index.js';
import {
  DesiredRole, Fencing, ServerState,
} from '../core/configuration/index.js';
import type { EngineSpec, Fleet } from '../core/configuration/index.js';
import { Orders, Planning } from '../core/orders/index.js';
import type { EngineDrain, RoleSource } from '../core/orders/index.js';
import { sleep } from '../core/time.js';
import { SimulatedClock } from '../emulator/clock.js';
import { EmulatedEngine } from '../emulator/engine.js';
import { ENGINE_PARAMETERS } from '../emulator/enginemodel.js';
import { EmulatedEntry, silentLogAndMeter } from '../emulator/entry.js';
import { EmulatedKeyValue, KeyValueStore } from '../emulator/keyvalue.js';
import { EmulatedNetwork } from '../emulator/peers.js';
import { EmulatedWeightStore } from '../emulator/platform.js';
import { SeededRandom } from '../emulator/random.js';

/** Protection against conflicting orders. A baseline omits one of them, to show that it is needed. */
export type Protection = 'guard' | 'abandonment' | 'intents' | 'fencing' | 'own-clock';

/** Options of {@link PlannerGroup}. */
export interface PlannerGroupOptions {
  readonly seed: number;
  /** Number of entries; 3 by default. */
  readonly entries?: number;
  /** Number of engines; 4 by default. */
  readonly engines?: number;
  /** Protection that all entries omit; absent keeps all protections. */
  readonly without?: Protection | undefined;
  readonly drain?: EngineDrain;
  readonly roles?: RoleSource;
  /** Maximum share of the engines that are drained at the same time; 1 by default. */
  readonly maxDrainedShare?: number;
}

/** Length of the authority lease in ms. */
export const LEASE_MS = 3_000;

/** Longest pause in ms, between the sender's last check and its write, that the orders protect against. */
export const PAUSE_ALLOWANCE_MS = 10_000;

/** Changes are short compared with the lease, so that failures in a short run hit many stages of many changes. */
const PARAMETERS = { ...ENGINE_PARAMETERS, roleChangeMs: 900, modelLoadMs: 1_500 };

/** Entries that compete for the authority lease and send orders to a few engines, on the simulated clock. */
export class PlannerGroup {
  public readonly clock = new SimulatedClock();

  public readonly store = new KeyValueStore(this.clock);

  public readonly network = new EmulatedNetwork(this.clock);

  public readonly engines: EmulatedEngine[];

  public readonly emulatedEntries: EmulatedEntry[] = [];

  public readonly authorities: Authority[] = [];

  public readonly orders: Orders[] = [];

  public fleet: Fleet;

  private started = 0;

  public constructor(private readonly options: PlannerGroupOptions) {
    const specs = Array.from({ length: options.engines ?? 4 }, (_, index): EngineSpec => ({
      name: `e${index}`,
      address: `10.1.0.${index}:1`,
      host: `h${index}`,
      failureDomain: 'regina',
      models: ['a'],
      role: DesiredRole.Mixed,
      fencing: index % 2 === 0 ? Fencing.Enforced : Fencing.Ignored,
      state: ServerState.Active,
    }));
    this.fleet = {
      name: 'bench',
      models: [{ name: 'a', version: '1', adapters: [] }],
      engines: specs,
      services: [],
      servers: [],
      workspaces: [],
    };
    this.engines = specs.map(({ name, fencing }) => new EmulatedEngine(this.clock, {
      name,
      role: Role.Mixed,
      models: [{ model: 'a', version: '1' }],
      fencing: options.without === 'fencing' ? Fencing.Ignored : fencing,
      parameters: PARAMETERS,
    }));
    for (let index = 0; index < (options.entries ?? 3); index += 1) this.start(index);
  }

  /** Starts the entry with this index, or replaces it by a new incarnation at the same address. */
  public start(index: number): void {
    const { without, seed } = this.options;
    const address = `10.0.0.${index}:1`;
    const entry = new EmulatedEntry(address, this.clock, this.network, this.store);
    this.started += 1;
    const deps = {
      clock: entry.clock,
      random: new SeededRandom(seed * 1_000 + this.started),
      peers: entry.peers,
      server: this.network.listen(address),
      log: silentLogAndMeter,
      meter: silentLogAndMeter,
    };
    const authority = new Authority({
      ...deps,
      keyValue: entry.keyValue,
      holder: { member: `m${this.started}`, address, incarnation: String(this.started) },
      leaseMs: LEASE_MS,
      // A negative margin lets a holder act past the expiry on its own clock, until the service reports the lease lost.
      ...(without === 'own-clock' ? { marginShare: -10 } : {}),
    });
    const orders = new Orders({
      ...deps,
      authority,
      // Intents in a store of its own, which no other entry reads, have no effect.
      keyValue: without === 'intents'
        ? new EmulatedKeyValue(new KeyValueStore(this.clock), this.clock)
        : entry.keyValue,
      weightStore: new EmulatedWeightStore(),
      pauseAllowanceMs: PAUSE_ALLOWANCE_MS,
    });
    if (without === 'abandonment') Object.assign(orders.abandonment, { cleared: () => true });
    const enginesByName = new Map<string, Engine>(this.engines
      .map((engine) => [engine.name, entry.engine(engine, without === 'guard')]));
    const planning = new Planning({
      ...deps,
      authority,
      orders,
      fleet: () => this.fleet,
      engine: ({ name }) => enginesByName.get(name)!,
      roles: this.options.roles ?? { plan: () => new Map() },
      drain: this.options.drain ?? {
        drain: async () => {
          await sleep(entry.clock, 50);
          return true;
        },
        release: () => {},
      },
      maxDrainedShare: this.options.maxDrainedShare ?? 1,
    });
    const { signal } = new AbortController();
    void authority.run(signal);
    void planning.run(signal);
    this.emulatedEntries[index] = entry;
    this.authorities[index] = authority;
    this.orders[index] = orders;
  }

  /** Returns the index of the running entry that holds the authority and may act, or -1. */
  public findHolderIndex(): number {
    return this.authorities.findIndex((authority, index) => this.emulatedEntries[index]!.running && authority.mayAct());
  }

  /** Changes the fleet so that it wants a role that differs from the engine's current and wanted role. */
  public requestOtherRole(index: number): void {
    const has = String(this.engines[index]!.model.role);
    const wanted = String(this.fleet.engines[index]!.role);
    const roles = [DesiredRole.Mixed, DesiredRole.Decode, DesiredRole.Prefill];
    this.requestRole(index, roles.find((role) => ![has, wanted].includes(String(role)))!);
  }

  /** Changes the role that the fleet wants for an engine. */
  public requestRole(index: number, role: DesiredRole): void {
    const engines = this.fleet.engines.map((spec, position) => (position === index ? { ...spec, role } : spec));
    this.fleet = { ...this.fleet, engines };
  }

  /** Changes the model version that the fleet wants on all engines. */
  public requestVersion(version: string): void {
    this.fleet = { ...this.fleet, models: [{ name: 'a', version, adapters: [] }] };
  }

  /** Number of conflicting orders that engines have seen. */
  public countConflicts(): number {
    return this.engines.reduce((sum, engine) => sum + engine.conflictingOrders.length, 0);
  }

  /** Number of orders that engines have accepted. */
  public countAcceptedOrders(): number {
    return this.engines.reduce((sum, engine) => sum + engine.appliedOrders.length, 0);
  }

  /** Tests whether every engine answers and has the role and model version that the fleet wants. */
  public async matchesFleet(): Promise<boolean> {
    const statuses = this.engines.map((engine) => engine.status({ timeoutMs: 100 }));
    await this.clock.advance(5);
    const results = await Promise.all(statuses);
    return results.every((status, index) => status.success
      && String(status.data.role) === String(this.fleet.engines[index]!.role)
      && status.data.models.every(({ version }) => version === this.fleet.models[0]!.version));
  }

  /** Advances the clock until `done` returns true, at most `limitMs`; returns the elapsed time in ms. */
  public async advanceUntil(done: () => boolean, limitMs: number): Promise<number> {
    const start = this.clock.monotonic();
    while (!done() && this.clock.monotonic() - start < limitMs) await this.clock.advance(10);
    return this.clock.monotonic() - start;
  }
}
