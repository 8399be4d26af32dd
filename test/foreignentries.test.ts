import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import {
  afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import { bundleProgram } from '../src/demo/bundle.js';
import { createServerRecord, sendSignedResponse, ServerStandIn } from '../src/emulator/backend.js';
import { StoreStandIn } from '../src/emulator/platformstore.js';
import { sendCall } from '../src/emulator/sendcall.js';
import { GatewayProcess } from '../src/soak/processes.js';
import { configuration } from './support/gateway.js';
import { waitUntil } from './support/waituntil.js';

const root = fileURLToPath(new URL('..', import.meta.url));

const CALLS = 30;

let store: StoreStandIn;
let server: ServerStandIn;
let gateway: GatewayProcess;
let exited = false;

beforeAll(async () => {
  const directory = mkdtempSync(join(tmpdir(), 'catkinscale-entries-'));
  store = new StoreStandIn();
  await store.start();
  server = new ServerStandIn('i-1', (res) => sendSignedResponse(res, 'done'));
  await server.start();
  store.put('servers/i-1', server.serverRecord('ledger'));
  store.put('op/config', configuration());
  gateway = new GatewayProcess('127.0.41.1', {
    program: await bundleProgram(root, directory), directory, store: store.address, seeds: [],
  });
  await gateway.start();
  void gateway.whenExited().then(() => {
    exited = true;
  });
}, 60_000);

afterAll(() => {
  gateway.dispose();
  server.stop();
  store.stop();
});

/** Statuses of calls that are sent one after another. */
async function statuses(): Promise<Set<number>> {
  const seen = new Set<number>();
  for (let sent = 0; sent < CALLS; sent += 1) {
    const { status } = await sendCall(gateway.callerAddress, '/safe/x');
    seen.add(status);
  }
  return seen;
}

describe('an entry of another writer among those of the servers', () => {
  // Guards against a gateway process that ends when it chooses a server whose address is none.
  it.each([
    ['a port out of range', { address: '127.0.0.1:99999' }],
    ['the port 0', { address: '127.0.0.1:0' }],
    ['an octet out of range', { address: '127.0.0.999:80' }],
  ])('with %s ends no gateway and gets no call', async (_what, changes) => {
    store.put('servers/i-other', createServerRecord(server.address, 'ledger', changes));
    store.put('servers/i-later', createServerRecord(server.address, 'later'));
    await waitUntil(async () => JSON.stringify(await gateway.dump()).includes('"i-later"'));
    expect([...await statuses()]).toEqual([200]);
    expect(JSON.stringify(await gateway.dump())).not.toContain('"i-other"');
    expect(exited).toBe(false);
    store.remove('servers/i-later');
    await waitUntil(async () => !JSON.stringify(await gateway.dump()).includes('"i-later"'));
  });
});
