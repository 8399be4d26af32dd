/** Largest number of removed keys that are kept. */
const MAX_REMOVALS = 2_000;

/** Removals of keys since some revision, for gateways that ask what has changed since a later one. */
export class ChangeHistory {
  /** Revision of each removal by its key, in the order of the removals. */
  private readonly removals = new Map<string, number>();

  /** Revision after which all removals are known. */
  private floor = Infinity;

  /** Forgets all removals, because all records were read at a revision. */
  public reset(revision: number): void {
    this.removals.clear();
    this.floor = revision;
  }

  /** Records that a key has a record again. */
  public recordPut(key: string): void {
    this.removals.delete(key);
  }

  public recordRemoval(key: string, revision: number): void {
    this.removals.delete(key);
    this.removals.set(key, revision);
    const [oldest] = this.removals;
    if (this.removals.size <= MAX_REMOVALS || oldest === undefined) return;
    this.removals.delete(oldest[0]);
    this.floor = Math.max(this.floor, oldest[1]);
  }

  /** Removed keys with the revisions of their removals after `revision`; `null` where some of them are not known. */
  public removalsSince(revision: number): readonly [string, number][] | null {
    if (revision < this.floor) return null;
    return [...this.removals].filter(([, removedAt]) => removedAt > revision);
  }
}
