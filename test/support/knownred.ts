import { readFileSync } from 'node:fs';

/** Names of the tests that KNOWN-RED.txt lists on lines `test: NAME`. */
export function knownRedTests(path: string): readonly string[] {
  return readFileSync(path, 'utf8').split('\n')
    .flatMap((line) => /^\s*test: (.+)$/.exec(line)?.[1]?.trim() ?? []);
}

/** Pattern that matches every test name but those given, or `undefined` where there are none. */
export function allBut(names: readonly string[]): RegExp | undefined {
  if (names.length === 0) return undefined;
  const escaped = names.map((name) => name.replace(/[.*+?^${}()|[\]\\]/g, '\\$&'));
  return new RegExp(`^(?!.*(?:${escaped.join('|')})$).*$`);
}
