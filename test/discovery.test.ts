import {
  beforeEach, describe, expect, it,
} from 'vitest';
import type { LogFields } from '../src/core/edges/index.js';
import { SimulatedClock } from '../src/emulator/clock.js';
import { RecordOrigin } from '../src/gateway/records.js';
import type { RecordSource } from '../src/gateway/records.js';
import { ServerRegistry } from '../src/gateway/servers.js';
import type { ServerRecord } from '../src/gateway/servers.js';

interface Line extends LogFields { readonly event: string }

let clock: SimulatedClock;
let lines: Line[];
let registry: ServerRegistry;

function server(id: string, changes: Partial<ServerRecord> = {}): ServerRecord {
  return {
    id,
    bornAt: 1,
    sequence: 1,
    service: 'ledger',
    address: '127.0.0.1:1',
    failureDomain: 'regina',
    slots: 6,
    draining: false,
    role: null,
    models: [],
    ...changes,
  };
}

function changeAt(revision: number): RecordSource {
  return { origin: RecordOrigin.Change, revision };
}

beforeEach(() => {
  clock = new SimulatedClock();
  lines = [];
  const write = (event: string, fields?: LogFields): void => {
    lines.push({ event, ...fields });
  };
  registry = new ServerRegistry({ clock, log: { info: write, warn: write, error: write } });
});

describe('log lines on backend servers', () => {
  // Guards against calls to a server that has left whose cause can't be told from the log.
  it('say by which revision a server changed, and when a removal that was held back takes effect', async () => {
    registry.replace([server('a'), server('b')], { origin: RecordOrigin.Snapshot, revision: 5 });
    registry.put(server('a', { draining: true, sequence: 2 }), changeAt(6));
    registry.discoveryReturned();
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
