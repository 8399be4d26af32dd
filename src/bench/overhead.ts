import { Agent, request } from 'undici';
import { askEntry } from '../cli/client.js';
import { Secret } from '../core/configuration/index.js';
import { SeededRandom } from '../emulator/random.js';
import {
  benchFleet, CALLER_PORT, Child, OPERATOR_PORT, OPERATOR_TOKEN, PIPE_PORT,
} from './children.js';
import type { Experiment, RunOptions, Verdict } from './experiment.js';

const ENGINES = 10;
const TOKENS = 8;
const SPACING_MS = 2;
const SEEDS = 5;
const CONCURRENCY = 64;
const CLOSED_MS = 2_500;
const OPEN_MS = 2_500;
const WARM_UP_MS = 2_000;

const PROMPT = 'pattern fits contract; '.repeat(90);

/** Target of a request with its body; the pipe passes on what an entry would send to its engine. */
interface Subject {
  readonly name: 'entry' | 'pipe';
  readonly url: string;
  readonly body: string;
  /** Text that shows that an answer is whole. */
  readonly last: string;
}

const SUBJECTS: readonly [entry: Subject, pipe: Subject] = [
  {
    name: 'entry',
    url: `http://127.0.0.1:${CALLER_PORT}/v1/completions`,
    body: JSON.stringify({
      model: 'bench', prompt: PROMPT, max_tokens: TOKENS, stream: true,
    }),
    last: '[DONE]',
  },
  {
    name: 'pipe',
    url: `http://127.0.0.1:${PIPE_PORT}/v1/completions`,
    body: JSON.stringify({
      requestId: 'request-000001', attemptId: 'attempt-000001', workspace: 'default', model: 'bench', prompt: PROMPT,
    }),
    last: '"type":"end"',
  },
];

interface Sample {
  readonly whole: boolean;
  readonly firstMs: number;
  readonly totalMs: number;
}

async function send(agent: Agent, subject: Subject): Promise<Sample> {
  const started = performance.now();
  const res = await request(subject.url, { dispatcher: agent, method: 'POST', body: subject.body });
  let firstMs = 0;
  let text = '';
  for await (const chunk of res.body) {
    if (firstMs === 0) firstMs = performance.now() - started;
    text += String(chunk);
  }
  return { whole: text.includes(subject.last), firstMs, totalMs: performance.now() - started };
}

/** Keeps a fixed number of requests open. */
async function closedLoop(agent: Agent, subject: Subject, durationMs: number): Promise<Sample[]> {
  const samples: Sample[] = [];
  const end = performance.now() + durationMs;
  await Promise.all(Array.from({ length: CONCURRENCY }, async () => {
    while (performance.now() < end) samples.push(await send(agent, subject));
  }));
  return samples;
}

/** Sends at random times with a fixed mean rate, whatever the answers do. */
async function openLoop(agent: Agent, subject: Subject, ratePerSecond: number, seed: number): Promise<Sample[]> {
  const random = new SeededRandom(seed);
  const pending: Promise<Sample>[] = [];
  const started = performance.now();
  let due = started;
  while (due < started + OPEN_MS) {
    while (due <= performance.now()) {
      pending.push(send(agent, subject));
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

/** Applies the fleet file of the bench and waits until the entry answers. */
export async function prepareEntry(engines: number): Promise<void> {
  const deadline = performance.now() + 15_000;
  const body = JSON.stringify({ model: 'bench', prompt: 'x', max_tokens: 1 });
  let applied = false;
  while (performance.now() < deadline) {
    if (!applied) {
      const reply = await askEntry({
        address: `127.0.0.1:${OPERATOR_PORT}`,
        method: 'POST',
        path: '/apply',
        token: new Secret(OPERATOR_TOKEN),
        body: benchFleet(engines),
        timeoutMs: 5_000,
      });
      applied = reply.success && reply.data.status === 200;
    }
    const reply = await askEntry({
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
  readonly perCore: number;
  readonly whole: number;
  readonly failed: number;
}

async function capacity(agent: Agent, subject: Subject, child: Child): Promise<Capacity> {
  const before = await child.usage();
  const samples = await closedLoop(agent, subject, CLOSED_MS);
  const after = await child.usage();
  const whole = samples.filter((sample) => sample.whole).length;
  return { perCore: whole / ((after.cpuMs - before.cpuMs) / 1_000), whole, failed: samples.length - whole };
}

async function measure(opts: RunOptions, children: readonly [entry: Child, pipe: Child]): Promise<Verdict> {
  const agent = new Agent({ connections: 512, pipelining: 1 });
  const worst = {
    ratio: Infinity, p50: -Infinity, p99: -Infinity, failed: 0,
  };
  for (const subject of SUBJECTS) await closedLoop(agent, subject, WARM_UP_MS);
  for (let { seed } = opts; seed < opts.seed + SEEDS; seed += 1) {
    const entry = await capacity(agent, SUBJECTS[0], children[0]);
    const pipe = await capacity(agent, SUBJECTS[1], children[1]);
    const rate = entry.perCore / 2;
    const latencies: Sample[][] = [];
    for (const subject of SUBJECTS) latencies.push(await openLoop(agent, subject, rate, seed));
    const [added50, added99] = [0.5, 0.99].map((share) => {
      const [own, bare] = latencies.map((samples) => percentile(samples.map(({ totalMs }) => totalMs), share));
      return own! - bare!;
    }) as [number, number];
    const failed = entry.failed + latencies.flat().filter(({ whole }) => !whole).length;
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

/** One entry against a bare pipe from Node's HTTP server to undici. */
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
