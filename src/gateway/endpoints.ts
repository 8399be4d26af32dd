import type { IncomingMessage, ServerResponse } from 'node:http';
import { listenHttp, sendJson } from '../daemon/http.js';
import type { HttpListener, ListenError } from '../daemon/http.js';
import type { Result } from '../core/result.js';
import { explainedCallSchema } from './explanation.js';
import type { ExplainedCall, Explanation } from './explanation.js';
import { Override, partKey } from './quarantine/index.js';

/** Limits for the small requests of callers that look up an address and of the platform. */
const LIMITS = { body: 1_024, headerTimeout: 3_000 };

/** Base of the paths of requests, which have no host name of their own. */
const BASE_URL = 'http://gateway';

/** Beginning of the path of an operator's order for a prompt part. */
const ORDER_PATH = '/quarantine/';

/** Content of the endpoints for readiness, the directory and metrics. */
export interface EndpointContent {
  ready(): boolean;
  /** Body of the directory's answer to callers; `null` where there is no address. */
  addressBody(): string | null;
  /** All metrics in the Prometheus text format. */
  metrics(): string;
  dump(): Record<string, unknown>;
  /** Where a call would go now, and why. */
  explain(call: ExplainedCall): Explanation;
  /** Carries out an operator's order for a prompt part; `null` releases it. */
  orderPart(key: string, order: Override.Block | Override.Allow | null): void;
  /** Receives the exceptions of the other functions. */
  onUnexpected(err: unknown): void;
}

const PART_ORDERS = { block: Override.Block, allow: Override.Allow, clear: null } as const;

/** Answers `POST /quarantine/ORDER?service=SERVICE&part=ID`. */
function answerPartOrder(url: URL, res: ServerResponse, content: EndpointContent): void {
  const name = url.pathname.slice(ORDER_PATH.length);
  const order = Object.entries(PART_ORDERS).find(([known]) => known === name)?.[1];
  const service = url.searchParams.get('service') ?? '';
  const part = url.searchParams.get('part') ?? '';
  if (order === undefined || service === '' || !/^\*?[0-9a-f]{1,64}$/i.test(part)) {
    sendJson(res, 400, { error: { message: 'expected block, allow or clear, a service and a part in hexadecimal, or * and the id of a whole prompt' } });
    return;
  }
  const key = partKey(service, part.toLowerCase());
  content.orderPart(key, order);
  sendJson(res, 200, { part: key, order: name });
}

/** Answers `GET /explain?host=HOST&target=PATH`, with `workspace`, `prompt`, `output` and `parts` where they apply. */
function answerExplain(url: URL, res: ServerResponse, content: EndpointContent): void {
  const parsed = explainedCallSchema.safeParse(Object.fromEntries(url.searchParams));
  if (parsed.success) sendJson(res, 200, content.explain(parsed.data));
  else sendJson(res, 400, { error: { message: parsed.error.issues.map(({ path, message }) => `${path.join('.')}: ${message}`).join('; ') } });
}

function sendText(res: ServerResponse, type: string, text: string): void {
  res.writeHead(200, { 'content-type': type, 'content-length': Buffer.byteLength(text) });
  res.end(text);
}

function listenForSmallRequests(
  address: string,
  { onUnexpected }: EndpointContent,
  connections: number,
  answer: (req: IncomingMessage, res: ServerResponse) => void,
): Promise<Result<HttpListener, ListenError>> {
  return listenHttp(address, async (req, res) => {
    req.resume();
    answer(req, res);
  }, { ...LIMITS, connections }, { onUnexpected });
}

/** Opens the readiness listener, which reports whether callers may be sent to this gateway. */
export function listenReadiness(
  address: string,
  shown: EndpointContent,
  connections: number,
): Promise<Result<HttpListener, ListenError>> {
  return listenForSmallRequests(address, shown, connections, (_req, res) => {
    const ready = shown.ready();
    sendJson(res, ready ? 200 : 503, { ready });
  });
}

/** Opens the directory listener, which tells callers the addresses to use. */
export function listenDirectory(
  address: string,
  shown: EndpointContent,
  connections: number,
): Promise<Result<HttpListener, ListenError>> {
  return listenForSmallRequests(address, shown, connections, (_req, res) => {
    const body = shown.addressBody();
    if (body === null) sendJson(res, 503, { error: 'no gateway is ready' });
    else sendText(res, 'application/json', body);
  });
}

/** Opens the listener for metrics, the dump and operators' orders. */
export function listenMetrics(
  address: string,
  shown: EndpointContent,
  connections: number,
): Promise<Result<HttpListener, ListenError>> {
  return listenForSmallRequests(address, shown, connections, (req, res) => {
    const path = req.url ?? '/';
    const url = new URL(URL.canParse(path, BASE_URL) ? path : '/', BASE_URL);
    if (req.method === 'POST' && url.pathname.startsWith(ORDER_PATH)) answerPartOrder(url, res, shown);
    else if (url.pathname === '/explain') answerExplain(url, res, shown);
    else if (url.pathname === '/dump') sendJson(res, 200, shown.dump());
    else sendText(res, 'text/plain; version=0.0.4', shown.metrics());
  });
}
