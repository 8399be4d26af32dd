import type { Result } from '../result.js';
import type { CallOptions, UnavailableError } from './runtime.js';

/** Whether a host or backend server stays or is about to be removed. */
export enum HostState {
  Live = 'live',
  Leaving = 'leaving',
}

/** One row of the platform's host list. */
export interface HostRecord {
  readonly host: string;
  readonly failureDomain: string;
  readonly state: HostState;
}

/** Interface to the platform's list of live and leaving hosts; the list lags behind the real state. */
export interface HostList {
  /** Fetches all rows of the list. */
  list(opts: CallOptions): Promise<Result<readonly HostRecord[], UnavailableError>>;
}

/** Rate-limited store of model weights, from which engines fetch when they are ordered to load a model. */
export interface WeightStore {
  /** Returns the size in bytes of a model version, and how many loads may run at the same time across the fleet. */
  describe(
    model: string,
    version: string,
    opts: CallOptions,
  ): Promise<Result<{ readonly bytes: number; readonly concurrentLoads: number }, UnavailableError>>;
}
