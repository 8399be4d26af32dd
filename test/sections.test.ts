import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { diffSections, joinSections } from '../src/core/configuration/sections.js';

const section = fc.tuple(fc.constantFrom('a', 'b', 'c'), fc.string()).map(([name, text]) => `[${name}]\n${text}\n`);

describe('sections', () => {
  it('rebuild any file from its difference from any base', () => {
    const file = fc.array(section).map((sections) => sections.join(''));
    const rebuilds = (base: string, next: string) => joinSections(base, diffSections(base, next)) === next;
    fc.assert(fc.property(file, file, rebuilds), { seed: 5 });
  });

  // Guards against a file rebuilt from another base than the one that the peer compared with.
  it('are rejected when the base has no section of an index', () => {
    expect(joinSections('[a]\n', [0, 7])).toBeNull();
  });
});
