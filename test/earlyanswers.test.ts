import type { Socket } from 'node:net';
import {
  afterAll, beforeAll, beforeEach, describe, expect, it,
} from 'vitest';
import { HttpService } from '../src/adapters/service.js';
import { createServerRecord } from '../src/emulator/backend.js';
import { StoreStandIn } from '../src/emulator/platformstore.js';
import { configuration, startGateway } from './support/gateway.js';
import type { RunningGateway } from './support/gateway.js';
import { RawServer, sendRaw } from './support/rawserver.js';
import type { RawAnswer } from './support/rawserver.js';
import { waitUntil } from './support/waituntil.js';

const UPLOAD = Buffer.alloc(3_000_000, 'u');

const chunk = (bytes: string): string => `${bytes.length.toString(16)}\r\n${bytes}\r\n`;

/** Framings of an answer that breaks off behind `sent`: version, and the rest of the head with the body. */
const FRAMINGS: readonly (readonly [string, string, (sent: string) => string])[] = [
  ['no length', '1.1', (sent) => `\r\n${sent}`],
  ['no length, closes', '1.1', (sent) => `Connection: close\r\n\r\n${sent}`],
  ['no length, old version', '1.0', (sent) => `\r\n${sent}`],
  ['length', '1.1', (sent) => `Content-Length: ${sent.length + 1}\r\n\r\n${sent}`],
  ['length, closes', '1.1', (sent) => `Connection: close\r\nContent-Length: ${sent.length + 1}\r\n\r\n${sent}`],
  ['chunks', '1.1', (sent) => `Transfer-Encoding: chunked\r\n\r\n${chunk(sent)}`],
  ['chunks, closes', '1.1', (sent) => `Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n${chunk(sent)}`],
  ['another coding', '1.1', (sent) => `Connection: close\r\nTransfer-Encoding: gzip\r\n\r\n${sent}`],
];

/** Ways in which the server ends its connection; a server that closes it resets it, because upload bytes are unread. */
const ENDS: Readonly<Record<string, (socket: Socket) => void>> = {
  reset: (socket) => socket.resetAndDestroy(),
  close: (socket) => socket.destroy(),
  end: (socket) => socket.end(),
};

let store: StoreStandIn;
let server: RawServer;
let gateway: RunningGateway;
let born = 1;
let asked = 0;

function upload(path: string, chunked: boolean, readAfterMs: number): Promise<RawAnswer> {
  asked += 1;
  const length = chunked ? 'Transfer-Encoding: chunked' : `Content-Length: ${UPLOAD.length}`;
  const head = `POST ${path} HTTP/1.1\r\nHost: shop.example\r\nCatkinscale-Request-Id: u${asked}\r\n${length}\r\n\r\n`;
  const size = `${UPLOAD.length.toString(16)}\r\n`;
  return sendRaw(gateway.callers, Buffer.concat(chunked
    ? [Buffer.from(head + size), UPLOAD, Buffer.from('\r\n0\r\n\r\n')] : [Buffer.from(head), UPLOAD]), readAfterMs);
}

/** Answers every combination of framing and size, as `write` ends them, and returns those that look complete. */
async function findComplete(
  end: (socket: Socket) => void,
  delay: number,
  {
    framings = FRAMINGS, interim = '', sizes = [8_000, 200_000], readAfterMs = 0,
  } = {},
): Promise<string[]> {
  const found: string[] = [];
  for (const [name, version, frame] of framings) {
    for (const size of sizes) {
      for (const [path, chunked] of [['/order/x', false], ['/talk/x', true]] as const) {
        server.respond = ({ socket, id }) => {
          const head = `HTTP/${version} 200 OK\r\nCatkinscale-Request-Id: ${id}\r\nCatkinscale-Server-Signature: s1\r\n`;
          socket.write(`${interim}${head}${frame('a'.repeat(size))}`);
          if (delay === 0) end(socket);
          else setTimeout(() => end(socket), delay);
        };
        const { status, complete, body } = await upload(path, chunked, readAfterMs);
        if (complete && status !== 502) found.push(`${name}, ${path}: ${status} with ${body.length} of ${size}`);
      }
    }
  }
  return found;
}

beforeAll(async () => {
  store = new StoreStandIn();
  await store.start();
  server = new RawServer(true);
  await server.start();
  const limits = {
    'max-header-bytes': 16_384, 'max-body-bytes': 4_000_000, 'header-timeout-ms': 3_000, 'idle-timeout-ms': 15_000,
  };
  store.put('servers/p', createServerRecord(server.address, 'ledger'));
  store.put('op/config', configuration({ limits }));
  gateway = await startGateway(store, 24_300);
});

