import type { Clock, Log } from '../core/edges/index.js';
import type { RetryBudget } from '../core/retries.js';
import { CallKind } from './configuration.js';
import { askServer } from './control.js';
import type { Dialect, PrefillHandle, SendPlan } from './dialect.js';
import type { BackendFleet, BackendServer } from './fleet.js';
import type { Refusal } from './outcome.js';
import type { ReservedServer, SlotAllocator } from './places.js';
import { Upstream } from './upstream.js';
import type { SendOutcome } from './upstream.js';
import { note } from './work.js';
import type { SendTrace, Work } from './work.js';

/** Edges of {@link Sender}. */
export interface SenderEdges {
  readonly clock: Clock;
  readonly log: Log;
  readonly dialect: Dialect;
  readonly fleet: BackendFleet;
  /** Budget for second sends to a service, shared with the other processes by its share. */
  readonly budget: (service: string) => RetryBudget;
}

/** Least time in ms without an answer that says something about an engine. */
const LEAST_SILENCE_MS = 350;

/** Silence that says something about an engine, in usual times of an answer. */
const SILENCE_FACTOR = 1.5;

/** The same for plain services, whose work takes several times its target now and then. */
const PLAIN_SILENCE_MS = 700;

const PLAIN_SILENCE_FACTOR = 2.5;

const MAX_HANDLE_BYTES = 65_536;

/** Time in ms for the rest of a refusal, after which its connection is closed. */
const REFUSAL_BODY_MS = 500;

/** Least time in ms that makes a send worthwhile. */
const LEAST_SEND_MS = 5;

const RETRY_AFTER_MS = 250;

/** KV cache of a prefilled prompt, and the engine that holds it. */
export interface PrefilledPrompt {
  readonly type: 'handle';
  readonly handle: PrefillHandle;
  readonly holder: BackendServer;
}

/** What became of a prefill. */
export type Prefilled =
  | PrefilledPrompt
  | { readonly type: 'refused'; readonly refusal: Refusal };

/** One send with the outcome up to the head of its answer. */
export interface Sending {
  readonly use: BackendServer;
  readonly upstream: Upstream;
  readonly outcome: SendOutcome;
  readonly tookMs: number;
  /** Whether it was given up because nothing came in the usual time. */
  readonly silent: boolean;
}

/** Whether a call may run more than once. */
export function mayRunTwice({ route }: Work): boolean {
  return route.kind === CallKind.Idempotent || (route.kind === CallKind.Stream && route.resumable);
}

/** Sends calls to backend servers and keeps to the retry budget. */
export class Sender {
  public constructor(
    private readonly edges: SenderEdges,
    private readonly places: SlotAllocator,
    private readonly opts: { readonly transitMs: number },
  ) {}

  /**
   * Prefills a prompt on an engine of that role that is not in `tried`, and adds those that are asked; only the first
   * prefill of a call is free of the budget.
   */
  public async prefill(work: Work, tried: Set<string>, again: boolean): Promise<Prefilled> {
    const { service, trace } = work;
    const { clock, budget, dialect } = this.edges;
    for (let asked = 0; ; asked += 1) {
      const place = await this.places.reservePrefill(work, tried);
      note(trace, place.success ? 'line' : 'line:refused', clock.monotonic());
      if (!place.success) return { type: 'refused', refusal: place.error };
      const { server, reservation } = place.data;
      if (work.ended.aborted) {
        reservation.dispose();
        return { type: 'refused', refusal: { code: 'expired', retryAfterMs: RETRY_AFTER_MS } };
      }
      if ((again || asked > 0) && !budget(service.name).take()) {
        reservation.dispose();
        note(trace, 'prefill:budget', clock.monotonic());
        return { type: 'refused', refusal: { code: 'not_executed', retryAfterMs: RETRY_AFTER_MS } };
      }
      tried.add(server.id);
      const {
        use, upstream, outcome, tookMs,
      } = await this.send(work, place.data, { type: 'prefill' });
      if (outcome.type === 'answered' && outcome.head.status === 200) {
        const body = await upstream.collect(MAX_HANDLE_BYTES);
        const handle = body === null ? null : dialect.readHandle(server, body);
        if (handle !== null) {
          this.places.recordDuration('prefill', tookMs);
          return { type: 'handle', handle, holder: use };
        }
        note(trace, 'handle:unreadable', clock.monotonic());
      } else if (outcome.type === 'answered') upstream.abort('no handle');
      if (outcome.type !== 'not_sent') trace.arrivals += 1;
    }
  }

