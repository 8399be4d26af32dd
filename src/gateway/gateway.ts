import { setMaxListeners } from 'node:events';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { Authority } from '../core/authority/index.js';
import { DisposableStore } from '../core/disposables.js';
import type {
  Clock, KeyValue, Log, PeerClient, PeerServer, Random,
} from '../core/edges/index.js';
import { createIncarnation, Membership } from '../core/membership/index.js';
import { fail, ok } from '../core/result.js';
import type { Result } from '../core/result.js';
import { sleep, within } from '../core/time.js';
import { listenHttp } from '../daemon/http.js';
import type { HttpListener, ListenError } from '../daemon/http.js';
import type { Metrics } from '../daemon/metrics.js';
import { RetryBudgets } from './budgets.js';
import { RouteTable } from './configuration.js';
import { StoreContact } from './contact.js';
import type { Dialect } from './dialect.js';
import { MAX_ADDRESSES, sampleAddresses } from './directory.js';
import { Discovery } from './discovery.js';
import { BackendFleet } from './fleet.js';
import type { KeySource } from './follower.js';
import { Forwarder } from './forward.js';
import { Occupancy } from './occupancy.js';
import type { Datagrams } from './occupancy.js';
import { PeerGateways } from './others.js';
import { Records } from './records.js';
import { RoleBalancer } from './rolekeeper.js';
import { ServerRegistry } from './servers.js';
import type { GatewaySettings } from './settings.js';
import { listenDirectory, listenMetrics, listenReadiness } from './surfaces.js';
import type { Shown } from './surfaces.js';

/** Everything outside of a gateway. */
export interface GatewayEdges {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly meter: Metrics;
  readonly store: KeyValue & KeySource;
  readonly dialect: Dialect;
  readonly peerClient: PeerClient;
  readonly peerServer: PeerServer;
  readonly datagrams: Datagrams;
}

/** Wait in ms of a call for changes; a silent connection is noticed within it and a short time-out. */
const WATCH_WAIT_MS = 1_400;

/** Servers write all the time, so their changes are read at this period in ms. */
const SERVERS_PERIOD_MS = 350;

/** Callers may reuse connections for most of the idle time-out; the listener waits a little longer. */
const IDLE_MARGIN_MS = 1_000;

/** Limits before the first configuration; connections leave descriptors for backend servers and peers. */
const FIRST_LIMITS = { body: 4_194_304, connections: 2_500, headerTimeout: 3_000 };

const FIRST_IDLE_MS = 15_000;

/** Heads are read up to this size in bytes. */
const MAX_HEAD_BYTES = 65_536;

/** Bytes of bodies in memory, all callers together. */
const MAX_UNREAD_BODIES = 48_000_000;

/** Time in ms that an answer needs from a backend server through this process to its caller. */
const TRANSIT_MS = 10;

/** Callers keep an answer of the directory for up to three times its time to live. */
const KEEP_FACTOR = 3;

/** Time in ms before the end of the grace at which the listener closes, and at which the process ends. */
const CLOSE_BEFORE_MS = 1_500;

const EXIT_BEFORE_MS = 400;

/** Tasks and calls that wait for the end of the process at the same time. */
const MAX_TASKS = 200;

/** One process between callers and backend servers. */
export class Gateway {
  private readonly stop = new AbortController();

  private readonly disposables = new DisposableStore();

  private readonly membership: Membership;

  private readonly authority: Authority;

  private readonly registry: ServerRegistry;

  private readonly occupancy: Occupancy;

  private readonly others: PeerGateways;

  private readonly fleet: BackendFleet;

  private readonly configuration: Records;

  private readonly servers: Records;

  private readonly forwarder: Forwarder;

  private readonly roles: RoleBalancer;

  private routes: RouteTable | null = null;

  private listener: HttpListener | null = null;

  private stopping = false;

  /** Monotonic time in ms by which running calls are broken, once a planned stop has begun. */
  private endsAt: number | null = null;

