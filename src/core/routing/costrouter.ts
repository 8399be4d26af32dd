import type { Clock } from '../interfaces/index.js';
import { Role } from '../interfaces/index.js';
import type { Demand } from './demand.js';
import { sumDemand, ShortPoolSizer } from './demand.js';
import type { ModelEngines } from './candidates.js';
import { CandidatePools } from './candidates.js';
import type { CostEstimate, CostRequest, CostTarget } from './cost.js';
import {
  afterShortAnswers, DEFAULT_COST_TARGET, estimateCost, handoverPerTokenMs, totalCost,
} from './cost.js';
import type { EngineSpeed, ReportedLoad } from './load.js';
import { DEFAULT_ENGINE_SPEED, SHORT_ANSWER_TOKENS } from './load.js';
import type {
  AttemptOutcome, EngineInfo, Placement, WorkItem,
} from '../serving/index.js';
import { WorkTracker } from './tracker.js';

import type { Router, RouterOptions } from './router.js';

/** Options of {@link CostRouter}. A node is an entry of the deployment, which sends requests to engines. */
export interface CostRouterOptions extends RouterOptions {
  readonly clock: Clock;
  /** Name of this node. */
  readonly node: string;
  /** Failure domain of this node. */
  readonly failureDomain: string;
  /** Names of all nodes that send requests to these engines; a new array after each change. */
  readonly nodes: () => readonly string[];
  /** Expected number of output tokens. */
  readonly expectedOutput: (item: WorkItem) => number;
  /** Expected number of the request's prompt tokens in the engine's prefix cache. */
  readonly prefixTokens?: (engine: string, item: WorkItem) => number;
  /** Engines that probably cache the longest prefix of the prompt. */
  readonly prefixOwners?: (item: WorkItem) => readonly string[];
  /** Called for each request that this node places, with the engine that prefills it. */
  readonly onPlaced?: (engine: string, item: WorkItem) => void;
  /** Share of its normal work that an engine gets, from 0 to 1; with 0 it is never chosen. */
  readonly healthWeight?: (engine: string) => number;
  /** Called with each time between tokens or to a first token that this node measures, and the expected time, in ms. */
  readonly onObservation?: (engine: string, observedMs: number, expectedMs: number) => void;
  /** Sum of the demand for a model in the latest publications of the other nodes. */
  readonly peerDemand?: (model: string) => Demand;
  /** Extra network delay in ms to another failure domain; 1 by default. */
  readonly distanceMs?: number;
  readonly speed?: EngineSpeed;
  readonly target?: CostTarget;
  /** Number of random candidates besides preferred engines and prefix owners; 4 by default. */
  readonly candidates?: number;
}

interface ScoredPlacement {
  readonly placement: Placement;
  readonly cost: number;
  /**
   * The cost assumes that the request waits for this node's short answers at the engine. Queued requests are placed
   * again whenever one of those finishes.
   */
  readonly shouldWait: boolean;
}

interface PlacementQuery {
  readonly item: WorkItem;
  /** Cost properties of the request before any prefix hit. */
  readonly base: CostRequest;
  /** Time left until the first token is late. */
  readonly budgetMs: number;
  readonly engines: ModelEngines;
  /** Engines that probably cache the longest prefix of the prompt. */
  readonly owners: readonly string[];
}

const DEFAULT_CANDIDATES = 4;

const DEFAULT_DISTANCE_MS = 1;

/**
 * Cost of a collision at an engine that several nodes prefer, relative to one at any other engine. At the full cost,
 * shared engines would stay idle.
 */
const SHARED_ENGINE_COLLISION_FACTOR = 0.1;

/** Expected output tokens left below which moving an answer is not worth its interruption. */
const MIN_MOVE_TOKENS = 20;

function cheaper(a: ScoredPlacement | null, b: ScoredPlacement | null): ScoredPlacement | null {
  if (a === null || b === null) return a ?? b;
  return b.cost < a.cost ? b : a;
}

/**
 * Router that chooses the engine with the lowest cost. The cost counts predicted latency, interference with other
 * requests, prefix cache hits, distance and health.
 */
export class CostRouter implements Router {
  private readonly tracker: WorkTracker;

  private readonly pools: CandidatePools;

  private readonly poolSizers = new Map<string, ShortPoolSizer>();

  private readonly speed: EngineSpeed;

  private readonly target: CostTarget;

