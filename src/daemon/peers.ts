import { createHash, timingSafeEqual } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  createJSONRPCErrorResponse, createJSONRPCRequest, isJSONRPCRequest, isJSONRPCResponse, JSONRPCErrorCode,
  JSONRPCErrorException, JSONRPCServer,
} from 'json-rpc-2.0';
import type { JSONRPCResponse } from 'json-rpc-2.0';
import { Agent } from 'undici';
import { rejectInvalidHeads } from '../adapters/answers.js';
import { openSocket } from '../adapters/sockets.js';
import { listenHttp, readBody, sendRefusal } from './http.js';
import type { HttpLimits, HttpListener, ListenError } from './http.js';
import { httpRefusalAnswer, refusalAnswer } from './refusals.js';
import type {
  CallOptions, Disposable, Log, Meter, PeerClient, PeerError, PeerHandler, PeerServer,
} from '../core/interfaces/index.js';
import { fail, ok } from '../core/result.js';
import type { Result } from '../core/result.js';
import type { Secret } from '../core/configuration/index.js';
import { reportUnexpected } from '../core/unexpected.js';

/** Large enough for a fleet file of maximum size with every character escaped in JSON. */
const MAX_MESSAGE_BYTES = 4_000_000;

const LIMITS: HttpLimits = { body: MAX_MESSAGE_BYTES, connections: 4_096, headerTimeout: 5_000 };

/** Longer than a probe schedule takes to reach each of 48 members, so that a probe rarely needs a new connection. */
const KEEP_ALIVE_MS = 60_000;

/**
 * Largest number of connections to one peer: two for calls that wait for changes of the configuration and of the
 * servers, and two for others, so that a probe never waits behind them and a relay is not suspected for it.
 */
const CONNECTIONS_PER_PEER = 4;

const CONNECT_TIMEOUT_MS = 2_000;

/** JSON-RPC error code for errors that a handler returned. */
const HANDLER_ERROR = -32_000;

/** Digest that is sent instead of the token: its fixed length hides the token's length and keeps the header small. */
function tokenDigest(token: Secret): string {
  return createHash('sha256').update(`peer:${token.reveal()}`).digest('base64url').slice(0, 22);
}

/** Options of {@link PeerListener} and {@link HttpPeerClient}; the token is the same at all peers. */
export interface PeerOptions {
  readonly token: Secret;
  readonly log: Log;
  readonly meter: Meter;
}

/** Bounds of a {@link PeerListener}, where they differ from its own. */
export interface PeerLimits {
  readonly connections?: number;
  /** Memory in bytes of the messages that are being received. */
  readonly memory?: number;
}

/** Serves JSON-RPC methods to peers over HTTP. */
export class PeerListener implements PeerServer {
  private readonly rpc: JSONRPCServer;

  private readonly expectedToken: Buffer;

  public constructor(private readonly opts: PeerOptions) {
    this.expectedToken = Buffer.from(tokenDigest(opts.token));
    this.rpc = new JSONRPCServer({
      errorListener: (_message, err) => {
        // The library turns every exception into an answer. Errors that a handler returned are meant to end that way.
        if (!(err instanceof JSONRPCErrorException)) reportUnexpected(opts, 'peer_handler', err);
      },
    });
  }

  public register(method: string, handler: PeerHandler): Disposable {
    this.rpc.addMethod(method, async (params: unknown) => {
      const result = await handler(params);
      if (result.success) return result.data ?? null;
      throw new JSONRPCErrorException(result.error.message, HANDLER_ERROR, { code: result.error.code });
    });
    return { dispose: () => this.rpc.removeMethod(method) };
  }

  /** Listens on an IP address and port; fails if they cannot be used. */
  public listen(address: string, limits: PeerLimits = {}): Promise<Result<HttpListener, ListenError>> {
    const { connections = LIMITS.connections, memory } = limits;
    return listenHttp(address, (req, res) => this.handle(req, res), { ...LIMITS, connections }, {
      keepAliveMs: KEEP_ALIVE_MS,
      ...(memory === undefined ? {} : { maxBodyMemory: (largest) => Math.max(memory, 3 * largest) }),
      onUnexpected: (err) => reportUnexpected(this.opts, 'peer', err),
    });
  }

