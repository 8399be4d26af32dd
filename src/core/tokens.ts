const CHARACTERS_PER_TOKEN = 4;

/** Estimates the number of tokens in a text. Engines report the exact number when a stream ends. */
export function estimateTokens(text: string): number {
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN);
}
