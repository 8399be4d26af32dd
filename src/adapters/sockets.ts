import type { Socket } from 'node:net';
import { checkStatusLines } from './answers.js';
import { PacedSocket, ReadTurns } from './pacedsocket.js';
import { SystemClock } from './system.js';

const turns = new ReadTurns(new SystemClock());

/** Receives either an error or a connected socket. */
export type SocketCallback = (...args: [Error, null] | [null, Socket]) => void;

/**
 * Whether the connection was reset; asked in an `end` listener of a socket whose own side is still open. If data and a
 * reset arrive together, libuv reports the end of the data and no error. After an ordinary close the peer's address is
 * still known. It must not be read on the socket before, because Node.js keeps it.
 */
export function wasResetAtEnd(socket: Socket): boolean {
  return socket.remoteAddress === undefined;
}

/**
 * Opens a TCP connection and calls `callback` once. Fails after `timeoutMs` milliseconds, measured by its own timer
 * because undici's connect timer is too coarse.
 */
export function openSocket(host: string, port: number, timeoutMs: number, callback: SocketCallback): Socket {
  const socket = new PacedSocket(turns).setNoDelay(true).connect({ host, port });
  checkStatusLines(socket);
  let isSettled = false;
  let timer: NodeJS.Timeout | null = null;
  const settle = (err: Error | null): void => {
    if (isSettled) return;
    isSettled = true;
    if (timer !== null) clearTimeout(timer);
    if (err === null) callback(null, socket);
    else {
      socket.destroy();
      callback(err, null);
    }
  };
  timer = setTimeout(() => settle(new Error('connect timeout')), timeoutMs);
  socket.once('connect', () => settle(null));
  socket.on('error', (err) => settle(err));
  return socket;
}
