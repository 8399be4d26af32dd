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

/** Depth of the nested lists in an entry. */
const DEPTH = 50_000;

/** Record of a server with the given field at its end, in which NESTED stands for deeply nested lists. */
function record(field: string): string {
  const nested = `${'['.repeat(DEPTH)}${']'.repeat(DEPTH)}`;
  return createServerRecord('127.0.0.1:1', 'ledger').replace(/\}$/, `,${field.replace('NESTED', nested)}}`);
}

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
  it.each<[string, string | object]>([
    ['a port out of range', { address: '127.0.0.1:99999' }],
    ['the port 0', { address: '127.0.0.1:0' }],
    ['an octet out of range', { address: '127.0.0.999:80' }],
    ['deep nesting in place of the service', record('"service":NESTED')],
    ['deep nesting in place of the models', record('"models":NESTED')],
    ['a start time that is too large a number', record('"born":1e999')],
    ['a start time that is no whole number', { born: 1.5 }],
    ['a number of slots that is too large', record('"slots":123456789012345678901234567890')],
    ['a negative sequence', { sequence: -1 }],
    ['an unknown state', { state: 'gone' }],
    ['bytes that can not be read', '\ufffd\u0000{"service":'],
    ['nothing', ''],
    ['a list', '[]'],
    ['a million characters', `"${'x'.repeat(1_000_000)}"`],
  ])('with %s ends no gateway and gets no call', async (_what, changes) => {
    const value = typeof changes === 'string' ? changes : createServerRecord(server.address, 'ledger', changes);
    store.put('servers/i-other', value);
    store.put('servers/i-later', createServerRecord(server.address, 'later'));
    await waitUntil(async () => JSON.stringify(await gateway.dump()).includes('"i-later"'));
    expect([...await statuses()]).toEqual([200]);
    expect(JSON.stringify(await gateway.dump())).not.toContain('"i-other"');
    expect(exited).toBe(false);
    store.remove('servers/i-other');
    store.remove('servers/i-later');
    await waitUntil(async () => !JSON.stringify(await gateway.dump()).includes('"i-later"'));
  });

  it('with deep nesting in a field that nobody reads ends no gateway', async () => {
    store.put('servers/i-other', record('"other":NESTED'));
    await waitUntil(async () => JSON.stringify(await gateway.dump()).includes('"i-other"'));
    expect([...await statuses()]).toEqual([200]);
    expect(exited).toBe(false);
    store.remove('servers/i-other');
    await waitUntil(async () => !JSON.stringify(await gateway.dump()).includes('"i-other"'));
  });

  // Guards against an id that can be sent in no header, so that each call for which its server is chosen fails.
  it.each([
    ['without an id', 'servers/'],
    ['with a control character', 'servers/i\u0000x'],
    ['with characters beyond ASCII', 'servers/i-\u00fc\u2028'],
    ['of 5,000 characters', `servers/${'i'.repeat(5_000)}`],
  ])(
    'under a key %s ends no gateway and gets no call',
    async (_what, key) => {
      store.put(key, server.serverRecord('ledger'));
      store.put('servers/i-later', createServerRecord(server.address, 'later'));
      await waitUntil(async () => JSON.stringify(await gateway.dump()).includes('"i-later"'));
      const { servers } = await gateway.dump() as { servers: { list: readonly { id: string }[] } };
      expect(servers.list.map(({ id }) => id).sort()).toEqual(['i-1', 'i-later']);
      expect([...await statuses()]).toEqual([200]);
      expect(exited).toBe(false);
      store.remove(key);
      store.remove('servers/i-later');
      await waitUntil(async () => !JSON.stringify(await gateway.dump()).includes('"i-later"'));
    },
  );
});
