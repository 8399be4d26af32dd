import type {
  Clock, Log, Random, ServiceAnswer, ServiceError,
} from '../edges/index.js';
import type { Result } from '../result.js';
import { Sent } from '../retries.js';
import type { RetryPolicy } from '../retries.js';
import type { ServerDirectory, ServerFacts } from '../serving/index.js';
import { sleep, within } from '../time.js';

/** Call of a plain service after the caller's input has been checked. */
export interface ServiceRequest {
  readonly workspace: string;
  readonly service: string;
  readonly operation: string;
  readonly body: string;
  readonly deadlineMs: number;
  readonly idempotencyKey?: string;
}

/** Retry policy of the entry; one budget covers engines and plain services. */
export type CallRetries = Pick<RetryPolicy, 'decide' | 'succeeded'>;

/** What became of a call after all tries. */
export type CallOutcome =
  | { readonly type: 'answered'; readonly answer: ServiceAnswer }
  /** No try was sent, with certainty. */
  | { readonly type: 'not_sent'; readonly reason: 'no_server' | 'deadline' }
  /** A try was sent and its answer is missing; `late` resolves if an answer still arrives. */
  | { readonly type: 'unknown'; readonly late: Promise<ServiceAnswer | null> };

/** Options of {@link ServiceCaller.call}. */
export interface CallPlan {
  readonly requestId: string;
  readonly attemptId: string;
  /** Monotonic time in ms. */
  readonly deadline: number;
  /** True for idempotent operations, which may be sent again after a missing answer. */
  readonly repeatable: boolean;
}

/** Edges of {@link ServiceCaller}. */
export interface CallerEdges {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
}

/** Sends calls to backend servers of plain services and tries others where that is safe. */
export class ServiceCaller {
  public constructor(
    private readonly servers: ServerDirectory,
    private readonly retries: CallRetries,
    private readonly edges: CallerEdges,
    /** Told when a server refuses because it leaves. */
    private readonly onLeaving: (server: string) => void = () => {},
  ) {}

  public has(service: string): boolean {
    return this.servers.has(service);
  }

  /** Calls until an answer, a missing answer that must not be repeated, or no further try. */
  public async call(req: ServiceRequest, plan: CallPlan): Promise<CallOutcome> {
    const { clock } = this.edges;
    const excluded = new Set<string>();
    let late: Promise<ServiceAnswer | null> | null = null;
    const stopped = (reason: 'no_server' | 'deadline'): CallOutcome => (
      late === null ? { type: 'not_sent', reason } : { type: 'unknown', late }
    );
    for (let attempts = 1; ; attempts += 1) {
      const startedAt = clock.monotonic();
      if (startedAt >= plan.deadline) return stopped('deadline');
      const server = this.servers.choose(req.service, excluded);
      if (server === null) return stopped('no_server');
      const pending = this.send(server, req, plan, attempts);
      const result = await within(clock, plan.deadline - startedAt, pending);
      if (result?.success === true) {
        this.retries.succeeded();
        return { type: 'answered', answer: result.data };
      }
      const sent = result?.error.sent === 'no' ? Sent.No : Sent.Unknown;
      if (sent === Sent.Unknown) late = pending.then((final) => (final.success ? final.data : null));
      if (result?.error.code === 'leaving') this.onLeaving(server.name);
      excluded.add(server.name);
      const decision = this.retries.decide({
        attempts, sent, safe: plan.repeatable, deadline: plan.deadline, expectedMs: 0,
      });
      // An unsafe call is never sent again after a missing answer, whatever the policy says.
      if (!decision.retry || (late !== null && !plan.repeatable)) return stopped('no_server');
      await sleep(clock, decision.delayMs);
    }
  }

  private async send(
    server: ServerFacts,
    req: ServiceRequest,
    plan: CallPlan,
    attempts: number,
  ): Promise<Result<ServiceAnswer, ServiceError>> {
    const attemptId = `${plan.attemptId}-${attempts}`;
    const handle = this.servers.begin(server.name);
    const result = await server.client.call({
      requestId: plan.requestId,
      attemptId,
      workspace: req.workspace,
      operation: req.operation,
      body: req.body,
      ...(req.idempotencyKey === undefined ? {} : { idempotencyKey: req.idempotencyKey }),
    }, { timeoutMs: plan.deadline - this.edges.clock.monotonic() });
    handle.dispose();
    if (!result.success) return result;
    const { requestId, attemptId: answered } = result.data;
    if (requestId === plan.requestId && answered === attemptId) return result;
    this.edges.log.error('foreign_service_answer', { server: server.name, requestId });
    return {
      success: false,
      error: { code: 'broken', sent: 'unknown', message: 'the answer belongs to another request' },
    };
  }
}
