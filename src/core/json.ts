/** Parses untrusted JSON. Returns `undefined` for invalid JSON, which every object schema rejects. */
export function safeParseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
