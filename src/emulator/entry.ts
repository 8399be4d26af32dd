import { EngineErrorCode } from '../core/interfaces/index.js';
import type {
  Clock, Engine, KeyValue, KeyValueEntry, Log, Meter, PeerClient,
} from '../core/interfaces/index.js';
import type { Member, Members } from '../core/membership/index.js';
import { fail, ok } from '../core/result.js';
import { EmulatedKeyValue } from './keyvalue.js';
import type { KeyValueStore } from './keyvalue.js';
import type { EmulatedNetwork } from './peers.js';
import { EmulatedProcess } from './process.js';

/** Log and meter that discard everything. */
export const silentLogAndMeter: Log & Meter = {
  info() {}, warn() {}, error() {}, count() {}, record() {}, gauge() {},
};

/**
 * Point at which sending an order pauses the process: before the guard is checked, or between the check and the write.
 * Without a duration in ms the pause lasts until {@link EmulatedEntry.resume}.
 */
export interface PausePoint {
  readonly at: 'guard' | 'send';
  readonly lengthMs?: number;
}

/** Emulated process of one entry with its clock, its connections and its engines; pauses and kills apply to all. */
export class EmulatedEntry {
  public readonly process: EmulatedProcess;

  /** Client of the key-value service; tests inject faults into this entry's connection here. */
  public readonly connection: EmulatedKeyValue;

  public readonly keyValue: KeyValue;

  public readonly peers: PeerClient;

  public readonly clock: Clock;

  /** While true, reads of single keys return the value that was read first, as a lagging replica would. */
  public staleReads = false;

  /** Where the next order pauses the process; null for nowhere. */
  public pausePoint: PausePoint | null = null;

  private readonly firstReads = new Map<string, KeyValueEntry>();

  public constructor(
    public readonly address: string,
    private readonly outerClock: Clock,
    private readonly network: EmulatedNetwork,
    store: KeyValueStore,
  ) {
    this.process = new EmulatedProcess(outerClock);
    this.clock = this.process.clock;
    this.connection = new EmulatedKeyValue(store, outerClock);
    this.keyValue = this.process.deferResults(this.withStaleReads(this.connection));
    this.peers = this.process.deferResults(network.client(address));
  }

  public get running(): boolean {
    return this.process.running;
  }

  /** Pauses the process and holds back the messages to it. */
  public pause(): void {
    if (!this.process.running) return;
    this.process.pause();
    this.network.pause(this.address);
  }

  /** Removes the pause point and ends the pause. */
  public resume(): void {
    if (!this.process.alive) return;
    this.pausePoint = null;
    this.process.unpause();
    this.network.unpause(this.address);
  }

  /** Kills the process without any clean-up. */
  public kill(): void {
    if (!this.process.alive) return;
    this.process.kill();
    this.network.close(this.address);
  }

  /**
   * Engine client of this process. With `ignoreGuard`, orders are sent although `mayStillSend` forbids it, which
   * simulates a faulty sender.
   */
  public engine(engine: Engine, ignoreGuard = false): Engine {
    const guarded = this.process.deferResults(engine);
    return new Proxy(guarded, {
      get: (target, key) => (key === 'order' ? this.createOrderMethod(guarded, ignoreGuard) : Reflect.get(target, key, target)),
    });
  }

  private createOrderMethod(engine: Engine, ignoreGuard: boolean): Engine['order'] {
    return async (order, opts) => {
      await this.pauseIfConfigured('guard');
      if (!opts.mayStillSend() && !ignoreGuard) {
        return fail({ code: EngineErrorCode.NotSent, message: 'the order was not sent' });
      }
      await this.pauseIfConfigured('send');
      return engine.order(order, { ...opts, mayStillSend: () => true });
    };
  }

  private async pauseIfConfigured(at: PausePoint['at']): Promise<void> {
    const { pausePoint } = this;
    if (pausePoint?.at !== at) return;
    this.pause();
    if (pausePoint.lengthMs !== undefined) this.outerClock.after(pausePoint.lengthMs, () => this.resume());
    await this.process.waitUntilRunning();
  }

  private withStaleReads(inner: KeyValue): KeyValue {
    const get: KeyValue['get'] = async (key, opts) => {
      const result = await inner.get(key, opts);
      if (!result.success || result.data === null) return result;
      const first = this.firstReads.get(key) ?? result.data;
      this.firstReads.set(key, first);
      return this.staleReads ? ok(first) : result;
    };
    return new Proxy(inner, {
      get: (target, key) => {
        if (key === 'get') return get;
        const value: unknown = Reflect.get(target, key, target);
        return typeof value === 'function' ? (value as () => unknown).bind(target) : value;
      },
    });
  }
}

/** Membership without a protocol: every change is visible to all entries at once. */
export class EmulatedMembers {
  private readonly all = new Map<string, Member>();

  private readonly listeners = new Set<() => void>();

  /** Adds the member at an address and returns its view of the group. */
  public view(address: string, incarnation = '1', failureDomain = 'regina'): Members {
    this.all.set(address, {
      id: `${address}/${incarnation}`,
      incarnation,
      address,
      callerAddress: address,
      failureDomain,
      leaving: false,
      revision: 0,
      load: 0,
    });
    return {
      self: () => this.all.get(address)!,
      live: () => [...this.all.values()].filter((member) => member.address !== address),
      update: (changes) => {
        this.all.set(address, { ...this.all.get(address)!, ...changes });
        for (const listener of [...this.listeners]) listener();
      },
      onChange: (listener) => {
        this.listeners.add(listener);
        return { dispose: () => this.listeners.delete(listener) };
      },
    };
  }
}
