import { request as httpRequest } from 'node:http';
import type { ServerResponse } from 'node:http';
import { connect, createServer } from 'node:net';
import {
  afterAll, beforeAll, beforeEach, describe, expect, it,
} from 'vitest';
import { sendCall } from '../src/emulator/sendcall.js';
import type { Answer, SendCallOptions } from '../src/emulator/sendcall.js';
import {
  createServerRecord, sendNotExecuted, ServerStandIn, sendSignedResponse,
} from '../src/emulator/backend.js';
import type { ReceivedCall } from '../src/emulator/backend.js';
import { listenOnFreePort } from '../src/emulator/listen.js';
import { StoreStandIn } from '../src/emulator/platformstore.js';
import { configuration, startGateway } from './support/gateway.js';
import type { RunningGateway } from './support/gateway.js';
import { waitUntil } from './support/waituntil.js';

let store: StoreStandIn;
let gateway: RunningGateway;
let first: ServerStandIn;
let second: ServerStandIn;
let respond: (res: ServerResponse, call: ReceivedCall, server: string) => void = (res) => sendSignedResponse(res, 'done');

/** Number of calls so far, from which start times and versions of the tests are made. */
let ids = 0;

function ask(path: string, opts: SendCallOptions = {}): Promise<Answer> {
  ids += 1;
  return sendCall(gateway.callers, path, opts);
}

async function readyStatus(): Promise<number> {
  return fetch(`http://${gateway.readiness}/ready`).then(({ status }) => status, () => 0);
}

beforeAll(async () => {
  store = new StoreStandIn();
  await store.start();
  first = new ServerStandIn('i-1', (res, call) => respond(res, call, 'i-1'));
  second = new ServerStandIn('i-2', (res, call) => respond(res, call, 'i-2'));
  await first.start();
  await second.start();
  gateway = await startGateway(store, 21_300);
});

afterAll(async () => {
  await gateway.stop();
  first.stop();
  second.stop();
  store.stop();
});

beforeEach(async () => {
  respond = (res) => sendSignedResponse(res, 'done');
  // With a new start time, servers that a test has made suspect are used again.
  const born = ids * 2;
  store.put('servers/i-1', first.serverRecord('ledger', { born }));
  store.put('servers/i-2', second.serverRecord('ledger', { born }));
  store.put('op/config', configuration({}, ids + 1));
  await waitUntil(async () => (await ask('/safe/warm-up')).status === 200 && (await ask('/safe/warm-up')).status === 200);
  await waitUntil(() => {
    const { list } = gateway.gateway.dump().servers as { list: readonly { id: string; bornAt: number }[] };
    return list.every(({ id, bornAt }) => !id.startsWith('i-') || bornAt === born);
  });
  first.received.length = 0;
  second.received.length = 0;
});

function runs(): number {
  return first.received.length + second.received.length;
}

describe('a call', () => {
  it('is forwarded unchanged, and its answer is passed back', async () => {
    respond = (res, call) => {
      res.setHeader('X-Own', 'kept');
      sendSignedResponse(res, `${call.method} ${call.url} ${call.body}`);
    };
    const answer = await ask('/order/a%2Fb?x=1', { method: 'POST', body: 'crate', headers: { 'catkinscale-deadline-ms': '500' } });
    expect(answer).toMatchObject({ status: 200, body: 'POST /order/a%2Fb?x=1 crate' });
    expect(answer.headers).toMatchObject({ 'x-own': 'kept', 'catkinscale-server-signature': 's1' });
    const { headers } = [...first.received, ...second.received][0]!;
    expect(headers['catkinscale-expect-instance']).toMatch(/^i-[12]$/);
    expect(Number(headers['catkinscale-deadline-ms'])).toBeLessThanOrEqual(500);
  });

  it('gets 404 without a route, 200 with an empty request id and 413 with too large a body', async () => {
    expect((await ask('/nowhere/')).status).toBe(404);
    expect((await ask('/safe/', { headers: { 'catkinscale-request-id': '' } })).status).toBe(200);
    expect((await ask('/order/', { method: 'POST', body: 'x'.repeat(5_000) })).status).toBe(413);
  });

  // Guards against callers that get no final answer before they give up.
  it('gets its final answer at the timeout of its route', async () => {
    respond = () => {};
    const answer = await ask('/order/slow', { method: 'POST', body: 'x' });
    expect(answer.status).toBe(504);
    expect(answer.tookMs).toBeGreaterThan(550);
    expect(answer.tookMs).toBeLessThan(900);
  });

  // Guards against work for callers that have disconnected.
  it('is aborted at the server when its caller disconnects', async () => {
    respond = () => {};
    const [host, port] = gateway.callers.split(':');
    const socket = connect(Number(port), host);
    socket.write('GET /safe/x HTTP/1.1\r\nHost: shop.example\r\nCatkinscale-Request-Id: gone\r\n\r\n');
    await waitUntil(() => runs() === 1);
    socket.destroy();
    await waitUntil(() => [...first.received, ...second.received].every(({ aborted }) => aborted));
  });
});

