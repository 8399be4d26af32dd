import type { ServerResponse } from 'node:http';
import {
  afterAll, beforeAll, beforeEach, describe, expect, it,
} from 'vitest';
import { explain, formatExplanation } from '../src/cli/explain.js';
import { ExitCode } from '../src/cli/outcome.js';
import { ServerStandIn, sendSignedResponse } from '../src/emulator/backend.js';
import { StoreStandIn } from '../src/emulator/platformstore.js';
import { sendCall } from '../src/emulator/sendcall.js';
import type { Explanation } from '../src/gateway/explanation.js';
import { configuration, startGateway } from './support/gateway.js';
import type { RunningGateway } from './support/gateway.js';
import { waitUntil } from './support/waituntil.js';

const KEY = 'a-key-that-nobody-may-see';

let store: StoreStandIn;
let gateway: RunningGateway;
let servers: ServerStandIn[];
let held: ServerResponse[];
let version = 0;

async function ask(target: string, more: Partial<Parameters<typeof explain>[1]> = {}): Promise<Explanation> {
  const outcome = await explain(gateway.metrics, { host: 'shop.example', target, ...more });
  expect(outcome.exitCode).toBe(ExitCode.Done);
  return outcome.json as Explanation;
}

async function configure(changes: object = {}): Promise<void> {
  version += 1;
  store.put('op/config', configuration(changes, version));
  await waitUntil(async () => (await ask('/safe/x')).beliefs.configurationVersion === version);
}

function received(): number {
  return servers.reduce((sum, server) => sum + server.received.length, 0);
}

beforeAll(async () => {
  store = new StoreStandIn();
  await store.start();
  held = [];
  servers = ['i-1', 'i-2', 'e-1', 'e-2'].map((name) => new ServerStandIn(name, (res, call) => {
    if (call.url.startsWith('/safe/held')) held.push(res);
    else sendSignedResponse(res, name);
  }));
  for (const server of servers) await server.start();
  gateway = await startGateway(store, 23_100, { lines: ['[workspaces]', 'shares = true'] });
  ['i-1', 'i-2'].forEach((name, index) => store.put(`servers/${name}`, servers[index]!.serverRecord('ledger', { born: 1 })));
  store.put('servers/e-1', servers[2]!.serverRecord('engine', { stage: 'prefill' }));
  store.put('servers/e-2', servers[3]!.serverRecord('engine', { stage: 'decode' }));
  store.put('op/config', configuration({}, version));
  await waitUntil(async () => (await sendCall(gateway.callers, '/safe/x')).status === 200);
});

afterAll(async () => {
  for (const res of held) res.destroy();
  await gateway.stop();
  for (const server of servers) server.stop();
  store.stop();
});

beforeEach(async () => {
  await configure();
  await waitUntil(async () => (await ask('/safe/x')).steps[0]?.servers.length === 2);
});

describe('explain', () => {
  // Guards against an explanation that differs from what the gateway does.
  it('names the server to which the call then goes', async () => {
    void sendCall(gateway.callers, '/safe/held');
    await waitUntil(() => held.length > 0);
    const { refusal, service, steps } = await ask('/safe/x');
    expect([refusal, service, steps[0]!.step]).toEqual([null, 'ledger', 'whole']);
    const [first, second] = steps[0]!.servers;
    expect([first!.open, second!.open]).toEqual([0, 1]);
    expect((await sendCall(gateway.callers, '/safe/x')).body).toBe(first!.server);
  });

  // Guards against a question that costs a place, a retry or a call at a server.
  it('sends nothing, reserves nothing and draws on no budget', async () => {
    const before = received();
    const open = (): string => JSON.stringify((gateway.gateway.dump().occupancy as { own: unknown }).own);
    // The held call of the test before ends at its timeout.
    await waitUntil(() => open() === '{}');
    const [openBefore, first] = [open(), await ask('/safe/x')];
    for (let index = 0; index < 20; index += 1) await ask('/long/x', { prompt: 9_000, output: 2, parts: 'aa:6000,bb:3000' });
    expect(received()).toBe(before);
    expect(open()).toBe(openBefore);
    expect((await ask('/safe/x')).retriesLeft).toBe(first.retriesLeft);
  });

  it('shows which engine reads a long prompt and which ones may continue from it', async () => {
    const { steps } = await ask('/long/x', { prompt: 9_000, output: 2, parts: 'aa:6000,bb:3000' });
    expect(steps.map(({ step, servers: list }) => [step, list.map(({ server }) => server)])).toEqual([
      ['prefill', ['e-1']], ['continuation', ['e-2']],
    ]);
    expect(steps[0]!.servers[0]).toMatchObject({ preferred: true, open: 0, suspect: false });
    expect((await ask('/long/x', { prompt: 20, output: 2, parts: 'aa:10,bb:10' })).steps.map(({ step }) => step)).toEqual(['whole']);
  });

  it('shows the refusal that the call then gets', async () => {
    expect((await ask('/nowhere/x')).refusal).toMatchObject({ status: 404, code: 'no_route' });
    expect((await sendCall(gateway.callers, '/nowhere/x')).status).toBe(404);
    await fetch(`http://${gateway.metrics}/quarantine/block?service=engine&part=dead`, { method: 'POST' });
    const opts = { prompt: 200, output: 2, parts: 'dead:100,bb:100' };
    expect((await ask('/long/x', opts)).refusal).toMatchObject({ status: 503, code: 'quarantined' });
    await fetch(`http://${gateway.metrics}/quarantine/clear?service=engine&part=dead`, { method: 'POST' });
    expect((await ask('/long/x', opts)).refusal).toBeNull();
  });

  it('takes the place of a caller by the name of its workspace, and shows no key', async () => {
    await configure({ tenants: [{ name: 'inn', 'api-keys': [KEY], priority: 3 }] });
    expect((await ask('/safe/x')).refusal).toMatchObject({ status: 401, code: 'unauthorized' });
    expect((await sendCall(gateway.callers, '/safe/x')).status).toBe(401);
    const known = await ask('/safe/x', { workspace: 'inn' });
    expect(known).toMatchObject({
      refusal: null, workspace: 'inn', priority: 3, rank: 3,
    });
    expect((await ask('/safe/x', { workspace: 'nobody' })).refusal).toMatchObject({ status: 401 });
    expect(JSON.stringify(known)).not.toContain(KEY);
  });

  it('is written for a person, and says what is wrong with a question', async () => {
    const text = formatExplanation(await ask('/long/x', { prompt: 9_000, output: 2, parts: 'aa:6000,bb:3000' }));
    expect(text).toContain('would be sent');
    expect(text).toContain('e-1 (');
    expect(text).toContain('preferred');
    expect(formatExplanation(await ask('/nowhere/x'))).toContain('would be refused: 404 no_route');
    const wrong = await explain(gateway.metrics, { host: 'shop.example', target: '/long/x', parts: 'nonsense' });
    expect(wrong.exitCode).toBe(ExitCode.Refused);
    expect(wrong.text).toContain('ID:TOKENS');
  });
});
