import fc from 'fast-check';
import { request } from 'undici';
import {
  afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import type { HttpListener } from '../src/daemon/http.js';
import { Metrics } from '../src/daemon/metrics.js';
import { listenOperators } from '../src/daemon/operators.js';
import { Secret } from '../src/core/configuration/settings.js';
import { FakeEntry, quietLog } from './support/fakes.js';

const SEED = 20_261_204;

const TOKEN = 'operator-token-of-the-test';

let entry: FakeEntry;
let listener: HttpListener;
let metrics: Metrics;

beforeEach(async () => {
  entry = new FakeEntry();
  metrics = new Metrics();
  const result = await listenOperators(entry, {
    address: '127.0.0.1:0',
    token: new Secret(TOKEN),
    log: quietLog,
    meter: metrics,
    renderMetrics: () => metrics.render(),
    drain: () => entry.drain(),
  });
  if (!result.success) throw new Error(result.error.message);
  listener = result.data;
});

afterEach(() => listener.destroy());

async function send(
  method: 'GET' | 'POST',
  path: string,
  body?: string,
  authorization = `Bearer ${TOKEN}`,
): Promise<{ readonly status: number; readonly text: string }> {
  const res = await request(`http://${listener.address}${path}`, {
    method, headers: { authorization }, ...(body === undefined ? {} : { body }),
  });
  return { status: res.statusCode, text: await res.body.text() };
}

describe('operator listener', () => {
  it('refuses a missing or wrong token on every path', async () => {
    for (const path of ['/show', '/dump', '/metrics', '/nothing']) {
      expect((await send('GET', path, undefined, '')).status).toBe(401);
      expect((await send('GET', path, undefined, `Bearer ${TOKEN}x`)).status).toBe(401);
    }
    expect(entry.files).toEqual([]);
  });

  it('applies a fleet file and returns its revision', async () => {
    const reply = await send('POST', '/apply?base=3', '[fleet]\nname = x\n');
    expect([reply.status, JSON.parse(reply.text)]).toEqual([200, { type: 'accepted', revision: 4, hash: 'abc' }]);
    expect(entry.files).toEqual(['[fleet]\nname = x\n']);
  });

  it('answers 422 with the text of each issue for an invalid file', async () => {
    entry.applied = { type: 'invalid', issues: [{ code: 'missing', path: ['fleet', 'name'], expected: 'a name' }] };
    const reply = await send('POST', '/apply', 'x');
    expect(reply.status).toBe(422);
    expect(JSON.parse(reply.text)).toMatchObject({ issues: [{ text: '[fleet] name: missing; expected a name' }] });
  });

  it('answers 504 for an unknown outcome and 409 for a conflict', async () => {
    entry.applied = { type: 'unknown', message: 'no answer' };
    expect((await send('POST', '/apply', 'x')).status).toBe(504);
    entry.applied = { type: 'conflict', revision: 9, hash: 'def' };
    expect((await send('POST', '/apply', 'x')).status).toBe(409);
  });

  // Guards against sending the key-value service a file that is too large for it to store.
  it('refuses a file over 1,000,000 bytes without passing it to the entry', async () => {
    expect((await send('POST', '/apply', 'x'.repeat(1_000_001))).status).toBe(413);
    expect(entry.files).toEqual([]);
  });

  it('returns the file in force, the state dump and the drain report', async () => {
    expect(JSON.parse((await send('GET', '/show')).text)).toMatchObject({ revision: 3 });
    expect(JSON.parse((await send('GET', '/dump')).text)).toEqual({ entry: { name: 'one' } });
    expect(JSON.parse((await send('POST', '/drain')).text)).toMatchObject({ handedOver: 1, cut: 0 });
  });

  it('renders metrics in the Prometheus text format', async () => {
    metrics.count('caller_answers', 2, { form: 'stream' });
    metrics.count('stream_moves_total');
    metrics.gauge('open_streams', 5);
    metrics.record('caller_first_token_ms', 12.5);
    const { text } = await send('GET', '/metrics');
    expect(text).toContain('# TYPE catkinscale_caller_answers_total counter\ncatkinscale_caller_answers_total{form="stream"} 2\n');
    expect(text).toContain('catkinscale_stream_moves_total 1\n');
    expect(text).toContain('catkinscale_open_streams 5\n');
    expect(text).toMatch(/catkinscale_caller_first_token_ms\{quantile="0.99"\} 12\.\d+\n/);
    expect(text).toContain('catkinscale_caller_first_token_ms_count 1\n');
  });

  // Guards against memory that grows with the label values that callers choose.
  it('counts label values above the series limit under `other`', () => {
    for (let value = 0; value < 1_000; value += 1) metrics.count('refusals', 1, { code: String(value) });
    expect(metrics.render().split('\n').length).toBeLessThan(210);
    expect(metrics.render()).toContain('catkinscale_refusals_total{code="other"} 800\n');
  });

  it('answers every path and query (fuzzed)', async () => {
    const path = fc.string({ unit: 'grapheme-ascii', maxLength: 60 }).map((text) => `/${encodeURI(text)}`);
    const target = fc.oneof(path, path.map((text) => `/apply?base=${text}`), fc.constantFrom('//', '/[', '/%', '/?'));
    await fc.assert(fc.asyncProperty(target, async (text) => {
      expect([200, 400, 404]).toContain((await send('POST', text, '')).status);
    }), { seed: SEED, numRuns: 200 });
  });
});
