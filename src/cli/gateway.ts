import { platformCodec, PlatformProvider, PlatformStore } from '../../platform/index.js';
import { openDatagramSocket } from '../adapters/datagrams.js';
import { SystemClock, SystemRandom } from '../adapters/system.js';
import type { Log } from '../core/interfaces/index.js';
import { openLog } from '../daemon/logs.js';
import { Metrics } from '../daemon/metrics.js';
import { HttpPeerClient, PeerListener } from '../daemon/peers.js';
import { Secret } from '../core/configuration/index.js';
import { reportUnexpected } from '../core/unexpected.js';
import { Gateway } from '../gateway/gateway.js';
import { machineLimits } from '../gateway/machinelimits.js';
import { RateLimitedLog } from '../gateway/ratelimitedlog.js';
import { safeParseGatewaySettings } from '../gateway/settings.js';
import { safeReadText } from './files.js';
import { listenForStopSignal } from './stopsignal.js';
import { ExitCode, failed, invalid } from './outcome.js';
import type { Outcome } from './outcome.js';

function stoppedBeforeStart(name: string, log: Log): Outcome {
  log.info('stopped', { running: 0, before: 'the listeners were open' });
  return { exitCode: ExitCode.Done, json: { stopped: name }, text: `${name} has stopped` };
}

/** Runs one gateway on the platform until SIGTERM or SIGINT stops it. */
export async function runGateway(file: string): Promise<Outcome> {
  const stop = listenForStopSignal();
  let onReload = (): void => {};
  process.on('SIGHUP', () => onReload());
  const text = safeReadText(file);
  if (!text.success) return invalid(ExitCode.Usage, text.error);
  const settings = safeParseGatewaySettings(text.data, file);
  if (!settings.success) return invalid(ExitCode.Usage, settings.error);
  const {
    gateway: { name }, log: { linesPerSecond }, store: { address }, peers: { group }, listen,
  } = settings.data;
  const clock = new SystemClock();
  const meter = new Metrics();
  const log = new RateLimitedLog(await openLog({ gateway: name }), clock, meter, linesPerSecond);
  if (stop.arrived) return stoppedBeforeStart(name, log);
  const store = new PlatformStore(address);
  const { address: providerAddress } = settings.data.provider;
  const provider = providerAddress === undefined ? null : new PlatformProvider(providerAddress);
  // The peer address cannot be reached from outside, so this token does not have to be secret.
  const peerOptions = { token: new Secret(`gateways of ${group}`), log, meter };
  const peerServer = new PeerListener(peerOptions);
  const peerClient = new HttpPeerClient(peerOptions);
  const { connections, peerMemory } = machineLimits(settings.data.machine);
  const peers = await peerServer.listen(listen.peers, { connections: connections.peers, memory: peerMemory });
  if (!peers.success) return failed(ExitCode.Refused, peers.error.message);
  const datagrams = await openDatagramSocket(listen.exchange, log);
  if (!datagrams.success) return failed(ExitCode.Refused, datagrams.error.message);
  const gateway = new Gateway({
    clock,
    random: new SystemRandom(),
    log,
    meter,
    store,
    codec: platformCodec,
    peerClient,
    peerServer,
    datagrams: datagrams.data,
    provider,
  }, settings.data);
  const started = await gateway.start();
  if (!started.success) return failed(ExitCode.Refused, started.error.message);
  // A call or a loop that throws ends alone. Here, callbacks of timers and sockets do, so that no other call is cut.
  process.on('uncaughtException', (err) => reportUnexpected({ log, meter }, 'callback', err));
  onReload = () => {
    const reread = safeReadText(file);
    const changed = reread.success && reread.data !== text.data;
    log.info('reload', { changed, applied: false, reason: 'settings apply at the next start' });
  };
  await stop.wait;
  await gateway.drain();
  peers.data.destroy();
  datagrams.data.dispose();
  store.dispose();
  provider?.dispose();
  await peerClient.close();
  return { exitCode: ExitCode.Done, json: { stopped: name }, text: `${name} has stopped` };
}
