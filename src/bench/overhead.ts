import { Agent, request } from 'undici';
import { sendEntryRequest } from '../cli/client.js';
import { Secret } from '../core/configuration/index.js';
import { SeededRandom } from '../emulator/random.js';
import {
  createBenchFleetFile, CALLER_PORT, Child, OPERATOR_PORT, OPERATOR_TOKEN, PIPE_PORT,
} from './children.js';
import type { Experiment, RunOptions, ExperimentResult } from './experiment.js';

const ENGINES = 10;
const TOKENS = 8;
const SPACING_MS = 2;
const SEEDS = 5;
const CONCURRENCY = 64;
const CLOSED_LOOP_MS = 2_500;
const OPEN_LOOP_MS = 2_500;
const WARM_UP_MS = 2_000;

/** Prompt of every request, about 2 kB. */
const PROMPT = 'pattern fits contract; '.repeat(90);

/** Measured server and the request body for it; the pipe gets the body that an entry would send to its engine. */
interface Target {
  readonly name: 'entry' | 'pipe';
  readonly url: string;
  readonly body: string;
  /** Text that occurs only in a complete answer. */
  readonly endMarker: string;
}

const TARGETS: readonly [entry: Target, pipe: Target] = [
  {
    name: 'entry',
    url: `http://127.0.0.1:${CALLER_PORT}/v1/completions`,
    body: JSON.stringify({
      model: 'bench', prompt: PROMPT, max_tokens: TOKENS, stream: true,
    }),
    endMarker: '[DONE]',
  },
  {
    name: 'pipe',
    url: `http://127.0.0.1:${PIPE_PORT}/v1/completions`,
    body: JSON.stringify({
      requestId: 'request-000001', attemptId: 'attempt-000001', workspace: 'default', model: 'bench', prompt: PROMPT,
    }),
    endMarker: '"type":"end"',
  },
];

interface Sample {
  readonly complete: boolean;
  readonly firstMs: number;
  readonly totalMs: number;
}

async function sendRequest(agent: Agent, subject: Target): Promise<Sample> {
  const started = performance.now();
  const res = await request(subject.url, { dispatcher: agent, method: 'POST', body: subject.body });
  let firstMs = 0;
  let text = '';
  for await (const chunk of res.body) {
    if (firstMs === 0) firstMs = performance.now() - started;
    text += String(chunk);
  }
  return { complete: text.includes(subject.endMarker), firstMs, totalMs: performance.now() - started };
}

/** Keeps `CONCURRENCY` requests open for `durationMs`. */
async function runClosedLoop(agent: Agent, subject: Target, durationMs: number): Promise<Sample[]> {
  const samples: Sample[] = [];
  const end = performance.now() + durationMs;
  await Promise.all(Array.from({ length: CONCURRENCY }, async () => {
    while (performance.now() < end) samples.push(await sendRequest(agent, subject));
  }));
  return samples;
}

/** Sends Poisson arrivals at a fixed mean rate, regardless of how fast answers come back. */
async function runOpenLoop(agent: Agent, subject: Target, ratePerSecond: number, seed: number): Promise<Sample[]> {
  const random = new SeededRandom(seed);
  const pending: Promise<Sample>[] = [];
  const started = performance.now();
  let due = started;
  while (due < started + OPEN_LOOP_MS) {
    while (due <= performance.now()) {
      pending.push(sendRequest(agent, subject));
      due -= Math.log(1 - random.float()) * (1_000 / ratePerSecond);
    }
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
  return Promise.all(pending);
}

function percentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? NaN;
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}

/** Applies the fleet file of the bench and waits until the entry answers; throws after 15 s without an answer. */
export async function prepareEntry(engines: number): Promise<void> {
  const deadline = performance.now() + 15_000;
  const body = JSON.stringify({ model: 'bench', prompt: 'x', max_tokens: 1 });
  let applied = false;
  while (performance.now() < deadline) {
    if (!applied) {
      const reply = await sendEntryRequest({
        address: `127.0.0.1:${OPERATOR_PORT}`,
        method: 'POST',
        path: '/apply',
        token: new Secret(OPERATOR_TOKEN),
        body: createBenchFleetFile(engines),
        timeoutMs: 5_000,
      });
      applied = reply.success && reply.data.status === 200;
    }
    const reply = await sendEntryRequest({
      address: `127.0.0.1:${CALLER_PORT}`, method: 'POST', path: '/v1/completions', body, timeoutMs: 5_000,
    });
    if (reply.success && reply.data.status === 200) return;
    await new Promise((resolve) => {
      setTimeout(resolve, 50);
    });
  }
  throw new Error('the entry did not become ready');
}

