import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { platformDialect, PlatformStore } from '../../platform/index.js';
import { SystemClock, SystemRandom } from '../../src/adapters/system.js';
import { Secret } from '../../src/core/configuration/settings.js';
import { Metrics } from '../../src/daemon/metrics.js';
import { PeerCaller, PeerListener } from '../../src/daemon/peers.js';
import { Gateway } from '../../src/gateway/gateway.js';
import { safeParseGatewaySettings } from '../../src/gateway/settings.js';
import { silentLog } from './loopback.js';

async function listen(server: Server): Promise<string> {
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { address, port } = server.address() as AddressInfo;
  return `${address}:${port}`;
}

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

/** Small stand-in of the platform's store: pages of two items, a history that can be dropped, faults by a hook. */
export class StoreStandIn {
  public address = '';

  /** Answers a call in place of the store where it returns true. */
  public fault: (req: IncomingMessage, res: ServerResponse) => boolean = () => false;

  /** Answers that are lost although the call took effect. */
  public loseAnswers = 0;

  public readonly calls: string[] = [];

  private readonly items = new Map<string, Item>();

  private changes: Change[] = [];

  private revision = 10;

  private lowest = 0;

  private leases = 100;

  private readonly server = createServer((req, res) => {
    void this.handle(req, res);
  });

  public async start(): Promise<void> {
    this.address = await listen(this.server);
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

  /** Drops the history, so that watches from before can't go on. */
  public compact(): void {
    this.changes = [];
    this.lowest = this.revision;
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
    if (call === 'GET /kv-watch') return this.watch(prefix, Number(query.get('after')), Number(query.get('wait-ms')));
    if (call === 'POST /kv-txn') return this.transact(body as never);
    if (call === 'POST /kv-lease') {
      this.leases += 1;
      return [200, { lease: this.leases, 'ttl-ms': body['ttl-ms'] }];
    }
    return [200, {}];
  }

  private async watch(prefix: string, after: number, waitMs: number): Promise<[number, object]> {
    const deadline = Date.now() + waitMs;
    for (;;) {
      if (after < this.lowest) return [410, {}];
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

/** One call as a backend server received it. */
export interface Received {
  readonly method: string;
  readonly url: string;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
  /** Whether the connection was closed before the answer had ended. */
  aborted: boolean;
}

/** Stand-in of a backend server whose answers the test writes. */
export class ServerStandIn {
  public address = '';

  public readonly received: Received[] = [];

  private readonly server: Server;

  public constructor(public readonly id: string, answer: (res: ServerResponse, call: Received) => void) {
    this.server = createServer((req, res) => {
      void (async () => {
        const chunks: Buffer[] = [];
        for await (const chunk of req) chunks.push(chunk as Buffer);
        const call = {
          method: req.method ?? '',
          url: req.url ?? '',
          headers: req.headers,
          body: Buffer.concat(chunks).toString(),
          aborted: false,
        };
        res.on('close', () => {
          call.aborted = !res.writableFinished;
        });
        this.received.push(call);
        const callId = req.headers['catkinscale-request-id'];
        if (callId !== undefined) res.setHeader('Catkinscale-Request-Id', callId);
        answer(res, call);
      })();
    });
  }

  public async start(): Promise<void> {
    this.address = await listen(this.server);
  }

  public stop(): void {
    this.server.closeAllConnections();
    this.server.close();
  }

  public entry(service: string, changes: object = {}): string {
    return JSON.stringify({
      service, address: this.address, zone: 'regina', slots: 4, state: 'ready', born: 1, sequence: 1, ...changes,
    });
  }
}

/** Answers with the server's signature. */
export function signed(res: ServerResponse, body: string, status = 200): void {
  res.writeHead(status, { 'Catkinscale-Server-Signature': 's1', 'Content-Length': Buffer.byteLength(body) });
  res.end(body);
}

/** States that the call did not run. */
export function notExecuted(res: ServerResponse, status = 503): void {
  res.writeHead(status, { 'Catkinscale-Not-Executed': '1', 'Content-Length': 0 });
  res.end();
}

/** Configuration with one route for each kind, all to the same service. */
export function configuration(changes: object = {}, version = 1): string {
  const route = {
    host: 'shop.example', 'timeout-ms': 600, 'target-latency-ms': 100, priority: 0, service: 'ledger', 'max-attempts': 2,
  };
  return JSON.stringify({
    version,
    routes: [
      {
        ...route, name: 'safe', 'path-prefix': '/safe/', kind: 'idempotent',
      },
      {
        ...route, name: 'order', 'path-prefix': '/order/', kind: 'non_idempotent',
      },
      {
        ...route, name: 'talk', 'path-prefix': '/talk/', kind: 'streaming',
      },
      {
        ...route,
        name: 'long',
        'path-prefix': '/long/',
        kind: 'streaming',
        resumable: true,
        service: 'engine',
        'timeout-ms': 2_000,
      },
    ],
    services: [
      { name: 'ledger', 'max-connections': 50 }, { name: 'engine', 'max-connections': 50, engine: { slots: 4 } },
    ],
    limits: {
      'max-header-bytes': 16_384, 'max-body-bytes': 4_096, 'header-timeout-ms': 3_000, 'idle-timeout-ms': 15_000,
    },
    ...changes,
  });
}

/** Gateway of this process over stand-ins. */
export interface RunningGateway {
  readonly gateway: Gateway;
  readonly callers: string;
  readonly directory: string;
  readonly readiness: string;
  readonly metrics: string;
  stop(): Promise<void>;
}

/** Starts a gateway whose five ports begin at `firstPort`. */
export async function startGateway(
  store: StoreStandIn,
  firstPort: number,
  seeds: readonly string[] = [],
): Promise<RunningGateway> {
  const [callers, readiness, peers, directory, metrics] = [0, 1, 2, 3, 4].map((offset) => `127.0.0.1:${firstPort + offset}`);
  const settings = safeParseGatewaySettings([
    '[gateway]', `name = g${firstPort}`, 'failure-domain = regina',
    '[listen]', `callers = ${callers}`, `readiness = ${readiness}`, `peers = ${peers}`, `directory = ${directory}`,
    `metrics = ${metrics}`, 'exchange = 127.0.0.1:1',
    '[peers]', `seeds = ${seeds.join(',')}`,
    '[store]', `address = ${store.address}`,
    '[drain]', 'grace = 2 s',
    '[directory]', 'keep = 100 ms',
    '[retries]', 'burst = 200',
  ].join('\n'), 'test');
  if (!settings.success) throw new Error(JSON.stringify(settings.error));
  const meter = new Metrics();
  const options = { token: new Secret('a token of the tests'), log: silentLog, meter };
  const peerServer = new PeerListener(options);
  const peerClient = new PeerCaller(options);
  const peerListener = await peerServer.listen(settings.data.listen.peers);
  const client = new PlatformStore(store.address);
  const gateway = new Gateway({
    clock: new SystemClock(),
    random: new SystemRandom(),
    log: silentLog,
    meter,
    store: client,
    dialect: platformDialect,
    peerClient,
    peerServer,
    datagrams: { send: () => {}, onMessage: () => ({ dispose: () => {} }) },
  }, settings.data);
  const started = await gateway.start();
  if (!started.success) throw new Error(started.error.message);
  return {
    gateway,
    callers: callers!,
    directory: directory!,
    readiness: readiness!,
    metrics: metrics!,
    stop: async () => {
      await gateway.drain();
      if (peerListener.success) peerListener.data.destroy();
      client.dispose();
      await peerClient.close();
    },
  };
}
