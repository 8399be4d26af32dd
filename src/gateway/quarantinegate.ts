import type { Disposable, Meter } from '../core/interfaces/index.js';
import type { CallContext } from './callcontext.js';
import type { Refusal } from './outcome.js';
import { suspectIds } from './placement.js';
import type { Quarantine, QuarantineExchange, Trials } from './quarantine/index.js';

/** Longest retry delay in ms that is stated for a call on a part in quarantine. */
const MAX_RETRY_AFTER_MS = 300_000;

const MIN_RETRY_AFTER_MS = 250;

/** Dependencies of {@link QuarantineGate}. */
export interface QuarantineGateDependencies {
  readonly meter: Meter;
  readonly quarantine: Quarantine;
  readonly exchange: Pick<QuarantineExchange, 'whenSynchronized'>;
  readonly trials: Pick<Trials, 'request'>;
}

/** Call whose prompt is watched for parts in quarantine, and the function that ends it. */
interface WatchedCall {
  readonly context: CallContext;
  readonly abort: () => void;
}

/** Decides whether a call may be sent, by the parts of its prompt. */
export class QuarantineGate implements Disposable {
  private readonly watched = new Set<WatchedCall>();

  /** Calls that try whether a part in quarantine works again. */
  private readonly trialCalls = new WeakSet<CallContext>();

  private readonly subscription: Disposable;

  public constructor(private readonly deps: QuarantineGateDependencies) {
    this.subscription = deps.quarantine.onBlocked((keys) => this.abortBlocked(keys));
  }

  /** Calls `abort` if a part of the prompt is put into quarantine before an answer has begun. */
  public watch(context: CallContext, abort: () => void): Disposable {
    const call: WatchedCall = { context, abort };
    this.watched.add(call);
    return { dispose: () => this.watched.delete(call) };
  }

  /** Refusal of a call on a part in quarantine, unless the call is to try it; `null` for all others. */
  public async admit(context: CallContext): Promise<Refusal | null> {
    if (context.call.generation === null) return null;
    await this.deps.exchange.whenSynchronized();
    const key = this.findBlocked(context);
    if (key === null) return null;
    if (await this.deps.trials.request(key)) {
      this.trialCalls.add(context);
      return null;
    }
    this.deps.meter.count('quarantine_refused');
    return this.refusal(key);
  }

  /** Whether a call tries a part in quarantine, so that it may end its server and must not run at a second one. */
  public isTrial(context: CallContext): boolean {
    return this.trialCalls.has(context);
  }

  /** Refusal of a call whose prompt has a part in quarantine by now, or `null`. */
  public refusalOf(context: CallContext): Refusal | null {
    const key = this.trialCalls.has(context) ? null : this.findBlocked(context);
    return key === null ? null : this.refusal(key);
  }

  public dispose(): void {
    this.subscription.dispose();
  }

  private refusal(key: string): Refusal {
    const delayMs = this.deps.quarantine.trialDelayMs(key);
    return {
      code: 'quarantined',
      part: key.slice(key.lastIndexOf('/') + 1),
      retryAfterMs: Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, delayMs)),
    };
  }

  private findBlocked({ call, body, service }: CallContext): string | null {
    if (!this.deps.quarantine.hasBlocked) return null;
    return this.deps.quarantine.findBlocked(service.name, suspectIds(call, body));
  }

  private abortBlocked(keys: ReadonlySet<string>): void {
    for (const { context, abort } of this.watched) {
      const key = this.findBlocked(context);
      if (key !== null && keys.has(key) && context.trace.firstMs === null) abort();
    }
  }
}
