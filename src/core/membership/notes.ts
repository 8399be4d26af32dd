import type { Disposable } from '../edges/index.js';
import { GossipQueue } from './gossip.js';
import type { Note } from './rows.js';

/** Receives a fact; returns whether it was new, and only then it is passed on. */
export type NoteListener = (key: string, value: string) => boolean;

/** Small facts of other parts that travel on membership messages. */
export class Notes {
  private readonly values = new Map<string, Note>();

  private readonly listeners = new Map<string, NoteListener>();

  private readonly queue = new GossipQueue<Note>((id) => this.values.get(id) ?? null, (id) => this.values.delete(id));

  public get size(): number {
    return this.queue.size;
  }

  public put(note: Note): void {
    const id = `${note[0]}/${note[1]}`;
    this.values.set(id, note);
    this.queue.put(id);
  }

  public on(topic: string, listener: NoteListener): Disposable {
    this.listeners.set(topic, listener);
    return { dispose: () => this.listeners.delete(topic) };
  }

  /** Hands notes to their listeners; true if any of them was new. */
  public receive(notes: readonly Note[]): boolean {
    let news = false;
    for (const note of notes) {
      if (this.listeners.get(note[0])?.(note[1], note[2]) !== true) continue;
      this.put(note);
      news = true;
    }
    return news;
  }

  public take(budgetBytes: number, members: number, limit: number): Note[] {
    return this.queue.take(budgetBytes, members, limit);
  }
}
