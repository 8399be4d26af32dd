import type { ServerResponse } from 'node:http';
import { setTimeout as pause } from 'node:timers/promises';
import { ServerStandIn, sendSignedResponse } from '../../src/emulator/backend.js';
import { LinkProxy } from '../../src/emulator/linkproxy.js';
import { StoreStandIn } from '../../src/emulator/platformstore.js';
import { sendCall } from '../../src/emulator/sendcall.js';
import type { Answer } from '../../src/emulator/sendcall.js';
import { configuration, startGateway } from './gateway.js';
import type { RunningGateway } from './gateway.js';
import { waitUntil } from './waituntil.js';

/** Time in ms for which callers keep an answer of the directory, as long as those of the users' deployments. */
const DIRECTORY_TTL_MS = 1_000;

/** Time in ms between the calls of one caller. */
const CALLER_PAUSE_MS = 40;

/** First tries of callers at some gateways, and at the others. */
export interface FirstTries {
  readonly watched: { readonly sent: number; readonly served: number };
  readonly others: { readonly sent: number; readonly served: number };
}

/** How the links between a gateway and all backend servers fail. */
export enum Cut {
  /** Open and new connections hang. */
  Hang = 'hang',
  /** Open connections are reset, and new ones at once. */
  Reset = 'reset',
  /** Open connections live on, and new ones are reset at once. */
  RefuseNew = 'refuse new',
  /** Open connections hang for good, and new ones work. */
  HangOpen = 'hang open',
}

/** Time in ms that a server works on a call. */
const WORK_MS = 20;

/** Number of events of a stream, and time in ms between two of them. */
export const STREAM_EVENTS = 30;

const EVENT_PERIOD_MS = 100;

function streamEvents(res: ServerResponse): void {
  res.writeHead(200, { 'Catkinscale-Server-Signature': 's1', 'Content-Type': 'text/event-stream' });
  let sent = 0;
  const timer = setInterval(() => {
    sent += 1;
    res.write(`id: ${sent}\n\n`);
    if (sent === STREAM_EVENTS) res.end();
  }, EVENT_PERIOD_MS);
  res.on('close', () => clearInterval(timer));
}

/** The usual configuration with streams of the plain service that may be resumed. */
function configurationWithStreams(): string {
  const { routes, ...rest } = JSON.parse(configuration()) as { routes: object[] };
  const watch = {
    ...routes[0], name: 'watch', 'path-prefix': '/watch/', kind: 'streaming', resumable: true, 'timeout-ms': 10_000,
  };
  return JSON.stringify({ ...rest, routes: [...routes, watch] });
}

/** Time in ms between two calls of the background load, which go to the gateways in turn. */
const LOAD_PERIOD_MS = 15;

/**
 * Gateways whose links to the backend servers can fail one gateway at a time. Each gateway has a store of its own, in
 * which the servers have the addresses of its own proxies.
 */
export class PartitionGroup {
  public readonly gateways: RunningGateway[] = [];

  /** Gateways that the load leaves out. */
  public readonly unloaded = new Set<number>();

  private readonly servers: ServerStandIn[] = [];

  private readonly stores: StoreStandIn[] = [];

  /** Proxies of each gateway before the servers. */
  private readonly proxies: LinkProxy[][] = [];

  private load: NodeJS.Timeout | null = null;

  private sent = 0;

  /** Starts gateways on five ports from `port` on, with a plain service, and a load of calls that may be repeated. */
  public async start(gateways: number, servers: number, port: number): Promise<void> {
    for (let index = 0; index < servers; index += 1) {
      const server = new ServerStandIn(`s${index}`, (res, { url }) => {
        if (url.startsWith('/watch/')) streamEvents(res);
        else setTimeout(() => sendSignedResponse(res, 'ok'), WORK_MS);
      });
      await server.start();
      this.servers.push(server);
    }
    const seeds = Array.from({ length: gateways }, (_, index) => `127.0.0.${2 + index}:${port + 2}`);
    for (let index = 0; index < gateways; index += 1) {
      const store = new StoreStandIn();
      await store.start();
      this.stores.push(store);
      this.proxies.push([]);
      for (const server of this.servers) await this.register(store, server, index);
      store.put('op/config', configurationWithStreams());
      this.gateways.push(await startGateway(store, port, {
        name: `g${index}`, host: `127.0.0.${2 + index}`, seeds, exchangePort: port + 5,
      }));
    }
    await waitUntil(async () => {
      const named = await Promise.all(this.gateways.map((_, index) => this.named(index)));
      return named.every((addresses) => addresses.length === gateways);
    });
    this.load = setInterval(() => {
      this.sent += 1;
      if (!this.unloaded.has(this.sent % gateways)) void this.call(this.sent % gateways);
    }, LOAD_PERIOD_MS);
  }

