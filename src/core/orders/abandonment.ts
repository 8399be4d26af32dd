import { z } from 'zod';
import type { Authority } from '../authority/index.js';
import type {
  Clock, Disposable, PeerClient, PeerError, PeerServer,
} from '../interfaces/index.js';
import type { OrderSender } from './intents.js';
import { fail, ok } from '../result.js';
import type { Result } from '../result.js';

const ABANDON_METHOD = 'authority.abandon';

const CALL_TIMEOUT_MS = 500;

/** Shortest interval between two requests to the same sender. */
const REQUEST_INTERVAL_MS = 1_000;

const paramsSchema = z.object({ term: z.number().int().positive() });

const answerSchema = z.object({
  incarnation: z.string(),
  /** Engines to which an order up to the term was sent and that have not answered it yet. */
  unanswered: z.array(z.string()),
});

/** What is known of one earlier sender; all times are monotonic, in ms. */
interface SenderState {
  readonly firstSeenAt: number;
  requestedAt: number;
  /**
   * Answer which shows that the sender sends no more orders. Those to `unanswered` engines may still arrive until
   * {@link AbandonmentOptions.transitMs} after `at`.
   */
  proof: { readonly at: number; readonly unanswered: ReadonlySet<string> | 'any' } | null;
}

/** Options of {@link Abandonment}. */
export interface AbandonmentOptions {
  readonly clock: Clock;
  readonly authority: Authority;
  readonly peers: PeerClient;
  readonly server: PeerServer;
  /** Time after which an earlier order can no longer arrive, whatever happened to its sender. */
  readonly longestDeliveryMs: number;
  /** Time after which data that a sender has sent can no longer arrive. */
  readonly transitMs: number;
  /** Engines to which this process has sent an order, up to a term, that they have not answered yet. */
  readonly unanswered: (term: number) => readonly string[];
}

/**
 * Asks earlier holders of authority to abandon their terms, so that they send no more orders, and tracks which of their
 * orders may still arrive at an engine. Abandons the terms of this process when another one asks for it.
 */
export class Abandonment {
  private readonly senderStates = new Map<number, SenderState>();

  private readonly registration: Disposable;

  public constructor(private readonly options: AbandonmentOptions) {
    this.registration = options.server.register(ABANDON_METHOD, (params) => Promise.resolve(this.handle(params)));
  }

  /** Starts the longest delivery time of senders that are not tracked yet, and stops tracking all others. */
  public trackSenders(senders: readonly OrderSender[]): void {
    const terms = new Set(senders.map(({ term }) => term));
    for (const term of this.senderStates.keys()) {
      if (!terms.has(term)) this.senderStates.delete(term);
    }
    for (const sender of senders) this.stateOf(sender);
  }

  /** Whether no order of this sender can reach the engine any more; asks the sender to abandon its term if needed. */
  public cleared(sender: OrderSender, engine: string): boolean {
    const { clock, authority, unanswered } = this.options;
    const { holder } = authority;
    const isThisProcess = sender.holder.address === holder.address && sender.holder.incarnation === holder.incarnation;
    if (isThisProcess) return !unanswered(sender.term).includes(engine);
    // A later holder must not be asked to abandon its term: this process has lost authority but does not know it yet.
    if (sender.term > authority.term) return false;
    const state = this.stateOf(sender);
    const now = clock.monotonic();
    if (now - state.firstSeenAt >= this.options.longestDeliveryMs) return true;
    if (state.proof !== null) {
      const mayBeInTransit = state.proof.unanswered === 'any' || state.proof.unanswered.has(engine);
      return !mayBeInTransit || now - state.proof.at >= this.options.transitMs;
    }
    if (now - state.requestedAt >= REQUEST_INTERVAL_MS) {
      state.requestedAt = now;
      void this.requestAbandonment(sender, state);
    }
    return false;
  }

  public dump(): Record<string, unknown>[] {
    const now = this.options.clock.monotonic();
    return [...this.senderStates].map(([term, { firstSeenAt, proof }]) => ({
      term, proved: proof !== null, age_ms: now - firstSeenAt,
    }));
  }

  public dispose(): void {
    this.registration.dispose();
  }

  private stateOf(sender: OrderSender): SenderState {
    const known = this.senderStates.get(sender.term);
    if (known !== undefined) return known;
    const created: SenderState = { firstSeenAt: this.options.clock.monotonic(), requestedAt: -Infinity, proof: null };
    this.senderStates.set(sender.term, created);
    return created;
  }

  private async requestAbandonment(sender: OrderSender, state: SenderState): Promise<void> {
    const { clock, peers } = this.options;
    const { holder } = sender;
    const params = { term: sender.term };
    const result = await peers.call(holder.address, ABANDON_METHOD, params, { timeoutMs: CALL_TIMEOUT_MS });
    const answer = result.success ? answerSchema.safeParse(result.data) : null;
    if (answer?.success !== true) return;
    const isSameIncarnation = answer.data.incarnation === holder.incarnation;
    // Only one process can listen on an address, so an answer from another incarnation shows that the sender has ended.
    // Orders that it sent before may still be in transit.
    const unanswered = isSameIncarnation ? new Set(answer.data.unanswered) : 'any';
    Object.assign(state, { proof: { at: clock.monotonic(), unanswered } });
  }

  private handle(params: unknown): Result<unknown, PeerError> {
    const parsed = paramsSchema.safeParse(params);
    if (!parsed.success) return fail({ code: 'rejected', message: 'malformed parameters' });
    const { authority, unanswered } = this.options;
    const { term } = parsed.data;
    authority.abandon(term);
    return ok({ incarnation: authority.holder.incarnation, unanswered: unanswered(term) });
  }
}
