import { readFileSync } from 'node:fs';

/** Returns the names of the known failing tests, which KNOWN-RED.txt lists on lines `test: NAME`. */
export function knownRedTests(path: string): readonly string[] {
  return readFileSync(path, 'utf8').split('\n')
    .flatMap((line) => /^\s*test: (.+)$/.exec(line)?.[1]?.trim() ?? []);
}

/** Returns a pattern for all test names except those that end with one of `names`; `undefined` if `names` is empty. */
export function allBut(names: readonly string[]): RegExp | undefined {
  if (names.length === 0) return undefined;
  const escaped = names.map((name) => name.replace(/[.*+?^${}()|[\]\\]/g, '\\$&'));
  return new RegExp(`^(?!.*(?:${escaped.join('|')})$).*$`);
}
