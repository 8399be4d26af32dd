import { hashName, mixHashes } from '../../core/rendezvous.js';

/** Part of a prompt with all parts before it. */
export interface ChainedPart {
  /** Hash of the part and of those before it, since an engine uses a part only after the same ones. */
  readonly chain: number;
  readonly tokens: number;
}

/** Largest number of parts of a prompt that are told apart; those that follow count as one. */
export const MAX_CHAINED_PARTS = 16;

/** Chains the parts of a prompt in order. */
export function chainParts(
  parts: readonly { readonly id: string; readonly tokens: number }[],
): readonly ChainedPart[] {
  let chain = 0;
  const chained: { chain: number; tokens: number }[] = [];
  for (const { id, tokens } of parts) {
    chain = mixHashes(chain, hashName(id));
    const last = chained.at(-1);
    if (chained.length < MAX_CHAINED_PARTS || last === undefined) chained.push({ chain, tokens });
    else Object.assign(last, { chain, tokens: last.tokens + tokens });
  }
  return chained;
}

/** Largest number of parts that are remembered for one engine. */
const MAX_PARTS = 4_096;

/** Parts of prompts that an engine holds by what it was sent; the least recently used yield, as at the engine. */
export class HeldParts {
  private readonly tokensByChain = new Map<number, number>();

  private total = 0;

  public constructor(private readonly capacityTokens: number) {}

  /** Tokens of a prompt from its first part on that is not held. */
  public missing(parts: readonly ChainedPart[]): number {
    const first = parts.findIndex(({ chain }) => !this.tokensByChain.has(chain));
    return first === -1 ? 0 : parts.slice(first).reduce((sum, { tokens }) => sum + tokens, 0);
  }

  /** Records a prompt that the engine reads. */
  public add(parts: readonly ChainedPart[]): void {
    for (const { chain, tokens } of parts) {
      this.total += tokens - (this.tokensByChain.get(chain) ?? 0);
      this.tokensByChain.delete(chain);
      this.tokensByChain.set(chain, tokens);
    }
    for (const [chain, tokens] of this.tokensByChain) {
      if (this.total <= this.capacityTokens && this.tokensByChain.size <= MAX_PARTS) break;
      this.tokensByChain.delete(chain);
      this.total -= tokens;
    }
  }
}
