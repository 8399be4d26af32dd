import { createHash } from 'node:crypto';

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
