import { connect } from 'node:net';
import type { Socket } from 'node:net';

/** Receives a connected socket or the reason why there is none. */
export type SocketCallback = (...args: [Error, null] | [null, Socket]) => void;

/** Opens a TCP connection within `timeoutMs`, measured exactly, unlike the coarse timer of the client library. */
export function openSocket(host: string, port: number, timeoutMs: number, callback: SocketCallback): Socket {
  const socket = connect({ host, port, noDelay: true });
  let settled = false;
  let timer: NodeJS.Timeout | null = null;
  const settle = (err: Error | null): void => {
    if (settled) return;
    settled = true;
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
