/** Fewest servers that must have failed to answer before a gateway doubts its links, unless it knows fewer. */
const MIN_SILENT_SERVERS = 3;

/** Fewest servers that others must reach meanwhile, and that a gateway must know: a single one proves nothing. */
const MIN_REACHED_SERVERS = 2;

/**
 * Time in ms from the first failure on without any answer. Calls that wait while this process stands still all fail at
 * once when it goes on, before it has read the answers.
 */
const MIN_SILENCE_MS = 300;

/** Time in ms for which the last answer of a server is remembered. */
const ANSWER_TTL_MS = 10_000;

/** Largest number of servers whose last answers are remembered. */
const MAX_SERVERS = 20_000;

/** Backend server that has answered or has failed to. */
export interface ReachableServer {
  readonly id: string;
  readonly service: string;
}

/** Servers that do not answer this gateway, although none has to be at fault. */
export interface Silence {
  /** Monotonic time in ms of the first failure since the last answer of any server. */
  readonly since: number;
  readonly servers: readonly string[];
  readonly services: readonly string[];
}

interface LastAnswer {
  readonly service: string;
  readonly at: number;
}

/** Whether others reach so many servers that the silence is the fault of this gateway's links. */
export function isOwnFault(reachedByOthers: ReadonlySet<string>): boolean {
  return reachedByOthers.size >= MIN_REACHED_SERVERS;
}

/** What this gateway has seen of all backend servers together: last answers, and failures since the last one. */
export class ReachEvidence {
  private readonly answers = new Map<string, LastAnswer>();

  private readonly failures = new Map<string, string>();

  private firstFailureAt = Infinity;

  /** Records the head of an answer of any kind at a monotonic time in ms. */
  public answered({ id, service }: ReachableServer, at: number): void {
    this.failures.clear();
    this.firstFailureAt = Infinity;
    this.answers.delete(id);
    this.answers.set(id, { service, at });
    const [oldest] = this.answers.keys();
    if (this.answers.size > MAX_SERVERS && oldest !== undefined) this.answers.delete(oldest);
  }

  /** Records that a server could not be reached, or did not answer in its usual time. */
  public failed({ id, service }: ReachableServer, at: number): void {
    if (this.failures.size === 0) this.firstFailureAt = at;
    this.failures.set(id, service);
  }

  /** The silence of so many of `known` servers that the links of this gateway may be why, or `null`. */
  public silence(known: number, now: number): Silence | null {
    if (known < MIN_REACHED_SERVERS || this.failures.size < Math.min(MIN_SILENT_SERVERS, known)) return null;
    if (now - this.firstFailureAt < MIN_SILENCE_MS) return null;
    return {
      since: this.firstFailureAt,
      servers: [...this.failures.keys()],
      services: [...new Set(this.failures.values())],
    };
  }

  /** Servers of the given services that have answered since a monotonic time in ms. */
  public reachedSince(services: ReadonlySet<string>, since: number, now: number): readonly string[] {
    const oldest = Math.max(since, now - ANSWER_TTL_MS);
    return [...this.answers].flatMap(([id, { service, at }]) => (at >= oldest && services.has(service) ? [id] : []));
  }
}
