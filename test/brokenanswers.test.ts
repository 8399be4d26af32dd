import { createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import {
  afterAll, beforeAll, beforeEach, describe, expect, it,
} from 'vitest';
import { createServerRecord } from '../src/emulator/backend.js';
import { listenOnFreePort } from '../src/emulator/listen.js';
import { StoreStandIn } from '../src/emulator/platformstore.js';
import { sendCall } from '../src/emulator/sendcall.js';
import { configuration, startGateway } from './support/gateway.js';
import type { RunningGateway } from './support/gateway.js';
import { waitUntil } from './support/waituntil.js';

/** Request as a server received it, with the ids of all requests of its connection so far. */
interface Received {
  readonly socket: Socket;
  readonly ids: readonly string[];
  readonly server: string;
  readonly lastEventId: string | null;
}

let store: StoreStandIn;
let gateway: RunningGateway;
let received: Received[];
let respond: (request: Received) => void = () => {};
const servers: Server[] = [];

function signedHead(id: string, more = ''): string {
  return `HTTP/1.1 200 OK\r\nCatkinscale-Request-Id: ${id}\r\nCatkinscale-Server-Signature: s1\r\n${more}\r\n`;
}

function answerTo(id: string): string {
  const body = `answer to ${id}`;
  return `${signedHead(id, `Content-Length: ${body.length}\r\n`)}${body}`;
}

function refusal(id: string | null, status = 503): string {
  const idHeader = id === null ? '' : `Catkinscale-Request-Id: ${id}\r\n`;
  return `HTTP/1.1 ${status} Refused\r\nCatkinscale-Not-Executed: 1\r\n${idHeader}Content-Length: 0\r\n\r\n`;
}

/** Server that passes each request to `respond`. */
function plainServer(name: string): Server {
  const server = createServer((socket) => {
    const ids: string[] = [];
    socket.on('error', () => {});
    let text = '';
    socket.on('data', (chunk) => {
      text += chunk.toString();
      for (let end = text.indexOf('\r\n\r\n'); end !== -1; end = text.indexOf('\r\n\r\n')) {
        const head = text.slice(0, end);
        const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
        if (text.length < end + 4 + length) return;
        text = text.slice(end + 4 + length);
        ids.push(/catkinscale-request-id: (\S+)/i.exec(head)?.[1] ?? '');
        const request = {
          socket, ids: [...ids], server: name, lastEventId: /last-event-id: (\S+)/i.exec(head)?.[1] ?? null,
        };
        received.push(request);
        respond(request);
      }
    });
  });
  servers.push(server);
  return server;
}

let asked = 0;

function ask(path: string) {
  asked += 1;
  return sendCall(gateway.callers, path, {
    method: 'POST',
    // A prompt of its own, as servers seem to end under those whose answers break off.
    body: `{"prompt":${asked}}`,
    headers: { 'catkinscale-request-id': `q${asked}`, 'catkinscale-token-count': '60,9' },
  });
}

beforeAll(async () => {
  received = [];
  store = new StoreStandIn();
  await store.start();
  store.put('servers/p', createServerRecord(await listenOnFreePort(plainServer('p')), 'ledger'));
  for (const name of ['e1', 'e2']) {
    const address = await listenOnFreePort(plainServer(name));
    store.put(`servers/${name}`, createServerRecord(address, 'engine', { stage: 'decode' }));
  }
  store.put('op/config', configuration());
  gateway = await startGateway(store, 22_400);
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

let born = 1;

beforeEach(async () => {
  // With a new start time, connections and failures of the test before are forgotten.
  born += 1;
  for (const id of ['p', 'e1', 'e2']) {
    const { list } = gateway.gateway.dump().servers as { list: readonly { id: string; address: string }[] };
    const { address } = list.find((server) => server.id === id)!;
    const changes = id === 'p' ? { born } : { born, stage: 'decode' };
    store.put(`servers/${id}`, createServerRecord(address, id === 'p' ? 'ledger' : 'engine', changes));
  }
  await waitUntil(() => {
    const { list } = gateway.gateway.dump().servers as { list: readonly { bornAt: number }[] };
    return list.every(({ bornAt }) => bornAt === born);
  });
  received = [];
});

describe('an earlier refusal that a server writes once more', () => {
  // Guards against "not run" for a call that the server has run or is running.
  it.each([
    ['with its id', (id: string) => refusal(id)],
    ['without an id', () => refusal(null)],
    ['without an id, as a bad request', () => refusal(null, 400)],
  ])('%s does not refuse the call that runs by then', async (_how, copyOf) => {
    respond = ({ socket, ids }) => {
      const [first, second] = ids;
      if (second === undefined) socket.write(refusal(first!));
      else {
        socket.write(copyOf(first!));
        setTimeout(() => socket.write(answerTo(second)), 10);
      }
    };
    expect((await ask('/order/x')).status).toBe(503);
    await pause(150);
    const { status } = await ask('/order/x');
    expect(received.map(({ ids }) => ids.length)).toEqual([1, 2]);
    expect(status).toBe(502);
  });

  // Guards against refusals that are lost, because a server may refuse before it has read the id.
  it.each([400, 503])('is no concern on a new connection, where status %i without an id is the answer', async (code) => {
    respond = ({ socket }) => socket.write(refusal(null, code));
    expect((await ask('/order/x')).status).toBe(503);
    expect(received).toHaveLength(1);
  });

  // Guards against a copy that has the right id, because the same call comes to the server once more.
  it('is on no connection that the call uses again', async () => {
    respond = ({
      socket, ids, server, lastEventId,
    }) => {
      const id = ids.at(-1)!;
      if (received.length === 1) socket.write(refusal(id));
      else if (lastEventId === null && server !== received[0]!.server) {
        socket.write(`${signedHead(id, 'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n')}7\r\nid: 1\n\n\r\n`);
        setTimeout(() => socket.destroy(), 20);
      } else {
        if (ids.length > 1) socket.write(refusal(id));
        socket.write(`${signedHead(id, 'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n')}7\r\nid: 2\n\n\r\n0\r\n\r\n`);
      }
    };
    expect(await ask('/long/x')).toMatchObject({ status: 200, broken: false, body: 'id: 1\n\nid: 2\n\n' });
    expect(received).toHaveLength(3);
  });
});

describe('a stream that has begun and broken off', () => {
  const EVENT_STREAM = 'Content-Type: text/event-stream\r\n';

  // Guards against the text of an error, or its head, in the middle of a caller's stream.
  it.each([
    ['an error', (id: string) => `HTTP/1.1 500 Oops\r\nCatkinscale-Request-Id: ${id}\r\nContent-Length: 4\r\n\r\noops`],
    ['an error of the same type', (id: string) => `HTTP/1.1 500 Oops\r\nCatkinscale-Request-Id: ${id}\r\n${EVENT_STREAM}Transfer-Encoding: chunked\r\n\r\n4\r\noops\r\n0\r\n\r\n`],
    ['a refusal', (id: string) => refusal(id)],
    ['an unsigned success', (id: string) => `HTTP/1.1 200 OK\r\nCatkinscale-Request-Id: ${id}\r\n${EVENT_STREAM}Transfer-Encoding: chunked\r\n\r\n7\r\nid: 9\n\n\r\n0\r\n\r\n`],
    ['a success of another type', (id: string) => answerTo(id)],
    ['bytes that are no answer', () => 'oops oops\r\n\r\n'],
    ['an answer to another call', () => signedHead('q0', `${EVENT_STREAM}Transfer-Encoding: chunked\r\n`)],
  ])('and is answered by the next server with %s ends as broken after its own events', async (_what, next) => {
    respond = ({ socket, ids }) => {
      const id = ids.at(-1)!;
      if (received.length > 1) {
        socket.write(next(id));
        return;
      }
      socket.write(`${signedHead(id, `${EVENT_STREAM}Transfer-Encoding: chunked\r\n`)}7\r\nid: 1\n\n\r\n`);
      setTimeout(() => socket.destroy(), 20);
    };
    expect(await ask('/long/x')).toMatchObject({ status: 200, broken: true, body: 'id: 1\n\n' });
    expect(received.length).toBeGreaterThan(1);
  });
});

describe('an answer whose head breaks off', () => {
  const WHOLE = signedHead('ID', 'Content-Type: text/event-stream\r\nConnection: close\r\n');

  /** Sends all but the last bytes of the head; on kept connections, only after one whole answer. */
  function respondWithCutHead(missing: number, kept: boolean): typeof respond {
    return ({ socket, ids }) => {
      if (kept && ids.length === 1 && received.length === 1) socket.write(answerTo(ids[0]!));
      else socket.end(WHOLE.replace('ID', ids.at(-1)!).slice(0, -missing));
    };
  }

  // Guards against a success with an empty or short body, framed as whole.
  it.each(['/order/x', '/long/x'])('is no success at %s, wherever it ends and on whichever connection', async (path) => {
    for (const kept of [false, true]) {
      for (const cut of [5, 12, 17, 40, 60, WHOLE.length - 30, WHOLE.length - 4, WHOLE.length - 2, WHOLE.length - 1]) {
        received = [];
        respond = respondWithCutHead(WHOLE.length - cut, kept);
        if (kept) await ask(path);
        const { status, body, broken } = await ask(path);
        expect({
          cut, kept, success: status < 300 && !broken, body,
        }).toMatchObject({ success: false });
        expect(body).not.toContain('HTTP/');
      }
    }
  }, 60_000);
});
