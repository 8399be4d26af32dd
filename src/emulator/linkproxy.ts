import { connect, createServer } from 'node:net';
import type { Socket } from 'node:net';
import { listenAnywhere } from './listening.js';

/** Loopback proxy in front of one address, whose connections can be silenced, reset and delayed from outside. */
export class LinkProxy {
  public address = '';

  private readonly sockets = new Set<Socket>();

  private silent = false;

  private readonly server = createServer((inner) => this.accept(inner));

  /** `target` is an IP address and port. */
  public constructor(private readonly target: string) {}

  public async start(): Promise<void> {
    this.address = await listenAnywhere(this.server);
  }

  /** Lets no byte through any more, on open connections or on new ones; nobody is told. */
  public silence(): void {
    this.silent = true;
    for (const socket of this.sockets) socket.pause();
  }

  /** Lets new connections through; those from before stay silent for good. */
  public heal(): void {
    this.silent = false;
  }

  /** Resets all open connections. */
  public reset(): void {
    for (const socket of [...this.sockets]) socket.resetAndDestroy();
  }

  public stop(): void {
    for (const socket of [...this.sockets]) socket.destroy();
    this.server.close();
  }

  private accept(inner: Socket): void {
    this.track(inner);
    if (this.silent) {
      inner.pause();
      return;
    }
    const [host, port] = this.target.split(':');
    const outer = connect({ host, port: Number(port) });
    this.track(outer);
    inner.on('close', () => outer.destroy());
    outer.on('close', () => inner.destroy());
    inner.pipe(outer);
    outer.pipe(inner);
  }

  private track(socket: Socket): void {
    this.sockets.add(socket);
    // The other side of the pair is closed with it, and the proxy has nobody to tell.
    socket.on('error', () => {});
    socket.on('close', () => this.sockets.delete(socket));
  }
}
