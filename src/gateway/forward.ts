import type { IncomingMessage, ServerResponse } from 'node:http';
import type {
  Clock, Disposable, Log, Meter, Random,
} from '../core/edges/index.js';
import type { RetryBudget } from '../core/retries.js';
import { readBytes } from '../daemon/http.js';
import { CallKind, chooseDestination } from './configuration.js';
import type { ForwardingService, Route, RouteTable } from './configuration.js';
import { deliver } from './delivery.js';
import type {
  Call, Dialect, PrefillHandle, SendPlan,
} from './dialect.js';
import type { FleetUse } from './fleet.js';
import type { Occupancy } from './occupancy.js';
import type { Refusal } from './outcome.js';
import { isLongPrompt } from './placement.js';
import { Places } from './places.js';
import type { Placed } from './places.js';
import { refuse, report } from './report.js';
import { Upstream } from './upstream.js';
import type { SendOutcome } from './upstream.js';
import { EndReason, note } from './work.js';
import type { Delivery, Trace, Work } from './work.js';

/** What forwarding needs beside the calls. */
export interface ForwarderEdges {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly meter: Meter;
  readonly dialect: Dialect;
  readonly fleet: FleetUse;
  readonly occupancy: Occupancy;
  /** Routes in force, or `null` before the first configuration. */
  readonly routes: () => RouteTable | null;
  /** Budget for second sends to a service, shared with the other processes by its share. */
  readonly budget: (service: string) => RetryBudget;
  /** Monotonic time in ms by which all calls must have ended, or `null` while this process is not stopping. */
  readonly endsAt: () => number | null;
  /** Age in ms of what is known of the backend servers. */
  readonly knowledgeAgeMs: () => number;
}

/** Options of {@link Forwarder}; times in ms. */
export interface ForwarderOptions {
  readonly failureDomain: string;
  /** Time for an answer to travel back to this process and on to the caller. */
  readonly transitMs: number;
}

/** Least time in ms without an answer that says something about an engine. */
const LEAST_SILENCE_MS = 350;

/** Silence that says something about an engine, in usual times of an answer. */
const SILENCE_FACTOR = 1.5;

/** The same for plain services, whose work takes several times its target now and then. */
const PLAIN_SILENCE_MS = 700;

const PLAIN_SILENCE_FACTOR = 2.5;

const MAX_HANDLE_BYTES = 65_536;

/** Least time in ms that makes a send worthwhile. */
const LEAST_SEND_MS = 5;

const RETRY_AFTER_MS = 250;

/** Another gateway can take a call at once. */
const ELSEWHERE_AFTER_MS = 20;

interface Routed { readonly route: Route; readonly service: ForwardingService }

type Prefilled =
  | { readonly type: 'handle'; readonly handle: PrefillHandle }
  | { readonly type: 'refused'; readonly refusal: Refusal };

interface Sending {
  readonly upstream: Upstream;
  readonly outcome: SendOutcome;
  readonly tookMs: number;
}

function refused(refusal: Refusal): Delivery {
  return { type: 'refused', refusal };
}

/** Takes calls from callers, sends each to a backend server and passes the answer back. */
export class Forwarder implements Disposable {
  private active = 0;

  private readonly places: Places;

  public constructor(private readonly edges: ForwarderEdges, private readonly opts: ForwarderOptions) {
    this.places = new Places(edges, opts);
  }

  /** Calls that are not answered yet. */
  public get running(): number {
    return this.active;
  }

  public dispose(): void {
    this.places.dispose();
  }

