import type { IncomingMessage, ServerResponse } from 'node:http';
import { listenHttp, sendJson } from '../daemon/http.js';
import type { HttpListener, ListenError } from '../daemon/http.js';
import type { Result } from '../core/result.js';

/** Small requests only, from callers that look for an address and from the platform. */
const LIMITS = { body: 1_024, connections: 1_024, headerTimeout: 3_000 };

/** What the listeners beside the one for calls show. */
export interface Shown {
  ready(): boolean;
  /** Body of the answer to callers that ask for addresses; `null` where there are none. */
  addressBody(): string | null;
  metrics(): string;
  dump(): Record<string, unknown>;
}

function sendText(res: ServerResponse, type: string, text: string): void {
  res.writeHead(200, { 'content-type': type, 'content-length': Buffer.byteLength(text) });
  res.end(text);
}

function listenSmall(
  address: string,
  answer: (req: IncomingMessage, res: ServerResponse) => void,
): Promise<Result<HttpListener, ListenError>> {
  return listenHttp(address, async (req, res) => {
    req.resume();
    answer(req, res);
  }, LIMITS);
}

/** Opens the listener that tells whether callers may be sent here. */
export function listenReadiness(address: string, shown: Shown): Promise<Result<HttpListener, ListenError>> {
  return listenSmall(address, (_req, res) => {
    const ready = shown.ready();
    sendJson(res, ready ? 200 : 503, { ready });
  });
}

/** Opens the listener that tells callers which addresses to use. */
export function listenDirectory(address: string, shown: Shown): Promise<Result<HttpListener, ListenError>> {
  return listenSmall(address, (_req, res) => {
    const body = shown.addressBody();
    if (body === null) sendJson(res, 503, { error: 'no gateway is ready' });
    else sendText(res, 'application/json', body);
  });
}

/** Opens the listener for metrics and the dump. */
export function listenMetrics(address: string, shown: Shown): Promise<Result<HttpListener, ListenError>> {
  return listenSmall(address, (req, res) => {
    if (req.url === '/dump') sendJson(res, 200, shown.dump());
    else sendText(res, 'text/plain; version=0.0.4', shown.metrics());
  });
}
