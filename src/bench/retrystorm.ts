import type { Random } from '../core/interfaces/index.js';
import { RetryBudget, RetryPolicy, SendStatus } from '../core/retries.js';
import { SimulatedClock } from '../emulator/clock.js';
import { SeededRandom } from '../emulator/random.js';
import type { Experiment, RunOptions, Verdict } from './experiment.js';
import { quantile } from './simulation.js';
import { round, seedsFrom, spread } from './summary.js';

const WORKERS = 20;
const SERVICE_MS = 100;
/** Calls that a server of this size finishes in a second. */
const CAPACITY = (WORKERS / SERVICE_MS) * 1_000;
const MAX_QUEUED = 100;
const TIMEOUT_MS = 800;
const DEADLINE_MS = 4_000;
const ENTRIES = 6;
const SERIAL_CALLERS = 15;
/** Serial callers that overload the server by themselves. */
const SERIAL_OVERLOAD_CALLERS = 200;
const THINK_MS = 100;
/** A refused call costs at least this time before it can be repeated. */
const ROUND_TRIP_MS = 20;

const LONG_MS = 20_000;
const SPIKE_AT_MS = 10_000;
const SPIKE_MS = 2_000;
const SPIKE_RUN_MS = 30_000;
const WINDOW_MS = 500;

/** Backend server with workers and a bounded queue; it also works on calls that their caller gave up. */
class StormServer {
  private readonly queue: (() => void)[] = [];

  private busy = 0;

  public attempts = 0;

  public down = false;

  public constructor(private readonly clock: SimulatedClock, private readonly random: SeededRandom) {}

  /** Runs a call; `refused` when the queue is full or the server is down. */
  public call(done: () => void, refused: () => void): void {
    this.attempts += 1;
    if (this.down || this.queue.length >= MAX_QUEUED) {
      refused();
      return;
    }
    this.queue.push(done);
    this.work();
  }

