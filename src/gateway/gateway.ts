import { setMaxListeners } from 'node:events';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { Authority } from '../core/authority/index.js';
import { DisposableStore } from '../core/disposables.js';
import type {
  Clock, KeyValue, Log, PeerClient, PeerServer, Random,
} from '../core/interfaces/index.js';
import { createIncarnation, Membership } from '../core/membership/index.js';
import { fail, ok } from '../core/result.js';
import type { Result } from '../core/result.js';
import { sleep, withTimeout } from '../core/time.js';
import { keepRunning, reportUnexpected } from '../core/unexpected.js';
import { listenHttp } from '../daemon/http.js';
import type { HttpListener, ListenError } from '../daemon/http.js';
import type { Metrics } from '../daemon/metrics.js';
import { AnswerMemory } from './answermemory.js';
import { RetryBudgets } from './budgets.js';
import { RouteTable } from './configuration.js';
import { StoreContact } from './contact.js';
import type { Codec } from './codec.js';
import { ConnectionPool } from './connections.js';
import { ControlClient } from './control.js';
import { MAX_ADDRESSES, sampleAddresses } from './directory.js';
import { Discovery } from './discovery.js';
import { Duties } from './duties.js';
import { Estimates } from './engineestimates.js';
import { BackendFleet } from './fleet.js';
import type { KeySource } from './follower.js';
import { Forwarder } from './forward.js';
import { LeavingAnswers } from './leavinganswers.js';
import { machineLimits } from './machinelimits.js';
import type { MachineLimits } from './machinelimits.js';
import { Occupancy } from './occupancy.js';
import type { Datagrams } from './occupancy.js';
import { ServerPauses } from './pauses.js';
import { PeerGateways } from './peergateways.js';
import { PlaceExchange } from './places/index.js';
import type { Provider } from './provider.js';
import { Quarantine, QuarantineExchange, Trials } from './quarantine/index.js';
import { Records } from './records.js';
import { RelayedSource } from './relays.js';
import { CutOffGateways, ServerReach } from './reach/index.js';
import { RoleBalancer } from './rolebalancer.js';
import { ServerRegistry } from './serverregistry.js';
import { WorkLedger } from './shares/index.js';
import { StreamOriginExchange } from './streampeers.js';
import { StreamRecords } from './streamrecords.js';
import { StreamBindings, StreamVersions } from './streamversions.js';
import { MAX_PREFILLS_PER_ENGINE, MAX_PREFILLS_WHEN_IDLE } from './slotallocator.js';
import type { GatewaySettings } from './settings.js';
import { listenDirectory, listenMetrics, listenReadiness } from './endpoints.js';
import type { EndpointContent } from './endpoints.js';
import { callOf } from './explanation.js';

/** Dependencies of {@link Gateway}. */
export interface GatewayDependencies {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly meter: Metrics;
  readonly store: KeyValue & KeySource & { readonly era: number };
  readonly codec: Codec;
  readonly peerClient: PeerClient;
  readonly peerServer: PeerServer;
  readonly datagrams: Datagrams;
  /** Provider of backend servers; `null` where the settings name none. */
  readonly provider: Provider | null;
}

/** Longest wait in ms of one call for changes. A connection without answers is detected a short timeout later. */
const WATCH_WAIT_MS = 1_400;

/** Shortest time in ms between two reads of server records, which change all the time. */
const SERVERS_PERIOD_MS = 350;

/** Time in ms by which the listener keeps idle connections longer than the idle timeout that callers know. */
const IDLE_MARGIN_MS = 1_000;

/** Limits of the listener before the first configuration. */
const INITIAL_LIMITS = { body: 4_194_304, headerTimeout: 3_000 };

/** Idle timeout in ms before the first configuration. */
const INITIAL_IDLE_MS = 15_000;

/** Largest head of a call in bytes before the first configuration. */
const INITIAL_HEAD_BYTES = 65_536;

/** Bytes of a request line and of what separates headers, which the limit on headers does not count. */
const HEAD_MARGIN_BYTES = 8_192;

/** Gateways that try to acquire a free authority lease where duties depend on it. */
const AUTHORITY_CANDIDATES = 3;

/** Number of bodies of the largest size that always have room. */
const MIN_FULL_BODIES = 3;