describe('an aborted call', () => {
  // Guards against a request that is held up by an interrupted link and delivered when the link works again.
  it('resets its connection to the server, so that no bytes of it are delivered later', async () => {
    const ends: string[] = [];
    const silent = createServer((socket) => {
      socket.on('data', () => {});
      socket.on('end', () => ends.push('closed'));
      socket.on('error', (err: NodeJS.ErrnoException) => ends.push(err.code ?? ''));
    });
    store.put('servers/i-silent', createServerRecord(await listenOnFreePort(silent), 'silent'));
    const { routes, ...rest } = JSON.parse(configuration({}, ids + 2)) as { routes: { name: string }[] };
    const changed = routes.map((route) => (route.name === 'order' ? { ...route, service: 'silent' } : route));
    const services = [{ name: 'ledger' }, { name: 'engine', engine: { slots: 4 } }, { name: 'silent' }];
    store.put('op/config', JSON.stringify({ ...rest, routes: changed, services }));
    ids += 2;
    await waitUntil(async () => (await ask('/order/x', { method: 'POST', body: 'x' })).status === 504);
    await waitUntil(() => ends.length > 0);
    expect(new Set(ends)).toEqual(new Set(['ECONNRESET']));
    store.remove('servers/i-silent');
    silent.close();
  });
});

describe('a call whose caller disconnects before the gateway reads it', () => {
  // Guards against work for callers that disconnected while their calls waited in a busy process.
  it('is sent to no server', async () => {
    // Opens connections to both servers, on which a call would be written without delay.
    await Promise.all([ask('/safe/x'), ask('/safe/x')]);
    const before = first.arrivedCalls + second.arrivedCalls;
    const [host, port] = gateway.callers.split(':');
    for (const path of ['/safe/x', '/order/x']) {
      const socket = connect(Number(port), host);
      await new Promise((resolve) => {
        socket.once('connect', resolve);
      });
      // The kernel has the request and the close before the gateway, which runs in this process, can read anything.
      socket.write(`POST ${path} HTTP/1.1\r\nHost: shop.example\r\nCatkinscale-Request-Id: gone\r\nContent-Length: 1\r\n\r\nx`);
      socket.destroy();
    }
    await new Promise((resolve) => {
      setTimeout(resolve, 200);
    });
    expect(first.arrivedCalls + second.arrivedCalls).toBe(before);
  });
});

describe('a non-idempotent call', () => {
  // Guards against bookings that run twice.
  it('is not sent again after its connection broke, and gets 502, which leaves the outcome open', async () => {
    respond = (res) => res.destroy();
    expect((await ask('/order/x', { method: 'POST', body: 'x' })).status).toBe(502);
    expect(runs()).toBe(1);
  });

  it('is sent to another server if the first one states that it did not execute the call', async () => {
    respond = (res, _call, server) => {
      if (first.received.length + second.received.length === 1) sendNotExecuted(res);
      else sendSignedResponse(res, server);
    };
    expect((await ask('/order/x', { method: 'POST', body: 'x' })).status).toBe(200);
    expect(runs()).toBe(2);
  });

  it('gets 503, which promises that it did not run, if every server states that it did not execute it', async () => {
    respond = (res) => sendNotExecuted(res);
    const answer = await ask('/order/x', { method: 'POST', body: 'x' });
    expect(answer.status).toBe(503);
    expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0);
  });

  // Guards against a promise to the caller that the server did not make.
  it('gets 502 if a server answers 503 without stating that it did not execute the call', async () => {
    respond = (res) => sendSignedResponse(res, 'busy', 503);
    expect((await ask('/order/x', { method: 'POST', body: 'x' })).status).toBe(502);
    expect(runs()).toBe(1);
  });
});

