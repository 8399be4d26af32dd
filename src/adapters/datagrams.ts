import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import type { Disposable, Log } from '../core/interfaces/index.js';
import { fail, ok } from '../core/result.js';
import type { Result } from '../core/result.js';
import type { Datagrams } from '../gateway/occupancy.js';

/**
 * Opens a UDP socket on `address`, an IP address and port. Messages are sent to the same port of other hosts. Fails if
 * the socket can't be opened.
 */
export async function openDatagramSocket(
  address: string,
  log: Log,
): Promise<Result<Datagrams & Disposable, { readonly message: string }>> {
  const [host, portText] = address.split(':');
  const port = Number(portText);
  const socket = createSocket('udp4');
  try {
    socket.bind(port, host);
    await once(socket, 'listening');
  } catch (err) {
    return fail({ message: `cannot open ${address}: ${String(err)}` });
  }
  let isClosed = false;
  socket.on('error', (err) => log.warn('datagram_socket_failed', { message: err.message }));
  return ok({
    // Send errors are ignored: the next message replaces a lost one.
    send: (ip, message) => {
      if (!isClosed) socket.send(message, port, ip, () => {});
    },
    onMessage: (listener) => {
      const receive = (message: Buffer): void => listener(message);
      socket.on('message', receive);
      return { dispose: () => socket.off('message', receive) };
    },
    dispose: () => {
      isClosed = true;
      socket.close();
    },
  });
}
