import { HttpEngine } from '../adapters/engine.js';
import { HttpKeyValue } from '../adapters/keyvalue.js';
import { HttpHostList, HttpWeightStore } from '../adapters/platform.js';
import { HttpService } from '../adapters/service.js';
import { SystemClock, SystemRandom } from '../adapters/system.js';
import { DisposableStore } from '../core/disposables.js';
import type { Clock, Log } from '../core/interfaces/index.js';
import { fail, ok } from '../core/result.js';
import type { Result } from '../core/result.js';
import type { Secrets, Settings } from '../core/configuration/index.js';
import { withTimeout } from '../core/time.js';
import type { DrainReport, EntryApi } from './api.js';
import { listenCallers } from './callers.js';
import { Entry } from './entry.js';
import type { HttpListener, ListenError } from './http.js';
import { Metrics } from './metrics.js';
import { listenOperators } from './operators.js';
import { HttpPeerClient, PeerListener } from './peers.js';

/** Running entry process. */
export interface EntryProcess {
  readonly entry: EntryApi;
  /** Starts the planned stop and resolves to its report once everything is closed. Repeated calls join the first. */
  stop(): Promise<DrainReport>;
  /** Resolves to the report once everything is closed, also if an operator started the planned stop. */
  readonly stopped: Promise<DrainReport>;
}

/** Time in ms that slow callers get to read their answers after the planned stop. */
const CLOSE_TIMEOUT_MS = 5_000;

/** The listeners of a process. */
class Listeners {
  private readonly graceful: HttpListener[] = [];

  private readonly abrupt: HttpListener[] = [];

  /** Adds a listener. With `abrupt`, its connections are closed immediately, because peers never close them. */
  public add(result: Result<HttpListener, ListenError>, abrupt = false): ListenError | null {
    if (!result.success) return result.error;
    (abrupt ? this.abrupt : this.graceful).push(result.data);
    return null;
  }

  /** Closes all listeners. Answers that are being sent get a limited time; then their connections are closed. */
  public async close(clock: Clock): Promise<void> {
    for (const listener of this.abrupt) listener.destroy();
    await withTimeout(clock, CLOSE_TIMEOUT_MS, Promise.all(this.graceful.map((listener) => listener.close())));
    for (const listener of this.graceful) listener.destroy();
  }
}

/** Starts one entry with its listeners for peers, operators and callers; fails if one of them cannot listen. */
export async function startEntryProcess(
  settings: Settings,
  secrets: Secrets,
  log: Log,
): Promise<Result<EntryProcess, ListenError>> {
  const clock = new SystemClock();
  const random = new SystemRandom();
  const meter = new Metrics();
  const store = new DisposableStore();
  const peerOptions = { token: secrets.peerToken, log, meter };
  const peerServer = new PeerListener(peerOptions);
  const peerClient = new HttpPeerClient(peerOptions);
  const entry = new Entry({
    clock,
    random,
    log,
    meter,
    keyValue: store.add(new HttpKeyValue(settings.platform.keyValue)),
    hostList: store.add(new HttpHostList(settings.platform.hostList)),
    weightStore: store.add(new HttpWeightStore(settings.platform.weightStore)),
    peerClient,
    peerServer,
    backends: {
      engine: (spec) => new HttpEngine(spec.name, spec.address),
      service: (spec) => new HttpService(spec.name, spec.address),
    },
  }, {
    name: settings.entry.name,
    failureDomain: settings.entry.failureDomain,
    callerAddress: settings.listen.callers,
    peerAddress: settings.listen.peers,
    seeds: settings.peers.seeds,
    addressTtlMs: settings.address.keep,
    handoverAfterMs: settings.drain.bound,
    resumeWindowMs: settings.stream.resumeWindow,
    leaseMs: settings.authority.lease,
    ticketKey: secrets.ticketKey.reveal(),
  });
  const listeners = new Listeners();
  let draining: Promise<DrainReport> | null = null;
  let resolveStopped: (report: Promise<DrainReport>) => void = () => {};
  const stopped = new Promise<DrainReport>((resolve) => {
    resolveStopped = resolve;
  });

  const closeAfter = async (drained: Promise<DrainReport>): Promise<DrainReport> => {
    const report = await drained;
    await listeners.close(clock);
    entry.dispose();
    store.dispose();
    await peerClient.close();
    return report;
  };
  /** Resolves before the listeners close, so that the operator who requested the stop still receives the report. */
  const drain = (): Promise<DrainReport> => {
    if (draining === null) {
      draining = entry.drain();
      resolveStopped(closeAfter(draining));
    }
    return draining;
  };
  const stop = async (): Promise<DrainReport> => {
    await drain();
    return stopped;
  };
  const listenError = listeners.add(await peerServer.listen(settings.listen.peers), true)
    ?? listeners.add(await listenOperators(entry, {
      address: settings.listen.operators,
      token: secrets.operatorToken,
      log,
      meter,
      renderMetrics: () => meter.render(),
      drain,
    }))
    ?? listeners.add(await listenCallers(entry, {
      address: settings.listen.callers,
      limits: settings.limits,
      writeBufferBytes: settings.stream.buffer,
      stallTimeoutMs: settings.stream.stall,
      clock,
      log,
      meter,
    }));
  if (listenError !== null) {
    await listeners.close(clock);
    entry.dispose();
    store.dispose();
    return fail(listenError);
  }
  void entry.run();
  log.info('entry_started', { entry: settings.entry.name, callers: settings.listen.callers });
  return ok({ entry, stop, stopped });
}
