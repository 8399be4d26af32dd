import type { ScalingLimits } from './scaling/plan.js';
import { WorkspaceKeys } from './workspaces.js';
import type { Workspace } from './workspaces.js';

/** Kind of a call, which decides whether it may be sent again after its answer was lost. */
export enum CallKind {
  /** The call may run more than once. */
  Idempotent = 'idempotent',
  /** The call must run at most once. */
  NonIdempotent = 'non_idempotent',
  /** The answer is a stream of events; the call must run at most once unless its route is resumable. */
  Stream = 'stream',
}

/** One of the services that share the traffic of a route. */
export interface Destination {
  readonly service: string;
  readonly weight: number;
}

/** Rule for the calls to one host name whose path begins with a prefix. */
export interface Route {
  readonly name: string;
  /** Host name, compared with the `Host` header without its port and regardless of case. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: CallKind;
  /** Longest time in ms until the end of the answer. */
  readonly timeoutMs: number;
  /** Time in ms to the answer, or to the first event of a stream, that callers expect. */
  readonly targetMs: number;
  /** Largest number of backend servers to which one call may be sent. */
  readonly maxAttempts: number;
  /** Priority of the route; 0 is the most urgent. */
  readonly priority: number;
  /** Whether an interrupted stream may continue at another backend server after its last event. */
  readonly resumable: boolean;
  /** Whether calls are served without a key. */
  readonly isPublic: boolean;
  readonly destinations: readonly Destination[];
}

/** Properties that all model engines of a service share. */
export interface EngineProfile {
  /** Requests that one engine runs at once. */
  readonly slots: number;
  /** Capacity of the KV cache of one engine in tokens. */
  readonly cacheTokens: number;
  /** Time in ms for which an engine keeps the KV cache of a prefilled prompt. */
  readonly handleTtlMs: number;
  /** Time in ms for which an engine is out of service while its role changes. */
  readonly switchMs: number;
}

/** Group of backend servers that do the same work. */
export interface ForwardingService {
  readonly name: string;
  /** Connections that one backend server accepts from all callers together. */
  readonly maxConnections: number;
  /** `null` for a plain service. */
  readonly engine: EngineProfile | null;
  /** `null` where the number of servers can't be ordered. */
  readonly scaling: ScalingLimits | null;
}

/** Limits on the requests and connections of callers; times in ms, sizes in bytes. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the forwarding configuration that operators write. */
export interface ForwardingConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, ForwardingService>;
  readonly limits: CallerLimits;
  /** `null` where callers need no keys. */
  readonly workspaces: readonly Workspace[] | null;
}

/** Whether streams of a route may go on at another server. */
export function mayBeResumed({ kind, resumable }: Route): boolean {
  return kind === CallKind.Stream && resumable;
}

/** Finds the route of a call: the longest prefix among the routes of its host. */
export class RouteTable {
  private readonly byHost = new Map<string, Route[]>();

  /** Keys of the callers, or `null` where they need none. */
  public readonly keys: WorkspaceKeys | null;

  /** Services to which routes lead whose streams may go on at another server. */
  public readonly resumableServices: ReadonlySet<string>;

  public constructor(public readonly configuration: ForwardingConfiguration) {
    this.resumableServices = new Set(configuration.routes.filter(mayBeResumed).flatMap(({ destinations }) => (
      destinations.map(({ service }) => service)
    )));
    this.keys = configuration.workspaces === null ? null : new WorkspaceKeys(configuration.workspaces);
    for (const route of configuration.routes) {
      const host = route.host.toLowerCase();
      const routes = this.byHost.get(host);
      if (routes === undefined) this.byHost.set(host, [route]);
      else routes.push(route);
    }
    for (const routes of this.byHost.values()) {
      routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
    }
  }

  /** Services whose backend servers are engines. */
  public get engineServices(): readonly string[] {
    const services = [...this.configuration.services.values()];
    return services.filter(({ engine }) => engine !== null).map(({ name }) => name);
  }

  /** The route of a `Host` header and a request target, or `null`. */
  public find(host: string, target: string): Route | null {
    const name = host.replace(/:\d+$/, '').toLowerCase();
    const path = target.split('?', 1)[0] ?? '';
    return this.byHost.get(name)?.find(({ pathPrefix }) => path.startsWith(pathPrefix)) ?? null;
  }
}

/** Chooses the service of one call by weight; `draw` is uniform in [0, 1). `null` for a route without destinations. */
export function chooseDestination(route: Route, draw: number): string | null {
  const total = route.destinations.reduce((sum, { weight }) => sum + Math.max(0, weight), 0);
  let rest = draw * total;
  for (const { service, weight } of route.destinations) {
    rest -= Math.max(0, weight);
    if (rest < 0) return service;
  }
  return route.destinations[0]?.service ?? null;
}
