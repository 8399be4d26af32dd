import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import { LinkProxy } from '../src/emulator/linkproxy.js';
import { createServerRecord } from '../src/emulator/backend.js';
import { StoreStandIn } from '../src/emulator/platformstore.js';
import { configuration, startGateway } from './support/gateway.js';
import type { RunningGateway } from './support/gateway.js';
import { waitUntil } from './support/waituntil.js';

/** Time in ms after the store acknowledged the removal of a server within which the server may still get calls. */
const DRAIN_MS = 2_000;

/** Time in ms after which that bound applies again to a gateway whose connection to the store was restored. */
const CONTACT_MS = 3_000;

/** Time in ms for which a gateway has no connection to the store. */
const CUT_MS = 3_200;

/** Time in ms between the removals of two servers, which begin when the connection is restored. */
const STEP_MS = 150;

const LEAVING = Array.from({ length: 16 }, (_, index) => `i-${index}`);

const STAYING = 'i-stays';

const ENTRY = createServerRecord('127.0.0.1:1', 'ledger');

let store: StoreStandIn;
/** Connection to the store that a test can interrupt. */
let link: LinkProxy;
let gateways: RunningGateway[];

/** Ids of the servers that a gateway uses. */
function serversOf(gateway: RunningGateway): ReadonlySet<string> {
  const { list } = gateway.gateway.dump().servers as { list: readonly { id: string }[] };
  return new Set(list.map(({ id }) => id));
}

async function start(address: string, firstPort: number, seeds: readonly string[] = []): Promise<RunningGateway> {
  const gateway = await startGateway({ address }, firstPort, { seeds });
  gateways.push(gateway);
  await waitUntil(() => serversOf(gateway).size === LEAVING.length + 1);
  return gateway;
}

/** Removes one server after another from the store, and returns those that a gateway uses for longer than allowed. */
async function removeServersAndFindLate(gateway: RunningGateway): Promise<readonly string[]> {
  const healedAt = performance.now();
  const dueAt = new Map<string, number>();
  const lateServers = new Set<string>();
  const end = healedAt + LEAVING.length * STEP_MS + DRAIN_MS + STEP_MS;
  for (let now = healedAt; now < end; now = performance.now()) {
    const next = LEAVING[dueAt.size];
    if (next !== undefined && now >= healedAt + dueAt.size * STEP_MS) {
      store.remove(`servers/${next}`);
      dueAt.set(next, Math.max(now + DRAIN_MS, healedAt + CONTACT_MS));
    }
    const current = serversOf(gateway);
    for (const [id, at] of dueAt) if (now > at && current.has(id)) lateServers.add(id);
    await pause(10);
  }
  return [...lateServers];
}

beforeEach(async () => {
  gateways = [];
  store = new StoreStandIn();
  await store.start();
  store.put('op/config', configuration());
  for (const id of [...LEAVING, STAYING]) store.put(`servers/${id}`, ENTRY);
  link = new LinkProxy(store.address);
  await link.start();
});

afterEach(async () => {
  await Promise.all(gateways.map((gateway) => gateway.stop()));
  link.stop();
  store.stop();
});

describe('a gateway that alone lost its connection to the store', () => {
  it('uses no server for longer than the bound after its removal from the store', async () => {
    await start(store.address, 21_500);
    const cutOff = await start(link.address, 21_510, ['127.0.0.1:21502']);
    link.silence();
    await pause(CUT_MS);
    link.heal();
    expect(await removeServersAndFindLate(cutOff)).toEqual([]);
    expect([...serversOf(cutOff)]).toEqual([STAYING]);
  });
});

describe('a gateway without peers that could report whether the store had an outage', () => {
  it('uses no removed server once the bound applies again', async () => {
    const alone = await start(link.address, 21_520);
    link.silence();
    await pause(CUT_MS);
    link.heal();
    expect(await removeServersAndFindLate(alone)).toEqual([]);
    expect([...serversOf(alone)]).toEqual([STAYING]);
  });
});
