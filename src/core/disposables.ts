import type { Disposable } from './interfaces/index.js';

/** Collects disposables and disposes them together, in reverse order of addition. */
export class DisposableStore implements Disposable {
  private readonly items: Disposable[] = [];

  private disposed = false;

  /** Adds an item and returns it. If the store is already disposed, the item is disposed at once. */
  public add<T extends Disposable>(item: T): T {
    if (this.disposed) item.dispose();
    else this.items.push(item);
    return item;
  }

  /** Registers a clean-up function that runs on disposal. */
  public defer(release: () => void): void {
    this.add({ dispose: release });
  }

  /** Disposes every item once; a second call does nothing. */
  public dispose(): void {
    this.disposed = true;
    for (let item = this.items.pop(); item !== undefined; item = this.items.pop()) item.dispose();
  }
}
