import type { Random } from '../interfaces/index.js';
import type { Member, Members } from './members.js';
import type { Refusal } from '../refusals.js';
import { fail, ok } from '../result.js';
import type { Result } from '../result.js';

/** Address of the entry that a caller should use. */
export interface AddressAnswer {
  readonly address: string;
  readonly failureDomain: string;
  /** Time for which the caller may cache this answer, in ms. */
  readonly keepMs: number;
}

/** Member list that also tells which members this process suspects to have failed. */
export interface ObservedMembers extends Members {
  /** True while the member with this incarnation does not answer probes. */
  isSuspect(incarnation: string): boolean;
}

/** Default time for which callers may cache an answer, in ms. */
export const ADDRESS_TTL_MS = 5_000;

/**
 * Load added to members outside of the caller's failure domain, as a share of capacity: one of them is chosen only when
 * its load is lower by more than this.
 */
const CROSS_DOMAIN_PENALTY = 0.25;

const RETRY_AFTER_MS = 1_000;

/** Chooses the entry that a caller should use: the less loaded of two random members. Any entry can do this. */
export class AddressSelector {
  public constructor(
    private readonly members: ObservedMembers,
    private readonly random: Random,
    private readonly opts: { readonly ttlMs: number } = { ttlMs: ADDRESS_TTL_MS },
  ) {}

  /**
   * Chooses an entry and prefers the caller's `failureDomain`, where one is given. Fails with `not_ready` when no entry
   * is usable.
   */
  public choose(failureDomain?: string): Result<AddressAnswer, Refusal> {
    const usable = this.usableMembers();
    const first = this.pickRandom(usable.filter((member) => member.failureDomain === failureDomain))
      ?? this.pickRandom(usable);
    if (first === undefined) return fail({ code: 'not_ready', retryAfterMs: RETRY_AFTER_MS });
    const remaining = usable.filter((member) => member !== first);
    const otherDomains = remaining.filter((member) => member.failureDomain !== first.failureDomain);
    const second = this.pickRandom(otherDomains) ?? this.pickRandom(remaining) ?? first;
    const cost = (member: Member): number => member.load
      + (failureDomain !== undefined && member.failureDomain !== failureDomain ? CROSS_DOMAIN_PENALTY : 0);
    const chosen = cost(second) < cost(first) ? second : first;
    return ok({ address: chosen.callerAddress, failureDomain: chosen.failureDomain, keepMs: this.opts.ttlMs });
  }

  /** Members that are neither leaving nor suspected, this process included. */
  private usableMembers(): Member[] {
    return [this.members.self(), ...this.members.live()]
      .filter(({ leaving, incarnation }) => !leaving && !this.members.isSuspect(incarnation));
  }

  private pickRandom(members: readonly Member[]): Member | undefined {
    return members[Math.floor(this.random.float() * members.length)];
  }
}
