import type { Socket } from 'node:net';
import type { Disposable } from '../core/interfaces/index.js';

/** Largest number of chunks of one body that are handled in a turn of the event loop before its connection is paced. */
const MAX_CHUNKS_PER_TURN = 256;

/** Bytes that are read of a paced connection in each turn of the event loop. */
const SLICE_BYTES = 4_096;

/**
 * Bounds the work for one body in each turn of the event loop. Node.js reads up to 2 MB from a connection before any
 * other has its turn, and a client may send them in chunks of one byte. Ordinary bodies are not paced.
 */
export class BodyPacer implements Disposable {
  private chunks = 0;

  private isPacing = false;

  private isDisposed = false;

  private isSliceDue = false;

  private readonly readSlice = (): void => {
    const { socket } = this;
    if (this.isSliceDue || this.isDisposed || socket.destroyed) return;
    socket.read(Math.min(SLICE_BYTES, socket.readableLength));
    if (socket.readableLength === 0) return;
    this.isSliceDue = true;
    setImmediate(() => {
      this.isSliceDue = false;
      this.readSlice();
    });
  };

  public constructor(private readonly socket: Socket) {}

  /** Counts a chunk that was handled. */
  public count(): void {
    if (this.isPacing) return;
    if (this.chunks === 0) {
      setImmediate(() => {
        this.chunks = 0;
      });
    }
    this.chunks += 1;
    if (this.chunks < MAX_CHUNKS_PER_TURN) return;
    this.isPacing = true;
    // The HTTP parser reads the connection itself until there is a listener; it gets what is read here.
    process.nextTick(() => {
      if (!this.isDisposed) this.socket.on('readable', this.readSlice);
    });
  }

  public dispose(): void {
    this.isDisposed = true;
    if (this.isPacing) this.socket.off('readable', this.readSlice);
  }
}
