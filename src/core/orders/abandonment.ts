import { z } from 'zod';
import type { Authority } from '../authority/index.js';
import type {
  Clock, Disposable, PeerClient, PeerError, PeerServer,
} from '../edges/index.js';
import type { Sender } from './intents.js';
import { fail, ok } from '../result.js';
import type { Result } from '../result.js';

const ABANDON_METHOD = 'authority.abandon';

const CALL_TIMEOUT_MS = 500;

const ASK_EVERY_MS = 1_000;

const paramsSchema = z.object({ term: z.number().int().positive() });

const answerSchema = z.object({
  incarnation: z.string(),
  /** Engines to which an order of the term was sent without an answer so far. */
  unanswered: z.array(z.string()),
});

interface Case {
  readonly firstSeenAt: number;
  askedAt: number;
  proof: { readonly at: number; readonly unanswered: ReadonlySet<string> | 'any' } | null;
}

/** Options of {@link Abandonment}. */
export interface AbandonmentOptions {
  readonly clock: Clock;
  readonly authority: Authority;
  readonly peers: PeerClient;
  readonly server: PeerServer;
  /** Time after which an order cannot arrive any more, whatever became of its sender. */
  readonly longestDeliveryMs: number;
  /** Time after which bytes that left a sender cannot arrive any more. */
  readonly transitMs: number;
  /** Engines with an order of this process, up to a term, that was sent without an answer. */
  readonly unanswered: (term: number) => readonly string[];
}

/** Finds out which earlier senders can no longer send, and answers the same question about this process. */
export class Abandonment {
  private readonly cases = new Map<number, Case>();

  private readonly registration: Disposable;

  public constructor(private readonly options: AbandonmentOptions) {
    this.registration = options.server.register(ABANDON_METHOD, (params) => Promise.resolve(this.answer(params)));
  }

  /** Starts the longest delivery time of these senders, and forgets all others. */
  public observe(senders: readonly Sender[]): void {
    const terms = new Set(senders.map(({ term }) => term));
    for (const term of this.cases.keys()) {
      if (!terms.has(term)) this.cases.delete(term);
    }
    for (const sender of senders) this.caseOf(sender);
  }

  /** Whether no order of this sender can reach the engine any more; asks the sender if that is not known yet. */
  public cleared(sender: Sender, engine: string): boolean {
    const { clock, authority, unanswered } = this.options;
    const { holder } = authority;
    const own = sender.holder.address === holder.address && sender.holder.incarnation === holder.incarnation;
    if (own) return !unanswered(sender.term).includes(engine);
    // A later holder must not be asked to give up; this process has lost authority without knowing it yet.
    if (sender.term > authority.term) return false;
    const found = this.caseOf(sender);
    const now = clock.monotonic();
    if (now - found.firstSeenAt >= this.options.longestDeliveryMs) return true;
    if (found.proof !== null) {
      const pending = found.proof.unanswered === 'any' || found.proof.unanswered.has(engine);
      return !pending || now - found.proof.at >= this.options.transitMs;
    }
    if (now - found.askedAt >= ASK_EVERY_MS) {
      found.askedAt = now;
      void this.ask(sender, found);
    }
    return false;
  }

  public dump(): Record<string, unknown>[] {
    const now = this.options.clock.monotonic();
    return [...this.cases].map(([term, { firstSeenAt, proof }]) => ({
      term, proved: proof !== null, age_ms: now - firstSeenAt,
    }));
  }

  public dispose(): void {
    this.registration.dispose();
  }

  private caseOf(sender: Sender): Case {
    const known = this.cases.get(sender.term);
    if (known !== undefined) return known;
    const created: Case = { firstSeenAt: this.options.clock.monotonic(), askedAt: -Infinity, proof: null };
    this.cases.set(sender.term, created);
    return created;
  }

  private async ask(sender: Sender, found: Case): Promise<void> {
    const { clock, peers } = this.options;
    const { holder } = sender;
    const params = { term: sender.term };
    const result = await peers.call(holder.address, ABANDON_METHOD, params, { timeoutMs: CALL_TIMEOUT_MS });
    const answer = result.success ? answerSchema.safeParse(result.data) : null;
    if (answer?.success !== true) return;
    const same = answer.data.incarnation === holder.incarnation;
    // The address is exclusive, so another incarnation there shows that the sender has ended; what it had sent before
    // may still be in transit.
    const unanswered = same ? new Set(answer.data.unanswered) : 'any';
    Object.assign(found, { proof: { at: clock.monotonic(), unanswered } });
  }

  private answer(params: unknown): Result<unknown, PeerError> {
    const parsed = paramsSchema.safeParse(params);
    if (!parsed.success) return fail({ code: 'rejected', message: 'malformed parameters' });
    const { authority, unanswered } = this.options;
    const { term } = parsed.data;
    authority.abandon(term);
    return ok({ incarnation: authority.holder.incarnation, unanswered: unanswered(term) });
  }
}
