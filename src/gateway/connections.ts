import type { Socket } from 'node:net';
import { Client } from 'undici';
import type { Dispatcher } from 'undici';
import { findHeadProblem } from '../adapters/answers.js';
import { openSocket, wasResetAtEnd } from '../adapters/sockets.js';
import type { SocketCallback } from '../adapters/sockets.js';
import type { Disposable } from '../core/interfaces/index.js';

/** Time in ms to open a connection inside the deployment, where a round trip takes a few ms. */
const CONNECT_TIMEOUT_MS = 700;

/** Time in ms for which an idle connection is kept where the server states no idle timeout. */
const DEFAULT_IDLE_MS = 900;

/** Longest time in ms for which an idle connection is kept. */
const MAX_IDLE_MS = 30_000;

/** Time in ms before the end of the server's own idle timeout from which a connection is no longer used. */
const IDLE_MARGIN_MS = 300;

/** Largest number of request ids that are remembered of one connection. */
const MAX_REMEMBERED_IDS = 64;

/** Largest number of bytes that a server may send before the head of its answer is complete. */
const MAX_HEAD_BYTES = 65_536;

/** One request to a backend server. */
export interface OutgoingRequest {
  readonly method: string;
  readonly path: string;
  /** Header names and values, alternating. */
  readonly headers: readonly string[];
  readonly body: Buffer | null;
  /** Request id, if the server repeats it in its answer. */
  readonly id: string | null;
}

/** State of the connection to a server at the end of an answer. */
export enum ConnectionState {
  Open = 'open',
  /** The server has closed its side. */
  Closed = 'closed',
  Reset = 'reset',
}

/** Receives the answer to one request. */
export interface AnswerSink {
  /** Whether the request may still be written; asked just before that. */
  mayBeSent(): boolean;
  /** The request is being written; from now on the server may execute it. */
  sent(): void;
  /** The head of the final answer has arrived; `isReused` tells whether the connection had an earlier request. */
  head(status: number, headers: Readonly<Record<string, string | string[] | undefined>>, isReused: boolean): void;
  data(chunk: Buffer): void;
  /** The whole answer has arrived. */
  end(connection: ConnectionState): void;
  /** The request could not be written, or its answer broke off. */
  failed(message: string, connection: ConnectionState): void;
}

/** Request whose answer has not ended yet. */
export interface OngoingRequest {
  pause(): void;
  resume(): void;
  /** Aborts the request and resets its connection, so that the server stops working on it. */
  abort(): void;
}

class Connection {
  /** Whether the connection was reset, which truncates an answer without length. */
  public wasReset = false;

  /** Whether the server has closed its side, which truncates a chunked answer. */
  public wasClosed = false;

  public readonly client: Client;

  /** Number of requests so far. */
  public requests = 0;

  /** Ids of the newest requests, the oldest first. */
  private readonly ids = new Set<string>();

  /** Whether the connection is established. */
  public isOpen = false;

  private socket: Socket | null = null;

  public constructor(
    address: string,
    /** Number of the connection among those of its pool. */
    public readonly number: number,
    private readonly onClosed: (connection: Connection) => void,
  ) {
    this.client = new Client(`http://${address}`, {
      pipelining: 1,
      keepAliveTimeout: DEFAULT_IDLE_MS,
      keepAliveMaxTimeout: MAX_IDLE_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: (opts, callback) => this.open(opts.hostname, Number(opts.port), callback),
    });
    this.client.on('disconnect', () => this.onClosed(this));
  }

  /** Records a request with an id. */
  public use(id: string | null): void {
    this.requests += 1;
    if (id !== null) this.ids.add(id);
    const [oldest] = this.ids;
    if (this.ids.size > MAX_REMEMBERED_IDS && oldest !== undefined) this.ids.delete(oldest);
  }

  /**
   * Whether a request may use the connection. A second copy of the answer to an earlier request with the same id could
   * not be told from its own answer.
   */
  public isUsableFor(id: string | null): boolean {
    return id === null || !this.ids.has(id);
  }

  public get state(): ConnectionState {
    if (this.wasReset) return ConnectionState.Reset;
    return this.wasClosed ? ConnectionState.Closed : ConnectionState.Open;
  }

  /** Whether bytes have arrived that nobody has read. */
  public get hasUnreadBytes(): boolean {
    return (this.socket?.readableLength ?? 0) > 0;
  }

  /** Number of bytes that were received on the connection. */
  public get bytesRead(): number {
    return this.socket?.bytesRead ?? 0;
  }

  /**
   * Resets the connection. After an ordinary close, bytes of the request that were held up by an interrupted link would
   * still be delivered to the server.
   */
  public reset(reason: Error): void {
    this.wasReset = true;
    const { socket } = this;
    if (socket === null || socket.connecting || socket.destroyed) return;
    const destroy = socket.destroy.bind(socket);
    // resetAndDestroy takes no error, and the client library needs one to tell an abort from the end of an answer.
    socket.destroy = () => destroy(reason);
    socket.resetAndDestroy();
  }

  private open(host: string, port: number, callback: SocketCallback): void {
    const socket = openSocket(host, port, CONNECT_TIMEOUT_MS, callback);
    this.socket = socket;
    socket.once('connect', () => {
      this.isOpen = true;
    });
    socket.once('close', () => {
      this.isOpen = false;
    });
    // These listeners run before those of the client library, so that both flags are set when it ends the answer.
    socket.once('end', () => {
      this.wasClosed = true;
      if (wasResetAtEnd(socket)) this.wasReset = true;
      this.isOpen = false;
    });
    socket.on('error', () => {
      this.wasReset = true;
    });
  }
}

