import { createHash } from 'node:crypto';
import { z } from 'zod';
import type {
  Clock, Disposable, KeyValueEntry, Log, Meter,
} from '../interfaces/index.js';
import type { Fleet } from './fleet.js';
import type { Issue } from '../issues.js';
import type { Result } from '../result.js';

/** Content, hash and revision of a fleet file. */
export interface FleetRevision {
  readonly revision: number;
  readonly hash: string;
  readonly file: string;
}

/** Outcome of applying a fleet file. */
export type ApplyOutcome =
  | { readonly type: 'accepted'; readonly revision: number; readonly hash: string }
  | { readonly type: 'invalid'; readonly issues: readonly Issue[] }
  /** Another file was accepted before; `revision` and `hash` are that file's. */
  | { readonly type: 'conflict'; readonly revision: number; readonly hash: string }
  | { readonly type: 'unavailable'; readonly message: string }
  | { readonly type: 'unknown'; readonly message: string };

/** Parses a fleet file; on failure, the result contains all issues. */
export type FleetParser = (file: string) => Result<Fleet, readonly Issue[]>;

/** Schema of a fleet file with its revision, as peers send it and the key-value service stores it. */
export const fleetRevisionSchema = z.object({
  revision: z.number().int().positive(),
  hash: z.string(),
  file: z.string(),
});

const recordSchema = fleetRevisionSchema.extend({
  /** Attempts that wrote the last revisions, newest first; they show whether a write with a lost answer took effect. */
  attempts: z.array(z.object({ attempt: z.string(), revision: z.number() })).min(1),
});

/** Record stored under the key `config` of the key-value service. */
export type ConfigurationRecord = z.infer<typeof recordSchema>;

/** SHA-256 hash of a fleet file, in hexadecimal. */
export function hashFile(file: string): string {
  return createHash('sha256').update(file).digest('hex');
}

/** Decodes the record of the key-value service; `null` when it is absent or malformed. */
export function decodeRecord(entry: KeyValueEntry | null): ConfigurationRecord | null {
  if (entry === null) return null;
  try {
    return recordSchema.safeParse(JSON.parse(entry.value)).data ?? null;
  } catch {
    return null;
  }
}

/** Number of recent files kept, from which differences can be computed. */
const RECENT_FILES_MAX = 4;

interface AcceptedRevision extends FleetRevision {
  readonly fleet: Fleet;
  readonly source: string;
  readonly acceptedAt: number;
}

/** Options of {@link Revisions}. */
export interface RevisionsOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly meter: Meter;
  readonly parse: FleetParser;
}

/** Keeps the fleet file in force: the highest accepted revision that this process has received, never a lower one. */
export class Revisions {
  private current: AcceptedRevision | null = null;

  private readonly recentFiles: FleetRevision[] = [];

  private readonly listeners = new Set<() => void>();

  public constructor(private readonly options: RevisionsOptions) {}

  /** Revision in force; 0 before the first one. */
  public get revision(): number {
    return this.current?.revision ?? 0;
  }

  /** Fleet file in force, or `null` before the first one. */
  public inForce(): FleetRevision | null {
    if (this.current === null) return null;
    const { revision, hash, file } = this.current;
    return { revision, hash, file };
  }

  /** Parsed fleet file in force, or `null` before the first one. */
  public fleet(): Fleet | null {
    return this.current?.fleet ?? null;
  }

  /** Finds a recent file by revision and hash, to compute a difference from it; `null` if it is not kept. */
  public findRecent(revision: number, hash: string): FleetRevision | null {
    return this.recentFiles.find((item) => item.revision === revision && item.hash === hash) ?? null;
  }

  /** Calls `listener` whenever a new revision is in force. */
  public onChange(listener: () => void): Disposable {
    this.listeners.add(listener);
    return { dispose: () => this.listeners.delete(listener) };
  }

  /**
   * Puts a file from any source in force if its revision is higher, its hash matches and it parses. Returns whether it
   * did; rejected files are logged and counted.
   */
  public adopt(candidate: FleetRevision, source: string): boolean {
    const { clock, log, meter } = this.options;
    const { revision, hash, file } = candidate;
    if (revision <= this.revision) {
      if (revision === this.revision && hash !== this.current?.hash) {
        log.error('two files with one revision', { revision, source });
      }
      return false;
    }
    const parsed = hashFile(file) === hash ? this.options.parse(file) : null;
    if (parsed?.success !== true) {
      meter.count('configuration_rejected', 1, { source });
      log.error('fleet file rejected', { revision, source, reason: parsed === null ? 'hash' : 'invalid' });
      return false;
    }
    this.current = {
      revision, hash, file, fleet: parsed.data, source, acceptedAt: clock.monotonic(),
    };
    this.recentFiles.unshift({ revision, hash, file });
    this.recentFiles.length = Math.min(this.recentFiles.length, RECENT_FILES_MAX);
    meter.gauge('configuration_revision', revision);
    log.info('fleet file in force', { revision, source });
    for (const listener of [...this.listeners]) listener();
    return true;
  }

  /** Dumps the state under stable keys, with ages in ms. */
  public dump(): Record<string, unknown> {
    return {
      revision: this.revision,
      hash: this.current?.hash ?? null,
      source: this.current?.source ?? null,
      age_ms: this.current === null ? null : this.options.clock.monotonic() - this.current.acceptedAt,
      bytes: this.current === null ? 0 : Buffer.byteLength(this.current.file),
      bases: this.recentFiles.map(({ revision }) => revision),
    };
  }
}
