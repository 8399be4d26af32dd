import { createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { registration } from './backend.js';
import { listenAnywhere } from './listening.js';

const CHUNK_BYTES = 16_384;

/** Options of {@link EndlessServer}. */
export interface EndlessOptions {
  /** Text that the response body repeats; `x` by default. */
  readonly piece?: string;
  /** Time in ms between two writes; 1 by default. */
  readonly periodMs?: number;
}

/** Backend server whose responses never end: after a given start, a text is repeated until the connection closes. */
export class EndlessServer {
  public address = '';

  /** Number of open connections. */
  public open = 0;

  /** Bytes written after the response start, over all connections. */
  public taken = 0;

  private readonly sockets = new Set<Socket>();

  private readonly periodMs: number;

  private readonly server: Server;

  /** `responseStart` returns the first bytes of the response to the call with the given request id. */
  public constructor(responseStart: (callId: string) => string, { piece = 'x', periodMs = 1 }: EndlessOptions = {}) {
    this.periodMs = periodMs;
    const repeatedChunk = Buffer.from(piece.repeat(Math.ceil(CHUNK_BYTES / piece.length)));
    this.server = createServer((socket) => {
      this.open += 1;
      this.sockets.add(socket);
      let requestHead = '';
      socket.on('data', (chunk: Buffer) => {
        if (requestHead.includes('\r\n\r\n')) return;
        requestHead += chunk.toString('latin1');
        if (!requestHead.includes('\r\n\r\n')) return;
        this.answer(socket, responseStart(/^catkinscale-request-id: (.+)$/im.exec(requestHead)?.[1] ?? ''), repeatedChunk);
      });
      // The caller may close or reset the connection. Both are handled in the 'close' event.
      socket.on('error', () => {});
      socket.on('close', () => {
        this.open -= 1;
        this.sockets.delete(socket);
      });
    });
  }

  public async start(): Promise<void> {
    this.address = await listenAnywhere(this.server);
  }

  public stop(): void {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }

  /** JSON record under which this server is registered in the store. */
  public entry(service: string, changes: object = {}): string {
    return registration(this.address, service, changes);
  }

  private answer(socket: Socket, responseStart: string, repeatedChunk: Buffer): void {
    socket.write(responseStart);
    const write = (): void => {
      if (socket.destroyed) return;
      this.taken += repeatedChunk.length;
      if (socket.write(repeatedChunk)) setTimeout(write, this.periodMs);
      else socket.once('drain', write);
    };
    write();
  }
}
