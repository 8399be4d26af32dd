import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';
import { CALLER_PORT, Child } from './children.js';
import type { Experiment, RunOptions, Verdict } from './experiment.js';
import { prepareEntry } from './overhead.js';

/** Enough that each engine's adaptive limit, which starts at 4 sequences and sees late tokens here, does not bind. */
const ENGINES = 1_300;
const STREAMS = 5_000;
const BOUND_BYTES = 40_000;
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

/** Streams that were refused at first are opened again, as callers do, until this time has passed. */
const OPENING_MS = 20_000;

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

async function measure(entry: Child, opts: RunOptions): Promise<{ bytes: number; open: number }> {
  const before = await entry.usage();
  const streams: Stream[] = [];
  let refused = 0;
  const openingEnd = performance.now() + OPENING_MS;
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
  await wait(SETTLE_MS);
  const counted = streams.map(({ tokens }) => tokens);
  await wait(2 * SPACING_MS);
  const open = streams.filter(({ tokens }, index) => tokens > counted[index]!).length;
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

/** Open concurrent token streams in one entry; one run, because nothing in it is drawn at random. */
export const streams: Experiment = {
  name: 'streams',
  shows: 'token streams open at once in one entry, each of them receiving tokens, and the resident memory that each adds',
  target: '5,000 at under 40 KB each',
  variants: ['open'],
  async run(opts): Promise<Verdict> {
    const upstream = await Child.start({
      role: 'upstream', engines: ENGINES, upstream: { tokens: HOLD_TOKENS, spacingMs: SPACING_MS },
    });
    const entry = await Child.start({ role: 'entry' });
    try {
      await prepareEntry(ENGINES);
      await wait(SPACING_MS);
      const { bytes, open } = await measure(entry, opts);
      return { pass: open >= STREAMS && bytes < BOUND_BYTES, figure: { open, bytes_per_stream: bytes } };
    } finally {
      await Promise.all([upstream, entry].map((child) => child.stop()));
    }
  },
};
