import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { listenOnFreePort } from './listen.js';

interface Item {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
  readonly created: number;
  readonly lease: number;
}

interface Change {
  readonly revision: number;
  readonly event: object;
  readonly key: string;
}

async function readJson(req: IncomingMessage): Promise<Record<string, unknown>> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  const text = Buffer.concat(chunks).toString();
  return text === '' ? {} : JSON.parse(text) as Record<string, unknown>;
}

/**
 * Stand-in for the platform's store. Its pages hold only two items, so that callers have to page; tests can compact its
 * history and inject faults.
 */
export class StoreStandIn {
  public address = '';

  /** Fault hook: where it returns true, it has sent the response and the store does not handle the call. */
  public fault: (req: IncomingMessage, res: ServerResponse) => boolean = () => false;

  /** Number of following writes that take effect but whose answer is lost. */
  public loseAnswers = 0;

  /** Received calls as `<method> <path>`. */
  public readonly calls: string[] = [];

  private readonly items = new Map<string, Item>();

  private changes: Change[] = [];

  private revision = 10;

  private compactedRevision = 0;

  private lastLease = 100;

  private readonly server = createServer((req, res) => {
    void this.handle(req, res);
  });

  public async start(): Promise<void> {
    this.address = await listenOnFreePort(this.server);
  }

  public stop(): void {
    this.server.closeAllConnections();
    this.server.close();
  }

  public put(key: string, value: string, lease = 0): void {
    this.revision += 1;
    const item = {
      key,
      value: Buffer.from(value).toString('base64'),
      revision: this.revision,
      created: this.items.get(key)?.created ?? this.revision,
      lease,
    };
    this.items.set(key, item);
    this.changes.push({ revision: this.revision, key, event: item });
  }

  public remove(key: string): void {
    this.revision += 1;
    this.items.delete(key);
    this.changes.push({ revision: this.revision, key, event: { key, revision: this.revision, tombstone: true } });
  }

  /** Drops the history; watches from an earlier revision then fail with status 410. */
  public compact(): void {
    this.changes = [];
    this.compactedRevision = this.revision;
  }

  private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://store');
    this.calls.push(`${req.method} ${url.pathname}`);
    if (this.fault(req, res)) return;
    const body = await readJson(req);
    const [status, answer] = await this.answer(`${req.method} ${url.pathname}`, url.searchParams, body);
    if (this.loseAnswers > 0 && req.method !== 'GET') {
      this.loseAnswers -= 1;
      req.socket.destroy();
      return;
    }
    const text = JSON.stringify(answer);
    res.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) });
    res.end(text);
  }

  private async answer(
    call: string,
    query: URLSearchParams,
    body: Record<string, unknown>,
  ): Promise<[number, object]> {
    const prefix = query.get('path-prefix') ?? '';
    if (call === 'GET /kv-key') {
      const item = this.items.get(query.get('key') ?? '');
      return item === undefined ? [404, {}] : [200, { ...item, 'store-revision': this.revision }];
    }
    if (call === 'GET /kv-range') {
      const all = [...this.items.values()].filter(({ key }) => key.startsWith(prefix) && key > (query.get('after') ?? ''))
        .sort((left, right) => (left.key < right.key ? -1 : 1));
      return [200, { items: all.slice(0, 2), 'has-more': all.length > 2, 'store-revision': this.revision }];
    }
    if (call === 'GET /kv-watch') return this.pollChanges(prefix, Number(query.get('after')), Number(query.get('wait-ms')));
    if (call === 'POST /kv-txn') return this.transact(body as never);
    if (call === 'POST /kv-lease') {
      this.lastLease += 1;
      return [200, { lease: this.lastLease, 'ttl-ms': body['ttl-ms'] }];
    }
    return [200, {}];
  }

  private async pollChanges(prefix: string, after: number, waitMs: number): Promise<[number, object]> {
    const deadline = Date.now() + waitMs;
    for (;;) {
      if (after < this.compactedRevision) return [410, {}];
      const events = this.changes.filter(({ key, revision }) => key.startsWith(prefix) && revision > after);
      if (events.length > 0 || Date.now() >= deadline) {
        return [200, { events: events.map(({ event }) => event), 'store-revision': this.revision }];
      }
      await new Promise((resolve) => {
        setTimeout(resolve, 5);
      });
    }
  }

  private transact(body: {
    readonly expected: readonly { readonly key: string; readonly revision: number }[];
    readonly writes: readonly { readonly key: string; readonly value: string; readonly lease: number }[];
    readonly remove: readonly string[];
  }): [number, object] {
    const failed = body.expected.some(({ key, revision }) => (this.items.get(key)?.revision ?? 0) !== revision);
    if (failed) return [412, { items: body.expected.flatMap(({ key }) => this.items.get(key) ?? []) }];
    for (const { key, value, lease } of body.writes) this.put(key, Buffer.from(value, 'base64').toString(), lease);
    for (const key of body.remove) this.remove(key);
    return [200, { revision: this.revision }];
  }
}
