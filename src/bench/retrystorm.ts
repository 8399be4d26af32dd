import type { Random } from '../core/interfaces/index.js';
import { RetryBudget, RetryPolicy, SendStatus } from '../core/retries.js';
import { SimulatedClock } from '../emulator/clock.js';
import { SeededRandom } from '../emulator/random.js';
import type { Experiment, RunOptions, ExperimentResult } from './experiment.js';
import { quantile } from './simulation.js';
import { round, listSeeds, computeSpread } from './summary.js';

const WORKERS = 20;
const SERVICE_MS = 100;
/** Calls per second that the server finishes at full load. */
const CAPACITY = (WORKERS / SERVICE_MS) * 1_000;
const MAX_QUEUED = 100;
const TIMEOUT_MS = 800;
/** Time after which a call is not retried any more. */
const DEADLINE_MS = 4_000;
const ENTRIES = 6;
/** Serial callers of the outage scenario. */
const SERIAL_CALLERS = 15;
/** Number of serial callers that is enough to overload the server. */
const SERIAL_OVERLOAD_CALLERS = 200;
/** Pause of a serial caller between the end of a call and its next call. */
const THINK_MS = 100;
/** Minimum delay before a refused call can be retried. */
const ROUND_TRIP_MS = 20;

const OVERLOAD_MS = 20_000;
const OUTAGE_AT_MS = 10_000;
const OUTAGE_MS = 2_000;
const OUTAGE_RUN_MS = 30_000;
const RECOVERY_WINDOW_MS = 500;

/** Backend server with workers and a bounded queue; it also executes calls that their caller has given up. */
class StormServer {
  private readonly queue: (() => void)[] = [];

  private busy = 0;

  public attempts = 0;

  public down = false;

  public constructor(private readonly clock: SimulatedClock, private readonly random: SeededRandom) {}

  /** Queues a call and calls `done` when it is finished, or `refused` when the queue is full or the server is down. */
  public call(done: () => void, refused: () => void): void {
    this.attempts += 1;
    if (this.down || this.queue.length >= MAX_QUEUED) {
      refused();
      return;
    }
    this.queue.push(done);
    this.startQueued();
  }

  private startQueued(): void {
    while (this.busy < WORKERS) {
      const done = this.queue.shift();
      if (done === undefined) return;
      this.busy += 1;
      this.clock.after(this.random.exponential(SERVICE_MS), () => {
        this.busy -= 1;
        done();
        this.startQueued();
      });
    }
  }
}

interface Variant {
  readonly budget: boolean;
  readonly backoff: boolean;
}

const VARIANTS: Readonly<Record<string, Variant>> = {
  baseline: { budget: false, backoff: false },
  'backoff-only': { budget: false, backoff: true },
  'budget-only': { budget: true, backoff: false },
  policy: { budget: true, backoff: true },
};

/** Retry budget that never runs out, for the variants without a budget. */
class UnlimitedBudget extends RetryBudget {
  public override take(): boolean {
    return true;
  }
}

function createPolicy(clock: SimulatedClock, random: Random, variant: Variant): RetryPolicy {
  return new RetryPolicy({
    clock,
    random,
    budget: variant.budget ? new RetryBudget() : new UnlimitedBudget(),
    ...(variant.backoff ? {} : { baseMs: 0, maxMs: 0 }),
    maxAttempts: 1_000,
  });
}

interface Call {
  readonly at: number;
  answeredAt: number | null;
  failedAt: number | null;
}

/** Entries that call one overloaded or failing server and retry by their policies, on a simulated clock. */
class StormSimulation {
  public readonly clock = new SimulatedClock();

  public readonly random: SeededRandom;

  public readonly server: StormServer;

  public readonly calls: Call[] = [];

  private readonly policies: RetryPolicy[];

  public constructor(seed: number, variant: Variant) {
    this.random = new SeededRandom(seed);
    this.server = new StormServer(this.clock, this.random);
    this.policies = Array.from({ length: ENTRIES }, () => createPolicy(this.clock, this.random, variant));
  }