  /** Cuts a gateway off from all servers. */
  public cut(gateway: number, how: Cut): void {
    for (const proxy of this.proxies[gateway]!) {
      switch (how) {
        case Cut.Hang:
          proxy.silence();
          break;
        case Cut.Reset:
          proxy.refuse();
          proxy.reset();
          break;
        case Cut.HangOpen:
          proxy.silence();
          proxy.heal();
          break;
        case Cut.RefuseNew:
          proxy.refuse();
          break;
        default: how satisfies never;
      }
    }
  }

  public heal(gateway: number): void {
    for (const proxy of this.proxies[gateway]!) proxy.heal();
  }

  /** Silences all servers for all gateways for a while, as if they stood still. */
  public async pauseServers(forMs: number): Promise<void> {
    for (const proxy of this.proxies.flat()) proxy.silence();
    await pause(forMs);
    for (const proxy of this.proxies.flat()) proxy.resume();
  }

  /** Addresses for callers that a gateway names. */
  public async named(gateway: number): Promise<readonly string[]> {
    const { status, body } = await sendCall(this.gateways[gateway]!.directory, '/resolve?name=x&region=r&zone=z');
    return status === 200 ? (JSON.parse(body) as { addresses: string[] }).addresses : [];
  }

  /** Indexes of the gateways by which a gateway is named. */
  public async namedBy(gateway: number): Promise<readonly number[]> {
    const { callers } = this.gateways[gateway]!;
    const named = await Promise.all(this.gateways.map((_, index) => this.named(index)));
    return named.flatMap((addresses, index) => (addresses.includes(callers) ? [index] : []));
  }

  /**
   * Has callers send calls for a while, each to an address that it picks at random from what a directory named up to a
   * second ago, or up to three seconds for one caller in three. Counts the first tries at the given gateways and at the
   * others, those of the first `uncountedMs` left out.
   */
  public async firstTries(
    gateways: readonly number[],
    callers: number,
    { forMs, uncountedMs }: { readonly forMs: number; readonly uncountedMs: number },
  ): Promise<FirstTries> {
    const countFrom = performance.now() + uncountedMs;
    const watched = new Set(gateways.map((index) => this.gateways[index]!.callers));
    const tries = { watched: { sent: 0, served: 0 }, others: { sent: 0, served: 0 } };
    const endsAt = performance.now() + forMs;
    await Promise.all(Array.from({ length: callers }, async (_, caller) => {
      const keepMs = caller % 3 === 0 ? 3 * DIRECTORY_TTL_MS : DIRECTORY_TTL_MS;
      let known: readonly string[] = [];
      let askedAt = -Infinity;
      for (let turn = 0; performance.now() < endsAt; turn += 1) {
        if (performance.now() - askedAt > keepMs) {
          askedAt = performance.now();
          known = await this.named((caller + turn) % this.gateways.length);
        }
        const address = known[Math.floor(Math.random() * known.length)]!;
        const path = turn % 2 === 0 ? '/safe/x' : '/order/x';
        const count = watched.has(address) ? tries.watched : tries.others;
        const isCounted = performance.now() >= countFrom;
        const { status } = await sendCall(address, path);
        if (isCounted) count.sent += 1;
        if (isCounted && status === 200) count.served += 1;
        await pause(CALLER_PAUSE_MS);
      }
    }));
    return tries;
  }

  public async isReady(gateway: number): Promise<boolean> {
    return (await sendCall(this.gateways[gateway]!.readiness, '/ready')).status === 200;
  }

  public call(gateway: number, path = '/safe/x'): Promise<Answer> {
    return sendCall(this.gateways[gateway]!.callers, path);
  }

  public async stop(): Promise<void> {
    if (this.load !== null) clearInterval(this.load);
    await Promise.all(this.gateways.map((gateway) => gateway.stop()));
    for (const proxy of this.proxies.flat()) proxy.stop();
    for (const server of this.servers) server.stop();
    for (const store of this.stores) store.stop();
  }

  private async register(store: StoreStandIn, server: ServerStandIn, gateway: number): Promise<void> {
    const proxy = new LinkProxy(server.address);
    await proxy.start();
    this.proxies[gateway]!.push(proxy);
    store.put(`servers/${server.id}`, JSON.stringify({
      ...JSON.parse(server.serverRecord('ledger', { slots: 16 })) as object, address: proxy.address,
    }));
  }
}
