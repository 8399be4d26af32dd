import { Addresses } from '../core/addresses.js';
import { Authority } from '../core/authority.js';
import { BatchingKeyValue } from '../core/batching.js';
import { Bookings } from '../core/bookings.js';
import { ServiceCaller } from '../core/calls.js';
import { Configuration } from '../core/configuration.js';
import { EngineDirectory } from '../core/directory.js';
import { DisposableStore } from '../core/disposables.js';
import type {
  Clock, HostList, KeyValue, Log, Meter, PeerClient, PeerServer, Random, WeightStore,
} from '../core/edges.js';
import { safeParseFleet } from '../core/fleet.js';
import type { Fleet } from '../core/fleet.js';
import { createIncarnation, Membership } from '../core/membership.js';
import type { Refusal } from '../core/refusals.js';
import { fail } from '../core/result.js';
import type { Result } from '../core/result.js';
import { RetryBudget, RetryPolicy, Sent } from '../core/retries.js';
import { ServerDirectory } from '../core/servers.js';
import { TicketSigner } from '../core/streams.js';
import { sleep } from '../core/time.js';
import type {
  AddressAnswer, Answer, ApplyOutcome, DrainReport, EntryApi, GenerateRequest, InForce, ServiceOutcome, ServiceRequest,
} from './api.js';
import { Backends } from './backends.js';
import type { BackendDriver } from './backends.js';
import { ServingPolicy } from './policy.js';
import { Serving } from './serving.js';

/** Everything outside of an entry. */
export interface EntryEdges {
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
  readonly addressKeepMs: number;
  readonly drainBoundMs: number;
  readonly resumeWindowMs: number;
  readonly leaseMs: number;
  /** Key of the event ids that callers resume with; the same at all entries. */
  readonly ticketKey: string;
}

const MAX_QUEUED = 2_000;
/** Requests in flight at which an entry calls itself fully loaded. */
const FULL_LOAD = 500;
const LOAD_PERIOD_MS = 1_000;

/** One entry: joins the coordination parts and serves callers and operators. */
export class Entry implements EntryApi {
  private readonly stop = new AbortController();

  private readonly disposables = new DisposableStore();

  private readonly directory = new EngineDirectory();

  private readonly membership: Membership;

  private readonly configuration: Configuration;

  private readonly authority: Authority;

  private readonly policy: ServingPolicy;

  private readonly servers: ServerDirectory;

  private readonly backends: Backends;

  private readonly serving: Serving;

  private readonly bookings: Bookings;

  private readonly addresses: Addresses;

  private readonly retries: RetryPolicy;

  private readonly startedAt: number;

  private nodes: readonly string[];

  /** Differs for each start of a process. */
  public readonly incarnation: string;

  public constructor(private readonly edges: EntryEdges, private readonly options: EntryOptions) {
    const { clock, random } = edges;
    this.startedAt = clock.monotonic();
    this.nodes = [options.name];
    this.incarnation = createIncarnation(clock, random);
    this.membership = this.createMembership();
    this.configuration = this.createConfiguration();
    this.authority = new Authority({
      ...edges,
      holder: { member: options.name, address: options.peerAddress, incarnation: this.incarnation },
      leaseMs: options.leaseMs,
    });
    this.retries = new RetryPolicy({ clock, random, budget: new RetryBudget() });
    this.policy = new ServingPolicy({
      clock,
      random,
      directory: this.directory,
      node: options.name,
      failureDomain: options.failureDomain,
      nodes: () => this.nodes,
      maxQueued: MAX_QUEUED,
    });
    this.servers = new ServerDirectory(options.failureDomain, random);
    this.backends = this.createBackends();
    this.serving = this.createServing();
    this.bookings = new Bookings(
      options.name,
      new ServiceCaller(this.servers, this.retries, edges),
      { ...edges, keyValue: new BatchingKeyValue(edges.keyValue, clock) },
    );
    this.addresses = new Addresses(this.membership, random, { keepMs: options.addressKeepMs });
  }

  /** Runs the entry until it is stopped. */
  public async run(): Promise<void> {
    const { signal } = this.stop;
    this.disposables.add(this.configuration.onChange(() => this.follow()));
    this.disposables.add(this.membership.onChange(() => this.followMembers()));
    await Promise.all([
      this.membership.run(signal),
      this.configuration.run(signal),
      this.authority.run(signal),
      this.reportLoad(signal),
    ]);
  }

  /** Address at which callers reach this entry. */
  public get callerAddress(): string {
    return this.options.callerAddress;
  }

  /** Whether this entry may plan the fleet at this moment. */
  public holdsAuthority(): boolean {
    return this.authority.mayAct();
  }

  /** Ends all tasks at once, without a planned stop. */
  public dispose(): void {
    this.stop.abort();
    this.backends.dispose();
    this.configuration.dispose();
    this.disposables.dispose();
  }

  public generate(req: GenerateRequest): Promise<Result<Answer, Refusal>> {
    const refusal = this.refuse(req);
    return refusal === null ? this.serving.generate(req) : Promise.resolve(fail(refusal));
  }

  public resume(eventId: string): Promise<Result<Answer, Refusal>> {
    return this.serving.resume(eventId);
  }

