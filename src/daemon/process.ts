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
import { PeerCaller, PeerListener } from './peers.js';

/** Running entry process. */
export interface EntryProcess {
  readonly entry: EntryApi;
  /** Planned stop; resolves once nothing runs any more. Repeated calls return the same report. */
  stop(): Promise<DrainReport>;
  /** Resolves once nothing runs any more, also when an operator started the planned stop. */
  readonly stopped: Promise<DrainReport>;
}

/** Time for answers that slow callers are still reading when the planned stop ends. */
const CLOSE_BOUND_MS = 5_000;

class Listeners {
  private readonly patient: HttpListener[] = [];

  private readonly abrupt: HttpListener[] = [];

  /** Adds a listener whose open connections may end by themselves, or `abrupt` one whose connections never do. */
  public add(result: Result<HttpListener, ListenError>, abrupt = false): ListenError | null {
    if (!result.success) return result.error;
    (abrupt ? this.abrupt : this.patient).push(result.data);
    return null;
  }

  /** Lets open connections end by themselves for a while, then breaks the rest. */
  public async close(clock: Clock): Promise<void> {
    for (const listener of this.abrupt) listener.destroy();
    await withTimeout(clock, CLOSE_BOUND_MS, Promise.all(this.patient.map((listener) => listener.close())));
    for (const listener of this.patient) listener.destroy();
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
  let draining: Promise<DrainReport> | null = null;
  let settle: (report: Promise<DrainReport>) => void = () => {};
  const stopped = new Promise<DrainReport>((resolve) => {
    settle = resolve;
  });

  const finish = async (drained: Promise<DrainReport>): Promise<DrainReport> => {
    const report = await drained;
    await listeners.close(clock);
    entry.dispose();
    store.dispose();
    await peerClient.close();
    return report;
  };
  /** Resolves before the listeners close, so that the operator who asked for the stop gets its report. */
  const drain = (): Promise<DrainReport> => {
    if (draining === null) {
      draining = entry.drain();
      settle(finish(draining));
    }
    return draining;
  };
  const stop = async (): Promise<DrainReport> => {
    await drain();
    return stopped;
  };
  const error = listeners.add(await peerServer.listen(settings.listen.peers), true)
    ?? listeners.add(await listenOperators(entry, {
      address: settings.listen.operators,
      token: secrets.operatorToken,
      log,
      renderMetrics: () => meter.render(),
      drain,
    }))
    ?? listeners.add(await listenCallers(entry, {
      address: settings.listen.callers,
      limits: settings.limits,
      buffer: settings.stream.buffer,
      stall: settings.stream.stall,
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
  return ok({ entry, stop, stopped });
}
