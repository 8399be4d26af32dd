import type { Clock, Disposable } from '../core/interfaces/index.js';

/** Bounds in bytes on what is kept of answers for callers that read slowly. */
export interface AnswerMemoryLimits {
  readonly total: number;
  /** Bound for one answer, after which its server is read no further. */
  readonly perAnswer: number;
  /** Bound for all answers of one workspace. */
  readonly perWorkspace: number;
}

/** Time in ms without any reading after which an answer may be dropped for others. */
const STALL_MS = 1_000;

/** What is kept of one answer. */
export interface KeptAnswer extends Disposable {
  /** Records the number of bytes that are kept now; returns whether more of the answer may be read from its server. */
  readonly keep: (bytes: number) => boolean;
}

interface Entry {
  readonly workspace: string | null;
  readonly drop: () => void;
  bytes: number;
  /** Monotonic time in ms at which the caller last read something, or at which nothing was kept. */
  readAt: number;
}

/**
 * Memory for answers that their callers read more slowly than servers write them. A server cuts an answer that stays
 * unread, so a gateway reads on while it has room: in total, for each workspace and for each answer. Where the total is
 * exceeded, the largest answer of which nothing has been read for a while is dropped.
 */
export class AnswerMemory {
  private readonly entries = new Set<Entry>();

  private readonly byWorkspace = new Map<string, number>();

  private total = 0;

  public constructor(private readonly clock: Clock, private readonly limits: AnswerMemoryLimits) {}

  /** Bytes that are kept now. */
  public get used(): number {
    return this.total;
  }

  /** Opens the account of an answer; its workspace is `null` where there are none. `drop` cuts the answer. */
  public open(workspace: string | null, drop: () => void): KeptAnswer {
    const entry: Entry = {
      workspace, drop, bytes: 0, readAt: this.clock.monotonic(),
    };
    this.entries.add(entry);
    return {
      keep: (bytes) => this.keep(entry, bytes),
      dispose: () => {
        if (!this.entries.delete(entry)) return;
        this.charge(entry, 0);
      },
    };
  }

  private keep(entry: Entry, bytes: number): boolean {
    if (!this.entries.has(entry)) return false;
    if (bytes < entry.bytes || entry.bytes === 0) entry.readAt = this.clock.monotonic();
    this.charge(entry, bytes);
    if (this.total > this.limits.total) this.dropLargest();
    const ofWorkspace = entry.workspace === null ? 0 : this.byWorkspace.get(entry.workspace) ?? 0;
    return bytes <= this.limits.perAnswer && this.total <= this.limits.total && ofWorkspace <= this.limits.perWorkspace;
  }

  private charge(entry: Entry, bytes: number): void {
    const change = bytes - entry.bytes;
    if (change === 0) return;
    entry.bytes = bytes;
    this.total += change;
    if (entry.workspace === null) return;
    const workspace = (this.byWorkspace.get(entry.workspace) ?? 0) + change;
    if (workspace === 0) this.byWorkspace.delete(entry.workspace);
    else this.byWorkspace.set(entry.workspace, workspace);
  }

  private dropLargest(): void {
    const since = this.clock.monotonic() - STALL_MS;
    let largest: Entry | null = null;
    for (const entry of this.entries) {
      if (entry.readAt <= since && entry.bytes > (largest?.bytes ?? 0)) largest = entry;
    }
    if (largest === null) return;
    this.entries.delete(largest);
    this.charge(largest, 0);
    largest.drop();
  }
}
