import { SCALING_LIMITS, ScaledFleet } from '../emulator/scaledfleet.js';
import { SeededRandom } from '../emulator/random.js';
import type { Experiment, ExperimentResult } from './experiment.js';
import { round } from './summary.js';

const DURATION_MS = 180_000;

const STEP_MS = 500;

/** Servers in each failure domain at the start, all of them lasting. */
const FIRST_SERVERS = 10;

const BASE_LOAD = 8;

/** Time in ms after which the mix shifts from one kind of work to the other. */
const SHIFT_MS = 2_800;

/** Load of each kind of work, as a share of the base load. */
const MIX = [1.7, 0.6];

const CREST = { from: 60_000, until: 75_000, factor: 2.4 };

const RECLAIM = { at: 110_000, exhaustedForMs: 8_000, failureDomain: 'b' };

/** Servers of the cheaper kind beyond the load that a planner with foresight keeps. */
const FORESIGHT_SPARE = 1;

const VARIANTS = ['all-on', 'planner', 'foresight'];

function loadAt(at: number, noise: number): number {
  const mix = MIX[Math.floor(at / SHIFT_MS) % MIX.length]!;
  const crest = at >= CREST.from && at < CREST.until ? CREST.factor : 1;
  return BASE_LOAD * mix * crest * noise;
}

/** Price of the servers that are there, in servers of price 1. */
function priceOf(fleet: ScaledFleet): number {
  return [...SCALING_LIMITS.domainPrices].reduce((sum, [failureDomain, price]) => (
    fleet.present(failureDomain).reduce((total, { reclaimable }) => (
      total + price * (reclaimable ? SCALING_LIMITS.reclaimablePrice ?? 1 : 1)
    ), sum)
  ), 0);
}

interface DayFigures {
  readonly variant: string;
  readonly price: number;
  readonly served: number;
  readonly worst_step: number;
  readonly orders: number;
}

/** Plays a day at a planner of the product, or at all servers that were there at first. */
async function playFleet(variant: string, seed: number): Promise<DayFigures> {
  const fleet = new ScaledFleet(FIRST_SERVERS);
  fleet.mayAct = variant === 'planner';
  const random = new SeededRandom(seed);
  let [price, served, offered, worst] = [0, 0, 0, 1];
  for (let at = 0; at < DURATION_MS; at += STEP_MS) {
    fleet.load = loadAt(at, 0.9 + 0.2 * random.float());
    if (at === RECLAIM.at) fleet.reclaim(RECLAIM.failureDomain);
    if (at === RECLAIM.at + RECLAIM.exhaustedForMs) fleet.exhausted.clear();
    await fleet.clock.advance(STEP_MS);
    const share = Math.min(1, fleet.present().length / fleet.load);
    price += (priceOf(fleet) * STEP_MS) / 1_000;
    offered += fleet.load;
    served += fleet.load * share;
    worst = Math.min(worst, share);
  }
  return {
    variant,
    price: round(price, 0),
    served: round(served / offered, 4),
    worst_step: round(worst, 3),
    orders: fleet.orders.length,
  };
}

/** Price of servers of the cheaper kind that are there exactly when the load needs them. */
function playForesight(seed: number): DayFigures {
  const random = new SeededRandom(seed);
  const cheapest = Math.min(...SCALING_LIMITS.domainPrices.values()) * (SCALING_LIMITS.reclaimablePrice ?? 1);
  let price = 0;
  for (let at = 0; at < DURATION_MS; at += STEP_MS) {
    const servers = Math.ceil(loadAt(at, 0.9 + 0.2 * random.float())) + FORESIGHT_SPARE;
    price += (servers * cheapest * STEP_MS) / 1_000;
  }
  return {
    variant: 'foresight', price: round(price, 0), served: 1, worst_step: 1, orders: 0,
  };
}

/** Measures what ordered servers cost and serve, against all servers on and against a planner that knows the load. */
export const capacity: Experiment = {
  name: 'capacity',
  shows: 'price of servers and share of the load served through shifting mixes, a crest and servers taken back',
  target: 'at most half of the price of all servers on, and at least 0.98 of the share that they serve',
  variants: VARIANTS,
  run: async ({ emit, seed, variant: only }): Promise<ExperimentResult> => {
    const lines: DayFigures[] = [];
    for (const variant of VARIANTS.filter((name) => only === undefined || name === only)) {
      const line = variant === 'foresight' ? playForesight(seed) : await playFleet(variant, seed);
      emit({ ...line });
      lines.push(line);
    }
    const find = (name: string): DayFigures | undefined => lines.find(({ variant }) => variant === name);
    const [all, planner, foresight] = [find('all-on'), find('planner'), find('foresight')];
    if (all === undefined || planner === undefined) return { pass: false, figure: { missing: 'a variant' } };
    return {
      pass: planner.price <= all.price / 2 && planner.served >= 0.98 * all.served,
      figure: {
        price_of_all_on: round(planner.price / all.price, 3),
        price_of_foresight: foresight === undefined ? 0 : round(planner.price / foresight.price, 2),
        served: planner.served,
        worst_step: planner.worst_step,
      },
    };
  },
};
