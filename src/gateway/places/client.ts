import type { Clock, Disposable } from '../../core/interfaces/index.js';
import { assertNever, fail, ok } from '../../core/result.js';
import type { Result } from '../../core/result.js';
import { SmoothedEstimate } from '../engineestimates.js';
import type { NoSlot, QueuedCall, ReservedSlot } from '../slotqueue.js';
import type { Quote } from './enginestate.js';
import type { ChainedPart } from './heldparts.js';
import { WAITS_PERIOD_MS } from './owner.js';
import { isWorthAsking, offerOf } from './weighing.js';
import type { Offer } from './weighing.js';
import { toWireMs } from './wire.js';
import type { PlaceAnswer, PlaceEnd, PlaceRequest } from './wire.js';

/** Dependencies of {@link PlaceClient}. */
export interface PlaceClientDependencies {
  readonly clock: Clock;
  /** Sends a message to the gateway that gives out the places of an engine; the message may be lost. */
  readonly send: (message: PlaceRequest | PlaceEnd) => void;
  /** IP address of this gateway. */
  readonly self: string;
  /** Number from which tickets count up; differs between starts of a process. */
  readonly firstTicket: number;
}

/** Engine that may get a call. */
export interface PlaceCandidate {
  readonly id: string;
  /** Unix time in ms at which it started. */
  readonly bornAt: number;
}

/** Call that needs a place at one of several engines. */
export interface PlacedCall extends Omit<QueuedCall, 'preferredEngines'> {
  readonly preferred: PlaceCandidate;
  /** Engines that may take the call in place of the preferred one, the best first. */
  readonly others: () => readonly PlaceCandidate[];
  readonly parts: readonly ChainedPart[];
  /** Monotonic time in ms by which the prompt has to be read for an answer on time. */
  readonly readBy: number;
}

/** Why a call has no place. */
export type NoPlace =
  | { readonly type: 'refused'; readonly slot: NoSlot }
  /** The gateway that gives out the places does not answer. */
  | { readonly type: 'silent' };

/** Place that was given out for a call. */
export interface ReservedPlace extends ReservedSlot {
  /** Number of places that were taken before. */
  readonly ahead: number;
  /** Whether the preferred engine would have served the call later. */
  readonly moved: boolean;
  /** Records that the engine has read the prompt; to be called before the place ends. */
  readonly recordRead: () => void;
}

/** Bounds in ms on the time without an answer after which a gateway counts as silent. */
const SILENCE_MS = { least: 20, most: 80, initial: 40 };

/** Time in ms without an answer after which a call no longer waits; one answer may be lost. */
const MAX_SILENT_MS = 2.5 * WAITS_PERIOD_MS;

/** Longest time in ms for which a place at the preferred engine waits for the answers of others. */
const LOOK_MS = 10;

/** Time in ms after refusals of other engines before a call that still waits asks once more. */
const RETRY_MS = 10;

/** Number of other engines that are asked at once, and for one call in all. */
const OTHERS = { atOnce: 2, inAll: 4 };

/** Offer of a preferred engine of unknown speed that makes a call wait for long: any engine without work is better. */
const WORST_OFFER = { waitMs: 60_000, readMs: 60_000, savedMs: 0 };

interface Ask {
  readonly askedAt: number;
  answered: boolean;
  readonly onAnswer: (answer: PlaceAnswer) => void;
}

type Grant = Extract<PlaceAnswer, { readonly type: 'granted' }>;

/** Requests for one call, which end with its place. */
class PlaceWait {
  private readonly timers: Disposable[] = [];

  /** Engines of the open requests by their tickets. */
  private readonly tickets = new Map<number, string>();

  private readonly asked = new Set<string>();

  /** Number of other engines that have not answered. */
  private looking = 0;

  /** Place at the preferred engine, while others are asked. */
  private inHand: Grant | null = null;

  private ended = false;

  /** Monotonic time in ms of the last answer on the preferred engine. */
  private heardAt: number | null = null;

  public constructor(
    private readonly client: PlaceClient,
    private readonly clock: Clock,
    private readonly call: PlacedCall,
    private readonly complete: (result: Result<ReservedPlace, NoPlace>) => void,
  ) {}

