import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Disposable, Meter, Random } from '../core/edges/index.js';
import { readBytes, socketsRead } from '../daemon/http.js';
import { CallKind, chooseDestination } from './configuration.js';
import type { ForwardingService, Route, RouteTable } from './configuration.js';
import { deliver } from './delivery.js';
import type { AnswerHead, Call, SendPlan } from './dialect.js';
import { isEventStream, ResumableEvents } from './events.js';
import type { Resumed } from './events.js';
import type { Occupancy } from './occupancy.js';
import type { Refusal } from './outcome.js';
import { isLongPrompt } from './placement.js';
import { SlotAllocator } from './places.js';
import { refuse, report } from './report.js';
import { RetriedCallDetector } from './returning.js';
import { mayRunTwice, Sender } from './sending.js';
import type { PrefilledPrompt, SenderEdges } from './sending.js';
import type { Upstream } from './upstream.js';
import { EndReason, note } from './work.js';
import type { Delivery, Trace, Work } from './work.js';

/** What forwarding needs beside the calls. */
export interface ForwarderEdges extends SenderEdges {
  readonly random: Random;
  readonly meter: Meter;
  readonly occupancy: Occupancy;
  /** Routes in force, or `null` before the first configuration. */
  readonly routes: () => RouteTable | null;
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

const RETRY_AFTER_MS = 250;

/** Another gateway can take a call at once. */
const ELSEWHERE_AFTER_MS = 20;

interface Routed { readonly route: Route; readonly service: ForwardingService }

/** Answer of a backend server up to its head, or what the caller gets instead. */
type Obtained =
  | { readonly type: 'answer'; readonly upstream: Upstream; readonly head: AnswerHead; readonly server: string }
  | Delivery;

function refused(refusal: Refusal): Delivery {
  return { type: 'refused', refusal };
}

/** Takes calls from callers, sends each to a backend server and passes the answer back. */
export class Forwarder implements Disposable {
  private active = 0;

  private readonly deadlines = new RetriedCallDetector();

  private readonly places: SlotAllocator;

  private readonly sender: Sender;