afterAll(async () => {
  await gateway.stop();
  server.stop();
  store.stop();
});

beforeEach(async () => {
  // With a new start time, failures of the test before are forgotten.
  born += 1;
  store.put('servers/p', createServerRecord(server.address, 'ledger', { born }));
  await waitUntil(() => {
    const { list } = gateway.gateway.dump().servers as { list: readonly { bornAt: number }[] };
    return gateway.gateway.ready() && list[0]?.bornAt === born;
  });
});

describe('an answer that comes while its upload is still being written', () => {
  // Guards against a part of an answer that a caller takes for the whole.
  it('is not complete if it breaks off together with its last bytes', async () => {
    for (const end of ['reset', 'close']) {
      for (const delay of [0, 1]) expect([end, delay, await findComplete(ENDS[end]!, delay)]).toEqual([end, delay, []]);
    }
  }, 60_000);

  it('is not complete if it breaks off later', async () => {
    for (const end of ['reset', 'close']) {
      for (const delay of [10, 40, 150]) {
        expect([end, delay, await findComplete(ENDS[end]!, delay)]).toEqual([end, delay, []]);
      }
    }
  }, 60_000);

  it('is not complete if it breaks off behind an interim answer', async () => {
    for (const code of [102, 103]) {
      expect(await findComplete(ENDS.reset!, 10, { interim: `HTTP/1.1 ${code} Wait\r\nLink: x\r\n\r\n` })).toEqual([]);
    }
    for (const code of [100, 101]) {
      const interim = `HTTP/1.1 ${code} Go on\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n`;
      expect(await findComplete(ENDS.reset!, 10, { interim })).toEqual([]);
    }
  }, 60_000);

  it('is not complete if its framing says that more is due and the connection ends', async () => {
    const framings = FRAMINGS.slice(3);
    for (const delay of [0, 10]) expect(await findComplete(ENDS.end!, delay, { framings })).toEqual([]);
  }, 60_000);

  it('is not complete if it breaks off while its caller does not read', async () => {
    expect(await findComplete(ENDS.reset!, 50, { sizes: [3_000_000], readAfterMs: 300 })).toEqual([]);
  }, 60_000);

  it('is passed on whole if it has no length and the connection ends', async () => {
    const found = await findComplete(ENDS.end!, 10, { framings: FRAMINGS.slice(0, 3) });
    expect(found.filter((line) => / 200 with (\d+) of \1$/.test(line))).toHaveLength(12);
  });

  // Guards against other bytes where the rest of a body is due.
  it('leaves the rest of the upload to a server that keeps the connection and reads on', async () => {
    let rest = '';
    server.respond = ({ socket, id, body }) => {
      rest += body;
      socket.removeAllListeners('data').on('data', (bytes) => {
        rest += bytes.toString('latin1');
      });
      socket.write(`HTTP/1.1 200 OK\r\nCatkinscale-Request-Id: ${id}\r\nCatkinscale-Server-Signature: s1\r\nContent-Length: 2\r\n\r\nok`);
      setTimeout(() => socket.resume(), 50);
    };
    expect(await upload('/order/x', false, 0)).toMatchObject({ status: 200, complete: true, body: 'ok' });
    await waitUntil(() => rest.length >= UPLOAD.length);
    expect(/^u*$/.test(rest) && rest.length === UPLOAD.length).toBe(true);
  });
});

// Guards against the same at the shared client over HTTP, which does not use the connections of gateways.
describe('an answer to the client of a plain service', () => {
  it.each([
    ['reset', 0], ['close', 0], ['end', 20],
  ] as const)('is whole only after an ordinary end: %s', async (end, whole) => {
    server.respond = ({ socket }) => {
      socket.write(`HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\n\r\n${'a'.repeat(8_000)}`);
      ENDS[end]!(socket);
    };
    let taken = 0;
    for (let call = 0; call < 20; call += 1) {
      const service = new HttpService('s', server.address);
      const result = await service.call({
        requestId: 'r', attemptId: 'a', workspace: 'w', operation: 'order', body: 'u'.repeat(1_000_000),
      }, { timeoutMs: 1_000 });
      if (result.success && result.data.body.length === 8_000) taken += 1;
      service.dispose();
    }
    expect(taken).toBe(whole);
  });
});
