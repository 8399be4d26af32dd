import type { Disposable, PlainService, Random } from '../edges/index.js';

/** Backend server of a plain service. */
export interface ServerFacts {
  readonly name: string;
  readonly service: string;
  readonly host: string;
  readonly failureDomain: string;
  /** False while draining or withdrawn according to the fleet file. */
  readonly available: boolean;
  readonly client: PlainService;
}

interface ServerEntry {
  facts: ServerFacts;
  inFlight: number;
  leaving: boolean;
}

/** Calls in flight that outweigh the entry's own failure domain. */
const DOMAIN_WEIGHT = 1;

/** Backend servers of all plain services, with the calls that this entry has in flight to each. */
export class ServerDirectory {
  private readonly servers = new Map<string, ServerEntry>();

  public constructor(private readonly failureDomain: string, private readonly random: Random) {}

  /** Adds a server or replaces its facts. */
  public set(facts: ServerFacts): void {
    const known = this.servers.get(facts.name);
    this.servers.set(facts.name, { facts, inFlight: known?.inFlight ?? 0, leaving: known?.leaving ?? false });
  }

  public remove(name: string): void {
    this.servers.delete(name);
  }

  /** Withholds new work from a leaving server, or gives it back. */
  public setLeaving(name: string, leaving: boolean): void {
    const known = this.servers.get(name);
    if (known !== undefined) this.servers.set(name, { ...known, leaving });
  }

  public has(service: string): boolean {
    return [...this.servers.values()].some(({ facts }) => facts.service === service);
  }

  /** The better of two random usable servers, by calls in flight and failure domain; `null` if there is none. */
  public choose(service: string, excluded: ReadonlySet<string>): ServerFacts | null {
    const usable = [...this.servers.values()].filter(({ facts, leaving }) => (
      facts.service === service && facts.available && !leaving && !excluded.has(facts.name)
    ));
    const near = usable.filter(({ facts }) => facts.failureDomain === this.failureDomain);
    const first = this.pick(near) ?? this.pick(usable);
    if (first === undefined) return null;
    const second = this.pick(usable.filter((server) => server !== first)) ?? first;
    return (this.cost(second) < this.cost(first) ? second : first).facts;
  }

  /** Counts a call in flight until the handle is disposed. */
  public begin(name: string): Disposable {
    this.count(name, 1);
    return { dispose: () => this.count(name, -1) };
  }

  public dump(): Record<string, unknown>[] {
    return [...this.servers.values()].map(({ facts: { client: _, ...facts }, ...state }) => ({ ...facts, ...state }));
  }

  private cost({ inFlight, facts }: ServerEntry): number {
    return inFlight + (facts.failureDomain === this.failureDomain ? 0 : DOMAIN_WEIGHT);
  }

  private count(name: string, amount: number): void {
    const known = this.servers.get(name);
    if (known !== undefined) this.servers.set(name, { ...known, inFlight: known.inFlight + amount });
  }

  private pick(servers: readonly ServerEntry[]): ServerEntry | undefined {
    return servers[Math.floor(this.random.float() * servers.length)];
  }
}
