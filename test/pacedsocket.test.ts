import { createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { afterEach, expect, it } from 'vitest';
import { PacedSocket, ReadTurns } from '../src/adapters/pacedsocket.js';
import { listenOnFreePort } from '../src/emulator/listen.js';

const BYTES = 400_000;

let server: Server;
let socket: PacedSocket;

/** Reads what a server sends at once, taking `readMs` for each read; the bytes of each turn of the event loop. */
async function readInTurns(readMs: number): Promise<readonly number[]> {
  const sent = Buffer.alloc(BYTES, 'abcdefg');
  server = createServer((accepted: Socket) => accepted.end(sent));
  const [host = '', port] = (await listenOnFreePort(server)).split(':');
  let now = 0;
  socket = new PacedSocket(new ReadTurns({ monotonic: () => now }));
  const received: Buffer[] = [];
  const turns: number[] = [];
  let isNewTurn = true;
  await new Promise<void>((resolve) => {
    socket.connect({ host, port: Number(port) }).on('readable', () => {
      if (isNewTurn) {
        isNewTurn = false;
        setImmediate(() => {
          isNewTurn = true;
        });
        turns.push(0);
      }
      for (;;) {
        const chunk = socket.read();
        if (chunk === null) return;
        turns[turns.length - 1]! += chunk.length;
        received.push(chunk);
        now += readMs;
      }
    }).on('end', resolve);
  });
  expect(Buffer.concat(received).equals(sent)).toBe(true);
  return turns;
}

afterEach(() => {
  socket.destroy();
  server.close();
});

// Guards against one connection whose bytes take long to parse and that keeps all others and all timers waiting.
it('gives a slow reader two slices in a turn of the event loop, and all bytes in the end', async () => {
  const turns = await readInTurns(0.6);
  expect(Math.max(...turns)).toBeLessThanOrEqual(8_192);
});

// Guards against a bound that delays ordinary answers.
it('gives a fast reader all that has arrived', async () => {
  const turns = await readInTurns(0);
  expect(Math.max(...turns)).toBeGreaterThan(8_192);
});
