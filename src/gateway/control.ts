import type { Clock, Disposable } from '../core/interfaces/index.js';
import type { ConnectionPool } from './connections.js';
import type { Codec, ControlRequest } from './codec.js';
import type { LeavingAnswers } from './leavinganswers.js';
import type { ServerPauses } from './pauses.js';
import type { ServerRecord } from './serverregistry.js';

/** Time in ms within which the whole answer to a control request must arrive. */
const TIMEOUT_MS = 800;

/** Largest body of an answer to a control request in bytes. */
const MAX_BODY_BYTES = 65_536;

/** Answer to a control request. */
export interface ControlAnswer {
  readonly status: number;
  readonly body: Buffer;
}

/** Dependencies of {@link ControlClient}. */
export interface ControlClientDependencies {
  readonly clock: Clock;
  readonly codec: Pick<Codec, 'saysServerLeaves' | 'controlPauseMs'>;
  readonly leaving: Pick<LeavingAnswers, 'record'>;
  readonly pauses: Pick<ServerPauses, 'record' | 'endsAt'>;
}

/** Sends control requests to backend servers, and records what the heads of the answers say about the servers. */
export class ControlClient {
  public constructor(private readonly deps: ControlClientDependencies) {}

  /**
   * Sends a request of the given kind, unless the server has asked for a pause; resolves with `null` where no complete
   * answer arrives in time.
   */
  public send(
    pool: ConnectionPool,
    server: ServerRecord,
    {
      method, path, headers: ownHeaders, body,
    }: ControlRequest,
    kind: string,
  ): Promise<ControlAnswer | null> {
    const {
      clock, codec: platformCodec, leaving, pauses,
    } = this.deps;
    const mayBeSent = (): boolean => pauses.endsAt(server) === null;
    if (!mayBeSent()) return Promise.resolve(null);
    return new Promise((resolve) => {
      const chunks: Buffer[] = [];
      let status = 0;
      let size = 0;
      let timer: Disposable | null = null;
      const finish = (answer: ControlAnswer | null): void => {
        timer?.dispose();
        resolve(answer);
      };
      const request = pool.send({
        method, path, headers: ['host', server.address, ...ownHeaders], body, id: null,
      }, {
        mayBeSent,
        sent: () => {},
        head: (value, headers) => {
          status = value;
          if (platformCodec.saysServerLeaves(headers)) leaving.record(server, kind);
          const pauseMs = platformCodec.controlPauseMs(value, headers);
          if (pauseMs !== null) pauses.record(server, pauseMs, kind);
        },
        data: (chunk) => {
          size += chunk.length;
          if (size <= MAX_BODY_BYTES) chunks.push(chunk);
          else request.abort();
        },
        end: () => finish({ status, body: Buffer.concat(chunks) }),
        failed: () => finish(null),
      });
      timer = clock.after(TIMEOUT_MS, () => request.abort());
    });
  }
}