  public constructor(private readonly edges: GatewayEdges, private readonly settings: GatewaySettings) {
    const {
      clock, random, peerClient: client, peerServer: server,
    } = edges;
    this.membership = new Membership({
      id: settings.gateway.name,
      incarnation: createIncarnation(clock, random),
      address: settings.listen.peers,
      callerAddress: settings.listen.callers,
      failureDomain: settings.gateway.failureDomain,
      leaving: false,
      revision: 0,
      load: 0,
    }, { ...edges, client, server }, { seeds: settings.peers.seeds });
    const contact = new StoreContact(clock);
    this.authority = new Authority({
      ...edges,
      keyValue: edges.store,
      holder: {
        member: settings.gateway.name,
        address: settings.listen.peers,
        incarnation: this.membership.self().incarnation,
      },
      leaseMs: settings.authority.lease,
      // The others look for a free lease only if the picked one does not take it, which keeps calls few.
      isCandidate: () => this.ready() && this.others.isSelected('authority'),
    });
    this.registry = this.disposables.add(new ServerRegistry({ clock, log: edges.log, contact }));
    this.occupancy = new Occupancy({ clock, members: this.membership, datagrams: edges.datagrams });
    this.others = new PeerGateways({ membership: this.membership, occupancy: this.occupancy, log: edges.log });
    this.fleet = this.disposables.add(new BackendFleet(this.registry, this.occupancy, clock, edges.log));
    const recordEdges = {
      ...edges, source: edges.store, client, server, members: this.membership, contact,
    };
    const { seeds } = settings.peers;
    this.configuration = new Records(recordEdges, {
      replaced: (entries) => entries.forEach(({ key, value }) => this.configure(key, value)),
      put: ({ key, value }) => this.configure(key, value),
      removed: () => {},
    }, {
      prefix: edges.dialect.configurationPrefix, waitMs: WATCH_WAIT_MS, periodMs: 0, seeds,
    });
    this.servers = new Records(recordEdges, new Discovery(this.registry, edges), {
      prefix: edges.dialect.serverPrefix,
      waitMs: WATCH_WAIT_MS,
      periodMs: SERVERS_PERIOD_MS,
      seeds,
    });
    const budgets = new RetryBudgets(settings.retries, () => this.others.gatewayCount);
    this.forwarder = this.disposables.add(new Forwarder({
      ...edges,
      fleet: this.fleet,
      routes: () => this.routes,
      budget: (service) => budgets.forService(service),
      occupancy: this.occupancy,
      endsAt: () => this.endsAt,
      knowledgeAgeMs: () => this.servers.ageMs(),
    }, { failureDomain: settings.gateway.failureDomain, transitMs: TRANSIT_MS }));
    this.roles = new RoleBalancer({
      ...edges,
      authority: this.authority,
      registry: this.registry,
      fleet: this.fleet,
      occupancy: this.occupancy,
      engineServices: () => this.routes?.engineServices ?? [],
    }, settings.gateway.name);
  }

  /** Whether callers may be sent here. */
  public ready(): boolean {
    return !this.stopping && this.routes !== null && this.servers.isComplete;
  }

  /** Opens the listeners and begins to follow the store and the other gateways. */
  public async start(): Promise<Result<void, ListenError>> {
    const { listen } = this.settings;
    const callers = await listenHttp(listen.callers, (req, res) => this.forward(req, res), FIRST_LIMITS, {
      keepAlive: FIRST_IDLE_MS + IDLE_MARGIN_MS, maxHead: MAX_HEAD_BYTES, unreadBodies: MAX_UNREAD_BODIES,
    });
    const shown: Shown = {
      ready: () => this.ready(),
      addressBody: () => this.addressBody(),
      metrics: () => this.edges.meter.render(),
      dump: () => this.dump(),
    };
    const opened = [
      callers,
      await listenReadiness(listen.readiness, shown),
      await listenDirectory(listen.directory, shown),
      await listenMetrics(listen.metrics, shown),
    ];
    for (const listener of opened) {
      if (!listener.success) return fail(listener.error);
      this.disposables.defer(() => listener.data.destroy());
    }
    if (callers.success) this.listener = callers.data;
    const { signal } = this.stop;
    setMaxListeners(MAX_TASKS, signal);
    this.disposables.add(this.others.logChanges());
    void Promise.all([
      this.membership.run(signal),
      this.configuration.run(signal),
      this.servers.run(signal),
      this.authority.run(signal),
      this.roles.run(signal),
      this.occupancy.run(signal),
    ]);
    this.edges.log.info('started', { gateway: this.settings.gateway.name });
    return ok(undefined);
  }

  /** Leaves the directory, serves what still arrives, lets running calls end and stops within the grace. */
  public async drain(): Promise<void> {
    const { clock, log } = this.edges;
    const { grace } = this.settings.drain;
    const startedAt = clock.monotonic();
    const left = (): number => grace - (clock.monotonic() - startedAt);
    this.stopping = true;
    this.endsAt = startedAt + grace - EXIT_BEFORE_MS;
    log.info('stopping', { running: this.forwarder.running });
    this.membership.update({ leaving: true });
    void this.authority.release();
    await sleep(clock, Math.min(KEEP_FACTOR * this.settings.directory.keep, grace - CLOSE_BEFORE_MS));
    if (this.listener !== null) await within(clock, Math.max(1, left() - EXIT_BEFORE_MS), this.listener.close());
    void this.membership.depart();
    log.info('stopped', { running: this.forwarder.running, took_ms: Math.round(clock.monotonic() - startedAt) });
    this.stop.abort();
    this.disposables.dispose();
  }

  /** State under stable keys. */
  public dump(): Record<string, unknown> {
    return {
      gateway: { name: this.settings.gateway.name, ready: this.ready(), running: this.forwarder.running },
      configuration: { version: this.routes?.configuration.version ?? null, ...this.configuration.dump() },
      servers: { ...this.servers.dump(), list: this.fleet.dump() },
      membership: this.membership.dump(),
      authority: this.authority.dump(),
      occupancy: this.occupancy.dump(),
    };
  }

  private async forward(req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (this.stopping) res.setHeader('connection', 'close');
    await this.forwarder.handle(req, res);
  }

  private addressBody(): string | null {
    const named = this.others.callerAddresses({
      callerAddress: this.settings.listen.callers, ready: this.ready(), configured: this.routes !== null,
    });
    const addresses = sampleAddresses(named, MAX_ADDRESSES, this.edges.random);
    const { keep } = this.settings.directory;
    return addresses.length === 0 ? null : this.edges.dialect.addressBody(addresses, keep);
  }

  private configure(key: string, value: string): void {
    const { dialect, log, meter } = this.edges;
    const parsed = dialect.readConfiguration(key, value);
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
      { body: limits.bodyBytes, headerTimeout: limits.headerTimeoutMs },
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