  public constructor(private readonly options: CostRouterOptions) {
    this.speed = options.speed ?? DEFAULT_ENGINE_SPEED;
    this.target = options.target ?? DEFAULT_COST_TARGET;
    this.tracker = new WorkTracker({
      clock: options.clock,
      speed: this.speed,
      peers: () => Math.max(0, options.nodes().length - 1),
      onObservation: options.onObservation ?? (() => {}),
    });
    this.pools = new CandidatePools(options);
  }

  /** Updates the load of an engine from a report that describes it as it was `ageMs` ago. */
  public report(engine: string, reported: ReportedLoad, ageMs: number): void {
    this.tracker.report(engine, reported, ageMs);
  }

  /** Number of this node's requests in flight at an engine. */
  public inFlight(engine: string): number {
    return this.tracker.load(engine).requestCount;
  }

  /** Smoothed demand that this node sees for one model or for all, to publish to other nodes and the role planner. */
  public demand(model?: string): Demand {
    const now = this.options.clock.monotonic();
    if (model !== undefined) return this.poolSizer(model).demand(now);
    return sumDemand([...this.poolSizers.values()].map((sizer) => sizer.demand(now)));
  }

  public choose(item: WorkItem): Placement | null {
    const { target } = this;
    const expectedOutput = this.options.expectedOutput(item);
    const importedTokens = item.importedTokens ?? 0;
    const engines = this.modelEngines(item.model);
    const elapsedMs = this.options.clock.monotonic() - item.arrival;
    const query: PlacementQuery = {
      item,
      engines,
      base: {
        expectedOutput,
        importedTokens,
        prefillTokens: importedTokens > 0 ? 0 : item.promptTokens,
      },
      budgetMs: Math.max(target.firstTokenMs / 10, target.firstTokenMs - elapsedMs),
      owners: this.options.prefixOwners?.(item) ?? [],
    };
    // A sample may miss every engine that has capacity, so all engines are compared before the request has to wait.
    const best = this.bestPlacement(query, this.options.candidates ?? DEFAULT_CANDIDATES)
      ?? this.bestPlacement(query, Infinity);
    return best === null || best.shouldWait ? null : best.placement;
  }

  public started(item: WorkItem, placement: Placement): void {
    const imported = (item.importedTokens ?? 0) > 0;
    const prefillTokens = imported ? 0 : this.prefillTokens(placement.prefill ?? placement.engine, item);
    const expectedOutput = Math.max(1, this.options.expectedOutput(item));
    this.tracker.started(placement, prefillTokens, expectedOutput);
    if (!imported) this.options.onPlaced?.(placement.prefill ?? placement.engine, item);
    if (!imported) {
      this.poolSizer(item.model).observe(this.options.clock.monotonic(), prefillTokens, expectedOutput);
    }
  }

  public firstToken(_item: WorkItem, placement: Placement, latencyMs: number): void {
    this.tracker.firstToken(placement, latencyMs);
  }

  public progress(_item: WorkItem, placement: Placement, produced: number): void {
    this.tracker.progress(placement, produced);
  }

  public finished(_item: WorkItem, placement: Placement, _outcome: AttemptOutcome): void {
    this.tracker.finished(placement);
  }

  /**
   * Whether a running long answer should move to another engine with its KV cache, because its engine now takes short
   * answers: a single decode there delays every prompt by one step for each prefill chunk.
   */
  public shouldMove(item: WorkItem, placement: Placement): boolean {
    const engines = this.modelEngines(item.model);
    if (!engines.forShort.has(placement.engine) || placement.prefill !== null) return false;
    if (engines.mixed.length + engines.decode.length <= 1) return false;
    return this.tracker.longOutputLeft(placement) >= MIN_MOVE_TOKENS;
  }

  private bestPlacement(query: PlacementQuery, candidates: number): ScoredPlacement | null {
    const { engines, base } = query;
    const short = base.expectedOutput <= SHORT_ANSWER_TOKENS;
    if (base.importedTokens > 0) return this.bestOnOneEngine(query, [engines.mixed, engines.decode], candidates);
    const whole = this.bestOnOneEngine(query, short ? [engines.mixed, engines.prefill] : [engines.mixed], candidates);
    return cheaper(whole, this.bestSplit(query, candidates));
  }

  private bestOnOneEngine(
    query: PlacementQuery,
    pools: readonly (readonly EngineInfo[])[],
    candidates: number,
  ): ScoredPlacement | null {
    let best: ScoredPlacement | null = null;
    for (const pool of pools) {
      for (const facts of this.pools.sample(pool, query.engines, query.owners, candidates)) {
        const weight = this.weight(facts, query.item);
        if (weight === 0) continue;
        const estimate = this.estimate(facts, query, query.base);
        const placement = { engine: facts.name, prefill: null };
        best = cheaper(best, this.score(placement, estimate, query, weight, false));
        const { shortCount } = this.tracker.load(facts.name);
        if (shortCount === 0) continue;
        const afterWait = afterShortAnswers(estimate, shortCount, this.speed);
        best = cheaper(best, this.score(placement, afterWait, query, weight, true));
      }
    }
    return best;
  }

