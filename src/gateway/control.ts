import type { Clock, Disposable } from '../core/interfaces/index.js';
import type { ConnectionPool } from './connections.js';
import type { ControlRequest } from './codec.js';

/** Time in ms within which the whole answer to a control request must arrive. */
const TIMEOUT_MS = 800;

/** Largest body of an answer to a control request in bytes. */
const MAX_BODY_BYTES = 65_536;

/** Answer to a control request. */
export interface ControlAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Buffer;
}

/** Sends a control request to a backend server; resolves with `null` where no complete answer arrives in time. */
export function sendControlRequest(
  pool: ConnectionPool,
  address: string,
  {
    method, path, headers: ownHeaders, body,
  }: ControlRequest,
  clock: Clock,
): Promise<ControlAnswer | null> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let status = 0;
    let headers: ControlAnswer['headers'] = {};
    let size = 0;
    let timer: Disposable | null = null;
    const finish = (answer: ControlAnswer | null): void => {
      timer?.dispose();
      resolve(answer);
    };
    const request = pool.send({
      method, path, headers: ['host', address, ...ownHeaders], body, id: null,
    }, {
      mayBeSent: () => true,
      sent: () => {},
      head: (value, received) => {
        status = value;
        headers = received;
      },
      data: (chunk) => {
        size += chunk.length;
        if (size <= MAX_BODY_BYTES) chunks.push(chunk);
        else request.abort();
      },
      end: () => finish({ status, headers, body: Buffer.concat(chunks) }),
      failed: () => finish(null),
    });
    timer = clock.after(TIMEOUT_MS, () => request.abort());
  });
}
