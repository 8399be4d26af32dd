import { mkdirSync } from 'node:fs';
import { setTimeout as wait } from 'node:timers/promises';
import { bundleProgram } from '../demo/bundle.js';
import { StoreStandIn } from '../emulator/platformstore.js';
import { SeededRandom } from '../emulator/random.js';
import { assertNever } from '../core/result.js';
import { SoakCaller } from './callers.js';
import { CallType, findViolations } from './checks.js';
import type {
  Arrival, Bounds, CallRecord, History, Span, StopRecord, Violation,
} from './checks.js';
import { configuration } from './configuration.js';
import { DisturbanceKind, planDisturbances } from './plan.js';
import type { Disturbance } from './plan.js';
import { GatewayProcess, GRACE_MS } from './processes.js';
import { ServerFleet } from './servers.js';

/** Bounds of the users' platform. */
const BOUNDS: Bounds = {
  drainMs: 2_000, contactMs: 3_000, applyMs: 2_000, graceMs: GRACE_MS,
};

/** Time in ms without disturbances at the end of a run, beyond which gateways are in touch with the store again. */
const CALM_MS = 5_000;

const SERVERS = 4;

const CALLERS_PER_GATEWAY = 3;

const LAG_PERIOD_MS = 20;

/** Time in ms over which the longest delay of the soak's own process counts. */
const LAG_WINDOW_MS = 500;

/** Options of {@link runSoak}; times in ms. */
export interface SoakOptions {
  readonly root: string;
  /** Holds the program, settings and logs of a run. */
  readonly directory: string;
  readonly seed: number;
  readonly durationMs: number;
  readonly gateways: number;
  /** Second number of the loopback addresses, so that runs beside each other have addresses of their own. */
  readonly network: number;
  readonly say: (text: string) => void;
}

/** What a run found. */
export interface SoakReport {
  readonly seed: number;
  readonly calls: number;
  readonly served: number;
  readonly disturbances: number;
  /** Longest delay in ms of the soak's own process. */
  readonly longestLagMs: number;
  readonly violations: readonly Violation[];
}

/** One run: gateways as processes, callers, backend servers and a store, disturbed by the plan of its seed. */
class Soak {
  private readonly store = new StoreStandIn();

  private readonly random: SeededRandom;

  private readonly calls: CallRecord[] = [];

  private readonly arrivals: Arrival[] = [];

  private readonly leftAt = new Map<string, number>();

  private readonly goneAt = new Map<string, number>();

  private readonly routedAt = new Map<string, number>();

  private readonly disturbed = new Map<string, Span[]>();

  private readonly storeDisturbed: Span[] = [];

  private readonly stops: StopRecord[] = [];

  private readonly added: string[] = [];

  private readonly restarting = new Set<GatewayProcess>();

  private readonly lags: { readonly at: number; readonly ms: number }[] = [];

  private gateways: GatewayProcess[] = [];

  private storeOutages = 0;

  public constructor(private readonly opts: SoakOptions) {
    this.random = new SeededRandom(opts.seed);
  }

  public async run(): Promise<SoakReport> {
    const {
      seed, durationMs, say, directory, root,
    } = this.opts;
    mkdirSync(directory, { recursive: true });
    const program = await bundleProgram(root, directory);
    await this.store.start();
    this.store.put('op/config', configuration(1, []));
    const fleet = new ServerFleet(this.store, 'shop', {
      now: () => performance.now(),
      lagMs: () => this.lagMs(),
      arrived: (arrival) => this.arrivals.push(arrival),
      left: (id) => this.leftAt.set(id, performance.now()),
      gone: (id) => this.goneAt.set(id, performance.now()),
    });
    const stop = new AbortController();
    const lagTimer = this.watchLag();
    try {
      for (let index = 0; index < SERVERS; index += 1) await fleet.add();
      const ips = Array.from({ length: this.opts.gateways }, (_, index) => `127.${this.opts.network}.0.${index + 1}`);
      this.gateways = ips.map((ip) => new GatewayProcess(ip, {
        program, directory, store: this.store.address, seeds: ips.slice(0, 3),
      }));
      await Promise.all(this.gateways.map((gateway) => gateway.start()));
      // Gateways must have been in touch before the first bound counts.
      await wait(BOUNDS.contactMs);
      const callers = this.startCallers(stop.signal);
      const plan = planDisturbances(seed, durationMs);
      const begin = performance.now();
      await Promise.all(plan.map(async (disturbance) => {
        await wait(Math.max(0, begin + disturbance.at - performance.now()));
        say(`${(disturbance.at / 1_000).toFixed(1)} s ${disturbance.kind} ${Math.round(disturbance.forMs)} ms`);
        await this.disturb(disturbance, fleet);
      }));
      const calmFrom = performance.now();
      await wait(CALM_MS);
      stop.abort();
      await Promise.all(callers);
      return this.report(plan.length, calmFrom);
    } finally {
      stop.abort();
      clearInterval(lagTimer);
      for (const gateway of this.gateways) gateway.dispose();
      fleet.stop();
      this.store.stop();
    }
  }

