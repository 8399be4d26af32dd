import type {
  CallOptions, UnavailableError, HostList, HostRecord, WeightStore,
} from '../core/interfaces/index.js';
import { HostState } from '../core/interfaces/index.js';
import { fail, ok } from '../core/result.js';
import type { Result } from '../core/result.js';

/** In-process host list. Tests set its records, and so decide how late a change becomes visible. */
export class EmulatedHostList implements HostList {
  public down = false;

  private readonly records = new Map<string, HostRecord>();

  public set(host: string, failureDomain: string, state: HostState = HostState.Live): void {
    this.records.set(host, { host, failureDomain, state });
  }

  public list(): Promise<Result<readonly HostRecord[], UnavailableError>> {
    if (this.down) return Promise.resolve(fail({ code: 'unavailable', message: 'no answer from the host list' }));
    return Promise.resolve(ok([...this.records.values()]));
  }
}

/** In-process weight store that describes every model with the same size in bytes and limit of concurrent loads. */
export class EmulatedWeightStore implements WeightStore {
  public constructor(private readonly concurrentLoads = 2, private readonly bytes = 140e9) {}

  public describe(
    _model: string,
    _version: string,
    _opts: CallOptions,
  ): Promise<Result<{ readonly bytes: number; readonly concurrentLoads: number }, UnavailableError>> {
    return Promise.resolve(ok({ bytes: this.bytes, concurrentLoads: this.concurrentLoads }));
  }
}
