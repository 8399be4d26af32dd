import { createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { registration } from './backend.js';
import { listenAnywhere } from './listening.js';

const PIECE_BYTES = 16_384;

/** Options of {@link EndlessServer}. */
export interface EndlessOptions {
  /** Text that is sent again and again. */
  readonly piece?: string;
  /** Time in ms between two writes. */
  readonly periodMs?: number;
}

/** Backend server that answers each call with a beginning and then bytes without end, until its connection closes. */
export class EndlessServer {
  public address = '';

  /** Connections that are open. */
  public open = 0;

  /** Bytes that were taken from it on all connections. */
  public taken = 0;

  private readonly sockets = new Set<Socket>();

  private readonly periodMs: number;

  private readonly server: Server;

  /** `begin` gives the first bytes of an answer to the call with this id. */
  public constructor(begin: (callId: string) => string, { piece = 'x', periodMs = 1 }: EndlessOptions = {}) {
    this.periodMs = periodMs;
    const bytes = Buffer.from(piece.repeat(Math.ceil(PIECE_BYTES / piece.length)));
    this.server = createServer((socket) => {
      this.open += 1;
      this.sockets.add(socket);
      let head = '';
      socket.on('data', (chunk: Buffer) => {
        if (head.includes('\r\n\r\n')) return;
        head += chunk.toString('latin1');
        if (!head.includes('\r\n\r\n')) return;
        this.answer(socket, begin(/^catkinscale-request-id: (.+)$/im.exec(head)?.[1] ?? ''), bytes);
      });
      // The caller closes or resets; both end the answer.
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

  /** Entry of the server in the store. */
  public entry(service: string, changes: object = {}): string {
    return registration(this.address, service, changes);
  }

  private answer(socket: Socket, begin: string, bytes: Buffer): void {
    socket.write(begin);
    const write = (): void => {
      if (socket.destroyed) return;
      this.taken += bytes.length;
      if (socket.write(bytes)) setTimeout(write, this.periodMs);
      else socket.once('drain', write);
    };
    write();
  }
}
