import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import { Cut, PartitionGroup, STREAM_EVENTS } from './support/partition.js';
import { waitUntil } from './support/waituntil.js';

const GATEWAYS = 3;

const SERVERS = 4;

/** Callers that keep answers of the directory. */
const CALLERS = 24;

/** Time in ms within which callers must not be sent to a gateway any more that reaches no server. */
const CONTACT_MS = 3_000;

let group: PartitionGroup;
let port = 30_100;

beforeEach(async () => {
  port += 10;
  group = new PartitionGroup();
  await group.start(GATEWAYS, SERVERS, port);
});

afterEach(async () => {
  await group.stop();
});

describe('a gateway that reaches no backend server', () => {
  async function expectLeftOut(how: Cut): Promise<void> {
    await pause(500);
    group.cut(0, how);
    await pause(CONTACT_MS);
    expect(await group.namedBy(0)).toEqual([]);
    expect(await group.isReady(0)).toBe(false);
    for (const gateway of [1, 2]) {
      expect(await group.namedBy(gateway)).toEqual([0, 1, 2]);
      expect(await group.isReady(gateway)).toBe(true);
      expect((await group.call(gateway)).status).toBe(200);
    }
    group.heal(0);
    await waitUntil(async () => (await group.namedBy(0)).length === GATEWAYS && group.isReady(0));
    expect((await group.call(0)).status).toBe(200);
  }

  // Guards against callers that are sent to a gateway at which their calls fail while others serve them.
  it('is named by nobody and not ready while its links hang', () => expectLeftOut(Cut.Hang));

  it('is named by nobody and not ready while its links are reset', () => expectLeftOut(Cut.Reset));

  // Guards against callers of cut gateways that are served far worse than others, by the users' rule.
  it.each([
    [Cut.Hang, [0]], [Cut.Reset, [0]], [Cut.RefuseNew, [0]], [Cut.Hang, [0, 1]], [Cut.Reset, [0, 1]],
  ])('has callers served elsewhere (%s, gateways %j)', async (how, cut) => {
    const tries = group.firstTries(cut, CALLERS, { forMs: CONTACT_MS + 4_500, uncountedMs: CONTACT_MS + 500 });
    await pause(500);
    for (const gateway of cut) group.cut(gateway, how);
    const { watched, others } = await tries;
    const failed = watched.sent - watched.served;
    const isWorse = watched.served / watched.sent < (2 / 3) * (others.served / others.sent);
    expect(isWorse && failed > 10 + (watched.sent + others.sent) / 50 ? { watched, others } : null).toBeNull();
    expect(others.served / others.sent).toBeGreaterThan(0.9);
  });

  // Guards against calls of callers that keep an old address and hang until their timeout.
  it('refuses calls at once, so that callers go elsewhere', async () => {
    await pause(500);
    group.cut(0, Cut.Hang);
    await pause(CONTACT_MS);
    for (const path of ['/safe/x', '/order/x']) {
      const { status, headers, tookMs } = await group.call(0, path);
      expect(status).toBe(503);
      expect(headers.connection).toBe('close');
      expect(Number(headers['retry-after'])).toBeLessThan(1);
      expect(tookMs).toBeLessThan(100);
    }
  });

  // Guards against streams that are cut although their connections live on.
  it('goes on with answers that have begun', async () => {
    group.unloaded.add(0);
    const stream = group.call(0, '/watch/x');
    // Idle connections have been closed by then, so that new calls need new ones.
    await pause(1_300);
    group.cut(0, Cut.RefuseNew);
    group.unloaded.delete(0);
    await waitUntil(async () => !await group.isReady(0));
    const { status, broken, body } = await stream;
    expect({ status, broken }).toEqual({ status: 200, broken: false });
    expect(body.match(/id: /g)).toHaveLength(STREAM_EVENTS);
  });

  // Guards against a fleet that names nobody because all servers are down or all gateways are cut off.
  it('stays named and ready while no other gateway reaches any either', async () => {
    await pause(500);
    for (let gateway = 0; gateway < GATEWAYS; gateway += 1) group.cut(gateway, Cut.Hang);
    await pause(CONTACT_MS);
    for (let gateway = 0; gateway < GATEWAYS; gateway += 1) {
      expect(await group.namedBy(gateway)).toEqual([0, 1, 2]);
      expect(await group.isReady(gateway)).toBe(true);
    }
  });
});

describe('a gateway that reaches servers', () => {
  // Guards against a pause of all servers that is taken for the gateway's own fault.
  it('stays named and ready while all servers are silent for a moment', async () => {
    await pause(500);
    const paused = group.pauseServers(1_200);
    for (let check = 0; check < 15; check += 1) {
      expect(await group.namedBy(0)).toEqual([0, 1, 2]);
      expect(await group.isReady(0)).toBe(true);
      await pause(100);
    }
    await paused;
  });

  // Guards against a gateway that is left out although only its old connections have gone silent.
  it('stays named while its open connections hang and new ones work', async () => {
    await pause(500);
    // Calls that run at this moment leave several connections to each server.
    await Promise.all(Array.from({ length: 24 }, () => group.call(0)));
    group.cut(0, Cut.HangOpen);
    for (let check = 0; check < 40; check += 1) {
      expect(await group.namedBy(0)).toEqual([0, 1, 2]);
      await pause(50);
    }
    expect((await group.call(0)).status).toBe(200);
  });

  it('stays named while its open connections live on and new ones are refused', async () => {
    await pause(500);
    group.cut(0, Cut.RefuseNew);
    for (let check = 0; check < 20; check += 1) {
      if ((await group.call(0)).status !== 200) break;
      expect(await group.namedBy(0)).toEqual([0, 1, 2]);
      await pause(50);
    }
  });
});
