import type { Clock } from '../core/interfaces/index.js';
import { assertNever } from '../core/result.js';
import type { ConnectionPool } from './connections.js';
import type { ServerRecord } from './serverregistry.js';
import { UpstreamEnd } from './upstream.js';

/**
 * Time in ms after a broken answer within which the other connections to a server that has ended break too. All of them
 * are reset at the same moment.
 */
export const CONFIRM_MS = 10;

/** Number of chunks of an answer after which its prompt counts as proven: the answer has begun and gone on. */
const PROOF_CHUNKS = 2;

/** Call that a server works on. */
export interface Run {
  readonly request: string | null;
  /** Ids of the prompt parts that other requests may share, and then of the whole prompt. */
  readonly parts: readonly string[];
  /** Monotonic time in ms at which the call was written; `null` while it is not. */
  sentAt: number | null;
  /** Whether the server has begun an answer with status 200; a refusal or an error proves nothing of the prompt. */
  isAnswered: boolean;
  /** Number of chunks of that answer's body so far. */
  chunks: number;
  /** Whether the answer broke off with all connections to its server; `null` until that is known. */
  serverEnded: boolean | null;
}

/** Whether the answer of a run has begun and gone on, so that its prompt is not why the server ended. */
export function isProven(run: Run): boolean {
  return run.chunks >= PROOF_CHUNKS;
}

/** Receives what the runs at one server show about their prompts. */
export interface RunsListener {
  /** An answer has gone on or was complete. */
  proven(run: Run): void;
  /** All connections to the server broke at once, with these runs open. */
  ended(runs: readonly Run[]): void;
}

/** Learns which prompts work and which were open when a server ended. */
export interface PromptObserver {
  /** A server has answered a call that was sent at a monotonic time in ms. */
  recordAnswer(record: ServerRecord, sentAt: number): void;
  recordProof(record: ServerRecord, run: Run): void;
  recordEnd(record: ServerRecord, runs: readonly Run[]): void;
  /** Whether any server has ended under a part that is remembered. */
  readonly hasSuspects: boolean;
  /** The part of a prompt under which most servers have ended since it was seen to work, and how many. */
  suspicionOf(service: string, parts: readonly string[]): { readonly part: string; readonly ends: number } | null;
}

/** Runs that are open at one incarnation of a server; finds out from their ends whether the server has ended. */
export class OpenRuns {
  /** Runs whose answers broke off a short time ago. */
  private broken: Run[] = [];

  public constructor(
    private readonly clock: Clock,
    private readonly pool: ConnectionPool,
    private readonly listener: RunsListener,
  ) {}

  /** Creates a run that is not written yet. */
  public create(request: string | null, parts: readonly string[]): Run {
    return {
      request, parts, sentAt: null, isAnswered: false, chunks: 0, serverEnded: null,
    };
  }

  /** Records that the call of a run was written. */
  public written(run: Run): void {
    run.sentAt = this.clock.monotonic();
  }

  /** Records that an answer with status 200 has begun. */
  public answered(run: Run): void {
    run.isAnswered = true;
  }

  /** Records a chunk of an answer's body. */
  public receivedChunk(run: Run): void {
    if (!run.isAnswered) return;
    run.chunks += 1;
    if (run.chunks === PROOF_CHUNKS) this.listener.proven(run);
  }

  /** Records the end of a run. */
  public end(run: Run, how: UpstreamEnd): void {
    run.serverEnded = how === UpstreamEnd.Broken && run.sentAt !== null ? null : false;
    if (run.sentAt === null) return;
    switch (how) {
      case UpstreamEnd.Complete:
        if (run.isAnswered && !isProven(run)) this.listener.proven(run);
        break;
      case UpstreamEnd.Broken:
        this.broken.push(run);
        if (this.broken.length === 1) this.confirmEnd();
        break;
      case UpstreamEnd.Aborted:
        break;
      default: assertNever(how);
    }
  }

  /** A server that breaks off single answers keeps its other connections. */
  private confirmEnd(): void {
    const newest = this.pool.newestConnection;
    this.clock.after(CONFIRM_MS, () => {
      const runs = this.broken;
      this.broken = [];
      const hasEnded = !this.pool.hasOpenConnection(newest);
      for (const run of runs) run.serverEnded = hasEnded;
      if (hasEnded) this.listener.ended(runs);
    });
  }
}
