/* eslint-disable no-bitwise -- hash functions need bitwise operators */
/** FNV-1a hash of a name's UTF-16 code units: 32 bits, the same on every node. */
export function hashName(name: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < name.length; index += 1) {
    hash = Math.imul(hash ^ name.charCodeAt(index), 0x01000193);
  }
  return hash >>> 0;
}

/** Combines the hashes of a node and a key into the rendezvous weight of the pair: 32 bits. */
export function mixHashes(left: number, right: number): number {
  let hash = Math.imul(left ^ Math.imul(right, 0x9e3779b1), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 15), 0xc2b2ae35);
  hash = Math.imul(hash ^ (hash >>> 13), 0x27d4eb2f);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** Rendezvous weight of a pair of names: 32 bits, the same on every node. */
export function rendezvousWeight(node: string, engine: string): number {
  return mixHashes(hashName(node), hashName(engine));
}

/**
 * Selects the `count` names with the lowest rendezvous weights for `key`. Adding or removing one name changes at most
 * one of the selected names.
 */
export function lowestByRendezvous(names: readonly string[], key: string, count: number): string[] {
  return names
    .map((name) => ({ name, weight: rendezvousWeight(name, key) }))
    .sort((a, b) => a.weight - b.weight || (a.name < b.name ? -1 : 1))
    .slice(0, count)
    .map(({ name }) => name);
}
