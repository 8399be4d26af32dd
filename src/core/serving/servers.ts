import type { Disposable, PlainService, Random } from '../interfaces/index.js';

/** Backend server of a plain service. */
export interface ServerInfo {
  readonly name: string;
  readonly service: string;
  readonly host: string;
  readonly failureDomain: string;
  /** False while draining or withdrawn according to the fleet file. */
  readonly available: boolean;
  readonly client: PlainService;
}

/** Server with the state that this entry keeps about it. */
interface TrackedServer {
  facts: ServerInfo;
  /** Calls in flight from this entry. */
  inFlight: number;
  leaving: boolean;
}

/** Cost of a server in another failure domain than the entry's, expressed in calls in flight. */
const OTHER_DOMAIN_COST = 1;

/** Backend servers of all plain services, with the number of calls that this entry has in flight to each. */
export class ServerDirectory {
  private readonly servers = new Map<string, TrackedServer>();

  public constructor(private readonly failureDomain: string, private readonly random: Random) {}

  /** Adds a server or replaces what is known about it; calls in flight and the leaving state are kept. */
  public set(facts: ServerInfo): void {
    const known = this.servers.get(facts.name);
    this.servers.set(facts.name, { facts, inFlight: known?.inFlight ?? 0, leaving: known?.leaving ?? false });
  }

  /** Removes a server; has no effect if there is none of that name. */
  public remove(name: string): void {
    this.servers.delete(name);
  }

  /** Excludes a leaving server from new calls, or includes it again. */
  public setLeaving(name: string, leaving: boolean): void {
    const known = this.servers.get(name);
    if (known !== undefined) this.servers.set(name, { ...known, leaving });
  }

  /** Tests whether a service has any servers, usable or not. */
  public has(service: string): boolean {
    return [...this.servers.values()].some(({ facts }) => facts.service === service);
  }

  /**
   * Chooses the less loaded of two random usable servers, with a preference for the entry's own failure domain; returns
   * `null` if there is none.
   */
  public choose(service: string, excluded: ReadonlySet<string>): ServerInfo | null {
    const usable = [...this.servers.values()].filter(({ facts, leaving }) => (
      facts.service === service && facts.available && !leaving && !excluded.has(facts.name)
    ));
    const near = usable.filter(({ facts }) => facts.failureDomain === this.failureDomain);
    const first = this.pickRandom(near) ?? this.pickRandom(usable);
    if (first === undefined) return null;
    const second = this.pickRandom(usable.filter((server) => server !== first)) ?? first;
    return (this.cost(second) < this.cost(first) ? second : first).facts;
  }

  /** Counts a call to a server as in flight until the result is disposed of. */
  public beginCall(name: string): Disposable {
    this.addInFlight(name, 1);
    return { dispose: () => this.addInFlight(name, -1) };
  }

  /** Servers with their state, for the state dump. */
  public dump(): Record<string, unknown>[] {
    return [...this.servers.values()].map(({ facts: { client: _, ...facts }, ...state }) => ({ ...facts, ...state }));
  }

  private cost({ inFlight, facts }: TrackedServer): number {
    return inFlight + (facts.failureDomain === this.failureDomain ? 0 : OTHER_DOMAIN_COST);
  }

  private addInFlight(name: string, amount: number): void {
    const known = this.servers.get(name);
    if (known !== undefined) this.servers.set(name, { ...known, inFlight: known.inFlight + amount });
  }

  private pickRandom(servers: readonly TrackedServer[]): TrackedServer | undefined {
    return servers[Math.floor(this.random.float() * servers.length)];
  }
}
