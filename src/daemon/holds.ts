import { z } from 'zod';
import { DisposableStore } from '../core/disposables.js';
import type {
  Clock, Disposable, LoadReport, Log, PeerClient, PeerError, PeerServer,
} from '../core/interfaces/index.js';
import type { Members } from '../core/membership/index.js';
import type { EngineDrain } from '../core/orders/index.js';
import { fail, ok } from '../core/result.js';
import type { Result } from '../core/result.js';
import { sleep } from '../core/time.js';

const HOLD_METHOD = 'engine.hold';
const RELEASE_METHOD = 'engine.release';

const engineSchema = z.object({ engine: z.string().min(1) });
const activeSchema = z.object({ active: z.number().int().min(0) });

/** A hold that is not renewed expires after this time, so that a crashed authority holder blocks no engine. */
const HOLD_TTL_MS = 5_000;
const RENEWAL_PERIOD_MS = 500;
const TIMEOUT_MS = 500;
/** Load reports are delayed. One read after this time includes the requests of entries that did not answer. */
const REPORT_LAG_MS = 2_500;

/** Options of {@link EngineHolds}. */
export interface EngineHoldsOptions {
  readonly clock: Clock;
  readonly members: Members;
  readonly client: PeerClient;
  readonly server: PeerServer;
  readonly log: Log;
  /** Number of this entry's requests on an engine. */
  readonly activeOn: (engine: string) => number;
  /** Moves this entry's requests off an engine. */
  readonly evacuate: (engine: string) => void;
  readonly lastLoad: (engine: string) => LoadReport | null;
  /** Called after an engine was held or released at this entry. */
  readonly onHoldChange: (engine: string) => void;
}

/**
 * Takes engines out of service at all entries while the holder of the authority lease changes them. An engine on hold
 * gets no new requests.
 */
export class EngineHolds implements EngineDrain, Disposable {
  /** Monotonic time in ms at which the hold of each engine expires at this entry. */
  private readonly heldUntil = new Map<string, number>();

  private readonly disposables = new DisposableStore();

  /** Engines that this entry drains as the holder of the authority lease. */
  private readonly draining = new Map<string, AbortController>();

  public constructor(private readonly options: EngineHoldsOptions) {
    const { server } = options;
    this.disposables.add(server.register(HOLD_METHOD, async (params) => this.handleHold(params)));
    this.disposables.add(server.register(RELEASE_METHOD, async (params) => this.handleRelease(params)));
  }

  /** Whether an engine may get new requests; false while it is on hold. */
  public acceptsWork(engine: string): boolean {
    const until = this.heldUntil.get(engine);
    if (until === undefined) return true;
    if (until > this.options.clock.monotonic()) return false;
    this.heldUntil.delete(engine);
    return true;
  }

  public async drain(
    engine: string,
    opts: { readonly boundMs: number; readonly signal: AbortSignal },
  ): Promise<boolean> {
    const { clock, log } = this.options;
    const startedAt = clock.monotonic();
    const released = new AbortController();
    this.draining.set(engine, released);
    const signal = AbortSignal.any([opts.signal, released.signal]);
    log.info('engine_drain_started', { engine });
    while (!signal.aborted && clock.monotonic() - startedAt < opts.boundMs) {
      const active = await this.holdEverywhere(engine);
      if (active === 0 && this.isReportedIdle(engine, startedAt)) {
        void this.renewHold(engine, signal);
        return true;
      }
      await sleep(clock, RENEWAL_PERIOD_MS, signal);
    }
    log.warn('engine_drain_given_up', { engine, elapsed_ms: clock.monotonic() - startedAt });
    return false;
  }

  public release(engine: string): void {
    this.draining.get(engine)?.abort();
    this.draining.delete(engine);
    this.releaseHere(engine);
    for (const { address } of this.options.members.live()) {
      void this.options.client.call(address, RELEASE_METHOD, { engine }, { timeoutMs: TIMEOUT_MS });
    }
  }

  public dump(): Record<string, unknown> {
    const now = this.options.clock.monotonic();
    return {
      held: Object.fromEntries(
        [...this.heldUntil].map(([engine, until]) => [engine, { for_ms: Math.max(0, until - now) }]),
      ),
      draining: [...this.draining.keys()],
    };
  }

  public dispose(): void {
    for (const controller of this.draining.values()) controller.abort();
    this.disposables.dispose();
  }

  /** Renews a hold until `signal` aborts, that is, until the change is complete. */
  private async renewHold(engine: string, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await sleep(this.options.clock, RENEWAL_PERIOD_MS, signal);
      if (!signal.aborted) await this.holdEverywhere(engine);
    }
  }

  /** Holds an engine at all reachable entries and returns how many of their requests are still on it. */
  private async holdEverywhere(engine: string): Promise<number> {
    const { client, members } = this.options;
    const own = this.holdHere(engine);
    const answers = await Promise.all(members.live().map(async ({ address }) => {
      const answer = await client.call(address, HOLD_METHOD, { engine }, { timeoutMs: TIMEOUT_MS });
      const parsed = answer.success ? activeSchema.safeParse(answer.data) : null;
      // Requests of an entry that does not answer are counted by the engine's own load report.
      return parsed?.success === true ? parsed.data.active : 0;
    }));
    return answers.reduce((sum, active) => sum + active, own);
  }

  private isReportedIdle(engine: string, since: number): boolean {
    if (this.options.clock.monotonic() - since < REPORT_LAG_MS) return false;
    const load = this.options.lastLoad(engine);
    return load !== null && load.running === 0 && load.queued === 0;
  }

  private holdHere(engine: string): number {
    const alreadyHeld = !this.acceptsWork(engine);
    this.heldUntil.set(engine, this.options.clock.monotonic() + HOLD_TTL_MS);
    if (!alreadyHeld) {
      this.options.onHoldChange(engine);
      this.options.clock.after(HOLD_TTL_MS, () => this.expire(engine));
    }
    this.options.evacuate(engine);
    return this.options.activeOn(engine);
  }

  private expire(engine: string): void {
    const until = this.heldUntil.get(engine);
    if (until === undefined) return;
    const left = until - this.options.clock.monotonic();
    if (left > 0) this.options.clock.after(left, () => this.expire(engine));
    else this.releaseHere(engine);
  }

  private releaseHere(engine: string): void {
    if (this.heldUntil.delete(engine)) this.options.onHoldChange(engine);
  }

  private handleHold(params: unknown): Result<unknown, PeerError> {
    const parsed = engineSchema.safeParse(params);
    if (!parsed.success) return fail({ code: 'rejected', message: 'engine is expected' });
    return ok({ active: this.holdHere(parsed.data.engine) });
  }

  private handleRelease(params: unknown): Result<unknown, PeerError> {
    const parsed = engineSchema.safeParse(params);
    if (!parsed.success) return fail({ code: 'rejected', message: 'engine is expected' });
    this.releaseHere(parsed.data.engine);
    return ok({});
  }
}
