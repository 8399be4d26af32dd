import {
  afterEach, describe, expect, it,
} from 'vitest';
import { SimulatedClock } from '../src/emulator/clock.js';
import { ChangeHistory } from '../src/gateway/history.js';
import { relayAnswerSchema, relayRequestSchema, selectRelays } from '../src/gateway/relays.js';
import { CountedStore, FollowingGateways } from './support/followingstore.js';
import type { FollowingGateway } from './support/followingstore.js';

const DOMAINS = ['regina', 'brandon', 'saskatoon', 'winnipeg', 'moose-jaw'];

/** Time in ms in which a change must be known at each gateway that can reach the store or another gateway. */
const APPLY_MS = 2_000;

/** Time in ms in which a change is known while nothing is disturbed. */
const CALM_APPLY_MS = 1_000;

let running: FollowingGateways | null = null;

async function start(count: number) {
  const clock = new SimulatedClock();
  const store = new CountedStore(clock);
  store.put('a');
  running = new FollowingGateways(clock, store, count, DOMAINS);
  await clock.advance(5_000);
  return { clock, store, gateways: running };
}

afterEach(() => running?.dispose());

function knowing(gateways: FollowingGateways, id: string): readonly FollowingGateway[] {
  return gateways.gateways.filter(({ keys }) => keys.has(`servers/${id}`));
}

describe('records of many gateways', () => {
  // Guards against calls to the store that grow with the gateways.
  it('cost as many calls to the store at 200 gateways as at 50', async () => {
    const callsPerMinute = async (count: number): Promise<number> => {
      const { clock, store, gateways } = await start(count);
      const before = store.calls;
      await clock.advance(60_000);
      gateways.dispose();
      return store.calls - before;
    };
    const [few, many] = [await callsPerMinute(50), await callsPerMinute(200)];
    expect(many).toBeLessThanOrEqual(few * 1.1);
    // The store is asked for under 2,000 calls a minute at this size, of which the records of servers are a half.
    expect(many).toBeLessThan(1_000);
  });

  it('are read from the store by one gateway of each failure domain', async () => {
    const { gateways } = await start(50);
    for (const domain of DOMAINS) expect(gateways.relays(domain)).toHaveLength(1);
  });

  it('are read from the store by all gateways of small failure domains', async () => {
    const { gateways } = await start(10);
    for (const domain of DOMAINS) expect(gateways.relays(domain)).toHaveLength(2);
  });

  // Guards against a relay whose link is filled with copies of a large configuration, behind which others wait.
  it('that are large are read from the store, and reach every gateway within a second', async () => {
    const { clock, store, gateways } = await start(60);
    const [calls, characters] = [store.calls, gateways.relayedCharacters];
    store.put('large', 500_000);
    await clock.advance(CALM_APPLY_MS);
    expect(knowing(gateways, 'large')).toHaveLength(60);
    expect(store.calls - calls).toBeLessThan(60 + 60);
    expect(gateways.relayedCharacters - characters).toBeLessThan(500_000);
  });

  it('reach every gateway within a second', async () => {
    const { clock, store, gateways } = await start(60);
    store.put('b');
    store.remove('a');
    await clock.advance(CALM_APPLY_MS);
    expect(knowing(gateways, 'b')).toHaveLength(60);
    expect(knowing(gateways, 'a')).toHaveLength(0);
  });

  // Guards against gateways that keep following others which no longer know what the store has.
  it.each(['cut from the store', 'killed', 'frozen'] as const)(
    'reach the other gateways in time while all relays of a failure domain are %s',
    async (trouble) => {
      const { clock, store, gateways } = await start(60);
      const relays = gateways.relays('regina');
      for (const relay of relays) {
        if (trouble === 'cut from the store') relay.cutFromStore = true;
        else relay.state = trouble;
      }
      store.put('b');
      store.remove('a');
      await clock.advance(APPLY_MS);
      const others = gateways.gateways.filter((gateway) => !relays.includes(gateway));
      expect(others.filter(({ keys }) => !keys.has('servers/b') || keys.has('servers/a'))).toEqual([]);
    },
  );

  it('reach the other gateways in time while all relays of all failure domains are killed', async () => {
    const { clock, store, gateways } = await start(60);
    const relays = DOMAINS.flatMap((domain) => gateways.relays(domain));
    for (const relay of relays) relay.state = 'killed';
    store.put('b');
    await clock.advance(APPLY_MS);
    expect(knowing(gateways, 'b').length).toBeGreaterThanOrEqual(50);
  });

  // Guards against a store that all gateways call at once while it is away and when it returns.
  it('cost few calls to the store while it is away, and are current again soon after its return', async () => {
    const { clock, store, gateways } = await start(200);
    for (const gateway of gateways.gateways) gateway.cutFromStore = true;
    await clock.advance(5_000);
    const before = store.calls;
    await clock.advance(10_000);
    // Each relay tries every 300 ms, and each other gateway every 1.5 s, on average.
    expect((store.calls - before) / 10).toBeLessThan(5 / 0.3 + 195 / 1.5 + 20);
    store.put('b');
    for (const gateway of gateways.gateways) gateway.cutFromStore = false;
    await clock.advance(APPLY_MS);
    expect(knowing(gateways, 'b')).toHaveLength(200);
  });

  // Guards against a gateway whose only way to the store was cut and that trusts its own old records.
  it('reach a gateway that is cut from the store', async () => {
    const { clock, store, gateways } = await start(60);
    const cut = gateways.gateways[7]!;
    cut.cutFromStore = true;
    await clock.advance(10_000);
    store.put('b');
    await clock.advance(APPLY_MS);
    expect(cut.keys.has('servers/b')).toBe(true);
    expect(cut.records.ageMs()).toBeLessThan(APPLY_MS);
  });
});

describe('relays', () => {
  it('are the same few members for all that know the same members, in any order', () => {
    const members = Array.from({ length: 40 }, (_, index) => ({ id: `g${index}`, failureDomain: index % 2 ? 'a' : 'b' }));
    expect(selectRelays(members, 'a')).toHaveLength(1);
    expect(selectRelays([...members].reverse(), 'a')).toEqual(selectRelays(members, 'a'));
    expect(selectRelays(members.slice(0, 1), 'b')).toEqual(['g0']);
  });

  it('refuse malformed requests, and their malformed answers are not used', () => {
    expect(relayRequestSchema.safeParse({ revision: 'x', wait: 0 }).success).toBe(false);
    expect(relayRequestSchema.safeParse({ revision: 1, wait: 60_000 }).success).toBe(false);
    expect(relayAnswerSchema.safeParse({ type: 'changes', revision: 1 }).success).toBe(false);
    expect(relayAnswerSchema.safeParse({ type: 'other' }).success).toBe(false);
  });
});

describe('the history of a relay', () => {
  // Guards against removed servers that stay in use, because a relay no longer knows that they were removed.
  it('knows the removals since a revision, or that it does not know all of them', () => {
    const history = new ChangeHistory();
    expect(history.removalsSince(0)).toBeNull();
    history.reset(10);
    history.recordRemoval('a', 11);
    history.recordRemoval('b', 12);
    history.recordPut('a');
    expect(history.removalsSince(9)).toBeNull();
    expect(history.removalsSince(10)).toEqual([['b', 12]]);
    expect(history.removalsSince(12)).toEqual([]);
    for (let index = 0; index < 2_000; index += 1) history.recordRemoval(`c${index}`, 100 + index);
    expect(history.removalsSince(10)).toBeNull();
    expect(history.removalsSince(12)).toHaveLength(2_000);
  });
});
