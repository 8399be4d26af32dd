import { isUtf8 } from 'node:buffer';
import { createServer, STATUS_CODES } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { Server as NetServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { fail, ok } from '../core/result.js';
import type { Result } from '../core/result.js';
import { httpRefusalAnswer } from './refusals.js';
import type { HttpRefusal, RefusalAnswer } from './refusals.js';

/** Limits of one listener; times in ms, sizes in bytes. */
export interface HttpLimits {
  readonly body: number;
  readonly connections: number;
  readonly headerTimeout: number;
}

/** Listening socket. */
export interface HttpListener {
  /** IP address and port that are in use. */
  readonly address: string;
  /** Accepts no further connection, ends idle ones and resolves once the answers that still run have ended. */
  close(): Promise<void>;
  /** Breaks every connection. */
  destroy(): void;
  /** Puts other limits in force; `keepAlive` is the time in ms that an idle connection stays open. */
  adjust(limits: Omit<HttpLimits, 'connections'>, keepAlive: number): void;
}

/** Failure to listen. */
export interface ListenError {
  readonly code: 'listen_failed';
  readonly message: string;
}

/** Why a body could not be read; `aborted` needs no answer, because the connection is gone. */
export type BodyError = HttpRefusal | { readonly code: 'aborted' } | { readonly code: 'not_utf8' };

/** Answers one request; a rejection is a broken invariant and stops the process. */
export type HttpHandler = (req: IncomingMessage, res: ServerResponse) => Promise<void>;

/** Time for a whole request with its body to arrive. */
const REQUEST_TIMEOUT_MS = 30_000;

/** Shorter than the default `address.keep`, so that idle connections end while a planned stop still serves. */
const KEEP_ALIVE_MS = 4_000;

/** Connections over the limit that are still told why they are refused; further ones are closed at once. */
const REFUSED_CONNECTIONS = 64;

/** Bodies of the largest size that may be in memory unread, all callers together. */
const FULL_BODIES = 64;

const OVERLOAD_RETRY_MS = 1_000;

/** Requests by socket that have been read completely and are not answered yet; pipelining allows several. */
const running = new WeakMap<Socket, Set<IncomingMessage>>();

/** Sockets whose caller was told that nothing was run; a request that is complete only now must not run. */
const rejected = new WeakSet<Socket>();

/** Bytes of bodies that are being read, by server. */
const reading = new WeakMap<Server, { bytes: number; limit: number; bodyLimit: number }>();

const servers = new WeakMap<Socket, Server>();

function answerHeaders({ status, body }: RefusalAnswer, length: number): Record<string, string | number> {
  const retry = body.error.retry_after_ms;
  return {
    'content-type': 'application/json',
    'content-length': length,
    ...(retry === undefined ? {} : { 'retry-after': Math.max(1, Math.ceil(retry / 1_000)) }),
    ...(status === 401 ? { 'www-authenticate': 'Bearer' } : {}),
  };
}

/** Sends a JSON body. */
export function sendJson(
  res: ServerResponse,
  status: number,
  body: unknown,
  headers: Readonly<Record<string, string>> = {},
): void {
  const text = JSON.stringify(body);
  res.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text), ...headers });
  res.end(text);
}

/** Sends a refusal with its status and, where known, `Retry-After` in seconds. */
export function sendRefusal(res: ServerResponse, answer: RefusalAnswer): void {
  const text = JSON.stringify(answer.body);
  res.writeHead(answer.status, answerHeaders(answer, Buffer.byteLength(text)));
  res.end(text);
}

function refusalOfClientError(err: NodeJS.ErrnoException): HttpRefusal {
  if (err.code === 'ERR_HTTP_REQUEST_TIMEOUT') return { code: 'request_timeout' };
  if (err.code === 'HPE_HEADER_OVERFLOW') return { code: 'headers_too_large' };
  return { code: 'malformed_request' };
}

function onClientError(err: NodeJS.ErrnoException, socket: Socket): void {
  // While a request runs on this connection, an answer that says `ran: no` would be read as the answer to that request.
  if (err.code === 'ECONNRESET' || !socket.writable || (running.get(socket)?.size ?? 0) > 0) {
    socket.destroy();
    return;
  }
  rejected.add(socket);
  const answer = httpRefusalAnswer(refusalOfClientError(err));
  const text = JSON.stringify(answer.body);
  const headers = Object.entries({ ...answerHeaders(answer, Buffer.byteLength(text)), connection: 'close' })
    .map(([name, value]) => `${name}: ${value}\r\n`).join('');
  socket.end(`HTTP/1.1 ${answer.status} ${STATUS_CODES[answer.status] ?? ''}\r\n${headers}\r\n${text}`, () => {
    socket.destroy();
  });
}

