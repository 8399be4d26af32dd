import { describe, expect, it } from 'vitest';
import { platformCodec } from '../platform/index.js';
import type { AnswerSink, ConnectionPool } from '../src/gateway/connections.js';
import type { Call, SendPlan } from '../src/gateway/codec.js';
import { Upstream } from '../src/gateway/upstream.js';

const CALL = {
  id: 'r1',
  host: 'shop.example',
  method: 'POST',
  target: '/talk/x',
  headers: [],
  lastEventId: null,
  generation: null,
  authorization: [],
} as unknown as Call;

const PLAN = {
  server: { id: 's1' }, deadlineMs: 1_000, priority: null, caller: { type: 'unchecked' }, work: { type: 'whole' },
} as unknown as SendPlan;

/** Chunks that the observer of a send sees of an answer with these headers and two chunks. */
function chunksSeen(status: number, headers: Record<string, string>): number {
  let seen = 0;
  let sink: AnswerSink | null = null;
  const pool = {
    send: (_req: unknown, answers: AnswerSink) => {
      sink = answers;
      return { pause: () => {}, resume: () => {}, abort: () => {} };
    },
  } as unknown as ConnectionPool;
  const upstream = new Upstream(CALL, platformCodec, pool, PLAN, null, {
    chunk: () => {
      seen += 1;
    },
  });
  expect(sink).not.toBeNull();
  upstream.sent();
  upstream.head(status, { 'catkinscale-request-id': 'r1', ...headers }, false);
  for (const chunk of ['one', 'two']) upstream.data(Buffer.from(chunk));
  return seen;
}

describe('a send to a backend server', () => {
  // Guards against usage that counts calls which no server has run.
  it('reports the chunks of an answer, and none of a refusal', () => {
    expect(chunksSeen(200, { 'catkinscale-server-signature': 's1' })).toBe(2);
    expect(chunksSeen(500, { 'catkinscale-server-signature': 's1' })).toBe(2);
    expect(chunksSeen(503, { 'catkinscale-not-executed': '1' })).toBe(0);
  });
});