  /** Whether one more send may reach a backend server; takes it from the budget where it is not the first. */
  public mayArrive({ trace, service }: Work): boolean {
    if (trace.arrivals === 0 || this.edges.budget(service.name).take()) {
      trace.arrivals += 1;
      return true;
    }
    note(trace, 'budget:empty', this.edges.clock.monotonic());
    return false;
  }

  /** Sends a call once and waits for the head of the answer; the place is released when the answer has ended. */
  public async send(work: Work, { server, reservation }: ReservedServer, what: SendPlan['work']): Promise<Sending> {
    const { clock, dialect, fleet } = this.edges;
    const use = fleet.serverFor(server);
    const probe = use.countProbe();
    const sentAt = clock.monotonic();
    const trace: SendTrace = { revision: fleet.revision(server.id), writtenMs: null };
    work.trace.sends.push(trace);
    const upstream = new Upstream(work.call, dialect, use.pool, {
      server,
      deadlineMs: Math.max(LEAST_SEND_MS, work.deadline - sentAt - this.opts.transitMs),
      // Ranks would let long prompts preempt answers that have run for seconds.
      priority: null,
      work: what,
    }, work.body, () => {
      trace.writtenMs = Math.round(clock.monotonic() - sentAt);
    });
    const stop = (): void => upstream.abort(String(work.ended.reason));
    work.ended.addEventListener('abort', stop, { once: true });
    let silent = false;
    const silence = clock.after(this.silenceMs(work, what), () => {
      silent = true;
      if (use.answeredAt < sentAt) use.wasUnreachable();
      // A prefill is not a run. A server that answers others may still never answer this call.
      if (what.type === 'prefill' || mayRunTwice(work)) upstream.abort('no answer in the usual time');
    });
    void upstream.closed.then(() => {
      reservation.dispose();
      probe.dispose();
      work.ended.removeEventListener('abort', stop);
      this.places.assignFreeSlots();
    });
    const outcome = await upstream.outcome;
    silence.dispose();
    if (outcome.type === 'not_executed') {
      const late = clock.after(REFUSAL_BODY_MS, () => upstream.abort('the refusal has no end'));
      void upstream.closed.then(() => late.dispose());
    }
    if (outcome.type === 'answered') use.succeeded();
    else if (outcome.type === 'not_executed') use.refused();
    else if (!work.ended.aborted) {
      if (outcome.type === 'not_sent') use.wasUnreachable();
      else use.refused();
    }
    note(work.trace, `${what.type}:${server.id}:${outcome.type}`, clock.monotonic());
    return {
      use, upstream, outcome, tookMs: clock.monotonic() - sentAt, silent,
    };
  }

  /** Notes whether a call could go on from what `holder` has; a broken connection says nothing of it. */
  public noteHandover({ handovers }: BackendServer, { outcome, silent }: Sending): void {
    if (outcome.type === 'answered') handovers.succeeded();
    else if (outcome.type === 'not_executed' || silent) handovers.failed();
  }

  /** Frees the KV cache of a prefill that no engine will continue from. */
  public free({ handle, holder }: PrefilledPrompt): void {
    if (holder.pool.disposed) return;
    const { clock, dialect, log } = this.edges;
    void askServer(holder.pool, handle.address, dialect.freeRequest(handle), clock).then((answer) => {
      if (answer === null) log.warn('handle_not_freed', { address: handle.address });
    });
  }

  /** Time in ms without any answer of a server after which it counts as silent. */
  private silenceMs({ route, service }: Work, what: SendPlan['work']): number {
    if (service.engine === null) return Math.max(PLAIN_SILENCE_MS, PLAIN_SILENCE_FACTOR * route.targetMs);
    const usualMs = SILENCE_FACTOR * this.places.usualFirstEventMs;
    return Math.max(what.type === 'whole' ? route.targetMs : 0, LEAST_SILENCE_MS, usualMs);
  }
}
