import { randomFillSync } from 'node:crypto';
import type { Clock, Disposable, Random } from '../core/edges/index.js';

/** Clock of this process. */
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

/** 96 bits make a collision among all ids of a deployment's lifetime negligible. */
const ID_BYTES = 12;

/** Cryptographic randomness, drawn in blocks because one system call for each number is slow. */
export class SystemRandom implements Random {
  private readonly pool = Buffer.alloc(POOL_BYTES);

  private used = POOL_BYTES;

  public float(): number {
    return this.pool.readUIntBE(this.take(FLOAT_BYTES), FLOAT_BYTES) / 2 ** (8 * FLOAT_BYTES);
  }

  public id(): string {
    const start = this.take(ID_BYTES);
    return this.pool.toString('base64url', start, start + ID_BYTES);
  }

  /** Start of `count` unused bytes in the pool. */
  private take(count: number): number {
    if (this.used + count > POOL_BYTES) {
      randomFillSync(this.pool);
      this.used = 0;
    }
    const start = this.used;
    this.used += count;
    return start;
  }
}
