import { Priority } from '../core/interfaces/index.js';
import { createDaemonEntryFactory } from './daemonentry.js';
import type { Experiment, RunOptions, ExperimentResult } from './experiment.js';
import {
  ENTRY_COUNT, USER_FLEETS, createFifoDispatcher, createPolicyDispatcherFactory, mixArrivals, runFleet,
} from './fleets.js';
import type { CreateDispatcher, FleetRun, UserFleet } from './fleets.js';
import { firstTokenMs, meetsServiceLevel, quantile } from './simulation.js';
import type { RequestRecord } from './attempt.js';
import {
  selectArrivals, goodput, round, listSeeds, computeSpread, createVariantLine,
} from './summary.js';

const STEADY_RATES = [15, 20, 25, 30, 40, 60];
const STEADY_MS = 40_000;
const STEADY_SEEDS = 2;
const WARM_UP_MS = 10_000;

/** The load ramps up at this time, stays at its peak, and ramps down again. */
const RISE_AT_MS = 20_000;
const FALL_AT_MS = 45_000;
const RAMP_MS = 3_000;
const END_MS = 75_000;
/** Load before and after the peak, and at the peak, as shares of the capacity. */
const BASE_LOAD_SHARE = 0.5;
const PEAK_LOAD_SHARE = 2;

const RECOVERY_WINDOW_MS = 5_000;
/** Share of good answers, relative to the time before the peak, that counts as recovered. */
const RECOVERED_SHARE = 0.95;

const GOODPUT_TARGET = 0.9;
const URGENT_TARGET = 1.2;
const RECOVERY_TARGET_MS = 5_000;

const VARIANTS: Readonly<Record<string, CreateDispatcher>> = {
  baseline: createFifoDispatcher,
  admission: createPolicyDispatcherFactory(),
  policy: createDaemonEntryFactory(ENTRY_COUNT),
};

/** Load at a time as a share of capacity: it ramps up within `RAMP_MS`, stays at the peak, and ramps down. */
export function peakLoad(timeMs: number): number {
  const risen = Math.min(1, Math.max(0, (timeMs - RISE_AT_MS) / RAMP_MS));
  const down = Math.min(1, Math.max(0, (timeMs - FALL_AT_MS) / RAMP_MS));
  return BASE_LOAD_SHARE + (PEAK_LOAD_SHARE - BASE_LOAD_SHARE) * (risen - down);
}

/** Highest mean goodput over the steady loads, in answers per second. */
function measurePeakGoodput(user: UserFleet, seed: number, create: CreateDispatcher): number {
  return Math.max(...STEADY_RATES.map((rate) => {
    const seeds = listSeeds(seed).slice(0, STEADY_SEEDS);
    const sum = seeds.reduce((total, each) => {
      const run = runFleet(user, each, create, mixArrivals(user, each, () => rate, rate, STEADY_MS), STEADY_MS);
      return total + goodput(run.records, WARM_UP_MS, STEADY_MS);
    }, 0);
    return sum / seeds.length;
  }));
}

/** 99th percentile of the time to the first token of urgent requests, in ms. */
function urgentP99(records: readonly RequestRecord[]): number {
  const urgent = records.filter(({ arrival, firstTokenAt }) => (
    arrival.priority === Priority.Urgent && firstTokenAt !== null
  ));
  return quantile(urgent.map(firstTokenMs), 0.99);
}

/** Share of records that meet the service level; 1 when there are none. */
function goodShare(records: readonly RequestRecord[]): number {
  return records.length === 0 ? 1 : records.filter((record) => meetsServiceLevel(record)).length / records.length;
}

/** Time in ms from the end of the ramp down until the share of good answers has recovered, over all seeds. */
function computeRecoveryMs(runs: readonly FleetRun[]): number {
  const all = runs.flatMap(({ records }) => records);
  const before = goodShare(selectArrivals(all, WARM_UP_MS, RISE_AT_MS));
  const fallEndMs = FALL_AT_MS + RAMP_MS;
  for (let at = fallEndMs; at + RECOVERY_WINDOW_MS <= END_MS; at += 500) {
    if (goodShare(selectArrivals(all, at, at + RECOVERY_WINDOW_MS)) >= RECOVERED_SHARE * before) return at - fallEndMs;
  }
  return Infinity;
}

