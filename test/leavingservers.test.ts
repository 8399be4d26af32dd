import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import { LinkProxy } from '../src/emulator/linkproxy.js';
import { StoreStandIn } from '../src/emulator/platformstore.js';
import { configuration, startGateway } from './support/platform.js';
import type { RunningGateway } from './support/platform.js';
import { until } from './support/until.js';

/** Longest time in ms after the store's acknowledgement at which a server that leaves may get a call. */
const DRAIN_MS = 2_000;

/** Time in ms after which a gateway that has its path to the store again is bound by the rules. */
const CONTACT_MS = 3_000;

const CUT_MS = 3_200;

/** Time in ms between the removals of two servers, which begin when the path is back. */
const STEP_MS = 150;

const LEAVING = Array.from({ length: 16 }, (_, index) => `i-${index}`);

const STAYING = 'i-stays';

const ENTRY = JSON.stringify({
  service: 'ledger', address: '127.0.0.1:1', zone: 'regina', slots: 6, state: 'ready', born: 1, sequence: 1,
});

let store: StoreStandIn;
let path: LinkProxy;
let gateways: RunningGateway[];

function known(gateway: RunningGateway): ReadonlySet<string> {
  const { list } = gateway.gateway.dump().servers as { list: readonly { id: string }[] };
  return new Set(list.map(({ id }) => id));
}

async function start(address: string, firstPort: number, seeds: readonly string[] = []): Promise<RunningGateway> {
  const gateway = await startGateway({ address }, firstPort, seeds);
  gateways.push(gateway);
  await until(() => known(gateway).size === LEAVING.length + 1);
  return gateway;
}

/** Removes one server after the other from the store; gives those that a gateway knows for longer than it may. */
async function keptTooLong(gateway: RunningGateway): Promise<readonly string[]> {
  const healedAt = performance.now();
  const dueAt = new Map<string, number>();
  const late = new Set<string>();
  const end = healedAt + LEAVING.length * STEP_MS + DRAIN_MS + STEP_MS;
  for (let now = healedAt; now < end; now = performance.now()) {
    const next = LEAVING[dueAt.size];
    if (next !== undefined && now >= healedAt + dueAt.size * STEP_MS) {
      store.remove(`servers/${next}`);
      dueAt.set(next, Math.max(now + DRAIN_MS, healedAt + CONTACT_MS));
    }
    const current = known(gateway);
    for (const [id, at] of dueAt) if (now > at && current.has(id)) late.add(id);
    await pause(10);
  }
  return [...late];
}

beforeEach(async () => {
  gateways = [];
  store = new StoreStandIn();
  await store.start();
  store.put('op/config', configuration());
  for (const id of [...LEAVING, STAYING]) store.put(`servers/${id}`, ENTRY);
  path = new LinkProxy(store.address);
  await path.start();
});

afterEach(async () => {
  await Promise.all(gateways.map((gateway) => gateway.stop()));
  path.stop();
  store.stop();
});

describe('a gateway that alone was cut off from the store', () => {
  it('uses no server for longer than the bound after the store has removed it', async () => {
    await start(store.address, 21_500);
    const cutOff = await start(path.address, 21_510, ['127.0.0.1:21502']);
    path.silence();
    await pause(CUT_MS);
    path.heal();
    expect(await keptTooLong(cutOff)).toEqual([]);
    expect([...known(cutOff)]).toEqual([STAYING]);
  });
});

describe('a gateway that nobody can tell whether the store was away', () => {
  it('uses no removed server once the rules bind it again', async () => {
    const alone = await start(path.address, 21_520);
    path.silence();
    await pause(CUT_MS);
    path.heal();
    expect(await keptTooLong(alone)).toEqual([]);
    expect([...known(alone)]).toEqual([STAYING]);
  });
});
