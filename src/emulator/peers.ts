import type {
  CallOptions, Clock, Disposable, PeerClient, PeerError, PeerHandler, PeerServer,
} from '../core/interfaces/index.js';
import { fail } from '../core/result.js';
import type { Result } from '../core/result.js';
import { sleep, withTimeout } from '../core/time.js';

/** Server at one address of the emulated network. */
export class EmulatedPeerServer implements PeerServer {
  private readonly handlers = new Map<string, PeerHandler>();

  public register(method: string, handler: PeerHandler): Disposable {
    this.handlers.set(method, handler);
    return { dispose: () => this.handlers.delete(method) };
  }

  public async handle(method: string, params: unknown): Promise<Result<unknown, PeerError>> {
    const handler = this.handlers.get(method);
    if (handler === undefined) return fail({ code: 'rejected', message: `unknown method ${method}` });
    return handler(params);
  }
}

/** In-process network between entries. Messages can be dropped per direction or held back per receiver. */
export class EmulatedNetwork {
  private readonly servers = new Map<string, EmulatedPeerServer>();

  private readonly cuts = new Set<string>();

  private readonly pausedCalls = new Map<string, (() => void)[]>();

  public latencyMs = 1;

  /** Bytes of JSON that each address has sent. */
  public readonly bytesSent = new Map<string, number>();

  public constructor(public readonly clock: Clock) {}

  /** Opens a listening address. */
  public listen(address: string): EmulatedPeerServer {
    const server = new EmulatedPeerServer();
    this.servers.set(address, server);
    return server;
  }

  /** Closes a listening address, as when its process dies; later calls to it are refused. */
  public close(address: string): void {
    this.servers.delete(address);
    this.pausedCalls.delete(address);
  }

  /** Client that sends from an address. */
  public client(from: string): PeerClient {
    return {
      call: (address, method, params, opts) => this.callWithTimeout(from, address, method, params, opts),
    };
  }

  /** Drops or again delivers messages from one address to another; dropped calls end in a timeout. */
  public setCut(from: string, to: string, cut: boolean): void {
    if (cut) this.cuts.add(`${from}>${to}`);
    else this.cuts.delete(`${from}>${to}`);
  }

  /** Holds back every message to an address until {@link unpause}. */
  public pause(address: string): void {
    this.pausedCalls.set(address, []);
  }

  /** Delivers the messages that were held back. */
  public unpause(address: string): void {
    const resumeCalls = this.pausedCalls.get(address) ?? [];
    this.pausedCalls.delete(address);
    for (const wake of resumeCalls) wake();
  }

  private async callWithTimeout(
    from: string,
    to: string,
    method: string,
    params: unknown,
    opts: CallOptions,
  ): Promise<Result<unknown, PeerError>> {
    const exchange = this.sendAndReceive(from, to, method, params);
    const result = await withTimeout(this.clock, opts.timeoutMs, exchange);
    return result ?? fail({ code: 'timeout', message: `no answer from ${to}` });
  }

  private async sendAndReceive(
    from: string,
    to: string,
    method: string,
    params: unknown,
  ): Promise<Result<unknown, PeerError>> {
    this.countBytes(from, params);
    if (this.cuts.has(`${from}>${to}`)) return new Promise(() => {});
    await sleep(this.clock, this.latencyMs);
    const server = this.servers.get(to);
    if (server === undefined) return fail({ code: 'unreachable', message: `connection refused by ${to}` });
    const queue = this.pausedCalls.get(to);
    if (queue !== undefined) {
      await new Promise<void>((resolve) => {
        queue.push(resolve);
      });
    }
    const result = await server.handle(method, params === undefined ? undefined : JSON.parse(JSON.stringify(params)));
    this.countBytes(to, result);
    if (this.cuts.has(`${to}>${from}`)) return new Promise(() => {});
    await sleep(this.clock, this.latencyMs);
    return result;
  }

  private countBytes(address: string, message: unknown): void {
    const size = Buffer.byteLength(JSON.stringify(message) ?? '');
    this.bytesSent.set(address, (this.bytesSent.get(address) ?? 0) + size);
  }
}
