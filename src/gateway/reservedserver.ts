import type { Disposable } from '../core/interfaces/index.js';
import type { ServerRecord } from './serverregistry.js';

/** Server at which a slot was reserved. */
export interface ReservedServer {
  readonly server: ServerRecord;
  /** Number of prefills that were open at the server before. */
  readonly prefillsAhead: number;
  /** Releases the slot when it is disposed. */
  readonly reservation: Disposable;
  /** Records that the server has read the prompt; to be called before the slot is released. */
  readonly recordRead?: () => void;
}
