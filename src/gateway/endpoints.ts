import type { IncomingMessage, ServerResponse } from 'node:http';
import { listenHttp, sendJson } from '../daemon/http.js';
import type { HttpListener, ListenError } from '../daemon/http.js';
import type { Result } from '../core/result.js';

/** Limits for the small requests of callers that look up an address and of the platform. */
const LIMITS = { body: 1_024, connections: 1_024, headerTimeout: 3_000 };

/** Content of the endpoints for readiness, the directory and metrics. */
export interface EndpointContent {
  ready(): boolean;
  /** Body of the directory's answer to callers; `null` where there is no address. */
  addressBody(): string | null;
  /** All metrics in the Prometheus text format. */
  metrics(): string;
  dump(): Record<string, unknown>;
}

function sendText(res: ServerResponse, type: string, text: string): void {
  res.writeHead(200, { 'content-type': type, 'content-length': Buffer.byteLength(text) });
  res.end(text);
}

function listenForSmallRequests(
  address: string,
  answer: (req: IncomingMessage, res: ServerResponse) => void,
): Promise<Result<HttpListener, ListenError>> {
  return listenHttp(address, async (req, res) => {
    req.resume();
    answer(req, res);
  }, LIMITS);
}

/** Opens the readiness listener, which reports whether callers may be sent to this gateway. */
export function listenReadiness(address: string, shown: EndpointContent): Promise<Result<HttpListener, ListenError>> {
  return listenForSmallRequests(address, (_req, res) => {
    const ready = shown.ready();
    sendJson(res, ready ? 200 : 503, { ready });
  });
}

/** Opens the directory listener, which tells callers the addresses to use. */
export function listenDirectory(address: string, shown: EndpointContent): Promise<Result<HttpListener, ListenError>> {
  return listenForSmallRequests(address, (_req, res) => {
    const body = shown.addressBody();
    if (body === null) sendJson(res, 503, { error: 'no gateway is ready' });
    else sendText(res, 'application/json', body);
  });
}

/** Opens the listener for metrics and the dump. */
export function listenMetrics(address: string, shown: EndpointContent): Promise<Result<HttpListener, ListenError>> {
  return listenForSmallRequests(address, (req, res) => {
    if (req.url === '/dump') sendJson(res, 200, shown.dump());
    else sendText(res, 'text/plain; version=0.0.4', shown.metrics());
  });
}
