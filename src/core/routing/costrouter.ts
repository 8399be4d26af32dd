import type { Clock } from '../edges/index.js';
import { Role } from '../edges/index.js';
import type { Demand } from './affinity.js';
import { sumDemand, WorkAffinity } from './affinity.js';
import type { ModelEngines } from './candidates.js';
import { CandidatePools } from './candidates.js';
import type { CostEstimate, CostItem, CostTarget } from './cost.js';
import {
  afterShorts, DEFAULT_COST_TARGET, estimateCost, handoverPerTokenMs, priceOf,
} from './cost.js';
import type { EngineSpeed, ReportedLoad } from './load.js';
import { DEFAULT_ENGINE_SPEED, SHORT_ANSWER_TOKENS } from './load.js';
import type {
  AttemptOutcome, EngineFacts, Placement, WorkItem,
} from '../serving/index.js';
import { WorkTracker } from './tracker.js';

import type { Router, RouterOptions } from './routing.js';
/** Options of {@link CostRouter}. */
export interface CostRouterOptions extends RouterOptions {
  readonly clock: Clock;
  /** Name of this node. */
  readonly node: string;
  readonly failureDomain: string;
  /** Nodes that send work to these engines; a new array after each change. */
  readonly nodes: () => readonly string[];
  /** Expected number of output tokens. */
  readonly expectedOutput: (item: WorkItem) => number;
  /** Expected prompt tokens in the engine's prefix cache. */
  readonly prefixTokens?: (engine: string, item: WorkItem) => number;
  /** Engines that probably hold the longest prefix. */
  readonly prefixOwners?: (item: WorkItem) => readonly string[];
  /** Told of each own placement, with the engine that prefills. */
  readonly onPlaced?: (engine: string, item: WorkItem) => void;
  /** Share of normal work from 0 to 1; 0 takes the engine out. */
  readonly healthWeight?: (engine: string) => number;
  /** Receives each own observation of a time between tokens or to a first token, with its expectation. */
  readonly onObservation?: (engine: string, observedMs: number, expectedMs: number) => void;
  /** Sum of the demand for a model that the other nodes published last. */
  readonly othersDemand?: (model: string) => Demand;
  /** Extra delay in ms to another failure domain. */
  readonly distanceMs?: number;
  readonly speed?: EngineSpeed;
  readonly target?: CostTarget;
  /** Random candidates besides home engines and prefix owners. */
  readonly candidates?: number;
}

interface Choice {
  readonly placement: Placement;
  readonly cost: number;
  /** Better placed there once own short answers have finished; their end places waiting requests again. */
  readonly hold: boolean;
}

interface Question {
  readonly item: WorkItem;
  readonly base: CostItem;
  readonly budgetMs: number;
  readonly engines: ModelEngines;
  readonly owners: readonly string[];
}

const DEFAULT_CANDIDATES = 4;

const DEFAULT_DISTANCE_MS = 1;

/** Price of a collision at a shared home relative to any other engine; at the full price shared homes stay idle. */
const SHARED_HOME_PRICE = 0.1;

/** Expected output left below which a move is not worth its interruption. */
const MIN_MOVE_TOKENS = 20;

function better(a: Choice | null, b: Choice | null): Choice | null {
  if (a === null || b === null) return a ?? b;
  return b.cost < a.cost ? b : a;
}

/** Router that weighs predicted delays, the harm to running requests, prefix hits, distance and health. */
export class CostRouter implements Router {
  private readonly tracker: WorkTracker;

  private readonly pools: CandidatePools;

  private readonly affinities = new Map<string, WorkAffinity>();

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

  /** Takes a load report that describes the engine as it was `ageMs` ago. */
  public report(engine: string, reported: ReportedLoad, ageMs: number): void {
    this.tracker.report(engine, reported, ageMs);
  }

  /** Own requests in flight at an engine. */
  public inFlight(engine: string): number {
    return this.tracker.load(engine).count;
  }

  /** Smoothed demand that this node sees, of one model or of all, for the other nodes and the role planner. */
  public demand(model?: string): Demand {
    const now = this.options.clock.monotonic();
    if (model !== undefined) return this.affinity(model).demand(now);
    return sumDemand([...this.affinities.values()].map((affinity) => affinity.demand(now)));
  }

