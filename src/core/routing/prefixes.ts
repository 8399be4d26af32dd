import { createHash } from 'node:crypto';
import type { CacheEvent } from '../edges/index.js';

/** Tokens covered by one prefix block. */
export const PREFIX_BLOCK_TOKENS = 256;

const CHARACTERS_PER_BLOCK = PREFIX_BLOCK_TOKENS * 4;

/** Chained hashes of the full blocks of a prompt; equal hashes mean equal prefixes. */
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
  /** Most pairs of block and engine that are kept; the longest unused ones go first. */
  readonly maxEntries: number;
}

/** About 100 bytes for each of 60,000 pairs. */
export const DEFAULT_PREFIX_INDEX_OPTIONS: PrefixIndexOptions = { maxEntries: 60_000 };

/** Chance that a block of an own placement is in the cache before an event confirms it. */
const PLACED_CERTAINTY = 0.95;

/** Share of lost events that are evictions, once a cache is full. */
const LOST_EVICTIONS = 0.5;

/** Least number of blocks over which the evictions in a gap are spread. */
const MIN_GAP_BASE = 64;

/** Certainty below which an entry no longer counts. */
const MIN_CERTAINTY = 0.2;

interface PrefixEntry {
  readonly certainty: number;
  /** The engine's accumulated loss when the entry was last confirmed. */
  readonly lossAt: number;
}

interface EnginePrefixes {
  lastSequence: number;
  /** Expected share of entries lost to evictions that no event showed. */
  loss: number;
  entries: number;
}

/** What the engines' prefix caches probably hold, from late events with gaps and from own placements. */
export class PrefixIndex {
  private readonly blocks = new Map<string, Map<string, PrefixEntry>>();

  private readonly engines = new Map<string, EnginePrefixes>();

  private entries = 0;

  public constructor(private readonly options: PrefixIndexOptions = DEFAULT_PREFIX_INDEX_OPTIONS) {}

  /** Number of pairs of block and engine. */
  public get size(): number {
    return this.entries;
  }

  /** Sequence number of the last event taken from an engine. */
  public lastSequence(engine: string): number {
    return this.engines.get(engine)?.lastSequence ?? 0;
  }

  /** Takes the events of one engine in order; a gap in their numbers makes its older entries less certain. */
  public apply(engine: string, events: readonly CacheEvent[]): void {
    const state = this.engine(engine);
    for (const { sequence, type, block } of events) {
      if (sequence <= state.lastSequence) continue;
      const missed = sequence - state.lastSequence - 1;
      if (missed > 0) state.loss += (missed * LOST_EVICTIONS) / Math.max(MIN_GAP_BASE, state.entries);
      state.lastSequence = sequence;
      if (type === 'stored') this.set(engine, block, 1);
      else this.delete(engine, block);
    }
  }

  /** Takes an own placement as evidence that the blocks will be cached there. */
  public placed(engine: string, blocks: readonly string[]): void {
    for (const block of blocks) this.set(engine, block, PLACED_CERTAINTY);
  }

  /** Forgets an engine, after it restarted or changed role. */
  public remove(engine: string): void {
    for (const block of [...this.blocks.keys()]) this.delete(engine, block);
    this.engines.delete(engine);
  }

  /** Expected tokens of the prompt in the engine's cache. The hash of a block covers those before it. */
  public match(engine: string, blocks: readonly string[]): number {
    const state = this.engines.get(engine);
    if (state === undefined) return 0;
    for (let index = blocks.length - 1; index >= 0; index -= 1) {
      const entry = this.blocks.get(blocks[index]!)?.get(engine);
      if (entry === undefined) continue;
      const certainty = entry.certainty * Math.exp(entry.lossAt - state.loss);
      if (certainty >= MIN_CERTAINTY) return (index + 1) * PREFIX_BLOCK_TOKENS * certainty;
    }
    return 0;
  }

  /** Engines with the longest match, at most `limit`. */
  public owners(blocks: readonly string[], limit = 2): string[] {
    for (let index = blocks.length - 1; index >= 0; index -= 1) {
      const holders = this.blocks.get(blocks[index]!);
      if (holders !== undefined && holders.size > 0) return [...holders.keys()].slice(-limit);
    }
    return [];
  }

  private engine(name: string): EnginePrefixes {
    let state = this.engines.get(name);
    if (state === undefined) {
      state = { lastSequence: 0, loss: 0, entries: 0 };
      this.engines.set(name, state);
    }
    return state;
  }

  private set(engine: string, block: string, certainty: number): void {
    const state = this.engine(engine);
    const holders = this.blocks.get(block) ?? new Map<string, PrefixEntry>();
    // Both maps are in order of use, so that the longest unused entries come first.
    this.blocks.delete(block);
    this.blocks.set(block, holders);
    if (!holders.delete(engine)) {
      this.entries += 1;
      state.entries += 1;
    }
    holders.set(engine, { certainty, lossAt: state.loss });
    while (this.entries > this.options.maxEntries) this.dropOldest();
  }

  private dropOldest(): void {
    const [block, holders] = this.blocks.entries().next().value!;
    const [engine] = holders.keys();
    this.delete(engine!, block);
  }

  private delete(engine: string, block: string): void {
    const holders = this.blocks.get(block);
    if (holders === undefined || !holders.delete(engine)) return;
    this.entries -= 1;
    const state = this.engines.get(engine);
    if (state !== undefined) state.entries -= 1;
    if (holders.size === 0) this.blocks.delete(block);
  }
}
