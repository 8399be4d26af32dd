import {
  beforeEach, describe, expect, it,
} from 'vitest';
import type { LogFields } from '../src/core/edges/index.js';
import { SimulatedClock } from '../src/emulator/clock.js';
import { StoreContact } from '../src/gateway/contact.js';
import { RecordOrigin } from '../src/gateway/records.js';
import type { RecordSource } from '../src/gateway/records.js';
import { ServerRegistry } from '../src/gateway/servers.js';
import { server } from './support/serverrecords.js';

interface Line extends LogFields { readonly event: string }

let clock: SimulatedClock;
let contact: StoreContact;
let lines: Line[];
let registry: ServerRegistry;

function changeAt(revision: number): RecordSource {
  return { origin: RecordOrigin.Change, revision };
}

async function storeWasAway(forMs: number): Promise<void> {
  contact.answered(clock.monotonic());
  await clock.advance(forMs);
  contact.answered(clock.monotonic());
}

beforeEach(() => {
  clock = new SimulatedClock();
  contact = new StoreContact(clock);
  lines = [];
  const write = (event: string, fields?: LogFields): void => {
    lines.push({ event, ...fields });
  };
  registry = new ServerRegistry({ clock, contact, log: { info: write, warn: write, error: write } });
});

describe('log lines on backend servers', () => {
  // Guards against calls to a server that has left whose cause can't be told from the log.
  it('say by which revision a server changed, and when a removal that was held back takes effect', async () => {
    registry.replace([server('a'), server('b')], { origin: RecordOrigin.Snapshot, revision: 5 });
    registry.put(server('a', { draining: true, sequence: 2 }), changeAt(6));
    await storeWasAway(2_000);
    registry.remove('b', changeAt(7));
    await clock.advance(2_500);
    expect(lines).toMatchObject([
      {
        event: 'server', server: 'a', origin: 'snapshot', revision: 5,
      },
      {
        event: 'server', server: 'b', origin: 'snapshot', revision: 5,
      },
      {
        event: 'server', server: 'a', draining: true, sequence: 2, origin: 'change', revision: 6,
      },
      { event: 'server_removed', server: 'b', revision: 7 },
      { event: 'server_removal_due', server: 'b', revision: 7 },
    ]);
  });
});

describe('ServerRegistry', () => {
  beforeEach(() => registry.replace([server('a'), server('b')], { origin: RecordOrigin.Snapshot, revision: 5 }));

  function available(): string {
    return registry.available('ledger').map(({ id }) => id).join('');
  }

  // Guards against a store outage that takes every server out, although all of them register again.
  it('keeps what is missing after an outage of the store until it had time to return', async () => {
    await storeWasAway(5_000);
    registry.replace([], { origin: RecordOrigin.Snapshot, revision: 7 });
    expect(available()).toBe('ab');
    await clock.advance(1_000);
    registry.put(server('a'), changeAt(8));
    await clock.advance(1_500);
    expect(available()).toBe('a');
  });

  // Guards against a server that has left and gets calls for longer than it serves, because this gateway was cut off.
  it('takes out at once what is missing where another gateway knows that the store was never away', async () => {
    await storeWasAway(5_000);
    registry.remove('a', changeAt(7));
    expect(available()).toBe('ab');
    contact.add({ since: -10_000, until: clock.monotonic() });
    await clock.advance(0);
    expect(available()).toBe('b');
    registry.remove('b', changeAt(8));
    expect(available()).toBe('');
  });

  // Guards against a grace that begins anew at each gateway that is late to notice the return of the store.
  it('counts the grace from the return of the store that any gateway saw first', async () => {
    await storeWasAway(5_000);
    registry.remove('a', changeAt(7));
    contact.add({ since: clock.monotonic() - 1_400, until: clock.monotonic() });
    await clock.advance(790);
    expect(available()).toBe('ab');
    await clock.advance(20);
    expect(available()).toBe('b');
  });

  // Guards against a server that drains, or has left, and gets calls because an older write of its own arrives late.
  it('leaves out what a server wrote before what is known of it', () => {
    registry.put(server('a', { draining: true, sequence: 9 }), changeAt(6));
    registry.put(server('a', { sequence: 8 }), changeAt(7));
    expect(available()).toBe('b');
    registry.remove('a', changeAt(8));
    registry.put(server('a', { sequence: 8 }), changeAt(9));
    expect(available()).toBe('b');
    registry.put(server('a', { sequence: 10 }), changeAt(10));
    expect(available()).toBe('ab');
  });

  // Guards against a server that is left out for good after it has started again, or because it numbers no writes.
  it('compares writes only within one life of a server that numbers them', () => {
    registry.put(server('a', { sequence: 9 }), changeAt(6));
    registry.put(server('a', { bornAt: 2, sequence: 1, draining: true }), changeAt(7));
    expect(available()).toBe('b');
    registry.put(server('b', { bornAt: 0, sequence: 9 }), changeAt(8));
    registry.put(server('b', { bornAt: 0, sequence: 1, draining: true }), changeAt(9));
    expect(available()).toBe('');
  });

  // Guards against calls to a server whose record has turned unreadable shortly after an outage.
  it('takes out at once a server whose record names none, also after an outage', async () => {
    await storeWasAway(5_000);
    registry.withdraw('a', changeAt(6));
    expect(available()).toBe('b');
  });

  it('takes draining and removed servers out at once otherwise', () => {
    registry.put(server('a', { draining: true, sequence: 2 }), changeAt(6));
    registry.remove('b', changeAt(7));
    expect(available()).toBe('');
  });
});

describe('StoreContact', () => {
  // Guards against a gateway that starts in an outage and takes out all servers that it has from another one.
  it('takes a late first answer for the end of an outage', async () => {
    await clock.advance(2_000);
    contact.answered(clock.monotonic());
    expect(contact.returnedAt).toBe(2_000);
  });

  it('sees no outage between answers that follow each other, or in a call that waits', async () => {
    for (let answers = 0; answers < 5; answers += 1) {
      await clock.advance(1_400);
      contact.answered(clock.monotonic());
    }
    const askedAt = clock.monotonic();
    await clock.advance(2_200);
    contact.answered(askedAt);
    expect(contact.returnedAt).toBe(-Infinity);
  });

  it('keeps an outage that another gateway had as well', async () => {
    await storeWasAway(5_000);
    contact.add({ since: -10_000, until: 1_000 });
    expect(contact.returnedAt).toBe(5_000);
    contact.add({ since: 3_900, until: 5_000 });
    expect(contact.returnedAt).toBe(3_900);
    contact.add({ since: 900, until: 4_000 });
    expect(contact.returnedAt).toBe(-Infinity);
  });
});