/** Time in ms in which an answer travels from a backend server through this process to its caller. */
const TRANSIT_MS = 10;

/** Callers use an answer of the directory for up to three times its TTL. */
const TTL_FACTOR = 3;

/** Time in ms before the end of the grace period at which the listener starts to close. */
const CLOSE_BEFORE_MS = 1_500;

/** Time in ms before the end of the grace period at which the process must have stopped. */
const EXIT_BEFORE_MS = 400;

/** Time in ms in which the answers to the calls that are cut off leave the process. */
const CUT_OFF_MS = 50;

/** Largest number of tasks and calls that listen for the stop signal at the same time without a warning. */
const MAX_STOP_LISTENERS = 200;

/** Process that forwards the calls of callers to backend servers. */
export class Gateway {
  private readonly stop = new AbortController();

  private readonly disposables = new DisposableStore();

  private readonly membership: Membership;

  private readonly authority: Authority;

  private readonly registry: ServerRegistry;

  private readonly occupancy: Occupancy;

  private readonly peers: PeerGateways;

  private readonly reach: ServerReach;

  private readonly fleet: BackendFleet;

  private readonly configuration: Records;

  private readonly servers: Records;

  private readonly forwarder: Forwarder;

  private readonly roles: RoleBalancer;

  private readonly estimates = new Estimates();

  private readonly ledger: WorkLedger;

  private readonly quarantine: Quarantine;

  private readonly quarantineExchange: QuarantineExchange;

  private readonly trials: Trials;

  private readonly duties: Duties;

  private readonly places: PlaceExchange;

  private readonly bindings: StreamBindings;

  private readonly streamRecords: StreamRecords;

  private routes: RouteTable | null = null;

  private listener: HttpListener | null = null;

  private readonly limits: MachineLimits;

  private readonly answers: AnswerMemory;

  private stopping = false;

  /** Monotonic time in ms at which this gateway last tried to acquire authority in place of the first candidate. */
  private triedAuthorityAt = -Infinity;

  /** Monotonic time in ms at which running calls are cut off, or `null` while no planned stop has begun. */
  private endsAt: number | null = null;

