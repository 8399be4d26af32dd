/** Limits and prices of a service whose number of backend servers can be ordered. */
export interface ScalingLimits {
  /** Smallest and largest number of servers in one failure domain, of both kinds together. */
  readonly min: number;
  readonly max: number;
  /** Time in ms from an order until its servers serve. */
  readonly bootMs: number;
  /** Price of a server that may be taken back, as a share of the price of others; `null` where there are none. */
  readonly reclaimablePrice: number | null;
  /** Price of a server by failure domain. */
  readonly domainPrices: ReadonlyMap<string, number>;
}

/** Servers of a service in one failure domain that take work. */
export interface DomainServers {
  readonly failureDomain: string;
  /** Servers that stay. */
  readonly lasting: number;
  /** Servers that may be taken back, all of a failure domain at once. */
  readonly reclaimable: number;
  /** Whether the provider had no lasting servers there a short time ago. */
  readonly exhausted: boolean;
}

/** Numbers of servers that a failure domain is to have. */
export interface DomainTarget {
  readonly failureDomain: string;
  readonly lasting: number;
  readonly reclaimable: number;
}

/** Lasting servers as a share of those needed, which remain when all others are taken back at once. */
const LASTING_SHARE = 1 / 8;

/** Smallest number of lasting servers of a service, so that one of each role remains. */
const MIN_LASTING = 2;

/** Adds `count` servers one by one to the domain with the fewest, the cheapest of those first. */
function distribute(
  count: number,
  domains: readonly string[],
  limits: ScalingLimits,
  room: (domain: string) => number,
): ReadonlyMap<string, number> {
  const given = new Map(domains.map((domain) => [domain, 0]));
  const price = (domain: string): number => limits.domainPrices.get(domain) ?? 1;
  for (let rest = count; rest > 0; rest -= 1) {
    const [next] = domains.filter((domain) => given.get(domain)! < room(domain))
      .sort((left, right) => given.get(left)! - given.get(right)! || price(left) - price(right));
    if (next === undefined) break;
    given.set(next, given.get(next)! + 1);
  }
  return given;
}

/**
 * Plans the servers of a service for `needed` servers' worth of work, so that the loss of any one failure domain leaves
 * as many as needed. Servers that may be taken back carry the load where they cost less; lasting ones are a base for
 * the loss of all others, and replace those that are not there.
 */
export function planCapacity(
  needed: number,
  domains: readonly DomainServers[],
  limits: ScalingLimits,
): readonly DomainTarget[] {
  const names = domains.map(({ failureDomain }) => failureDomain);
  const survivors = Math.max(1, names.length - 1);
  const perDomain = Math.ceil(needed / survivors);
  const isCheaper = limits.reclaimablePrice !== null && limits.reclaimablePrice < 1;
  const present = domains.reduce((sum, { reclaimable }) => sum + Math.min(reclaimable, perDomain), 0);
  const lastingCount = isCheaper
    ? Math.max(MIN_LASTING, Math.ceil(needed * LASTING_SHARE), needed - present)
    : perDomain * names.length;
  const obtainable = domains.filter(({ exhausted }) => !exhausted).map(({ failureDomain }) => failureDomain);
  const candidates = obtainable.length > 0 ? obtainable : names;
  const lasting = distribute(lastingCount, candidates, limits, () => limits.max);
  return domains.map(({ failureDomain, lasting: presentLasting }) => {
    const ownLasting = lasting.get(failureDomain) ?? 0;
    const room = Math.max(0, limits.max - Math.max(ownLasting, presentLasting));
    const reclaimable = isCheaper ? Math.min(room, perDomain) : 0;
    return { failureDomain, reclaimable, lasting: Math.max(ownLasting, limits.min - reclaimable) };
  });
}
