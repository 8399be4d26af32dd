import { mkdirSync } from 'node:fs';
import { setTimeout as wait } from 'node:timers/promises';
import { bundleProgram } from '../demo/bundle.js';
import { StoreStandIn } from '../emulator/platformstore.js';
import { ProviderStandIn } from '../emulator/provider.js';
import { SeededRandom } from '../emulator/random.js';
import { assertNever } from '../core/result.js';
import { SoakCaller } from './callers.js';
import { CallType, findViolations } from './checks.js';
import type {
  Arrival, Bounds, CallRecord, History, Span, StopRecord, Violation,
} from './checks.js';
import { configuration } from './configuration.js';
import { KeyRing } from './keys.js';
import { DisturbanceKind, planDisturbances } from './plan.js';
import type { Disturbance } from './plan.js';
import { GatewayProcess, GRACE_MS } from './processes.js';
import { ServerFleet } from './servers.js';

/** Time limits that the users' platform requires. */
const BOUNDS: Bounds = {
  drainMs: 2_000, reconnectMs: 3_000, applyMs: 2_000, graceMs: GRACE_MS,
};

/** Undisturbed time in ms at the end of a run; once `reconnectMs` of it have passed, each call has to be served. */
const CALM_MS = 5_000;

const SERVER_COUNT = 4;

/** Version of the first configuration. */
const FIRST_VERSION = 10;

const CALLERS_PER_GATEWAY = 3;

/** Period in ms of the timer that measures delays of the process of the soak. */
const LAG_PERIOD_MS = 20;

/** Time in ms over which the longest delay of the process is taken for an arrival. */
const LAG_WINDOW_MS = 500;

/** Options of {@link runSoak}; times in ms. */
export interface SoakOptions {
  /** Root of the repository. */
  readonly root: string;
  /** Directory for the bundled program, the settings and the logs of a run. */
  readonly directory: string;
  readonly seed: number;
  readonly durationMs: number;
  readonly gateways: number;
  /** Second octet of the loopback addresses, so that concurrent runs use different addresses. */
  readonly network: number;
  /** Receives a line for each disturbance. */
  readonly log: (text: string) => void;
}

/** Result of a run. */
export interface SoakReport {
  readonly seed: number;
  readonly calls: number;
  readonly served: number;
  readonly disturbances: number;
  /** Longest delay in ms of the process of the soak. */
  readonly longestLagMs: number;
  readonly violations: readonly Violation[];
}

/** One run: gateways as separate processes, callers, backend servers and a store, disturbed by the plan of its seed. */
class Soak {
  private readonly store = new StoreStandIn();

  private readonly provider = new ProviderStandIn();

  private readonly keys = new KeyRing();

  private readonly random: SeededRandom;

  private readonly calls: CallRecord[] = [];

  private readonly arrivals: Arrival[] = [];

  private readonly leavingSince = new Map<string, number>();

  private readonly stoppedAt = new Map<string, number>();

  private readonly routedAt = new Map<string, number>();

  private readonly gatewayDisturbances = new Map<string, Span[]>();

  private readonly storeDisturbances: Span[] = [];

  private readonly stops: StopRecord[] = [];

  private readonly addedRoutes: string[] = [];

  private readonly restarting = new Set<GatewayProcess>();

  private readonly lags: { readonly at: number; readonly ms: number }[] = [];

  private gateways: GatewayProcess[] = [];

  private storeOutages = 0;

  public constructor(private readonly opts: SoakOptions) {
    this.random = new SeededRandom(opts.seed);
  }

