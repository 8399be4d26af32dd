import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import { ExitCode } from '../src/cli/outcome.js';
import { run } from '../src/cli/program.js';
import { fail } from '../src/core/result.js';
import { CrashingEngine } from '../src/emulator/crashingengine.js';
import { StoreStandIn } from '../src/emulator/platformstore.js';
import { sendCall } from '../src/emulator/sendcall.js';
import { configuration, startGateway } from './support/gateway.js';
import type { RunningGateway } from './support/gateway.js';
import { waitUntil } from './support/waituntil.js';

const FIRST_PART = 'f00d';

const SHARED_PART = 'beef';

const DEADLY_PART = 'dead';

const GATEWAYS = 3;

const ENGINES = 4;

/** Time in ms after which the last engine crashes under a deadly call. */
const SLOW_CRASH_MS = 1_000;

let store: StoreStandIn;
let engines: CrashingEngine[];
let gateways: RunningGateway[];
let port = 22_100;
let lastOwnPart = 0;

function nextOwnPart(): string {
  lastOwnPart += 1;
  return (0x10000 + lastOwnPart).toString(16);
}

/** Asks a gateway for an answer on a prompt with these parts and one of its own, unless that is `null`. */
function ask(gateway: number, parts: readonly string[], own: string | null = nextOwnPart()) {
  return sendCall(gateways[gateway % gateways.length]!.callers, '/brief/x', {
    method: 'POST',
    body: 'p',
    headers: {
      'catkinscale-token-count': '60,9',
      'catkinscale-prompt-prefix': [...parts, ...(own === null ? [] : [own])].map((id) => `${id}:20`).join(','),
      'catkinscale-deadline-ms': '2000',
    },
  });
}

function enginesKnownTo(gateway: RunningGateway): number {
  const { list } = gateway.gateway.dump().servers as { list: readonly unknown[] };
  return list.length;
}

function start(index: number): Promise<RunningGateway> {
  const seeds = Array.from({ length: GATEWAYS }, (_, peer) => `127.0.0.${2 + peer}:${port + 2}`);
  return startGateway(store, port, {
    name: `g${index}`, host: `127.0.0.${2 + index}`, seeds, exchangePort: port + 5,
  });
}

const crashes = (): number => engines.reduce((sum, engine) => sum + engine.crashes, 0);
const deadlyCalls = (): number => engines.reduce((sum, engine) => sum + engine.deadlyCalls, 0);

beforeEach(async () => {
  port += 10;
  store = new StoreStandIn();
  await store.start();
  engines = [];
  for (let index = 0; index < ENGINES; index += 1) {
    // The last engine crashes only after a while.
    const crashAfterMs = index === ENGINES - 1 ? SLOW_CRASH_MS : 5;
    const engine = new CrashingEngine(`e${index}`, {
      store, service: 'engine', deadlyPart: DEADLY_PART, crashAfterMs,
    });
    await engine.start();
    engines.push(engine);
  }
  store.put('op/config', configuration({
    routes: [{
      name: 'brief',
      host: 'shop.example',
      'path-prefix': '/brief/',
      kind: 'streaming',
      service: 'engine',
      'max-attempts': 1,
      'timeout-ms': 2_000,
      'target-latency-ms': 100,
    }],
  }));
  gateways = [];
  for (let index = 0; index < GATEWAYS; index += 1) gateways.push(await start(index));
  await waitUntil(() => gateways.every((gateway) => {
    const { members } = gateway.gateway.dump().membership as { members: readonly unknown[] };
    return gateway.gateway.ready() && enginesKnownTo(gateway) === ENGINES && members.length >= GATEWAYS - 1;
  }));
  // Gateways that start together wait for one that knows of parts, for a bounded time.
  await Promise.all(gateways.map((_gateway, index) => ask(index, [FIRST_PART])));
});

afterEach(async () => {
  await Promise.all(gateways.map((gateway) => gateway.stop()));
  for (const engine of engines) engine.stop();
  store.stop();
});

