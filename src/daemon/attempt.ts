import { EngineErrorCode } from '../core/interfaces/index.js';
import type {
  CacheHandle, Clock, Engine, EngineError, EngineEvent, GenerateCall, Random,
} from '../core/interfaces/index.js';
import type { Placement } from '../core/serving/index.js';
import { fail, ok } from '../core/result.js';
import type { Result } from '../core/result.js';
import { EngineReader } from './enginereader.js';

/** Dependencies of an attempt. */
export interface AttemptContext {
  readonly clock: Clock;
  readonly random: Random;
  readonly engine: (name: string) => Engine | undefined;
}

/** Creates the engine call of an attempt. `extras` selects an import of the KV cache or a prefill without decode. */
export type CallFactory = (
  attemptId: string,
  extras: Pick<GenerateCall, 'importFrom' | 'prefillOnly'>,
) => GenerateCall;

/** Attempt that an engine accepted. */
export interface StartedAttempt {
  readonly engine: Engine;
  readonly attemptId: string;
  readonly events: AsyncIterable<EngineEvent>;
  /** Aborts the engine's stream. */
  readonly stop: AbortController;
}

/** Attempt that failed; with `exclude`, its engine is not used again for this request. */
export interface FailedAttempt {
  readonly engine: string;
  readonly error: EngineError;
  readonly exclude: boolean;
}

/** Timeout in ms for an engine to accept a call. */
export const ACCEPT_TIMEOUT_MS = 2_000;

async function startOnEngine(
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
  // An engine that refused for lack of capacity may accept the request shortly afterwards.
  const exclude = started.error.code !== EngineErrorCode.Refused;
  return fail({ engine: name, error: started.error, exclude });
}

async function prefillOnEngine(
  context: AttemptContext,
  name: string,
  call: CallFactory,
  requestId: string,
  limitMs: number,
): Promise<Result<CacheHandle, FailedAttempt>> {
  const started = await startOnEngine(context, name, call, { prefillOnly: true });
  if (!started.success) return started;
  const {
    engine, attemptId, events, stop,
  } = started.data;
  const reader = new EngineReader(context.clock, events, stop);
  const endedInTime = await reader.readToEnd(limitMs);
  const exported = endedInTime
    ? await engine.exportCache(requestId, attemptId, { timeoutMs: ACCEPT_TIMEOUT_MS })
    : null;
  if (exported?.success === true) return exported;
  const error = exported?.error ?? { code: EngineErrorCode.Broken, message: 'the prefill did not end in time' };
  return fail({ engine: name, error, exclude: true });
}

/**
 * Starts a request on the engine of its placement. If the placement names a separate prefill engine, that engine
 * processes the prompt first, for at most `limitMs`. With `cache`, the KV cache exists already and there is no prefill.
 */
export async function startAttempt(
  context: AttemptContext,
  placement: Placement,
  call: CallFactory,
  opts: { readonly requestId: string; readonly cache: CacheHandle | null; readonly limitMs: number },
): Promise<Result<StartedAttempt, FailedAttempt>> {
  const { requestId, cache, limitMs } = opts;
  if (cache !== null) return startOnEngine(context, placement.engine, call, { importFrom: cache });
  if (placement.prefill === null) return startOnEngine(context, placement.engine, call, {});
  const prefilled = await prefillOnEngine(context, placement.prefill, call, requestId, limitMs);
  if (!prefilled.success) return prefilled;
  return startOnEngine(context, placement.engine, call, { importFrom: prefilled.data });
}
