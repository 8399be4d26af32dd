import type { Socket } from 'node:net';
import { Client } from 'undici';
import type { Dispatcher } from 'undici';
import { openSocket } from '../adapters/sockets.js';
import type { SocketCallback } from '../adapters/sockets.js';
import type { Disposable } from '../core/edges/index.js';

/** Time in ms to open a connection inside the deployment, where a round trip takes a few ms. */
const CONNECT_TIMEOUT_MS = 700;

/** Time in ms that an idle connection is kept where the server names none. */
const IDLE_MS = 900;

/** Longest time in ms that an idle connection is kept. */
const MAX_IDLE_MS = 30_000;

/** Time in ms before the server's own idle timeout at which a connection is no longer used. */
const IDLE_MARGIN_MS = 300;

/** Bytes that a server may send before the head of its answer is complete. */
const MAX_HEAD_BYTES = 65_536;

/** One request to a backend server. */
export interface Outgoing {
  readonly method: string;
  readonly path: string;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer | null;
}

/** Receives the answer to one request. */
export interface AnswerSink {
  /** The request is being written; from here on it may have an effect. */
  sent(): void;
  head(status: number, headers: Readonly<Record<string, string | string[] | undefined>>): void;
  data(chunk: Buffer): void;
  /** The whole answer has arrived. */
  end(): void;
  failed(message: string): void;
}

/** A request on its way. */
export interface Transfer {
  pause(): void;
  resume(): void;
  /** Gives the request up and closes its connection, at which the server stops work. */
  abort(): void;
}

class Connection {
  /** Set once the connection was reset, which ends an answer without length before its time. */
  public wasReset = false;

  /** Set once the server has closed its side, which ends a chunked answer before its time. */
  public wasClosed = false;

  public readonly client: Client;

  private socket: Socket | null = null;

  public constructor(address: string, private readonly closed: (connection: Connection) => void) {
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      keepAliveTimeout: IDLE_MS,
      keepAliveMaxTimeout: MAX_IDLE_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: (opts, callback) => this.open(opts.hostname, Number(opts.port), callback),
    });
    this.client.on('disconnect', () => this.closed(this));
  }

  /** Bytes that have arrived so far. */
  public get bytesRead(): number {
    return this.socket?.bytesRead ?? 0;
  }

  /** Resets the connection; after a plain close, bytes that a cut link held up would still reach the server. */
  public reset(reason: Error): void {
    this.wasReset = true;
    const { socket } = this;
    if (socket === null || socket.connecting || socket.destroyed) return;
    const destroy = socket.destroy.bind(socket);
    // A reset takes no error, by which the client library tells an abort from the end of an answer.
    socket.destroy = () => destroy(reason);
    socket.resetAndDestroy();
  }

  private open(host: string, port: number, callback: SocketCallback): void {
    const socket = openSocket(host, port, CONNECT_TIMEOUT_MS, callback);
    this.socket = socket;
    // These listeners come before those of the client library, which then finds the facts noted.
    socket.once('end', () => {
      this.wasClosed = true;
    });
    socket.on('error', () => {
      this.wasReset = true;
    });
  }
}

class Exchange implements Transfer, Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | null = null;

  private ended = false;

  private aborted = false;

  private chunked = false;

  private headArrived = false;

  /** Bytes of the connection that came before the answer to this request. */
  private readonly bytesBefore: number;

  public constructor(
    private readonly connection: Connection,
    private readonly sink: AnswerSink,
    private readonly release: () => void,
  ) {
    this.bytesBefore = connection.bytesRead;
  }

  /** Whether more has arrived than the head of an answer can have. */
  public get hasEndlessHead(): boolean {
    return !this.headArrived && this.connection.bytesRead - this.bytesBefore > MAX_HEAD_BYTES;
  }

  public pause(): void {
    this.controller?.pause();
  }

  public resume(): void {
    this.controller?.resume();
  }

  public abort(message = 'given up'): void {
    if (this.ended || this.aborted) return;
    this.aborted = true;
    const reason = new Error(message);
    this.connection.reset(reason);
    if (this.controller === null) void this.connection.client.destroy();
    else this.controller.abort(reason);
  }

  public onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.aborted) controller.abort(new Error('given up'));
    else this.sink.sent();
  }

  public onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    if (status < 200 || this.aborted) return;
    this.headArrived = true;
    this.chunked = headers['transfer-encoding'] !== undefined;
    this.sink.head(status, headers);
  }

  public onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (!this.aborted) this.sink.data(chunk);
  }

  public onResponseEnd(): void {
    if (this.ended) return;
    this.ended = true;
    this.release();
    // Where the answer says that the connection will close, the client library takes a reset for the end of an answer
    // without length, and a close for the end of a chunked one.
    if (this.connection.wasReset) this.sink.failed('connection reset');
    else if (this.chunked && this.connection.wasClosed) this.sink.failed('connection closed before the last chunk');
    else this.sink.end();
  }

  public onResponseError(_controller: Dispatcher.DispatchController, err: Error): void {
    if (this.ended) return;
    this.ended = true;
    this.connection.wasReset = true;
    this.release();
    this.sink.failed(err.message);
  }
}

/** Connections to one address of a backend server, one request at a time on each. */
export class ConnectionPool implements Disposable {
  private readonly idle: Connection[] = [];

  private readonly all = new Set<Connection>();

  private readonly running = new Set<Exchange>();

  /** Set once the server is gone or has started anew. */
  public disposed = false;

  public constructor(private readonly address: string) {}

  /** Connections that are open or being opened. */
  public get size(): number {
    return this.all.size;
  }

  /** Sends one request on the connection that was used last, or on a new one. */
  public send(outgoing: Outgoing, sink: AnswerSink): Transfer {
    const connection = this.idle.pop() ?? this.create();
    const exchange: Exchange = new Exchange(connection, sink, () => {
      this.running.delete(exchange);
      this.release(connection);
    });
    this.running.add(exchange);
    connection.client.dispatch({
      method: outgoing.method,
      path: outgoing.path,
      headers: outgoing.headers as string[],
      body: outgoing.body,
    }, exchange);
    return exchange;
  }

  /** Gives up the requests that get bytes without end in place of the head of an answer. */
  public abortEndless(): void {
    for (const exchange of this.running) {
      if (exchange.hasEndlessHead) exchange.abort('the head of the answer has no end');
    }
  }

  /** Closes idle connections now and the others when their request has ended. */
  public dispose(): void {
    this.disposed = true;
    for (const connection of this.idle.splice(0)) this.discard(connection);
  }

  private create(): Connection {
    const connection = new Connection(this.address, (closed) => this.discard(closed));
    this.all.add(connection);
    return connection;
  }

  private release(connection: Connection): void {
    if (this.disposed || connection.wasReset || connection.wasClosed) this.discard(connection);
    else if (this.all.has(connection)) this.idle.push(connection);
  }

  private discard(connection: Connection): void {
    const index = this.idle.indexOf(connection);
    if (index >= 0) this.idle.splice(index, 1);
    if (!this.all.delete(connection)) return;
    void connection.client.destroy();
  }
}
