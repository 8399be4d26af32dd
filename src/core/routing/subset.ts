import { hashName, mixHashes } from '../rendezvous.js';

/** Engine as the subset selection sees it. */
export interface SubsetEngine {
  readonly name: string;
  readonly failureDomain: string;
  readonly models: readonly string[];
}

/** Options of {@link selectSubset}. */
export interface SubsetOptions {
  /** Nodes that follow each engine. */
  readonly nodesPerEngine: number;
  /** Fewest engines of each model that a node follows, as far as the fleet has them. */
  readonly enginesPerModel: number;
}

/** With 10,000 engines and 1,800 nodes a node follows about 40, whose reports fit into 4 KB/s. */
export const DEFAULT_SUBSET_OPTIONS: SubsetOptions = { nodesPerEngine: 5, enginesPerModel: 3 };

const nodeHashes = new WeakMap<readonly string[], readonly number[]>();

/** Hashes of all names of a list that does not change. */
function hashesOf(nodes: readonly string[]): readonly number[] {
  let hashes = nodeHashes.get(nodes);
  if (hashes === undefined) {
    hashes = nodes.map(hashName);
    nodeHashes.set(nodes, hashes);
  }
  return hashes;
}

function isAmongFirst(self: number, nodes: readonly number[], engine: number, count: number): boolean {
  const own = mixHashes(self, engine);
  let ahead = 0;
  // Most engines are decided after a few nodes, so a change of one member does not cost engines times nodes.
  for (const node of nodes) {
    if (mixHashes(node, engine) > own) {
      ahead += 1;
      if (ahead >= count) return false;
    }
  }
  return true;
}

/**
 * Engines that a node follows. Every engine is followed by `nodesPerEngine` nodes (all nodes when there are fewer),
 * and each node covers every model and every failure domain.
 */
export function selectSubset(
  node: string,
  nodes: readonly string[],
  engines: readonly SubsetEngine[],
  opts: SubsetOptions = DEFAULT_SUBSET_OPTIONS,
): string[] {
  const self = hashName(node);
  const others = hashesOf(nodes);
  const chosen = new Set<SubsetEngine>();
  const byWeight = engines
    .map((engine) => ({ engine, hash: hashName(engine.name) }))
    .sort((a, b) => mixHashes(self, b.hash) - mixHashes(self, a.hash));
  for (const { engine, hash } of byWeight) {
    if (isAmongFirst(self, others, hash, opts.nodesPerEngine)) chosen.add(engine);
  }
  const perModel = new Map<string, number>();
  const domains = new Set<string>();
  const count = (engine: SubsetEngine): void => {
    domains.add(engine.failureDomain);
    for (const model of engine.models) perModel.set(model, (perModel.get(model) ?? 0) + 1);
  };
  for (const engine of chosen) count(engine);
  for (const { engine } of byWeight) {
    if (chosen.has(engine)) continue;
    const lacking = engine.models.some((model) => (perModel.get(model) ?? 0) < opts.enginesPerModel);
    if (!lacking && domains.has(engine.failureDomain)) continue;
    chosen.add(engine);
    count(engine);
  }
  return [...chosen].map((engine) => engine.name);
}

/** Most pairs for which homes are balanced; beyond it each engine goes to the node of the highest weight. */
const MAX_BALANCED_PAIRS = 1_024;

function spread(buckets: readonly string[], items: readonly string[]): Map<string, string> {
  const pairs = buckets.flatMap((bucket) => items.map((item) => ({
    bucket, item, weight: mixHashes(hashName(bucket), hashName(item)),
  }))).sort((a, b) => b.weight - a.weight || (a.bucket < b.bucket ? -1 : 1));
  const result = new Map<string, string>();
  const sizes = new Map<string, number>();
  // Every bucket is filled to the even share first; the rest goes one to a bucket.
  for (const size of [Math.floor(items.length / buckets.length), Math.ceil(items.length / buckets.length)]) {
    for (const { bucket, item } of pairs) {
      if (result.has(item) || (sizes.get(bucket) ?? 0) >= size) continue;
      result.set(item, bucket);
      sizes.set(bucket, (sizes.get(bucket) ?? 0) + 1);
    }
  }
  return result;
}

/**
 * Engines that a node prefers for work that suffers when two nodes send it to one engine at the same time, each with
 * the number of nodes that prefer it. Every node has the same number of engines to itself; the rest is shared evenly.
 */
export function homeEngines(node: string, nodes: readonly string[], engines: readonly string[]): Map<string, number> {
  const homes = new Map<string, number>();
  if (engines.length === 0 || !nodes.includes(node)) return homes;
  if (engines.length * nodes.length > MAX_BALANCED_PAIRS) {
    const self = hashName(node);
    const others = hashesOf(nodes);
    for (const engine of engines) {
      if (isAmongFirst(self, others, hashName(engine), 1)) homes.set(engine, 1);
    }
    return homes;
  }
  const own = Math.floor(engines.length / nodes.length) * nodes.length;
  const shared = engines.slice(own);
  if (own > 0) {
    for (const [engine, owner] of spread(nodes, engines.slice(0, own))) if (owner === node) homes.set(engine, 1);
  }
  if (shared.length > 0) {
    const assigned = spread(shared, nodes);
    const engine = assigned.get(node)!;
    homes.set(engine, [...assigned.values()].filter((name) => name === engine).length);
  }
  return homes;
}
