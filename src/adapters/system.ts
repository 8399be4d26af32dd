import { randomFillSync } from 'node:crypto';
import type { Clock, Disposable, Random } from '../core/interfaces/index.js';

/** System clock and timers of Node.js. */
export class SystemClock implements Clock {
  public monotonic(): number {
    return performance.now();
  }

  public now(): Date {
    return new Date();
  }

  public after(delayMs: number, callback: () => void): Disposable {
    const timer = setTimeout(callback, delayMs);
    return { dispose: () => clearTimeout(timer) };
  }
}

const POOL_BYTES = 4_096;

const FLOAT_BYTES = 6;

/** 96 bits make a collision negligible among all ids that a deployment ever creates. */
const ID_BYTES = 12;

/** Cryptographically secure random numbers, read in blocks because one system call per number is slow. */
export class SystemRandom implements Random {
  private readonly pool = Buffer.alloc(POOL_BYTES);

  private used = POOL_BYTES;

  public float(): number {
    return this.pool.readUIntBE(this.takeBytes(FLOAT_BYTES), FLOAT_BYTES) / 2 ** (8 * FLOAT_BYTES);
  }

  public id(): string {
    const start = this.takeBytes(ID_BYTES);
    return this.pool.toString('base64url', start, start + ID_BYTES);
  }

  /** Reserves `count` unused bytes of the pool, refills it if needed, and returns their offset. */
  private takeBytes(count: number): number {
    if (this.used + count > POOL_BYTES) {
      randomFillSync(this.pool);
      this.used = 0;
    }
    const start = this.used;
    this.used += count;
    return start;
  }
}
