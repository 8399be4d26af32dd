import {
  afterAll, beforeAll, expect, it,
} from 'vitest';
import { createServerRecord } from '../src/emulator/backend.js';
import { StoreStandIn } from '../src/emulator/platformstore.js';
import { sendCall } from '../src/emulator/sendcall.js';
import { configuration, startGateway } from './support/gateway.js';
import type { RunningGateway } from './support/gateway.js';
import { RawServer } from './support/rawserver.js';
import { waitUntil } from './support/waituntil.js';

const BYTES = 40_000;

const RUNS = 20;

let store: StoreStandIn;
let server: RawServer;
let gateway: RunningGateway;

beforeAll(async () => {
  store = new StoreStandIn();
  await store.start();
  server = new RawServer();
  await server.start();
  store.put('servers/p', createServerRecord(server.address, 'ledger'));
  store.put('op/config', configuration());
  gateway = await startGateway(store, 26_100);
  await waitUntil(() => {
    const { list } = gateway.gateway.dump().servers as { list: readonly unknown[] };
    return list.length === 1 && gateway.gateway.ready();
  });
});

afterAll(async () => {
  await gateway.stop();
  server.stop();
  store.stop();
});

/** Checks that callers get the whole of an answer with this rest of its head and this body, and a reset behind it. */
async function expectWhole(rest: string): Promise<void> {
  server.respond = ({ socket, id }) => {
    const head = `HTTP/1.1 200 OK\r\nCatkinscale-Request-Id: ${id}\r\nCatkinscale-Server-Signature: s1\r\n`;
    socket.write(head + rest, () => socket.resetAndDestroy());
  };
  for (let run = 0; run < RUNS; run += 1) {
    const { status, body } = await sendCall(gateway.callers, '/safe/x', { method: 'POST', body: '{}' });
    expect([status, body.length]).toEqual([200, BYTES]);
  }
}

// Guard against a whole answer of which the end is dropped, because its connection is reset before that has been read.
it('a whole answer with a length is passed on although a reset follows it', async () => {
  await expectWhole(`Content-Length: ${BYTES}\r\n\r\n${'x'.repeat(BYTES)}`);
});

it('a whole answer in chunks of one byte is passed on although a reset follows it', async () => {
  await expectWhole(`Transfer-Encoding: chunked\r\n\r\n${'1\r\nx\r\n'.repeat(BYTES)}0\r\n\r\n`);
});
