import type { IncomingMessage, ServerResponse } from 'node:http';
import type {
  Clock, Disposable, Log, Meter, Random,
} from '../core/edges.js';
import { Role } from '../core/edges.js';
import type { RetryBudget } from '../core/retries.js';
import { fail, ok } from '../core/result.js';
import type { Result } from '../core/result.js';
import { readBytes } from '../daemon/http.js';
import { CallKind, chooseDestination } from './configuration.js';
import type { ForwardingService, Route, RouteTable } from './configuration.js';
import type {
  Call, Dialect, PrefillHandle, SendPlan,
} from './dialect.js';
import type { FleetUse } from './fleet.js';
import type { Occupancy } from './occupancy.js';
import { refusalAnswer } from './outcome.js';
import type { Refusal } from './outcome.js';
import {
  homesOf, isLongPrompt, pickLeastOccupied, sharedPart, withRole,
} from './placement.js';
import type { Candidate } from './placement.js';
import type { ServerRecord } from './servers.js';
import { Upstream } from './upstream.js';
import { WaitingLine } from './waitingline.js';
import type { SendOutcome } from './upstream.js';

/** What forwarding needs beside the calls. */
export interface ForwarderEdges {
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly meter: Meter;
  readonly dialect: Dialect;
  readonly fleet: FleetUse;
  /** Routes in force, or `null` before the first configuration. */
  readonly routes: () => RouteTable | null;
  /** Budget for second sends to a service, shared with the other processes by its share. */
  readonly budget: (service: string) => RetryBudget;
  readonly occupancy: Occupancy;
  /** Age in ms of what is known of the backend servers. */
  readonly knowledgeAgeMs: () => number;
}

/** Options of {@link Forwarder}; times in ms. */
export interface ForwarderOptions {
  readonly failureDomain: string;
  /** Time for an answer to travel back to this process and on to the caller. */
  readonly transitMs: number;
}

/** Engines that may hold one shared part. */
const PREFILL_HOMES = 1;

/** Prefills open at one engine, all gateways together; a few keep it busy while answers travel. */
const PREFILLS_PER_ENGINE = 4;

/** An engine with no more prefills than this has time to read shared parts that another one holds. */
const IDLE_PREFILLS = 1;

/** Calls of all gateways together per slot of a server, the waiting ones included. */
const OVERCOMMIT = 3;

/** Least time in ms without an answer that says something about a server. */
const LEAST_SILENCE_MS = 350;

/** Silence that says something about a server, in usual times of an answer. */
const SILENCE_FACTOR = 1.5;

/** The same for plain services, whose work takes several times its target now and then. */
const PLAIN_SILENCE_MS = 700;

const PLAIN_SILENCE_FACTOR = 2.5;

/** Weight of the newest of the measured times. */
const SMOOTHING = 0.1;

/** Time in ms of a prefill, and from there to the first event, before any was measured. */
const FIRST_PREFILL_MS = 30;

const FIRST_DECODE_MS = 15;

const MAX_HANDLE_BYTES = 65_536;

/** Least time in ms that makes a send worthwhile. */
const LEAST_SEND_MS = 5;

const RETRY_AFTER_MS = 250;

/** Counts and findings of one call, for its log line. */
interface Trace {
  readonly arrivedAt: number;
  sends: number;
  /** Sends that count against the retry budget once there is more than one. */
  arrivals: number;
  readonly steps: string[];
  /** Time in ms from the arrival to the first bytes of the answer's body. */
  firstMs: number | null;
  /** Longest time in ms between two pieces of the answer's body. */
  pauseMs: number;
}

interface Work {
  readonly call: Call;
  readonly body: Buffer | null;
  readonly route: Route;
  readonly service: ForwardingService;
  /** Monotonic time in ms by which the final answer is due. */
  readonly deadline: number;
  readonly trace: Trace;
  readonly res: ServerResponse;
  /** Aborts when the caller has left or the time is over. */
  readonly ended: AbortSignal;
}

