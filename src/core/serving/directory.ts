import type { EngineFacts } from './placement.js';

/** Engines that this entry may use, kept up to date from the fleet file, engine status and leaving signals. */
export class EngineDirectory {
  private readonly engines = new Map<string, EngineFacts>();

  private readonly listeners = new Set<() => void>();

  /** Replaces the facts of one engine. */
  public set(facts: EngineFacts): void {
    this.engines.set(facts.name, facts);
    for (const listener of this.listeners) listener();
  }

  public remove(name: string): void {
    this.engines.delete(name);
    for (const listener of this.listeners) listener();
  }

  public get(name: string): EngineFacts | undefined {
    return this.engines.get(name);
  }

  public all(): EngineFacts[] {
    return [...this.engines.values()];
  }

  /** Available engines that hold a model. */
  public serving(model: string): EngineFacts[] {
    return this.all().filter((engine) => engine.available && engine.models.includes(model));
  }

  /** Calls `listener` after each change. */
  public onChange(listener: () => void): void {
    this.listeners.add(listener);
  }
}
