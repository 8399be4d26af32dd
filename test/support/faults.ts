import type {
  Clock, Disposable, Engine, KeyValue, KeyValueEntry, Log, Meter, PeerClient,
} from '../../src/core/edges.js';
import { EngineErrorCode } from '../../src/core/edges.js';
import type { Member, Members } from '../../src/core/membership.js';
import { fail, ok } from '../../src/core/result.js';
import type { Result } from '../../src/core/result.js';
import type { EmulatedNetwork } from '../../src/emulator/peers.js';
import type { EmulatedKeyValue } from '../../src/emulator/keyvalue.js';

/** Log and meter that discard everything. */
export const silent: Log & Meter = {
  info() {}, warn() {}, error() {}, count() {}, record() {}, gauge() {},
};

/** Event loop of one process: while it stands still, its timers and the answers to its calls are held back. */
export class Loop {
  private waiting: (() => void)[] | null = null;

  private killed = false;

  /** Orders that pass the guard are held until {@link resume}, as when the process is paused before the write. */
  public pauseBeforeSend = false;

  /** While true, reads give the value that was read first, as a replica of the service that lags does. */
  public staleReads = false;

  private readonly firstReads = new Map<string, KeyValueEntry>();

  public readonly stop = new AbortController();

  public constructor(
    public readonly address: string,
    private readonly base: Clock,
    private readonly network: EmulatedNetwork,
    public readonly keyValue: EmulatedKeyValue,
  ) {}

  public get running(): boolean {
    return this.waiting === null;
  }

  public pause(): void {
    if (this.waiting !== null) return;
    this.waiting = [];
    this.network.pause(this.address);
  }

  public resume(): void {
    if (this.killed) return;
    const { waiting } = this;
    this.waiting = null;
    this.pauseBeforeSend = false;
    for (const callback of waiting ?? []) this.run(callback);
    this.network.unpause(this.address);
  }

  /** Ends the process without any clean-up; nothing of it ever runs again. */
  public kill(): void {
    this.killed = true;
    this.waiting = [];
    this.network.close(this.address);
  }

  public readonly clock: Clock = {
    monotonic: () => this.base.monotonic(),
    now: () => this.base.now(),
    after: (delayMs, callback): Disposable => {
      let cancelled = false;
      const timer = this.base.after(delayMs, () => this.run(() => {
        if (!cancelled) callback();
      }));
      return {
        dispose: () => {
          cancelled = true;
          timer.dispose();
        },
      };
    },
  };

  /** The client whose answers arrive only while the process runs. */
  public gatedKeyValue(): KeyValue {
    const inner: KeyValue = this.keyValue;
    const { stop } = this;
    const held = <T>(answer: Promise<T>): Promise<T> => this.hold(answer);
    return {
      get: (key, opts) => held(inner.get(key, opts).then((result) => this.perhapsStale(key, result))),
      range: (prefix, opts) => held(inner.range(prefix, opts)),
      transact: (operations, opts) => held(inner.transact(operations, opts)),
      leaseGrant: (ttlMs, opts) => held(inner.leaseGrant(ttlMs, opts)),
      leaseRenew: (leaseId, opts) => held(inner.leaseRenew(leaseId, opts)),
      leaseRevoke: (leaseId, opts) => held(inner.leaseRevoke(leaseId, opts)),
      async* watch(prefix, fromVersion, signal) {
        for await (const event of inner.watch(prefix, fromVersion, signal)) yield await held(Promise.resolve(event));
        if (stop.signal.aborted) return;
        await held(Promise.resolve());
      },
    };
  }

  public gatedPeers(): PeerClient {
    const client = this.network.client(this.address);
    return { call: (address, method, params, opts) => this.hold(client.call(address, method, params, opts)) };
  }

  /** The engine as this process reaches it; `cut` names the engines that it cannot reach. */
  public gatedEngine(engine: Engine, cut: ReadonlySet<string> = new Set()): Engine {
    const held = <T>(answer: Promise<T>): Promise<T> => this.hold(answer);
    return Object.assign(Object.create(engine) as Engine, {
      status: (opts: Parameters<Engine['status']>[0]) => held(cut.has(engine.name)
        ? Promise.resolve(fail({ code: EngineErrorCode.Broken, message: 'no answer' }))
        : engine.status(opts)),
      order: async (...[order, opts]: Parameters<Engine['order']>) => {
        if (cut.has(engine.name) || !opts.mayStillSend()) {
          return fail({ code: EngineErrorCode.NotSent, message: 'the order was not sent' });
        }
        if (this.pauseBeforeSend) {
          this.pause();
          await this.hold(Promise.resolve());
        }
        return held(engine.order(order, { ...opts, mayStillSend: () => true }));
      },
    });
  }

  private perhapsStale<E>(key: string, result: Result<KeyValueEntry | null, E>): Result<KeyValueEntry | null, E> {
    if (!result.success || result.data === null) return result;
    const first = this.firstReads.get(key) ?? result.data;
    this.firstReads.set(key, first);
    return this.staleReads ? ok(first) : result;
  }

  private run(callback: () => void): void {
    if (this.waiting === null) callback();
    else this.waiting.push(callback);
  }

  private async hold<T>(answer: Promise<T>): Promise<T> {
    const value = await answer;
    if (this.waiting !== null) {
      await new Promise<void>((resolve) => {
        this.run(resolve);
      });
    }
    return value;
  }
}

/** Membership without a protocol: every entry sees the others unless a test removes them. */
export class FixedMembers {
  public readonly all = new Map<string, Member>();

  private readonly listeners = new Set<() => void>();

  /** Ids of members whose heartbeats do not reach the others. */
  public readonly unseen = new Set<string>();

  public view(address: string, incarnation = '1'): Members {
    this.all.set(address, {
      id: `${address}/${incarnation}`,
      incarnation,
      address,
      callerAddress: address,
      failureDomain: 'regina',
      leaving: false,
      revision: 0,
      load: 0,
    });
    return {
      self: () => this.all.get(address)!,
      live: () => [...this.all.values()].filter((member) => member.address !== address && !this.unseen.has(member.id)),
      update: (facts) => {
        this.all.set(address, { ...this.all.get(address)!, ...facts });
        for (const listener of [...this.listeners]) listener();
      },
      onChange: (listener) => {
        this.listeners.add(listener);
        return { dispose: () => this.listeners.delete(listener) };
      },
    };
  }
}
