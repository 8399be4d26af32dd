import {
  afterAll, beforeAll, describe, expect, it,
} from 'vitest';
import { platformCodec } from '../platform/index.js';
import { PlatformProvider } from '../platform/provider.js';
import { PlatformStore } from '../platform/store.js';
import { HttpEngine } from '../src/adapters/engine.js';
import { HttpService } from '../src/adapters/service.js';
import { SystemClock } from '../src/adapters/system.js';
import { Secret } from '../src/core/configuration/settings.js';
import { HttpPeerClient } from '../src/daemon/peers.js';
import { createServerRecord } from '../src/emulator/backend.js';
import { StoreStandIn } from '../src/emulator/platformstore.js';
import { ConnectionPool } from '../src/gateway/connections.js';
import { ControlClient } from '../src/gateway/control.js';
import { DutyOutcome } from '../src/gateway/provider.js';
import { quietLog, quietMeter } from './support/fakes.js';
import { configuration, startGateway } from './support/gateway.js';
import type { RunningGateway } from './support/gateway.js';
import {
  chunked, ODD_FORMS, SAMPLE_FORMS, UNUSUAL_FORMS, writeOdd,
} from './support/oddanswers.js';
import type { OddForm } from './support/oddanswers.js';
import { RawServer, sendRaw } from './support/rawserver.js';
import type { RawAnswer, RawRequest } from './support/rawserver.js';
import { createServerRecord as createRecord } from './support/serverrecord.js';
import { waitUntil } from './support/waituntil.js';

type Respond = (req: RawRequest, form: OddForm) => void;

/** Client of a server; `read` sends a request and returns whether it took the answer for one. */
interface Reader {
  readonly read: () => Promise<boolean>;
  readonly close: () => unknown;
}

const SOUND: OddForm = {};

let server: RawServer;
let served = 0;

/** Names of the forms of which `take` says that the answer was taken for one; each is written as `respond` says. */
async function findTaken(
  forms: ReadonlyMap<string, OddForm>,
  respond: Respond,
  take: () => Promise<boolean>,
): Promise<string[]> {
  const taken: string[] = [];
  for (const [name, form] of forms) {
    served = 0;
    server.respond = (req) => respond(req, form);
    if (await take()) taken.push(name);
    if (served === 0) taken.push(`${name}: not served`);
  }
  return taken;
}

/** Writes an answer, and soon after ends the connection, as a server in trouble does. */
function write(socket: RawRequest['socket'], form: OddForm, status: number, fields: string, body: string): void {
  served += 1;
  socket.write(writeOdd(form, status, fields, body));
  if (form !== SOUND) setTimeout(() => socket.end(), 5);
}

beforeAll(async () => {
  server = new RawServer();
  await server.start();
});

afterAll(() => server.stop());

// Guards against answers that HTTP/1.1 forbids and that the parser accepts, or will in a later version.
describe('an answer in an odd form', () => {
  const clock = new SystemClock();
  const opts = { timeoutMs: 1_000 };
  const fence = { holder: 'g1', token: 1 };
  const serviceCall = {
    requestId: 'r', attemptId: 'a', workspace: 'w', operation: 'order', body: '{}',
  };

  it.each<readonly [string, (address: string) => Reader, string, string]>([
    ['control requests', (address) => {
      const pool = new ConnectionPool(address);
      const request = {
        method: 'GET', path: '/report', headers: [], body: null,
      } as const;
      const control = new ControlClient({
        clock, codec: platformCodec, leaving: { record: () => {} }, pauses: { record: () => {}, endsAt: () => null },
      });
      return {
        read: async () => await control.send(pool, createRecord('r', { address }), request, 'report') !== null,
        close: () => pool.dispose(),
      };
    }, '', '{}'],
    ['the client of the store', (address) => {
      const store = new PlatformStore(address);
      return { read: async () => (await store.leaseRenew('1', opts)).success, close: () => store.dispose() };
    }, '', '{}'],
    ['the client of the provider', (address) => {
      const provider = new PlatformProvider(address);
      const report = { window: 1, counts: {} };
      return {
        read: async () => (
          await provider.reportUsage(fence, report, { ...opts, mayStillSend: () => true }) !== DutyOutcome.Unknown
        ),
        close: () => provider.dispose(),
      };
    }, '', '{}'],
    ['the client of a plain service', (address) => {
      const service = new HttpService('s', address);
      return { read: async () => (await service.call(serviceCall, opts)).success, close: () => service.dispose() };
    }, 'X-Attempt-Id: a\r\n', '{}'],
    ['the client of an engine', (address) => {
      const engine = new HttpEngine('e', address);
      return { read: async () => (await engine.cancel('r', 'a', opts)).success, close: () => engine.dispose() };
    }, '', '{}'],
    ['calls between peers', (address) => {
      const peer = new HttpPeerClient({ token: new Secret('a token of the tests'), log: quietLog, meter: quietMeter });
      return { read: async () => (await peer.call(address, 'm', {}, opts)).success, close: () => peer.close() };
    }, '', '{"jsonrpc":"2.0","id":ID,"result":1}'],
  ])('is none for %s', async (_reader, open, fields, text) => {
    const respond: Respond = ({ socket, body }, form) => {
      write(socket, form, 200, fields, text.replace('ID', /"id":(\d+)/.exec(body)?.[1] ?? ''));
    };
    const reader = open(server.address);
    server.respond = (req) => respond(req, SOUND);
    expect(await reader.read()).toBe(true);
    expect(await findTaken(ODD_FORMS, respond, reader.read)).toEqual([]);
    await reader.close();
  }, 60_000);
});

