import { HostState } from '../core/interfaces/index.js';
import type { DrainReport } from '../core/membership/index.js';
import { editFleet } from '../scenario/fleets.js';
import type { Experiment, ExperimentResult } from './experiment.js';
import { LeavingLoad } from './leavingload.js';
import { round, listSeeds } from './summary.js';

/** Largest allowed time from the first leaving signal to the last call sent to the server. */
const TARGET_LAST_CALL_MS = 3_000;
/** Simulated time for which calls are observed after the signals. */
const OBSERVED_MS = 15_000;
/** Number of entries that are stopped. */
const DRAINED_ENTRIES = 2;
const DRAIN_POLL_MS = 1_000;
/** Longest simulated time to wait for the drain of one entry. */
const DRAIN_LIMIT_MS = 90_000;

/** Figures of one run, printed as they are. */
interface Figures {
  /** Calls without a complete and correct answer. */
  readonly cut: number;
  /** The same by what the caller saw. */
  readonly cuts: Readonly<Record<string, number>>;
  readonly calls: number;
  /** Longest time in ms from the leaving signals to the last call sent to a leaving server. */
  readonly lastWorkMs: number;
  readonly details: Readonly<Record<string, unknown>>;
}

function createFigures(load: LeavingLoad, lastWorkMs: number, details: Record<string, unknown>): Figures {
  return {
    cut: load.counts.cut, cuts: load.cuts, calls: load.counts.calls, lastWorkMs, details,
  };
}

/**
 * Lets servers leave by each of the three signals: the server's own flag, the host list, and the fleet file. The host
 * list reports a server as live unless it gives the signal itself.
 */
async function runLeavingServers(seed: number): Promise<Figures> {
  const load = new LeavingLoad(seed);
  await load.start();
  const { clock, standIns } = load.deployment;
  const signalledAt = clock.monotonic();
  standIns.engines.get('e1')!.leaving = true;
  standIns.services.get('s1')!.leaving = true;
  standIns.hosts.set('eh2', 'd2', HostState.Leaving);
  standIns.hosts.set('sh2', 'd2', HostState.Leaving);
  const drainingFleet = editFleet(editFleet(load.fleetFile, 'engine.e3', 'state', 'draining'), 'server.s3', 'state', 'draining');
  void load.deployment.get('n2')!.entry.apply(drainingFleet, undefined, 2_000);
  // The host list reports the servers as live again; this outdated state must not bring them back into use.
  clock.after(6_000, () => {
    standIns.hosts.set('eh2', 'd2', HostState.Live);
    standIns.hosts.set('sh2', 'd2', HostState.Live);
  });
  await clock.advance(OBSERVED_MS);
  const lastMs = Object.fromEntries(['e1', 's1', 'e2', 's2', 'e3', 's3'].map((server) => (
    [server, Math.max(0, (load.lastCallAt.get(server) ?? 0) - signalledAt)]
  )));
  await load.finish();
  return createFigures(load, Math.max(...Object.values(lastMs)), { lastMs });
}

/** Drains entries one after the other and restarts them, while callers go on using cached entry addresses. */
async function runEntryStops(seed: number): Promise<Figures> {
  const load = new LeavingLoad(seed);
  await load.start();
  const { deployment } = load;
  const reports: DrainReport[] = [];
  for (const name of deployment.names.slice(0, DRAINED_ENTRIES)) {
    let report: DrainReport | null = null;
    void deployment.get(name)!.entry.drain().then((result) => {
      report = result;
      load.closeEntry(name);
    });
    for (let waited = 0; report === null && waited < DRAIN_LIMIT_MS; waited += DRAIN_POLL_MS) {
      await deployment.clock.advance(DRAIN_POLL_MS);
    }
    if (report !== null) reports.push(report);
    load.restartEntry(name);
    await deployment.clock.advance(2_000);
  }
  await load.finish();
  const cut = reports.reduce((sum, report) => sum + report.cut, 0);
  return createFigures(load, 0, {
    drains: reports.length,
    longestDrainMs: Math.max(...reports.map(({ durationMs }) => Math.round(durationMs))),
    handedOver: reports.reduce((sum, { handedOver }) => sum + handedOver, 0),
    cutByReport: cut,
    resumed: load.counts.resumed,
  });
}

const VARIANTS: Record<string, (seed: number) => Promise<Figures>> = {
  servers: runLeavingServers, entries: runEntryStops,
};

/** Experiment: planned stops of entries, and leaving servers, under load. */
export const leaving: Experiment = {
  name: 'leaving',
  shows: 'planned stop of entries, and leaving servers while the host list lags',
  target: 'requests cut 0, last new work within 3 s',
  variants: Object.keys(VARIANTS),
  async run(opts): Promise<ExperimentResult> {
    const figure: Record<string, number> = {};
    let pass = true;
    for (const [variant, run] of Object.entries(VARIANTS)) {
      if (opts.variant !== undefined && opts.variant !== variant) continue;
      const runs: Figures[] = [];
      for (const seed of listSeeds(opts.seed)) {
        runs.push(await run(seed));
        opts.emit({ variant, runSeed: seed, ...runs.at(-1)! });
      }
      const cut = runs.reduce((sum, result) => sum + result.cut, 0);
      const lastWorkMs = Math.max(...runs.map((result) => result.lastWorkMs));
      pass &&= cut === 0 && lastWorkMs <= TARGET_LAST_CALL_MS;
      figure[`${variant}Cut`] = cut;
      figure[`${variant}Calls`] = runs.reduce((sum, result) => sum + result.calls, 0);
      if (variant === 'servers') figure.lastNewWorkMs = round(lastWorkMs, 0);
    }
    return { pass, figure };
  },
};
