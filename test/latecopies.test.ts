import type { ServerResponse } from 'node:http';
import { createServer } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import {
  afterAll, beforeAll, beforeEach, describe, expect, it,
} from 'vitest';
import { createServerRecord, ServerStandIn } from '../src/emulator/backend.js';
import { listenOnFreePort } from '../src/emulator/listen.js';
import { StoreStandIn } from '../src/emulator/platformstore.js';
import { sendCall } from '../src/emulator/sendcall.js';
import { configuration, startGateway } from './support/gateway.js';
import type { RunningGateway } from './support/gateway.js';
import { waitUntil } from './support/waituntil.js';

let store: StoreStandIn;
let gateway: RunningGateway;
let engine: ServerStandIn;
/** Writes the answers of the plain server, from the ids of the requests that a connection has brought so far. */
let answer: (socket: Socket, ids: readonly string[]) => void = () => {};

const plain = createServer((socket) => {
  const ids: string[] = [];
  socket.on('error', () => {});
  socket.on('data', (chunk) => {
    for (const [, id] of chunk.toString().matchAll(/catkinscale-request-id: (\S+)/gi)) {
      ids.push(id!);
      answer(socket, ids);
    }
  });
});

function answerTo(id: string): string {
  const body = `answer to ${id}`;
  return `HTTP/1.1 200 OK\r\nCatkinscale-Request-Id: ${id}\r\nCatkinscale-Server-Signature: s1\r\n`
    + `Content-Length: ${body.length}\r\n\r\n${body}`;
}

function ask(id: string) {
  return sendCall(gateway.callers, '/order/x', { method: 'POST', body: '{}', headers: { 'catkinscale-request-id': id } });
}

/** Writes an event stream, one piece after another, and its head with the first one. */
async function stream(respond: ServerResponse, pieces: readonly string[], everyMs: number): Promise<void> {
  respond.writeHead(200, { 'Content-Type': 'text/event-stream', 'Catkinscale-Server-Signature': 's1' });
  for (const piece of pieces) {
    await pause(everyMs);
    if (respond.destroyed) return;
    respond.write(piece);
  }
  respond.end();
}

let pieces: readonly string[] = [];

/** Time in ms between two pieces, and before the first one. */
let everyMs = 0;

beforeAll(async () => {
  store = new StoreStandIn();
  await store.start();
  engine = new ServerStandIn('e', (res) => {
    void stream(res, pieces, everyMs);
  });
  await engine.start();
  store.put('servers/p', createServerRecord(await listenOnFreePort(plain), 'ledger'));
  store.put('servers/e', engine.serverRecord('engine', { stage: 'decode' }));
  store.put('op/config', configuration());
  gateway = await startGateway(store, 21_950);
  await waitUntil(() => {
    const { list } = gateway.gateway.dump().servers as { list: readonly unknown[] };
    return list.length === 2 && gateway.gateway.ready();
  });
});

afterAll(async () => {
  await gateway.stop();
  plain.close();
  engine.stop();
  store.stop();
});

beforeEach(() => {
  answer = (socket, ids) => socket.write(answerTo(ids.at(-1)!));
});

describe('a second copy of an answer', () => {
  // Guards against a caller that gets the answer of an earlier call on the same connection to a server.
  it.each([
    ['with the first one', 0], ['while the connection is idle', 20], ['when the next call may be under way', 40],
  ])('that arrives %s reaches no caller', async (_when, delayMs) => {
    answer = (socket, ids) => {
      const id = ids.at(-1)!;
      socket.write(answerTo(id));
      if (ids.length === 1) setTimeout(() => socket.write(answerTo(id)), delayMs);
    };
    for (let round = 0; round < 6; round += 1) {
      const id = `${delayMs}-${round}`;
      const { status, body } = await ask(id);
      // A call that met the stray answer may have run, so its outcome is unknown; no other answer may take its place.
      expect([`200 answer to ${id}`, 502]).toContain(status === 200 ? `200 ${body}` : status);
      await pause(delayMs);
    }
  });

  it('that arrives between the next call and its own answer reaches no caller', async () => {
    answer = (socket, ids) => {
      if (ids.length === 2) socket.write(answerTo(ids[0]!));
      setTimeout(() => socket.write(answerTo(ids.at(-1)!)), 10);
    };
    const statuses: (number | string)[] = [];
    for (let round = 0; round < 6; round += 1) {
      const { status, body } = await ask(`between-${round}`);
      statuses.push(status);
      if (status === 200) expect(body).toBe(`answer to between-${round}`);
    }
    expect(statuses).toContain(502);
  });
});

describe('bytes behind a whole answer that take longer than a turn to read', () => {
  // Guards against a call on a connection whose last answer is followed by bytes that were not read yet.
  it('fail no later call', async () => {
    answer = (socket, ids) => {
      socket.write(ids.length === 1 ? `${answerTo(ids[0]!)}${'\r\n'.repeat(1_000_000)}${answerTo(ids[0]!)}` : answerTo(ids.at(-1)!));
    };
    const statuses: number[] = [];
    for (let round = 0; round < 30; round += 1) statuses.push((await ask(`behind-${round}`)).status);
    expect(statuses).toEqual(statuses.map(() => 200));
  });
});

describe('a stream', () => {
  const talk = () => sendCall(gateway.callers, '/long/x', {
    method: 'POST', body: 'p', headers: { 'catkinscale-token-count': '100,9' },
  });

  // Guards against sound streams that are cut because their events are far apart, although no other engine is left.
  it('with pauses far beyond the target time of its route is delivered whole', async () => {
    pieces = ['id: 1\n\n', 'id: 2\n\n', 'id: 3\n\n', 'id: 4\n\n'];
    everyMs = 400;
    expect(await talk()).toMatchObject({ status: 200, body: pieces.join(''), broken: false });
  });

  // Guards against streams that never end because a byte arrives now and then.
  it('that never ends is cut at the timeout of its route, and its engine stops', async () => {
    pieces = ['id: 1\n\n', ...Array.from({ length: 200 }, () => ':')];
    everyMs = 50;
    engine.received.length = 0;
    const startedAt = performance.now();
    const { broken } = await talk();
    expect(broken).toBe(true);
    expect(performance.now() - startedAt).toBeLessThan(2_500);
    await waitUntil(() => engine.received.every(({ aborted }) => aborted));
  });
});
