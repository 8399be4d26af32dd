/** Parses JSON from outside; `undefined` where it is not JSON, which every schema of an object refuses. */
export function safeParseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
