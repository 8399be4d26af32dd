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
import { EmulatedEntry, silent } from '../emulator/entry.js';
import { EmulatedKeyValue, KeyValueStore } from '../emulator/keyvalue.js';
import { EmulatedNetwork } from '../emulator/peers.js';
import { EmulatedWeightStore } from '../emulator/platform.js';
import { SeededRandom } from '../emulator/random.js';

/** Protection against conflicting orders that a baseline leaves out. */
export type Protection = 'guard' | 'abandonment' | 'intents' | 'fencing' | 'own-clock';

/** Options of {@link PlannerGroup}. */
export interface PlannerGroupOptions {
  readonly seed: number;
  readonly entries?: number;
  readonly engines?: number;
  readonly without?: Protection | undefined;
  readonly drain?: EngineDrain;
  readonly roles?: RoleSource;
  readonly awayShare?: number;
}

/** Length of the authority lease in ms. */
export const LEASE_MS = 3_000;

/** Longest pause between guard and write that the orders allow for, in ms. */
export const PAUSE_ALLOWANCE_MS = 10_000;

/** Changes are short against the lease, so that a run of seconds meets many moments of many changes. */
const PARAMETERS = { ...ENGINE_PARAMETERS, roleChangeMs: 900, modelLoadMs: 1_500 };

/** Entries that compete for authority and order a few engines on the simulated clock. */
export class PlannerGroup {
  public readonly clock = new SimulatedClock();

  public readonly store = new KeyValueStore(this.clock);

  public readonly network = new EmulatedNetwork(this.clock);

  public readonly engines: EmulatedEngine[];

  public readonly hosts: EmulatedEntry[] = [];

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

  /** Starts an entry, or replaces the one at its address. */
  public start(index: number): void {
    const { without, seed } = this.options;
    const address = `10.0.0.${index}:1`;
    const host = new EmulatedEntry(address, this.clock, this.network, this.store);
    this.started += 1;
    const edges = {
      clock: host.clock,
      random: new SeededRandom(seed * 1_000 + this.started),
      peers: host.peers,
      server: this.network.listen(address),
      log: silent,
      meter: silent,
    };
    const authority = new Authority({
      ...edges,
      keyValue: host.keyValue,
      holder: { member: `m${this.started}`, address, incarnation: String(this.started) },
      leaseMs: LEASE_MS,
      // Without its own clock a holder acts until the service tells it that the lease is gone.
      ...(without === 'own-clock' ? { marginShare: -10 } : {}),
    });
    const orders = new Orders({
      ...edges,
      authority,
      // Intents that nobody else reads are as good as none.
      keyValue: without === 'intents'
        ? new EmulatedKeyValue(new KeyValueStore(this.clock), this.clock)
        : host.keyValue,
      weightStore: new EmulatedWeightStore(),
      pauseAllowanceMs: PAUSE_ALLOWANCE_MS,
    });
    if (without === 'abandonment') Object.assign(orders.abandonment, { cleared: () => true });
    const reached = new Map<string, Engine>(this.engines
      .map((engine) => [engine.name, host.engine(engine, without === 'guard')]));
    const planning = new Planning({
      ...edges,
      authority,
      orders,
      fleet: () => this.fleet,
      engine: ({ name }) => reached.get(name)!,
      roles: this.options.roles ?? { plan: () => new Map() },
      drain: this.options.drain ?? {
        drain: async () => {
          await sleep(host.clock, 50);
          return true;
        },
        release: () => {},
      },
      maxDrainedShare: this.options.awayShare ?? 1,
    });
    const { signal } = new AbortController();
    void authority.run(signal);
    void planning.run(signal);
    this.hosts[index] = host;
    this.authorities[index] = authority;
    this.orders[index] = orders;
  }

  /** Index of the entry that may act, or -1. */
  public holder(): number {
    return this.authorities.findIndex((authority, index) => this.hosts[index]!.running && authority.mayAct());
  }

  /** Asks for another role than the engine has, and than the one asked for now. */
  public wantOtherRole(index: number): void {
    const has = String(this.engines[index]!.model.role);
    const wanted = String(this.fleet.engines[index]!.role);
    const roles = [DesiredRole.Mixed, DesiredRole.Decode, DesiredRole.Prefill];
    this.wantRole(index, roles.find((role) => ![has, wanted].includes(String(role)))!);
  }

  public wantRole(index: number, role: DesiredRole): void {
    const engines = this.fleet.engines.map((spec, position) => (position === index ? { ...spec, role } : spec));
    this.fleet = { ...this.fleet, engines };
  }

  public wantVersion(version: string): void {
    this.fleet = { ...this.fleet, models: [{ name: 'a', version, adapters: [] }] };
  }

  public conflicts(): number {
    return this.engines.reduce((sum, engine) => sum + engine.conflicts.length, 0);
  }

  public accepted(): number {
    return this.engines.reduce((sum, engine) => sum + engine.accepted.length, 0);
  }

  /** Whether every engine is as the fleet file wants it. */
  public async settled(): Promise<boolean> {
    const statuses = this.engines.map((engine) => engine.status({ timeoutMs: 100 }));
    await this.clock.advance(5);
    const results = await Promise.all(statuses);
    return results.every((status, index) => status.success
      && String(status.data.role) === String(this.fleet.engines[index]!.role)
      && status.data.models.every(({ version }) => version === this.fleet.models[0]!.version));
  }

  /** Advances until `done`, at most `limitMs`; returns the elapsed time. */
  public async until(done: () => boolean, limitMs: number): Promise<number> {
    const start = this.clock.monotonic();
    while (!done() && this.clock.monotonic() - start < limitMs) await this.clock.advance(10);
    return this.clock.monotonic() - start;
  }
}