  public async run(): Promise<SoakReport> {
    const {
      seed, durationMs, log, directory, root,
    } = this.opts;
    mkdirSync(directory, { recursive: true });
    const program = await bundleProgram(root, directory);
    await this.store.start();
    await this.provider.start();
    this.putConfiguration(FIRST_VERSION, []);
    const fleet = new ServerFleet(this.store, 'shop', {
      now: () => performance.now(),
      lagMs: () => this.lagMs(),
      recordArrival: (arrival) => this.arrivals.push(arrival),
      recordLeaving: (id) => this.leavingSince.set(id, performance.now()),
      recordStopped: (id) => this.stoppedAt.set(id, performance.now()),
    });
    const stop = new AbortController();
    const lagTimer = this.startLagTimer();
    try {
      for (let index = 0; index < SERVER_COUNT; index += 1) await fleet.add();
      const ips = Array.from({ length: this.opts.gateways }, (_, index) => `127.${this.opts.network}.0.${index + 1}`);
      this.gateways = ips.map((ip) => new GatewayProcess(ip, {
        program,
        directory,
        store: this.store.address,
        seeds: ips.slice(0, 3),
        settings: ['[provider]', `address = ${this.provider.address}`, '[usage]', 'window = 2 s', 'due = 4 s'],
      }));
      await Promise.all(this.gateways.map((gateway) => gateway.start()));
      // The bounds apply only once the gateways have been connected to the store for this long.
      await wait(BOUNDS.reconnectMs);
      const callers = this.startCallers(stop.signal);
      const plan = planDisturbances(seed, durationMs);
      const startedAt = performance.now();
      await Promise.all(plan.map(async (disturbance) => {
        await wait(Math.max(0, startedAt + disturbance.at - performance.now()));
        log(`${(disturbance.at / 1_000).toFixed(1)} s ${disturbance.kind} ${Math.round(disturbance.forMs)} ms`);
        await this.disturb(disturbance, fleet);
      }));
      const calmFrom = performance.now();
      await wait(CALM_MS);
      stop.abort();
      await Promise.all(callers);
      return this.createReport(plan.length, calmFrom);
    } finally {
      stop.abort();
      clearInterval(lagTimer);
      for (const gateway of this.gateways) gateway.dispose();
      fleet.stop();
      this.store.stop();
      this.provider.stop();
    }
  }

  private startCallers(signal: AbortSignal): readonly Promise<void>[] {
    const gateways = this.gateways.map(({ callerAddress }) => callerAddress);
    return Array.from({ length: CALLERS_PER_GATEWAY * gateways.length }, (_, index) => new SoakCaller(`c${index}`, {
      random: new SeededRandom(this.opts.seed * 1_000 + index),
      now: () => performance.now(),
      gateways,
      path: (type) => this.pathOf(type),
      key: () => this.keys.pick(this.random),
      record: (call) => this.calls.push(call),
    }).run(signal));
  }

  private pathOf(type: CallType): string {
    const name = type === CallType.Look ? this.random.pick([type, ...this.addedRoutes]) : type;
    return `/${name}/x`;
  }

  private async disturb({ kind, forMs, draw }: Disturbance, fleet: ServerFleet): Promise<void> {
    const gateway = this.gateways[Math.floor(draw * this.gateways.length)]!;
    switch (kind) {
      case DisturbanceKind.Cut: return this.recordGatewayDisturbance(gateway, () => gateway.cutStoreLink(forMs));
      case DisturbanceKind.Pause: return this.recordGatewayDisturbance(gateway, () => gateway.pause(forMs));
      case DisturbanceKind.Reset: return this.recordGatewayDisturbance(gateway, async () => gateway.resetStoreLink());
      case DisturbanceKind.StoreDown: return this.recordStoreDisturbance(() => this.interruptStore(forMs, draw < 0.5));
      case DisturbanceKind.Compact: return this.recordStoreDisturbance(async () => this.store.compact());
      case DisturbanceKind.Kill: return this.recordGatewayDisturbance(gateway, () => this.restart(gateway, 'SIGKILL'));
      case DisturbanceKind.Stop: return this.restart(gateway, 'SIGTERM');
      case DisturbanceKind.Drain: return fleet.replace(draw, 'drain');
      case DisturbanceKind.Leave: return fleet.replace(draw, 'leave');
      case DisturbanceKind.Crash: return fleet.replace(draw, 'crash');
      case DisturbanceKind.Configure: return this.addRoute();
      default: return assertNever(kind);
    }
  }

