import { createHash, timingSafeEqual } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  createJSONRPCErrorResponse, createJSONRPCRequest, isJSONRPCRequest, isJSONRPCResponse, JSONRPCErrorCode,
  JSONRPCErrorException, JSONRPCServer,
} from 'json-rpc-2.0';
import type { JSONRPCResponse } from 'json-rpc-2.0';
import { Agent } from 'undici';
import { listenHttp, readBody, sendRefusal } from './http.js';
import type { HttpLimits, HttpListener, ListenError } from './http.js';
import { httpRefusalAnswer, refusalAnswer } from './refusals.js';
import type {
  CallOptions, Disposable, Log, Meter, PeerClient, PeerError, PeerHandler, PeerServer,
} from '../core/interfaces/index.js';
import { fail, ok } from '../core/result.js';
import type { Result } from '../core/result.js';
import type { Secret } from '../core/configuration/index.js';

/** Room for a whole fleet file whose every character is escaped. */
const MAX_MESSAGE_BYTES = 4_000_000;

const LIMITS: HttpLimits = { body: MAX_MESSAGE_BYTES, connections: 4_096, headerTimeout: 5_000 };

/** Longer than a round of probes among 48 members, so that a probe rarely needs a new connection. */
const KEEP_ALIVE_MS = 60_000;

/** JSON-RPC code of an error that a handler returned. */
const HANDLER_ERROR = -32_000;

/** The token travels as a digest of fixed length, so that its length does not show and headers stay small. */
function tokenDigest(token: Secret): string {
  return createHash('sha256').update(`peer:${token.reveal()}`).digest('base64url').slice(0, 22);
}

/** What both directions between entries need. */
export interface PeerOptions {
  readonly token: Secret;
  readonly log: Log;
  readonly meter: Meter;
}

/** Serves JSON-RPC methods to other entries. */
export class PeerListener implements PeerServer {
  private readonly rpc: JSONRPCServer;

  private readonly expected: Buffer;

  public constructor(private readonly opts: PeerOptions) {
    this.expected = Buffer.from(tokenDigest(opts.token));
    this.rpc = new JSONRPCServer({
      errorListener: (_message, err) => {
        // The library turns every exception into an answer; only a handler's own error may end there.
        if (err instanceof JSONRPCErrorException) return;
        queueMicrotask(() => {
          throw err;
        });
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

  /** Opens the listener on an IP address and port. */
  public listen(address: string): Promise<Result<HttpListener, ListenError>> {
    return listenHttp(address, (req, res) => this.handle(req, res), LIMITS, { keepAlive: KEEP_ALIVE_MS });
  }

  private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const given = Buffer.from(req.headers.authorization ?? '');
    if (given.length !== this.expected.length || !timingSafeEqual(given, this.expected)) {
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
    // A probe is sent every second by every entry, so headers that carry nothing are left out.
    res.sendDate = false;
    res.removeHeader('connection');
    res.writeHead(200, { 'content-length': length });
    res.end(text);
  }

  /** Answers one message. Batches are not accepted, because they would let one message start unbounded work. */
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

/** Result or error of one response; anything else counts as a rejection. */
function readResponse(text: string, id: number): Result<unknown, PeerError> {
  const rejected = (message: string): Result<unknown, PeerError> => fail({ code: 'rejected', message });
  let message: unknown;
  try {
    message = JSON.parse(text);
  } catch {
    return rejected('the answer is not JSON');
  }
  if (typeof message !== 'object' || message === null || !isJSONRPCResponse(message)) {
    return rejected('the answer is not a JSON-RPC response');
  }
  if (message.error !== undefined) return rejected(String(message.error.message));
  if (message.id !== id) return rejected('the answer belongs to another request');
  return ok(message.result as unknown);
}

/** Calls JSON-RPC methods of other entries over kept connections. */
export class PeerCaller implements PeerClient {
  private readonly agent = new Agent({
    connections: 2,
    pipelining: 1,
    keepAliveTimeout: KEEP_ALIVE_MS - 5_000,
    connect: { timeout: 2_000 },
    maxResponseSize: MAX_MESSAGE_BYTES,
  });

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
    const stop = (): void => cancel.abort();
    let late = false;
    const timer = setTimeout(() => {
      late = true;
      stop();
    }, opts.timeoutMs);
    opts.signal?.addEventListener('abort', stop, { once: true });
    if (opts.signal?.aborted === true) stop();
    const id = this.nextId;
    this.nextId += 1;
    const body = JSON.stringify(createJSONRPCRequest(id, method, params));
    this.opts.meter.count('peer_calls', 1, { method });
    this.opts.meter.count('peer_sent_bytes', Buffer.byteLength(body), { method });
    try {
      const answer = await this.agent.request({
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
      return fail({ code: late ? 'timeout' : 'unreachable', message: `${method} at ${address}: ${message}` });
    } finally {
      clearTimeout(timer);
      opts.signal?.removeEventListener('abort', stop);
    }
  }

  /** Closes all connections. */
  public async close(): Promise<void> {
    await this.agent.destroy();
  }
}
