import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { describe, expect, it } from 'vitest';
import { allBut, knownRedTests } from './support/knownred.js';

describe('KNOWN-RED.txt', () => {
  // Guards against an entry whose test no longer exists, and against a pattern that skips more tests than are listed.
  it('lists only tests that exist', () => {
    const names = knownRedTests(join(import.meta.dirname, '../KNOWN-RED.txt'));
    const sources = readdirSync(import.meta.dirname).filter((file) => file.endsWith('.test.ts'))
      .map((file) => readFileSync(join(import.meta.dirname, file), 'utf8')).join('\n');
    expect(names.filter((name) => !sources.includes(`it('${name}'`))).toEqual([]);
  });

  it('skips exactly the tests that it lists', () => {
    const pattern = allBut(['breaks (always)']);
    expect(['works', 'group > breaks (always)', 'group > breaks (always) later'].map((name) => pattern?.test(name)))
      .toEqual([true, false, true]);
    expect(allBut([])).toBeUndefined();
  });
});
