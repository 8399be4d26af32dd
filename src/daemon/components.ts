import { sumDemand } from '../core/routing/index.js';
import {
  AddressSelector, Draining, createIncarnation, Membership,
} from '../core/membership/index.js';
import { Authority } from '../core/authority/index.js';
import { BatchingKeyValue, Bookings, ServiceClient } from '../core/bookings/index.js';
import { Configuration, safeParseFleet } from '../core/configuration/index.js';
import {
  EngineDirectory, LeavingServers, ServerDirectory, TicketSigner,
} from '../core/serving/index.js';
import type {
  Clock, HostList, KeyValue, LoadReport, Log, Meter, PeerClient, PeerServer, Random, WeightStore,
} from '../core/interfaces/index.js';
import { Orders, Planning } from '../core/orders/index.js';
import { RetryBudget, RetryPolicy, SendStatus } from '../core/retries.js';
import { sleep } from '../core/time.js';
import { BackendConnections } from './backends.js';
import type { BackendDriver } from './backends.js';
import { DemandExchange } from './demand.js';
import { EngineHolds } from './holds.js';
import { ServingPolicy } from './policy.js';
import { RolePlans } from './roleplans.js';
import { Serving } from './serving.js';

/** Dependencies of an entry: clock, random source, log, metrics, platform services, peers and backend servers. */
export interface EntryDependencies {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly meter: Meter;
  readonly keyValue: KeyValue;
  readonly hostList: HostList;
  readonly weightStore: WeightStore;
  readonly peerClient: PeerClient;
  readonly peerServer: PeerServer;
  readonly backends: BackendDriver;
}

/** Options of one entry; durations in ms. */
export interface EntryOptions {
  readonly name: string;
  readonly failureDomain: string;
  readonly callerAddress: string;
  readonly peerAddress: string;
  readonly seeds: readonly string[];
  readonly addressTtlMs: number;
  readonly handoverAfterMs: number;
  readonly resumeWindowMs: number;
  readonly leaseMs: number;
  /** Key that signs the event ids with which callers resume; the same at all entries. */
  readonly ticketKey: string;
}

/** Maximum number of requests in the admission queue. */
const MAX_QUEUED = 2_000;

/** Creates the components of one entry and connects them. */
export class EntryComponents {
  public readonly incarnation: string;

  public readonly membership: Membership;

  public readonly configuration: Configuration;

  public readonly authority: Authority;

  public readonly draining: Draining;

  public readonly leaving: LeavingServers;

  public readonly demand: DemandExchange;

  public readonly policy: ServingPolicy;

  public readonly serving: Serving;

  public readonly holds: EngineHolds;

  public readonly backends: BackendConnections;

  public readonly orders: Orders;

  public readonly planning: Planning;

  public readonly bookings: Bookings;

  public readonly addresses: AddressSelector;

  private readonly directory = new EngineDirectory();

  private readonly servers: ServerDirectory;

  private readonly retries: RetryPolicy;

  private readonly lastLoads = new Map<string, LoadReport>();

  private entryNames: readonly string[];

  public constructor(private readonly deps: EntryDependencies, private readonly options: EntryOptions) {
    const { clock, random } = deps;
    this.incarnation = createIncarnation(clock, random);
    this.entryNames = [options.name];
    this.membership = this.createMembership();
    this.configuration = this.createConfiguration();
    this.authority = new Authority({
      ...deps,
      holder: { member: options.name, address: options.peerAddress, incarnation: this.incarnation },
      leaseMs: options.leaseMs,
      isCandidate: () => !this.membership.self().leaving,
      members: this.membership,
    });
    this.retries = new RetryPolicy({ clock, random, budget: new RetryBudget() });
    this.draining = new Draining(this.membership, clock, deps.log, {
      addressTtlMs: options.addressTtlMs, handoverAfterMs: options.handoverAfterMs,
    });
    this.servers = new ServerDirectory(options.failureDomain, random);
    this.leaving = new LeavingServers({
      ...deps, hosts: deps.hostList, announcements: this.membership, engines: this.directory, servers: this.servers,
    });
    this.demand = new DemandExchange({
      ...this.peerDependencies(), ownDemand: () => this.policy.demand(),
    });
    this.policy = this.createPolicy();
    this.serving = this.createServing();
    this.holds = this.createHolds();
    this.backends = this.createBackends();
    this.orders = new Orders({
      ...deps, authority: this.authority, peers: deps.peerClient, server: deps.peerServer,
    });
    this.planning = this.createPlanning();
    this.bookings = this.createBookings();
    this.addresses = new AddressSelector(this.membership, random, { ttlMs: options.addressTtlMs });
  }

  /** Runs the tasks of all components until `signal` aborts. */
  public async run(signal: AbortSignal): Promise<void> {
    await Promise.all([
      this.membership.run(signal),
      this.configuration.run(signal),
      this.authority.run(signal),
      this.planning.run(signal),
      this.leaving.run(signal),
      this.demand.run(signal),
    ]);
  }

  /** Applies the fleet file in force to the components; does nothing if there is none. */
  public updateFleet(): void {
    const fleet = this.configuration.fleet();
    if (fleet === null) return;
    const names = new Set(fleet.engines.map(({ name }) => name));
    for (const { name } of this.directory.all()) {
      if (names.has(name)) continue;
      this.policy.removeEngine(name);
      this.lastLoads.delete(name);
    }
    for (const name of names) this.policy.addEngine(name);
    this.leaving.applyFleet(fleet);
    this.backends.applyFleet(fleet);
  }

