/** Patterns for values that differ between runs, with their replacements in golden files. */
const MASKS: readonly (readonly [RegExp, string])[] = [
  [/127\.0\.0\.1:\d+/g, '<address>'],
  [/^id: .+\.(\d+)$/gm, 'id: <ticket>.$1'],
  [/"(id|requestId|attemptId|newAttemptId|orderId|incarnation|hash|attempt|nonce)": ?"[^"]+"/g, '"$1": "<$1>"'],
  [/^(x-request-id|date|x-attempt-id): .+$/gm, '$1: <$1>'],
  [/"(created|term|version|retry_after_ms)": ?\d+/g, '"$1": <$1>'],
  [/"([a-zA-Z_]*(_ms|Ms))": ?[-\d.]+/g, '"$1": <ms>'],
  [/^retry-after: \d+$/gm, 'retry-after: <retry-after>'],
];

/** Response headers that are part of the API for callers; the others belong to the transport and are left out. */
const HEADERS = ['content-type', 'x-request-id', 'x-repeated', 'retry-after', 'cache-control', 'connection'];

/** HTTP request of a session. */
export interface SessionRequest {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
}

/** Requests, responses and notes of a session, in order. */
export class Transcript {
  private readonly parts: string[] = [];

  /** Adds a comment line. */
  public note(text: string): void {
    this.parts.push(`# ${text}`);
  }

  /** Adds a titled value as JSON. */
  public add(title: string, value: unknown): void {
    this.parts.push(`${title}\n${JSON.stringify(value, null, 2)}`);
  }

  /** Sends a request, and adds it and its response to the transcript. */
  public async exchange(address: string, sent: SessionRequest): Promise<{ status: number; text: string }> {
    const res = await fetch(`http://${address}${sent.path}`, {
      method: sent.method,
      headers: { ...(sent.body === undefined ? {} : { 'content-type': 'application/json' }), ...sent.headers },
      ...(sent.body === undefined ? {} : { body: sent.body }),
    });
    const text = await res.text();
    this.write(sent, res, text);
    return { status: res.status, text };
  }

  /** Adds a request, without the header `authorization`, and its response. */
  public write(sent: SessionRequest, res: Response, text: string): void {
    const shown = Object.entries(sent.headers ?? {}).filter(([name]) => name !== 'authorization');
    this.parts.push([
      `> ${sent.method} ${sent.path}`,
      ...shown.map(([name, value]) => (name === 'last-event-id' ? `> ${name}: <event id>` : `> ${name}: ${value}`)),
      ...(sent.body === undefined ? [] : [`> ${sent.body}`]),
      `< ${res.status}`,
      ...HEADERS.filter((name) => res.headers.has(name)).map((name) => `${name}: ${res.headers.get(name)}`),
      text.trimEnd(),
    ].join('\n'));
  }

  /** Returns the text of the golden file, with changing values masked. */
  public render(): string {
    const text = `${this.parts.join('\n\n')}\n`;
    return MASKS.reduce((masked, [pattern, mask]) => masked.replace(pattern, mask), text);
  }
}
