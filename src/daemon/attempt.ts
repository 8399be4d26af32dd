import { EngineErrorCode } from '../core/interfaces/index.js';
import type {
  CacheHandle, Clock, Engine, EngineError, EngineEvent, GenerateCall, Random,
} from '../core/interfaces/index.js';
import type { Placement } from '../core/serving/index.js';
import { fail, ok } from '../core/result.js';
import type { Result } from '../core/result.js';
import { EngineReader } from './reader.js';

/** What an attempt needs from its entry. */
export interface AttemptContext {
  readonly clock: Clock;
  readonly random: Random;
  readonly engine: (name: string) => Engine | undefined;
}

/** Makes the call of an attempt; `extras` say how the prompt's KV cache comes or goes. */
export type CallFactory = (
  attemptId: string,
  extras: Pick<GenerateCall, 'importFrom' | 'prefillOnly'>,
) => GenerateCall;

/** Attempt that an engine has accepted. */
export interface StartedAttempt {
  readonly engine: Engine;
  readonly attemptId: string;
  readonly events: AsyncIterable<EngineEvent>;
  /** Ends the reading. */
  readonly stop: AbortController;
}

/** Attempt that has failed, and whether its engine should not be tried again for this request. */
export interface FailedAttempt {
  readonly engine: string;
  readonly error: EngineError;
  readonly exclude: boolean;
}

/** Time for an engine to accept a call, in ms. */
export const ACCEPT_TIMEOUT_MS = 2_000;

async function generateAt(
  context: AttemptContext,
  name: string,
  call: CallFactory,
  extras: Pick<GenerateCall, 'importFrom' | 'prefillOnly'>,
): Promise<Result<StartedAttempt, FailedAttempt>> {
  const engine = context.engine(name);
  if (engine === undefined) {
    const error = { code: EngineErrorCode.NotSent, message: `unknown engine ${name}` };
    return fail({ engine: name, error, exclude: true });
  }
  const attemptId = context.random.id();
  const stop = new AbortController();
  const opts = { timeoutMs: ACCEPT_TIMEOUT_MS, signal: stop.signal };
  const started = await engine.generate(call(attemptId, extras), opts);
  if (started.success) {
    return ok({
      engine, attemptId, events: started.data, stop,
    });
  }
  // An engine that is merely full may take the request a moment later.
  const exclude = started.error.code !== EngineErrorCode.Refused;
  return fail({ engine: name, error: started.error, exclude });
}

async function prefillAt(
  context: AttemptContext,
  name: string,
  call: CallFactory,
  requestId: string,
  limitMs: number,
): Promise<Result<CacheHandle, FailedAttempt>> {
  const started = await generateAt(context, name, call, { prefillOnly: true });
  if (!started.success) return started;
  const {
    engine, attemptId, events, stop,
  } = started.data;
  const reader = new EngineReader(context.clock, events, stop);
  const ended = await reader.drain(limitMs);
  const exported = ended ? await engine.exportCache(requestId, attemptId, { timeoutMs: ACCEPT_TIMEOUT_MS }) : null;
  if (exported?.success === true) return exported;
  const error = exported?.error ?? { code: EngineErrorCode.Broken, message: 'the prefill did not end in time' };
  return fail({ engine: name, error, exclude: true });
}

/**
 * Starts a request where it was placed. A separate prefill engine runs the prompt first, for at most `limitMs`, unless
 * `cache` brings the KV cache already.
 */
export async function startAttempt(
  context: AttemptContext,
  placement: Placement,
  call: CallFactory,
  opts: { readonly requestId: string; readonly cache: CacheHandle | null; readonly limitMs: number },
): Promise<Result<StartedAttempt, FailedAttempt>> {
  const { requestId, cache, limitMs } = opts;
  if (cache !== null) return generateAt(context, placement.engine, call, { importFrom: cache });
  if (placement.prefill === null) return generateAt(context, placement.engine, call, {});
  const prefilled = await prefillAt(context, placement.prefill, call, requestId, limitMs);
  if (!prefilled.success) return prefilled;
  return generateAt(context, placement.engine, call, { importFrom: prefilled.data });
}
