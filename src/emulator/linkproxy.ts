import { connect, createServer } from 'node:net';
import type { Socket } from 'node:net';
import { listenOnFreePort } from './listen.js';

/** Loopback TCP proxy for one address. Tests can silence or reset its connections to simulate network faults. */
export class LinkProxy {
  public address = '';

  private readonly sockets = new Set<Socket>();

  private isSilent = false;

  private isRefusing = false;

  private readonly server = createServer((inner) => this.acceptConnection(inner));

  /** `target` is an IP address and port. */
  public constructor(private readonly target: string) {}

  public async start(): Promise<void> {
    this.address = await listenOnFreePort(this.server);
  }

  /** Stops forwarding on open and new connections; neither side receives a close or a reset. */
  public silence(): void {
    this.isSilent = true;
    for (const socket of this.sockets) socket.pause();
  }

  /** Resets new connections at once; open ones live on. */
  public refuse(): void {
    this.isRefusing = true;
  }

  /** Forwards new connections again; connections that were silenced stay silent. */
  public heal(): void {
    this.isSilent = false;
    this.isRefusing = false;
  }

  /** Forwards on open connections too, from where they were silenced. */
  public resume(): void {
    this.heal();
    for (const socket of this.sockets) socket.resume();
  }

  /** Resets all open connections. */
  public reset(): void {
    for (const socket of [...this.sockets]) socket.resetAndDestroy();
  }

  public stop(): void {
    for (const socket of [...this.sockets]) socket.destroy();
    this.server.close();
  }

  private acceptConnection(clientSocket: Socket): void {
    this.track(clientSocket);
    if (this.isRefusing) {
      clientSocket.resetAndDestroy();
      return;
    }
    if (this.isSilent) {
      clientSocket.pause();
      return;
    }
    const [host, port] = this.target.split(':');
    const targetSocket = connect({ host, port: Number(port) });
    this.track(targetSocket);
    clientSocket.on('close', () => targetSocket.destroy());
    targetSocket.on('close', () => clientSocket.destroy());
    clientSocket.pipe(targetSocket);
    targetSocket.pipe(clientSocket);
  }

  private track(socket: Socket): void {
    this.sockets.add(socket);
    // Needs no handling: the 'close' event that follows closes the other socket of the pair.
    socket.on('error', () => {});
    socket.on('close', () => this.sockets.delete(socket));
  }
}
