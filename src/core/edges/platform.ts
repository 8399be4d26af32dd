import type { Result } from '../result.js';
import type { CallOptions, EdgeError } from './runtime.js';

/** Whether a host or backend server is staying. */
export enum HostState {
  Live = 'live',
  Leaving = 'leaving',
}

/** One row of the platform's lagging host list. */
export interface HostRecord {
  readonly host: string;
  readonly failureDomain: string;
  readonly state: HostState;
}

/** Lagging list of live and leaving hosts. */
export interface HostList {
  list(opts: CallOptions): Promise<Result<readonly HostRecord[], EdgeError>>;
}

/** Rate-limited store of model weights; engines fetch from it when ordered to load. */
export interface WeightStore {
  /** Size in bytes of one version of a model, and how many loads may run at the same time across the fleet. */
  describe(
    model: string,
    version: string,
    opts: CallOptions,
  ): Promise<Result<{ readonly bytes: number; readonly concurrentLoads: number }, EdgeError>>;
}
