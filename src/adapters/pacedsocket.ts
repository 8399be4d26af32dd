import { Socket } from 'node:net';
import type { Clock } from '../core/interfaces/index.js';

/** Largest number of bytes that are read at once. */
const SLICE_BYTES = 4_096;

/** Time in ms in each turn of the event loop after which each connection is read at most once. */
const TURN_MS = 1;

/** Turns of the event loop in which the connections of a process are read. */
export class ReadTurns {
  /** Number of the newest turn. */
  private newest = 0;

  /** Monotonic time in ms after which connections are read only once in this turn; `null` before the first read. */
  private limitedFrom: number | null = null;

  private heldBack: PacedSocket[] = [];

  public constructor(private readonly clock: Pick<Clock, 'monotonic'>) {}

  /** Number of the current turn. */
  public current(): number {
    if (this.limitedFrom === null) {
      this.newest += 1;
      this.limitedFrom = this.clock.monotonic() + TURN_MS;
      setImmediate(() => this.end());
    }
    return this.newest;
  }

  /** Whether connections are read only once in what remains of the turn. */
  public isLimited(): boolean {
    return this.limitedFrom !== null && this.clock.monotonic() >= this.limitedFrom;
  }

  /** Has a connection read on in the next turn. */
  public holdBack(socket: PacedSocket): void {
    this.heldBack.push(socket);
  }

  private end(): void {
    this.limitedFrom = null;
    for (const socket of this.heldBack.splice(0)) socket.readOn();
  }
}

/**
 * Socket whose reader gets a bounded share of each turn of the event loop. Otherwise Node.js reads up to 2 MB from one
 * connection before any timer or other connection has its turn, which takes seconds to parse if the peer sends hundreds
 * of thousands of tiny chunks or headers.
 */
export class PacedSocket extends Socket {
  /** Number of the turn in which the socket was last read. */
  private lastTurn = 0;

  private isHeldBack = false;

  public constructor(private readonly turns: ReadTurns) {
    super();
  }

  /** Returns `null` also where the reader has to wait for the next turn; `readable` is emitted then. */
  public override read(size?: number): Buffer | null {
    const available = this.readableLength;
    if (size !== undefined || available === 0) return super.read(size) as Buffer | null;
    const turn = this.turns.current();
    if (this.isHeldBack || (this.lastTurn === turn && this.turns.isLimited())) {
      if (!this.isHeldBack) this.turns.holdBack(this);
      this.isHeldBack = true;
      return null;
    }
    this.lastTurn = turn;
    return super.read(Math.min(available, SLICE_BYTES)) as Buffer | null;
  }

  /** Tells the reader that it may read again. */
  public readOn(): void {
    this.isHeldBack = false;
    if (!this.destroyed) this.emit('readable');
  }
}
