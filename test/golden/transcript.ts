/** Fields that differ from run to run, with what stands for them in a golden file. */
const MASKS: readonly (readonly [RegExp, string])[] = [
  [/127\.0\.0\.1:\d+/g, '<address>'],
  [/^id: .+\.(\d+)$/gm, 'id: <ticket>.$1'],
  [/"(id|requestId|attemptId|newAttemptId|orderId|incarnation|hash|attempt|nonce)": ?"[^"]+"/g, '"$1": "<$1>"'],
  [/^(x-request-id|date|x-attempt-id): .+$/gm, '$1: <$1>'],
  [/"(created|term|version|retry_after_ms)": ?\d+/g, '"$1": <$1>'],
  [/"([a-zA-Z_]*(_ms|Ms))": ?[-\d.]+/g, '"$1": <ms>'],
  [/^retry-after: \d+$/gm, 'retry-after: <retry-after>'],
];

/** Headers that belong to the contract with callers; the rest is the transport's. */
const HEADERS = ['content-type', 'x-request-id', 'x-repeated', 'retry-after', 'cache-control', 'connection'];

/** Request of a session. */
export interface Sent {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
}

/** What one side saw in a session, in order. */
export class Transcript {
  private readonly parts: string[] = [];

  public note(text: string): void {
    this.parts.push(`# ${text}`);
  }

  public add(title: string, value: unknown): void {
    this.parts.push(`${title}\n${JSON.stringify(value, null, 2)}`);
  }

  /** Sends a request and writes down both directions. */
  public async exchange(address: string, sent: Sent): Promise<{ status: number; text: string }> {
    const res = await fetch(`http://${address}${sent.path}`, {
      method: sent.method,
      headers: { ...(sent.body === undefined ? {} : { 'content-type': 'application/json' }), ...sent.headers },
      ...(sent.body === undefined ? {} : { body: sent.body }),
    });
    const text = await res.text();
    this.write(sent, res, text);
    return { status: res.status, text };
  }

  public write(sent: Sent, res: Response, text: string): void {
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

  /** Text of the golden file. */
  public render(): string {
    const text = `${this.parts.join('\n\n')}\n`;
    return MASKS.reduce((masked, [pattern, mask]) => masked.replace(pattern, mask), text);
  }
}
