import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { listenOnFreePort } from '../../src/emulator/listen.js';

/** Request whose head has arrived at a {@link RawServer}. */
export interface RawRequest {
  readonly socket: Socket;
  readonly head: string;
  /** Value of `Catkinscale-Request-Id`, or an empty string. */
  readonly id: string;
  /** Body so far. */
  readonly body: string;
  /** Number of earlier requests on the connection. */
  readonly earlier: number;
}

/** Server that hands each request to `respond`, which writes any bytes it likes to the socket. */
export class RawServer {
  public address = '';

  public respond: (req: RawRequest) => void = () => {};

  private readonly server: Server;

  /** With `early`, a request is handed over with its head, and the connection is read no further. */
  public constructor(early = false) {
    this.server = createServer({ noDelay: true }, (socket) => {
      let earlier = 0;
      let text = '';
      socket.on('error', () => {});
      socket.on('data', (chunk) => {
        text += chunk.toString('latin1');
        for (let end = text.indexOf('\r\n\r\n'); end !== -1; end = text.indexOf('\r\n\r\n')) {
          const head = text.slice(0, end);
          const next = end + 4 + (early ? 0 : Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0));
          if (text.length < next) return;
          if (early) socket.pause();
          const id = /catkinscale-request-id: (\S+)/i.exec(head)?.[1] ?? '';
          const body = text.slice(end + 4, early ? undefined : next);
          text = early ? '' : text.slice(next);
          this.respond({
            socket, head, id, body, earlier,
          });
          earlier += 1;
        }
      });
    });
  }

  public async start(): Promise<void> {
    this.address = await listenOnFreePort(this.server);
  }

  public stop(): void {
    this.server.close();
  }
}

/** Answer as a caller received it; `status` is 0 where there is none. */
export interface RawAnswer {
  readonly status: number;
  readonly head: string;
  readonly body: string;
  /** Whether the answer arrived to its end, by its own framing. */
  readonly complete: boolean;
}

function readAnswer(text: string, closed: boolean): RawAnswer {
  const end = text.indexOf('\r\n\r\n');
  const head = text.slice(0, Math.max(0, end));
  const body = end === -1 ? '' : text.slice(end + 4);
  const length = /\r\ncontent-length: (\d+)/i.exec(head)?.[1];
  let complete = closed;
  if (length !== undefined) complete = body.length >= Number(length);
  else if (/\r\ntransfer-encoding: chunked/i.test(head)) complete = body.endsWith('0\r\n\r\n');
  return {
    status: Number(head.split(' ')[1] ?? 0), head, body, complete: end !== -1 && complete,
  };
}

/**
 * Sends bytes on a new connection, reads after `readAfterMs` milliseconds, and resolves with the answer once it is
 * complete or the connection has ended.
 */
export function sendRaw(address: string, bytes: string | Buffer, readAfterMs = 0): Promise<RawAnswer> {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const socket = connect({ host: host!, port: Number(port) });
    let text = '';
    let closed = false;
    socket.on('error', () => {});
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
      if (readAnswer(text, false).complete) socket.destroy();
    });
    socket.on('end', () => {
      // A reset that is read together with data is reported as an end, on a socket that has no peer any more.
      closed = socket.remoteAddress !== undefined;
    });
    socket.on('close', () => resolve(readAnswer(text, closed)));
    socket.write(bytes);
    if (readAfterMs > 0) {
      socket.pause();
      setTimeout(() => socket.resume(), readAfterMs);
    }
  });
}
