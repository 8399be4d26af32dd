import { platformCodec, PlatformStore } from '../../platform/index.js';
import { openDatagramSocket } from '../../src/adapters/datagrams.js';
import { SystemClock, SystemRandom } from '../../src/adapters/system.js';
import type { Clock, Log } from '../../src/core/interfaces/index.js';
import { Secret } from '../../src/core/configuration/settings.js';
import { Metrics } from '../../src/daemon/metrics.js';
import { HttpPeerClient, PeerListener } from '../../src/daemon/peers.js';
import type { Codec } from '../../src/gateway/codec.js';
import { Gateway } from '../../src/gateway/gateway.js';
import type { Provider } from '../../src/gateway/provider.js';
import { safeParseGatewaySettings } from '../../src/gateway/settings.js';
import { silentLog } from './loopback.js';

/** Platform configuration as JSON with a route of each kind; `changes` replace top-level fields. */
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

/** Gateway in this process, with the addresses of its listeners. */
export interface RunningGateway {
  readonly gateway: Gateway;
  readonly callers: string;
  readonly directory: string;
  readonly readiness: string;
  readonly metrics: string;
  stop(): Promise<void>;
}

/** Options of {@link startGateway}. */
export interface StartGatewayOptions {
  /** Name of the gateway, which has to differ from those of its peers; by default after its first port. */
  readonly name?: string;
  /** Peer addresses of other gateways. */
  readonly seeds?: readonly string[];
  /** Loopback address of the gateway. */
  readonly host?: string;
  /** UDP port of all gateways; without it, no datagrams are exchanged. */
  readonly exchangePort?: number;
  readonly log?: Log;
  readonly clock?: Clock;
  readonly codec?: Codec;
  readonly meter?: Metrics;
  readonly provider?: Provider | null;
  /** Lines of the settings after the usual ones. */
  readonly lines?: readonly string[];
}

/** Starts a gateway on five consecutive loopback ports from `firstPort`; throws if it fails to start. */
export async function startGateway(
  store: { readonly address: string },
  firstPort: number,
  {
    seeds = [], host = '127.0.0.1', exchangePort, log = silentLog, codec = platformCodec, meter = new Metrics(), provider = null,
    lines = [], name = `g${firstPort}`, clock = new SystemClock(),
  }: StartGatewayOptions = {},
): Promise<RunningGateway> {
  const [callers, readiness, peers, directory, metrics] = [0, 1, 2, 3, 4].map((offset) => `${host}:${firstPort + offset}`);
  const exchange = `${host}:${exchangePort ?? 1}`;
  const settings = safeParseGatewaySettings([
    '[gateway]', `name = ${name}`, 'failure-domain = regina',
    '[listen]', `callers = ${callers}`, `readiness = ${readiness}`, `peers = ${peers}`, `directory = ${directory}`,
    `metrics = ${metrics}`, `exchange = ${exchange}`,
    '[peers]', `seeds = ${seeds.join(',')}`,
    '[store]', `address = ${store.address}`,
    '[drain]', 'grace = 2 s',
    '[directory]', 'keep = 100 ms',
    '[retries]', 'burst = 200',
    ...lines,
  ].join('\n'), 'test');
  if (!settings.success) throw new Error(JSON.stringify(settings.error));
  const options = { token: new Secret('a token of the tests'), log: silentLog, meter };
  const peerServer = new PeerListener(options);
  const peerClient = new HttpPeerClient(options);
  const peerListener = await peerServer.listen(settings.data.listen.peers);
  const client = new PlatformStore(store.address);
  const datagrams = exchangePort === undefined ? null : await openDatagramSocket(exchange, log);
  if (datagrams?.success === false) throw new Error(datagrams.error.message);
  const gateway = new Gateway({
    clock,
    random: new SystemRandom(),
    log,
    meter,
    store: client,
    codec,
    peerClient,
    peerServer,
    provider,
    datagrams: datagrams?.data ?? { send: () => {}, onMessage: () => ({ dispose: () => {} }) },
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
      datagrams?.data.dispose();
      await peerClient.close();
    },
  };
}
