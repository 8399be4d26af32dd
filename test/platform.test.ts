import type { IncomingMessage } from 'node:http';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { readHandle, readReport } from '../platform/engines.js';
import { readConfiguration, readServer } from '../platform/records.js';
import {
  readCall, readHead, readParts, sendHeaders,
} from '../platform/requests.js';
import { Role } from '../src/core/edges/index.js';
import { CallKind } from '../src/gateway/configuration.js';
import { Execution } from '../src/gateway/dialect.js';
import type { Call } from '../src/gateway/dialect.js';

const SEED = { seed: 20261204, numRuns: 300 };

function request(headers: readonly string[], url = '/a/b'): IncomingMessage {
  const joined: Record<string, string> = {};
  for (let index = 0; index < headers.length; index += 2) joined[headers[index]!.toLowerCase()] = headers[index + 1]!;
  return {
    headers: joined, rawHeaders: headers, method: 'POST', url,
  } as unknown as IncomingMessage;
}

function call(headers: readonly string[]): Call {
  const parsed = readCall(request(['Host', 'shop.example', 'Catkinscale-Request-Id', 'r1', ...headers]));
  if (!parsed.success) throw new Error(parsed.error.message);
  return parsed.data;
}

const SERVER = JSON.stringify({
  service: 'engine', address: '10.0.0.1:80', zone: 'regina', slots: 4, state: 'ready', born: 5, stage: 'decode',
});

const ROUTE = {
  name: 'r', host: 'h', 'path-prefix': '/a/', kind: 'streaming', 'timeout-ms': 1000, 'target-latency-ms': 150,
};

function configuration(changes: object): string {
  return JSON.stringify({
    version: 3,
    routes: [ROUTE],
    services: [{ name: 'engine', 'max-connections': 10, engine: { slots: 4 } }],
    limits: {
      'max-header-bytes': 1, 'max-body-bytes': 2, 'header-timeout-ms': 3, 'idle-timeout-ms': 4,
    },
    ...changes,
  });
}

describe('records of backend servers', () => {
  it('are decoded once', () => {
    const record = readServer('servers/i-1', SERVER);
    expect(record).toMatchObject({
      success: true,
      data: {
        id: 'i-1', bornAt: 5, role: Role.Decode, draining: false, failureDomain: 'regina',
      },
    });
  });

  // Guards against entries of another writer that stop the process or name a server.
  it('name no server where they can not be read, whatever they hold (fuzzed)', () => {
    fc.assert(fc.property(fc.oneof(fc.string(), fc.json()), (text) => {
      expect(readServer('servers/x', text).success).toBe(false);
    }), SEED);
    for (const wrong of [{ state: 'odd' }, { slots: '4' }, { address: 'host:80' }, { service: 7 }]) {
      expect(readServer('servers/x', JSON.stringify({ ...JSON.parse(SERVER), ...wrong })).success).toBe(false);
    }
  });
});

describe('configurations', () => {
  it('are decoded with the strictest kind for an unknown one', () => {
    const read = readConfiguration('op/config', configuration({ routes: [ROUTE, { ...ROUTE, kind: 'new' }] }));
    expect(read?.success === true && read.data.routes.map(({ kind }) => kind))
      .toEqual([CallKind.Stream, CallKind.NonIdempotent]);
  });

  it('give an error, never an exception, whatever they hold (fuzzed)', () => {
    fc.assert(fc.property(fc.oneof(fc.string(), fc.json()), (text) => {
      expect(readConfiguration('op/config', text)?.success).toBe(false);
    }), SEED);
    expect(readConfiguration('op/other', '{}')).toBeNull();
  });
});

describe('requests', () => {
  // Guards against callers that direct engines, or that drop the id of their call by naming it a connection header.
  it('drop what only this system may set, and keep the id', () => {
    const { headers } = call([
      'Catkinscale-Kv-Source', '10.0.0.1:80/x', 'Catkinscale-Pin-Ms', '9', 'Catkinscale-Kv-Hold', 'h', 'Kv-Fetch', 'f',
      'Catkinscale-Kv-Backup', 'b', 'Catkinscale-Stage', 'prefill', 'Connection', 'x-hop, catkinscale-request-id',
      'X-Hop', '1', 'X-Kept', '2', 'Transfer-Encoding', 'chunked',
    ]);
    expect(headers).toEqual(['Host', 'shop.example', 'Catkinscale-Request-Id', 'r1', 'X-Kept', '2']);
  });

  it('carry the time that is left and the server that is meant', () => {
    const record = readServer('servers/i-1', SERVER);
    if (!record.success) throw new Error(record.error);
    const headers = sendHeaders(call(['Catkinscale-Deadline-Ms', '2000']), {
      server: record.data, deadlineMs: 1_234.5, priority: null, work: { type: 'prefill' },
    });
    expect(headers.slice(4)).toEqual([
      'catkinscale-deadline-ms', '1234', 'catkinscale-expect-instance', 'i-1', 'catkinscale-stage', 'prefill',
    ]);
  });

  it('are read without an exception, whatever their headers (fuzzed)', () => {
    fc.assert(fc.property(fc.string(), fc.string(), fc.string(), (deadline, tokens, parts) => {
      const parsed = readCall(request([
        'Catkinscale-Deadline-Ms', deadline, 'Catkinscale-Token-Count', tokens, 'Catkinscale-Prompt-Prefix', parts,
      ]));
      if (parsed.success && parsed.data.deadlineMs !== null) expect(parsed.data.deadlineMs).toBeGreaterThanOrEqual(0);
    }), SEED);
  });

  it('list the parts of a prompt', () => {
    expect(readParts('5c1e:800, 91bd:410')).toEqual([{ id: '5c1e', tokens: 800 }, { id: '91bd', tokens: 410 }]);
    expect(readParts('5c1e')).toBeNull();
  });
});

describe('answers', () => {
  const own = call([]);

  // Guards against a refusal that promises more than the backend server has said.
  it('count as not executed only where the server says so', () => {
    const execution = (status: number, headers: object): Execution => (
      readHead(own, status, { 'catkinscale-request-id': 'r1', ...headers }).execution
    );
    expect(execution(503, { 'catkinscale-not-executed': '1' })).toBe(Execution.NotExecuted);
    expect(execution(421, {})).toBe(Execution.NotExecuted);
    expect(execution(503, {})).toBe(Execution.Executed);
    expect(execution(500, { 'catkinscale-not-executed': '1' })).toBe(Execution.Executed);
  });

  // Guards against the late answer of an earlier call on the same connection.
  it('belong to a call only by its id', () => {
    expect(readHead(own, 200, { 'catkinscale-request-id': 'r2' }).matches).toBe(false);
    expect(readHead(own, 200, {}).matches).toBe(false);
    expect(readHead(own, 200, { 'catkinscale-request-id': 'r1' }).matches).toBe(true);
  });

  it('are not vouched for where their body is encoded on the way', () => {
    const signature = { 'catkinscale-server-signature': 's', 'catkinscale-request-id': 'r1' };
    expect(readHead(own, 200, signature).signed).toBe(true);
    expect(readHead(own, 200, { ...signature, 'content-encoding': 'gzip' }).signed).toBe(false);
  });

  it('of engines are read without an exception (fuzzed)', () => {
    const record = readServer('servers/i-1', SERVER);
    if (!record.success) throw new Error(record.error);
    fc.assert(fc.property(fc.string(), (text) => {
      expect(readHandle(record.data, Buffer.from(text))).toBeNull();
      expect(readReport(Buffer.from(text))).toBeNull();
    }), SEED);
  });
});
