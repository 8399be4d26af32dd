import type { Clock, Disposable } from '../../core/interfaces/index.js';
import { assertNever } from '../../core/result.js';
import { SmoothedEstimate } from '../engineestimates.js';
import { SlotQueue } from '../slotqueue.js';
import { EngineState } from './enginestate.js';
import type { ChainedPart } from './heldparts.js';
import { isBetter } from './weighing.js';
import type { PlaceAnswer, PlaceEnd, PlaceRequest } from './wire.js';

/** Dependencies of {@link PlaceOwner}. */
export interface PlaceOwnerDependencies {
  readonly clock: Clock;
  /** Tokens that an engine can hold. */
  readonly cacheTokens: (engine: string) => number;
}

/** Options of {@link PlaceOwner}. */
export interface PlaceOwnerOptions {
  /** Least number of places of one engine. */
  readonly places: number;
  /** Number of open places up to which an engine of unknown speed has hardly any work. */
  readonly maxWhenIdle: number;
}

/** Time in ms after which a place is free again although nothing was heard of its end, before any end was. */
const INITIAL_EXPIRY_MS = 1_000;

const MIN_EXPIRY_MS = 200;

/** Such a time as a multiple of how long places are usually held. */
const EXPIRY_FACTOR = 4;

/** Largest number of places of one engine, as a multiple of the least. */
const MAX_PLACES_FACTOR = 4;

/** Time in ms for which an engine should have something to read beyond the time that calls take on their way. */
const BACKLOG_MS = 60;

/** Least share of the places of an engine that late calls of all gateways are assumed to get. */
const MIN_LATE_SHARE = 0.6;

/** Share of the places that late calls get also while others are on time, so that fewer of them end unserved. */
const LATE_SHARE = 0.25;

/** Time in ms between two answers to a call that waits, by which it knows that this gateway is there. */
export const WAITS_PERIOD_MS = 250;

/** Largest number of engines for which places are kept; those without calls are dropped first. */
const MAX_ENGINES = 10_000;

/** Largest number of prompts of an engine of which it is known that another engine has read them. */
const MAX_MOVED = 1_024;

interface Granted {
  readonly at: number;
  readonly request: PlaceRequest;
  readonly reservation: Disposable;
  readonly expiry: Disposable;
}

interface Waiting {
  readonly request: PlaceRequest;
  readonly withdrawn: AbortController;
}

interface Engine {
  readonly bornAt: number;
  open: number;
  readonly queue: SlotQueue;
  readonly holdMs: SmoothedEstimate;
  readonly granted: Map<string, Granted>;
  readonly waiting: Map<string, Waiting>;
  readonly state: EngineState;
  /** Engines that have read prompts in place of this one, by the chain of their shared parts. */
  readonly moved: Map<number, string>;
}

function keyOf({ from, ticket }: Pick<PlaceRequest, 'from' | 'ticket'>): string {
  return `${from} ${ticket}`;
}

function partsOf({ parts }: PlaceRequest): readonly ChainedPart[] {
  return parts.map(([chain, tokens]) => ({ chain, tokens }));
}

/** Chain of the parts of a prompt that other requests share, or `null` where there are none. */
function sharedChain({ parts }: PlaceRequest): number | null {
  return parts.at(-2)?.[0] ?? null;
}

/**
 * Gives out the places of engines to the calls of all gateways: in the order of {@link SlotQueue}, never more than keep
 * the engine busy, as long as the ends of calls are heard of. With each place it says what the call gets at the engine,
 * so that the gateway can weigh it against another one.
 */
export class PlaceOwner implements Disposable {
  private readonly engines = new Map<string, Engine>();

  public constructor(private readonly deps: PlaceOwnerDependencies, private readonly opts: PlaceOwnerOptions) {}

  /** Handles a message of a gateway; `answer` is called until a request is granted or refused. */
  public handle(message: PlaceRequest | PlaceEnd, answer: (message: PlaceAnswer) => void): void {
    switch (message.type) {
      case 'ask':
        this.ask(message, answer);
        break;
      case 'done':
        this.end(message);
        break;
      default: assertNever(message);
    }
  }

  /** Numbers of engines, open places and waiting calls. */
  public dump(): Record<string, unknown> {
    const engines = [...this.engines.values()];
    return {
      engines: engines.length,
      open: engines.reduce((sum, { open }) => sum + open, 0),
      waiting: engines.reduce((sum, { waiting }) => sum + waiting.size, 0),
    };
  }

  public dispose(): void {
    for (const engine of this.engines.values()) this.drop(engine);
    this.engines.clear();
  }

