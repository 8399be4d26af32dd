import type { Clock, Disposable } from './interfaces/index.js';

/** Waits `delayMs` milliseconds or until `signal` aborts; never rejects. */
export function sleep(clock: Clock, delayMs: number, signal?: AbortSignal): Promise<void> {
  if (signal?.aborted === true) return Promise.resolve();
  return new Promise((resolve) => {
    let timer: Disposable | null = null;
    const wake = (): void => {
      timer?.dispose();
      signal?.removeEventListener('abort', wake);
      resolve();
    };
    timer = clock.after(delayMs, wake);
    signal?.addEventListener('abort', wake, { once: true });
  });
}

/** Waits for `work` and returns its value, or `null` after `timeoutMs` milliseconds; rejects if `work` rejects. */
export async function withTimeout<T>(clock: Clock, timeoutMs: number, work: Promise<T>): Promise<T | null> {
  const expiry = new AbortController();
  const timeout = sleep(clock, timeoutMs, expiry.signal).then(() => null);
  try {
    return await Promise.race([work, timeout]);
  } finally {
    expiry.abort();
  }
}
