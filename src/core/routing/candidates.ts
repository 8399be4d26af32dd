import type { Random } from '../edges/index.js';
import { Role } from '../edges/index.js';
import { sharedOrder } from './affinity.js';
import type { EngineDirectory, EngineFacts } from '../serving/index.js';
import { homeEngines } from './subset.js';

interface RolePools {
  readonly mixed: readonly EngineFacts[];
  readonly decode: readonly EngineFacts[];
  readonly prefill: readonly EngineFacts[];
}

/** Available engines of one model by role. */
export interface ModelEngines extends RolePools {
  /** Engines that all nodes prefer for short answers. */
  readonly forShort: ReadonlySet<string>;
  /** Those among them that this node prefers, with the number of nodes that do. */
  readonly home: ReadonlyMap<string, number>;
  readonly homeList: readonly EngineFacts[];
}

/** Options of {@link CandidatePools}. */
export interface CandidateOptions {
  readonly directory: EngineDirectory;
  readonly random: Random;
  readonly node: string;
  readonly nodes: () => readonly string[];
}

/** Pool that is looked at as a whole; own work differs between nodes, so they do not all choose the same engine. */
const SMALL_POOL = 12;

/** Engines to choose from, kept until the directory or the nodes change. */
export class CandidatePools {
  private readonly models = new Map<string, RolePools>();

  private readonly divided = new Map<string, { readonly count: number; readonly engines: ModelEngines }>();

  private nodes: readonly string[] = [];

  public constructor(private readonly options: CandidateOptions) {
    options.directory.onChange(() => this.models.clear());
  }

  /** Available engines of a model; `shortEngines` gives how many of a number take short answers. */
  public of(model: string, shortEngines: (total: number) => number): ModelEngines {
    const nodes = this.options.nodes();
    if (nodes !== this.nodes) {
      this.nodes = nodes;
      this.models.clear();
    }
    let roles = this.models.get(model);
    if (roles === undefined) {
      const serving = sharedOrder(this.options.directory.serving(model));
      const ofRole = (role: Role): EngineFacts[] => serving.filter((engine) => engine.role === role);
      roles = { mixed: ofRole(Role.Mixed), decode: ofRole(Role.Decode), prefill: ofRole(Role.Prefill) };
      this.models.set(model, roles);
      this.divided.delete(model);
    }
    const count = shortEngines(roles.mixed.length + roles.decode.length + roles.prefill.length);
    const known = this.divided.get(model);
    if (known !== undefined && known.count === count) return known.engines;
    const names = (pool: readonly EngineFacts[]): string[] => pool.map((engine) => engine.name);
    const mixedForShort = Math.max(0, count - roles.prefill.length);
    const forShort = names([...roles.prefill, ...roles.mixed.slice(0, mixedForShort)]);
    const home = homeEngines(this.options.node, nodes, forShort);
    const homeList = [...home.keys()].map((name) => this.options.directory.get(name)!);
    const engines = {
      ...roles, forShort: new Set(forShort), home, homeList,
    };
    this.divided.set(model, { count, engines });
    return engines;
  }

  /** Home engines, owners and `count` random engines of a pool; the whole pool if it is small. */
  public sample(
    pool: readonly EngineFacts[],
    engines: ModelEngines,
    owners: readonly string[],
    count: number,
  ): readonly EngineFacts[] {
    if (pool.length <= Math.max(count, SMALL_POOL)) return pool;
    const chosen = new Set<EngineFacts>();
    const add = (facts: EngineFacts | undefined): void => {
      if (facts !== undefined && facts.role === pool[0]!.role && facts.available) chosen.add(facts);
    };
    for (const owner of owners) add(this.options.directory.get(owner));
    // The cost of a choice must not grow with the fleet, so a large home is sampled as well.
    if (engines.homeList.length <= count) engines.homeList.forEach(add);
    else for (let draw = 0; draw < count; draw += 1) add(this.pick(engines.homeList));
    const size = Math.min(pool.length, chosen.size + count);
    while (chosen.size < size) chosen.add(this.pick(pool));
    return [...chosen];
  }

  private pick(pool: readonly EngineFacts[]): EngineFacts {
    return pool[Math.floor(this.options.random.float() * pool.length)]!;
  }
}
