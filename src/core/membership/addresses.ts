import type { Random } from '../edges/index.js';
import type { Member, Members } from './members.js';
import type { Refusal } from '../refusals.js';
import { fail, ok } from '../result.js';
import type { Result } from '../result.js';

/** Which entry a caller should use. */
export interface AddressAnswer {
  readonly address: string;
  readonly failureDomain: string;
  /** How long the caller may keep this answer, in ms. */
  readonly keepMs: number;
}

/** Members with the suspicions of this process. */
export interface ObservedMembers extends Members {
  /** True while the member with this incarnation has not answered. */
  suspected(incarnation: string): boolean;
}

/** Time for which callers may keep an answer, unless settings say otherwise. */
export const ADDRESS_KEEP_MS = 5_000;

/** Difference in load, as a share of capacity, that outweighs the caller's own failure domain. */
const DOMAIN_WEIGHT = 0.25;

const RETRY_AFTER_MS = 1_000;

/** Answers from any entry which entry a caller should use: the better of two random ones. */
export class Addresses {
  public constructor(
    private readonly members: ObservedMembers,
    private readonly random: Random,
    private readonly opts: { readonly keepMs: number } = { keepMs: ADDRESS_KEEP_MS },
  ) {}

  /** Chooses an entry; `failureDomain` is the caller's, if it names one. Refusal `not_ready` if none is usable. */
  public choose(failureDomain?: string): Result<AddressAnswer, Refusal> {
    const usable = this.usable();
    const first = this.pick(usable.filter((member) => member.failureDomain === failureDomain)) ?? this.pick(usable);
    if (first === undefined) return fail({ code: 'not_ready', retryAfterMs: RETRY_AFTER_MS });
    const others = usable.filter((member) => member !== first);
    const elsewhere = others.filter((member) => member.failureDomain !== first.failureDomain);
    const second = this.pick(elsewhere) ?? this.pick(others) ?? first;
    const cost = (member: Member): number => member.load
      + (failureDomain !== undefined && member.failureDomain !== failureDomain ? DOMAIN_WEIGHT : 0);
    const chosen = cost(second) < cost(first) ? second : first;
    return ok({ address: chosen.callerAddress, failureDomain: chosen.failureDomain, keepMs: this.opts.keepMs });
  }

  /** Entries that an answer may name: neither leaving nor suspected, this one included. */
  private usable(): Member[] {
    return [this.members.self(), ...this.members.live()]
      .filter(({ leaving, incarnation }) => !leaving && !this.members.suspected(incarnation));
  }

  private pick(members: readonly Member[]): Member | undefined {
    return members[Math.floor(this.random.float() * members.length)];
  }
}