describe('an idempotent call', () => {
  it('is sent to another server after a failure', async () => {
    respond = (res) => (runs() === 1 ? res.destroy() : sendSignedResponse(res, 'second'));
    expect(await ask('/safe/x')).toMatchObject({ status: 200, body: 'second' });
    expect(new Set([first.received.length, second.received.length])).toEqual(new Set([1]));
  });

  it('is sent to no more servers than its route allows', async () => {
    respond = (res) => sendSignedResponse(res, 'failed', 500);
    expect((await ask('/safe/x')).status).toBe(500);
    expect(runs()).toBe(2);
  });
});

describe('an answer', () => {
  // Guards against a success that the server did not sign.
  it('without a signature is not passed on as a success', async () => {
    respond = (res) => res.writeHead(200, { 'Content-Length': 2 }).end('ok');
    expect((await ask('/order/x', { method: 'POST', body: 'x' })).status).toBe(502);
  });

  // Guards against the answer to another call that arrives on the same connection.
  it('with the request id of another call is not passed on', async () => {
    respond = (res) => {
      res.setHeader('Catkinscale-Request-Id', 'other');
      sendSignedResponse(res, 'of another call');
    };
    expect((await ask('/order/x', { method: 'POST', body: 'x' })).status).toBe(502);
  });

  // Guards against a last chunk in the answer to the caller that the server never sent.
  it('in chunks does not look complete if the server closes the connection before the last chunk', async () => {
    respond = (res) => {
      res.writeHead(200, { 'Catkinscale-Server-Signature': 's1', Connection: 'close' });
      res.write('half');
      setTimeout(() => res.socket?.end(), 20);
    };
    expect(await ask('/safe/x')).toMatchObject({ status: 200, body: 'half', broken: true });
  });

  // A short one is held until its end, so that its caller gets a failure in place of half an answer.
  it.each([
    ['short', 'half', { status: 502, broken: false }],
    ['long', 'half'.repeat(40_000), { broken: true }],
  ])('without length does not look complete if its connection is reset (%s)', async (_size, body, expected) => {
    respond = (res) => {
      res.shouldKeepAlive = false;
      res.useChunkedEncodingByDefault = false;
      res.writeHead(200, { 'Catkinscale-Server-Signature': 's1' });
      res.write(body);
      setTimeout(() => res.socket?.resetAndDestroy(), 20);
    };
    expect(await ask('/safe/x')).toMatchObject(expected);
  });

  it('without length is passed on without length', async () => {
    respond = (res) => {
      res.shouldKeepAlive = false;
      res.useChunkedEncodingByDefault = false;
      res.writeHead(200, { 'Catkinscale-Server-Signature': 's1' });
      res.end('whole');
    };
    const answer = await ask('/safe/x');
    expect(answer).toMatchObject({ status: 200, body: 'whole', broken: false });
    expect(answer.headers['transfer-encoding']).toBeUndefined();
  });

  it('that is an event stream is passed on completely', async () => {
    respond = (res) => {
      res.writeHead(200, { 'Catkinscale-Server-Signature': 's1', 'Content-Type': 'text/event-stream' });
      res.write('id: 1\n\n');
      setTimeout(() => res.end('id: 2\n\n'), 150);
    };
    const answer = await ask('/talk/x', { method: 'POST', body: '{}' });
    expect(answer).toMatchObject({ status: 200, body: 'id: 1\n\nid: 2\n\n', broken: false });
  });
});