/** Reads a body of at most the listener's limit. */
export function readBytes(req: IncomingMessage): Promise<Result<Buffer, Exclude<BodyError, { code: 'not_utf8' }>>> {
  const { socket } = req;
  const server = servers.get(socket);
  const budget = server === undefined ? undefined : reading.get(server);
  if (budget === undefined) return Promise.resolve(fail({ code: 'aborted' }));
  const tooLarge: HttpRefusal = { code: 'body_too_large', limitBytes: budget.bodyLimit };
  if (Number(req.headers['content-length'] ?? 0) > budget.bodyLimit) return Promise.resolve(fail(tooLarge));
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const finish = (result: Result<Buffer, Exclude<BodyError, { code: 'not_utf8' }>>): void => {
      budget.bytes -= size;
      req.removeAllListeners('data').removeAllListeners('end').removeAllListeners('close');
      // The rest of a refused body is read and dropped, because closing now could discard the answer on its way.
      if (!result.success) req.resume();
      resolve(result);
    };
    req.on('data', (chunk: Buffer) => {
      size += chunk.length;
      budget.bytes += chunk.length;
      if (size > budget.bodyLimit) finish(fail(tooLarge));
      else if (budget.bytes > budget.limit) finish(fail({ code: 'overloaded', retryAfterMs: OVERLOAD_RETRY_MS }));
      else chunks.push(chunk);
    });
    req.on('end', () => {
      if (rejected.has(socket)) return finish(fail({ code: 'aborted' }));
      running.get(socket)?.add(req);
      return finish(ok(chunks.length === 1 && chunks[0] !== undefined ? chunks[0] : Buffer.concat(chunks)));
    });
    req.on('close', () => finish(fail({ code: 'aborted' })));
    req.on('error', () => {});
  });
}

/**
 * Settles after the sockets were read once more. A caller that left while its request waited unread has sent its close
 * right behind it, and the close is read one turn of the event loop later.
 */
export async function socketsRead(): Promise<void> {
  // The first one still runs in the turn in which the request was read.
  await nextTurn();
  await nextTurn();
}

/** Reads a body of at most the listener's limit as UTF-8 text. */
export async function readBody(req: IncomingMessage): Promise<Result<string, BodyError>> {
  const body = await readBytes(req);
  if (!body.success) return body;
  return isUtf8(body.data) ? ok(body.data.toString()) : fail({ code: 'not_utf8' });
}

/** Options of a listener. */
export interface HttpOptions {
  /** Unread answer bytes held for one connection. */
  readonly buffer?: number;
  /** Time in ms that an idle connection stays open. */
  readonly keepAlive?: number;
  /** Largest head of a request in bytes that is read at all. */
  readonly maxHead?: number;
  /** Bytes of bodies that may be in memory unread, all callers together. */
  readonly unreadBodies?: number;
}

/** Opens a listener whose memory stays bounded whatever its callers send. */
export async function listenHttp(
  address: string,
  handle: HttpHandler,
  limits: HttpLimits,
  opts: HttpOptions = {},
): Promise<Result<HttpListener, ListenError>> {
  const refused = new WeakSet<Socket>();
  const server: Server = createServer({
    headersTimeout: limits.headerTimeout,
    requestTimeout: Math.max(REQUEST_TIMEOUT_MS, limits.headerTimeout),
    connectionsCheckingInterval: Math.min(1_000, limits.headerTimeout / 4),
    keepAliveTimeout: opts.keepAlive ?? KEEP_ALIVE_MS,
    noDelay: true,
    ...(opts.buffer === undefined ? {} : { highWaterMark: opts.buffer }),
    ...(opts.maxHead === undefined ? {} : { maxHeaderSize: opts.maxHead }),
  });
  let open = 0;
  let closing = false;
  const budget = { bytes: 0, limit: opts.unreadBodies ?? limits.body * FULL_BODIES, bodyLimit: limits.body };
  reading.set(server, budget);
  server.maxConnections = limits.connections + REFUSED_CONNECTIONS;
  server.on('connection', (socket: Socket) => {
    open += 1;
    servers.set(socket, server);
    running.set(socket, new Set());
    if (open > limits.connections) refused.add(socket);
    socket.on('close', () => {
      open -= 1;
    });
  });
  server.on('clientError', onClientError);
  server.on('request', (req, res) => {
    const { socket } = req;
    res.on('error', () => {});
    if (refused.has(socket)) {
      res.setHeader('connection', 'close');
      sendRefusal(res, httpRefusalAnswer({ code: 'overloaded', retryAfterMs: OVERLOAD_RETRY_MS }));
      return;
    }
    if (closing) res.setHeader('connection', 'close');
    res.on('close', () => {
      running.get(socket)?.delete(req);
      // An answer that began before the close has told its caller that the connection stays open.
      if (closing) setImmediate(() => server.closeIdleConnections());
    });
    void handle(req, res);
  });
  const [host, port] = address.split(':');
  const failure = await new Promise<Error | null>((resolve) => {
    server.once('error', resolve);
    server.listen(Number(port), host, 4_096, () => resolve(null));
  });
  if (failure !== null) return fail({ code: 'listen_failed', message: `cannot listen on ${address}: ${failure.message}` });
  const bound = server.address() as AddressInfo;
  return ok({
    address: `${bound.address}:${bound.port}`,
    close: () => new Promise((resolve) => {
      closing = true;
      server.close(() => resolve());
    }),
    destroy: () => {
      NetServer.prototype.close.call(server);
      server.closeAllConnections();
    },
    adjust: (changed, keepAlive) => {
      server.headersTimeout = changed.headerTimeout;
      server.keepAliveTimeout = keepAlive;
      budget.bodyLimit = changed.body;
      if (opts.unreadBodies === undefined) budget.limit = changed.body * FULL_BODIES;
    },
  });
}
