import { HttpEngine } from '../adapters/engine.js';
import { HttpKeyValue } from '../adapters/keyvalue.js';
import { HttpHostList, HttpWeightStore } from '../adapters/platform.js';
import { HttpService } from '../adapters/service.js';
import { SystemClock, SystemRandom } from '../adapters/system.js';
import { DisposableStore } from '../core/disposables.js';
import type { Clock, Log } from '../core/edges.js';
import { fail, ok } from '../core/result.js';
import type { Result } from '../core/result.js';
import type { Secrets, Settings } from '../core/settings.js';
import { within } from '../core/time.js';
import type { DrainReport, EntryApi } from './api.js';
import { listenCallers } from './callers.js';
import { Entry } from './entry.js';
import type { HttpListener, ListenError } from './http.js';
import { Metrics } from './metrics.js';
import { listenOperators } from './operators.js';
import { PeerCaller, PeerListener } from './peers.js';

/** Running entry process. */
export interface EntryProcess {
  readonly entry: EntryApi;
  /** Planned stop; resolves once nothing runs any more. Repeated calls return the same report. */
  stop(): Promise<DrainReport>;
}

/** A caller that reads nothing for this long counts as disconnected. */
const CALLER_STALL_MS = 30_000;
/** Time for answers that are being written when the planned stop ends. */
const CLOSE_BOUND_MS = 1_000;

class Listeners {
  private readonly opened: HttpListener[] = [];

  public add(result: Result<HttpListener, ListenError>): ListenError | null {
    if (!result.success) return result.error;
    this.opened.push(result.data);
    return null;
  }

  /** Lets open connections end by themselves for a while, then breaks the rest. */
  public async close(clock: Clock): Promise<void> {
    await within(clock, CLOSE_BOUND_MS, Promise.all(this.opened.map((listener) => listener.close())));
    for (const listener of this.opened) listener.destroy();
  }
}

/** Starts one entry with its three listeners. */
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
  const peerClient = new PeerCaller(peerOptions);
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
    addressKeepMs: settings.address.keep,
    drainBoundMs: settings.drain.bound,
    resumeWindowMs: settings.stream.resumeWindow,
    leaseMs: settings.authority.lease,
    ticketKey: secrets.ticketKey.reveal(),
  });
  const listeners = new Listeners();
  let stopping: Promise<DrainReport> | null = null;

  const finish = async (): Promise<DrainReport> => {
    const report = await entry.drain();
    await listeners.close(clock);
    entry.dispose();
    store.dispose();
    await peerClient.close();
    return report;
  };
  const stop = (): Promise<DrainReport> => {
    stopping ??= finish();
    return stopping;
  };
  const error = listeners.add(await peerServer.listen(settings.listen.peers))
    ?? listeners.add(await listenOperators(entry, {
      address: settings.listen.operators,
      token: secrets.operatorToken,
      log,
      renderMetrics: () => meter.render(),
      drain: stop,
    }))
    ?? listeners.add(await listenCallers(entry, {
      address: settings.listen.callers,
      limits: settings.limits,
      buffer: settings.stream.buffer,
      stall: CALLER_STALL_MS,
      clock,
      log,
      meter,
    }));
  if (error !== null) {
    await listeners.close(clock);
    entry.dispose();
    store.dispose();
    return fail(error);
  }
  void entry.run();
  log.info('entry_started', { entry: settings.entry.name, callers: settings.listen.callers });
  return ok({ entry, stop });
}
