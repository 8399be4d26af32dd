import { createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { createServerRecord } from './backend.js';
import { listenOnFreePort } from './listen.js';

const CHUNK_BYTES = 16_384;

/** Options of {@link EndlessServer}. */
export interface EndlessOptions {
  /** Text that the response body repeats; `x` by default. */
  readonly repeatedText?: string;
  /** Time in ms between two writes; 1 by default. */
  readonly periodMs?: number;
}

/** Backend server whose responses never end: after a given start, a text is repeated until the connection closes. */
export class EndlessServer {
  public address = '';

  /** Number of open connections. */
  public openConnections = 0;

  /** Bytes written after the response start, over all connections. */
  public writtenBytes = 0;

  private readonly sockets = new Set<Socket>();

  private readonly periodMs: number;

  private readonly server: Server;

  /** `responseStart` returns the first bytes of the response to the call with the given request id. */
  public constructor(responseStart: (callId: string) => string, { repeatedText: piece = 'x', periodMs = 1 }: EndlessOptions = {}) {
    this.periodMs = periodMs;
    const repeatedChunk = Buffer.from(piece.repeat(Math.ceil(CHUNK_BYTES / piece.length)));
    this.server = createServer((socket) => {
      this.openConnections += 1;
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
        this.openConnections -= 1;
        this.sockets.delete(socket);
      });
    });
  }

  public async start(): Promise<void> {
    this.address = await listenOnFreePort(this.server);
  }

  public stop(): void {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }

  /** JSON record under which this server is registered in the store. */
  public serverRecord(service: string, changes: object = {}): string {
    return createServerRecord(this.address, service, changes);
  }

  private answer(socket: Socket, responseStart: string, repeatedChunk: Buffer): void {
    socket.write(responseStart);
    const write = (): void => {
      if (socket.destroyed) return;
      this.writtenBytes += repeatedChunk.length;
      if (socket.write(repeatedChunk)) setTimeout(write, this.periodMs);
      else socket.once('drain', write);
    };
    write();
  }
}
