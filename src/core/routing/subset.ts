import { hashName, mixHashes } from '../rendezvous.js';

/** Engine properties that the subset selection uses. */
export interface SubsetEngine {
  readonly name: string;
  readonly failureDomain: string;
  readonly models: readonly string[];
}

/** Options of {@link selectSubset}. */
export interface SubsetOptions {
  /** Number of nodes that use each engine and receive its load reports. */
  readonly nodesPerEngine: number;
  /** Smallest number of engines of each model that a node uses, if the fleet has that many. */
  readonly enginesPerModel: number;
}

/** Defaults: with 10,000 engines and 1,800 nodes, a node uses about 40 engines, whose reports fit into 4 KB/s. */
export const DEFAULT_SUBSET_OPTIONS: SubsetOptions = { nodesPerEngine: 5, enginesPerModel: 3 };

const nodeHashes = new WeakMap<readonly string[], readonly number[]>();

/** Hashes of all names of a list, cached by the list, which must not change. */
function hashesOf(nodes: readonly string[]): readonly number[] {
  let hashes = nodeHashes.get(nodes);
  if (hashes === undefined) {
    hashes = nodes.map(hashName);
    nodeHashes.set(nodes, hashes);
  }
  return hashes;
}

/** Whether a node is among the `count` nodes with the highest rendezvous weight for an engine; all given as hashes. */
function ranksAmongFirst(self: number, nodes: readonly number[], engine: number, count: number): boolean {
  const own = mixHashes(self, engine);
  let higherRanked = 0;
  // For most engines the loop ends after a few nodes, so a selection takes much less time than engines times nodes.
  for (const node of nodes) {
    if (mixHashes(node, engine) > own) {
      higherRanked += 1;
      if (higherRanked >= count) return false;
    }
  }
  return true;
}

/**
 * Names of the engines that a node uses. Every engine is used by at least `nodesPerEngine` nodes (by all nodes if there
 * are fewer), and each node has engines of every model and in every failure domain.
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
    if (ranksAmongFirst(self, others, hash, opts.nodesPerEngine)) chosen.add(engine);
  }
  const perModel = new Map<string, number>();
  const domains = new Set<string>();
  const addToCoverage = (engine: SubsetEngine): void => {
    domains.add(engine.failureDomain);
    for (const model of engine.models) perModel.set(model, (perModel.get(model) ?? 0) + 1);
  };
  for (const engine of chosen) addToCoverage(engine);
  for (const { engine } of byWeight) {
    if (chosen.has(engine)) continue;
    const lacksEngines = engine.models.some((model) => (perModel.get(model) ?? 0) < opts.enginesPerModel);
    if (!lacksEngines && domains.has(engine.failureDomain)) continue;
    chosen.add(engine);
    addToCoverage(engine);
  }
  return [...chosen].map((engine) => engine.name);
}

/**
 * Largest number of pairs of node and engine for which preferred engines are assigned evenly. Above it, each engine is
 * assigned to the node with the highest rendezvous weight.
 */
const MAX_BALANCED_PAIRS = 1_024;

/** Assigns each item to a bucket, by rendezvous weight, so that the buckets' sizes differ by at most one. */
function distribute(buckets: readonly string[], items: readonly string[]): Map<string, string> {
  const pairs = buckets.flatMap((bucket) => items.map((item) => ({
    bucket, item, weight: mixHashes(hashName(bucket), hashName(item)),
  }))).sort((a, b) => b.weight - a.weight || (a.bucket < b.bucket ? -1 : 1));
  const result = new Map<string, string>();
  const sizes = new Map<string, number>();
  // Every bucket is filled to the even share first. Of the items left, each bucket gets at most one.
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
 * Divides engines among the nodes, so that as few nodes as possible send mutually slowing requests to the same engine.
 * Returns the engines of `node`, each with the number of nodes that prefer it. Every node has the same number of
 * engines to itself; the engines left are shared evenly.
 */
export function enginesPreferredByNode(
  node: string,
  nodes: readonly string[],
  engines: readonly string[],
): Map<string, number> {
  const counts = new Map<string, number>();
  if (engines.length === 0 || !nodes.includes(node)) return counts;
  if (engines.length * nodes.length > MAX_BALANCED_PAIRS) {
    const self = hashName(node);
    const others = hashesOf(nodes);
    for (const engine of engines) {
      if (ranksAmongFirst(self, others, hashName(engine), 1)) counts.set(engine, 1);
    }
    return counts;
  }
  // The first `own` engines are preferred by one node each; all nodes share the rest.
  const own = Math.floor(engines.length / nodes.length) * nodes.length;
  const shared = engines.slice(own);
  if (own > 0) {
    for (const [engine, owner] of distribute(nodes, engines.slice(0, own))) if (owner === node) counts.set(engine, 1);
  }
  if (shared.length > 0) {
    const assigned = distribute(shared, nodes);
    const engine = assigned.get(node)!;
    counts.set(engine, [...assigned.values()].filter((name) => name === engine).length);
  }
  return counts;
}
