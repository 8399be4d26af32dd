import type {
  CallOptions, Clock, PlainService, ServiceAnswer, ServiceCall, ServiceError,
} from '../core/interfaces/index.js';
import { fail, ok } from '../core/result.js';
import type { Result } from '../core/result.js';
import { sleep } from '../core/time.js';

/** Counts how often each operation of a plain service ran; shared by all backend servers of the service. */
export class ServiceLedger {
  /** Number of runs by `<workspace>/<operation>/<body>`. */
  public readonly runs = new Map<string, number>();

  /** Records one run of a call and returns how often the call has run by now. */
  public run(call: ServiceCall): number {
    const key = `${call.workspace}/${call.operation}/${call.body}`;
    const count = (this.runs.get(key) ?? 0) + 1;
    this.runs.set(key, count);
    return count;
  }
}

/** In-process backend server of a plain service; it does not deduplicate calls. */
export class EmulatedService implements PlainService {
  /** While true, calls fail before they are sent. */
  public unreachable = false;

  /** Number of following calls that run but whose answer is lost. */
  public loseAnswers = 0;

  public leaving = false;

  public latencyMs = 5;

  public constructor(
    public readonly name: string,
    private readonly clock: Clock,
    private readonly ledger: ServiceLedger,
  ) {}

  public async call(call: ServiceCall, opts: CallOptions): Promise<Result<ServiceAnswer, ServiceError>> {
    if (this.unreachable) return fail({ code: 'unreachable', sent: 'no', message: 'connection refused' });
    if (this.leaving) return fail({ code: 'leaving', sent: 'no', message: 'the backend server is leaving' });
    await sleep(this.clock, this.latencyMs);
    const run = this.ledger.run(call);
    if (this.loseAnswers > 0) {
      this.loseAnswers -= 1;
      await sleep(this.clock, opts.timeoutMs, opts.signal);
      return fail({ code: 'broken', sent: 'unknown', message: 'the connection broke before the answer' });
    }
    return ok({
      requestId: call.requestId,
      attemptId: call.attemptId,
      status: 200,
      body: JSON.stringify({ operation: call.operation, body: call.body, run }),
    });
  }
}
