import { isUtf8 } from 'node:buffer';
import { createServer, IncomingMessage, STATUS_CODES } from 'node:http';
import type { Server, ServerResponse } from 'node:http';
import { Server as NetServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { totalmem } from 'node:os';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { SystemClock } from '../adapters/system.js';
import type { Clock } from '../core/interfaces/index.js';
import { fail, ok } from '../core/result.js';
import type { Result } from '../core/result.js';
import { BodyReceiver } from './bodies.js';
import type { BodyFailure } from './bodies.js';
import { ConnectionLimiter } from './connectionlimiter.js';
import { httpRefusalAnswer } from './refusals.js';
import type { HttpRefusal, RefusalAnswer } from './refusals.js';

/** Limits of one listener; times in ms, sizes in bytes. */
export interface HttpLimits {
  readonly body: number;
  readonly connections: number;
  readonly headerTimeout: number;
}

/** Limits that a listener takes over while it runs; times in ms, sizes in bytes. */
export interface AdjustedLimits {
  readonly body: number;
  readonly headerTimeout: number;
  /** Largest head of a request; the initial one stays where this is absent. */
  readonly head?: number;
}

/** Listening socket. */
export interface HttpListener {
  /** IP address and port that are in use. */
  readonly address: string;
  /** Stops accepting connections, closes idle ones and resolves once the running answers have ended. */
  close(): Promise<void>;
  /** Closes the listener and all connections immediately. */
  destroy(): void;
  /** Memory in bytes that the bodies of running requests take. */
  bodyMemory(): number;
  /** Changes the limits; `keepAlive` is the time in ms for which an idle connection stays open. */
  adjust(limits: AdjustedLimits, keepAlive: number): void;
}

/** Failure to listen. */
export interface ListenError {
  readonly code: 'listen_failed';
  readonly message: string;
}

/** Reason why a body could not be read; `aborted` needs no answer, because the connection is closed. */
export type BodyError = BodyFailure | { readonly code: 'not_utf8' };

/** Answers one request. A rejection ends this request only and is reported to {@link HttpOptions.onUnexpected}. */
export type HttpHandler = (req: IncomingMessage, res: ServerResponse) => Promise<void>;

/** Timeout in ms for a whole request, body included. */
const REQUEST_TIMEOUT_MS = 30_000;

/** Shorter than the default of `address.keep`, so that idle connections close while a planned stop still serves. */
const KEEP_ALIVE_MS = 4_000;

/** Largest number of connections over the limit that still get a 503 answer; further ones are closed without one. */
const MAX_EXTRA_CONNECTIONS = 64;

/** Such connections as a share of the limit. */
const EXTRA_CONNECTIONS_SHARE = 1 / 8;

/** Bodies of the maximum size that may be in memory at the same time, for all callers together. */
const MAX_FULL_BODIES = 64;

/** Bodies of the maximum size that always have room, however small the machine is. */
const MIN_FULL_BODIES = 3;

/** Share of the machine's memory that bodies may take. */
const BODIES_MEMORY_SHARE = 1 / 8;

const OVERLOAD_RETRY_MS = 1_000;

/** Fully received requests of each socket that have no answer yet; with pipelining there can be several. */
const unansweredRequests = new WeakMap<Socket, Set<IncomingMessage>>();

/** Sockets on which `ran: no` was answered; a request whose body completes afterwards must not run. */
const rejectedSockets = new WeakSet<Socket>();

/** State of each listener. */
const listeners = new WeakMap<Server, { readonly bodies: BodyReceiver; readonly connections: ConnectionLimiter }>();

const serverOfSocket = new WeakMap<Socket, Server>();

function refusalHeaders({ status, body }: RefusalAnswer, length: number): Record<string, string | number> {
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
  res.writeHead(answer.status, refusalHeaders(answer, Buffer.byteLength(text)));
  res.end(text);
}

function clientErrorRefusal(err: NodeJS.ErrnoException): HttpRefusal {
  if (err.code === 'ERR_HTTP_REQUEST_TIMEOUT') return { code: 'request_timeout' };
  if (err.code === 'HPE_HEADER_OVERFLOW') return { code: 'headers_too_large' };
  return { code: 'malformed_request' };
}

function onClientError(err: NodeJS.ErrnoException, socket: Socket): void {
  // The caller would take `ran: no` for the answer to a request that is running on this connection.
  if (err.code === 'ECONNRESET' || !socket.writable || (unansweredRequests.get(socket)?.size ?? 0) > 0) {
    socket.destroy();
    return;
  }
  rejectedSockets.add(socket);
  const answer = httpRefusalAnswer(clientErrorRefusal(err));
  const text = JSON.stringify(answer.body);
  const headers = Object.entries({ ...refusalHeaders(answer, Buffer.byteLength(text)), connection: 'close' })
    .map(([name, value]) => `${name}: ${value}\r\n`).join('');
  socket.end(`HTTP/1.1 ${answer.status} ${STATUS_CODES[answer.status] ?? ''}\r\n${headers}\r\n${text}`, () => {
    socket.destroy();
  });
}

/** Reads a body up to the size limit of its listener; its memory counts until the answer has ended. */
export async function readBytes(req: IncomingMessage): Promise<Result<Buffer, BodyFailure>> {
  const { socket } = req;
  const server = serverOfSocket.get(socket);
  const listener = server === undefined ? undefined : listeners.get(server);
  if (listener === undefined) return fail({ code: 'aborted' });
  const body = await listener.bodies.receive(req);
  if (!body.success) return body;
  if (rejectedSockets.has(socket)) return fail({ code: 'aborted' });
  unansweredRequests.get(socket)?.add(req);
  listener.connections.run(socket);
  return body;
}

/**
 * Resolves after all sockets have been read once more. If a caller disconnected before its request was read, the close
 * of the connection is read one event loop turn after the request.
 */
export async function waitForSocketReads(): Promise<void> {
  // The first wait ends in the turn in which the request was read.
  await nextTurn();
  await nextTurn();
}

/** Reads a body as UTF-8 text, up to the size limit of its listener. */
export async function readBody(req: IncomingMessage): Promise<Result<string, BodyError>> {
  const body = await readBytes(req);
  if (!body.success) return body;
  return isUtf8(body.data) ? ok(body.data.toString()) : fail({ code: 'not_utf8' });
}

/** Options of a listener. */
export interface HttpOptions {
  /** Write buffer of one connection in bytes (`highWaterMark`). */
  readonly writeBufferBytes?: number;
  /** Time in ms for which an idle connection stays open. */
  readonly keepAliveMs?: number;
  /** Maximum size of a request's headers in bytes; larger ones are refused with 431. */
  readonly maxHeaderBytes?: number;
  /**
   * Memory in bytes of all bodies together, given the size of the largest one [an eighth of the machine's memory, at
   * most 64 full bodies].
   */
  readonly maxBodyMemory?: (largestBytes: number) => number;
  /** Time in ms without a byte after which an unfinished body is refused [that of the whole request]. */
  readonly bodyStallMs?: number;
  readonly clock?: Clock;
  /** Receives the exceptions of the handler. */
  readonly onUnexpected: (err: unknown) => void;
}

/** Ends a request whose handler has failed, without a promise on whether it was run. */
function endFailedRequest(res: ServerResponse): void {
  if (res.destroyed || res.writableEnded) return;
  // After an ordinary close, an answer without length would look complete.
  if (res.headersSent) res.socket?.resetAndDestroy();
  else sendJson(res, 500, { error: { code: 'internal', message: 'the request failed unexpectedly' } });
}

/** Collects short-lived objects where Node.js runs with `--expose-gc`, as gateways do. */
function collectChunks(): void {
  void globalThis.gc?.({ type: 'minor' });
}

function defaultBodyMemory(largestBytes: number): number {
  const share = Math.max(MIN_FULL_BODIES * largestBytes, totalmem() * BODIES_MEMORY_SHARE);
  return Math.min(largestBytes * MAX_FULL_BODIES, share);
}

/**
 * Returns a class of requests of which one on a full connection claims to change the protocol. The parser then creates
 * no objects for the rest of what was read, which may be hundreds of requests, and the connection is closed.
 */
function messageClass(connections: ConnectionLimiter): typeof IncomingMessage {
  return class extends IncomingMessage {
    public get upgrade(): boolean {
      return connections.isFull(this.socket);
    }

    public set upgrade(_value: boolean) {
      // No listener changes the protocol of a connection.
    }
  };
}

/** Opens an HTTP listener; its memory is bounded, whatever clients send. Fails if it cannot listen on `address`. */
export async function listenHttp(
  address: string,
  handle: HttpHandler,
  limits: HttpLimits,
  opts: HttpOptions,
): Promise<Result<HttpListener, ListenError>> {
  const clock = opts.clock ?? new SystemClock();
  const connections = new ConnectionLimiter(limits.connections, clock);
  const server: Server = createServer({
    IncomingMessage: messageClass(connections),
    headersTimeout: limits.headerTimeout,
    requestTimeout: Math.max(REQUEST_TIMEOUT_MS, limits.headerTimeout),
    connectionsCheckingInterval: Math.min(1_000, limits.headerTimeout / 4),
    keepAliveTimeout: opts.keepAliveMs ?? KEEP_ALIVE_MS,
    noDelay: true,
    ...(opts.writeBufferBytes === undefined ? {} : { highWaterMark: opts.writeBufferBytes }),
    ...(opts.maxHeaderBytes === undefined ? {} : { maxHeaderSize: opts.maxHeaderBytes }),
  });
  let closing = false;
  const bodyMemory = opts.maxBodyMemory ?? defaultBodyMemory;
  const bodies = new BodyReceiver({
    total: bodyMemory(limits.body), body: limits.body, stallMs: opts.bodyStallMs ?? REQUEST_TIMEOUT_MS,
  }, { clock, collectChunks });
  listeners.set(server, { bodies, connections });
  server.maxConnections = limits.connections
    + Math.min(MAX_EXTRA_CONNECTIONS, Math.ceil(limits.connections * EXTRA_CONNECTIONS_SHARE));
  server.on('connection', (socket: Socket) => {
    serverOfSocket.set(socket, server);
    unansweredRequests.set(socket, new Set());
    connections.add(socket);
  });
  server.on('clientError', onClientError);
  server.on('request', (req, res) => {
    const { socket } = req;
    res.on('error', () => {});
    connections.begin(socket);
    if (connections.isRefused(socket)) {
      res.setHeader('connection', 'close');
      sendRefusal(res, httpRefusalAnswer({ code: 'overloaded', retryAfterMs: OVERLOAD_RETRY_MS }));
      return;
    }
    if (closing) res.setHeader('connection', 'close');
    res.on('finish', () => bodies.discardRest(req));
    res.on('close', () => {
      unansweredRequests.get(socket)?.delete(req);
      connections.end(socket, req.complete);
      bodies.release(req);
      // The headers of an answer that began before `close` allow keep-alive, so its idle connection is closed here.
      if (closing) setImmediate(() => server.closeIdleConnections());
    });
    handle(req, res).catch((err: unknown) => {
      opts.onUnexpected(err);
      endFailedRequest(res);
    });
  });
  const [host, port] = address.split(':');
  const listenError = await new Promise<Error | null>((resolve) => {
    server.once('error', resolve);
    server.listen(Number(port), host, 4_096, () => resolve(null));
  });
  if (listenError !== null) return fail({ code: 'listen_failed', message: `cannot listen on ${address}: ${listenError.message}` });
  const boundAddress = server.address() as AddressInfo;
  return ok({
    address: `${boundAddress.address}:${boundAddress.port}`,
    close: () => new Promise((resolve) => {
      closing = true;
      server.close(() => resolve());
    }),
    destroy: () => {
      NetServer.prototype.close.call(server);
      server.closeAllConnections();
    },
    bodyMemory: () => bodies.used,
    adjust: (newLimits, keepAlive) => {
      server.headersTimeout = newLimits.headerTimeout;
      server.keepAliveTimeout = keepAlive;
      // Only connections that open later have the new limit on heads.
      if (newLimits.head !== undefined) Object.assign(server, { maxHeaderSize: newLimits.head });
      bodies.limits.body = newLimits.body;
      bodies.limits.total = bodyMemory(newLimits.body);
    },
  });
}