class Exchange implements OngoingRequest, Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | null = null;

  private ended = false;

  private aborted = false;

  private chunked = false;

  private headArrived = false;

  /** Chunks of the body that arrived together and are passed on as one. */
  private readonly chunks: Buffer[] = [];

  /** State of the connection before this process gave the request up and reset it. */
  private stateAtAbort: ConnectionState | null = null;

  /** Bytes that were received on the connection before this request. */
  private readonly bytesBefore: number;

  public constructor(
    private readonly connection: Connection,
    private readonly sink: AnswerSink,
    private readonly onEnded: () => void,
  ) {
    this.bytesBefore = connection.bytesRead;
  }

  /** Whether more bytes were received than a head may have, and the head is still incomplete. */
  public get hasEndlessHead(): boolean {
    return !this.headArrived && this.connection.bytesRead - this.bytesBefore > MAX_HEAD_BYTES;
  }

  public pause(): void {
    if (!this.ended) this.controller?.pause();
  }

  public resume(): void {
    if (!this.ended) this.controller?.resume();
  }

  public abort(message = 'given up'): void {
    if (this.ended || this.aborted) return;
    this.aborted = true;
    this.stateAtAbort = this.connection.state;
    const reason = new Error(message);
    this.connection.reset(reason);
    if (this.controller === null) void this.connection.client.destroy();
    else this.controller.abort(reason);
  }

  public onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.aborted || !this.sink.mayBeSent()) controller.abort(new Error('given up'));
    else this.sink.sent();
  }

  public onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    if (this.aborted) return;
    const problem = findHeadProblem(status, headers);
    if (problem !== null) {
      this.abort(problem);
      return;
    }
    if (status < 200) return;
    this.headArrived = true;
    this.chunked = headers['transfer-encoding'] !== undefined;
    this.sink.head(status, headers, this.connection.requests > 1);
  }

  public onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    // Each write to a caller costs far more than the chunk itself, and a server may send thousands of bytes one by one.
    if (this.chunks.length === 0) process.nextTick(() => this.passChunksOn());
    this.chunks.push(chunk);
  }

  public onResponseEnd(): void {
    if (this.ended) return;
    this.passChunksOn();
    this.ended = true;
    this.onEnded();
    // If the head announces that the connection will close, the client library treats a reset as the end of an answer
    // without length, and a close as the end of a chunked one.
    const { state, wasClosed, wasReset } = this.connection;
    if (wasReset) this.sink.failed('connection reset', state);
    else if (this.chunked && wasClosed) this.sink.failed('connection closed before the last chunk', state);
    else this.sink.end(state);
  }

  public onResponseError(_controller: Dispatcher.DispatchController, err: Error): void {
    if (this.ended) return;
    this.passChunksOn();
    this.ended = true;
    const state = this.stateAtAbort ?? this.connection.state;
    this.connection.wasReset = true;
    this.onEnded();
    this.sink.failed(err.message, state);
  }

  private passChunksOn(): void {
    const chunks = this.chunks.splice(0);
    const [first] = chunks;
    if (first === undefined || this.aborted) return;
    this.sink.data(chunks.length === 1 ? first : Buffer.concat(chunks));
  }
}

/** Connections to the address of one backend server; each carries one request at a time. */
export class ConnectionPool implements Disposable {
  private readonly idle: Connection[] = [];

  private readonly all = new Set<Connection>();

  private readonly running = new Set<Exchange>();

  /** Whether the pool was disposed, because the server was removed or has restarted. */
  public isDisposed = false;

  /** Number of the newest connection; 0 before the first one. */
  public newestConnection = 0;

  public constructor(private readonly address: string) {}

  /** Number of connections that are open or being opened. */
  public get size(): number {
    return this.all.size;
  }

  /** Whether a connection is open that is not newer than the one with this number. */
  public hasOpenConnection(number: number): boolean {
    return [...this.all].some((connection) => connection.isOpen && connection.number <= number);
  }

  /** Sends one request on the most recently used idle connection, or on a new one. */
  public send(outgoing: OutgoingRequest, sink: AnswerSink): OngoingRequest {
    const connection = this.takeIdle(outgoing.id) ?? this.create();
    connection.use(outgoing.id);
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

  /** Aborts the requests whose answer has a head of more than {@link MAX_HEAD_BYTES}. */
  public abortEndlessHeads(): void {
    for (const exchange of this.running) {
      if (exchange.hasEndlessHead) exchange.abort('the head of the answer has no end');
    }
  }

  /** Closes idle connections now, and the others when their request has ended. */
  public dispose(): void {
    this.isDisposed = true;
    for (const connection of this.idle.splice(0)) this.discard(connection);
  }

  private takeIdle(id: string | null): Connection | undefined {
    const connection = [...this.idle].reverse().find((idle) => idle.isUsableFor(id));
    if (connection !== undefined) this.idle.splice(this.idle.indexOf(connection), 1);
    return connection;
  }

  private create(): Connection {
    this.newestConnection += 1;
    const connection = new Connection(this.address, this.newestConnection, (closed) => this.discard(closed));
    this.all.add(connection);
    return connection;
  }

  private release(connection: Connection): void {
    // Bytes behind a whole answer would be taken for the next one.
    const isOver = connection.wasReset || connection.wasClosed || connection.hasUnreadBytes;
    if (this.isDisposed || isOver) this.discard(connection);
    else if (this.all.has(connection)) this.idle.push(connection);
  }

  private discard(connection: Connection): void {
    const index = this.idle.indexOf(connection);
    if (index >= 0) this.idle.splice(index, 1);
    if (!this.all.delete(connection)) return;
    void connection.client.destroy();
  }
}