  private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const receivedToken = Buffer.from(req.headers.authorization ?? '');
    if (receivedToken.length !== this.expectedToken.length || !timingSafeEqual(receivedToken, this.expectedToken)) {
      this.opts.log.warn('peer_unauthorized', { remote: req.socket.remoteAddress });
      sendRefusal(res, httpRefusalAnswer({ code: 'unauthorized' }));
      return;
    }
    const body = await readBody(req);
    if (!body.success) {
      if (body.error.code === 'not_utf8') {
        sendRefusal(res, refusalAnswer({ code: 'invalid_request', path: 'body', expected: 'UTF-8 text' }));
      } else if (body.error.code !== 'aborted') sendRefusal(res, httpRefusalAnswer(body.error));
      return;
    }
    const text = JSON.stringify(await this.receive(body.data));
    const length = Buffer.byteLength(text);
    // Every entry sends a probe every second, so headers that are not needed are left out to save traffic.
    res.sendDate = false;
    res.removeHeader('connection');
    res.writeHead(200, { 'content-length': length });
    res.end(text);
  }

  /** Handles one message. Batches are rejected, because one message could then start any number of calls. */
  private async receive(text: string): Promise<JSONRPCResponse> {
    let message: unknown;
    try {
      message = JSON.parse(text);
    } catch {
      return createJSONRPCErrorResponse(null, JSONRPCErrorCode.ParseError, 'malformed JSON');
    }
    if (typeof message !== 'object' || message === null || !isJSONRPCRequest(message) || message.id === undefined) {
      return createJSONRPCErrorResponse(null, JSONRPCErrorCode.InvalidRequest, 'one JSON-RPC request with an id is expected');
    }
    return await this.rpc.receive(message)
      ?? createJSONRPCErrorResponse(message.id, JSONRPCErrorCode.InternalError, 'no answer');
  }
}

/** Result or error of a JSON-RPC response; malformed responses count as `rejected`. */
function readResponse(text: string, id: number): Result<unknown, PeerError> {
  const rejection = (message: string): Result<unknown, PeerError> => fail({ code: 'rejected', message });
  let message: unknown;
  try {
    message = JSON.parse(text);
  } catch {
    return rejection('the answer is not JSON');
  }
  if (typeof message !== 'object' || message === null || !isJSONRPCResponse(message)) {
    return rejection('the answer is not a JSON-RPC response');
  }
  if (message.error !== undefined) return rejection(String(message.error.message));
  if (message.id !== id) return rejection('the answer belongs to another request');
  return ok(message.result as unknown);
}

/** Calls JSON-RPC methods of peers over persistent connections. */
export class HttpPeerClient implements PeerClient {
  private readonly agent = new Agent({
    connections: CONNECTIONS_PER_PEER,
    pipelining: 1,
    keepAliveTimeout: KEEP_ALIVE_MS - 5_000,
    connect: (opts, callback) => {
      openSocket(opts.hostname, Number(opts.port), CONNECT_TIMEOUT_MS, callback);
    },
    maxResponseSize: MAX_MESSAGE_BYTES,
  });

  private readonly dispatcher = this.agent.compose(rejectInvalidHeads);

  private readonly token: string;

  private nextId = 1;

  public constructor(private readonly opts: PeerOptions) {
    this.token = tokenDigest(opts.token);
  }

  public async call(
    address: string,
    method: string,
    params: unknown,
    opts: CallOptions,
  ): Promise<Result<unknown, PeerError>> {
    const cancel = new AbortController();
    const abort = (): void => cancel.abort();
    let timedOut = false;
    const timer = setTimeout(() => {
      timedOut = true;
      abort();
    }, opts.timeoutMs);
    opts.signal?.addEventListener('abort', abort, { once: true });
    if (opts.signal?.aborted === true) abort();
    const id = this.nextId;
    this.nextId += 1;
    const body = JSON.stringify(createJSONRPCRequest(id, method, params));
    this.opts.meter.count('peer_calls', 1, { method });
    this.opts.meter.count('peer_sent_bytes', Buffer.byteLength(body), { method });
    try {
      const answer = await this.dispatcher.request({
        origin: `http://${address}`,
        path: '/',
        method: 'POST',
        headers: { authorization: this.token },
        body,
        signal: cancel.signal,
      });
      const text = await answer.body.text();
      if (answer.statusCode !== 200) return fail({ code: 'rejected', message: `HTTP status ${answer.statusCode}` });
      return readResponse(text, id);
    } catch (err) {
      const message = err instanceof Error ? err.message : String(err);
      return fail({ code: timedOut ? 'timeout' : 'unreachable', message: `${method} at ${address}: ${message}` });
    } finally {
      clearTimeout(timer);
      opts.signal?.removeEventListener('abort', abort);
    }
  }

  /** Closes all connections. */
  public async close(): Promise<void> {
    await this.agent.destroy();
  }
}
