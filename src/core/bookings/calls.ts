import type {
  Clock, Log, Random, ServiceAnswer, ServiceError,
} from '../interfaces/index.js';
import type { Result } from '../result.js';
import { SendStatus } from '../retries.js';
import type { RetryPolicy } from '../retries.js';
import type { ServerDirectory, ServerInfo } from '../serving/index.js';
import { sleep, withTimeout } from '../time.js';

/** Call of a plain service, after the caller's input has been validated. */
export interface ServiceRequest {
  readonly workspace: string;
  readonly service: string;
  readonly operation: string;
  readonly body: string;
  readonly deadlineMs: number;
  readonly idempotencyKey?: string;
}

/** Retry policy of the entry; its budget is shared by engines and plain services. */
export type CallRetries = Pick<RetryPolicy, 'decide' | 'succeeded'>;

/** Result of a call after all tries. */
export type CallOutcome =
  | { readonly type: 'answered'; readonly answer: ServiceAnswer }
  /** It is certain that no try was sent. */
  | { readonly type: 'not_sent'; readonly reason: 'no_server' | 'deadline' }
  /** A try was sent but not answered; `late` resolves to its answer if one still arrives, or else to `null`. */
  | { readonly type: 'unknown'; readonly late: Promise<ServiceAnswer | null> };

/** Options of {@link ServiceClient.call}. */
export interface CallPlan {
  readonly requestId: string;
  /** Id that all tries share; a number is appended to it for each try. */
  readonly attemptId: string;
  /** Monotonic time in ms. */
  readonly deadline: number;
  /** True for idempotent operations, which may be sent again after a missing answer. */
  readonly repeatable: boolean;
}

/** Dependencies of {@link ServiceClient}. */
export interface ServiceClientDependencies {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
}

/** Sends calls to the backend servers of plain services, and tries other servers if that is safe. */
export class ServiceClient {
  public constructor(
    private readonly servers: ServerDirectory,
    private readonly retries: CallRetries,
    private readonly deps: ServiceClientDependencies,
    /** Called when a server refuses a call because it is leaving. */
    private readonly onLeaving: (server: string) => void = () => {},
  ) {}

  /** Whether the service has any backend servers. */
  public has(service: string): boolean {
    return this.servers.has(service);
  }

  /** Tries servers until one answers, a try may have run and must not be repeated, or no further try is allowed. */
  public async call(req: ServiceRequest, plan: CallPlan): Promise<CallOutcome> {
    const { clock } = this.deps;
    const excluded = new Set<string>();
    let late: Promise<ServiceAnswer | null> | null = null;
    const withoutAnswer = (reason: 'no_server' | 'deadline'): CallOutcome => (
      late === null ? { type: 'not_sent', reason } : { type: 'unknown', late }
    );
    for (let attempts = 1; ; attempts += 1) {
      const startedAt = clock.monotonic();
      if (startedAt >= plan.deadline) return withoutAnswer('deadline');
      const server = this.servers.choose(req.service, excluded);
      if (server === null) return withoutAnswer('no_server');
      const pending = this.send(server, req, plan, attempts);
      const result = await withTimeout(clock, plan.deadline - startedAt, pending);
      if (result?.success === true) {
        this.retries.succeeded();
        return { type: 'answered', answer: result.data };
      }
      const sent = result?.error.sent === 'no' ? SendStatus.No : SendStatus.Unknown;
      if (sent === SendStatus.Unknown) late = pending.then((final) => (final.success ? final.data : null));
      if (result?.error.code === 'leaving') this.onLeaving(server.name);
      excluded.add(server.name);
      const decision = this.retries.decide({
        attempts, sent, safe: plan.repeatable, deadline: plan.deadline, expectedMs: 0,
      });
      // A call that must not be repeated is never sent again after a missing answer, whatever the policy decides.
      if (!decision.retry || (late !== null && !plan.repeatable)) return withoutAnswer('no_server');
      await sleep(clock, decision.delayMs);
    }
  }

  private async send(
    server: ServerInfo,
    req: ServiceRequest,
    plan: CallPlan,
    attempts: number,
  ): Promise<Result<ServiceAnswer, ServiceError>> {
    const attemptId = `${plan.attemptId}-${attempts}`;
    const handle = this.servers.beginCall(server.name);
    const result = await server.client.call({
      requestId: plan.requestId,
      attemptId,
      workspace: req.workspace,
      operation: req.operation,
      body: req.body,
      ...(req.idempotencyKey === undefined ? {} : { idempotencyKey: req.idempotencyKey }),
    }, { timeoutMs: plan.deadline - this.deps.clock.monotonic() });
    handle.dispose();
    if (!result.success) return result;
    const { requestId, attemptId: answered } = result.data;
    if (requestId === plan.requestId && answered === attemptId) return result;
    this.deps.log.error('foreign_service_answer', { server: server.name, requestId });
    return {
      success: false,
      error: { code: 'broken', sent: 'unknown', message: 'the answer belongs to another request' },
    };
  }
}
