import type { Random } from '../interfaces/index.js';

/** Shuffled round-robin over members: each one is probed once per round, at a random position. */
export class ProbeSchedule {
  private readonly order: string[] = [];

  private position = 0;

  public constructor(private readonly random: Random) {}

  /** Inserts a member at a random position of the round. */
  public add(id: string): void {
    if (this.order.includes(id)) return;
    this.order.splice(Math.floor(this.random.float() * (this.order.length + 1)), 0, id);
  }

  /** Makes a member the next one that {@link next} returns. */
  public moveToFront(id: string): void {
    const index = this.order.indexOf(id);
    if (index >= 0) this.order.splice(index, 1);
    if (index >= 0 && index < this.position) this.position -= 1;
    this.order.splice(this.position, 0, id);
  }

  /** Returns the next member for which `isProbed` holds, `null` without one; members for which it fails are removed. */
  public next(isProbed: (id: string) => boolean): string | null {
    while (this.order.length > 0) {
      if (this.position >= this.order.length) this.shuffle();
      const id = this.order[this.position]!;
      if (isProbed(id)) {
        this.position += 1;
        return id;
      }
      this.order.splice(this.position, 1);
    }
    return null;
  }

  /** Returns up to `count` different members at random. */
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