  public start(silenceMs: number): void {
    const { call, clock } = this;
    this.ask(call.preferred, null, (answer) => {
      const isFirst = this.heardAt === null;
      this.heardAt = clock.monotonic();
      switch (answer.type) {
        case 'granted':
          this.grantedByPreferred(answer);
          break;
        case 'waits':
          if (isFirst) this.waitsForPreferred(answer);
          break;
        case 'refused':
          this.end(fail({ type: 'refused', slot: { afterMs: answer.afterMs } }));
          break;
        default: assertNever(answer);
      }
    });
    this.after(silenceMs, () => this.endIfSilent());
    this.after(Math.max(0, call.expiresAt - clock.monotonic()), () => this.cancel());
  }

  public cancel(): void {
    this.end(fail({ type: 'refused', slot: { afterMs: 0 } }));
  }

  /** Ends the wait once the gateway that gives out the places is not heard any longer. */
  private endIfSilent(): void {
    if (this.inHand !== null) return;
    const silentMs = this.heardAt === null ? Infinity : this.clock.monotonic() - this.heardAt;
    if (silentMs >= MAX_SILENT_MS) this.end(fail({ type: 'silent' }));
    else this.after(MAX_SILENT_MS - silentMs, () => this.endIfSilent());
  }

  private grantedByPreferred(grant: Grant): void {
    this.inHand = grant;
    const offer = grant.quote === null ? null : offerOf(grant.quote, this.dueMs());
    if (offer !== null && isWorthAsking(offer)) this.askOthers(offer, grant.holder);
    if (this.looking === 0) this.usePreferred();
    else this.after(LOOK_MS, () => this.usePreferred());
  }

  private waitsForPreferred({ quote, holder }: Extract<PlaceAnswer, { readonly type: 'waits' }>): void {
    if (quote !== null) this.askWhileWaiting(quote, this.clock.monotonic(), holder);
    else {
      const { otherEngineAfterMs } = this.call;
      this.after(otherEngineAfterMs, () => this.askWhileWaiting(WORST_OFFER, this.clock.monotonic(), null));
    }
  }

  /** Asks others as long as the call waits and some are left; what it has waited no longer counts for them. */
  private askWhileWaiting(quote: Quote, since: number, holder: string | null): void {
    if (this.ended || this.inHand !== null || this.asked.size > OTHERS.inAll) return;
    const waitMs = Math.max(0, quote.waitMs - (this.clock.monotonic() - since));
    const offer = offerOf({ ...quote, waitMs }, this.dueMs());
    if (isWorthAsking(offer)) this.askOthers(offer, holder);
    this.after(RETRY_MS, () => this.askWhileWaiting(quote, since, null));
  }

  private dueMs(): number {
    return this.call.readBy - this.clock.monotonic();
  }

  private askOthers(offer: Offer, holder: string | null): void {
    const left = this.call.others().filter(({ id }) => !this.asked.has(id));
    const first = left.filter(({ id }) => id === holder);
    const chosen = [...first, ...left.filter(({ id }) => id !== holder)].slice(0, OTHERS.atOnce);
    this.looking += chosen.length;
    for (const engine of chosen) {
      this.ask(engine, offer, (answer) => {
        if (answer.type !== 'refused') return;
        this.looking -= 1;
        if (this.looking === 0 && this.inHand !== null) this.usePreferred();
      });
    }
  }

  private usePreferred(): void {
    const { inHand } = this;
    if (inHand !== null) this.use(this.call.preferred.id, inHand);
  }

  private ask(engine: PlaceCandidate, offer: Offer | null, onAnswer: (answer: PlaceAnswer) => void): void {
    this.asked.add(engine.id);
    const ticket = this.client.ask(engine, this.call, offer, (answer) => {
      if (answer.type === 'refused') this.tickets.delete(ticket);
      if (answer.type === 'granted' && offer !== null) this.use(engine.id, answer);
      else onAnswer(answer);
    });
    this.tickets.set(ticket, engine.id);
  }

  private use(engine: string, { ticket, ahead }: Grant): void {
    if (this.ended) return;
    this.tickets.delete(ticket);
    const moved = engine !== this.call.preferred.id;
    this.end(ok({
      server: engine, ahead, moved, ...this.client.place(ticket, engine),
    }), moved ? engine : null);
  }

