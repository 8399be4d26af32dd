import type { Disposable } from '../interfaces/index.js';
import { GossipQueue } from './gossip.js';
import type { Announcement } from './rows.js';

/** Receives an announcement; returns whether it was new. Only new announcements are forwarded. */
export type AnnouncementListener = (key: string, value: string) => boolean;

/** Small key-value facts of other components, gossiped in the membership messages. */
export class Announcements {
  private readonly values = new Map<string, Announcement>();

  private readonly listeners = new Map<string, AnnouncementListener>();

  private readonly queue = new GossipQueue<Announcement>(
    (id) => this.values.get(id) ?? null,
    (id) => this.values.delete(id),
  );

  /** Number of announcements that still have to be sent. */
  public get size(): number {
    return this.queue.size;
  }

  /** Adds an announcement to the ones that are sent; a newer value replaces that of the same topic and key. */
  public put(announcement: Announcement): void {
    const id = `${announcement[0]}/${announcement[1]}`;
    this.values.set(id, announcement);
    this.queue.put(id);
  }

  /** Sets the listener of a topic. */
  public subscribe(topic: string, listener: AnnouncementListener): Disposable {
    this.listeners.set(topic, listener);
    return { dispose: () => this.listeners.delete(topic) };
  }

  /** Passes announcements to the listeners of their topics; true if any of them was new. */
  public receive(announcements: readonly Announcement[]): boolean {
    let anyNew = false;
    for (const announcement of announcements) {
      if (this.listeners.get(announcement[0])?.(announcement[1], announcement[2]) !== true) continue;
      this.put(announcement);
      anyNew = true;
    }
    return anyNew;
  }

  /** Takes announcements for one message of at most `budgetBytes`. */
  public take(budgetBytes: number, members: number, limit: number): Announcement[] {
    return this.queue.take(budgetBytes, members, limit);
  }
}