  /** Updates the names of the live entries; the array is replaced only if they changed. */
  public updateEntryNames(): void {
    const names = [this.options.name, ...this.membership.live().map(({ id }) => id)].sort();
    if (names.join() !== this.entryNames.join()) this.entryNames = names;
  }

  /** State of all components, with stable keys and ages in ms. */
  public dump(): Record<string, unknown> {
    return {
      membership: this.membership.dump(),
      configuration: this.configuration.dump(),
      authority: this.authority.dump(),
      orders: this.orders.dump(),
      planning: this.planning.dump(),
      holds: this.holds.dump(),
      leaving: this.leaving.dump(),
      demand: this.demand.dump(),
      backends: this.backends.dump(),
      policy: this.policy.dump(),
      serving: this.serving.dump(),
      bookings: this.bookings.dump(),
    };
  }

  public dispose(): void {
    this.backends.dispose();
    this.configuration.dispose();
    this.orders.dispose();
    this.holds.dispose();
    this.demand.dispose();
  }

  private peerDependencies() {
    const {
      clock, random, log, peerClient: client, peerServer: server,
    } = this.deps;
    return {
      clock, random, log, client, server, members: this.membership,
    };
  }

  private createMembership(): Membership {
    const { options, incarnation } = this;
    return new Membership({
      id: options.name,
      incarnation,
      address: options.peerAddress,
      callerAddress: options.callerAddress,
      failureDomain: options.failureDomain,
      leaving: false,
      revision: 0,
      load: 0,
    }, { ...this.deps, client: this.deps.peerClient, server: this.deps.peerServer }, { seeds: options.seeds });
  }

  private createConfiguration(): Configuration {
    return new Configuration({
      ...this.deps,
      members: this.membership,
      peers: this.deps.peerClient,
      server: this.deps.peerServer,
      seeds: this.options.seeds,
      parse: safeParseFleet,
    });
  }

  private createPolicy(): ServingPolicy {
    return new ServingPolicy({
      ...this.deps,
      directory: this.directory,
      node: this.options.name,
      failureDomain: this.options.failureDomain,
      nodes: () => this.entryNames,
      peerDemand: (model) => this.demand.peerDemand(model),
      maxQueued: MAX_QUEUED,
    });
  }

  private createServing(): Serving {
    return new Serving({
      ...this.deps,
      draining: this.draining,
      dispatcher: this.policy.dispatcher,
      signer: new TicketSigner(this.options.ticketKey),
      engine: (name) => this.backends.engine(name),
      takeRetry: (attempts, deadline) => this.waitForRetry(attempts, deadline),
      recordSuccess: () => this.retries.succeeded(),
      weightOf: (workspace) => this.weightOf(workspace),
      resumeWindowMs: this.options.resumeWindowMs,
    });
  }

  private createHolds(): EngineHolds {
    return new EngineHolds({
      ...this.peerDependencies(),
      activeOn: (engine) => this.serving.activeOn(engine),
      evacuate: (engine) => this.serving.evacuate(engine),
      lastLoad: (engine) => this.lastLoads.get(engine) ?? null,
      onHoldChange: () => this.backends.refreshDirectory(),
    });
  }

  private createBackends(): BackendConnections {
    return new BackendConnections({
      ...this.deps,
      driver: this.deps.backends,
      directory: this.directory,
      servers: this.servers,
      observer: {
        onStatus: (spec, status) => this.leaving.observe(spec.name, status.leaving, status.incarnation),
        onLoad: (report) => {
          this.lastLoads.set(report.engine, report);
          this.leaving.observe(report.engine, report.leaving);
          this.policy.recordLoadReport(report);
        },
        onCacheEvents: (engine, events) => this.policy.applyCacheEvents(engine, events),
        onCacheLost: (engine) => this.policy.clearCachedPrefixes(engine),
      },
      acceptsWork: (engine) => this.leaving.accepts(engine) && this.holds.acceptsWork(engine),
      onDirectoryChange: () => this.policy.dispatcher.placeWaiting(),
    });
  }

  private createPlanning(): Planning {
    return new Planning({
      ...this.deps,
      authority: this.authority,
      orders: this.orders,
      fleet: () => this.configuration.fleet(),
      engine: (spec) => this.backends.engine(spec.name) ?? this.deps.backends.engine(spec),
      roles: new RolePlans({
        ...this.deps,
        demand: (models) => sumDemand(models.map((model) => this.demand.total(model))),
        lastLoad: (engine) => this.lastLoads.get(engine) ?? null,
      }),
      drain: this.holds,
    });
  }

  private createBookings(): Bookings {
    const { deps } = this;
    const caller = new ServiceClient(this.servers, this.retries, deps, (server) => this.leaving.observe(server, true));
    const keyValue = new BatchingKeyValue(deps.keyValue, deps.clock);
    return new Bookings(this.options.name, caller, { ...deps, keyValue });
  }

  private weightOf(workspace: string): number {
    return this.configuration.fleet()?.workspaces.find(({ name }) => name === workspace)?.weight ?? 1;
  }

  private async waitForRetry(attempts: number, deadline: number): Promise<boolean> {
    const decision = this.retries.decide({
      attempts, sent: SendStatus.Unknown, safe: true, deadline, expectedMs: 0,
    });
    if (decision.retry) await sleep(this.deps.clock, decision.delayMs);
    return decision.retry;
  }
}
