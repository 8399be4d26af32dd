import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { EngineErrorCode } from '../core/interfaces/index.js';
import type {
  EngineError, EngineEvent, GenerateCall, Order, ResumePosition,
} from '../core/interfaces/index.js';
import type { Result } from '../core/result.js';
import type { EmulatedEngine } from './engine.js';
import { answerJson, startStandIn } from './server.js';
import type { StandInRecorder } from './server.js';

const CALL_TIMEOUT_MS = 60_000;

const HTTP_STATUS: Record<EngineErrorCode, number> = {
  [EngineErrorCode.NotSent]: 503,
  [EngineErrorCode.Refused]: 429,
  [EngineErrorCode.Leaving]: 503,
  [EngineErrorCode.NotServed]: 409,
  [EngineErrorCode.NotFound]: 404,
  [EngineErrorCode.Fenced]: 409,
  [EngineErrorCode.Broken]: 500,
};

function answerResult<T>(res: ServerResponse, result: Result<T, EngineError>): void {
  if (result.success) answerJson(res, 200, result.data ?? {});
  else answerJson(res, HTTP_STATUS[result.error.code], result.error);
}

/** Waits until the socket accepts more data or is closed, so that slow readers exert backpressure. */
async function waitUntilWritable(res: ServerResponse): Promise<void> {
  if (!res.writableNeedDrain || res.closed) return;
  await new Promise<void>((resolve) => {
    res.once('drain', resolve);
    res.once('close', resolve);
  });
}

async function streamEvents(
  req: IncomingMessage,
  res: ServerResponse,
  open: (signal: AbortSignal) => Promise<Result<AsyncIterable<EngineEvent>, EngineError>>,
): Promise<void> {
  const closed = new AbortController();
  res.once('close', () => closed.abort());
  const result = await open(closed.signal);
  if (!result.success) {
    answerResult(res, result);
    return;
  }
  res.writeHead(200, { 'content-type': 'text/event-stream' });
  res.flushHeaders();
  for await (const event of result.data) {
    res.write(`data: ${JSON.stringify(event)}\n\n`);
    await waitUntilWritable(res);
    if (req.destroyed && res.closed) return;
  }
  res.end();
}

/** Serves an emulated engine over HTTP with the message formats of docs/protocols.md. */
export function startEngineServer(
  engine: EmulatedEngine,
  address: string,
  record?: StandInRecorder,
): Promise<Server> {
  const opts = { timeoutMs: CALL_TIMEOUT_MS };
  return startStandIn(address, {
    'POST /v1/completions': (body, req, res) => (
      streamEvents(req, res, (signal) => engine.generate(body as GenerateCall, { ...opts, signal }))
    ),
    'POST /v1/streams/resume': (body, req, res) => (
      streamEvents(req, res, (signal) => engine.resume(body as ResumePosition, { ...opts, signal }))
    ),
    'POST /v1/streams/cancel': async (body, _req, res) => {
      const { requestId, attemptId } = body as GenerateCall;
      answerResult(res, await engine.cancel(requestId, attemptId, opts));
    },
    'POST /v1/streams/export': async (body, _req, res) => {
      const { requestId, attemptId } = body as GenerateCall;
      answerResult(res, await engine.exportCache(requestId, attemptId, opts));
    },
    'POST /admin/orders': async (body, _req, res) => {
      const result = await engine.order(body as Order, { ...opts, mayStillSend: () => true });
      if (result.success) answerJson(res, 200, { state: result.data });
      else answerResult(res, result);
    },
    'GET /admin/status': async (_body, _req, res) => answerResult(res, await engine.status(opts)),
    'GET /load': async (_body, _req, res) => answerResult(res, await engine.loadReport(opts)),
    'GET /cache-events': async (_body, req, res) => {
      const after = Number(new URL(req.url ?? '', 'http://engine').searchParams.get('after') ?? 0);
      answerResult(res, await engine.cacheEvents(after, opts));
    },
  }, record);
}
