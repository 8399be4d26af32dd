import { createHash } from 'node:crypto';
import { z } from 'zod';
import type {
  Clock, Disposable, KeyValueEntry, Log, Meter,
} from '../edges/index.js';
import type { Fleet } from './fleet.js';
import type { Issue } from '../issues.js';
import type { Result } from '../result.js';

/** Fleet file in force. */
export interface InForce {
  readonly revision: number;
  readonly hash: string;
  readonly file: string;
}

/** Outcome of applying a fleet file. */
export type ApplyOutcome =
  | { readonly type: 'accepted'; readonly revision: number; readonly hash: string }
  | { readonly type: 'invalid'; readonly issues: readonly Issue[] }
  /** Another file was accepted first. */
  | { readonly type: 'conflict'; readonly revision: number; readonly hash: string }
  | { readonly type: 'unavailable'; readonly message: string }
  | { readonly type: 'unknown'; readonly message: string };

/** Reads a fleet file and reports all of its issues. */
export type FleetParser = (file: string) => Result<Fleet, readonly Issue[]>;

export const inForceSchema = z.object({
  revision: z.number().int().positive(),
  hash: z.string(),
  file: z.string(),
});

const recordSchema = inForceSchema.extend({
  /** Attempts that led to the last revisions, newest first; they settle lost answers. */
  attempts: z.array(z.object({ attempt: z.string(), revision: z.number() })).min(1),
});

/** Record under the key `config` of the key-value service. */
export type ConfigurationRecord = z.infer<typeof recordSchema>;

/** Hash that identifies the content of a fleet file. */
export function hashFile(file: string): string {
  return createHash('sha256').update(file).digest('hex');
}

/** Decodes a record of the key-value service; `null` when it is absent or malformed. */
export function decodeRecord(entry: KeyValueEntry | null): ConfigurationRecord | null {
  if (entry === null) return null;
  try {
    return recordSchema.safeParse(JSON.parse(entry.value)).data ?? null;
  } catch {
    return null;
  }
}

const BASES_KEPT = 4;

interface Held extends InForce {
  readonly fleet: Fleet;
  readonly source: string;
  readonly at: number;
}

/** Options of {@link Revisions}. */
export interface RevisionsOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly meter: Meter;
  readonly parse: FleetParser;
}

/** Highest accepted fleet file that this process has seen; it is never replaced by a lower one. */
export class Revisions {
  private held: Held | null = null;

  private readonly bases: InForce[] = [];

  private readonly listeners = new Set<() => void>();

  public constructor(private readonly options: RevisionsOptions) {}

  /** Revision in force, 0 before the first. */
  public get revision(): number {
    return this.held?.revision ?? 0;
  }

  public inForce(): InForce | null {
    if (this.held === null) return null;
    const { revision, hash, file } = this.held;
    return { revision, hash, file };
  }

  public fleet(): Fleet | null {
    return this.held?.fleet ?? null;
  }

  /** One of the last files by revision and hash, as the base of a difference. */
  public base(revision: number, hash: string): InForce | null {
    return this.bases.find((item) => item.revision === revision && item.hash === hash) ?? null;
  }

  public onChange(listener: () => void): Disposable {
    this.listeners.add(listener);
    return { dispose: () => this.listeners.delete(listener) };
  }

  /** Takes a file from any source if its revision is higher, its hash matches and it can be read. */
  public adopt(candidate: InForce, source: string): boolean {
    const { clock, log, meter } = this.options;
    const { revision, hash, file } = candidate;
    if (revision <= this.revision) {
      if (revision === this.revision && hash !== this.held?.hash) {
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
    this.held = {
      revision, hash, file, fleet: parsed.data, source, at: clock.monotonic(),
    };
    this.bases.unshift({ revision, hash, file });
    this.bases.length = Math.min(this.bases.length, BASES_KEPT);
    meter.gauge('configuration_revision', revision);
    log.info('fleet file in force', { revision, source });
    for (const listener of [...this.listeners]) listener();
    return true;
  }

  public dump(): Record<string, unknown> {
    return {
      revision: this.revision,
      hash: this.held?.hash ?? null,
      source: this.held?.source ?? null,
      age_ms: this.held === null ? null : this.options.clock.monotonic() - this.held.at,
      bytes: this.held === null ? 0 : Buffer.byteLength(this.held.file),
      bases: this.bases.map(({ revision }) => revision),
    };
  }
}
