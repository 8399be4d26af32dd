import type { Random } from '../interfaces/index.js';
import { Role } from '../interfaces/index.js';
import { orderByRendezvous } from './demand.js';
import type { EngineDirectory, EngineInfo } from '../serving/index.js';
import { enginesPreferredByNode } from './subset.js';

/** Available engines of one model by role. */
interface RolePools {
  readonly mixed: readonly EngineInfo[];
  readonly decode: readonly EngineInfo[];
  readonly prefill: readonly EngineInfo[];
}

/** Available engines of one model by role, and those that take short answers. */
export interface ModelEngines extends RolePools {
  /** Names of the engines on which all nodes run short answers. */
  readonly forShort: ReadonlySet<string>;
  /** Engines of `forShort` that this node prefers, with the number of nodes that prefer each. */
  readonly preferred: ReadonlyMap<string, number>;
  /** The engines of `preferred`. */
  readonly preferredList: readonly EngineInfo[];
}

/** Options of {@link CandidatePools}. */
export interface CandidateOptions {
  readonly directory: EngineDirectory;
  readonly random: Random;
  /** Name of this node. */
  readonly node: string;
  /** Names of all nodes that send work to these engines; a new array after each change. */
  readonly nodes: () => readonly string[];
}

/**
 * Largest pool of which every engine is a candidate. Nodes still do not all choose the same engine, because each
 * weighs its own requests, which differ between nodes.
 */
const MAX_UNSAMPLED_POOL = 12;

/** Selects the engines that the router compares; the pools are cached until the directory or the nodes change. */
export class CandidatePools {
  private readonly rolesByModel = new Map<string, RolePools>();

  private readonly enginesByModel = new Map<string, { readonly count: number; readonly engines: ModelEngines }>();

  private nodes: readonly string[] = [];

  public constructor(private readonly options: CandidateOptions) {
    options.directory.onChange(() => this.rolesByModel.clear());
  }

  /** Available engines of a model; `shortEngineCount` gives how many of `total` engines take short answers. */
  public forModel(model: string, shortEngineCount: (total: number) => number): ModelEngines {
    const nodes = this.options.nodes();
    if (nodes !== this.nodes) {
      this.nodes = nodes;
      this.rolesByModel.clear();
    }
    let roles = this.rolesByModel.get(model);
    if (roles === undefined) {
      const serving = orderByRendezvous(this.options.directory.serving(model));
      const ofRole = (role: Role): EngineInfo[] => serving.filter((engine) => engine.role === role);
      roles = { mixed: ofRole(Role.Mixed), decode: ofRole(Role.Decode), prefill: ofRole(Role.Prefill) };
      this.rolesByModel.set(model, roles);
      this.enginesByModel.delete(model);
    }
    const count = shortEngineCount(roles.mixed.length + roles.decode.length + roles.prefill.length);
    const cached = this.enginesByModel.get(model);
    if (cached !== undefined && cached.count === count) return cached.engines;
    const names = (pool: readonly EngineInfo[]): string[] => pool.map((engine) => engine.name);
    const mixedForShort = Math.max(0, count - roles.prefill.length);
    const forShort = names([...roles.prefill, ...roles.mixed.slice(0, mixedForShort)]);
    const preferred = enginesPreferredByNode(this.options.node, nodes, forShort);
    const preferredList = [...preferred.keys()].map((name) => this.options.directory.get(name)!);
    const engines = {
      ...roles, forShort: new Set(forShort), preferred, preferredList,
    };
    this.enginesByModel.set(model, { count, engines });
    return engines;
  }

  /**
   * Candidates from a pool: preferred engines, `owners` (engines that probably cache the prompt's prefix) and `count`
   * random engines. The whole pool if it is small.
   */
  public sample(
    pool: readonly EngineInfo[],
    engines: ModelEngines,
    owners: readonly string[],
    count: number,
  ): readonly EngineInfo[] {
    if (pool.length <= Math.max(count, MAX_UNSAMPLED_POOL)) return pool;
    const chosen = new Set<EngineInfo>();
    const add = (facts: EngineInfo | undefined): void => {
      if (facts !== undefined && facts.role === pool[0]!.role && facts.available) chosen.add(facts);
    };
    for (const owner of owners) add(this.options.directory.get(owner));
    // The time for a choice must not grow with the fleet, so a long list of preferred engines is sampled as well.
    if (engines.preferredList.length <= count) engines.preferredList.forEach(add);
    else for (let draw = 0; draw < count; draw += 1) add(this.pickRandom(engines.preferredList));
    const size = Math.min(pool.length, chosen.size + count);
    while (chosen.size < size) chosen.add(this.pickRandom(pool));
    return [...chosen];
  }

  private pickRandom(pool: readonly EngineInfo[]): EngineInfo {
    return pool[Math.floor(this.options.random.float() * pool.length)]!;
  }
}