  private after(delayMs: number, action: () => void): void {
    this.timers.push(this.clock.after(delayMs, action));
  }

  private end(result: Result<ReservedPlace, NoPlace>, movedTo: string | null = null): void {
    if (this.ended) return;
    this.ended = true;
    for (const timer of this.timers) timer.dispose();
    for (const [ticket, engine] of this.tickets) {
      this.client.withdraw(ticket, engine, { movedTo: engine === this.call.preferred.id ? movedTo : null });
    }
    this.complete(result);
  }
}

/** Asks for places at engines on behalf of the calls of this gateway. */
export class PlaceClient {
  private readonly asks = new Map<number, Ask>();

  private readonly answerMs = new SmoothedEstimate();

  private ticket: number;

  public constructor(private readonly deps: PlaceClientDependencies) {
    this.ticket = deps.firstTicket;
  }

  /** Number of requests without a last answer. */
  public get open(): number {
    return this.asks.size;
  }

  /** Handles an answer of a gateway that gives out places; one to a request that was withdrawn changes nothing. */
  public handle(answer: PlaceAnswer): void {
    const ask = this.asks.get(answer.ticket);
    if (ask === undefined) return;
    if (!ask.answered) {
      ask.answered = true;
      this.answerMs.add(this.deps.clock.monotonic() - ask.askedAt);
    }
    if (answer.type !== 'waits') this.asks.delete(answer.ticket);
    ask.onAnswer(answer);
  }

  /** Resolves with a place at the preferred engine, or at one that reads the prompt sooner. */
  public reserve(call: PlacedCall, signal: AbortSignal): Promise<Result<ReservedPlace, NoPlace>> {
    if (signal.aborted) return Promise.resolve(fail({ type: 'refused', slot: { afterMs: 0 } }));
    return new Promise((resolve) => {
      let cancel = (): void => {};
      const wait = new PlaceWait(this, this.deps.clock, call, (result) => {
        signal.removeEventListener('abort', cancel);
        resolve(result);
      });
      cancel = () => wait.cancel();
      signal.addEventListener('abort', cancel, { once: true });
      wait.start(this.silenceMs());
    });
  }

  /** Asks for a place, with an offer only at once and if the engine is better; returns the ticket of the request. */
  public ask(engine: PlaceCandidate, call: PlacedCall, offer: Offer | null, onAnswer: Ask['onAnswer']): number {
    const { clock, self, send } = this.deps;
    this.ticket += 1;
    const { ticket } = this;
    const now = clock.monotonic();
    this.asks.set(ticket, { askedAt: now, answered: false, onAnswer });
    send({
      type: 'ask',
      from: self,
      ticket,
      engine: engine.id,
      bornAt: engine.bornAt,
      rank: call.rank?.() ?? 0,
      targetInMs: toWireMs(call.targetAt - now),
      expiresInMs: toWireMs(call.expiresAt - now),
      parts: call.parts.map(({ chain, tokens }): [number, number] => [chain, tokens]),
      offer,
    });
    return ticket;
  }

  /** Ends a request or the place that it got. */
  public withdraw(ticket: number, engine: string, { wasRead = false, movedTo = null }: {
    readonly wasRead?: boolean; readonly movedTo?: string | null;
  } = {}): void {
    this.asks.delete(ticket);
    this.deps.send({
      type: 'done', from: this.deps.self, ticket, engine, wasRead, movedTo,
    });
  }

  /** Handles of a place, which ends when the reservation is disposed. */
  public place(ticket: number, engine: string): Pick<ReservedPlace, 'reservation' | 'recordRead'> {
    let isOpen = true;
    let wasRead = false;
    return {
      recordRead: () => {
        wasRead = true;
      },
      reservation: {
        dispose: () => {
          if (!isOpen) return;
          isOpen = false;
          this.withdraw(ticket, engine, { wasRead });
        },
      },
    };
  }

  private silenceMs(): number {
    return Math.min(SILENCE_MS.most, Math.max(SILENCE_MS.least, this.answerMs.bound ?? SILENCE_MS.initial));
  }
}
