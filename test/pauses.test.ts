import type { ServerResponse } from 'node:http';
import {
  afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import { sendSignedResponse, ServerStandIn } from '../src/emulator/backend.js';
import { StoreStandIn } from '../src/emulator/platformstore.js';
import { sendCall } from '../src/emulator/sendcall.js';
import { configuration, startGateway } from './support/gateway.js';
import type { RunningGateway } from './support/gateway.js';
import { waitUntil } from './support/waituntil.js';

/** Answers 503 and asks for a pause of `seconds`. */
function askForPause(res: ServerResponse, seconds: number, headers: Record<string, string> = { 'Catkinscale-Not-Executed': '1' }): void {
  res.writeHead(503, { ...headers, 'Retry-After': String(seconds), 'Content-Length': 0 });
  res.end();
}

describe('a gateway whose server has asked for a pause', () => {
  let store: StoreStandIn;
  let pausing: ServerStandIn;
  let other: ServerStandIn;
  let gateway: RunningGateway;
  let pausedAt: number | null;
  let port = 24_100;

  const call = (path = '/safe/x') => sendCall(gateway.callers, path, { method: 'POST', body: 'p' });
  const servers = (): string => JSON.stringify(gateway.gateway.dump().servers);

  async function start(seconds: number, service = 'ledger'): Promise<void> {
    pausedAt = null;
    pausing = new ServerStandIn('i-1', (res) => {
      if (pausedAt !== null) sendSignedResponse(res, 'done');
      else {
        pausedAt = performance.now();
        askForPause(res, seconds);
      }
    });
    for (const server of [pausing, other]) {
      await server.start();
      store.put(`servers/${server.id}`, server.serverRecord(service));
    }
    gateway = await startGateway(store, port);
    await waitUntil(() => gateway.gateway.ready() && servers().includes('"i-2"'));
  }

  /** Calls until the server has asked for its pause. */
  async function callUntilPaused(): Promise<void> {
    while (pausedAt === null) await call();
  }

  beforeEach(async () => {
    port += 10;
    store = new StoreStandIn();
    await store.start();
    store.put('op/config', configuration());
    other = new ServerStandIn('i-2', (res) => sendSignedResponse(res, 'done'));
  });

  afterEach(async () => {
    await gateway.stop();
    for (const server of [pausing, other]) server.stop();
    store.stop();
  });

  it('sends it no call before the end of the pause, also when its record is removed and comes back', async () => {
    await start(1.5);
    await callUntilPaused();
    while (performance.now() - pausedAt! < 500) expect((await call()).status).toBe(200);
    store.remove('servers/i-1');
    await waitUntil(() => !servers().includes('"i-1"'));
    store.put('servers/i-1', pausing.serverRecord('ledger', { sequence: 2 }));
    await waitUntil(() => servers().includes('"i-1"'));
    while (performance.now() - pausedAt! < 1_450) expect((await call()).status).toBe(200);
    expect(pausing.received).toHaveLength(1);
    await waitUntil(async () => {
      await call();
      return pausing.received.length > 1;
    });
  });
});
