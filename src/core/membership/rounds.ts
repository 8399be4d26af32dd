import type { Random } from '../edges/index.js';

/** Shuffled round-robin over members, so that each one is probed once a round at an unpredictable place. */
export class Rounds {
  private readonly order: string[] = [];

  private position = 0;

  public constructor(private readonly random: Random) {}

  /** Adds a member at a random place of the round. */
  public add(id: string): void {
    if (this.order.includes(id)) return;
    this.order.splice(Math.floor(this.random.float() * (this.order.length + 1)), 0, id);
  }

  /** Makes a member the next one. */
  public first(id: string): void {
    const index = this.order.indexOf(id);
    if (index >= 0) this.order.splice(index, 1);
    if (index >= 0 && index < this.position) this.position -= 1;
    this.order.splice(this.position, 0, id);
  }

  /** Next member for which `keep` holds; the others leave the round. */
  public next(keep: (id: string) => boolean): string | null {
    while (this.order.length > 0) {
      if (this.position >= this.order.length) this.shuffle();
      const id = this.order[this.position]!;
      if (keep(id)) {
        this.position += 1;
        return id;
      }
      this.order.splice(this.position, 1);
    }
    return null;
  }

  /** Up to `count` different members at random. */
  public sample(count: number): string[] {
    const wanted = Math.min(count, this.order.length);
    const chosen = new Set<string>();
    for (let tries = 0; chosen.size < wanted && tries < count * 4; tries += 1) {
      chosen.add(this.order[Math.floor(this.random.float() * this.order.length)]!);
    }
    return [...chosen];
  }

  private shuffle(): void {
    const { order } = this;
    for (let index = order.length - 1; index > 0; index -= 1) {
      const other = Math.floor(this.random.float() * (index + 1));
      [order[index], order[other]] = [order[other]!, order[index]!];
    }
    this.position = 0;
  }
}