  /** Starts one call through a random entry; `onCompleted` runs when it is answered or has failed for good. */
  public startCall(onCompleted: () => void = () => {}): void {
    const call: Call = { at: this.clock.monotonic(), answeredAt: null, failedAt: null };
    this.calls.push(call);
    this.attempt(call, this.random.pick(this.policies), 1, onCompleted);
  }

  private attempt(call: Call, policy: RetryPolicy, attempts: number, onEnded: () => void): void {
    let pending = true;
    const failed = (sent: SendStatus): void => {
      if (!pending) return;
      pending = false;
      const decision = policy.decide({
        attempts, sent, safe: true, deadline: call.at + DEADLINE_MS, expectedMs: SERVICE_MS,
      });
      if (decision.retry) {
        const delayMs = Math.max(ROUND_TRIP_MS, decision.delayMs);
        this.clock.after(delayMs, () => this.attempt(call, policy, attempts + 1, onEnded));
        return;
      }
      Object.assign(call, { failedAt: this.clock.monotonic() });
      onEnded();
    };
    const timeout = this.clock.after(TIMEOUT_MS, () => failed(SendStatus.Unknown));
    this.server.call(() => {
      if (!pending) return;
      pending = false;
      timeout.dispose();
      policy.succeeded();
      Object.assign(call, { answeredAt: this.clock.monotonic() });
      onEnded();
    }, () => {
      timeout.dispose();
      failed(SendStatus.No);
    });
  }

  /** Independent callers: calls arrive at a rate in calls per second, whatever happens to earlier ones. */
  public startOpenLoop(ratePerSecond: (timeMs: number) => number, untilMs: number): void {
    const next = (): void => {
      const now = this.clock.monotonic();
      if (now >= untilMs) return;
      this.startCall();
      this.clock.after(this.random.exponential(1_000 / ratePerSecond(now)), next);
    };
    next();
  }

  /** Serial callers: each makes its next call after its previous one has completed. */
  public startClosedLoop(callers: number, untilMs: number): void {
    for (let index = 0; index < callers; index += 1) {
      const next = (): void => {
        if (this.clock.monotonic() < untilMs) this.startCall(() => this.clock.after(THINK_MS, next));
      };
      this.clock.after(this.random.float() * SERVICE_MS, next);
    }
  }
}

interface StormFigures {
  /** Attempts at the server per call, refused ones included. */
  readonly attemptsPerTry: number;
  readonly answeredPerSecond: number;
  /** 99th percentile of the time to an answer, in ms. */
  readonly p99: number;
}

function summarizeStorm(storm: StormSimulation, durationMs: number): StormFigures {
  const answered = storm.calls.filter(({ answeredAt }) => answeredAt !== null);
  return {
    attemptsPerTry: storm.server.attempts / storm.calls.length,
    answeredPerSecond: answered.length / (durationMs / 1_000),
    p99: quantile(answered.map(({ at, answeredAt }) => answeredAt! - at), 0.99),
  };
}

/** Loads the server beyond its capacity for 20 s: 1.5 times with independent callers. */
function runLongOverload(seed: number, variant: Variant, serial: boolean): StormFigures {
  const storm = new StormSimulation(seed, variant);
  if (serial) storm.startClosedLoop(SERIAL_OVERLOAD_CALLERS, OVERLOAD_MS);
  else storm.startOpenLoop(() => 1.5 * CAPACITY, OVERLOAD_MS);
  storm.clock.advanceSync(OVERLOAD_MS + DEADLINE_MS);
  return summarizeStorm(storm, OVERLOAD_MS);
}

interface OutageFigures extends StormFigures {
  readonly recoveryMs: number;
  /** Share of all calls that were not answered. */
  readonly lost: number;
}