  private async recordGatewayDisturbance(gateway: GatewayProcess, action: () => Promise<void>): Promise<void> {
    const from = performance.now();
    const spans = this.gatewayDisturbances.get(gateway.callerAddress) ?? [];
    this.gatewayDisturbances.set(gateway.callerAddress, spans);
    await action();
    spans.push({ from, to: performance.now() });
  }

  private async recordStoreDisturbance(action: () => Promise<void>): Promise<void> {
    const from = performance.now();
    await action();
    this.storeDisturbances.push({ from, to: performance.now() });
  }

  private async interruptStore(forMs: number, silent: boolean): Promise<void> {
    this.storeOutages += 1;
    this.store.fault = (_req, res) => {
      if (!silent) res.destroy();
      return true;
    };
    await wait(forMs);
    this.storeOutages -= 1;
    if (this.storeOutages === 0) this.store.fault = () => false;
  }

  /** Ends a gateway and starts it again. During a restart, SIGKILL is only passed on and SIGTERM is ignored. */
  private async restart(gateway: GatewayProcess, signal: 'SIGKILL' | 'SIGTERM'): Promise<void> {
    if (this.restarting.has(gateway)) {
      if (signal === 'SIGKILL') await gateway.terminate(signal);
      return;
    }
    this.restarting.add(gateway);
    const at = performance.now();
    const exitCode = await gateway.terminate(signal);
    if (signal === 'SIGTERM') {
      this.stops.push({
        gateway: gateway.callerAddress, at, tookMs: performance.now() - at, exitCode,
      });
    }
    await this.recordGatewayDisturbance(gateway, () => gateway.start());
    this.restarting.delete(gateway);
  }

  private async addRoute(): Promise<void> {
    const name = `new-${this.addedRoutes.length}`;
    this.putConfiguration(FIRST_VERSION + this.addedRoutes.length + 1, [...this.addedRoutes, name]);
    this.addedRoutes.push(name);
    this.routedAt.set(`/${name}/x`, performance.now());
  }

  /** Puts a configuration; each one also adds keys and takes some away. */
  private putConfiguration(version: number, added: readonly string[]): void {
    this.store.put('op/config', configuration(version, added, this.keys.tenants(version)));
    this.keys.acknowledged(version, performance.now());
  }

  private startLagTimer(): NodeJS.Timeout {
    let expected = performance.now() + LAG_PERIOD_MS;
    return setInterval(() => {
      const now = performance.now();
      this.lags.push({ at: now, ms: Math.max(0, now - expected) });
      expected = now + LAG_PERIOD_MS;
    }, LAG_PERIOD_MS);
  }

  /** Longest delay of this process within the last `LAG_WINDOW_MS`, in ms. */
  private lagMs(): number {
    const since = performance.now() - LAG_WINDOW_MS;
    let longest = 0;
    for (let index = this.lags.length - 1; index >= 0 && this.lags[index]!.at >= since; index -= 1) {
      longest = Math.max(longest, this.lags[index]!.ms);
    }
    return longest;
  }

  private createReport(disturbances: number, calmFrom: number): SoakReport {
    const history: History = {
      calls: this.calls,
      arrivals: this.arrivals,
      leavingSince: this.leavingSince,
      stoppedAt: this.stoppedAt,
      routedAt: this.routedAt,
      gatewayDisturbances: this.gatewayDisturbances,
      storeDisturbances: this.storeDisturbances,
      keys: this.keys.keys,
      providerCalls: this.provider.calls,
      stops: this.stops,
      calmFrom,
    };
    return {
      seed: this.opts.seed,
      calls: this.calls.length,
      served: this.calls.filter(({ status, complete }) => status === 200 && complete).length,
      disturbances,
      longestLagMs: Math.round(this.lags.reduce((most, { ms }) => Math.max(most, ms), 0)),
      violations: findViolations(history, BOUNDS),
    };
  }
}

/** Runs real gateways under the disturbances of one seed, and checks what callers and backend servers saw. */
export function runSoak(opts: SoakOptions): Promise<SoakReport> {
  return new Soak(opts).run();
}