interface PeakFigures {
  /** Goodput during the peak load as a share of the highest steady goodput. */
  readonly goodputOfPeak: number;
  /** p99 of urgent first tokens during the peak over that of a run with urgent requests only. */
  readonly urgentRatio: number;
  readonly recoveryMs: number;
}

function runVariant(user: UserFleet, variant: string, opts: RunOptions, capacity: number): PeakFigures {
  const create = VARIANTS[variant]!;
  const ownPeakGoodput = variant === 'policy' ? capacity : measurePeakGoodput(user, opts.seed, create);
  const rate = (timeMs: number): number => capacity * peakLoad(timeMs);
  const arrivals = (seed: number) => mixArrivals(user, seed, rate, capacity * PEAK_LOAD_SHARE, END_MS);
  const runs = listSeeds(opts.seed).map((seed) => runFleet(user, seed, create, arrivals(seed), END_MS));
  const plateau: [number, number] = [RISE_AT_MS + RAMP_MS, FALL_AT_MS];
  const plateauGoodputs = runs.map(({ records }) => goodput(records, ...plateau));
  const urgentOnlyRuns = listSeeds(opts.seed).map((seed) => {
    const urgent = arrivals(seed).filter(({ priority }) => priority === Priority.Urgent);
    return runFleet(user, seed, create, urgent, END_MS);
  });
  const uncontended = urgentP99(urgentOnlyRuns.flatMap(({ records }) => selectArrivals(records, ...plateau)));
  const contended = urgentP99(runs.flatMap(({ records }) => selectArrivals(records, ...plateau)));
  const urgentRatio = uncontended === 0 ? 0 : contended / uncontended;
  const figures = {
    goodputOfPeak: round(computeSpread(plateauGoodputs).median / ownPeakGoodput, 3),
    urgentRatio: round(urgentRatio, 3),
    recoveryMs: computeRecoveryMs(runs),
  };
  opts.emit(createVariantLine(`${user.name}/${variant}`, runs, END_MS, {
    capacity: round(capacity, 1),
    peakGoodput: round(ownPeakGoodput, 1),
    goodputAtPeak: computeSpread(plateauGoodputs),
    urgentP99: { uncontended: round(uncontended, 1), contended: round(contended, 1) },
    ...figures,
    recoveryMs: Number.isFinite(figures.recoveryMs) ? figures.recoveryMs : 'not within the run',
  }));
  return figures;
}

/** Measures goodput, urgent latency and recovery while the load rises to twice the capacity and falls back. */
export const peak: Experiment = {
  name: 'peak',
  shows: 'goodput, urgent work and recovery when the load rises to 2 x capacity; capacity is the highest steady goodput',
  target: 'goodput >= 0.9 x its peak; urgent p99 TTFT <= 1.2 x uncontended; recovered within 5 s',
  variants: Object.keys(VARIANTS),
  async run(opts): Promise<ExperimentResult> {
    const results: PeakFigures[] = [];
    for (const user of USER_FLEETS) {
      const capacity = measurePeakGoodput(user, opts.seed, VARIANTS.policy!);
      for (const variant of Object.keys(VARIANTS)) {
        if (opts.variant !== undefined && opts.variant !== variant) continue;
        const figures = runVariant(user, variant, opts, capacity);
        if (variant === 'policy') results.push(figures);
      }
    }
    const figure = {
      goodputOfPeak: Math.min(...results.map(({ goodputOfPeak }) => goodputOfPeak)),
      urgentRatio: Math.max(...results.map(({ urgentRatio }) => urgentRatio)),
      recoveryMs: Math.max(...results.map((each) => each.recoveryMs)),
    };
    const pass = results.length > 0 && figure.goodputOfPeak >= GOODPUT_TARGET && figure.urgentRatio <= URGENT_TARGET
      && figure.recoveryMs <= RECOVERY_TARGET_MS;
    return { pass, figure };
  },
};