  private work(): void {
    while (this.busy < WORKERS) {
      const done = this.queue.shift();
      if (done === undefined) return;
      this.busy += 1;
      this.clock.after(this.random.exponential(SERVICE_MS), () => {
        this.busy -= 1;
        done();
        this.work();
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

/** Budget that never runs out, for the variants without one. */
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

class Storm {
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

  /** Starts one call through a random entry. */
  public start(settled: () => void = () => {}): void {
    const call: Call = { at: this.clock.monotonic(), answeredAt: null, failedAt: null };
    this.calls.push(call);
    this.attempt(call, this.random.pick(this.policies), 1, settled);
  }

  private attempt(call: Call, policy: RetryPolicy, attempts: number, settled: () => void): void {
    let open = true;
    const failed = (sent: SendStatus): void => {
      if (!open) return;
      open = false;
      const decision = policy.decide({
        attempts, sent, safe: true, deadline: call.at + DEADLINE_MS, expectedMs: SERVICE_MS,
      });
      if (decision.retry) {
        const delayMs = Math.max(ROUND_TRIP_MS, decision.delayMs);
        this.clock.after(delayMs, () => this.attempt(call, policy, attempts + 1, settled));
        return;
      }
      Object.assign(call, { failedAt: this.clock.monotonic() });
      settled();
    };
    const timeout = this.clock.after(TIMEOUT_MS, () => failed(SendStatus.Unknown));
    this.server.call(() => {
      if (!open) return;
      open = false;
      timeout.dispose();
      policy.succeeded();
      Object.assign(call, { answeredAt: this.clock.monotonic() });
      settled();
    }, () => {
      timeout.dispose();
      failed(SendStatus.No);
    });
  }

  /** Independent callers: new calls arrive at a rate in calls a second, whatever happens to earlier ones. */
  public openLoop(ratePerSecond: (timeMs: number) => number, untilMs: number): void {
    const next = (): void => {
      const now = this.clock.monotonic();
      if (now >= untilMs) return;
      this.start();
      this.clock.after(this.random.exponential(1_000 / ratePerSecond(now)), next);
    };
    next();
  }

  /** Serial callers: each makes its next call when the last one has been settled. */
  public closedLoop(callers: number, untilMs: number): void {
    for (let index = 0; index < callers; index += 1) {
      const next = (): void => {
        if (this.clock.monotonic() < untilMs) this.start(() => this.clock.after(THINK_MS, next));
      };
      this.clock.after(this.random.float() * SERVICE_MS, next);
    }
  }
}

interface StormFigures {
  readonly attemptsPerTry: number;
  readonly answeredPerSecond: number;
  readonly p99: number;
}

function figuresOf(storm: Storm, durationMs: number): StormFigures {
  const answered = storm.calls.filter(({ answeredAt }) => answeredAt !== null);
  return {
    attemptsPerTry: storm.server.attempts / storm.calls.length,
    answeredPerSecond: answered.length / (durationMs / 1_000),
    p99: quantile(answered.map(({ at, answeredAt }) => answeredAt! - at), 0.99),
  };
}

function longOverload(seed: number, variant: Variant, serial: boolean): StormFigures {
  const storm = new Storm(seed, variant);
  if (serial) storm.closedLoop(SERIAL_OVERLOAD_CALLERS, LONG_MS);
  else storm.openLoop(() => 1.5 * CAPACITY, LONG_MS);
  storm.clock.advanceSync(LONG_MS + DEADLINE_MS);
  return figuresOf(storm, LONG_MS);
}

interface SpikeFigures extends StormFigures {
  readonly recoveryMs: number;
  /** Share of all calls that were not answered. */
  readonly lost: number;
}

/** Time in ms after a short outage until answers within the timeout are back to 95% of the calls. */
function spikeRecovery(seed: number, variant: Variant, serial: boolean): SpikeFigures {
  const storm = new Storm(seed, variant);
  if (serial) storm.closedLoop(SERIAL_CALLERS, SPIKE_RUN_MS);
  else storm.openLoop(() => 0.7 * CAPACITY, SPIKE_RUN_MS);
  storm.clock.after(SPIKE_AT_MS, () => {
    storm.server.down = true;
  });
  const end = SPIKE_AT_MS + SPIKE_MS;
  storm.clock.after(end, () => {
    storm.server.down = false;
  });
  storm.clock.advanceSync(SPIKE_RUN_MS + DEADLINE_MS);
  let recoveryMs = Infinity;
  for (let at = end; at < SPIKE_RUN_MS - WINDOW_MS; at += WINDOW_MS / 5) {
    const window = storm.calls.filter((call) => call.at >= at && call.at < at + WINDOW_MS);
    const good = window.filter((call) => call.answeredAt !== null && call.answeredAt - call.at <= TIMEOUT_MS);
    if (window.length > 0 && good.length >= 0.95 * window.length) {
      recoveryMs = at - end;
      break;
    }
  }
  const lost = storm.calls.filter(({ answeredAt }) => answeredAt === null).length / storm.calls.length;
  return { ...figuresOf(storm, SPIKE_RUN_MS), recoveryMs, lost };
}

interface Measured {
  readonly longAttempts: number;
  readonly recoveryMs: number;
}

function runVariant(name: string, opts: RunOptions): Measured {
  const seeds = seedsFrom(opts.seed);
  const describe = (runs: readonly StormFigures[]) => ({
    attemptsPerTry: spread(runs.map(({ attemptsPerTry }) => attemptsPerTry), 3),
    answeredPerSecond: spread(runs.map(({ answeredPerSecond }) => answeredPerSecond), 1),
    p99: spread(runs.map(({ p99 }) => p99), 0),
  });
  let longAttempts = 0;
  let recoveryMs = 0;
  for (const serial of [false, true]) {
    const long = seeds.map((seed) => longOverload(seed, VARIANTS[name]!, serial));
    const spike = seeds.map((seed) => spikeRecovery(seed, VARIANTS[name]!, serial));
    const recovery = spread(spike.map((run) => run.recoveryMs), 0);
    opts.emit({
      variant: `${serial ? 'serial' : 'independent'}/${name}`,
      longOverload: describe(long),
      spike: { ...describe(spike), recoveryMs: recovery, lost: spread(spike.map(({ lost }) => lost), 3) },
    });
    if (!serial) {
      longAttempts = spread(long.map(({ attemptsPerTry }) => attemptsPerTry), 3).median;
      recoveryMs = recovery.median;
    }
  }
  return { longAttempts, recoveryMs };
}

/** Retries in a long overload and after a short outage, by many independent and by few serial callers. */
export const retryStorm: Experiment = {
  name: 'retry-storm',
  shows: 'a server at 1.5 x its capacity for 20 s, and one that is down for 2 s; independent and serial callers',
  target: 'attempts per first try <= 1.1 in long overload; recovery from the spike as fast as with unlimited retries',
  variants: Object.keys(VARIANTS),
  async run(opts): Promise<Verdict> {
    const measured = new Map<string, Measured>();
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