  public callService(req: ServiceRequest): Promise<Result<ServiceOutcome, Refusal>> {
    const fleet = this.configuration.fleet();
    if (fleet === null) return Promise.resolve(fail({ code: 'not_ready', retryAfterMs: LOAD_PERIOD_MS }));
    if (!this.hasWorkspace(fleet, req.workspace)) {
      return Promise.resolve(fail({ code: 'unknown_workspace', workspace: req.workspace }));
    }
    const service = fleet.services.find(({ name }) => name === req.service);
    if (service === undefined) return Promise.resolve(fail({ code: 'unknown_service', service: req.service }));
    if (service.idempotent.includes(req.operation)) return this.bookings.callIdempotent(req);
    if (service.nonIdempotent.includes(req.operation)) return this.bookings.book(req);
    return Promise.resolve(fail({
      code: 'invalid_request',
      path: 'operation',
      expected: [...service.idempotent, ...service.nonIdempotent].join(', '),
    }));
  }

  public address(): Result<AddressAnswer, Refusal> {
    return this.addresses.choose();
  }

  public models(): readonly string[] {
    return this.configuration.fleet()?.models.map(({ name }) => name) ?? [];
  }

  public ready(): boolean {
    return this.configuration.fleet() !== null && !this.membership.self().leaving;
  }

  public apply(file: string, baseRevision: number | undefined, timeoutMs: number): Promise<ApplyOutcome> {
    return this.configuration.apply(file, baseRevision, timeoutMs);
  }

  public show(): InForce | null {
    return this.configuration.show();
  }

  public dump(): Record<string, unknown> {
    return {
      entry: this.options.name,
      up_ms: this.edges.clock.monotonic() - this.startedAt,
      membership: this.membership.dump(),
      configuration: this.configuration.dump(),
      authority: this.authority.dump(),
      backends: this.backends.dump(),
      policy: this.policy.dump(),
      serving: this.serving.dump(),
      bookings: this.bookings.dump(),
    };
  }

  public async drain(): Promise<DrainReport> {
    const { clock, log } = this.edges;
    const started = clock.monotonic();
    this.membership.update({ leaving: true });
    log.info('drain_started');
    await this.authority.release();
    await sleep(clock, this.options.addressKeepMs);
    const bound = started + this.options.drainBoundMs;
    while (this.serving.active > 0 && clock.monotonic() < bound) await sleep(clock, 50);
    this.serving.handOverAll();
    await this.bookings.settled();
    await this.membership.depart();
    const report: DrainReport = {
      finished: 0, handedOver: this.serving.handedOver, cut: 0, durationMs: clock.monotonic() - started,
    };
    log.info('drain_finished', { ...report });
    return report;
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
    }, { ...this.edges, client: this.edges.peerClient, server: this.edges.peerServer }, { seeds: options.seeds });
  }

  private createConfiguration(): Configuration {
    return new Configuration({
      ...this.edges,
      members: this.membership,
      peers: this.edges.peerClient,
      server: this.edges.peerServer,
      seeds: this.options.seeds,
      parse: safeParseFleet,
    });
  }

  private createBackends(): Backends {
    return new Backends({
      ...this.edges,
      driver: this.edges.backends,
      directory: this.directory,
      servers: this.servers,
      observer: {
        status: () => {},
        load: (report) => this.policy.report(report),
        cacheEvents: () => {},
      },
      accepts: () => true,
      changed: () => this.policy.dispatcher.pump(),
    });
  }

  private createServing(): Serving {
    return new Serving({
      ...this.edges,
      dispatcher: this.policy.dispatcher,
      signer: new TicketSigner(this.options.ticketKey),
      engine: (name) => this.backends.engine(name),
      retry: (attempts, deadline) => this.retry(attempts, deadline),
      succeeded: () => this.retries.succeeded(),
      resumeWindowMs: this.options.resumeWindowMs,
    });
  }

  private async retry(attempts: number, deadline: number): Promise<boolean> {
    const decision = this.retries.decide({
      attempts, sent: Sent.Unknown, safe: true, deadline, expectedMs: 0,
    });
    if (decision.retry) await sleep(this.edges.clock, decision.delayMs);
    return decision.retry;
  }

  private refuse(req: GenerateRequest): Refusal | null {
    const fleet = this.configuration.fleet();
    if (fleet === null) return { code: 'not_ready', retryAfterMs: LOAD_PERIOD_MS };
    if (!this.hasWorkspace(fleet, req.workspace)) return { code: 'unknown_workspace', workspace: req.workspace };
    if (!fleet.models.some(({ name }) => name === req.model)) return { code: 'unknown_model', model: req.model };
    return null;
  }

  private hasWorkspace(fleet: Fleet, workspace: string): boolean {
    return fleet.workspaces.some(({ name }) => name === workspace);
  }

  private follow(): void {
    const fleet = this.configuration.fleet();
    if (fleet === null) return;
    for (const { name } of fleet.engines) this.policy.follow(name);
    this.backends.follow(fleet);
    const revision = this.configuration.show()?.revision ?? 0;
    this.membership.update({ revision });
    this.edges.log.info('fleet_in_force', { revision });
  }

  private followMembers(): void {
    const names = [this.options.name, ...this.membership.live().map(({ id }) => id)].sort();
    if (names.join() !== this.nodes.join()) this.nodes = names;
  }

  private async reportLoad(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.membership.update({ load: Math.min(1, this.serving.active / FULL_LOAD) });
      await sleep(this.edges.clock, LOAD_PERIOD_MS, signal);
    }
  }
}