describe('a long prompt', () => {
  const headers = {
    'catkinscale-token-count': '60300,2', 'catkinscale-prompt-prefix': 'a1:25000,b2:35000,c3:300',
  };
  const engines = new Map<string, ServerStandIn>();
  /** Handles a call instead of the usual answer if it returns true. */
  let intercept: (res: ServerResponse, call: ReceivedCall) => boolean = () => false;

  const isPrefill = (call: ReceivedCall): boolean => call.headers['catkinscale-stage'] === 'prefill';

  const answer = (engine: string) => (res: ServerResponse, call: ReceivedCall): void => {
    if (intercept(res, call)) return;
    if (isPrefill(call)) sendSignedResponse(res, `{"kv-handle":"h-${engine}","tokens":9000,"version":1}`);
    else sendSignedResponse(res, `from ${String(call.headers['catkinscale-kv-source'])}`);
  };

  const receivedBy = (...names: readonly string[]): readonly ReceivedCall[] => (
    names.flatMap((name) => engines.get(name)!.received)
  );

  const send = (): Promise<Answer> => ask('/long/x', { method: 'POST', body: 'p', headers });

  beforeAll(async () => {
    for (const [engine, stage] of [['p1', 'prefill'], ['p2', 'prefill'], ['d1', 'decode'], ['d2', 'decode']] as const) {
      const standIn = new ServerStandIn(engine, answer(engine));
      await standIn.start();
      engines.set(engine, standIn);
      store.put(`servers/${engine}`, standIn.serverRecord('engine', { stage }));
    }
    await waitUntil(() => (gateway.gateway.dump().servers as { list: unknown[] }).list.length === 6);
  });

  beforeEach(() => {
    intercept = () => false;
    for (const engine of engines.values()) engine.received.length = 0;
  });

  afterAll(() => {
    for (const engine of engines.values()) engine.stop();
  });

  it('is prefilled on one engine and continues at another', async () => {
    const { status, body } = await send();
    expect(status).toBe(200);
    expect(body).toMatch(/^from 127\.0\.0\.1:\d+\/h-p[12]$/);
    expect(receivedBy('p1', 'p2')).toHaveLength(1);
  });

  // Guards against slots that calls without an answer occupy until their deadline, at an engine that answers others.
  it('is prefilled on another engine if the first one never answers', async () => {
    intercept = (_res, call) => isPrefill(call) && receivedBy('p1', 'p2').length === 1;
    const { status, tookMs } = await send();
    expect(status).toBe(200);
    expect(tookMs).toBeLessThan(1_000);
    expect([receivedBy('p1').length, receivedBy('p2').length]).toEqual([1, 1]);
  });

  // Guards against a second prefill for a caller that disconnected during the first.
  it('is not prefilled again after its caller has disconnected', async () => {
    intercept = (_res, call) => isPrefill(call);
    const [host, port] = gateway.callers.split(':');
    const socket = connect(Number(port), host);
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('');
    socket.write(`POST /long/x HTTP/1.1\r\nHost: shop.example\r\nCatkinscale-Request-Id: left\r\n${lines}Content-Length: 1\r\n\r\np`);
    await waitUntil(() => receivedBy('p1', 'p2').length === 1);
    socket.destroy();
    await waitUntil(() => receivedBy('p1', 'p2').every(({ aborted }) => aborted));
    await new Promise((resolve) => {
      setTimeout(resolve, 100);
    });
    expect(receivedBy('p1', 'p2')).toHaveLength(1);
  });

  it('is run again if its connection breaks before the first event, because its route is resumable', async () => {
    intercept = (res, call) => {
      if (isPrefill(call) || receivedBy('d1', 'd2').length > 1) return false;
      res.destroy();
      return true;
    };
    expect((await send()).status).toBe(200);
    expect([receivedBy('d1').length, receivedBy('d2').length]).toEqual([1, 1]);
    expect(receivedBy('p1', 'p2')).toHaveLength(2);
  });

  // Guards against prompts that are prefilled repeatedly on an engine from which no call can continue.
  it('is prefilled on other engines after calls could not continue from an engine', async () => {
    const failing = new ServerStandIn('p3', answer('p3'));
    await failing.start();
    store.put('servers/p3', failing.serverRecord('engine', { stage: 'prefill' }));
    await waitUntil(() => (gateway.gateway.dump().servers as { list: unknown[] }).list.length === 7);
    intercept = (res, call) => {
      if (!String(call.headers['catkinscale-kv-source']).includes('h-p3')) return false;
      sendNotExecuted(res);
      return true;
    };
    const statuses: number[] = [];
    for (let part = 10; part < 50; part += 1) {
      const parts = { ...headers, 'catkinscale-prompt-prefix': `a1:25000,${part}:35000,c3:300` };
      statuses.push((await ask('/long/x', { method: 'POST', body: 'p', headers: parts })).status);
    }
    store.remove('servers/p3');
    failing.stop();
    const refusals = statuses.filter((status) => status === 503).length;
    expect(refusals).toBeGreaterThan(0);
    expect(refusals).toBeLessThan(6);
    expect(statuses.filter((status) => status === 200)).toHaveLength(40 - refusals);
  });

  it('is refused, and its KV cache is freed, if no engine continues it', async () => {
    intercept = (res, call) => {
      if (call.method === 'DELETE' || isPrefill(call)) return false;
      sendNotExecuted(res);
      return true;
    };
    expect((await send()).status).toBe(503);
    await waitUntil(() => receivedBy('p1', 'p2').some(({ method, url }) => (
      method === 'DELETE' && url.startsWith('/kv-handle/h-p')
    )));
  });
});