interface Capacity {
  /** Complete answers per second of processor time. */
  readonly perCore: number;
  readonly completed: number;
  readonly failed: number;
}

async function measureCapacity(agent: Agent, subject: Target, child: Child): Promise<Capacity> {
  const before = await child.usage();
  const samples = await runClosedLoop(agent, subject, CLOSED_LOOP_MS);
  const after = await child.usage();
  const whole = samples.filter((sample) => sample.complete).length;
  return { perCore: whole / ((after.cpuMs - before.cpuMs) / 1_000), completed: whole, failed: samples.length - whole };
}

async function measure(opts: RunOptions, children: readonly [entry: Child, pipe: Child]): Promise<ExperimentResult> {
  const agent = new Agent({ connections: 512, pipelining: 1 });
  const worst = {
    ratio: Infinity, p50: -Infinity, p99: -Infinity, failed: 0,
  };
  for (const subject of TARGETS) await runClosedLoop(agent, subject, WARM_UP_MS);
  for (let { seed } = opts; seed < opts.seed + SEEDS; seed += 1) {
    const entry = await measureCapacity(agent, TARGETS[0], children[0]);
    const pipe = await measureCapacity(agent, TARGETS[1], children[1]);
    const rate = entry.perCore / 2;
    const latencies: Sample[][] = [];
    for (const subject of TARGETS) latencies.push(await runOpenLoop(agent, subject, rate, seed));
    const [added50, added99] = [0.5, 0.99].map((share) => {
      const [entryMs, pipeMs] = latencies.map((samples) => percentile(samples.map(({ totalMs }) => totalMs), share));
      return entryMs! - pipeMs!;
    }) as [number, number];
    const failed = entry.failed + latencies.flat().filter(({ complete: whole }) => !whole).length;
    worst.ratio = Math.min(worst.ratio, entry.perCore / pipe.perCore);
    worst.p50 = Math.max(worst.p50, added50);
    worst.p99 = Math.max(worst.p99, added99);
    worst.failed += failed;
    opts.emit({
      variant: `seed-${seed}`,
      entry_per_core: round(entry.perCore),
      pipe_per_core: round(pipe.perCore),
      ratio: round(entry.perCore / pipe.perCore),
      half_load_per_s: round(rate),
      added_p50_ms: round(added50),
      added_p99_ms: round(added99),
      failed,
    });
  }
  await agent.destroy();
  return {
    pass: worst.ratio >= 0.5 && worst.p50 <= 1 && worst.p99 <= 3 && worst.failed === 0,
    figure: {
      ratio: round(worst.ratio), added_p50_ms: round(worst.p50), added_p99_ms: round(worst.p99), failed: worst.failed,
    },
  };
}

/** Compares one entry with a pipe that only forwards requests from Node's HTTP server to undici. */
export const overhead: Experiment = {
  name: 'overhead',
  shows: 'one entry against a bare http-to-undici pipe in the same run, with streamed answers of 8 tokens; worst seed',
  target: 'at least half the pipe\'s throughput per core; at half load at most 1 ms added at the median and 3 ms at p99',
  variants: ['streamed'],
  async run(opts) {
    const upstream = await Child.start({
      role: 'upstream', engines: ENGINES, upstream: { tokens: TOKENS, spacingMs: SPACING_MS },
    });
    const entry = await Child.start({ role: 'entry' });
    const pipe = await Child.start({ role: 'pipe' });
    try {
      await prepareEntry(ENGINES);
      return await measure(opts, [entry, pipe]);
    } finally {
      await Promise.all([upstream, entry, pipe].map((child) => child.stop()));
    }
  },
};
