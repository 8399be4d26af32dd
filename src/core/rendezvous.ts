import { createHash } from 'node:crypto';

/** The `count` names with the lowest rendezvous hash for `key`; a name that joins or leaves moves at most one place. */
export function lowestByRendezvous(names: readonly string[], key: string, count: number): string[] {
  return names
    .map((name) => ({ name, hash: createHash('sha256').update(`${key}\n${name}`).digest('hex') }))
    .sort((a, b) => (a.hash < b.hash ? -1 : 1))
    .slice(0, count)
    .map(({ name }) => name);
}
