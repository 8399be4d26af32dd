import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { CALLER_PORT, Child } from './children.js';
import type { Experiment, RunOptions, Verdict } from './experiment.js';
import { prepareEntry } from './overhead.js';

const ENGINES = 100;
const STREAMS = 5_000;
const BOUND_BYTES = 40_000;
const SEEDS = 5;
/** Time between tokens, long enough that the memory is that of open streams and not of a backlog. */
const SPACING_MS = 1_000;
const OPENING_BATCH = 50;
const OPENING_PAUSE_MS = 40;
const SETTLE_MS = 4_000;
const HOLD_TOKENS = 600;

const BODY = JSON.stringify({
  model: 'bench', prompt: 'Is the hen well?', max_tokens: HOLD_TOKENS, stream: true,
});

const REQUEST = `POST /v1/completions HTTP/1.1\r\nhost: bench\r\nx-deadline-ms: 60000\r\ncontent-length: ${BODY.length}\r\n\r\n${BODY}`;

interface Stream {
  readonly socket: Socket;
  tokens: number;
  refused: boolean;
}

function wait(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}

/** Raw sockets keep the memory of the load generator out of the machine's way. */
function openStream(): Stream {
  const socket = connect(CALLER_PORT, '127.0.0.1');
  const stream: Stream = { socket, tokens: 0, refused: false };
  socket.on('error', () => {});
  socket.on('data', (chunk) => {
    const text = chunk.toString('latin1');
    if (text.includes('HTTP/1.1 ') && !text.includes('HTTP/1.1 200')) stream.refused = true;
    stream.tokens += text.split('\nid: ').length - 1 + (text.startsWith('id: ') ? 1 : 0);
  });
  socket.write(REQUEST);
  return stream;
}

async function measure(entry: Child, opts: RunOptions, seed: number): Promise<{ bytes: number; open: number }> {
  const before = await entry.usage();
  const streams: Stream[] = [];
  while (streams.length < STREAMS) {
    for (let index = 0; index < OPENING_BATCH; index += 1) streams.push(openStream());
    await wait(OPENING_PAUSE_MS);
  }
  await wait(SETTLE_MS);
  const counted = streams.map(({ tokens }) => tokens);
  await wait(2 * SPACING_MS);
  const open = streams.filter(({ tokens, refused }, index) => !refused && tokens > counted[index]!).length;
  const after = await entry.usage();
  for (const { socket } of streams) socket.destroy();
  const bytes = Math.round((after.residentBytes - before.residentBytes) / Math.max(1, open));
  opts.emit({
    variant: `run-${seed}`,
    open,
    refused: streams.filter(({ refused }) => refused).length,
    bytes_per_stream: bytes,
    resident_mb: Math.round(after.residentBytes / 1e6),
  });
  return { bytes, open };
}

/** Open concurrent token streams in one entry. */
export const streams: Experiment = {
  name: 'streams',
  shows: 'token streams open at once in one entry, each of them receiving tokens, and the resident memory that each adds',
  target: '5,000 at under 40 KB each',
  variants: ['open'],
  async run(opts): Promise<Verdict> {
    let worst = 0;
    let fewest = Infinity;
    for (let { seed } = opts; seed < opts.seed + SEEDS; seed += 1) {
      const upstream = await Child.start({
        role: 'upstream', engines: ENGINES, upstream: { tokens: HOLD_TOKENS, spacingMs: SPACING_MS },
      });
      const entry = await Child.start({ role: 'entry' });
      try {
        await prepareEntry(ENGINES);
        await wait(SPACING_MS);
        const { bytes, open } = await measure(entry, opts, seed);
        worst = Math.max(worst, bytes);
        fewest = Math.min(fewest, open);
      } finally {
        await Promise.all([upstream, entry].map((child) => child.stop()));
      }
    }
    return {
      pass: fewest >= STREAMS && worst < BOUND_BYTES,
      figure: { open: fewest, bytes_per_stream: worst },
    };
  },
};
