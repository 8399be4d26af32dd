import { rendezvousWeight } from './subset.js';

/** The `count` names that rank lowest for `key`; a name that joins or leaves changes at most one of them. */
export function lowestByRendezvous(names: readonly string[], key: string, count: number): string[] {
  return names
    .map((name) => ({ name, weight: rendezvousWeight(name, key) }))
    .sort((a, b) => a.weight - b.weight || (a.name < b.name ? -1 : 1))
    .slice(0, count)
    .map(({ name }) => name);
}
