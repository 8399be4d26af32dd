import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand';
import type { Random } from '../core/interfaces/index.js';

const FLOAT_RESOLUTION = 2 ** 30;

/** Random numbers and ids that depend only on the seed. */
export class SeededRandom implements Random {
  private readonly generator;

  public constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  public float(): number {
    return unsafeUniformIntDistribution(0, FLOAT_RESOLUTION - 1, this.generator) / FLOAT_RESOLUTION;
  }

  public id(): string {
    const part = () => unsafeUniformIntDistribution(0, FLOAT_RESOLUTION - 1, this.generator).toString(36).padStart(6, '0');
    return `${part()}${part()}${part()}`;
  }

  /** Integer in [low, high]. */
  public integer(low: number, high: number): number {
    return unsafeUniformIntDistribution(low, high, this.generator);
  }

  /** Exponentially distributed number with the given mean. */
  public exponential(mean: number): number {
    return -mean * Math.log(1 - this.float());
  }

  /** Log-normal number with the given median and sigma of its logarithm. */
  public logNormal(median: number, sigma: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.float()));
    return median * Math.exp(sigma * radius * Math.cos(2 * Math.PI * this.float()));
  }

  /** Uniformly chosen element of a non-empty list. */
  public pick<T>(items: readonly T[]): T {
    return items[this.integer(0, items.length - 1)]!;
  }
}
