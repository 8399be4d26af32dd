import type { Random } from '../core/edges/index.js';
import type { Member } from '../core/membership/index.js';
import { MAX_RECEIVERS } from './occupancy.js';

/** Time in ms without a message from a gateway after which callers are not sent there; one comes each 250 ms. */
const HEARD_MS = 1_500;

/** Most addresses in one answer; callers take no longer one. */
export const MAX_ADDRESSES = 64;

/** What this gateway knows of another one. */
export interface KnownGateway {
  readonly member: Pick<Member, 'callerAddress' | 'leaving' | 'revision'>;
  readonly suspected: boolean;
  /** Time in ms since its last message, or `null` where it sends none to this gateway. */
  readonly heardMs: number | null;
}

/**
 * Addresses that callers may use. Gateways that stopped a moment ago are still members; their messages stop at once.
 * Membership alone decides where no gateway is heard at all, because this one may have been paused, and in a fleet so
 * large that not every gateway sends messages to this one.
 */
export function callerAddresses(
  own: { readonly callerAddress: string; readonly ready: boolean; readonly configured: boolean },
  others: readonly KnownGateway[],
): readonly string[] {
  const staying = others.filter(({ member, suspected }) => !member.leaving && member.revision > 0 && !suspected);
  const heard = staying.filter(({ heardMs }) => heardMs !== null && heardMs < HEARD_MS);
  const heardDecides = heard.length > 0 && others.length <= MAX_RECEIVERS;
  const named = (heardDecides ? heard : staying).map(({ member }) => member.callerAddress);
  return own.ready || (named.length === 0 && own.configured) ? [own.callerAddress, ...named] : named;
}

/** At most `most` of the addresses, another part each time, so that callers spread over all of them. */
export function sampleAddresses(addresses: readonly string[], most: number, random: Random): readonly string[] {
  const left = [...addresses];
  const chosen: string[] = [];
  while (chosen.length < most && left.length > 0) {
    chosen.push(...left.splice(Math.floor(random.float() * left.length), 1));
  }
  return chosen;
}
