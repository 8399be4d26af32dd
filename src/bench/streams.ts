import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';
import { CALLER_PORT, Child } from './children.js';
import type { Experiment, RunOptions, ExperimentResult } from './experiment.js';
import { prepareEntry } from './overhead.js';

/**
 * Enough engines that their adaptive limits do not restrict the streams: a limit starts at 4 sequences, and the tokens
 * come late here.
 */
const ENGINES = 1_300;
const STREAMS = 5_000;
const MAX_BYTES_PER_STREAM = 40_000;
/** Time between tokens; so long that the measured memory is that of open streams and not of buffered tokens. */
const SPACING_MS = 1_000;
const OPENING_BATCH = 50;
const OPENING_PAUSE_MS = 40;
const WARM_UP_MS = 4_000;
const ANSWER_TOKENS = 600;

const BODY = JSON.stringify({
  model: 'bench', prompt: 'Is the hen well?', max_tokens: ANSWER_TOKENS, stream: true,
});

const REQUEST = `POST /v1/completions HTTP/1.1\r\nhost: bench\r\nx-deadline-ms: 60000\r\ncontent-length: ${BODY.length}\r\n\r\n${BODY}`;

interface Stream {
  readonly socket: Socket;
  /** Tokens received so far. */
  tokens: number;
  refused: boolean;
}

/** Refused streams are opened again, as callers do, until this time has passed. */
const MAX_OPENING_MS = 20_000;

/** Opens a stream on a raw socket, which keeps the memory use of the load generator low. */
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

async function measure(entry: Child, opts: RunOptions): Promise<{ bytes: number; open: number }> {
  const before = await entry.usage();
  const streams: Stream[] = [];
  let refused = 0;
  const openingEnd = performance.now() + MAX_OPENING_MS;
  while (performance.now() < openingEnd) {
    for (const [index, stream] of streams.entries()) {
      if (!stream.refused) continue;
      refused += 1;
      stream.socket.destroy();
      streams.splice(index, 1);
    }
    const missing = Math.min(OPENING_BATCH, STREAMS - streams.length);
    for (let index = 0; index < missing; index += 1) streams.push(openStream());
    if (streams.length === STREAMS && streams.every(({ tokens }) => tokens > 0)) break;
    await wait(OPENING_PAUSE_MS);
  }
  await wait(WARM_UP_MS);
  const tokensBefore = streams.map(({ tokens }) => tokens);
  await wait(2 * SPACING_MS);
  const open = streams.filter(({ tokens }, index) => tokens > tokensBefore[index]!).length;
  const after = await entry.usage();
  for (const { socket } of streams) socket.destroy();
  const bytes = Math.round((after.residentBytes - before.residentBytes) / Math.max(1, open));
  opts.emit({
    variant: 'open',
    open,
    refused_while_opening: refused,
    bytes_per_stream: bytes,
    resident_mb: Math.round(after.residentBytes / 1e6),
  });
  return { bytes, open };
}

/** Measures concurrent token streams in one entry, in a single run, because nothing in it is random. */
export const streams: Experiment = {
  name: 'streams',
  shows: 'token streams open at once in one entry, each of them receiving tokens, and the resident memory that each adds',
  target: '5,000 at under 40 KB each',
  variants: ['open'],
  async run(opts): Promise<ExperimentResult> {
    const upstream = await Child.start({
      role: 'upstream', engines: ENGINES, upstream: { tokens: ANSWER_TOKENS, spacingMs: SPACING_MS },
    });
    const entry = await Child.start({ role: 'entry' });
    try {
      await prepareEntry(ENGINES);
      await wait(SPACING_MS);
      const { bytes, open } = await measure(entry, opts);
      return { pass: open >= STREAMS && bytes < MAX_BYTES_PER_STREAM, figure: { open, bytes_per_stream: bytes } };
    } finally {
      await Promise.all([upstream, entry].map((child) => child.stop()));
    }
  },
};
