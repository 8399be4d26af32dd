import type { ServerResponse } from 'node:http';
import {
  afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import { PlatformStore } from '../platform/index.js';
import { readCredential, sealConfiguration } from '../platform/keys.js';
import { sendNotExecuted, sendSignedResponse, ServerStandIn } from '../src/emulator/backend.js';
import type { ReceivedCall } from '../src/emulator/backend.js';
import { StoreStandIn } from '../src/emulator/platformstore.js';
import { sendCall } from '../src/emulator/sendcall.js';
import type { Answer } from '../src/emulator/sendcall.js';
import {
  callPriority, identifyCaller, keyDigest, WorkspaceKeys,
} from '../src/gateway/workspaces.js';
import { configuration, startGateway } from './support/gateway.js';
import type { RunningGateway } from './support/gateway.js';
import { waitUntil } from './support/waituntil.js';

const INN = { name: 'inn', priority: null, keyDigests: [keyDigest('key-1'), keyDigest('key-2')] };
const LODGE = { name: 'lodge', priority: 1, keyDigests: [keyDigest('key-3')] };

describe('who sends a call', () => {
  const keys = new WorkspaceKeys([INN, LODGE]);
  const credential = (key: string) => ({ type: 'key', digest: keyDigest(key) }) as const;

  it('is the workspace of its key', () => {
    expect(identifyCaller({ isPublic: false }, keys, credential('key-2')))
      .toEqual({ success: true, data: { type: 'workspace', name: 'inn', priority: null } });
  });

  it.each([
    ['no key', { type: 'none' } as const], ['a malformed header', { type: 'malformed' } as const],
    ['an unknown key', credential('other')],
    // Guards against callers that send the digest of a key, which other gateways know.
    ['the digest of a key', credential(keyDigest('key-1'))],
  ])('is nobody with %s, unless the route is public', (_name, presented) => {
    expect(identifyCaller({ isPublic: false }, keys, presented)).toMatchObject({ error: { code: 'unauthorized' } });
    expect(identifyCaller({ isPublic: true }, keys, presented)).toEqual({ success: true, data: { type: 'anonymous' } });
  });

  it('is not checked where the configuration has no workspaces', () => {
    expect(identifyCaller({ isPublic: false }, null, { type: 'none' })).toMatchObject({ data: { type: 'unchecked' } });
  });

  it('decides on its priority before the route does', () => {
    const caller = (priority: number | null) => ({ type: 'workspace', name: 'inn', priority }) as const;
    expect(callPriority({ priority: 2 }, caller(0))).toBe(0);
    expect(callPriority({ priority: 2 }, caller(null))).toBe(2);
    expect(callPriority({ priority: 2 }, { type: 'anonymous' })).toBe(2);
  });
});

describe('the key of a request', () => {
  it.each([
    ['Bearer key-1', 'key'], ['bearer key-1', 'key'], ['BEARER   key-1 ', 'key'], ['Bearer', 'malformed'],
    ['Bearer ', 'malformed'], ['key-1', 'malformed'], ['Basic key-1', 'malformed'], ['Bearer key-1 key-2', 'malformed'],
    ['Bearer key-1,key-2', 'malformed'], ['', 'malformed'], ['Bearer\tkey-1', 'malformed'],
  ])('in the header "%s" is read as %s', (value, type) => {
    expect(readCredential({ rawHeaders: ['Host', 'x', 'authorization', value] })).toEqual(
      type === 'key' ? { type, digest: keyDigest('key-1') } : { type },
    );
  });

  it('is missing without the header, and malformed in two of them', () => {
    expect(readCredential({ rawHeaders: ['Host', 'Authorization'] })).toEqual({ type: 'none' });
    const twice = ['Authorization', 'Bearer key-1', 'AUTHORIZATION', 'Bearer key-1'];
    expect(readCredential({ rawHeaders: twice })).toEqual({ type: 'malformed' });
  });
});

describe('a sealed configuration', () => {
  it('has digests in place of keys, and all else unchanged', () => {
    const sealed = sealConfiguration(JSON.stringify({
      version: 7, tenants: [{ name: 'inn', 'api-keys': ['key-1'], priority: 1 }, { name: 'empty' }],
    }));
    expect(JSON.parse(sealed)).toEqual({
      version: 7,
      tenants: [{ name: 'inn', priority: 1, 'key-digests': [keyDigest('key-1')] }, { name: 'empty', 'key-digests': [] }],
    });
  });

  it('is unchanged without workspaces, and empty where keys may hide in what can not be read', () => {
    expect(sealConfiguration('{"version":7}')).toBe('{"version":7}');
    expect(sealConfiguration('{"tenants":[{"api-keys":["key-1"')).toBe('');
    expect(sealConfiguration('{"tenants":{"api-keys":["key-1"]}}')).toBe('');
  });
});

describe('gateways with workspaces', () => {
  let store: StoreStandIn;
  let servers: ServerStandIn[];
  let gateways: RunningGateway[];
  let respond: (res: ServerResponse, call: ReceivedCall) => void;
  let version = 0;
  const logged: unknown[] = [];
  const log = {
    info: (...line: unknown[]) => logged.push(line),
    warn: (...line: unknown[]) => logged.push(line),
    error: (...line: unknown[]) => logged.push(line),
  };

  const ask = (path: string, headers: Record<string, string> = {}, gateway = gateways[0]!): Promise<Answer> => (
    sendCall(gateway.callers, path, { method: 'POST', body: 'x', headers })
  );
  /** Calls in the order of their arrival at any server. */
  const calls: ReceivedCall[] = [];
  const received = (): readonly ReceivedCall[] => calls;
  const applied = (gateway: RunningGateway): unknown => (
    (gateway.gateway.dump().configuration as Record<string, unknown>).version
  );

  async function apply(keysByName: Record<string, string[]>, changes: object = {}): Promise<void> {
    version += 1;
    const tenants = Object.entries(keysByName).map(([name, keys]) => ({ name, 'api-keys': keys }));
    const { routes } = JSON.parse(configuration()) as { routes: object[] };
    const open = {
      ...routes[0], name: 'open', 'path-prefix': '/open/', public: true,
    };
    store.put('op/config', configuration({ tenants, routes: [...routes, open], ...changes }, version));
    await waitUntil(() => gateways.every((gateway) => applied(gateway) === version));
  }

  beforeAll(async () => {
    store = new StoreStandIn();
    await store.start();
    servers = ['i-1', 'i-2'].map((id) => new ServerStandIn(id, (res, call) => {
      calls.push(call);
      respond(res, call);
    }));
    for (const server of servers) {
      await server.start();
      store.put(`servers/${server.id}`, server.serverRecord('ledger'));
    }
    store.put('op/config', configuration({}, 0));
    const first = await startGateway(store, 22_600, { log });
    gateways = [first, await startGateway(store, 22_610, { log, seeds: ['127.0.0.1:22602'] })];
    respond = (res) => sendSignedResponse(res, 'done');
  });

  afterAll(async () => {
    for (const gateway of gateways) await gateway.stop();
    for (const server of servers) server.stop();
    store.stop();
  });

  // Guards against callers that choose the workspace that a server sees, and against keys that leave the gateway.
  it('name the workspace to the server whatever the caller sent, and keep the key', async () => {
    await apply({ inn: ['key-1'] });
    await ask('/safe/x', { authorization: 'Bearer key-1', 'catkinscale-tenant': 'lodge' });
    expect(received().at(-1)?.headers).toMatchObject({ 'catkinscale-tenant': 'inn' });
    expect(received().at(-1)?.headers).not.toHaveProperty('authorization');
  });

  it('refuse an unknown key and none with 401, which no server sees', async () => {
    await apply({ inn: ['key-1'] });
    const before = received().length;
    for (const headers of [{ authorization: 'Bearer key-9' }, { authorization: 'Basic key-1' }, {}]) {
      const answer = await ask('/order/x', headers as Record<string, string>);
      expect([answer.status, answer.headers['www-authenticate']]).toEqual([401, 'Bearer']);
    }
    expect(received().length).toBe(before);
  });

  it('serve public routes without a key, and name no workspace then', async () => {
    await apply({ inn: ['key-1'] });
    expect((await ask('/open/x', { authorization: 'Bearer key-9', 'catkinscale-tenant': 'inn' })).status).toBe(200);
    expect(received().at(-1)?.headers).not.toHaveProperty('catkinscale-tenant');
    expect(received().at(-1)?.headers).not.toHaveProperty('authorization');
    await ask('/open/x', { authorization: 'Bearer key-1' });
    expect(received().at(-1)?.headers).toMatchObject({ 'catkinscale-tenant': 'inn' });
  });

  // Guards against a repeated send that forgets what was decided on the call.
  it('name the workspace on each send of a call', async () => {
    await apply({ inn: ['key-1'] });
    const before = received().length;
    respond = (res) => (received().length === before + 1 ? sendNotExecuted(res) : sendSignedResponse(res, 'done'));
    expect((await ask('/safe/x', { authorization: 'Bearer key-1' })).status).toBe(200);
    respond = (res) => sendSignedResponse(res, 'done');
    const sends = received().filter((call) => call.url === '/safe/x').slice(-2);
    expect(sends.map(({ headers }) => headers['catkinscale-tenant'])).toEqual(['inn', 'inn']);
  });

  // Guards against a key that a kept connection can still use after it was taken away.
  it('serve added keys and refuse those that were taken away, on open connections too', async () => {
    await apply({ inn: ['key-1'] });
    expect((await ask('/safe/x', { authorization: 'Bearer key-1' })).status).toBe(200);
    await apply({ inn: ['key-2'] });
    for (const gateway of gateways) {
      expect((await ask('/safe/x', { authorization: 'Bearer key-1' }, gateway)).status).toBe(401);
      expect((await ask('/safe/x', { authorization: 'Bearer key-2' }, gateway)).status).toBe(200);
    }
  });

  // Guards against an answer that a caller takes for a final one.
  it('answer 503, never 401, before they know a configuration', async () => {
    const empty = new StoreStandIn();
    await empty.start();
    const fresh = await startGateway(empty, 22_620);
    expect((await ask('/safe/x', {}, fresh)).status).toBe(503);
    await fresh.stop();
    empty.stop();
  });

  // Guards against keys in what operators, other gateways and the metrics' readers see.
  it('show no key in logs, dumps, metrics or calls to each other', async () => {
    await apply({ inn: ['key-very-secret'] });
    await ask('/safe/x', { authorization: 'Bearer key-very-secret' });
    await ask('/safe/x', { authorization: 'Bearer key-very-wrong' });
    const shown = [JSON.stringify(logged)];
    for (const gateway of gateways) {
      shown.push(JSON.stringify(gateway.gateway.dump()));
      shown.push(await (await fetch(`http://${gateway.metrics}/metrics`)).text());
    }
    expect(shown.join('')).not.toMatch(/key-very/);
  });

  it('pass on the headers of callers unchanged where the configuration has no workspaces', async () => {
    await apply({}, { tenants: undefined });
    await ask('/safe/x', { authorization: 'Basic anything' });
    expect(received().at(-1)?.headers).toMatchObject({ authorization: 'Basic anything' });
  });
});

describe('records that gateways pass to each other', () => {
  // Guards against keys that travel between gateways.
  it('have no keys, as they are sealed where they are read from the store', async () => {
    const store = new StoreStandIn();
    await store.start();
    store.put('op/config', configuration({ tenants: [{ name: 'inn', 'api-keys': ['key-very-secret'] }] }, 1));
    const source = new PlatformStore(store.address);
    const opts = { timeoutMs: 5_000 };
    const snapshot = await source.snapshot('op/', opts);
    const item = await source.get('op/config', opts);
    const changes = await source.changes('op/', 0, 0, opts);
    source.dispose();
    store.stop();
    for (const read of [snapshot, item, changes]) {
      expect(JSON.stringify(read)).toContain('key-digests');
      expect(JSON.stringify(read)).not.toContain('key-very-secret');
    }
  });
});
