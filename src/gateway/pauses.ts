import type { Meter } from '../core/interfaces/index.js';
import type { ServerRecord } from './serverregistry.js';

/** Dependencies of {@link ServerPauses}. */
export interface ServerPausesDependencies {
  readonly meter: Meter;
}

/** Pauses for which backend servers have asked. */
export class ServerPauses {
  public constructor(private readonly deps: ServerPausesDependencies) {}

  /** Records that a server wants no request for `pauseMs`, stated in the answer to a request of the given kind. */
  public record(_server: ServerRecord, pauseMs: number, answerTo: string): void {
    this.deps.meter.count('server_pauses', 1, { answer_to: answerTo });
    this.deps.meter.record('server_pause_ms', pauseMs);
  }
}
