import type { Clock, Log, Meter } from './interfaces/index.js';
import { sleep } from './time.js';

/** Longest stack in a log line, in characters. */
const MAX_STACK_CHARACTERS = 2_000;

/** Time in ms after which a loop that has thrown begins again. */
const RESTART_DELAY_MS = 500;

/** Where exceptions that no code expects are reported. */
export interface UnexpectedErrorDependencies {
  readonly log: Log;
  readonly meter: Meter;
}

/** Logs an exception that has ended one task with its cause, and counts it. */
export function reportUnexpected({ log, meter }: UnexpectedErrorDependencies, task: string, err: unknown): void {
  meter.count('unexpected_errors', 1, { task });
  const stack = err instanceof Error ? err.stack ?? err.message : String(err);
  // A warning, so that the limit on the rate of lines holds for it.
  log.warn('unexpected_error', { task, stack: stack.slice(0, MAX_STACK_CHARACTERS) });
}

/** Runs loops side by side until all have ended. If one rejects, it stops the others, waits for them and rejects. */
export async function runTogether(
  signal: AbortSignal,
  loops: readonly ((signal: AbortSignal) => Promise<void>)[],
): Promise<void> {
  const failed = new AbortController();
  const stopped = AbortSignal.any([signal, failed.signal]);
  const results = await Promise.allSettled(loops.map(async (run) => {
    try {
      await run(stopped);
    } catch (err) {
      failed.abort();
      throw err;
    }
  }));
  const rejected = results.find((result) => result.status === 'rejected');
  if (rejected !== undefined) throw rejected.reason;
}

/** Runs a loop until `signal` aborts; after an exception, which is reported, it begins again. Never rejects. */
export async function keepRunning(
  deps: UnexpectedErrorDependencies & { readonly clock: Clock },
  task: string,
  run: (signal: AbortSignal) => Promise<void>,
  signal: AbortSignal,
): Promise<void> {
  while (!signal.aborted) {
    try {
      await run(signal);
      return;
    } catch (err) {
      reportUnexpected(deps, task, err);
    }
    await sleep(deps.clock, RESTART_DELAY_MS, signal);
  }
}