  public constructor(private readonly edges: ForwarderEdges, opts: ForwarderOptions) {
    this.places = new SlotAllocator(edges, opts);
    this.sender = new Sender(edges, this.places, opts);
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
      arrivedAt: this.edges.clock.monotonic(), arrivals: 0, steps: [], sends: [], firstMs: null, pauseMs: 0,
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
      report(call.success ? call.data : null, 'route' in routed ? routed.route : null, delivery, trace, {
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
    const { socket } = res;
    res.once('close', leave);
    socket?.once('end', leave);
    const timer = this.edges.clock.after(Math.max(0, waitMs), () => ended.abort(EndReason.Timeout));
    const hasBody = bytes.length > 0 || (call.method !== 'GET' && call.method !== 'HEAD');
    const work: Work = {
      ...routed,
      call,
      body: hasBody ? bytes : null,
      deadline: trace.arrivedAt + waitMs,
      retried: this.deadlines.isRetried(routed.route.name, call.deadlineMs),
      trace,
      res,
      ended: ended.signal,
    };
    try {
      await socketsRead();
      return ended.signal.aborted ? this.givenUp(work) : await this.attempt(work);
    } finally {
      timer.dispose();
      res.off('close', leave);
      socket?.off('end', leave);
    }
  }

  private async attempt(work: Work): Promise<Delivery> {
    this.edges.budget(work.service.name).succeeded();
    const answer = await this.obtain(work, new Set());
    if (answer.type !== 'answer') return answer;
    const { upstream, head } = answer;
    const brokenBefore = (message: string): Delivery => (
      work.ended.aborted ? this.givenUp(work) : refused({ code: 'outcome_unknown', message })
    );
    const stream = work.route.kind === CallKind.Stream && work.route.resumable && isEventStream(head)
      ? new ResumableEvents((lastEventId, failed) => this.resume(work, lastEventId, failed), answer.server) : null;
    return deliver(work, upstream, head, { clock: this.edges.clock, brokenBefore, stream });
  }

  /** Sends a call until a server answers it or it may not be sent again. */
  private async obtain(work: Work, tried: Set<string>): Promise<Obtained> {
    const {
      call, route, service, trace,
    } = work;
    let prefilled: PrefilledPrompt | null = null;
    const prefillers = new Set<string>();
    if (service.engine !== null && call.generation !== null && isLongPrompt(call.generation)) {
      const result = await this.sender.prefill(work, prefillers, tried.size > 0);
      if (result.type === 'refused') return work.ended.aborted ? this.givenUp(work) : result;
      prefilled = result;
    }
    let last: Refusal = { code: 'not_executed', retryAfterMs: RETRY_AFTER_MS };
    for (let attempts = 0; attempts < route.maxAttempts;) {
      const place = prefilled === null
        ? await this.places.reserveWholeCall(work, tried) : this.places.reserveContinuation(work, tried);
      if (work.ended.aborted || !place.success) {
        if (place.success) place.data.reservation.dispose();
        if (prefilled !== null) this.sender.free(prefilled);
        if (work.ended.aborted) return this.givenUp(work);
        return refused(tried.size > 0 || place.success ? last : place.error);
      }
      if (!this.sender.mayArrive(work)) {
        place.data.reservation.dispose();
        break;
      }
      const server = place.data.server.id;
      tried.add(server);
      const what: SendPlan['work'] = prefilled === null
        ? { type: 'whole' } : { type: 'decode', handle: prefilled.handle };
      const sending = await this.sender.send(work, place.data, what);
      const { upstream, outcome, tookMs } = sending;
      if (prefilled !== null) this.sender.noteHandover(prefilled.holder, sending);
      if (outcome.type === 'answered') {
        const { head } = outcome;
        if (prefilled !== null) this.places.recordDuration('continuation', tookMs);
        if (head.status < 500 || !mayRunTwice(work) || attempts + 1 >= route.maxAttempts) {
          return {
            type: 'answer', upstream, head, server,
          };
        }
        upstream.abort('another server is tried');
        last = { code: 'outcome_unknown', message: `status ${head.status}` };
      } else if (outcome.type === 'broken') {
        if (work.ended.aborted) return this.givenUp(work);
        last = { code: 'outcome_unknown', message: outcome.message };
        if (!mayRunTwice(work)) return refused(last);
        if (prefilled !== null && attempts + 1 < route.maxAttempts) {
          // The engine may have taken the handle, and where it could not, the next one of the same engine may fail too.
          let result = await this.sender.prefill(work, prefillers, true);
          const nobodyElse = result.type === 'refused' && result.refusal.code === 'no_server';
          if (nobodyElse) result = await this.sender.prefill(work, new Set(), true);
          if (result.type === 'refused') return work.ended.aborted ? this.givenUp(work) : refused(last);
          prefilled = result;
        }
      }
      // A send that was not written reached nobody and is no attempt.
      if (outcome.type === 'not_sent') trace.arrivals -= 1;
      else attempts += 1;
    }
    if (prefilled !== null) this.sender.free(prefilled);
    return refused(last);
  }

  /** Runs a stream again after the last event that its caller has, at another server than the one that failed. */
  private async resume(work: Work, lastEventId: string | null, failed: string): Promise<Resumed | null> {
    if (work.ended.aborted) return null;
    note(work.trace, 'resume', this.edges.clock.monotonic());
    const call = lastEventId === null ? work.call : { ...work.call, lastEventId };
    const answer = await this.obtain({ ...work, call }, new Set([failed]));
    if (answer.type !== 'answer') return null;
    if (isEventStream(answer.head) && answer.head.signed) return answer;
    answer.upstream.abort('no stream to go on with');
    return null;
  }

  private givenUp({ ended, trace }: Work): Delivery {
    if (ended.reason === EndReason.CallerLeft) return { type: 'cut', reason: EndReason.CallerLeft };
    // A prefill alone is not a run.
    return refused(trace.arrivals > 0 ? { code: 'timeout' } : { code: 'expired', retryAfterMs: RETRY_AFTER_MS });
  }
}
