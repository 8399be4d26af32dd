import { setMaxListeners } from 'node:events';
import type { Disposable } from '../core/interfaces/index.js';
import { DisposableStore } from '../core/disposables.js';
import type { Fleet, ServiceSpec } from '../core/configuration/index.js';
import type { Refusal } from '../core/refusals.js';
import { fail } from '../core/result.js';
import type { Result } from '../core/result.js';
import { sleep } from '../core/time.js';
import type {
  AddressAnswer, Answer, ApplyOutcome, DrainReport, EntryApi, FleetRevision, GenerateRequest, ServiceOutcome,
  ServiceRequest,
} from './api.js';
import { EntryParts } from './parts.js';
import type { EntryEdges, EntryOptions } from './parts.js';

export type { EntryEdges, EntryOptions } from './parts.js';

/** Requests in flight at which an entry calls itself fully loaded. */
const FULL_LOAD = 500;
const PERIOD_MS = 1_000;
const MAX_TASKS = 100;
const RETRY_AFTER_MS = 1_000;

const NOT_READY: Refusal = { code: 'not_ready', retryAfterMs: RETRY_AFTER_MS };

/** One entry: checks requests against the fleet file and hands them to the coordination parts. */
export class Entry implements EntryApi, Disposable {
  private readonly stop = new AbortController();

  private readonly disposables = new DisposableStore();

  private readonly parts: EntryParts;

  private readonly startedAt: number;

  public constructor(private readonly edges: EntryEdges, private readonly options: EntryOptions) {
    this.startedAt = edges.clock.monotonic();
    // Every task of the entry waits on this signal, which is more than the default that Node.js warns about.
    setMaxListeners(MAX_TASKS, this.stop.signal);
    this.parts = this.disposables.add(new EntryParts(edges, options));
    this.disposables.add(this.parts.configuration.onChange(() => this.follow()));
    this.disposables.add(this.parts.membership.onChange(() => this.parts.followMembers()));
    this.disposables.add(this.parts.leaving.onChange((server) => this.serverLeaves(server)));
    this.disposables.defer(() => this.stop.abort());
  }

  /** Differs for each start of a process. */
  public get incarnation(): string {
    return this.parts.incarnation;
  }

  /** Address at which callers reach this entry. */
  public get callerAddress(): string {
    return this.options.callerAddress;
  }

  /** Runs the entry until it is disposed. */
  public async run(): Promise<void> {
    await Promise.all([this.parts.run(this.stop.signal), this.reportLoad()]);
  }

  /** Whether this entry may plan the fleet at this moment. */
  public holdsAuthority(): boolean {
    return this.parts.authority.mayAct();
  }

  /** Ends all tasks at once, without a planned stop. */
  public dispose(): void {
    this.disposables.dispose();
  }

  public generate(req: GenerateRequest): Promise<Result<Answer, Refusal>> {
    const refusal = this.refuse(req);
    return refusal === null ? this.parts.serving.generate(req) : Promise.resolve(fail(refusal));
  }

  public resume(eventId: string): Promise<Result<Answer, Refusal>> {
    return this.parts.serving.resume(eventId);
  }

  public async callService(req: ServiceRequest): Promise<Result<ServiceOutcome, Refusal>> {
    const fleet = this.parts.configuration.fleet();
    const service = fleet?.services.find(({ name }) => name === req.service);
    const idempotent = service?.idempotent.includes(req.operation) === true;
    const { clock } = this.edges;
    const refusal = fleet === null ? NOT_READY : this.refuseCall(fleet, service, req);
    const deadline = clock.monotonic() + req.deadlineMs;
    const tracked = refusal === null ? this.parts.draining.trackRequest({ handOver: null, deadline }) : null;
    if (tracked === null) return fail(this.refusalOfCall(refusal ?? { code: 'draining' }, req, idempotent));
    const outcome = await (idempotent ? this.parts.bookings.callIdempotent(req) : this.parts.bookings.book(req));
    tracked.dispose();
    return outcome;
  }

  public address(): Result<AddressAnswer, Refusal> {
    return this.parts.addresses.choose();
  }

  public models(): readonly string[] {
    return this.parts.configuration.fleet()?.models.map(({ name }) => name) ?? [];
  }

  public ready(): boolean {
    return this.parts.configuration.fleet() !== null && !this.parts.membership.self().leaving;
  }

  public apply(file: string, baseRevision: number | undefined, timeoutMs: number): Promise<ApplyOutcome> {
    return this.parts.configuration.apply(file, baseRevision, timeoutMs);
  }

  public show(): FleetRevision | null {
    return this.parts.configuration.currentFile();
  }

  public dump(): Record<string, unknown> {
    const { clock } = this.edges;
    return { entry: this.options.name, up_ms: clock.monotonic() - this.startedAt, ...this.parts.dump() };
  }

  public drain(): Promise<DrainReport> {
    void this.parts.authority.release();
    return this.parts.draining.drain(() => this.parts.bookings.waitForPendingWrites());
  }

  private refuse(req: GenerateRequest): Refusal | null {
    const fleet = this.parts.configuration.fleet();
    if (fleet === null) return NOT_READY;
    if (!this.hasWorkspace(fleet, req.workspace)) return { code: 'unknown_workspace', workspace: req.workspace };
    if (!fleet.models.some(({ name }) => name === req.model)) return { code: 'unknown_model', model: req.model };
    return null;
  }

  private refuseCall(fleet: Fleet, service: ServiceSpec | undefined, req: ServiceRequest): Refusal | null {
    if (!this.hasWorkspace(fleet, req.workspace)) return { code: 'unknown_workspace', workspace: req.workspace };
    if (service === undefined) return { code: 'unknown_service', service: req.service };
    const operations = [...service.idempotent, ...service.nonIdempotent];
    if (operations.includes(req.operation)) return null;
    return { code: 'invalid_request', path: 'operation', expected: operations.join(', ') };
  }

  /**
   * Refusal of a call before its record was read. With an idempotency key an earlier attempt may have run, also under
   * a fleet file that has changed since then, so only a call without a key is certainly not run.
   */
  private refusalOfCall(refusal: Refusal, req: ServiceRequest, idempotent: boolean): Refusal {
    if (idempotent || req.idempotencyKey === undefined) return refusal;
    return { code: 'record_not_read', reason: refusal.code, retryAfterMs: RETRY_AFTER_MS };
  }

  private hasWorkspace(fleet: Fleet, workspace: string): boolean {
    return fleet.workspaces.some(({ name }) => name === workspace);
  }

  private follow(): void {
    this.parts.followFleet();
    const revision = this.parts.configuration.currentFile()?.revision ?? 0;
    this.parts.membership.update({ revision });
    this.edges.log.info('fleet_in_force', { revision });
  }

  private serverLeaves(server: string): void {
    this.parts.backends.refresh();
    if (!this.parts.leaving.accepts(server)) this.parts.serving.evacuate(server);
  }

  private async reportLoad(): Promise<void> {
    while (!this.stop.signal.aborted) {
      this.parts.membership.update({ load: Math.min(1, this.parts.serving.active / FULL_LOAD) });
      await sleep(this.edges.clock, PERIOD_MS, this.stop.signal);
    }
  }
}