  private score(
    placement: Placement,
    estimate: CostEstimate,
    query: PlacementQuery,
    weight: number,
    shouldWait: boolean,
  ): ScoredPlacement {
    return { placement, cost: totalCost(estimate, query.budgetMs, this.target) / weight, shouldWait };
  }

  private bestSplit(query: PlacementQuery, candidates: number): ScoredPlacement | null {
    const { engines, base, budgetMs } = query;
    if (engines.decode.length === 0) return null;
    const prefill = this.bestOnOneEngine(
      { ...query, base: { ...base, expectedOutput: 1 } },
      [engines.prefill, engines.mixed],
      candidates,
    );
    const decode = this.bestOnOneEngine(
      { ...query, base: { ...base, prefillTokens: 0, importedTokens: base.prefillTokens } },
      [engines.decode],
      candidates,
    );
    if (prefill === null || decode === null) return null;
    const handoverMs = base.expectedOutput > SHORT_ANSWER_TOKENS ? 0 : handoverPerTokenMs(
      base.prefillTokens,
      base.expectedOutput,
      this.tracker.stepMs(decode.placement.engine),
      this.speed,
    );
    const handover: CostEstimate = {
      firstTokenMs: 0, perTokenMs: handoverMs, interference: 0, shortInterference: 0,
    };
    return {
      placement: { engine: decode.placement.engine, prefill: prefill.placement.engine },
      // Both costs include a time between tokens. That of the prefill engine is subtracted: it produces one token only.
      cost: prefill.cost + decode.cost + totalCost(handover, budgetMs, this.target)
        - (this.speed.stepMs / this.target.perTokenMs) ** 2,
      shouldWait: prefill.shouldWait || decode.shouldWait,
    };
  }

  private poolSizer(model: string): ShortPoolSizer {
    let sizer = this.poolSizers.get(model);
    if (sizer === undefined) {
      sizer = new ShortPoolSizer(this.speed);
      this.poolSizers.set(model, sizer);
    }
    return sizer;
  }

  private modelEngines(model: string): ModelEngines {
    const own = this.demand(model);
    const others = this.options.peerDemand?.(model);
    const demand = others === undefined ? own : sumDemand([own, others]);
    return this.pools.forModel(model, (total) => (
      this.poolSizer(model).shortEngineCount(total, this.options.nodes().length, demand)
    ));
  }

  private estimate(facts: EngineInfo, query: PlacementQuery, base: CostRequest): CostEstimate {
    const hit = base.prefillTokens > 0 ? this.options.prefixTokens?.(facts.name, query.item) ?? 0 : 0;
    const item = hit > 0 ? { ...base, prefillTokens: Math.max(1, base.prefillTokens - hit) } : base;
    const preferringNodes = query.engines.preferred.get(facts.name);
    const isRemote = facts.failureDomain !== this.options.failureDomain;
    return estimateCost(item, {
      load: this.tracker.load(facts.name),
      waitingPromptTokens: this.tracker.waitingPromptTokens(facts.name),
      peerRequests: this.tracker.peerRequests(facts.name),
      distanceMs: isRemote ? this.options.distanceMs ?? DEFAULT_DISTANCE_MS : 0,
      peerShare: preferringNodes === undefined
        ? 1
        : (SHARED_ENGINE_COLLISION_FACTOR * (preferringNodes - 1)) / preferringNodes,
      forShort: query.engines.forShort.has(facts.name),
      chunkTokens: facts.role === Role.Prefill ? this.speed.prefillChunkTokens : this.speed.chunkTokens,
    }, this.speed, this.target);
  }

  private prefillTokens(engine: string, item: WorkItem): number {
    return Math.max(1, item.promptTokens - (this.options.prefixTokens?.(engine, item) ?? 0));
  }

  private weight(facts: EngineInfo, item: WorkItem): number {
    if (item.excludedEngines?.has(facts.name) === true || !this.options.hasRoom(facts.name, item)) return 0;
    const weight = this.options.healthWeight?.(facts.name) ?? 1;
    // An engine on probation gets one request at a time.
    return weight < 1 && this.tracker.load(facts.name).requestCount > 0 ? 0 : weight;
  }
}
