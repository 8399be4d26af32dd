import { createHash } from 'node:crypto';
import type { CacheEvent } from '../interfaces/index.js';

/** Number of prompt tokens in one prefix block. */
export const PREFIX_BLOCK_TOKENS = 256;

const CHARACTERS_PER_BLOCK = PREFIX_BLOCK_TOKENS * 4;

/**
 * Hashes of the full prefix blocks of a prompt. Each hash covers all blocks up to its own, so that equal hashes mean
 * equal prefixes.
 */
export function prefixBlocks(prompt: string): string[] {
  const blocks: string[] = [];
  let previous = '';
  for (let start = 0; start + CHARACTERS_PER_BLOCK <= prompt.length; start += CHARACTERS_PER_BLOCK) {
    const hash = createHash('sha256').update(previous).update(prompt.slice(start, start + CHARACTERS_PER_BLOCK));
    previous = hash.digest('base64url').slice(0, 16);
    blocks.push(previous);
  }
  return blocks;
}

/** Options of {@link PrefixIndex}. */
export interface PrefixIndexOptions {
  /** Largest number of pairs of block and engine; the least recently used ones are removed first. */
  readonly maxEntries: number;
}

/** Default options: 60,000 pairs of about 100 bytes each. */
export const DEFAULT_PREFIX_INDEX_OPTIONS: PrefixIndexOptions = { maxEntries: 60_000 };

/** Probability that an engine caches the blocks of a request that this node placed, until an event confirms it. */
const PLACEMENT_CERTAINTY = 0.95;

/** Expected share of evictions among lost events, for a cache that is full. */
const LOST_EVICTION_SHARE = 0.5;

/** Smallest number of entries among which the evictions of a gap are assumed to be. */
const MIN_GAP_SPREAD = 64;

/** Probability below which an entry is ignored. */
const MIN_CERTAINTY = 0.2;

interface PrefixEntry {
  /** Probability that the block was cached when the entry was last confirmed. */
  readonly certainty: number;
  /** The engine's `expectedLoss` when the entry was last confirmed. */
  readonly lossAtConfirmation: number;
}

interface EnginePrefixes {
  lastSequence: number;
  /** Accumulated share of entries that are expected to be evicted without an event that was received. */
  expectedLoss: number;
  /** Number of entries of this engine. */
  entries: number;
}

/**
 * Estimates which prefix blocks each engine caches, from the engines' cache events, which arrive late and with gaps,
 * and from the requests that this node has placed.
 */
export class PrefixIndex {
  private readonly blocks = new Map<string, Map<string, PrefixEntry>>();

  private readonly engines = new Map<string, EnginePrefixes>();

  private entries = 0;

  public constructor(private readonly options: PrefixIndexOptions = DEFAULT_PREFIX_INDEX_OPTIONS) {}

  /** Number of pairs of block and engine in the index. */
  public get size(): number {
    return this.entries;
  }

  /** Sequence number of the last event that was applied for an engine; 0 if there was none. */
  public lastSequence(engine: string): number {
    return this.engines.get(engine)?.lastSequence ?? 0;
  }

  /** Applies events of one engine in order; a gap in their numbers lowers the probability of its older entries. */
  public apply(engine: string, events: readonly CacheEvent[]): void {
    const state = this.engineState(engine);
    for (const { sequence, type, block } of events) {
      if (sequence <= state.lastSequence) continue;
      const missed = sequence - state.lastSequence - 1;
      if (missed > 0) state.expectedLoss += (missed * LOST_EVICTION_SHARE) / Math.max(MIN_GAP_SPREAD, state.entries);
      state.lastSequence = sequence;
      if (type === 'stored') this.setEntry(engine, block, 1);
      else this.deleteEntry(engine, block);
    }
  }

  /** Records that this node placed a request with these blocks at an engine, which will cache them. */
  public recordPlacement(engine: string, blocks: readonly string[]): void {
    for (const block of blocks) this.setEntry(engine, block, PLACEMENT_CERTAINTY);
  }

  /** Removes all entries of an engine, after it has restarted or changed role. */
  public remove(engine: string): void {
    for (const block of [...this.blocks.keys()]) this.deleteEntry(engine, block);
    this.engines.delete(engine);
  }

  /**
   * Expected number of the prompt's tokens in the engine's cache. A known block stands for all blocks before it too,
   * because its hash covers them.
   */
  public match(engine: string, blocks: readonly string[]): number {
    const state = this.engines.get(engine);
    if (state === undefined) return 0;
    for (let index = blocks.length - 1; index >= 0; index -= 1) {
      const entry = this.blocks.get(blocks[index]!)?.get(engine);
      if (entry === undefined) continue;
      const certainty = entry.certainty * Math.exp(entry.lossAtConfirmation - state.expectedLoss);
      if (certainty >= MIN_CERTAINTY) return (index + 1) * PREFIX_BLOCK_TOKENS * certainty;
    }
    return 0;
  }

  /** Engines that probably cache the longest prefix; the most recently used ones, at most `limit`. */
  public owners(blocks: readonly string[], limit = 2): string[] {
    for (let index = blocks.length - 1; index >= 0; index -= 1) {
      const holders = this.blocks.get(blocks[index]!);
      if (holders !== undefined && holders.size > 0) return [...holders.keys()].slice(-limit);
    }
    return [];
  }

  private engineState(name: string): EnginePrefixes {
    let state = this.engines.get(name);
    if (state === undefined) {
      state = { lastSequence: 0, expectedLoss: 0, entries: 0 };
      this.engines.set(name, state);
    }
    return state;
  }

  private setEntry(engine: string, block: string, certainty: number): void {
    const state = this.engineState(engine);
    const holders = this.blocks.get(block) ?? new Map<string, PrefixEntry>();
    // Both maps are kept in order of use, so that the least recently used entries come first.
    this.blocks.delete(block);
    this.blocks.set(block, holders);
    if (!holders.delete(engine)) {
      this.entries += 1;
      state.entries += 1;
    }
    holders.set(engine, { certainty, lossAtConfirmation: state.expectedLoss });
    while (this.entries > this.options.maxEntries) this.dropOldest();
  }

  private dropOldest(): void {
    const [block, holders] = this.blocks.entries().next().value!;
    const [engine] = holders.keys();
    this.deleteEntry(engine!, block);
  }

  private deleteEntry(engine: string, block: string): void {
    const holders = this.blocks.get(block);
    if (holders === undefined || !holders.delete(engine)) return;
    this.entries -= 1;
    const state = this.engines.get(engine);
    if (state !== undefined) state.entries -= 1;
    if (holders.size === 0) this.blocks.delete(block);
  }
}
