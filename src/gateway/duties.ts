import type { Authority } from '../core/authority/index.js';
import type {
  Clock, Disposable, KeyValue, Log, Meter, PeerClient, PeerServer,
} from '../core/interfaces/index.js';
import type { Members } from '../core/membership/index.js';
import type { RouteTable } from './configuration.js';
import type { Occupancy } from './occupancy.js';
import type { Provider } from './provider.js';
import { CapacityScaler } from './scaling/index.js';
import type { ServerRegistry } from './serverregistry.js';
import { UsageCollector, UsageCounter, UsageReporter } from './usage/index.js';

/** Dependencies of {@link Duties}. */
export interface DutiesDependencies {
  readonly clock: Clock;
  readonly log: Log;
  readonly meter: Meter;
  readonly store: KeyValue;
  readonly client: PeerClient;
  readonly server: PeerServer;
  readonly members: Members;
  readonly authority: Authority;
  readonly registry: ServerRegistry;
  readonly occupancy: Occupancy;
  /** `null` where the deployment has none; then no duty is performed. */
  readonly provider: Provider | null;
  readonly routes: () => RouteTable | null;
}

/** Options of {@link Duties}; times in ms. */
export interface DutiesOptions {
  readonly holder: string;
  /** Length of a window of usage; `undefined` where none is reported. */
  readonly usageWindowMs: number | undefined;
  readonly usageDueMs: number;
}

interface Usage {
  readonly counter: UsageCounter;
  readonly collector: UsageCollector;
  readonly reporter: UsageReporter;
}

/** Duties at the provider that one gateway at a time performs: reports of usage and orders of servers. */
export class Duties {
  private readonly usage: Usage | null;

  private readonly scaler: CapacityScaler | null;

  public constructor(deps: DutiesDependencies, { holder, usageWindowMs, usageDueMs }: DutiesOptions) {
    const { provider, routes } = deps;
    this.scaler = provider === null ? null : new CapacityScaler({
      ...deps, provider, services: () => [...routes()?.configuration.services.values() ?? []],
    }, holder);
    if (provider === null || usageWindowMs === undefined) {
      this.usage = null;
      return;
    }
    const counter = new UsageCounter(deps.clock, usageWindowMs);
    const collector = new UsageCollector({ ...deps, counter });
    const hasWorkspaces = (): boolean => (routes()?.keys ?? null) !== null;
    const reporter = new UsageReporter({
      ...deps, provider, counter, collector, hasWorkspaces,
    }, { holder, dueMs: usageDueMs });
    this.usage = { counter, collector, reporter };
  }

  /** Loops to run, by name. */
  public get loops(): Readonly<Record<string, { run(signal: AbortSignal): Promise<void> }>> {
    return {
      ...(this.scaler === null ? {} : { scaling: this.scaler }),
      ...(this.usage === null ? {} : { usage: this.usage.reporter }),
    };
  }

  /** Counts a call of a workspace that has begun to run. */
  public countBegin(workspace: string): void {
    this.usage?.counter.count(workspace);
  }

  /** Answers other gateways until the returned handle is disposed. */
  public serve(): Disposable {
    return this.usage?.collector.serve() ?? { dispose: () => {} };
  }

  /** Hands over what other gateways need, because this one stops. */
  public async handOver(): Promise<void> {
    await this.usage?.collector.handOver();
  }

  /** State under stable keys; `null` for a duty that this deployment does not ask for. */
  public dump(): Record<string, unknown> {
    return { usage: this.usage?.reporter.dump() ?? null, scaling: this.scaler?.dump() ?? null };
  }
}
