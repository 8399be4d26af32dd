import type { Disposable, Log } from '../core/edges/index.js';
import type { Member, Membership } from '../core/membership/index.js';
import { lowestByRendezvous } from '../core/rendezvous.js';
import { selectCallerAddresses } from './directory.js';
import type { Occupancy } from './occupancy.js';

/** Least number of gateways among which shared budgets are divided; one that starts knows no others yet. */
const LEAST_SHARERS = 6;

/** Edges of {@link OtherGateways}. */
export interface OtherGatewaysEdges {
  readonly membership: Membership;
  readonly occupancy: Occupancy;
  readonly log: Log;
}

/** The other gateways, as this one knows them by membership and by their messages. */
export class OtherGateways {
  private reported = '';

  public constructor(private readonly edges: OtherGatewaysEdges) {}

  /** Logs each change of who has come, is leaving or suspected, or is gone. */
  public report(): Disposable {
    return this.edges.membership.onChange(() => this.reportChange());
  }

  /** Addresses that callers may use, of this gateway and of the others. */
  public callerAddresses(own: Parameters<typeof selectCallerAddresses>[0]): readonly string[] {
    const { membership, occupancy } = this.edges;
    return selectCallerAddresses(own, membership.live().map((member) => ({
      member,
      suspected: membership.suspected(member.incarnation),
      lastMessageAgeMs: occupancy.lastMessageAgeMs(member.id),
    })));
  }

  /** Gateways that divide a budget, this one included. */
  public get sharers(): number {
    return Math.max(LEAST_SHARERS, this.staying().length);
  }

  /** Whether this gateway is the one that `key` picks among those that stay. */
  public isPicked(key: string): boolean {
    const ids = this.staying().map(({ id }) => id);
    return lowestByRendezvous(ids, key, 1).includes(this.edges.membership.self().id);
  }

  private staying(): readonly Member[] {
    const { membership } = this.edges;
    return [membership.self(), ...membership.live().filter(({ leaving }) => !leaving)];
  }

  private reportChange(): void {
    const { membership, log } = this.edges;
    const members = membership.live().map(({ id, incarnation, leaving }) => {
      const suspected = membership.suspected(incarnation);
      return `${id}${leaving ? ' leaving' : ''}${suspected ? ' suspected' : ''}`;
    }).sort().join(', ');
    if (members === this.reported) return;
    this.reported = members;
    log.info('members', { members });
  }
}
