import { Client, DecoratorHandler, Pool } from 'undici';
import type { Dispatcher } from 'undici';
import { fail, ok } from '../core/result.js';
import { rejectInvalidHeads } from './answers.js';
import { openSocket, wasResetAtEnd } from './sockets.js';
import type { Result } from '../core/result.js';

/** Failure of an HTTP call; `sent` is false only if no byte of the request was written. */
export interface HttpFailure {
  readonly sent: boolean;
  readonly message: string;
}

/** Status, headers and body stream of an HTTP response. */
export type HttpResponse = Dispatcher.ResponseData;

/** Status, headers and JSON body of an HTTP response. */
export interface JsonResponse {
  readonly status: number;
  readonly headers: HttpResponse['headers'];
  readonly body: unknown;
}

/** Options of {@link HttpConnection.send}. */
export interface SendOptions {
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly body?: unknown;
  readonly headers?: Record<string, string>;
  readonly timeoutMs: number;
  readonly signal?: AbortSignal;
  /** Called in the same synchronous turn as the socket write; if it returns false, the request is not sent. */
  readonly mayStillSend?: () => boolean;
  /** True if the timeout covers only the head of the response, so that its body may take longer. */
  readonly streaming?: boolean;
}

interface SendState {
  sent: boolean;
}

type Trailers = Record<string, string | string[] | undefined>;

interface EventHandler {
  onRequestStart(controller: Dispatcher.DispatchController, context: unknown): void;
  onResponseEnd(controller: Dispatcher.DispatchController, trailers: Trailers): void;
  onResponseError(controller: Dispatcher.DispatchController, err: Error): void;
}

type ForwardingHandler = new (handler: Dispatcher.DispatchHandler) => EventHandler;

// undici's type declarations omit the methods that its DecoratorHandler forwards.
const ForwardingDecorator = DecoratorHandler as unknown as ForwardingHandler;

/** Records that the request is about to be written, or aborts it if the sender may no longer send. */
class SendGuard extends ForwardingDecorator {
  public constructor(
    handler: Dispatcher.DispatchHandler,
    private readonly state: SendState,
    private readonly mayStillSend: () => boolean,
  ) {
    super(handler);
  }

  public override onRequestStart(controller: Dispatcher.DispatchController, context: unknown): void {
    if (!this.mayStillSend()) {
      controller.abort(new Error('the sender may no longer send'));
      return;
    }
    this.state.sent = true;
    super.onRequestStart(controller, context);
  }
}

/** Fails an answer that ends with a reset of its connection; the client library would end it as complete. */
class ResetGuard extends ForwardingDecorator {
  public constructor(handler: Dispatcher.DispatchHandler, private readonly wasReset: () => boolean) {
    super(handler);
  }

  public override onResponseEnd(controller: Dispatcher.DispatchController, trailers: Trailers): void {
    if (this.wasReset()) super.onResponseError(controller, new Error('connection reset'));
    else super.onResponseEnd(controller, trailers);
  }
}

/** Client of one connection whose answers without length fail where the connection was reset. */
class ResetAwareClient extends Client {
  private wasReset = false;

  public constructor(origin: string | URL, connectTimeoutMs: number, opts: Client.Options) {
    super(origin, {
      ...opts,
      connect: ({ hostname, port }, callback) => {
        this.wasReset = false;
        const socket = openSocket(hostname, Number(port), connectTimeoutMs, callback);
        // These listeners run before those of the client library, which end the answer.
        socket.once('end', () => {
          if (wasResetAtEnd(socket)) this.wasReset = true;
        });
        socket.on('error', () => {
          this.wasReset = true;
        });
      },
    });
  }

  public override dispatch(opts: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
    return super.dispatch(opts, new ResetGuard(handler, () => this.wasReset));
  }
}

const KEEP_ALIVE_MS = 30_000;
const DEFAULT_CONNECT_TIMEOUT_MS = 2_000;

/** Options of {@link HttpConnection}. */
export interface HttpConnectionOptions {
  /** Maximum number of connections; unlimited by default. */
  readonly connections?: number | null;
  /** 2 s by default. */
  readonly connectTimeoutMs?: number;
}

/** Pool of HTTP connections to one address; a failed call tells whether its request was sent. */
export class HttpConnection {
  private readonly pool: Pool;

  public constructor(
    address: string,
    { connections = null, connectTimeoutMs = DEFAULT_CONNECT_TIMEOUT_MS }: HttpConnectionOptions = {},
  ) {
    this.pool = new Pool(`http://${address}`, {
      connections,
      keepAliveTimeout: KEEP_ALIVE_MS,
      factory: (origin, opts) => new ResetAwareClient(origin, connectTimeoutMs, opts),
      bodyTimeout: 0,
    });
  }

  /** Sends one request and waits for the head of the response. */
  public async send(opts: SendOptions): Promise<Result<HttpResponse, HttpFailure>> {
    const state: SendState = { sent: false };
    const guard = opts.mayStillSend ?? (() => true);
    const dispatcher = this.pool.compose(rejectInvalidHeads, (dispatch) => (options, handler) => (
      dispatch(options, new SendGuard(handler, state, guard))
    ));
    // Node.js timers need whole milliseconds, but remaining times are fractional.
    const timeoutMs = Math.max(1, Math.ceil(opts.timeoutMs));
    const timeout = AbortSignal.timeout(timeoutMs);
    const signals = [
      ...(opts.signal === undefined ? [] : [opts.signal]),
      ...(opts.streaming === true ? [] : [timeout]),
    ];
    try {
      const response = await dispatcher.request({
        method: opts.method,
        path: opts.path,
        headersTimeout: timeoutMs,
        ...(signals.length === 0 ? {} : { signal: AbortSignal.any(signals) }),
        ...(opts.body === undefined ? {} : { body: JSON.stringify(opts.body) }),
        headers: { ...(opts.body === undefined ? {} : { 'content-type': 'application/json' }), ...opts.headers },
      });
      return ok(response);
    } catch (err) {
      return fail({ sent: state.sent, message: err instanceof Error ? err.message : String(err) });
    }
  }

  /** Sends one request and parses the JSON body of the response, whatever its status; `undefined` for no body. */
  public async requestJson(opts: SendOptions): Promise<Result<JsonResponse, HttpFailure>> {
    const response = await this.send(opts);
    if (!response.success) return response;
    try {
      const text = await response.data.body.text();
      const { statusCode: status, headers } = response.data;
      return ok({ status, headers, body: text === '' ? undefined : JSON.parse(text) });
    } catch (err) {
      return fail({ sent: true, message: err instanceof Error ? err.message : String(err) });
    }
  }

  /** Closes all connections; pending calls fail. */
  public close(): Promise<void> {
    return this.pool.destroy();
  }
}

/** Streams the body of a response as text; handles characters that are split between chunks. */
export async function* readText(response: HttpResponse): AsyncIterable<string> {
  const decoder = new TextDecoder();
  for await (const chunk of response.body) yield decoder.decode(chunk as Buffer, { stream: true });
}
