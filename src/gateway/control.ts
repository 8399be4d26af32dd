import type { Clock, Disposable } from '../core/edges/index.js';
import type { ConnectionPool } from './connections.js';
import type { ControlRequest } from './dialect.js';

/** Time in ms for a whole answer to a request of this system itself. */
const TIMEOUT_MS = 800;

/** Largest body of such an answer in bytes. */
const MAX_BODY_BYTES = 65_536;

/** Answer to a request of this system itself. */
export interface ControlAnswer {
  readonly status: number;
  readonly body: Buffer;
}

/** Sends a request of this system itself to a backend server; `null` where no whole answer comes in time. */
export function askServer(
  pool: ConnectionPool,
  address: string,
  {
    method, path, headers, body,
  }: ControlRequest,
  clock: Clock,
): Promise<ControlAnswer | null> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let status = 0;
    let size = 0;
    let timer: Disposable | null = null;
    const finish = (answer: ControlAnswer | null): void => {
      timer?.dispose();
      resolve(answer);
    };
    const transfer = pool.send({
      method, path, headers: ['host', address, ...headers], body,
    }, {
      sent: () => {},
      head: (value) => {
        status = value;
      },
      data: (chunk) => {
        size += chunk.length;
        if (size <= MAX_BODY_BYTES) chunks.push(chunk);
        else transfer.abort();
      },
      end: () => finish({ status, body: Buffer.concat(chunks) }),
      failed: () => finish(null),
    });
    timer = clock.after(TIMEOUT_MS, () => transfer.abort());
  });
}
