import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import { SystemClock } from '../src/adapters/system.js';
import { CrashingEngine } from '../src/emulator/crashingengine.js';
import { StoreStandIn } from '../src/emulator/platformstore.js';
import { sendCall } from '../src/emulator/sendcall.js';
import { configuration, startGateway } from './support/gateway.js';
import type { RunningGateway } from './support/gateway.js';
import { waitUntil } from './support/waituntil.js';

const DEADLY_PART = 'dead';

const ENGINES = 3;

/** Time in ms from the quarantine of a part after which a call may try it. */
const TRIAL_DELAY_MS = 30_000;

/** Clock of the machine that tests can set forward. */
class AdvancingClock extends SystemClock {
  public aheadMs = 0;

  public override monotonic(): number {
    return super.monotonic() + this.aheadMs;
  }
}

let store: StoreStandIn;
let engines: CrashingEngine[];
let gateway: RunningGateway;
let clock: AdvancingClock;
let lastOwnPart = 0x20000;

function ask(own = (lastOwnPart += 1).toString(16)) {
  return sendCall(gateway.callers, '/brief/x', {
    method: 'POST',
    body: 'p',
    headers: {
      'catkinscale-token-count': '60,9',
      'catkinscale-prompt-prefix': `${DEADLY_PART}:20,${own}:20`,
      'catkinscale-deadline-ms': '1500',
    },
  });
}

const deadlyCalls = (): number => engines.reduce((sum, engine) => sum + engine.deadlyCalls, 0);

/** Starts engines and a gateway with a route of `attempts` for streams that may be resumed. */
async function start(attempts: number, crashesBeforeHead: boolean): Promise<void> {
  engines = Array.from({ length: ENGINES }, (_, index) => new CrashingEngine(`e${index}`, {
    store, service: 'engine', deadlyPart: DEADLY_PART, crashesBeforeHead,
  }));
  for (const engine of engines) await engine.start();
  store.put('op/config', configuration({
    routes: [{
      name: 'brief',
      host: 'shop.example',
      'path-prefix': '/brief/',
      kind: 'streaming',
      resumable: true,
      service: 'engine',
      'max-attempts': attempts,
      'timeout-ms': 2_000,
      'target-latency-ms': 100,
    }],
  }));
  clock = new AdvancingClock();
  gateway = await startGateway(store, 27_900, { clock });
  await waitUntil(() => gateway.gateway.ready()
    && (gateway.gateway.dump().servers as { list: readonly unknown[] }).list.length === ENGINES);
}

beforeEach(async () => {
  store = new StoreStandIn();
  await store.start();
});

afterEach(async () => {
  await gateway.stop();
  for (const engine of engines) engine.stop();
  store.stop();
});

describe('a call whose answer begins and ends its server', () => {
  // Guards against resumes that end an engine each, and make one prompt the only evidence.
  it('is sent to two servers at the most, resumes included', async () => {
    await start(2, false);
    expect((await ask()).status).toBe(502);
    expect(deadlyCalls()).toBe(2);
  });
});

describe('a call that tries a part in quarantine', () => {
  // Guards against trials that end an engine for each attempt of their route.
  it('is sent to one engine only', async () => {
    await start(3, true);
    for (let call = 0; call < 60; call += 1) {
      if ((await ask()).body.includes('quarantined')) break;
      await pause(200);
    }
    expect((await ask()).body).toContain('quarantined');
    await pause(300);
    const before = deadlyCalls();
    clock.aheadMs += TRIAL_DELAY_MS;
    await pause(300);
    expect((await ask()).status).toBe(502);
    expect(deadlyCalls() - before).toBe(1);
    expect((await ask()).body).toContain('quarantined');
    expect(deadlyCalls() - before).toBe(1);
  });
});
