import type { IncomingMessage } from 'node:http';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { readHandle, readReport } from '../platform/engines.js';
import { readConfiguration, readServer } from '../platform/records.js';
import {
  controlPauseMs, readCall, readHead, parsePromptParts, sendHeaders,
} from '../platform/requests.js';
import { Role } from '../src/core/interfaces/index.js';
import { createServerRecord } from '../src/emulator/backend.js';
import { CallKind } from '../src/gateway/configuration.js';
import { Execution } from '../src/gateway/codec.js';
import type { Call } from '../src/gateway/codec.js';

const SEED = { seed: 20261204, numRuns: 300 };

function createRequest(headers: readonly string[], url = '/a/b'): IncomingMessage {
  const joined: Record<string, string> = {};
  for (let index = 0; index < headers.length; index += 2) joined[headers[index]!.toLowerCase()] = headers[index + 1]!;
  return {
    headers: joined, rawHeaders: headers, method: 'POST', url,
  } as unknown as IncomingMessage;
}

function decodeCall(headers: readonly string[]): Call {
  const parsed = readCall(createRequest(['Host', 'shop.example', 'Catkinscale-Request-Id', 'r1', ...headers]));
  if (!parsed.success) throw new Error(parsed.error.message);
  return parsed.data;
}

const SERVER = createServerRecord('10.0.0.1:80', 'engine', { born: 5, stage: 'decode' });

const ROUTE = {
  name: 'r', host: 'h', 'path-prefix': '/a/', kind: 'streaming', 'timeout-ms': 1000, 'target-latency-ms': 150,
};

