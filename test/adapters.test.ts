import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { performance } from 'node:perf_hooks';
import {
  afterAll, beforeAll, describe, expect, it, vi,
} from 'vitest';
import { HttpEngine } from '../src/adapters/engine.js';
import { HttpKeyValue } from '../src/adapters/keyvalue.js';
import { HttpService } from '../src/adapters/service.js';
import { EngineErrorCode, Priority, Role } from '../src/core/interfaces/index.js';
import type { Clock, EngineEvent, GenerateCall } from '../src/core/interfaces/index.js';
import { Fencing } from '../src/core/configuration/fleet.js';
import { EmulatedEngine } from '../src/emulator/engine.js';
import { ENGINE_PARAMETERS } from '../src/emulator/enginemodel.js';
import { startEngineServer } from '../src/emulator/engineserver.js';
import { KeyValueStore } from '../src/emulator/keyvalue.js';
import { startKeyValueServer } from '../src/emulator/keyvalueserver.js';
import { EmulatedService, ServiceLedger } from '../src/emulator/service.js';
import { startServiceServer } from '../src/emulator/serviceserver.js';
import { answerText } from '../src/emulator/text.js';

const clock: Clock = {
  monotonic: () => performance.now(),
  now: () => new Date(),
  after: (delayMs, callback) => {
    const timer = setTimeout(callback, delayMs);
    return { dispose: () => clearTimeout(timer) };
  },
};
const opts = { timeoutMs: 2_000 };
const servers: Server[] = [];