  public constructor(private readonly deps: GatewayDependencies, private readonly settings: GatewaySettings) {
    const {
      clock, random, peerClient: client, peerServer: server,
    } = deps;
    this.limits = machineLimits(settings.machine);
    this.answers = new AnswerMemory(clock, this.limits.answerMemory);
    this.membership = new Membership({
      id: settings.gateway.name,
      incarnation: createIncarnation(clock, random),
      address: settings.listen.peers,
      callerAddress: settings.listen.callers,
      failureDomain: settings.gateway.failureDomain,
      leaving: false,
      revision: 0,
      load: 0,
    }, { ...deps, client, server }, { seeds: settings.peers.seeds });
    const contact = new StoreContact(clock);
    this.authority = new Authority({
      ...deps,
      keyValue: deps.store,
      holder: {
        member: settings.gateway.name,
        address: settings.listen.peers,
        incarnation: this.membership.self().incarnation,
      },
      leaseMs: settings.authority.lease,
      isCandidate: () => this.isRunning() && this.isAuthorityCandidate(),
    });
    this.registry = this.disposables.add(new ServerRegistry({ clock, log: deps.log, contact }));
    const leaving = this.disposables.add(new LeavingAnswers({
      ...deps, registry: this.registry, announcements: this.membership,
    }));
    const pauses = this.disposables.add(new ServerPauses(deps));
    const control = new ControlClient({ ...deps, leaving, pauses });
    this.ledger = new WorkLedger(clock);
    this.bindings = new StreamBindings(clock);
    this.occupancy = new Occupancy({
      clock, members: this.membership, datagrams: deps.datagrams, ledger: this.ledger,
    });
    const cutOff = this.disposables.add(new CutOffGateways({ ...deps, announcements: this.membership }));
    this.peers = new PeerGateways({
      membership: this.membership, occupancy: this.occupancy, cutOff, log: deps.log,
    });
    this.reach = new ServerReach({
      ...deps,
      client,
      server,
      members: this.membership,
      cutOff,
      servers: () => this.registry.all().filter((record) => !this.registry.isLeaving(record)),
      probe: async (record) => {
        // A new connection, as open ones may have gone silent although the link works.
        const pool = new ConnectionPool(record.address);
        const answer = await control.send(pool, record, deps.codec.reportRequest(), 'reach');
        pool.dispose();
        return answer !== null;
      },
    });
    this.disposables.add(this.reach.onCutOff(() => this.forwarder.releaseCalls()));
    this.quarantine = new Quarantine(deps);
    const quarantineDeps = {
      ...deps, client, server, members: this.membership, quarantine: this.quarantine,
    };
    this.quarantineExchange = new QuarantineExchange(quarantineDeps, { hasSeeds: settings.peers.seeds.length > 0 });
    this.trials = new Trials(quarantineDeps);
    this.fleet = this.disposables.add(
      new BackendFleet(this.registry, this.occupancy, clock, deps.log, this.quarantine, pauses),
    );
    const recordDeps = {
      ...deps,
      source: new RelayedSource({ ...deps, client, members: this.membership }),
      client,
      server,
      members: this.membership,
      contact,
    };
    const { seeds } = settings.peers;
    this.configuration = new Records(recordDeps, {
      replaced: (entries) => entries.forEach(({ key, value }) => this.applyConfiguration(key, value)),
      put: ({ key, value }) => this.applyConfiguration(key, value),
      removed: () => {},
    }, {
      prefix: deps.codec.configurationPrefix, waitMs: WATCH_WAIT_MS, periodMs: 0, seeds,
    });
    this.servers = new Records(recordDeps, new Discovery(this.registry, deps), {
      prefix: deps.codec.serverPrefix,
      waitMs: WATCH_WAIT_MS,
      periodMs: SERVERS_PERIOD_MS,
      seeds,
    });
    this.duties = new Duties({
      ...deps,
      client,
      server,
      members: this.membership,
      authority: this.authority,
      registry: this.registry,
      occupancy: this.occupancy,
      routes: () => this.routes,
    }, {
      holder: settings.gateway.name, usageWindowMs: settings.usage.window, usageDueMs: settings.usage.due,
    });
    this.places = this.disposables.add(new PlaceExchange({
      ...deps, members: this.membership, cacheTokens: (engine) => this.cacheTokens(engine),
    }, { places: MAX_PREFILLS_PER_ENGINE, maxWhenIdle: MAX_PREFILLS_WHEN_IDLE }));
    this.streamRecords = new StreamRecords({
      ...deps,
      registry: this.registry,
      bindings: this.bindings,
      services: () => this.routes?.resumableServices ?? new Set(),
      gatewayCount: () => this.peers.gatewayCount,
      storeEra: () => deps.store.era,
      refreshServers: (timeoutMs) => this.servers.refresh(deps.store, timeoutMs),
    }, { name: settings.gateway.name, incarnation: this.membership.self().incarnation });
    const budgets = new RetryBudgets(settings.retries, () => this.peers.gatewayCount);
    this.forwarder = this.disposables.add(new Forwarder({
      ...deps,
      fleet: this.fleet,
      routes: () => this.routes,
      budget: (service) => budgets.forService(service),
      occupancy: this.occupancy,
      estimates: this.estimates,
      answers: this.answers,
      ledger: this.ledger,
      streams: new StreamVersions({
        registry: this.registry,
        bindings: this.bindings,
        fleet: this.streamRecords,
        peers: this.disposables.add(new StreamOriginExchange({
          ...deps, client, server, members: this.membership, bindings: this.bindings,
        })),
      }),
      ranksCalls: settings.workspaces.shares,
      places: () => (this.placesAreOwned() ? this.places : null),
      prompts: this.quarantine,
      leaving,
      pauses,
      control,
      reach: this.reach,
      quarantine: this.quarantine,
      exchange: this.quarantineExchange,
      trials: this.trials,
      endsAt: () => this.endsAt,
      countBegin: (workspace) => this.duties.countBegin(workspace),
      recordsAgeMs: () => this.servers.ageMs(),
      keysAreTooOld: () => this.configuration.ageMs() > (settings.workspaces.keyAge ?? Infinity),
    }, { failureDomain: settings.gateway.failureDomain, transitMs: TRANSIT_MS, maxCalls: this.limits.calls }));
    this.roles = new RoleBalancer({
      ...deps,
      authority: this.authority,
      registry: this.registry,
      fleet: this.fleet,
      occupancy: this.occupancy,
      control,
      engineServices: () => this.routes?.engineServices ?? [],
      isScaled: (service) => (this.routes?.configuration.services.get(service)?.scaling ?? null) !== null,
    }, settings.gateway.name);
  }