describe('an answer of a backend server in an odd form', () => {
  let store: StoreStandIn;
  let gateway: RunningGateway;
  let asked = 0;
  const others: RawServer[] = [];

  function respondAtDecoders(respond: RawServer['respond']): void {
    for (const other of others) other.respond = respond;
  }

  const signed = (id: string): string => `Catkinscale-Request-Id: ${id}\r\nCatkinscale-Server-Signature: s1\r\n`;

  function ask(path: string, tokens = 60): Promise<RawAnswer> {
    asked += 1;
    const fields = `Catkinscale-Request-Id: q${asked}\r\nCatkinscale-Token-Count: ${tokens},9\r\n`;
    return sendRaw(gateway.callers, `POST ${path} HTTP/1.1\r\nHost: shop.example\r\n${fields}Content-Length: 2\r\n\r\n{}`);
  }

  beforeAll(async () => {
    store = new StoreStandIn();
    await store.start();
    store.put('servers/p', createServerRecord(server.address, 'ledger'));
    store.put('servers/p1', createServerRecord(server.address, 'engine', { stage: 'prefill' }));
    for (const name of ['d1', 'd2']) {
      const other = new RawServer();
      await other.start();
      others.push(other);
      store.put(`servers/${name}`, createServerRecord(other.address, 'engine', { stage: 'decode' }));
    }
    store.put('op/config', configuration());
    gateway = await startGateway(store, 24_310);
    await waitUntil(() => {
      const { list } = gateway.gateway.dump().servers as { list: readonly unknown[] };
      return list.length === 4 && gateway.gateway.ready();
    });
  });

  afterAll(async () => {
    await gateway.stop();
    for (const other of others) other.stop();
    store.stop();
  });

  const answer: Respond = ({ socket, id }, form) => write(socket, form, 200, signed(id), 'whole');

  it('is none for a call on a new connection', async () => {
    server.respond = (req) => answer(req, SOUND);
    expect(await ask('/order/x')).toMatchObject({ status: 200, complete: true, body: 'whole' });
    expect(await findTaken(ODD_FORMS, answer, async () => {
      const { status, complete } = await ask('/order/x');
      return status !== 502 && (status !== 200 || complete);
    })).toEqual([]);
  }, 60_000);

  // Guards against a check that sees only what arrives in one piece.
  it('is none for a call if it arrives byte by byte', async () => {
    expect(await findTaken(SAMPLE_FORMS, ({ socket, id }, form) => {
      served += 1;
      const bytes = writeOdd(form, 200, signed(id), 'whole');
      let sent = 0;
      const writeNext = (): void => {
        if (sent === bytes.length || socket.destroyed) socket.end();
        else {
          socket.write(bytes.subarray(sent, sent += 1));
          setImmediate(writeNext);
        }
      };
      writeNext();
    }, async () => {
      const { status, complete } = await ask('/order/x');
      return status !== 502 && (status !== 200 || complete);
    })).toEqual([]);
  });

  // Guards against a check that is too strict.
  it('is passed on whole where HTTP allows the form', async () => {
    expect(await findTaken(UNUSUAL_FORMS, ({ socket, id }, form) => {
      served += 1;
      socket.write(writeOdd(form, 200, signed(id), 'whole'));
    }, async () => {
      const { status, complete, body } = await ask('/order/x');
      return !complete || ![200, 299, 404, 599].includes(status) || !body.includes('whole');
    })).toEqual([]);
  });

  // Guards against a success that looks as if its server had not signed it.
  it('keeps its signature if its Connection field lists it', async () => {
    const field = 'Connection: close, Catkinscale-Server-Signature, Content-Length';
    server.respond = (req) => answer(req, { field });
    expect(await ask('/order/x')).toMatchObject({
      status: 200, complete: true, head: expect.stringMatching(/catkinscale-server-signature: s1/i),
    });
  });

  it('is none for a call on a connection that was used before', async () => {
    let isFirst = true;
    const used: boolean[] = [];
    const respond: Respond = (req, form) => {
      if (!isFirst) used.push(req.earlier > 0);
      answer(req, isFirst ? SOUND : form);
    };
    expect(await findTaken(SAMPLE_FORMS, respond, async () => {
      isFirst = true;
      await ask('/order/x');
      isFirst = false;
      const { status, complete } = await ask('/order/x');
      return status !== 502 && (status !== 200 || complete);
    })).toEqual([]);
    expect(used).toEqual([...SAMPLE_FORMS].map(() => true));
  });

  it('is none for a stream', async () => {
    expect(await findTaken(SAMPLE_FORMS, ({ socket, id }, form) => {
      write(socket, { framed: chunked, ...form }, 200, `Content-Type: text/event-stream\r\n${signed(id)}`, 'id: 1\n\n');
    }, async () => {
      const { status, complete } = await ask('/talk/x');
      return status !== 502 && (status !== 200 || complete);
    })).toEqual([]);
  });

  // Guards against "not run" for a call that may run.
  it.each([503, 429, 421, 400])('does not refuse a call with status %i', async (code) => {
    const refuse: Respond = ({ socket, id }, form) => {
      write(socket, form, code, `Catkinscale-Not-Executed: 1\r\nCatkinscale-Request-Id: ${id}\r\n`, '');
    };
    server.respond = (req) => refuse(req, SOUND);
    expect((await ask('/order/x')).status).toBe(503);
    const forms = new Map([...SAMPLE_FORMS].filter(([name]) => !name.includes('trailer')));
    expect(await findTaken(forms, refuse, async () => (await ask('/order/x')).status !== 502)).toEqual([]);
  });

  it('does not go on with a stream that has broken off', async () => {
    let form = SOUND;
    let runs = 0;
    respondAtDecoders(({ socket, id }) => {
      runs += 1;
      const fields = `Content-Type: text/event-stream\r\n${signed(id)}`;
      if (runs > 1) write(socket, { framed: chunked, ...form }, 200, fields, 'id: 2\n\n');
      else {
        socket.write(`HTTP/1.1 200 OK\r\n${fields}Transfer-Encoding: chunked\r\n\r\n7\r\nid: 1\n\n\r\n`);
        setTimeout(() => socket.destroy(), 10);
      }
    });
    const sound = await ask('/long/x');
    expect(sound).toMatchObject({ status: 200, complete: true });
    const taken: string[] = [];
    for (const [name, odd] of SAMPLE_FORMS) {
      form = odd;
      runs = 0;
      const { complete } = await ask('/long/x');
      if (complete || runs < 2) taken.push(`${name} ${runs}`);
    }
    expect(taken).toEqual([]);
  });

  it('is no handle of a prefill', async () => {
    let handles = 0;
    respondAtDecoders(({ socket, head, id }) => {
      if (/catkinscale-kv-source/i.test(head)) handles += 1;
      socket.write(writeOdd(SOUND, 200, signed(id), 'done'));
    });
    const prefill: Respond = ({ socket, id }, form) => write(socket, form, 200, signed(id), '{"kv-handle":"h","tokens":9}');
    server.respond = (req) => prefill(req, SOUND);
    expect((await ask('/long/x', 60_300)).body).toBe('done');
    expect(handles).toBe(1);
    let born = 1;
    expect(await findTaken(SAMPLE_FORMS, prefill, async () => {
      const before = handles;
      // With a new start time, earlier failures of the engine are forgotten.
      born += 1;
      store.put('servers/p1', createServerRecord(server.address, 'engine', { stage: 'prefill', born }));
      await waitUntil(() => {
        const { list } = gateway.gateway.dump().servers as { list: readonly { bornAt: number }[] };
        return list.some(({ bornAt }) => bornAt === born);
      });
      await ask('/long/x', 60_300);
      return handles > before;
    })).toEqual([]);
  });
});
