import { HostState } from '../core/interfaces/index.js';
import type { DrainReport } from '../core/membership/index.js';
import { editFleet } from '../scenario/fleets.js';
import type { Experiment, Verdict } from './experiment.js';
import { LeavingLoad } from './leavingload.js';
import { round, seedsFrom } from './summary.js';

const TARGET_MS = 3_000;
const OBSERVED_MS = 15_000;
const DRAINED_ENTRIES = 2;
const DRAIN_WAIT_MS = 1_000;
const DRAIN_LIMIT_MS = 90_000;

/** Figures of one run. */
interface Figures {
  readonly cut: number;
  readonly cuts: Readonly<Record<string, number>>;
  readonly calls: number;
  /** Longest time in ms from the first leaving signal to the last call sent to the server. */
  readonly lastWorkMs: number;
  readonly details: Readonly<Record<string, unknown>>;
}

function figures(load: LeavingLoad, lastWorkMs: number, details: Record<string, unknown>): Figures {
  return {
    cut: load.counts.cut, cuts: load.cuts, calls: load.counts.calls, lastWorkMs, details,
  };
}

/** Servers leave by each of the sources, while the host list calls them live unless it is the source itself. */
async function leaveServers(seed: number): Promise<Figures> {
  const load = new LeavingLoad(seed);
  await load.start();
  const { clock, standIns } = load.deployment;
  const signalledAt = clock.monotonic();
  standIns.engines.get('e1')!.leaving = true;
  standIns.services.get('s1')!.leaving = true;
  standIns.hosts.set('eh2', 'd2', HostState.Leaving);
  standIns.hosts.set('sh2', 'd2', HostState.Leaving);
  const draining = editFleet(editFleet(load.fleetFile, 'engine.e3', 'state', 'draining'), 'server.s3', 'state', 'draining');
  void load.deployment.get('n2')!.entry.apply(draining, undefined, 2_000);
  // A stale reading of the list must not bring a server back.
  clock.after(6_000, () => {
    standIns.hosts.set('eh2', 'd2', HostState.Live);
    standIns.hosts.set('sh2', 'd2', HostState.Live);
  });
  await clock.advance(OBSERVED_MS);
  const lastMs = Object.fromEntries(['e1', 's1', 'e2', 's2', 'e3', 's3'].map((server) => (
    [server, Math.max(0, (load.lastWork.get(server) ?? 0) - signalledAt)]
  )));
  await load.finish();
  return figures(load, Math.max(...Object.values(lastMs)), { lastMs });
}

/** Entries are stopped one after the other and replaced, while callers keep their address answers. */
async function stopEntries(seed: number): Promise<Figures> {
  const load = new LeavingLoad(seed);
  await load.start();
  const { deployment } = load;
  const reports: DrainReport[] = [];
  for (const name of deployment.names.slice(0, DRAINED_ENTRIES)) {
    let report: DrainReport | null = null;
    void deployment.get(name)!.entry.drain().then((result) => {
      report = result;
      load.close(name);
    });
    for (let waited = 0; report === null && waited < DRAIN_LIMIT_MS; waited += DRAIN_WAIT_MS) {
      await deployment.clock.advance(DRAIN_WAIT_MS);
    }
    if (report !== null) reports.push(report);
    load.reopen(name);
    await deployment.clock.advance(2_000);
  }
  await load.finish();
  const cut = reports.reduce((sum, report) => sum + report.cut, 0);
  return figures(load, 0, {
    drains: reports.length,
    longestDrainMs: Math.max(...reports.map(({ durationMs }) => Math.round(durationMs))),
    handedOver: reports.reduce((sum, { handedOver }) => sum + handedOver, 0),
    cutByReport: cut,
    resumed: load.counts.resumed,
  });
}

const VARIANTS: Record<string, (seed: number) => Promise<Figures>> = { servers: leaveServers, entries: stopEntries };

/** Planned stops and leaving servers under load. */
export const leaving: Experiment = {
  name: 'leaving',
  shows: 'planned stop of entries, and leaving servers while the host list lags',
  target: 'requests cut 0, last new work within 3 s',
  variants: Object.keys(VARIANTS),
  async run(opts): Promise<Verdict> {
    const figure: Record<string, number> = {};
    let pass = true;
    for (const [variant, run] of Object.entries(VARIANTS)) {
      if (opts.variant !== undefined && opts.variant !== variant) continue;
      const runs: Figures[] = [];
      for (const seed of seedsFrom(opts.seed)) {
        runs.push(await run(seed));
        opts.emit({ variant, runSeed: seed, ...runs.at(-1)! });
      }
      const cut = runs.reduce((sum, result) => sum + result.cut, 0);
      const lastWorkMs = Math.max(...runs.map((result) => result.lastWorkMs));
      pass &&= cut === 0 && lastWorkMs <= TARGET_MS;
      figure[`${variant}Cut`] = cut;
      figure[`${variant}Calls`] = runs.reduce((sum, result) => sum + result.calls, 0);
      if (variant === 'servers') figure.lastNewWorkMs = round(lastWorkMs, 0);
    }
    return { pass, figure };
  },
};