  private ask(request: PlaceRequest, answer: (message: PlaceAnswer) => void): void {
    const { ticket, rank, offer } = request;
    const engine = this.engineFor(request);
    const quote = engine.state.quote(partsOf(request), engine.queue.length);
    const isFree = engine.open < this.placesOf(engine) && engine.queue.length === 0;
    if (offer !== null) {
      const isTaken = quote === null ? engine.open <= this.opts.maxWhenIdle : isBetter(quote, offer);
      if (!isFree || !isTaken) {
        answer({ type: 'refused', ticket, afterMs: quote?.waitMs ?? 0 });
        return;
      }
    }
    const now = this.deps.clock.monotonic();
    const key = keyOf(request);
    const withdrawn = new AbortController();
    const chain = sharedChain(request);
    const holder = chain === null ? null : engine.moved.get(chain) ?? null;
    engine.waiting.set(key, { request, withdrawn });
    void engine.queue.wait({
      preferredEngines: [request.engine],
      otherEngineAfterMs: Infinity,
      targetAt: now + request.targetInMs,
      expiresAt: now + request.expiresInMs,
      rank: () => rank,
    }, withdrawn.signal).then((slot) => {
      engine.waiting.delete(key);
      if (!slot.success) {
        if (!withdrawn.signal.aborted) answer({ type: 'refused', ticket, afterMs: slot.error.afterMs });
        return;
      }
      const ahead = engine.open - 1;
      const quoteNow = isFree ? quote : engine.state.quote(partsOf(request), 0);
      this.grant(engine, request, slot.data.reservation);
      answer({
        type: 'granted', ticket, ahead, quote: quoteNow, holder,
      });
    });
    if (isFree) return;
    const repeat = (): void => {
      if (!engine.waiting.has(key)) return;
      answer({
        type: 'waits', ticket, quote, holder,
      });
      this.deps.clock.after(WAITS_PERIOD_MS, repeat);
    };
    repeat();
  }

  private grant(engine: Engine, request: PlaceRequest, reservation: Disposable): void {
    const { clock } = this.deps;
    const key = keyOf(request);
    const { mean } = engine.holdMs;
    const expiryMs = mean === null ? INITIAL_EXPIRY_MS : Math.max(MIN_EXPIRY_MS, EXPIRY_FACTOR * mean);
    engine.granted.set(key, {
      at: clock.monotonic(),
      request,
      reservation,
      expiry: clock.after(expiryMs, () => this.release(engine, key, false)),
    });
    engine.state.begin(key, partsOf(request));
  }

  private end(message: PlaceEnd): void {
    const engine = this.engines.get(message.engine);
    if (engine === undefined) return;
    const key = keyOf(message);
    const granted = engine.granted.get(key);
    const waiting = engine.waiting.get(key);
    waiting?.withdrawn.abort();
    if (granted !== undefined && message.wasRead) engine.holdMs.add(this.deps.clock.monotonic() - granted.at);
    const request = granted?.request ?? waiting?.request;
    if (request !== undefined && message.movedTo !== null) this.recordMove(engine, request, message.movedTo);
    this.release(engine, key, message.wasRead);
  }

  private release(engine: Engine, key: string, wasRead: boolean): void {
    const granted = engine.granted.get(key);
    if (granted === undefined) return;
    engine.granted.delete(key);
    granted.expiry.dispose();
    if (wasRead) engine.state.end(key);
    else engine.state.abandon(key);
    granted.reservation.dispose();
    engine.queue.assignFreeSlots();
  }

  /**
   * Places of an engine: enough that it always has something to read, however long calls take on their way. A call
   * holds its place while it is on its way too.
   */
  private placesOf({ state, holdMs }: Engine): number {
    const { places } = this.opts;
    const readMs = state.usualReadMs();
    if (readMs === null || holdMs.mean === null) return places;
    const wayMs = Math.max(0, holdMs.mean - state.usualQueueMs());
    const needed = Math.ceil((wayMs + BACKLOG_MS) / Math.max(1, readMs));
    return Math.min(MAX_PLACES_FACTOR * places, Math.max(places, needed));
  }

  private recordMove({ moved }: Engine, request: PlaceRequest, holder: string): void {
    const chain = sharedChain(request);
    if (chain === null) return;
    moved.delete(chain);
    moved.set(chain, holder);
    if (moved.size > MAX_MOVED) moved.delete(moved.keys().next().value!);
  }

  private engineFor({ engine: id, bornAt }: PlaceRequest): Engine {
    const known = this.engines.get(id);
    // A request that still names an earlier incarnation is treated like the others.
    if (known !== undefined && known.bornAt >= bornAt) return known;
    if (known !== undefined) this.drop(known);
    if (this.engines.size >= MAX_ENGINES) this.dropUnused();
    const engine: Engine = {
      bornAt,
      open: 0,
      holdMs: new SmoothedEstimate(),
      granted: new Map(),
      waiting: new Map(),
      moved: new Map(),
      state: new EngineState(this.deps.clock, this.deps.cacheTokens(id)),
      queue: new SlotQueue({
        clock: this.deps.clock,
        freeSlots: () => {
          const places = this.placesOf(engine);
          return engine.open >= places ? [] : [{
            server: id, idle: true, openToLateCalls: engine.open < places - 1, isOpenTo: () => true,
          }];
        },
        reserve: () => {
          engine.open += 1;
          return {
            dispose: () => {
              engine.open -= 1;
            },
          };
        },
      }, { minLateShare: MIN_LATE_SHARE, lateShare: LATE_SHARE }),
    };
    this.engines.set(id, engine);
    return engine;
  }

  private drop({ queue, granted }: Engine): void {
    queue.dispose();
    for (const { expiry } of granted.values()) expiry.dispose();
  }

  private dropUnused(): void {
    for (const [id, { open, queue }] of this.engines) {
      if (open === 0 && queue.length === 0) this.engines.delete(id);
    }
  }
}
