import { once } from 'node:events';
import { request as httpRequest } from 'node:http';
import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import {
  afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import { HttpService } from '../src/adapters/service.js';
import type { Log } from '../src/core/interfaces/index.js';
import { createServerRecord } from '../src/emulator/backend.js';
import { listenOnFreePort } from '../src/emulator/listen.js';
import { StoreStandIn } from '../src/emulator/platformstore.js';
import { sendCall } from '../src/emulator/sendcall.js';
import { configuration, startGateway } from './support/gateway.js';
import type { RunningGateway } from './support/gateway.js';
import { waitUntil } from './support/waituntil.js';

const RUNS = 20;

const EVENTS = [1, 2, 3].map((id) => `id: ${id}\ndata: text ${id}\n\n`);

let store: StoreStandIn;
let gateway: RunningGateway;
let respond: (socket: Socket, head: string, lastEventId: string | null) => void = () => {};
const servers: Server[] = [];
const lines: Record<string, unknown>[] = [];

const log: Log = {
  info: (_message, fields) => lines.push({ ...fields }),
  warn: (_message, fields) => lines.push({ ...fields }),
  error: () => {},
};

/** Server that passes each request, with the head of an answer that ends with the connection, to `respond`. */
function startServer(): Promise<string> {
  const server = createServer((socket) => {
    socket.on('error', () => {});
    socket.on('data', (chunk) => {
      const id = /catkinscale-request-id: (\S+)/i.exec(chunk.toString())?.[1];
      if (id === undefined) return;
      const head = `HTTP/1.1 200 OK\r\nCatkinscale-Request-Id: ${id}\r\nCatkinscale-Server-Signature: s1\r\nConnection: close\r\n`;
      respond(socket, head, /last-event-id: (\S+)/i.exec(chunk.toString())?.[1] ?? null);
    });
  });
  servers.push(server);
  return listenOnFreePort(server);
}

const STREAM = 'Content-Type: text/event-stream\r\n\r\n';

function ask(path: string, body = '{}', headers = {}) {
  return sendCall(gateway.callers, path, { method: 'POST', body, headers: { 'catkinscale-token-count': '60,9', ...headers } });
}

/** Writes the last bytes of an answer and resets the connection in the same turn, so that both are read in one go. */
function writeAndReset(socket: Socket, bytes: string): void {
  socket.write(bytes);
  socket.resetAndDestroy();
}

beforeAll(async () => {
  store = new StoreStandIn();
  await store.start();
  store.put('servers/p', createServerRecord(await startServer(), 'ledger'));
  for (const name of ['e1', 'e2']) store.put(`servers/${name}`, createServerRecord(await startServer(), 'engine', { stage: 'decode' }));
  const { limits, routes } = JSON.parse(configuration()) as { limits: object; routes: object[] };
  store.put('op/config', configuration({
    limits: { ...limits, 'max-body-bytes': 4_000_000 }, routes: routes.map((route) => ({ ...route, 'timeout-ms': 5_000 })),
  }));
  gateway = await startGateway(store, 24_000, { log });
  await waitUntil(() => {
    const { list } = gateway.gateway.dump().servers as { list: readonly unknown[] };
    return list.length === 3 && gateway.gateway.ready();
  });
});

afterAll(async () => {
  await gateway.stop();
  for (const server of servers) server.close();
  store.stop();
});

describe('the log line of a call', () => {
  // Guards against broken streams of which nobody can tell whether their server closed or reset the connection.
  it('tells how the connections of its answers ended', async () => {
    const ends = async (end: (socket: Socket) => void, headers = {}) => {
      lines.length = 0;
      respond = (socket, head) => {
        socket.write(`${head}${STREAM}${EVENTS[0]}${EVENTS[1]}`);
        end(socket);
      };
      await ask('/talk/x', '{}', headers);
      await waitUntil(() => lines.some((line) => 'ends' in line));
      return lines.find((line) => 'ends' in line)!;
    };
    const bytes = EVENTS[0]!.length + EVENTS[1]!.length;
    expect(await ends((socket) => socket.end())).toMatchObject({ ends: `complete/closed/${bytes}`, passed_bytes: bytes });
    expect((await ends((socket) => socket.resetAndDestroy())).ends).toContain(`/reset/${bytes}`);
    expect((await ends(() => {}, { 'catkinscale-deadline-ms': '200' })).ends).toBe(`aborted/open/${bytes}`);
  });
});

describe('an answer without length whose connection is reset behind its last bytes', () => {
  it('goes on at another engine if it is a stream that may be resumed, and is not taken as complete', async () => {
    respond = (socket, head, lastEventId) => {
      if (lastEventId === '2') socket.end(`${head}${STREAM}${EVENTS[2]}`);
      else {
        socket.write(`${head}${STREAM}${EVENTS[0]}`);
        setTimeout(() => writeAndReset(socket, EVENTS[1]!), 10);
      }
    };
    const answers = await Promise.all(Array.from({ length: RUNS }, () => ask('/long/x')));
    expect(answers.filter(({ body }) => body !== EVENTS.join(''))).toEqual([]);
  });

  const LARGE = 'x'.repeat(2_000_000);

  // Guards against a cut answer that is taken for a whole one.
  it.each([
    ['a stream that may not be resumed', '/talk/x', `${STREAM}${EVENTS[0]}`, '{}'],
    ['a short answer', '/order/x', '\r\npart', '{}'],
    ['an answer of 100 KB', '/order/x', `\r\n${LARGE.slice(0, 100_000)}`, '{}'],
    ['an answer to an upload that goes on', '/order/x', '\r\npart', LARGE],
    ['a large answer to an upload that goes on', '/order/x', `\r\n${LARGE.slice(0, 100_000)}`, LARGE],
  ])('is not whole: %s', async (_what, path, rest, body) => {
    respond = (socket, head) => {
      socket.pause();
      setTimeout(() => writeAndReset(socket, head + rest), 10);
    };
    lines.length = 0;
    for (let run = 0; run < RUNS; run += 1) await ask(path, body);
    await waitUntil(() => lines.filter((line) => 'outcome' in line).length === RUNS);
    expect(lines.filter(({ outcome }) => outcome === 'delivered').length).toBe(0);
  });

  /** Returns the number of bytes of an answer that its caller starts to read late; `null` if it breaks off. */
  function askAndReadLate(): Promise<number | null> {
    return new Promise((resolve) => {
      const headers = { host: 'shop.example', 'catkinscale-request-id': 'late' };
      httpRequest(`http://${gateway.callers}/order/x`, { method: 'POST', headers }, (res) => {
        let size = 0;
        setTimeout(() => res.on('data', (chunk: Buffer) => {
          size += chunk.length;
        }), 200);
        res.on('error', () => {});
        res.on('close', () => resolve(res.complete ? size : null));
      }).on('error', () => resolve(null)).end('{}');
    });
  }

  it.each([
    ['is whole after an ordinary close', (socket: Socket) => socket.end(), LARGE.length],
    ['is not whole after a reset', (socket: Socket) => socket.resetAndDestroy(), null],
  ])('and that is read late %s', async (_what, end, size) => {
    respond = (socket, head) => socket.write(`${head}\r\n${LARGE}`, () => end(socket));
    expect(await Promise.all(Array.from({ length: 4 }, askAndReadLate))).toEqual(new Array(4).fill(size));
  });
});

describe('a whole answer whose end is marked', () => {
  // Guards against sound answers that are given up for what happens to their connection behind them.
  it.each([
    ['by a length', 'Content-Length: 2\r\n\r\nok'],
    ['by its last chunk', 'Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n'],
  ])('%s is passed on though its connection is reset behind it', async (_how, rest) => {
    respond = (socket, head) => writeAndReset(socket, head + rest);
    const answers = [];
    for (let run = 0; run < RUNS; run += 1) answers.push(await ask('/order/x'));
    expect(answers.filter(({ status, broken, body }) => status !== 200 || broken || body !== 'ok')).toEqual([]);
  });
});

describe('a request that its caller resets behind its last bytes', () => {
  // Guards against a part of a request that runs as if it were whole.
  it.each([
    ['a length', 'Content-Length: 10\r\n\r\npart'],
    ['chunks', 'Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n'],
    ['an incomplete head', 'Content-Length: 0\r\n'],
  ])('is not passed on where it is cut and has %s', async (_what, rest) => {
    let arrived = 0;
    respond = (socket, head) => {
      arrived += 1;
      socket.end(`${head}Content-Length: 0\r\n\r\n`);
    };
    const [host, port] = gateway.callers.split(':');
    for (let run = 0; run < RUNS; run += 1) {
      const socket = connect(Number(port), host);
      socket.once('connect', () => {
        writeAndReset(socket, `POST /order/x HTTP/1.1\r\nHost: shop.example\r\nCatkinscale-Request-Id: cut${run}\r\n${rest}`);
      });
      await once(socket, 'close');
    }
    expect((await ask('/order/x')).status).toBe(200);
    expect(arrived).toBe(1);
  });
});

describe('an answer of a plain service without length', () => {
  // Guards against a client library that ends an answer as complete where its connection was reset.
  it.each([
    ['together with its last bytes', writeAndReset],
    ['behind them', (socket: Socket, bytes: string) => socket.write(bytes, () => setTimeout(() => socket.resetAndDestroy(), 10))],
  ])('is broken where its connection is reset %s', async (_when, end) => {
    const address = await listenOnFreePort(createServer((socket) => {
      socket.on('error', () => {});
      socket.once('data', () => end(socket, 'HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nConnection: close\r\n\r\npart'));
    }));
    const service = new HttpService('s', address);
    const call = {
      requestId: 'r1', attemptId: 'a1', workspace: 'w', operation: 'o', body: '{}',
    };
    const results = [];
    for (let run = 0; run < RUNS; run += 1) results.push(await service.call(call, { timeoutMs: 1_000 }));
    service.dispose();
    expect(results.filter(({ success }) => success).length).toBe(0);
  });
});
