import {
  NO_DEMAND, DEFAULT_HEALTH_OPTIONS, HealthTracker, CostRouter, PrefixIndex, QuickRouter,
} from '../core/routing/index.js';
import type { Demand } from '../core/routing/index.js';
import type { EngineDirectory } from '../core/serving/index.js';
import type { Dispatcher } from '../core/admission/index.js';
import type {
  CacheEvent, Clock, LoadReport, Random,
} from '../core/interfaces/index.js';
import { PolicyDispatcher } from '../core/admission/index.js';
import type { DemandByModel } from './demand.js';

/** Options of {@link ServingPolicy}. */
export interface ServingPolicyOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly directory: EngineDirectory;
  readonly node: string;
  readonly failureDomain: string;
  /** Names of all entries that send requests to the same engines; a new array after each change. */
  readonly nodes: () => readonly string[];
  /** Demand at the peer entries. */
  readonly peerDemand: (model: string) => Demand;
  readonly maxQueued: number;
}

/** Quantile of the output lengths that is taken as the longest output when deciding whether a request is quick. */
const LONGEST_OUTPUT_QUANTILE = 0.9;

/** Admission, routing and health tracking of one entry. */
export class ServingPolicy {
  public readonly dispatcher: Dispatcher;

  private readonly health: HealthTracker;

  private readonly prefixes = new PrefixIndex();

  private readonly policy: PolicyDispatcher;

  private router: CostRouter | null = null;

  public constructor(private readonly options: ServingPolicyOptions) {
    this.health = new HealthTracker({ clock: options.clock, ...DEFAULT_HEALTH_OPTIONS });
    this.policy = new PolicyDispatcher({
      clock: options.clock,
      random: options.random,
      directory: options.directory,
      maxQueued: options.maxQueued,
      entryPosition: () => ({ index: options.nodes().indexOf(options.node), count: options.nodes().length }),
      createRouter: (hasRoom) => {
        this.router = this.createRouter(hasRoom);
        return new QuickRouter({
          ...options,
          hasRoom,
          router: this.router,
          longestOutput: (item) => this.policy.estimates.outputTokens(item, LONGEST_OUTPUT_QUANTILE),
          healthWeight: (engine) => this.health.weight(engine),
        });
      },
    });
    this.dispatcher = this.policy;
  }

  /** Passes a load report of an engine to the router; the report may be late by its `ageMs`. */
  public recordLoadReport({ engine, ageMs, ...load }: LoadReport): void {
    this.router?.report(engine, load, ageMs);
  }

  /** Applies cache events of an engine, which may arrive late, to the prefix index. */
  public applyCacheEvents(engine: string, events: readonly CacheEvent[]): void {
    this.prefixes.apply(engine, events);
  }

  /** Starts health tracking for an engine. */
  public addEngine(engine: string): void {
    this.health.add(engine);
  }

  /** Removes the health and prefix data of an engine that left the fleet. */
  public removeEngine(engine: string): void {
    this.health.remove(engine);
    this.prefixes.remove(engine);
  }

  /** Removes the cached prefixes of an engine that restarted or changed its role. */
  public clearCachedPrefixes(engine: string): void {
    this.prefixes.remove(engine);
  }

  /** Smoothed demand at this entry, by model. */
  public demand(): DemandByModel {
    const models = new Set(this.options.directory.all().flatMap((engine) => engine.models));
    return Object.fromEntries([...models].map((model) => [model, this.router?.demand(model) ?? NO_DEMAND]));
  }

  public dump(): Record<string, unknown> {
    return { ...this.policy.dump(), prefix_entries: this.prefixes.size, health: this.health.dump() };
  }

  private createRouter(hasRoom: ConstructorParameters<typeof CostRouter>[0]['hasRoom']): CostRouter {
    const { options, health } = this;
    return new CostRouter({
      clock: options.clock,
      random: options.random,
      directory: options.directory,
      hasRoom,
      node: options.node,
      failureDomain: options.failureDomain,
      nodes: options.nodes,
      peerDemand: options.peerDemand,
      expectedOutput: (item) => this.policy.estimates.outputTokens(item),
      prefixTokens: (engine, item) => this.prefixes.match(engine, item.prefixBlockHashes),
      prefixOwners: (item) => this.prefixes.owners(item.prefixBlockHashes),
      onPlaced: (engine, item) => this.prefixes.recordPlacement(engine, item.prefixBlockHashes),
      healthWeight: (engine) => health.weight(engine),
      onObservation: (engine, observedMs, expectedMs) => health.observe(engine, observedMs, expectedMs),
    });
  }
}