  private startCallers(signal: AbortSignal): readonly Promise<void>[] {
    const gateways = this.gateways.map(({ callers }) => callers);
    return Array.from({ length: CALLERS_PER_GATEWAY * gateways.length }, (_, index) => new SoakCaller(`c${index}`, {
      random: new SeededRandom(this.opts.seed * 1_000 + index),
      now: () => performance.now(),
      gateways,
      path: (type) => this.pathOf(type),
      record: (call) => this.calls.push(call),
    }).run(signal));
  }

  private pathOf(type: CallType): string {
    const name = type === CallType.Look ? this.random.pick([type, ...this.added]) : type;
    return `/${name}/x`;
  }

  private async disturb({ kind, forMs, draw }: Disturbance, fleet: ServerFleet): Promise<void> {
    const gateway = this.gateways[Math.floor(draw * this.gateways.length)]!;
    switch (kind) {
      case DisturbanceKind.Cut: return this.during(gateway, () => gateway.cut(forMs));
      case DisturbanceKind.Pause: return this.during(gateway, () => gateway.pause(forMs));
      case DisturbanceKind.Reset: return this.during(gateway, async () => gateway.resetPath());
      case DisturbanceKind.StoreDown: return this.withStore(() => this.storeDown(forMs, draw < 0.5));
      case DisturbanceKind.Compact: return this.withStore(async () => this.store.compact());
      case DisturbanceKind.Kill: return this.during(gateway, () => this.restart(gateway, 'SIGKILL'));
      case DisturbanceKind.Stop: return this.restart(gateway, 'SIGTERM');
      case DisturbanceKind.Drain: return fleet.replace(draw, 'drain');
      case DisturbanceKind.Leave: return fleet.replace(draw, 'leave');
      case DisturbanceKind.Crash: return fleet.replace(draw, 'crash');
      case DisturbanceKind.Configure: return this.configure();
      default: return assertNever(kind);
    }
  }

  private async during(gateway: GatewayProcess, act: () => Promise<void>): Promise<void> {
    const from = performance.now();
    const spans = this.disturbed.get(gateway.callers) ?? [];
    this.disturbed.set(gateway.callers, spans);
    await act();
    spans.push({ from, to: performance.now() });
  }

  private async withStore(act: () => Promise<void>): Promise<void> {
    const from = performance.now();
    await act();
    this.storeDisturbed.push({ from, to: performance.now() });
  }

  private async storeDown(forMs: number, silent: boolean): Promise<void> {
    this.storeOutages += 1;
    this.store.fault = (_req, res) => {
      if (!silent) res.destroy();
      return true;
    };
    await wait(forMs);
    this.storeOutages -= 1;
    if (this.storeOutages === 0) this.store.fault = () => false;
  }

  /** Ends a gateway and starts it again; one that is being restarted already only gets the signal. */
  private async restart(gateway: GatewayProcess, signal: 'SIGKILL' | 'SIGTERM'): Promise<void> {
    if (this.restarting.has(gateway)) {
      if (signal === 'SIGKILL') await gateway.end(signal);
      return;
    }
    this.restarting.add(gateway);
    const at = performance.now();
    const exitCode = await gateway.end(signal);
    if (signal === 'SIGTERM') {
      this.stops.push({
        gateway: gateway.callers, at, tookMs: performance.now() - at, exitCode,
      });
    }
    await this.during(gateway, () => gateway.start());
    this.restarting.delete(gateway);
  }

  private async configure(): Promise<void> {
    const name = `new-${this.added.length}`;
    this.store.put('op/config', configuration(this.added.length + 2, [...this.added, name]));
    this.added.push(name);
    this.routedAt.set(`/${name}/x`, performance.now());
  }

  private watchLag(): NodeJS.Timeout {
    let expected = performance.now() + LAG_PERIOD_MS;
    return setInterval(() => {
      const now = performance.now();
      this.lags.push({ at: now, ms: Math.max(0, now - expected) });
      expected = now + LAG_PERIOD_MS;
    }, LAG_PERIOD_MS);
  }

  /** Longest delay of this process of late, in ms. */
  private lagMs(): number {
    const since = performance.now() - LAG_WINDOW_MS;
    let longest = 0;
    for (let index = this.lags.length - 1; index >= 0 && this.lags[index]!.at >= since; index -= 1) {
      longest = Math.max(longest, this.lags[index]!.ms);
    }
    return longest;
  }

  private report(disturbances: number, calmFrom: number): SoakReport {
    const history: History = {
      calls: this.calls,
      arrivals: this.arrivals,
      leftAt: this.leftAt,
      goneAt: this.goneAt,
      routedAt: this.routedAt,
      disturbed: this.disturbed,
      storeDisturbed: this.storeDisturbed,
      stops: this.stops,
      calmFrom,
    };
    return {
      seed: this.opts.seed,
      calls: this.calls.length,
      served: this.calls.filter(({ status, whole }) => status === 200 && whole).length,
      disturbances,
      longestLagMs: Math.round(this.lags.reduce((most, { ms }) => Math.max(most, ms), 0)),
      violations: findViolations(history, BOUNDS),
    };
  }
}

/** Plays one seed: real gateways, disturbed from outside, and checks what callers and backend servers see. */
export function runSoak(opts: SoakOptions): Promise<SoakReport> {
  return new Soak(opts).run();
}
