import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { checkStatusLines } from './answers.js';

/** Receives either an error or a connected socket. */
export type SocketCallback = (...args: [Error, null] | [null, Socket]) => void;

/**
 * Opens a TCP connection and calls `callback` once. Fails after `timeoutMs` milliseconds, measured by its own timer
 * because undici's connect timer is too coarse.
 */
export function openSocket(host: string, port: number, timeoutMs: number, callback: SocketCallback): Socket {
  const socket = connect({ host, port, noDelay: true });
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
