import { setMaxListeners } from 'node:events';
import type { Disposable } from '../core/interfaces/index.js';
import { DisposableStore } from '../core/disposables.js';
import type { Fleet, ServiceSpec } from '../core/configuration/index.js';
import type { Refusal } from '../core/refusals.js';
import { fail } from '../core/result.js';
import type { Result } from '../core/result.js';
import { sleep } from '../core/time.js';
import type {
  AddressAnswer, Answer, ApplyOutcome, DrainReport, EntryApi, FleetRevision, GenerateRequest,
  ServiceOutcome, ServiceRequest,
} from './api.js';
import { EntryComponents } from './components.js';
import type { EntryDependencies, EntryOptions } from './components.js';

export type { EntryDependencies, EntryOptions } from './components.js';

/** Number of active requests at which an entry reports full load (1). */
const FULL_LOAD_REQUESTS = 500;
const LOAD_UPDATE_PERIOD_MS = 1_000;
const MAX_SIGNAL_LISTENERS = 100;
const RETRY_AFTER_MS = 1_000;

const NOT_READY: Refusal = { code: 'not_ready', retryAfterMs: RETRY_AFTER_MS };

/** One entry: validates requests against the fleet file and passes them to its components. */
export class Entry implements EntryApi, Disposable {
  private readonly stop = new AbortController();

  private readonly disposables = new DisposableStore();

  private readonly components: EntryComponents;

  private readonly startedAt: number;

  public constructor(private readonly deps: EntryDependencies, private readonly options: EntryOptions) {
    this.startedAt = deps.clock.monotonic();
    // Every task of the entry listens to this signal; Node.js would warn about more than 10 listeners.
    setMaxListeners(MAX_SIGNAL_LISTENERS, this.stop.signal);
    this.components = this.disposables.add(new EntryComponents(deps, options));
    this.disposables.add(this.components.configuration.onChange(() => this.onFleetChange()));
    this.disposables.add(this.components.membership.onChange(() => this.components.updateEntryNames()));
    this.disposables.add(this.components.leaving.onChange((server) => this.onLeavingChange(server)));
    this.disposables.defer(() => this.stop.abort());
  }

  /** Identifies this start of the process; each start has a new one. */
  public get incarnation(): string {
    return this.components.incarnation;
  }

  /** Address at which callers reach this entry. */
  public get callerAddress(): string {
    return this.options.callerAddress;
  }

  /** Runs the entry's tasks until it is disposed. */
  public async run(): Promise<void> {
    await Promise.all([this.components.run(this.stop.signal), this.publishLoad()]);
  }

  /** Whether this entry holds the authority lease and may change the fleet at this moment. */
  public holdsAuthority(): boolean {
    return this.components.authority.mayAct();
  }

  /** Stops all tasks immediately, without a planned stop. */
  public dispose(): void {
    this.disposables.dispose();
  }

  public generate(req: GenerateRequest): Promise<Result<Answer, Refusal>> {
    const refusal = this.checkGenerateRequest(req);
    return refusal === null ? this.components.serving.generate(req) : Promise.resolve(fail(refusal));
  }

  public resume(eventId: string): Promise<Result<Answer, Refusal>> {
    return this.components.serving.resume(eventId);
  }

  public async callService(req: ServiceRequest): Promise<Result<ServiceOutcome, Refusal>> {
    const fleet = this.components.configuration.fleet();
    const service = fleet?.services.find(({ name }) => name === req.service);
    const idempotent = service?.idempotent.includes(req.operation) === true;
    const { clock } = this.deps;
    const refusal = fleet === null ? NOT_READY : this.checkServiceRequest(fleet, service, req);
    const deadline = clock.monotonic() + req.deadlineMs;
    const tracked = refusal === null ? this.components.draining.trackRequest({ handOver: null, deadline }) : null;
    if (tracked === null) return fail(this.refusalBeforeRecordRead(refusal ?? { code: 'draining' }, req, idempotent));
    const outcome = await (idempotent
      ? this.components.bookings.callIdempotent(req)
      : this.components.bookings.book(req));
    tracked.dispose();
    return outcome;
  }

  public address(): Result<AddressAnswer, Refusal> {
    return this.components.addresses.choose();
  }

  public models(): readonly string[] {
    return this.components.configuration.fleet()?.models.map(({ name }) => name) ?? [];
  }

  public ready(): boolean {
    return this.components.configuration.fleet() !== null && !this.components.membership.self().leaving;
  }

  public apply(file: string, baseRevision: number | undefined, timeoutMs: number): Promise<ApplyOutcome> {
    return this.components.configuration.apply(file, baseRevision, timeoutMs);
  }

  public show(): FleetRevision | null {
    return this.components.configuration.currentFile();
  }

  public dump(): Record<string, unknown> {
    const { clock } = this.deps;
    return { entry: this.options.name, up_ms: clock.monotonic() - this.startedAt, ...this.components.dump() };
  }

  public drain(): Promise<DrainReport> {
    void this.components.authority.release();
    return this.components.draining.drain(() => this.components.bookings.waitForPendingWrites());
  }

  private checkGenerateRequest(req: GenerateRequest): Refusal | null {
    const fleet = this.components.configuration.fleet();
    if (fleet === null) return NOT_READY;
    if (!this.hasWorkspace(fleet, req.workspace)) return { code: 'unknown_workspace', workspace: req.workspace };
    if (!fleet.models.some(({ name }) => name === req.model)) return { code: 'unknown_model', model: req.model };
    return null;
  }

  private checkServiceRequest(fleet: Fleet, service: ServiceSpec | undefined, req: ServiceRequest): Refusal | null {
    if (!this.hasWorkspace(fleet, req.workspace)) return { code: 'unknown_workspace', workspace: req.workspace };
    if (service === undefined) return { code: 'unknown_service', service: req.service };
    const operations = [...service.idempotent, ...service.nonIdempotent];
    if (operations.includes(req.operation)) return null;
    return { code: 'invalid_request', path: 'operation', expected: operations.join(', ') };
  }

  /**
   * Refusal of a service call before its record is read. If the call has an idempotency key, an earlier attempt may
   * have run, possibly under an older fleet file. Only a call without a key is certain not to have run.
   */
  private refusalBeforeRecordRead(refusal: Refusal, req: ServiceRequest, idempotent: boolean): Refusal {
    if (idempotent || req.idempotencyKey === undefined) return refusal;
    return { code: 'record_not_read', reason: refusal.code, retryAfterMs: RETRY_AFTER_MS };
  }

  private hasWorkspace(fleet: Fleet, workspace: string): boolean {
    return fleet.workspaces.some(({ name }) => name === workspace);
  }

  private onFleetChange(): void {
    this.components.updateFleet();
    const revision = this.components.configuration.currentFile()?.revision ?? 0;
    this.components.membership.update({ revision });
    this.deps.log.info('fleet_in_force', { revision });
  }

  private onLeavingChange(server: string): void {
    this.components.backends.refreshDirectory();
    if (!this.components.leaving.accepts(server)) this.components.serving.evacuate(server);
  }

  private async publishLoad(): Promise<void> {
    while (!this.stop.signal.aborted) {
      this.components.membership.update({ load: Math.min(1, this.components.serving.active / FULL_LOAD_REQUESTS) });
      await sleep(this.deps.clock, LOAD_UPDATE_PERIOD_MS, this.stop.signal);
    }
  }
}