/** Runs through a short outage; recovery is the time in ms after it until 95% of the calls are answered in time. */
function runOutage(seed: number, variant: Variant, serial: boolean): OutageFigures {
  const storm = new StormSimulation(seed, variant);
  if (serial) storm.startClosedLoop(SERIAL_CALLERS, OUTAGE_RUN_MS);
  else storm.startOpenLoop(() => 0.7 * CAPACITY, OUTAGE_RUN_MS);
  storm.clock.after(OUTAGE_AT_MS, () => {
    storm.server.down = true;
  });
  const end = OUTAGE_AT_MS + OUTAGE_MS;
  storm.clock.after(end, () => {
    storm.server.down = false;
  });
  storm.clock.advanceSync(OUTAGE_RUN_MS + DEADLINE_MS);
  let recoveryMs = Infinity;
  for (let at = end; at < OUTAGE_RUN_MS - RECOVERY_WINDOW_MS; at += RECOVERY_WINDOW_MS / 5) {
    const window = storm.calls.filter((call) => call.at >= at && call.at < at + RECOVERY_WINDOW_MS);
    const good = window.filter((call) => call.answeredAt !== null && call.answeredAt - call.at <= TIMEOUT_MS);
    if (window.length > 0 && good.length >= 0.95 * window.length) {
      recoveryMs = at - end;
      break;
    }
  }
  const lost = storm.calls.filter(({ answeredAt }) => answeredAt === null).length / storm.calls.length;
  return { ...summarizeStorm(storm, OUTAGE_RUN_MS), recoveryMs, lost };
}

interface VariantFigures {
  /** Median over the seeds of the attempts per call in the long overload, with independent callers. */
  readonly longAttempts: number;
  readonly recoveryMs: number;
}

function runVariant(name: string, opts: RunOptions): VariantFigures {
  const seeds = listSeeds(opts.seed);
  const describe = (runs: readonly StormFigures[]) => ({
    attemptsPerTry: computeSpread(runs.map(({ attemptsPerTry }) => attemptsPerTry), 3),
    answeredPerSecond: computeSpread(runs.map(({ answeredPerSecond }) => answeredPerSecond), 1),
    p99: computeSpread(runs.map(({ p99 }) => p99), 0),
  });
  let longAttempts = 0;
  let recoveryMs = 0;
  for (const serial of [false, true]) {
    const long = seeds.map((seed) => runLongOverload(seed, VARIANTS[name]!, serial));
    const spike = seeds.map((seed) => runOutage(seed, VARIANTS[name]!, serial));
    const recovery = computeSpread(spike.map((run) => run.recoveryMs), 0);
    opts.emit({
      variant: `${serial ? 'serial' : 'independent'}/${name}`,
      longOverload: describe(long),
      spike: { ...describe(spike), recoveryMs: recovery, lost: computeSpread(spike.map(({ lost }) => lost), 3) },
    });
    if (!serial) {
      longAttempts = computeSpread(long.map(({ attemptsPerTry }) => attemptsPerTry), 3).median;
      recoveryMs = recovery.median;
    }
  }
  return { longAttempts, recoveryMs };
}

/** Measures retries in a long overload and after a short outage, with independent and with serial callers. */
export const retryStorm: Experiment = {
  name: 'retry-storm',
  shows: 'a server at 1.5 x its capacity for 20 s, and one that is down for 2 s; independent and serial callers',
  target: 'attempts per first try <= 1.1 in long overload; recovery from the spike as fast as with unlimited retries',
  variants: Object.keys(VARIANTS),
  async run(opts): Promise<ExperimentResult> {
    const measured = new Map<string, VariantFigures>();
    for (const name of Object.keys(VARIANTS)) {
      if (opts.variant === undefined || opts.variant === name) measured.set(name, runVariant(name, opts));
    }
    const policy = measured.get('policy');
    const unlimited = measured.get('backoff-only');
    if (policy === undefined || unlimited === undefined) return { pass: false, figure: { attemptsPerTry: 'not run' } };
    return {
      pass: policy.longAttempts <= 1.1 && policy.recoveryMs <= unlimited.recoveryMs,
      figure: {
        attemptsPerTry: round(policy.longAttempts, 3),
        recoveryMs: policy.recoveryMs,
        unlimitedRecoveryMs: unlimited.recoveryMs,
      },
    };
  },
};
