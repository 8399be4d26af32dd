import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { CacheEvent } from '../src/core/interfaces/index.js';
import { PREFIX_BLOCK_TOKENS, PrefixIndex } from '../src/core/routing/prefixes.js';

const BLOCKS = ['a', 'b', 'c', 'd'];

function stored(sequence: number, block: string): CacheEvent {
  return { sequence, type: 'stored', block };
}

describe('PrefixIndex', () => {
  // Guards against a lost event for a block in the middle of a prompt that hides the longer match after it.
  it('finds the longest match even if an event in between was lost', () => {
    const index = new PrefixIndex();
    index.apply('e', [stored(1, 'a'), stored(3, 'c')]);
    expect(index.match('e', BLOCKS)).toBe(3 * PREFIX_BLOCK_TOKENS);
    expect(index.owners(BLOCKS)).toEqual(['e']);
  });

  // The lost events may have been evictions of the older entries.
  it('lowers the probability of older entries after a gap in the events', () => {
    const index = new PrefixIndex();
    index.apply('e', [stored(1, 'a')]);
    const before = index.match('e', ['a']);
    index.apply('e', [stored(40, 'z')]);
    expect(index.match('e', ['a'])).toBeLessThan(before);
    expect(index.match('e', ['z'])).toBe(PREFIX_BLOCK_TOKENS);
  });

  // Events arrive late; without this, repeated prompts would not go to the same engine until then.
  it('assumes that the blocks of a placed request are cached until an eviction is reported', () => {
    const index = new PrefixIndex();
    index.recordPlacement('e', ['a', 'b']);
    expect(index.match('e', BLOCKS)).toBeGreaterThan(PREFIX_BLOCK_TOKENS);
    index.apply('e', [{ sequence: 1, type: 'evicted', block: 'a' }, { sequence: 2, type: 'evicted', block: 'b' }]);
    expect(index.match('e', BLOCKS)).toBe(0);
  });

  it('removes all entries of an engine that restarted', () => {
    const index = new PrefixIndex();
    index.recordPlacement('e', BLOCKS);
    index.remove('e');
    expect([index.match('e', BLOCKS), index.size]).toEqual([0, 0]);
  });

  // Guards against unbounded growth from engines that never report evictions.
  it('never keeps more than `maxEntries` entries', () => {
    const placements = fc.array(fc.tuple(fc.integer({ min: 0, max: 5 }), fc.string()), { maxLength: 200 });
    fc.assert(fc.property(placements, (puts) => {
      const index = new PrefixIndex({ maxEntries: 20 });
      for (const [engine, block] of puts) index.recordPlacement(`e${engine}`, [block]);
      expect(index.size).toBeLessThanOrEqual(20);
    }), { seed: 1 });
  });
});
