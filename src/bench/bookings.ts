import { BookingSimulation } from './bookingsimulation.js';
import { randomBookingSchedule } from './bookingschedule.js';
import type { BookingSchedule } from './bookingschedule.js';
import type { Experiment, ExperimentResult } from './experiment.js';
import { round } from './summary.js';

/** Number of schedules that each variant runs. */
const SCHEDULES_PER_VARIANT: Record<string, number> = {
  faults: 2_000, healthy: 500, single: 20, burst: 20,
};

/** Sums over all schedules of a variant, printed as they are. */
interface Totals {
  schedules: number;
  doubleRuns: number;
  falseNo: number;
  storeCalls: number;
  keys: number;
  readonly answers: Record<string, number>;
}

const VARIANTS: Record<string, (seed: number) => BookingSchedule> = {
  faults: randomBookingSchedule,
  /** The attempts of `faults`, about four per key, without any fault. */
  healthy: (seed) => ({ ...randomBookingSchedule(seed), faults: [] }),
  /** One attempt per key, 50 in one second: measures the calls to the key-value service per booking. */
  single: (seed) => ({
    seed,
    faults: [],
    attempts: Array.from({ length: 50 }, (_, index) => ({
      at: index * 20, entry: index, key: index, deadlineMs: 1_000, otherBody: false,
    })),
  }),
  /** 50 bookings at each entry at the same time, which are batched into shared calls. */
  burst: (seed) => ({
    seed,
    faults: [],
    attempts: Array.from({ length: 150 }, (_, index) => ({
      at: 10, entry: index, key: index, deadlineMs: 1_000, otherBody: false,
    })),
  }),
};

async function measure(
  seed: number,
  createSchedule: (seed: number) => BookingSchedule,
  schedules: number,
): Promise<Totals> {
  const totals: Totals = {
    schedules, doubleRuns: 0, falseNo: 0, storeCalls: 0, keys: 0, answers: {},
  };
  for (let index = 0; index < schedules; index += 1) {
    const report = await new BookingSimulation(createSchedule(seed * 100_000 + index)).run();
    totals.doubleRuns += report.violations.filter((violation) => violation.startsWith('I6')).length;
    totals.falseNo += report.violations.filter((violation) => violation.startsWith('I5')).length;
    totals.storeCalls += report.storeCalls;
    totals.keys += report.keys;
    for (const [kind, count] of Object.entries(report.answers)) {
      totals.answers[kind] = (totals.answers[kind] ?? 0) + count;
    }
  }
  return totals;
}

/** Experiment: bookings run at most once, over random schedules of faults. */
export const bookings: Experiment = {
  name: 'bookings',
  shows: 'non-idempotent bookings over seeded fault schedules',
  target: 'double runs 0, false `ran: no` 0 over >= 1,000 schedules; share of unknown reported',
  variants: Object.keys(VARIANTS),
  async run(opts): Promise<ExperimentResult> {
    const figure: Record<string, number> = {};
    let pass = true;
    for (const [variant, createSchedule] of Object.entries(VARIANTS)) {
      if (opts.variant !== undefined && opts.variant !== variant) continue;
      const totals = await measure(opts.seed, createSchedule, SCHEDULES_PER_VARIANT[variant]!);
      const answered = Object.values(totals.answers).reduce((sum, count) => sum + count, 0);
      const unknownShare = round((totals.answers.unknown ?? 0) / answered, 3);
      const callsPerBooking = round(totals.storeCalls / totals.keys);
      opts.emit({
        variant, ...totals, unknownShare, callsPerBooking,
      });
      pass &&= totals.doubleRuns === 0 && totals.falseNo === 0;
      Object.assign(figure, {
        [`${variant}DoubleRuns`]: totals.doubleRuns,
        [`${variant}FalseNo`]: totals.falseNo,
        [`${variant}UnknownShare`]: unknownShare,
        [`${variant}CallsPerKey`]: callsPerBooking,
      });
    }
    return { pass, figure };
  },
};
