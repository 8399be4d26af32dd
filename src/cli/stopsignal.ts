/** Signals that stop a process in an orderly way. */
const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;

/** First stop signal of the process. */
export interface StopSignal {
  /** Whether it has arrived. */
  readonly arrived: boolean;
  /** Resolves when it arrives. */
  readonly wait: Promise<void>;
}

/** Listens for the first stop signal; from now on, the listeners of the launcher leave it to this one. */
export function listenForStopSignal(): StopSignal {
  const controller = new AbortController();
  const stop = (): void => controller.abort();
  for (const signal of STOP_SIGNALS) process.on(signal, stop);
  return {
    get arrived() {
      return controller.signal.aborted;
    },
    wait: new Promise((resolve) => {
      controller.signal.addEventListener('abort', () => resolve(), { once: true });
    }),
  };
}
