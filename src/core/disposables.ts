import type { Disposable } from './edges/index.js';

/** Gathers disposables and releases them together, last added first. */
export class DisposableStore implements Disposable {
  private readonly items: Disposable[] = [];

  private disposed = false;

  /** Adds an item and returns it; an item added after disposal is released at once. */
  public add<T extends Disposable>(item: T): T {
    if (this.disposed) item.dispose();
    else this.items.push(item);
    return item;
  }

  /** Adds a clean-up function. */
  public defer(release: () => void): void {
    this.add({ dispose: release });
  }

  /** Releases every item once. */
  public dispose(): void {
    this.disposed = true;
    for (let item = this.items.pop(); item !== undefined; item = this.items.pop()) item.dispose();
  }
}