  public choose(item: WorkItem): Placement | null {
    const { target } = this;
    const expectedOutput = this.options.expectedOutput(item);
    const importedTokens = item.importedTokens ?? 0;
    const engines = this.engines(item.model);
    const elapsedMs = this.options.clock.monotonic() - item.arrival;
    const question: Question = {
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
    // A sample may miss every engine that has room, so all are looked at before the request has to wait.
    const best = this.best(question, this.options.candidates ?? DEFAULT_CANDIDATES) ?? this.best(question, Infinity);
    return best === null || best.hold ? null : best.placement;
  }

  public started(item: WorkItem, placement: Placement): void {
    const imported = (item.importedTokens ?? 0) > 0;
    const prefillTokens = imported ? 0 : this.prefillTokens(placement.prefill ?? placement.engine, item);
    const expectedOutput = Math.max(1, this.options.expectedOutput(item));
    this.tracker.started(placement, prefillTokens, expectedOutput);
    if (!imported) this.options.onPlaced?.(placement.prefill ?? placement.engine, item);
    if (!imported) {
      this.affinity(item.model).observe(this.options.clock.monotonic(), prefillTokens, expectedOutput);
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
   * Whether a running long answer should move its KV cache elsewhere, because its engine has come to be one for short
   * answers: a single decode there slows every prompt by a step for each chunk.
   */
  public shouldMove(item: WorkItem, placement: Placement): boolean {
    const engines = this.engines(item.model);
    if (!engines.forShort.has(placement.engine) || placement.prefill !== null) return false;
    if (engines.mixed.length + engines.decode.length <= 1) return false;
    return this.tracker.longLeft(placement) >= MIN_MOVE_TOKENS;
  }

  private best(question: Question, candidates: number): Choice | null {
    const { engines, base } = question;
    const short = base.expectedOutput <= SHORT_ANSWER_TOKENS;
    if (base.importedTokens > 0) return this.bestWhole(question, [engines.mixed, engines.decode], candidates);
    const whole = this.bestWhole(question, short ? [engines.mixed, engines.prefill] : [engines.mixed], candidates);
    return better(whole, this.bestSplit(question, candidates));
  }

  private bestWhole(
    question: Question,
    pools: readonly (readonly EngineFacts[])[],
    candidates: number,
  ): Choice | null {
    let best: Choice | null = null;
    for (const pool of pools) {
      for (const facts of this.pools.sample(pool, question.engines, question.owners, candidates)) {
        const weight = this.weight(facts, question.item);
        if (weight === 0) continue;
        const estimate = this.estimate(facts, question, question.base);
        const placement = { engine: facts.name, prefill: null };
        best = better(best, this.choice(placement, estimate, question, weight, false));
        const { shorts } = this.tracker.load(facts.name);
        if (shorts === 0) continue;
        const later = afterShorts(estimate, shorts, this.speed);
        best = better(best, this.choice(placement, later, question, weight, true));
      }
    }
    return best;
  }

  private choice(
    placement: Placement,
    estimate: CostEstimate,
    question: Question,
    weight: number,
    hold: boolean,
  ): Choice {
    return { placement, cost: priceOf(estimate, question.budgetMs, this.target) / weight, hold };
  }

  private bestSplit(question: Question, candidates: number): Choice | null {
    const { engines, base, budgetMs } = question;
    if (engines.decode.length === 0) return null;
    const prefill = this.bestWhole(
      { ...question, base: { ...base, expectedOutput: 1 } },
      [engines.prefill, engines.mixed],
      candidates,
    );
    const decode = this.bestWhole(
      { ...question, base: { ...base, prefillTokens: 0, importedTokens: base.prefillTokens } },
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
      firstTokenMs: 0, perTokenMs: handoverMs, harm: 0, shortHarm: 0,
    };
    return {
      placement: { engine: decode.placement.engine, prefill: prefill.placement.engine },
      // The time between tokens of the prefill engine does not count, as it produces one token only.
      cost: prefill.cost + decode.cost + priceOf(handover, budgetMs, this.target)
        - (this.speed.stepMs / this.target.perTokenMs) ** 2,
      hold: prefill.hold || decode.hold,
    };
  }

  private affinity(model: string): WorkAffinity {
    let affinity = this.affinities.get(model);
    if (affinity === undefined) {
      affinity = new WorkAffinity(this.speed);
      this.affinities.set(model, affinity);
    }
    return affinity;
  }

  private engines(model: string): ModelEngines {
    const own = this.demand(model);
    const others = this.options.othersDemand?.(model);
    const demand = others === undefined ? own : sumDemand([own, others]);
    return this.pools.of(model, (total) => (
      this.affinity(model).shortEngines(total, this.options.nodes().length, demand)
    ));
  }

  private estimate(facts: EngineFacts, question: Question, base: CostItem): CostEstimate {
    const hit = base.prefillTokens > 0 ? this.options.prefixTokens?.(facts.name, question.item) ?? 0 : 0;
    const item = hit > 0 ? { ...base, prefillTokens: Math.max(1, base.prefillTokens - hit) } : base;
    const sharers = question.engines.home.get(facts.name);
    const far = facts.failureDomain !== this.options.failureDomain;
    return estimateCost(item, {
      load: this.tracker.load(facts.name),
      promptWaiting: this.tracker.promptWaiting(facts.name),
      others: this.tracker.others(facts.name),
      distanceMs: far ? this.options.distanceMs ?? DEFAULT_DISTANCE_MS : 0,
      foreign: sharers === undefined ? 1 : (SHARED_HOME_PRICE * (sharers - 1)) / sharers,
      forShort: question.engines.forShort.has(facts.name),
      chunkTokens: facts.role === Role.Prefill ? this.speed.prefillChunkTokens : this.speed.chunkTokens,
    }, this.speed, this.target);
  }

  private prefillTokens(engine: string, item: WorkItem): number {
    return Math.max(1, item.promptTokens - (this.options.prefixTokens?.(engine, item) ?? 0));
  }

  private weight(facts: EngineFacts, item: WorkItem): number {
    if (item.excluded?.has(facts.name) === true || !this.options.hasRoom(facts.name, item)) return 0;
    const weight = this.options.healthWeight?.(facts.name) ?? 1;
    // An engine on probation gets one request at a time.
    return weight < 1 && this.tracker.load(facts.name).count > 0 ? 0 : weight;
  }
}
