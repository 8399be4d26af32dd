import { request } from 'node:http';
import type { ServerResponse } from 'node:http';
import { setTimeout as sleepMs } from 'node:timers/promises';
import {
  afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import { explain } from '../src/cli/explain.js';
import type { Explanation } from '../src/gateway/explanation.js';
import { sendCall } from '../src/emulator/sendcall.js';
import type { Answer } from '../src/emulator/sendcall.js';
import { ServerStandIn } from '../src/emulator/backend.js';
import type { ReceivedCall } from '../src/emulator/backend.js';
import { LinkProxy } from '../src/emulator/linkproxy.js';
import { StoreStandIn } from '../src/emulator/platformstore.js';
import { configuration, startGateway } from './support/gateway.js';
import type { RunningGateway } from './support/gateway.js';
import { waitUntil } from './support/waituntil.js';

const FIRST_PORT = 24_400;

const STREAMS = 8;

/** Longer than gateways take to write down which streams began where. */
const WRITTEN_MS = 600;

const HEADERS = { 'catkinscale-token-count': '100,90', 'catkinscale-deadline-ms': '8000' };

interface Begun { readonly id: string; readonly version: string; close(): void }

let store: StoreStandIn;
let engines: ServerStandIn[];
let gateway: RunningGateway;
let breakAfterFirst: boolean;
let lastId = 0;

function event(id: number, version: string): string {
  return `id: ${id}\ndata: ${version}\n\n`;
}

/** Starts engines of a version that send one event of a new stream, and the second one to who takes it up. */
async function startEngines(version: string, ids: readonly string[]): Promise<void> {
  const answer = (res: ServerResponse, { headers }: ReceivedCall): void => {
    res.writeHead(200, { 'Catkinscale-Server-Signature': 's1', 'Content-Type': 'text/event-stream' });
    if (headers['last-event-id'] !== undefined) res.end(event(2, version));
    else {
      res.write(event(1, version), () => {
        if (breakAfterFirst) setTimeout(() => res.destroy(), 20);
      });
    }
  };
  for (const id of ids) {
    const engine = new ServerStandIn(id, answer);
    await engine.start();
    engines.push(engine);
    store.put(`servers/${id}`, engine.serverRecord('engine', { stage: 'decode', version, slots: 16 }));
  }
}

async function start(known = engines.length): Promise<void> {
  gateway = await startGateway(store, FIRST_PORT);
  await waitUntil(() => (gateway.gateway.dump().servers as { list: unknown[] }).list.length === known);
  await sleepMs(WRITTEN_MS);
}

/** Begins a stream and resolves with its first event. */
function begin(): Promise<Begun> {
  lastId += 1;
  const id = `stream${lastId}`;
  const [host, port] = gateway.callers.split(':');
  return new Promise((resolve, reject) => {
    const req = request({
      host, port, path: '/long/x', method: 'POST', headers: { ...HEADERS, host: 'shop.example', 'catkinscale-request-id': id },
    }, (res) => {
      res.setEncoding('utf8');
      res.on('error', () => {});
      res.once('data', (text: string) => resolve({ id, version: /data: (\S+)/.exec(text)?.[1] ?? '', close: () => req.destroy() }));
    });
    req.on('error', reject);
    req.end('p');
  });
}

function takeUp({ id }: Pick<Begun, 'id'>, headers: Record<string, string> = { resumes: id }): Promise<Answer> {
  return sendCall(gateway.callers, '/long/x', { method: 'POST', body: 'p', headers: { ...HEADERS, 'last-event-id': '1', ...headers } });
}

async function beginAll(): Promise<Begun[]> {
  const streams = await Promise.all(Array.from({ length: STREAMS }, () => begin()));
  expect(new Set(streams.map(({ version }) => version))).toEqual(new Set(['v1', 'v2']));
  return streams;
}

/** Ends the gateway amid its streams. */
async function kill(): Promise<void> {
  await sleepMs(WRITTEN_MS);
  await gateway.stop();
}

beforeEach(async () => {
  breakAfterFirst = false;
  engines = [];
  store = new StoreStandIn();
  await store.start();
  const base = JSON.parse(configuration()) as { routes: object[] };
  store.put('op/config', JSON.stringify({ ...base, routes: base.routes.map((route) => ({ ...route, 'timeout-ms': 8_000 })) }));
});

afterEach(async () => {
  await gateway.stop();
  for (const engine of engines) engine.stop();
  store.stop();
});

describe('a resumable stream while two software versions serve', () => {
  it('breaks off where only servers of another software version could go on with it', async () => {
    breakAfterFirst = true;
    await startEngines('v1', ['d1']);
    await startEngines('v2', ['e1']);
    await start();
    const answer = await sendCall(gateway.callers, '/long/x', { method: 'POST', body: 'p', headers: HEADERS });
    expect([answer.broken, answer.body.includes('id: 2')]).toEqual([true, false]);
  });

  it('goes on at the software version that began it when its client takes it up', async () => {
    await startEngines('v1', ['d1', 'd2']);
    await startEngines('v2', ['e1', 'e2']);
    await start();
    const streams = await beginAll();
    for (const stream of streams) stream.close();
    const explained = await explain(gateway.metrics, { host: 'shop.example', target: '/long/x', resumes: streams[0]!.id });
    expect((explained.json as Explanation).softwareVersion).toBe(streams[0]!.version);
    const answers = await Promise.all(streams.map((stream) => takeUp(stream)));
    expect(answers.map(({ body }) => body)).toEqual(streams.map(({ version }) => event(2, version)));
  });

  it('goes on at the software version that began it after all gateways were killed', async () => {
    await startEngines('v1', ['d1', 'd2']);
    await startEngines('v2', ['e1', 'e2']);
    await start();
    const streams = await beginAll();
    await kill();
    await start();
    const answers = await Promise.all(streams.map((stream) => takeUp(stream)));
    expect(answers.map(({ body }) => body)).toEqual(streams.map(({ version }) => event(2, version)));
  });

  it('does not go on at another software version after a kill of all gateways and the end of its servers', async () => {
    await startEngines('v1', ['d1', 'd2']);
    await startEngines('v2', ['e1', 'e2']);
    await start();
    const streams = await beginAll();
    for (const id of ['d1', 'd2']) store.remove(`servers/${id}`);
    await kill();
    await start(2);
    const answers = await Promise.all(streams.map((stream) => takeUp(stream)));
    expect(answers.map(({ status, body }) => (status === 200 ? body : status)))
      .toEqual(streams.map(({ version }) => (version === 'v1' ? 503 : event(2, 'v2'))));
  });
});

describe('a resumable stream that is taken up at a gateway which was cut off while a second software version joined', () => {
  let link: LinkProxy;
  let cutOff: RunningGateway;

  /** Begins streams at the second version elsewhere; the gateway that is cut off from the store knows `peers`. */
  async function beginElsewhere(peers: readonly string[]): Promise<readonly Begun[]> {
    await startEngines('v1', ['d1', 'd2']);
    await start();
    link = new LinkProxy(store.address);
    await link.start();
    cutOff = await startGateway(link, FIRST_PORT + 10, { seeds: peers });
    await waitUntil(() => cutOff.gateway.ready());
    await sleepMs(WRITTEN_MS);
    link.silence();
    await startEngines('v2', ['e1', 'e2']);
    await waitUntil(() => (gateway.gateway.dump().servers as { list: unknown[] }).list.length === engines.length);
    await sleepMs(WRITTEN_MS);
    return (await beginAll()).filter(({ version }) => version === 'v2');
  }

  function takeUpAtCutOff({ id }: Begun): Promise<Answer> {
    return sendCall(cutOff.callers, '/long/x', {
      method: 'POST', body: 'p', headers: { ...HEADERS, 'last-event-id': '1', resumes: id },
    });
  }

  afterEach(async () => {
    link.stop();
    await cutOff.stop();
  });

  // Guards against a gateway that takes the version that it has seen for the only one, and joins two versions.
  it('is refused until the store answers', async () => {
    const streams = await beginElsewhere([]);
    const refused = await Promise.all(streams.map((stream) => takeUpAtCutOff(stream)));
    expect(refused.map(({ status }) => status)).toEqual(streams.map(() => 503));
    link.heal();
    link.reset();
    await waitUntil(async () => (await takeUpAtCutOff(streams[0]!)).body === event(2, 'v2'));
  });

  // Guards against a refusal of streams that a gateway which still runs has begun.
  it('goes on at the version that a gateway remembers which it reaches', async () => {
    const streams = await beginElsewhere([`127.0.0.1:${FIRST_PORT + 2}`]);
    await waitUntil(() => (cutOff.gateway.dump().servers as { list: unknown[] }).list.length === engines.length);
    const answers = await Promise.all(streams.map((stream) => takeUpAtCutOff(stream)));
    expect(answers.map(({ body }) => body)).toEqual(streams.map(() => event(2, 'v2')));
  });
});
