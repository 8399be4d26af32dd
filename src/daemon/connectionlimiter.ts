import type { Socket } from 'node:net';
import type { Clock } from '../core/interfaces/index.js';

/** Unanswered requests on one connection; one with more is closed. */
const MAX_PIPELINED_REQUESTS = 16;

/** Time in ms for which a connection on which requests were served must have been idle before it may be replaced. */
const MIN_IDLE_MS = 1_000;

interface ConnectionState {
  /** Requests whose head has arrived and whose answer has not ended. */
  open: number;
  /** Those of them whose body has arrived too. */
  running: number;
  readonly refused: boolean;
}

/**
 * Bounds the connections of one listener. A new one over the limit replaces a connection on which no complete request
 * runs, so that idle connections and requests that never end do not keep out callers.
 */
export class ConnectionLimiter {
  private readonly states = new Map<Socket, ConnectionState>();

  /** Connections without a complete request so far, the oldest first. */
  private readonly unused = new Set<Socket>();

  /** Connections on which requests were served and none runs, with the monotonic time in ms of the last one's end. */
  private readonly idle = new Map<Socket, number>();

  public constructor(private readonly limit: number, private readonly clock: Clock) {}

  /** Adds a new connection until it closes. */
  public add(socket: Socket): void {
    const refused = this.states.size >= this.limit && !this.replaceOne();
    this.states.set(socket, { open: 0, running: 0, refused });
    this.unused.add(socket);
    socket.on('close', () => this.forget(socket));
  }

  /** Whether the requests of a connection have to be refused, because all connections within the limit are in use. */
  public isRefused(socket: Socket): boolean {
    return this.states.get(socket)?.refused ?? true;
  }

  /** Whether a connection has so many unanswered requests that it may send no more. */
  public isFull(socket: Socket): boolean {
    return (this.states.get(socket)?.open ?? MAX_PIPELINED_REQUESTS) >= MAX_PIPELINED_REQUESTS;
  }

  /** Counts a request whose head has arrived. */
  public begin(socket: Socket): void {
    const state = this.states.get(socket);
    if (state !== undefined) state.open += 1;
  }

  /** Counts a request whose body has arrived. */
  public run(socket: Socket): void {
    const state = this.states.get(socket);
    if (state === undefined) return;
    state.running += 1;
    this.unused.delete(socket);
    this.idle.delete(socket);
  }

  /** Counts a request whose answer has ended; `wasComplete` says whether its body had arrived. */
  public end(socket: Socket, wasComplete: boolean): void {
    const state = this.states.get(socket);
    if (state === undefined) return;
    state.open -= 1;
    state.running = Math.min(state.running, state.open);
    if (state.running > 0 || (!wasComplete && this.unused.has(socket))) return;
    this.unused.delete(socket);
    this.idle.delete(socket);
    this.idle.set(socket, this.clock.monotonic());
  }

  private replaceOne(): boolean {
    const [longestIdle] = this.idle;
    const isIdle = longestIdle !== undefined && this.clock.monotonic() - longestIdle[1] >= MIN_IDLE_MS;
    const [oldestUnused] = this.unused;
    const replaced = isIdle ? longestIdle[0] : oldestUnused;
    if (replaced === undefined) return false;
    this.forget(replaced);
    replaced.destroy();
    return true;
  }

  private forget(socket: Socket): void {
    this.states.delete(socket);
    this.unused.delete(socket);
    this.idle.delete(socket);
  }
}