describe('the configuration', () => {
  it('is applied when it changes, and calls to removed routes get 404', async () => {
    const reduced = JSON.parse(configuration({}, ids + 10_000)) as { routes: object[] };
    store.put('op/config', JSON.stringify({ ...reduced, routes: reduced.routes.slice(1) }));
    await waitUntil(async () => (await ask('/safe/x')).status === 404);
    ids += 10_001;
  });

  // Guards against an invalid configuration that replaces the current one.
  it('stays in force if a new one is invalid', async () => {
    store.put('op/config', '{"version":');
    await new Promise((resolve) => {
      setTimeout(resolve, 100);
    });
    expect((await ask('/safe/x')).status).toBe(200);
  });
});

describe('a gateway', () => {
  it('lists its address for callers, and serves its metrics and its state', async () => {
    const answer = await fetch(`http://${gateway.directory}/resolve?name=x&region=r&zone=z`);
    expect(await answer.json()).toEqual({ addresses: [gateway.callers], 'ttl-s': 0.1 });
    expect(await readyStatus()).toBe(200);
    const metrics = await fetch(`http://${gateway.metrics}/metrics`).then((res) => res.text());
    expect(metrics).toContain('catkinscale_forwarded_total');
    const dump = await fetch(`http://${gateway.metrics}/dump`).then((res) => res.json()) as object;
    expect(dump).toHaveProperty('servers.list');
  });

  // Guards against a process that reports to be ready before it can serve, or that refuses calls for good meanwhile.
  it('is not ready without a configuration, and refuses calls with 503', async () => {
    const empty = new StoreStandIn();
    await empty.start();
    const starting = await startGateway(empty, 21_310);
    const ready = await fetch(`http://${starting.readiness}/ready`);
    expect(ready.status).toBe(503);
    const call = await fetch(`http://${starting.callers}/safe/x`, { headers: { 'catkinscale-request-id': 'x' } });
    expect(call.status).toBe(503);
    await starting.stop();
    empty.stop();
  });

  // Guards against a process that never becomes ready because the store has an outage when it starts.
  it('gets its configuration and server records from a peer during an outage of the store', async () => {
    const away = new StoreStandIn();
    await away.start();
    away.fault = (_req, res) => {
      res.writeHead(503).end();
      return true;
    };
    const starting = await startGateway(away, 21_320, { seeds: ['127.0.0.1:21302'] });
    await waitUntil(async () => (await fetch(`http://${starting.readiness}/ready`)).status === 200);
    const call = await fetch(`http://${starting.callers}/safe/x`, {
      headers: { host: 'shop.example', 'catkinscale-request-id': 'peer' },
    }).catch(() => null);
    expect(call).not.toBeNull();
    await starting.stop();
    away.stop();
  });

  it('finishes running calls when it stops, and is not ready as soon as the stop begins', async () => {
    const other = await startGateway(store, 21_330);
    await waitUntil(async () => (await fetch(`http://${other.readiness}/ready`)).status === 200);
    respond = (res) => setTimeout(() => sendSignedResponse(res, 'late'), 400);
    const [host, port] = other.callers.split(':');
    const running = new Promise<number>((resolve, reject) => {
      httpRequest({
        host, port, path: '/safe/x', headers: { host: 'shop.example', 'catkinscale-request-id': 'drained' },
      }, (res) => {
        res.resume();
        res.on('close', () => resolve(res.complete ? res.statusCode ?? 0 : 0));
      }).on('error', reject).end();
    });
    await waitUntil(() => runs() === 1);
    const stopped = other.stop();
    // Guards against a stream that is accepted after the stop has begun and cut off when the grace period ends.
    const late = await new Promise<Pick<Answer, 'status' | 'headers'>>((resolve, reject) => {
      httpRequest({
        host, port, path: '/long/x', method: 'POST', headers: { host: 'shop.example', 'catkinscale-request-id': 'late' },
      }, (res) => {
        res.resume();
        resolve({ headers: res.headers, status: res.statusCode ?? 0 });
      }).on('error', reject).end('x');
    });
    expect([late.status, Number(late.headers['retry-after']) < 0.1]).toEqual([503, true]);
    expect((await fetch(`http://${other.readiness}/ready`)).status).toBe(503);
    expect(await running).toBe(200);
    await stopped;
  });
});