function addressOf(server: Server): string {
  servers.push(server);
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function collect(events: AsyncIterable<EngineEvent>): Promise<string> {
  let text = '';
  for await (const event of events) text += event.type === 'token' ? event.text : '';
  return text;
}

const call: GenerateCall = {
  requestId: 'r1',
  attemptId: 'a1',
  workspace: 'w',
  model: 'm',
  prompt: 'how many crates [answer-tokens=5]',
  delivered: '',
  firstIndex: 0,
  maxTokens: 100,
  priority: Priority.Normal,
};

afterAll(() => {
  for (const server of servers) {
    server.closeAllConnections();
    server.close();
  }
});

describe('HttpEngine', () => {
  const engine = new EmulatedEngine(clock, {
    name: 'e1',
    role: Role.Mixed,
    models: [{ model: 'm', version: '1' }],
    fencing: Fencing.Enforced,
    parameters: { ...ENGINE_PARAMETERS, modelLoadMs: 50 },
  });
  let client: HttpEngine;
  beforeAll(async () => {
    client = new HttpEngine('e1', addressOf(await startEngineServer(engine, '127.0.0.1:0')));
  });

  it('streams a whole answer', async () => {
    const result = await client.generate(call, opts);
    expect(result.success && await collect(result.data)).toBe(answerText(call.prompt, 100));
  });

  it('resumes a finished stream from a token index', async () => {
    const position = {
      requestId: 'r1', attemptId: 'a1', newAttemptId: 'a2', fromIndex: 3,
    };
    const result = await client.resume(position, opts);
    expect(result.success && answerText(call.prompt, 100).endsWith(await collect(result.data))).toBe(true);
  });

  // Guards against dropping the adapters from a status, which would make the planner order them again and again.
  it('reads the adapters of a loaded model from the status', async () => {
    const order = {
      orderId: 'o0', engine: 'e1', term: 1, sequence: 1, action: { type: 'load_adapter', model: 'm', adapter: 'a' } as const,
    };
    await client.order(order, { ...opts, mayStillSend: () => true });
    await vi.waitFor(async () => {
      expect(await client.status(opts)).toMatchObject({ success: true, data: { models: [{ model: 'm', adapters: ['a'] }] } });
    });
  });

  // Guards against sending an order whose sender lost authority while the order waited for a connection.
  it('does not send an order if mayStillSend returns false', async () => {
    const order = {
      orderId: 'o1', engine: 'e1', term: 1, sequence: 2, action: { type: 'role', role: Role.Decode } as const,
    };
    const result = await client.order(order, { ...opts, mayStillSend: () => false });
    expect(result).toMatchObject({ success: false, error: { code: EngineErrorCode.NotSent } });
    expect(engine.appliedOrders.map(({ orderId }) => orderId)).toEqual(['o0']);
  });
});

describe('HttpKeyValue', () => {
  const store = new KeyValueStore(clock);
  let client: HttpKeyValue;
  beforeAll(async () => {
    client = new HttpKeyValue(addressOf(await startKeyValueServer(store, '127.0.0.1:0')));
  });

  it('applies each compare-and-swap of one call independently', async () => {
    const first = await client.transact([{ key: 'k/1', expected: 0, value: 'a' }], opts);
    expect(first).toMatchObject({ success: true, data: [{ applied: true }] });
    const second = await client.transact([
      { key: 'k/1', expected: 0, value: 'b' },
      { key: 'k/2', expected: 0, value: 'c' },
    ], opts);
    expect(second).toMatchObject({
      success: true, data: [{ applied: false, current: { value: 'a' } }, { applied: true }],
    });
    const read = await client.get('k/2', opts);
    const version = second.success && second.data[1]?.applied ? second.data[1].version : -1;
    expect(read).toMatchObject({ success: true, data: { value: 'c', version } });
  });

  it('reports a write whose answer was lost as outcome unknown', async () => {
    store.loseAnswers = 1;
    const result = await client.transact([{ key: 'k/3', expected: 0, value: 'x' }], opts);
    expect(result).toMatchObject({ success: false, error: { code: 'outcome_unknown' } });
    expect(store.peek('k/3')?.value).toBe('x');
  });

  it('streams changes and ends the stream when the watch breaks', async () => {
    const seen: string[] = [];
    const watching = (async () => {
      for await (const event of client.watch('w/', 0, new AbortController().signal)) {
        seen.push(event.type === 'put' ? event.entry.value : 'deleted');
        if (seen.length === 2) store.breakWatches();
      }
    })();
    const put = await client.transact([{ key: 'w/1', expected: 0, value: 'a' }], opts);
    const version = put.success && put.data[0]?.applied ? put.data[0].version : 0;
    await client.transact([{ key: 'w/1', expected: version, value: null }], opts);
    await watching;
    expect(seen).toEqual(['a', 'deleted']);
  });

  it('finds the keys of an expired lease deleted and can not renew it', async () => {
    const lease = await client.leaseGrant(1_000, opts);
    const leaseId = lease.success ? lease.data : '';
    await client.transact([{
      key: 'l/1', expected: 0, value: 'held', leaseId,
    }], opts);
    store.expireLease(leaseId);
    expect(await client.get('l/1', opts)).toEqual({ success: true, data: null });
    expect(await client.leaseRenew(leaseId, opts)).toMatchObject({ success: false, error: { code: 'lease_not_found' } });
  });
});

describe('HttpService', () => {
  const serviceCall = {
    requestId: 'r', attemptId: 'a', workspace: 'w', operation: 'order', body: '{}',
  };

  it('reports a refused connection as not sent', async () => {
    const result = await new HttpService('s', '127.0.0.1:9').call(serviceCall, opts);
    expect(result).toMatchObject({ success: false, error: { sent: 'no' } });
  });

  // Guards against repeating a booking because its lost answer was taken for a failure to send.
  it('reports a call whose answer was lost as possibly sent', async () => {
    const ledger = new ServiceLedger();
    const service = new EmulatedService('s', clock, ledger);
    service.loseAnswers = 1;
    const client = new HttpService('s', addressOf(await startServiceServer(service, '127.0.0.1:0')));
    const result = await client.call(serviceCall, { timeoutMs: 200 });
    expect(result).toMatchObject({ success: false, error: { sent: 'unknown' } });
    expect(ledger.runs.size).toBe(1);
  });
});