type Prefilled =
  | { readonly type: 'handle'; readonly handle: PrefillHandle; readonly server: ServerRecord }
  | { readonly type: 'refused'; readonly refusal: Refusal };

interface PrefillPlace {
  readonly server: ServerRecord;
  readonly held: Disposable;
}

type Delivery =
  | { readonly type: 'delivered'; readonly status: number }
  | { readonly type: 'cut'; readonly reason: string }
  | { readonly type: 'refused'; readonly refusal: Refusal };

/** Takes calls from callers, sends each to a backend server and passes the answer back. */
export class Forwarder {
  private active = 0;

  private readonly lines = new Map<string, WaitingLine>();

  /** Smoothed time in ms from the send of a prefill to its handle. */
  private prefillMs = FIRST_PREFILL_MS;

  /** Smoothed time in ms from the send of the rest of a call to the head of its answer. */
  private decodeMs = FIRST_DECODE_MS;

  public constructor(private readonly edges: ForwarderEdges, private readonly opts: ForwarderOptions) {
    edges.occupancy.onChange(() => {
      for (const line of this.lines.values()) if (line.length > 0) line.pump();
    });
  }

  /** Calls that are not answered yet. */
  public get running(): number {
    return this.active;
  }

  public async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const arrivedAt = this.edges.clock.monotonic();
    const trace: Trace = {
      arrivedAt, sends: 0, arrivals: 0, steps: [], firstMs: null, pauseMs: 0,
    };
    this.active += 1;
    try {
      const parsed = this.edges.dialect.readCall(req);
      const body = await readBytes(req);
      if (!body.success && body.error.code === 'aborted') return;
      let delivery: Delivery;
      let route: Route | null = null;
      if (!parsed.success) {
        delivery = { type: 'refused', refusal: parsed.error };
      } else if (!body.success) {
        delivery = {
          type: 'refused',
          refusal: body.error.code === 'body_too_large'
            ? { code: 'body_too_large' }
            : { code: 'occupied', retryAfterMs: RETRY_AFTER_MS },
        };
      } else {
        const routed = this.route(parsed.data);
        if ('code' in routed) delivery = { type: 'refused', refusal: routed };
        else {
          route = routed.route;
          delivery = await this.serve(parsed.data, body.data, routed, res, trace, arrivedAt);
        }
      }
      if (delivery.type === 'refused') this.refuse(res, delivery.refusal);
      this.report(parsed.success ? parsed.data.id : null, route, delivery, trace, arrivedAt);
    } finally {
      this.active -= 1;
    }
  }

  private route(call: Call): { readonly route: Route; readonly service: ForwardingService } | Refusal {
    const table = this.edges.routes();
    if (table === null) return { code: 'not_configured' };
    const route = table.find(call.host, call.target);
    if (route === null) return { code: 'no_route' };
    if (call.id === null) return { code: 'invalid_call', message: 'the request id is missing' };
    const name = chooseDestination(route, this.edges.random.float());
    const service = name === null ? undefined : table.configuration.services.get(name);
    return service === undefined ? { code: 'no_server', retryAfterMs: RETRY_AFTER_MS } : { route, service };
  }

  private async serve(
    call: Call,
    bytes: Buffer,
    { route, service }: { readonly route: Route; readonly service: ForwardingService },
    res: ServerResponse,
    trace: Trace,
    arrivedAt: number,
  ): Promise<Delivery> {
    const { clock } = this.edges;
    const waitMs = Math.min(call.deadlineMs ?? Infinity, route.timeoutMs);
    const ended = new AbortController();
    const leave = (): void => {
      if (!res.writableFinished) ended.abort('caller left');
    };
    res.once('close', leave);
    const timer = clock.after(Math.max(0, waitMs), () => ended.abort('timeout'));
    const hasBody = bytes.length > 0 || (call.method !== 'GET' && call.method !== 'HEAD');
    const work: Work = {
      call,
      body: hasBody ? bytes : null,
      route,
      service,
      deadline: arrivedAt + waitMs,
      trace,
      res,
      ended: ended.signal,
    };
    try {
      return await this.place(work);
    } finally {
      timer.dispose();
      res.off('close', leave);
    }
  }

  /** Sends a call until it is answered or may not be sent again. */
  private async place(work: Work): Promise<Delivery> {
    const {
      call, route, service, trace,
    } = work;
    const prefillFirst = service.engine !== null && call.generation !== null && isLongPrompt(call.generation);
    let handle: PrefillHandle | null = null;
    this.edges.budget(service.name).succeeded();
    if (prefillFirst) {
      const prefilled = await this.prefill(work, false);
      if (prefilled.type === 'refused') return prefilled;
      handle = prefilled.handle;
    }
    let last: Refusal = { code: 'not_executed', retryAfterMs: RETRY_AFTER_MS };
    const tried = new Set<string>();
    for (let attempt = 0; attempt < route.maxAttempts; attempt += 1) {
      if (work.ended.aborted) return this.givenUp(work, handle);
      const candidate = this.pickServer(work, tried);
      if (candidate === null) {
        this.free(handle);
        return { type: 'refused', refusal: tried.size > 0 ? last : this.unplaced(work) };
      }
      if (!this.mayArrive(work)) break;
      tried.add(candidate.record.id);
      const plan: SendPlan['work'] = handle === null ? { type: 'whole' } : { type: 'decode', handle };
      const sentAt = this.edges.clock.monotonic();
      const { upstream, outcome } = await this.send(work, candidate.record, plan);
      this.note(trace, `${plan.type}:${candidate.record.id}:${outcome.type}`);
      if (outcome.type === 'answered') {
        const { head } = outcome;
        if (handle !== null) this.decodeMs += SMOOTHING * (this.edges.clock.monotonic() - sentAt - this.decodeMs);
        const failed = head.status >= 500;
        if (failed && this.mayRunTwice(work) && attempt + 1 < route.maxAttempts) {
          upstream.abort('another server is tried');
          last = { code: 'outcome_unknown', message: `status ${head.status}` };
          continue;
        }
        return this.deliver(work, upstream, outcome);
      }
      if (outcome.type === 'broken' && !this.mayRunTwice(work)) {
        return work.ended.aborted ? this.givenUp(work, null) : {
          type: 'refused', refusal: { code: 'outcome_unknown', message: outcome.message },
        };
      }
      if (outcome.type === 'broken') last = { code: 'outcome_unknown', message: outcome.message };
      // A send that was not written reached nobody and is not an attempt.
      if (outcome.type === 'not_sent') attempt -= 1;
    }
    this.free(handle);
    return { type: 'refused', refusal: last };
  }

  /** Prefills a prompt on an engine of that role; only the first prefill of a call is free of the budget. */
  private async prefill(work: Work, again: boolean): Promise<Prefilled> {
    const { service, trace } = work;
    const { clock, budget, dialect } = this.edges;
    const tried = new Set<string>();
    for (;;) {
      const place = await this.prefillPlace(work, tried);
      if (!place.success) return { type: 'refused', refusal: place.error };
      const { server, held } = place.data;
      if ((again || tried.size > 0) && !budget(service.name).take()) {
        held.dispose();
        this.note(trace, 'prefill:budget');
        return { type: 'refused', refusal: { code: 'occupied', retryAfterMs: RETRY_AFTER_MS } };
      }
      tried.add(server.id);
      const sentAt = clock.monotonic();
      const { upstream, outcome } = await this.send(work, server, { type: 'prefill' }, held);
      if (outcome.type === 'answered' && outcome.head.status === 200) {
        const body = await upstream.collect(MAX_HANDLE_BYTES);
        const handle = body === null ? null : dialect.readHandle(server, body);
        this.note(trace, `prefill:${server.id}:${handle === null ? 'unreadable' : 'done'}`);
        if (handle !== null) {
          this.prefillMs += SMOOTHING * (clock.monotonic() - sentAt - this.prefillMs);
          return { type: 'handle', handle, server };
        }
      } else {
        if (outcome.type === 'answered') upstream.abort('no handle');
        this.note(trace, `prefill:${server.id}:${outcome.type}`);
      }
      if (outcome.type !== 'not_sent') trace.arrivals += 1;
    }
  }

  /** Waits for a place at an engine that prefills. */
  private async prefillPlace(work: Work, tried: ReadonlySet<string>): Promise<Result<PrefillPlace, Refusal>> {
    const {
      call, service, route, trace,
    } = work;
    if (work.ended.aborted) return fail({ code: 'expired', retryAfterMs: RETRY_AFTER_MS });
    const candidates = this.prefillers(service).filter(({ record }) => !tried.has(record.id));
    if (candidates.length === 0) return fail({ code: 'no_server', retryAfterMs: 2 * RETRY_AFTER_MS });
    const part = call.generation === null ? null : sharedPart(call.generation);
    const restMs = this.prefillMs + this.decodeMs + this.opts.transitMs;
    const place = await this.line(service).wait({
      homes: part === null ? [] : homesOf(candidates, part, PREFILL_HOMES),
      targetAt: trace.arrivedAt + route.targetMs - restMs,
      lastAt: work.deadline - restMs,
    }, work.ended);
    if (!place.success) {
      this.note(trace, 'line:refused');
      return fail({ code: 'occupied', retryAfterMs: Math.max(RETRY_AFTER_MS, place.error.afterMs) });
    }
    this.note(trace, 'line');
    const chosen = this.prefillers(service).find(({ record }) => record.id === place.data.server);
    if (chosen !== undefined) return ok({ server: chosen.record, held: place.data.held });
    place.data.held.dispose();
    return fail({ code: 'no_server', retryAfterMs: RETRY_AFTER_MS });
  }

  private prefillers(service: ForwardingService): readonly Candidate[] {
    return withRole(this.edges.fleet.candidates(service.name, 'prefills', () => PREFILLS_PER_ENGINE), Role.Prefill);
  }

  private line(service: ForwardingService): WaitingLine {
    let line = this.lines.get(service.name);
    if (line === undefined) {
      line = new WaitingLine({
        clock: this.edges.clock,
        places: () => this.prefillers(service)
          .filter(({ open, limit, suspect }) => open < limit && !suspect)
          .sort((left, right) => left.open - right.open)
          .map(({ record, open }) => ({ server: record.id, idle: open <= IDLE_PREFILLS })),
        take: (server) => this.edges.occupancy.enter(server, 'prefills'),
      });
      this.lines.set(service.name, line);
    }
    return line;
  }

  private pickServer(work: Work, tried: ReadonlySet<string>): Candidate | null {
    const candidates = this.edges.fleet.candidates(work.service.name, 'others', ({ slots }) => slots * OVERCOMMIT)
      .filter(({ record }) => !tried.has(record.id));
    const able = work.service.engine === null ? candidates : withRole(candidates, Role.Decode);
    return pickLeastOccupied(able, this.opts.failureDomain, () => this.edges.random.float());
  }

  /** Whether one more send may reach a backend server; takes it from the budget where it is not the first. */
  private mayArrive(work: Work): boolean {
    if (work.trace.arrivals === 0 || this.edges.budget(work.service.name).take()) {
      work.trace.arrivals += 1;
      return true;
    }
    work.trace.steps.push('budget:empty');
    return false;
  }

  private note(trace: Trace, step: string): void {
    trace.steps.push(`${step}@${Math.round(this.edges.clock.monotonic() - trace.arrivedAt)}`);
  }

  /** Time in ms without any answer of a server after which it counts as silent. */
  private silenceMs({ route, service }: Work, what: SendPlan['work']): number {
    if (service.engine === null) return Math.max(PLAIN_SILENCE_MS, PLAIN_SILENCE_FACTOR * route.targetMs);
    const usualMs = this.prefillMs + this.decodeMs;
    return Math.max(what.type === 'whole' ? route.targetMs : 0, LEAST_SILENCE_MS, SILENCE_FACTOR * usualMs);
  }

  private mayRunTwice({ route }: Work): boolean {
    return route.kind === CallKind.Idempotent;
  }

  private async send(
    work: Work,
    server: ServerRecord,
    what: SendPlan['work'],
    entered = this.edges.occupancy.enter(server.id, 'others'),
  ): Promise<{ readonly upstream: Upstream; readonly outcome: SendOutcome }> {
    const { clock, dialect, fleet } = this.edges;
    const use = fleet.of(server);
    work.trace.sends += 1;
    const upstream = new Upstream(work.call, dialect, use.pool, {
      server,
      deadlineMs: Math.max(LEAST_SEND_MS, work.deadline - clock.monotonic() - this.opts.transitMs),
      priority: null,
      work: what,
    }, work.body);
    const stop = (): void => upstream.abort(String(work.ended.reason));
    const probe = use.enter();
    const sentAt = clock.monotonic();
    const silence = clock.after(this.silenceMs(work, what), () => {
      if (use.answeredAt >= sentAt) return;
      use.silent();
      // A prefill is not a run, and an idempotent call may run again.
      if (what.type === 'prefill' || this.mayRunTwice(work)) upstream.abort('the server is silent');
    });
    work.ended.addEventListener('abort', stop, { once: true });
    void upstream.closed.then(() => {
      entered.dispose();
      probe.dispose();
      if (what.type === 'prefill') this.lines.get(work.service.name)?.pump();
      work.ended.removeEventListener('abort', stop);
    });
    const outcome = await upstream.outcome;
    silence.dispose();
    if (outcome.type === 'answered') use.succeeded();
    else if (outcome.type === 'not_executed') use.refused();
    else if (!work.ended.aborted) {
      if (outcome.type === 'not_sent') use.silent();
      else use.refused();
    }
    return { upstream, outcome };
  }

  /** Passes an answer on; a broken one must not look complete. */
  private deliver(
    work: Work,
    upstream: Upstream,
    { head }: Extract<SendOutcome, { type: 'answered' }>,
  ): Promise<Delivery> {
    const { res, ended } = work;
    if (head.status < 300 && !head.signed) {
      upstream.abort('unsigned success');
      return Promise.resolve({ type: 'refused', refusal: { code: 'outcome_unknown', message: 'unsigned success' } });
    }
    // 408, 421, 429 and 503 promise that the call did not run, which this server does not say.
    if ([408, 421, 429, 503].includes(head.status)) {
      upstream.abort('status without its promise');
      return Promise.resolve({
        type: 'refused', refusal: { code: 'outcome_unknown', message: `status ${head.status} without its promise` },
      });
    }
    return new Promise((resolve) => {
      const onDrain = (): void => upstream.resume();
      const begin = (): void => {
        if (res.headersSent || res.destroyed) return;
        if (head.endsWithConnection) {
          // The caller must see that nothing but the close vouches for the end.
          res.shouldKeepAlive = false;
          res.useChunkedEncodingByDefault = false;
        }
        res.writeHead(head.status, [...head.headers]);
      };
      const finish = (delivery: Delivery): void => {
        res.off('drain', onDrain);
        resolve(delivery);
      };
      res.on('drain', onDrain);
      let pieceAt = 0;
      upstream.read({
        push: (chunk) => {
          const now = this.edges.clock.monotonic();
          if (work.trace.firstMs === null) work.trace.firstMs = now - work.trace.arrivedAt;
          else work.trace.pauseMs = Math.max(work.trace.pauseMs, now - pieceAt);
          pieceAt = now;
          begin();
          return res.destroyed || res.write(chunk);
        },
        end: () => {
          begin();
          res.end();
          finish({ type: 'delivered', status: head.status });
        },
        failed: (message) => {
          if (res.headersSent) {
            // A plain close would make an answer without length look complete.
            if (head.endsWithConnection) res.socket?.resetAndDestroy();
            res.destroy();
            finish({ type: 'cut', reason: message });
          } else if (ended.aborted) finish(this.givenUp(work, null));
          else finish({ type: 'refused', refusal: { code: 'outcome_unknown', message } });
        },
      });
    });
  }

  private givenUp(work: Work, handle: PrefillHandle | null): Delivery {
    this.free(handle);
    if (work.ended.reason === 'caller left') return { type: 'cut', reason: 'caller left' };
    // A prefill alone is not a run.
    const sent = work.trace.arrivals > 0;
    return {
      type: 'refused', refusal: sent ? { code: 'timeout' } : { code: 'expired', retryAfterMs: RETRY_AFTER_MS },
    };
  }

  private unplaced({ service }: Work): Refusal {
    const servers = this.edges.fleet.candidates(service.name, 'others', () => 1);
    return servers.length === 0
      ? { code: 'no_server', retryAfterMs: 2 * RETRY_AFTER_MS }
      : { code: 'occupied', retryAfterMs: RETRY_AFTER_MS };
  }

  /** Frees the KV cache of a prefill that no engine will continue from. */
  private free(handle: PrefillHandle | null): void {
    if (handle === null) return;
    const holder = this.edges.fleet.byAddress(handle.address);
    if (holder === null) return;
    const {
      method, path, headers, body,
    } = this.edges.dialect.freeRequest(handle);
    const failed = (message: string): void => {
      this.edges.log.warn('handle_not_freed', { address: handle.address, message });
    };
    holder.pool.send({
      method, path, headers, body,
    }, {
      sent: () => {}, head: () => {}, data: () => {}, end: () => {}, failed,
    });
  }

  private refuse(res: ServerResponse, refusal: Refusal): void {
    if (res.destroyed || res.headersSent) return;
    const { status, retryAfterMs } = refusalAnswer(refusal);
    const text = JSON.stringify({ error: refusal });
    res.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
      ...(retryAfterMs === null ? {} : { 'retry-after': (retryAfterMs / 1_000).toFixed(2) }),
    });
    res.end(text);
  }

  private report(id: string | null, route: Route | null, delivery: Delivery, trace: Trace, arrivedAt: number): void {
    const { clock, log, meter } = this.edges;
    const tookMs = clock.monotonic() - arrivedAt;
    const outcome = delivery.type === 'refused' ? delivery.refusal.code : delivery.type;
    meter.count('forwarded', 1, { outcome, route: route?.kind ?? 'none' });
    meter.record('forward_ms', tookMs, { route: route?.kind ?? 'none' });
    const detail = delivery.type === 'cut' ? delivery.reason : undefined;
    const fields = {
      request: id,
      route: route?.name,
      version: this.edges.routes()?.configuration.version,
      servers_age_ms: Math.round(this.edges.knowledgeAgeMs()),
      steps: trace.steps.join(' '),
      first_ms: trace.firstMs === null ? undefined : Math.round(trace.firstMs),
      pause_ms: trace.pauseMs === 0 ? undefined : Math.round(trace.pauseMs),
      took_ms: Math.round(tookMs),
      outcome,
      status: delivery.type === 'delivered' ? delivery.status : undefined,
      detail: delivery.type === 'refused' && 'message' in delivery.refusal ? delivery.refusal.message : detail,
    };
    if (delivery.type === 'delivered') log.info('call', fields);
    else log.warn('call', fields);
  }
}