  /** Whether callers may be sent to this gateway. */
  public ready(): boolean {
    return this.isRunning() && !this.reach.isCutOff;
  }

  /** Opens the listeners and starts to follow the store and the other gateways; fails if an address can't be bound. */
  public async start(): Promise<Result<void, ListenError>> {
    const { listen } = this.settings;
    const { bodyMemory, connections } = this.limits;
    const callers = await listenHttp(listen.callers, (req, res) => this.forward(req, res), {
      ...INITIAL_LIMITS, connections: connections.callers,
    }, {
      keepAliveMs: INITIAL_IDLE_MS + IDLE_MARGIN_MS,
      maxHeaderBytes: INITIAL_HEAD_BYTES,
      maxBodyMemory: (body) => Math.max(bodyMemory, MIN_FULL_BODIES * body),
      bodyStallMs: INITIAL_IDLE_MS,
      clock: this.deps.clock,
      onUnexpected: (err) => reportUnexpected(this.deps, 'call', err),
    });
    const content: EndpointContent = {
      ready: () => this.ready(),
      addressBody: () => this.addressBody(),
      metrics: () => this.deps.meter.render(),
      dump: () => this.dump(),
      explain: (call) => this.forwarder.explain(callOf(call, this.routes?.configuration.workspaces ?? [])),
      orderPart: (key, order) => this.quarantine.order(key, order),
      onUnexpected: (err) => reportUnexpected(this.deps, 'endpoint', err),
    };
    const opened = [
      callers,
      await listenReadiness(listen.readiness, content, connections.readiness),
      await listenDirectory(listen.directory, content, connections.directory),
      await listenMetrics(listen.metrics, content, connections.metrics),
    ];
    for (const listener of opened) {
      if (!listener.success) return fail(listener.error);
      this.disposables.defer(() => listener.data.destroy());
    }
    if (callers.success) this.listener = callers.data;
    const { signal } = this.stop;
    setMaxListeners(MAX_STOP_LISTENERS, signal);
    this.disposables.add(this.peers.logChanges());
    this.disposables.add(this.trials.serve());
    this.disposables.add(this.duties.serve());
    const loops = {
      membership: this.membership,
      configuration: this.configuration,
      servers: this.servers,
      authority: this.authority,
      roles: this.roles,
      occupancy: this.occupancy,
      quarantine: this.quarantineExchange,
      reach: this.reach,
      streams: this.streamRecords,
      ...this.duties.loops,
    };
    for (const [task, loop] of Object.entries(loops)) {
      void keepRunning(this.deps, task, (stopped) => loop.run(stopped), signal);
    }
    this.deps.log.info('started', { gateway: this.settings.gateway.name });
    return ok(undefined);
  }

  /**
   * Stops within the grace period: leaves the directory, still serves the calls that arrive, and lets running calls
   * end.
   */
  public async drain(): Promise<void> {
    const { clock, log } = this.deps;
    const { grace } = this.settings.drain;
    const startedAt = clock.monotonic();
    const leftMs = (): number => grace - (clock.monotonic() - startedAt);
    this.stopping = true;
    this.endsAt = startedAt + grace - EXIT_BEFORE_MS;
    log.info('stopping', { running: this.forwarder.running });
    this.membership.update({ leaving: true });
    void this.authority.release();
    await sleep(clock, Math.min(TTL_FACTOR * this.settings.directory.keep, grace - CLOSE_BEFORE_MS));
    if (this.listener !== null) await withTimeout(clock, Math.max(1, leftMs() - EXIT_BEFORE_MS), this.listener.close());
    await withTimeout(clock, Math.max(1, leftMs() - EXIT_BEFORE_MS / 2), this.duties.handOver());
    void this.membership.depart();
    this.forwarder.endAll();
    // The last answers leave the process in the next turns of the event loop.
    await sleep(clock, CUT_OFF_MS);
    log.info('stopped', { running: this.forwarder.running, took_ms: Math.round(clock.monotonic() - startedAt) });
    this.stop.abort();
    this.disposables.dispose();
  }