  /** Serves one call up to the end of its answer. */
  public async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const trace: Trace = {
      arrivedAt: this.edges.clock.monotonic(), arrivals: 0, steps: [], firstMs: null, pauseMs: 0,
    };
    this.active += 1;
    try {
      const call = this.edges.dialect.readCall(req);
      const body = await readBytes(req);
      if (!body.success && body.error.code === 'aborted') return;
      const routed = call.success ? this.route(call.data) : call.error;
      let delivery: Delivery;
      if ('code' in routed) delivery = refused(routed);
      else if (!body.success) {
        delivery = refused(body.error.code === 'body_too_large'
          ? { code: 'body_too_large' } : { code: 'occupied', retryAfterMs: RETRY_AFTER_MS });
      } else if (call.success) delivery = await this.serve(call.data, body.data, routed, res, trace);
      else delivery = refused(call.error);
      if (delivery.type === 'refused') refuse(res, delivery.refusal);
      report(call.success ? call.data.id : null, 'route' in routed ? routed.route : null, delivery, trace, {
        ...this.edges,
        version: this.edges.routes()?.configuration.version,
        knowledgeAgeMs: this.edges.knowledgeAgeMs(),
      });
    } finally {
      this.active -= 1;
    }
  }

  private route(call: Call): Routed | Refusal {
    const table = this.edges.routes();
    if (table === null) return { code: 'not_configured' };
    const route = table.find(call.host, call.target);
    if (route === null) return { code: 'no_route' };
    if (call.id === null) return { code: 'invalid_call', message: 'the request id is missing' };
    const name = chooseDestination(route, this.edges.random.float());
    const service = name === null ? undefined : table.configuration.services.get(name);
    return service === undefined ? { code: 'no_server', retryAfterMs: RETRY_AFTER_MS } : { route, service };
  }

  private async serve(call: Call, bytes: Buffer, routed: Routed, res: ServerResponse, trace: Trace): Promise<Delivery> {
    const waitMs = Math.min(call.deadlineMs ?? Infinity, routed.route.timeoutMs);
    const endsAt = this.edges.endsAt();
    if (endsAt !== null && trace.arrivedAt + waitMs > endsAt) {
      return refused({ code: 'stopping', retryAfterMs: ELSEWHERE_AFTER_MS });
    }
    const ended = new AbortController();
    const leave = (): void => {
      if (!res.writableFinished) ended.abort(EndReason.CallerLeft);
    };
    res.once('close', leave);
    const timer = this.edges.clock.after(Math.max(0, waitMs), () => ended.abort(EndReason.Timeout));
    const hasBody = bytes.length > 0 || (call.method !== 'GET' && call.method !== 'HEAD');
    try {
      return await this.attempt({
        ...routed,
        call,
        body: hasBody ? bytes : null,
        deadline: trace.arrivedAt + waitMs,
        trace,
        res,
        ended: ended.signal,
      });
    } finally {
      timer.dispose();
      res.off('close', leave);
    }
  }

  /** Sends a call until it is answered or may not be sent again. */
  private async attempt(work: Work): Promise<Delivery> {
    const {
      call, route, service, trace,
    } = work;
    this.edges.budget(service.name).succeeded();
    let handle: PrefillHandle | null = null;
    if (service.engine !== null && call.generation !== null && isLongPrompt(call.generation)) {
      const prefilled = await this.prefill(work, false);
      if (prefilled.type === 'refused') return work.ended.aborted ? this.givenUp(work) : prefilled;
      handle = prefilled.handle;
    }
    let last: Refusal = { code: 'not_executed', retryAfterMs: RETRY_AFTER_MS };
    const tried = new Set<string>();
    for (let attempts = 0; attempts < route.maxAttempts;) {
      const place = handle === null
        ? await this.places.whole(work, tried) : this.places.continuation(work, tried);
      if (work.ended.aborted || !place.success) {
        if (place.success) place.data.held.dispose();
        this.free(handle);
        if (work.ended.aborted) return this.givenUp(work);
        return refused(tried.size > 0 || place.success ? last : place.error);
      }
      if (!this.mayArrive(work)) {
        place.data.held.dispose();
        break;
      }
      tried.add(place.data.server.id);
      const what: SendPlan['work'] = handle === null ? { type: 'whole' } : { type: 'decode', handle };
      const { upstream, outcome, tookMs } = await this.send(work, place.data, what);
      if (outcome.type === 'answered') {
        if (handle !== null) this.places.observe('continuation', tookMs);
        if (outcome.head.status < 500 || !this.mayRunTwice(work) || attempts + 1 >= route.maxAttempts) {
          return deliver(work, upstream, outcome.head, this.edges.clock, (message) => (
            work.ended.aborted ? this.givenUp(work) : refused({ code: 'outcome_unknown', message })
          ));
        }
        upstream.abort('another server is tried');
        last = { code: 'outcome_unknown', message: `status ${outcome.head.status}` };
      } else if (outcome.type === 'broken') {
        if (work.ended.aborted) return this.givenUp(work);
        last = { code: 'outcome_unknown', message: outcome.message };
        if (!this.mayRunTwice(work)) return refused(last);
        if (handle !== null && attempts + 1 < route.maxAttempts) {
          // The engine may have taken the handle.
          const prefilled = await this.prefill(work, true);
          if (prefilled.type === 'refused') return work.ended.aborted ? this.givenUp(work) : refused(last);
          handle = prefilled.handle;
        }
      }
      // A send that was not written reached nobody and is no attempt.
      if (outcome.type === 'not_sent') trace.arrivals -= 1;
      else attempts += 1;
    }
    this.free(handle);
    return refused(last);
  }

  /** Prefills a prompt on an engine of that role; only the first prefill of a call is free of the budget. */
  private async prefill(work: Work, again: boolean): Promise<Prefilled> {
    const { service, trace } = work;
    const { clock, budget, dialect } = this.edges;
    const tried = new Set<string>();
    for (;;) {
      const place = await this.places.prefill(work, tried);
      note(trace, place.success ? 'line' : 'line:refused', clock.monotonic());
      if (!place.success) return { type: 'refused', refusal: place.error };
      const { server, held } = place.data;
      if (work.ended.aborted) {
        held.dispose();
        return { type: 'refused', refusal: { code: 'expired', retryAfterMs: RETRY_AFTER_MS } };
      }
      if ((again || tried.size > 0) && !budget(service.name).take()) {
        held.dispose();
        note(trace, 'prefill:budget', clock.monotonic());
        return { type: 'refused', refusal: { code: 'not_executed', retryAfterMs: RETRY_AFTER_MS } };
      }
      tried.add(server.id);
      const { upstream, outcome, tookMs } = await this.send(work, place.data, { type: 'prefill' });
      if (outcome.type === 'answered' && outcome.head.status === 200) {
        const body = await upstream.collect(MAX_HANDLE_BYTES);
        const handle = body === null ? null : dialect.readHandle(server, body);
        if (handle !== null) {
          this.places.observe('prefill', tookMs);
          return { type: 'handle', handle };
        }
        note(trace, 'handle:unreadable', clock.monotonic());
      } else if (outcome.type === 'answered') upstream.abort('no handle');
      if (outcome.type !== 'not_sent') trace.arrivals += 1;
    }
  }

  /** Whether one more send may reach a backend server; takes it from the budget where it is not the first. */
  private mayArrive({ trace, service }: Work): boolean {
    if (trace.arrivals === 0 || this.edges.budget(service.name).take()) {
      trace.arrivals += 1;
      return true;
    }
    note(trace, 'budget:empty', this.edges.clock.monotonic());
    return false;
  }

  /** Time in ms without any answer of a server after which it counts as silent. */
  private silenceMs({ route, service }: Work, what: SendPlan['work']): number {
    if (service.engine === null) return Math.max(PLAIN_SILENCE_MS, PLAIN_SILENCE_FACTOR * route.targetMs);
    const usualMs = SILENCE_FACTOR * this.places.usualMs;
    return Math.max(what.type === 'whole' ? route.targetMs : 0, LEAST_SILENCE_MS, usualMs);
  }

  /** Whether a call may run again as long as nothing of its answer has reached the caller. */
  private mayRunTwice({ route }: Work): boolean {
    return route.kind === CallKind.Idempotent || (route.kind === CallKind.Stream && route.resumable);
  }

  private async send(work: Work, { server, held }: Placed, what: SendPlan['work']): Promise<Sending> {
    const { clock, dialect, fleet } = this.edges;
    const use = fleet.of(server);
    const probe = use.enter();
    const sentAt = clock.monotonic();
    const upstream = new Upstream(work.call, dialect, use.pool, {
      server,
      deadlineMs: Math.max(LEAST_SEND_MS, work.deadline - sentAt - this.opts.transitMs),
      // Ranks would let long prompts preempt answers that have run for seconds.
      priority: null,
      work: what,
    }, work.body);
    const stop = (): void => upstream.abort(String(work.ended.reason));
    work.ended.addEventListener('abort', stop, { once: true });
    const silence = clock.after(this.silenceMs(work, what), () => {
      if (use.answeredAt < sentAt) use.silent();
      // A prefill is not a run. A server that answers others may still never answer this call.
      if (what.type === 'prefill' || this.mayRunTwice(work)) upstream.abort('no answer in the usual time');
    });
    void upstream.closed.then(() => {
      held.dispose();
      probe.dispose();
      work.ended.removeEventListener('abort', stop);
      this.places.pump();
    });
    const outcome = await upstream.outcome;
    silence.dispose();
    if (outcome.type === 'answered') use.succeeded();
    else if (outcome.type === 'not_executed') use.refused();
    else if (!work.ended.aborted) {
      if (outcome.type === 'not_sent') use.silent();
      else use.refused();
    }
    note(work.trace, `${what.type}:${server.id}:${outcome.type}`, clock.monotonic());
    return { upstream, outcome, tookMs: clock.monotonic() - sentAt };
  }

  private givenUp({ ended, trace }: Work): Delivery {
    if (ended.reason === EndReason.CallerLeft) return { type: 'cut', reason: EndReason.CallerLeft };
    // A prefill alone is not a run.
    return refused(trace.arrivals > 0 ? { code: 'timeout' } : { code: 'expired', retryAfterMs: RETRY_AFTER_MS });
  }

  /** Frees the KV cache of a prefill that no engine will continue from. */
  private free(handle: PrefillHandle | null): void {
    const holder = handle === null ? null : this.edges.fleet.byAddress(handle.address);
    if (handle === null || holder === null) return;
    const failed = (message: string): void => {
      this.edges.log.warn('handle_not_freed', { address: handle.address, message });
    };
    holder.pool.send(this.edges.dialect.freeRequest(handle), {
      sent: () => {}, head: () => {}, data: () => {}, end: () => {}, failed,
    });
  }
}
