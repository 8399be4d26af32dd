import type { ServerResponse } from 'node:http';
import { createServer } from 'node:net';
import {
  afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import { sendNotExecuted, sendSignedResponse, ServerStandIn } from '../src/emulator/backend.js';
import type { ReceivedCall } from '../src/emulator/backend.js';
import { SimulatedClock } from '../src/emulator/clock.js';
import { listenOnFreePort } from '../src/emulator/listen.js';
import { StoreStandIn } from '../src/emulator/platformstore.js';
import { sendCall } from '../src/emulator/sendcall.js';
import { ConnectionPool } from '../src/gateway/connections.js';
import { StoreContact } from '../src/gateway/contact.js';
import { RecordOrigin } from '../src/gateway/records.js';
import { ServerRegistry } from '../src/gateway/serverregistry.js';
import { configuration, startGateway } from './support/gateway.js';
import type { RunningGateway } from './support/gateway.js';
import { silentLog } from './support/loopback.js';
import { createServerRecord } from './support/serverrecord.js';
import { waitUntil } from './support/waituntil.js';

const CALLS = 20;

const LEAVING = { 'Server-Leaving': '1' };

const SOURCE = { origin: RecordOrigin.Snapshot, revision: 1 };

describe('an incarnation that has said in an answer that it leaves', () => {
  function registryWith(...ids: string[]): ServerRegistry {
    const clock = new SimulatedClock();
    const registry = new ServerRegistry({ clock, log: silentLog, contact: new StoreContact(clock) });
    for (const id of ids) registry.put(createServerRecord(id), SOURCE);
    return registry;
  }
  const availableIn = (registry: ServerRegistry): readonly string[] => registry.available('ledger').map(({ id }) => id);

  it('is used again only as a new incarnation', () => {
    const registry = registryWith('a', 'b');
    expect(registry.recordLeaving('a', 1)).toBe(true);
    expect(registry.recordLeaving('a', 1)).toBe(false);
    registry.put(createServerRecord('a', { sequence: 2 }), SOURCE);
    expect(availableIn(registry)).toEqual(['b']);
    registry.replace([createServerRecord('a', { sequence: 3 }), createServerRecord('b')], SOURCE);
    expect(availableIn(registry)).toEqual(['b']);
    registry.remove('a', SOURCE);
    registry.put(createServerRecord('a', { sequence: 4 }), SOURCE);
    expect(availableIn(registry)).toEqual(['b']);
    registry.put(createServerRecord('a', { bornAt: 2 }), SOURCE);
    expect(availableIn(registry)).toEqual(['a', 'b']);
  });

  it('is not forgotten for a late word on an earlier incarnation', () => {
    const registry = registryWith();
    registry.put(createServerRecord('a', { bornAt: 2 }), SOURCE);
    registry.recordLeaving('a', 2);
    expect(registry.recordLeaving('a', 1)).toBe(false);
    expect(availableIn(registry)).toEqual([]);
  });

  it('is remembered of a bounded number of servers', () => {
    const registry = registryWith('a');
    registry.recordLeaving('a', 1);
    for (let index = 0; index < 5_000; index += 1) registry.recordLeaving(`unknown-${index}`, 1);
    expect(registry.leavingCount).toBeLessThanOrEqual(1_001);
    expect(availableIn(registry)).toEqual([]);
  });
});

describe('a request that waits for its connection', () => {
  // Guards against calls that reach a server which has said that it leaves while they waited.
  it('is not written if it may not be sent any more', async () => {
    let received = 0;
    const server = createServer((socket) => {
      socket.on('data', (chunk) => {
        received += chunk.length;
      });
      socket.on('error', () => {});
    });
    const pool = new ConnectionPool(await listenOnFreePort(server));
    const failure = await new Promise<string>((resolve) => {
      pool.send({
        method: 'GET', path: '/', headers: [], body: null, id: 'r1',
      }, {
        mayBeSent: () => false, sent: () => resolve('sent'), head: () => {}, data: () => {}, end: () => {}, failed: resolve,
      });
    });
    expect(failure).toBe('given up');
    expect(received).toBe(0);
    pool.dispose();
    server.close();
  });
});

describe('a gateway', () => {
  let store: StoreStandIn;
  let leaving: ServerStandIn;
  let staying: ServerStandIn;
  let gateways: RunningGateway[];
  let respond: (res: ServerResponse, call: ReceivedCall) => void;
  let port = 25_300;

  const ask = (index: number, path = '/safe/x', headers: Record<string, string> = {}) => (
    sendCall(gateways[index]!.callers, path, { method: 'POST', body: 'p', headers })
  );
  const addresses = (index: number): string => `127.0.0.${2 + index}`;

  async function start(count: number): Promise<void> {
    port += 10;
    const seeds = Array.from({ length: count }, (_, index) => `${addresses(index)}:${port + 2}`);
    for (let index = 0; index < count; index += 1) {
      gateways.push(await startGateway(store, port, { host: addresses(index), seeds }));
    }
    await waitUntil(() => gateways.every(({ gateway }) => {
      const { servers, membership } = gateway.dump() as Record<string, Record<'list' | 'members', unknown[]>>;
      return gateway.ready() && servers!.list.length >= 2 && membership!.members.length >= count - 1;
    }));
  }

  /** Calls one gateway until the server that leaves has answered, and then as often as the test needs. */
  async function callUntilLeft(path: string, headers: Record<string, string> = {}): Promise<void> {
    for (let sent = 0; sent < 100 && leaving.received.length === 0; sent += 1) await ask(0, path, headers);
    expect(leaving.received.length).toBeGreaterThan(0);
    leaving.received.length = 0;
    for (let sent = 0; sent < CALLS; sent += 1) expect((await ask(0, path, headers)).status).toBe(200);
  }

  beforeEach(async () => {
    gateways = [];
    store = new StoreStandIn();
    await store.start();
    leaving = new ServerStandIn('i-1', (res, call) => respond(res, call));
    staying = new ServerStandIn('i-2', (res) => sendSignedResponse(res, 'done'));
    for (const server of [leaving, staying]) {
      await server.start();
      store.put(`servers/${server.id}`, server.serverRecord('ledger'));
    }
    store.put('op/config', configuration());
    respond = (res) => {
      res.setHeader('Server-Leaving', '1');
      sendSignedResponse(res, 'done');
    };
  });

  afterEach(async () => {
    await Promise.all(gateways.map((gateway) => gateway.stop()));
    for (const server of [leaving, staying]) server.stop();
    store.stop();
  });

  // Guards against calls to a server that has said in an answer that it leaves, whatever the store says.
  it.each<[string, typeof respond]>([
    ['a whole answer', (res) => sendSignedResponse(res, 'done')],
    ['a refusal', (res) => sendNotExecuted(res)],
    ['a failure', (res) => sendSignedResponse(res, 'failed', 500)],
    ['the head of a stream', (res) => {
      res.writeHead(200, { 'Catkinscale-Server-Signature': 's1', 'Content-Type': 'text/event-stream' });
      res.write('id: 1\n\n');
      setTimeout(() => res.end('id: 2\n\n'), 20);
    }],
  ])('sends no more to a server that says in %s that it leaves', async (_kind, answer) => {
    respond = (res) => {
      res.setHeader('Server-Leaving', '1');
      answer(res, {} as ReceivedCall);
    };
    await start(1);
    await callUntilLeft('/safe/x');
    store.put('servers/i-1', leaving.serverRecord('ledger', { sequence: 2 }));
    store.put('servers/i-3', staying.serverRecord('later'));
    await waitUntil(() => JSON.stringify(gateways[0]!.gateway.dump().servers).includes('"i-3"'));
    for (let sent = 0; sent < CALLS; sent += 1) await ask(0);
    expect(leaving.received).toEqual([]);
    store.put('servers/i-1', leaving.serverRecord('ledger', { born: 2 }));
    respond = (res) => sendSignedResponse(res, 'done');
    await waitUntil(async () => {
      await ask(0);
      return leaving.received.length > 0;
    });
  });

  it('passes the mark on to its caller', async () => {
    await start(1);
    await waitUntil(async () => (await ask(0)).headers['server-leaving'] === LEAVING['Server-Leaving']);
  });

  it('hears from the other gateways that a server leaves, while the store is away', async () => {
    await start(2);
    store.fault = (_req, res) => {
      res.destroy();
      return true;
    };
    await callUntilLeft('/safe/x');
    await waitUntil(() => JSON.stringify(gateways[1]!.gateway.dump().servers).includes('"leaving":true'));
    for (let sent = 0; sent < CALLS; sent += 1) await ask(1);
    expect(leaving.received).toEqual([]);
  });

  // Guards against a late answer to another call by which a sound server loses its work.
  it('takes no word on leaving from an answer that belongs to another call', async () => {
    respond = (res) => {
      res.setHeader('Server-Leaving', '1');
      res.setHeader('Catkinscale-Request-Id', 'another');
      sendSignedResponse(res, 'done');
    };
    await start(1);
    for (let sent = 0; sent < CALLS; sent += 1) await ask(0);
    expect(JSON.stringify(gateways[0]!.gateway.dump().servers)).not.toContain('"leaving":true');
  });
});