  /** State of the gateway; operators and tests rely on its keys. */
  public dump(): Record<string, unknown> {
    return {
      gateway: { name: this.settings.gateway.name, ready: this.ready(), running: this.forwarder.running },
      configuration: { version: this.routes?.configuration.version ?? null, ...this.configuration.dump() },
      servers: { ...this.servers.dump(), paused: this.fleet.pauses.size, list: this.fleet.dump() },
      membership: this.membership.dump(),
      authority: this.authority.dump(),
      occupancy: this.occupancy.dump(),
      reach: this.reach.dump(),
      places: { owned: this.placesAreOwned(), ...this.places.dump() },
      shares: this.ledger.dump(),
      streams: { bound: this.bindings.size, ...this.streamRecords.dump() },
      estimates: this.estimates.dump(),
      quarantine: this.quarantine.dump(),
      duties: this.duties.dump(),
      limits: { ...this.limits, bodies_used: this.listener?.bodyMemory() ?? 0, answers_used: this.answers.used },
    };
  }

  private isRunning(): boolean {
    return !this.stopping && this.routes !== null && this.servers.isComplete;
  }

  /** Tokens that an engine can hold; unlimited while nothing is known of it. */
  private cacheTokens(engine: string): number {
    const service = this.registry.get(engine)?.service;
    const profile = service === undefined ? undefined : this.routes?.configuration.services.get(service)?.engine;
    return profile?.cacheTokens ?? Infinity;
  }

  /** Whether one gateway gives out the places of each engine, instead of all counting the calls of each other. */
  private placesAreOwned(): boolean {
    return this.membership.live().length + 1 >= (this.settings.places.ownedFrom ?? Infinity);
  }

  /**
   * Whether this gateway tries to acquire a free lease. One does, which keeps calls few; where duties depend on it, two
   * more do now and then, because the first may be alive and without the store.
   */
  private isAuthorityCandidate(): boolean {
    const { clock, provider } = this.deps;
    const rank = this.peers.rank('authority', provider === null ? 1 : AUTHORITY_CANDIDATES);
    if (rank <= 0) return rank === 0;
    const now = clock.monotonic();
    if (now - this.triedAuthorityAt < rank * this.authority.leaseMs) return false;
    this.triedAuthorityAt = now;
    return true;
  }

  private async forward(req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (this.stopping || this.reach.isCutOff) res.setHeader('connection', 'close');
    await this.forwarder.handle(req, res);
  }

  private addressBody(): string | null {
    const listed = this.peers.callerAddresses({
      callerAddress: this.settings.listen.callers, ready: this.ready(), configured: this.routes !== null,
    });
    const addresses = sampleAddresses(listed, MAX_ADDRESSES, this.deps.random);
    const { keep } = this.settings.directory;
    return addresses.length === 0 ? null : this.deps.codec.addressBody(addresses, keep);
  }

  private applyConfiguration(key: string, value: string): void {
    const { codec: platformCodec, log, meter } = this.deps;
    const parsed = platformCodec.readConfiguration(key, value);
    if (parsed === null) return;
    if (!parsed.success) {
      log.error('configuration_unreadable', { key, problem: parsed.error });
      return;
    }
    const previous = this.routes?.configuration.version ?? null;
    if (previous === parsed.data.version) return;
    this.routes = new RouteTable(parsed.data);
    const { limits } = parsed.data;
    this.listener?.adjust(
      { body: limits.bodyBytes, headerTimeout: limits.headerTimeoutMs, head: limits.headerBytes + HEAD_MARGIN_BYTES },
      limits.idleTimeoutMs + IDLE_MARGIN_MS,
    );
    this.membership.update({ revision: parsed.data.version });
    meter.gauge('configuration_version', parsed.data.version);
    log.info('configuration_applied', {
      version: parsed.data.version,
      previous,
      routes: parsed.data.routes.length,
      age_ms: Math.round(this.configuration.ageMs()),
    });
  }
}