describe('a prompt part that crashes engines', () => {
  // Guards against requests of one kind that crash one engine after another, each by another gateway.
  it('reaches no engine once five have ended under it, at any gateway', async () => {
    for (let call = 0; call < 100 && crashes() < 5; call += 1) {
      expect((await ask(call, [FIRST_PART, SHARED_PART, DEADLY_PART])).status).not.toBe(200);
      await pause(20);
    }
    await pause(300);
    const before = deadlyCalls();
    for (let call = 0; call < 12; call += 1) {
      await ask(call, [FIRST_PART, SHARED_PART, DEADLY_PART]);
      await pause(60);
    }
    expect(deadlyCalls() - before).toBeLessThanOrEqual(3);
  });

  // Guards against retries of callers that hide the part which their requests share.
  it('reaches no engine once four have ended under requests that are tried twice each', async () => {
    for (let call = 0; call < 50 && crashes() < 4; call += 1) {
      const own = nextOwnPart();
      for (let attempt = 0; attempt < 2 && crashes() < 4; attempt += 1) {
        await ask(call + attempt, [FIRST_PART, SHARED_PART, DEADLY_PART], own);
        await pause(20);
      }
    }
    await pause(300);
    const before = deadlyCalls();
    for (let call = 0; call < 12; call += 1) {
      expect((await ask(call, [FIRST_PART, SHARED_PART, DEADLY_PART])).status).toBe(503);
      expect((await ask(call, [FIRST_PART, SHARED_PART])).status).toBe(200);
    }
    expect(deadlyCalls() - before).toBe(0);
  });

  // Guards against refusals that count as answers, so that a part seems to work while engines are full.
  it('is found although full engines refuse calls on it in between', async () => {
    for (let call = 0; call < 100 && crashes() < 5; call += 1) {
      const isFull = call % 2 === 1;
      for (const engine of engines) engine.isFull = isFull;
      await ask(call, [FIRST_PART, SHARED_PART, DEADLY_PART]);
      await pause(20);
    }
    for (const engine of engines) engine.isFull = false;
    await pause(300);
    const before = deadlyCalls();
    for (let call = 0; call < 12; call += 1) {
      await ask(call, [FIRST_PART, SHARED_PART, DEADLY_PART]);
      expect((await ask(call, [FIRST_PART, SHARED_PART])).status).toBe(200);
    }
    expect(deadlyCalls() - before).toBeLessThanOrEqual(3);
  });

  // Guards against a part that is never found because it stands late in a long prompt.
  it.each([9, 40, 300])('is found as the last of %i shared parts', async (count) => {
    const prompt = [...Array.from({ length: count - 1 }, (_, index) => (0x5c1e00 + index).toString(16)), DEADLY_PART];
    for (let call = 0; call < 100 && crashes() < 5; call += 1) {
      await ask(call, prompt);
      await pause(20);
    }
    await pause(1_000);
    const before = deadlyCalls();
    for (let call = 0; call < 12; call += 1) {
      expect((await ask(call, prompt)).status).toBe(503);
      expect((await ask(call, prompt.slice(0, -1))).status).toBe(200);
    }
    expect(deadlyCalls() - before).toBe(0);
  });

  // Guards against one request that ends servers again and again while a sound part of its prompt is blamed for it.
  it.each([
    ['the last part of its prompt', [FIRST_PART, SHARED_PART, DEADLY_PART]],
    ['its only part', [DEADLY_PART]],
  ])('is found by %s, without other requests', async (_what, prompt) => {
    for (let call = 0; call < 60 && crashes() < 5; call += 1) {
      await ask(call, prompt, null);
      await pause(20);
    }
    await pause(300);
    const before = deadlyCalls();
    for (let call = 0; call < 12; call += 1) {
      expect((await ask(call, prompt, null)).status).toBe(503);
      expect((await ask(call, prompt.slice(0, -1))).status).toBe(200);
    }
    expect(deadlyCalls() - before).toBe(0);
  });

  // Guards against sound requests that are kept out with the one that crashes engines.
  it('does not keep out requests that share its other parts', async () => {
    for (let call = 0; call < 20; call += 1) {
      await ask(call, [FIRST_PART, SHARED_PART, DEADLY_PART]);
      await pause(20);
    }
    await pause(300);
    const statuses: number[] = [];
    for (let call = 0; call < 12; call += 1) {
      await ask(call, [FIRST_PART, SHARED_PART, DEADLY_PART]);
      statuses.push((await ask(call, [FIRST_PART, SHARED_PART])).status);
    }
    expect(statuses).toEqual(statuses.map(() => 200));
  });

  it('is refused at once and truthfully, with the part and a retry delay', async () => {
    for (let call = 0; call < 20; call += 1) {
      await ask(call, [FIRST_PART, DEADLY_PART]);
      await pause(20);
    }
    await pause(300);
    const {
      status, body, headers, tookMs,
    } = await ask(0, [FIRST_PART, DEADLY_PART]);
    expect(status).toBe(503);
    expect(JSON.parse(body)).toMatchObject({ error: { code: 'quarantined', part: DEADLY_PART } });
    expect(Number(headers['retry-after'])).toBeGreaterThan(10);
    expect(tookMs).toBeLessThan(100);
  });

  // Guards against a gateway that starts with an empty memory and lets the part through.
  it('reaches no engine through a gateway that has just started', async () => {
    for (let call = 0; call < 20; call += 1) {
      await ask(call, [FIRST_PART, DEADLY_PART]);
      await pause(20);
    }
    await pause(300);
    await gateways[2]!.stop();
    const before = deadlyCalls();
    gateways[2] = await start(2);
    const statuses: number[] = [];
    for (let call = 0; call < 20; call += 1) {
      statuses.push((await ask(2, [FIRST_PART, DEADLY_PART])).status);
      await pause(20);
    }
    expect(statuses).toEqual(statuses.map(() => 503));
    expect(deadlyCalls()).toBe(before);
  });

  it('is kept from engines, let through and left to the gateways by operators\' orders', async () => {
    const order = (name: string, gateway: number) => run(
      ['quarantine', name, 'engine', SHARED_PART, '--at', gateways[gateway]!.metrics, '--json'],
      () => Promise.resolve(fail({ message: 'no entry' })),
    );
    const statusesAre = (status: number): Promise<void> => waitUntil(async () => {
      const answers = await Promise.all(gateways.map((_gateway, index) => ask(index, [FIRST_PART, SHARED_PART])));
      return answers.every((answer) => answer.status === status);
    });
    expect(await order('block', 0)).toBe(ExitCode.Done);
    await statusesAre(503);
    expect(await order('clear', 1)).toBe(ExitCode.Done);
    await statusesAre(200);
    expect(await order('allow', 2)).toBe(ExitCode.Done);
    await statusesAre(200);
    expect(await fetch(`http://${gateways[0]!.metrics}/quarantine/other?service=engine&part=${SHARED_PART}`, {
      method: 'POST',
    }).then(({ status }) => status)).toBe(400);
    // A path that is no URL is answered too, and harms nothing.
    expect((await sendCall(gateways[0]!.metrics, '//')).status).toBe(200);
  });

  it('ends calls that are sent and have no answer yet, as an unknown outcome', async () => {
    for (const engine of engines.slice(0, -1)) engine.leave();
    await waitUntil(() => gateways.every((gateway) => {
      const { list } = gateway.gateway.dump().servers as { list: readonly { draining: boolean }[] };
      return list.filter(({ draining }) => !draining).length === 1;
    }));
    const answer = ask(0, [FIRST_PART, DEADLY_PART]);
    await pause(SLOW_CRASH_MS / 4);
    await fetch(`http://${gateways[0]!.metrics}/quarantine/block?service=engine&part=${DEADLY_PART}`, { method: 'POST' });
    const { status, tookMs } = await answer;
    expect(status).toBe(502);
    expect(tookMs).toBeLessThan(SLOW_CRASH_MS);
  });

  // Guards against parts that are blamed because an engine that had announced its leaving closed its connections.
  it('is not suspected at an engine that has left as announced', async () => {
    for (const engine of engines.slice(0, -1)) engine.leave();
    const last = engines.at(-1)!;
    await waitUntil(() => gateways.every((gateway) => {
      const { list } = gateway.gateway.dump().servers as { list: readonly { draining: boolean }[] };
      return list.filter(({ draining }) => !draining).length === 1;
    }));
    const answer = ask(0, [FIRST_PART, DEADLY_PART]);
    await pause(SLOW_CRASH_MS / 4);
    last.leave();
    await waitUntil(() => {
      const { list } = gateways[0]!.gateway.dump().servers as { list: readonly { draining: boolean }[] };
      return list.every(({ draining }) => draining);
    });
    expect((await answer).tookMs).toBeGreaterThan(SLOW_CRASH_MS / 2);
    await pause(100);
    const { ends } = gateways[0]!.gateway.dump().quarantine as { ends: readonly unknown[] };
    expect(ends).toEqual([]);
  });
});
