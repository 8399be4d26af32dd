import type { Disposable, Log } from '../core/interfaces/index.js';
import type { Member, Membership } from '../core/membership/index.js';
import { lowestByRendezvous } from '../core/rendezvous.js';
import { selectCallerAddresses } from './directory.js';
import type { Occupancy } from './occupancy.js';
import type { CutOffGateways } from './reach/index.js';

/**
 * Smallest number of gateways among which a shared budget is divided, because a gateway that has just started does not
 * know the others yet.
 */
const MIN_BUDGET_SHARERS = 6;

/** Dependencies of {@link PeerGateways}. */
export interface PeerGatewaysDependencies {
  readonly membership: Membership;
  readonly occupancy: Occupancy;
  readonly cutOff: Pick<CutOffGateways, 'has'>;
  readonly log: Log;
}

/** State of the other gateways according to membership and their occupancy messages. */
export class PeerGateways {
  private lastLogged = '';

  public constructor(private readonly deps: PeerGatewaysDependencies) {}

  /** Logs each change of the members and of their leaving or suspected state, until the returned handle is disposed. */
  public logChanges(): Disposable {
    return this.deps.membership.onChange(() => this.logChange());
  }

  /** Addresses of this gateway and of the others that callers may use. */
  public callerAddresses(own: Parameters<typeof selectCallerAddresses>[0]): readonly string[] {
    const { membership, occupancy, cutOff } = this.deps;
    return selectCallerAddresses(own, membership.live().map((member) => ({
      member,
      suspected: membership.isSuspect(member.incarnation),
      isCutOff: cutOff.has(member.incarnation),
      lastMessageAgeMs: occupancy.lastMessageAgeMs(member.id),
    })));
  }

  /** Number of gateways, with this one, among which a budget is divided. */
  public get gatewayCount(): number {
    return Math.max(MIN_BUDGET_SHARERS, this.remainingMembers().length);
  }

  /** Whether rendezvous hashing of `key` selects this gateway among those that are not leaving. */
  public isSelected(key: string): boolean {
    return this.rank(key, 1) === 0;
  }

  /** Rank of this gateway among the first `count` that rendezvous hashing of `key` selects, or -1. */
  public rank(key: string, count: number): number {
    const ids = this.remainingMembers().map(({ id }) => id);
    return lowestByRendezvous(ids, key, count).indexOf(this.deps.membership.self().id);
  }

  private remainingMembers(): readonly Member[] {
    const { membership } = this.deps;
    return [membership.self(), ...membership.live().filter(({ leaving }) => !leaving)];
  }

  private logChange(): void {
    const { membership, log } = this.deps;
    const members = membership.live().map(({ id, incarnation, leaving }) => {
      const suspected = membership.isSuspect(incarnation);
      return `${id}${leaving ? ' leaving' : ''}${suspected ? ' suspected' : ''}`;
    }).sort().join(', ');
    if (members === this.lastLogged) return;
    this.lastLogged = members;
    log.info('members', { members });
  }
}