function createConfiguration(changes: object): string {
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

describe('readServer', () => {
  it('decodes id, start time, role, state and failure domain of a backend server', () => {
    const record = readServer('servers/i-1', SERVER);
    expect(record).toMatchObject({
      success: true,
      data: {
        id: 'i-1', bornAt: 5, role: Role.Decode, draining: false, failureDomain: 'regina',
      },
    });
  });

  // Guards against records of other writers that crash the process or are taken for a server.
  it('returns an error, never an exception, for an invalid record (fuzzed)', () => {
    fc.assert(fc.property(fc.oneof(fc.string(), fc.json()), (text) => {
      expect(readServer('servers/x', text).success).toBe(false);
    }), SEED);
    for (const field of Object.keys(JSON.parse(SERVER) as object).filter((name) => name !== 'stage')) {
      const lacking = JSON.stringify({ ...JSON.parse(SERVER), [field]: undefined });
      expect([field, readServer('servers/x', lacking).success]).toEqual([field, false]);
    }
    for (const wrong of [{ state: 'odd' }, { slots: '4' }, { address: 'host:80' }, { service: 7 }]) {
      expect(readServer('servers/x', JSON.stringify({ ...JSON.parse(SERVER), ...wrong })).success).toBe(false);
    }
  });
});

describe('readConfiguration', () => {
  it('decodes a route of unknown kind with the strictest kind', () => {
    const read = readConfiguration('op/config', createConfiguration({ routes: [ROUTE, { ...ROUTE, kind: 'new' }] }));
    expect(read?.success === true && read.data.routes.map(({ kind }) => kind))
      .toEqual([CallKind.Stream, CallKind.NonIdempotent]);
  });

  it('returns an error, never an exception, for an invalid configuration (fuzzed)', () => {
    fc.assert(fc.property(fc.oneof(fc.string(), fc.json()), (text) => {
      expect(readConfiguration('op/config', text)?.success).toBe(false);
    }), SEED);
    expect(readConfiguration('op/other', '{}')).toBeNull();
  });
});

describe('requests of callers', () => {
  // Guards against callers that control engines, or that lose the id of their call by listing it in Connection.
  it('drop the headers that only this system may set, and keep the request id', () => {
    const { headers } = decodeCall([
      'Catkinscale-Kv-Source', '10.0.0.1:80/x', 'Catkinscale-Pin-Ms', '9', 'Catkinscale-Kv-Hold', 'h', 'Kv-Fetch', 'f',
      'Catkinscale-Kv-Backup', 'b', 'Catkinscale-Stage', 'prefill', 'Connection', 'x-hop, catkinscale-request-id',
      'X-Hop', '1', 'X-Kept', '2', 'Transfer-Encoding', 'chunked',
    ]);
    expect(headers).toEqual(['Host', 'shop.example', 'Catkinscale-Request-Id', 'r1', 'X-Kept', '2']);
  });

  it('carry the remaining time, the expected server and the stage when sent', () => {
    const record = readServer('servers/i-1', SERVER);
    if (!record.success) throw new Error(record.error);
    const headers = sendHeaders(decodeCall(['Catkinscale-Deadline-Ms', '2000']), {
      server: record.data, deadlineMs: 1_234.5, priority: null, work: { type: 'prefill' }, caller: { type: 'unchecked' },
    });
    expect(headers.slice(4)).toEqual([
      'catkinscale-deadline-ms', '1234', 'catkinscale-expect-instance', 'i-1', 'catkinscale-stage', 'prefill',
    ]);
  });

  it('are decoded without an exception and with no negative deadline, whatever their headers (fuzzed)', () => {
    fc.assert(fc.property(fc.string(), fc.string(), fc.string(), (deadline, tokens, parts) => {
      const parsed = readCall(createRequest([
        'Catkinscale-Deadline-Ms', deadline, 'Catkinscale-Token-Count', tokens, 'Catkinscale-Prompt-Prefix', parts,
      ]));
      if (parsed.success && parsed.data.deadlineMs !== null) expect(parsed.data.deadlineMs).toBeGreaterThanOrEqual(0);
    }), SEED);
  });

  it('list the parts of a prompt with their tokens, or none if one is malformed', () => {
    expect(parsePromptParts('5c1e:800, 91bd:410')).toEqual([{ id: '5c1e', tokens: 800 }, { id: '91bd', tokens: 410 }]);
    expect(parsePromptParts('5c1e')).toBeNull();
    expect(parsePromptParts(Array.from({ length: 300 }, () => '5c1e:8').join(','))).toHaveLength(300);
  });
});

describe('answers of backend servers', () => {
  const own = decodeCall([]);

  // Guards against telling a caller that a call did not run although the backend server did not say so.
  it('count as not executed only if the server says so', () => {
    const execution = (status: number, headers: object): Execution => (
      readHead(own, status, { 'catkinscale-request-id': 'r1', ...headers }).execution
    );
    expect(execution(503, { 'catkinscale-not-executed': '1' })).toBe(Execution.NotExecuted);
    expect(execution(421, {})).toBe(Execution.NotExecuted);
    expect(execution(503, {})).toBe(Execution.Executed);
    expect(execution(500, { 'catkinscale-not-executed': '1' })).toBe(Execution.Executed);
  });

  // Guards against taking the late answer to an earlier call on the same connection for the answer to this call.
  it('match a call only if they carry its request id', () => {
    expect(readHead(own, 200, { 'catkinscale-request-id': 'r2' }).matchesCall).toBe(false);
    expect(readHead(own, 200, {}).matchesCall).toBe(false);
    expect(readHead(own, 200, { 'catkinscale-request-id': 'r1' }).matchesCall).toBe(true);
  });

  it('do not count as signed if their body has a content encoding', () => {
    const signature = { 'catkinscale-server-signature': 's', 'catkinscale-request-id': 'r1' };
    expect(readHead(own, 200, signature).signed).toBe(true);
    expect(readHead(own, 200, { ...signature, 'content-encoding': 'gzip' }).signed).toBe(false);
  });

  // Guards against requests to a server that has asked for a pause, and against values that take it away for good.
  it.each<[string | string[] | undefined, number | null]>([
    ['3', 3_000], ['0.25', 250], [' 2. ', 2_000], ['.5', 500], [['1', '4'], 4_000], ['2, 5', 5_000], ['9'.repeat(400), 3_600_000],
    ['0', null], ['-1', null], ['', null], ['1e3', null], ['0x10', null], ['soon', null], [undefined, null],
    ['Mon, 07 Dec 2026 13:00:00 GMT', null],
  ])('with 503 and Retry-After %j ask for a pause of %j ms', (value, pauseMs) => {
    const headers = { 'retry-after': value, 'catkinscale-request-id': 'r1' };
    expect(readHead(own, 503, headers).pauseMs).toBe(pauseMs);
    expect(readHead(own, 429, headers).pauseMs).toBeNull();
    expect(controlPauseMs(503, { 'retry-after': value })).toBe(pauseMs);
    expect(controlPauseMs(503, headers)).toBeNull();
  });

  it('of engines are decoded to null, without an exception, if they are invalid (fuzzed)', () => {
    const record = readServer('servers/i-1', SERVER);
    if (!record.success) throw new Error(record.error);
    fc.assert(fc.property(fc.string(), (text) => {
      expect(readHandle(record.data, Buffer.from(text))).toBeNull();
      expect(readReport(Buffer.from(text))).toBeNull();
    }), SEED);
  });
});
