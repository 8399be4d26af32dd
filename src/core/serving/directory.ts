import type { EngineInfo } from './placement.js';

/** Engines that this entry may use. The owner updates it from the fleet file, engine status and leaving signals. */
export class EngineDirectory {
  private readonly engines = new Map<string, EngineInfo>();

  private readonly listeners = new Set<() => void>();

  /** Adds an engine or replaces what is known about it. */
  public set(facts: EngineInfo): void {
    this.engines.set(facts.name, facts);
    for (const listener of this.listeners) listener();
  }

  /** Removes an engine; has no effect if there is none of that name. */
  public remove(name: string): void {
    this.engines.delete(name);
    for (const listener of this.listeners) listener();
  }

  /** Returns an engine, or `undefined` if there is none of that name. */
  public get(name: string): EngineInfo | undefined {
    return this.engines.get(name);
  }

  /** All engines, also those that are not available. */
  public all(): EngineInfo[] {
    return [...this.engines.values()];
  }

  /** Available engines that have a model loaded. */
  public serving(model: string): EngineInfo[] {
    return this.all().filter((engine) => engine.available && engine.models.includes(model));
  }

  /** Calls `listener` after each change. */
  public onChange(listener: () => void): void {
    this.listeners.add(listener);
  }
}
