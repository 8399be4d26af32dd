import type { Random } from '../core/interfaces/index.js';
import type { Member } from '../core/membership/index.js';
import { MAX_RECEIVERS } from './occupancy.js';

/** Time in ms without a message from a gateway after which callers are not sent there; one is due every 250 ms. */
const MAX_MESSAGE_AGE_MS = 1_500;

/** Largest number of addresses in one answer; callers accept no longer list. */
export const MAX_ADDRESSES = 64;

/** What this gateway knows about another one. */
export interface PeerGateway {
  readonly member: Pick<Member, 'callerAddress' | 'leaving' | 'revision'>;
  readonly suspected: boolean;
  /** Whether it has said that it reaches no backend server. */
  readonly isCutOff: boolean;
  /** Time in ms since its last message, or `null` where it has sent none to this gateway. */
  readonly lastMessageAgeMs: number | null;
}

/**
 * Addresses that callers may use. A gateway that stopped a moment ago is still a member, but its messages stop at once,
 * so gateways without a recent message are left out. Membership alone decides where no gateway has sent a recent
 * message, because this process may have been paused, and where there are so many gateways that not all of them send
 * messages to this one. Gateways that reach no backend server are named only where there is no other one.
 */
export function selectCallerAddresses(
  own: { readonly callerAddress: string; readonly ready: boolean; readonly configured: boolean },
  peers: readonly PeerGateway[],
): readonly string[] {
  const running = peers.filter(({ member, suspected }) => !member.leaving && member.revision > 0 && !suspected);
  const inReach = running.filter(({ isCutOff }) => !isCutOff);
  const remaining = inReach.length > 0 || own.ready ? inReach : running;
  const recentSenders = remaining.filter(
    ({ lastMessageAgeMs }) => lastMessageAgeMs !== null && lastMessageAgeMs < MAX_MESSAGE_AGE_MS,
  );
  const decideByMessages = recentSenders.length > 0 && peers.length <= MAX_RECEIVERS;
  const listed = (decideByMessages ? recentSenders : remaining).map(({ member }) => member.callerAddress);
  return own.ready || (listed.length === 0 && own.configured) ? [own.callerAddress, ...listed] : listed;
}

/** Random sample of at most `maxCount` addresses, so that callers spread over all of them. */
export function sampleAddresses(addresses: readonly string[], maxCount: number, random: Random): readonly string[] {
  const candidates = [...addresses];
  const chosen: string[] = [];
  while (chosen.length < maxCount && candidates.length > 0) {
    chosen.push(...candidates.splice(Math.floor(random.float() * candidates.length), 1));
  }
  return chosen;
}
