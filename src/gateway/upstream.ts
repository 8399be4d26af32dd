import type {
  AnswerHead, Call, Codec, SendPlan,
} from './codec.js';
import { Execution } from './codec.js';
import { ConnectionState } from './connections.js';
import type { AnswerSink, ConnectionPool, OngoingRequest } from './connections.js';

/** Outcome of one send, up to the head of its answer. */
export type SendOutcome =
  /** No byte of the call was written. */
  | { readonly type: 'not_sent'; readonly message: string }
  /** The same, because the observer had it held back just before; this says nothing of the backend server. */
  | { readonly type: 'withheld'; readonly message: string }
  /** The backend server states that it did not execute the call. */
  | {
    readonly type: 'not_executed';
    readonly status: number;
    readonly message: string;
    readonly serverLeaves: boolean;
    readonly pauseMs: number | null;
  }
  /** The call was written, and it is unknown whether it was executed. */
  | { readonly type: 'broken'; readonly message: string; readonly pauseMs: number | null }
  | { readonly type: 'answered'; readonly head: AnswerHead };

/** How the answer to one send ended. */
export enum UpstreamEnd {
  Complete = 'complete',
  /** The connection broke, or the answer is not one. */
  Broken = 'broken',
  /** This process gave the call up. */
  Aborted = 'aborted',
}

/** How the answer to one send ended, for the log line of the call. */
export interface AnswerEnd {
  readonly how: UpstreamEnd;
  /** State of the server's connection just before this process closed it, if it did. */
  readonly connection: ConnectionState;
  /** Bytes of the body that had arrived. */
  readonly bytes: number;
}

/** Observes one send. */
export interface UpstreamObserver {
  /** Whether the call may still be written; always by default. */
  mayBeSent?(): boolean;
  /** The call is being written. */
  written?(): void;
  /** The head of an answer to a call that the server has executed has arrived. */
  answered?(head: AnswerHead): void;
  /** A chunk of the body of such an answer has arrived. */
  chunk?(): void;
  /** The answer has ended, before anybody else learns of it. */
  ended?(end: AnswerEnd): void;
}

/** Receives the body of an answer. */
export interface BodySink {
  /** Takes a chunk and returns whether more may follow now; otherwise the body is paused. */
  push(chunk: Buffer): boolean;
  end(): void;
  failed(message: string): void;
}

/** Largest number of body bytes that are buffered before the body is read; then the connection is paused. */
const MAX_UNREAD_BYTES = 65_536;

/** Largest body of a refusal in bytes; the connection of a larger one is closed. */
const MAX_REFUSAL_BYTES = 16_384;

/** One send of a call to a backend server. */
export class Upstream implements AnswerSink {
  /** Resolves with the head of the answer, or with the reason why there is none. */
  public readonly outcome: Promise<SendOutcome>;

  /**
   * Resolves once the answer has ended, has broken off or was aborted. As far as this process knows, the backend server
   * then no longer works on the call.
   */
  public readonly closed: Promise<UpstreamEnd>;

  private readonly request: OngoingRequest;

  private isWritten = false;

  private isResolved = false;

  private isWithheld = false;

  private isAborted = false;

  /** Whether the head of an answer has arrived that is no refusal. */
  private isAnswered = false;

  /** Pause in ms that an answer asked for which may belong to another call; `null` if it did not. */
  private pauseMs: number | null = null;

  private bodyState: 'open' | 'complete' | 'broken' = 'open';

  private failure = '';

  private readonly unreadChunks: Buffer[] = [];

  private unreadBytes = 0;

  private receivedBytes = 0;

  private bodySink: BodySink | null = null;

  private resolveOutcome: (outcome: SendOutcome) => void = () => {};

  private resolveClosed: (how: UpstreamEnd) => void = () => {};

  public constructor(
    private readonly call: Call,
    private readonly codec: Codec,
    pool: ConnectionPool,
    plan: SendPlan,
    body: Buffer | null,
    private readonly observer: UpstreamObserver = {},
  ) {
    this.outcome = new Promise((resolve) => {
      this.resolveOutcome = resolve;
    });
    this.closed = new Promise((resolve) => {
      this.resolveClosed = resolve;
    });
    this.request = pool.send({
      method: call.method, path: call.target, headers: codec.sendHeaders(call, plan), body, id: call.id,
    }, this);
  }

  /**
   * Aborts the call; the outcome becomes `broken`, or `not_sent` if nothing was written, unless it is known already.
   */
  public abort(message: string): void {
    this.isAborted = true;
    this.request.abort();
    this.failed(message, ConnectionState.Open);
  }

  /** Passes the body on to `sink`, starting with the bytes that have arrived already. */
  public read(sink: BodySink): void {
    this.bodySink = sink;
    let more = true;
    for (const chunk of this.unreadChunks.splice(0)) more = sink.push(chunk);
    if (this.bodyState === 'complete') sink.end();
    else if (this.bodyState === 'broken') sink.failed(this.failure);
    else if (!more) this.request.pause();
    else if (this.unreadBytes > MAX_UNREAD_BYTES) this.request.resume();
  }

  /** Resumes a paused body. */
  public resume(): void {
    this.request.resume();
  }

  /** Reads the whole body; `null` where it breaks off or has more than `limit` bytes. */
  public collect(limit: number): Promise<Buffer | null> {
    return new Promise((resolve) => {
      const chunks: Buffer[] = [];
      let size = 0;
      this.read({
        push: (chunk) => {
          size += chunk.length;
          if (size > limit) this.abort('answer too large');
          else chunks.push(chunk);
          return true;
        },
        end: () => resolve(Buffer.concat(chunks)),
        failed: () => resolve(null),
      });
    });
  }

  public mayBeSent(): boolean {
    this.isWithheld = this.observer.mayBeSent?.() === false;
    return !this.isWithheld;
  }

  public sent(): void {
    this.isWritten = true;
    this.observer.written?.();
  }

  public head(
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
    isReused: boolean,
  ): void {
    const head = this.codec.readHead(this.call, status, headers);
    // On a connection with an earlier request, an answer without an id may be a copy of the one to that request.
    if (!head.matchesCall || (isReused && !head.namesCall)) {
      // A copy of an answer without an id at most prolongs a pause for which the server has asked.
      if (!head.namesCall) this.pauseMs = head.pauseMs;
      this.abort('the answer belongs to another call');
    } else if (head.execution === Execution.NotExecuted) {
      const { serverLeaves, pauseMs } = head;
      this.finish({
        type: 'not_executed', status, message: `refused with status ${status}`, serverLeaves, pauseMs,
      });
      // The body is read only so that the connection can be used for the next call.
      void this.collect(MAX_REFUSAL_BYTES);
    } else {
      this.isAnswered = true;
      this.observer.answered?.(head);
      this.finish({ type: 'answered', head });
    }
  }

  public data(chunk: Buffer): void {
    if (this.bodyState !== 'open') return;
    this.receivedBytes += chunk.length;
    if (this.isAnswered) this.observer.chunk?.();
    if (this.bodySink === null) {
      this.unreadChunks.push(chunk);
      this.unreadBytes += chunk.length;
      if (this.unreadBytes > MAX_UNREAD_BYTES) this.request.pause();
    } else if (!this.bodySink.push(chunk)) this.request.pause();
  }

  public end(connection: ConnectionState): void {
    if (this.bodyState !== 'open') return;
    this.bodyState = 'complete';
    this.observer.ended?.({ how: UpstreamEnd.Complete, connection, bytes: this.receivedBytes });
    this.finish({ type: 'broken', message: 'the answer has no head', pauseMs: null });
    this.bodySink?.end();
    this.resolveClosed(UpstreamEnd.Complete);
  }

  public failed(message: string, connection: ConnectionState): void {
    if (this.bodyState !== 'open') return;
    this.bodyState = 'broken';
    this.failure = message;
    const how = this.isAborted ? UpstreamEnd.Aborted : UpstreamEnd.Broken;
    this.observer.ended?.({ how, connection, bytes: this.receivedBytes });
    if (this.isWritten) this.finish({ type: 'broken', message, pauseMs: this.pauseMs });
    else this.finish({ type: this.isWithheld ? 'withheld' : 'not_sent', message });
    this.bodySink?.failed(message);
    this.resolveClosed(how);
  }

  private finish(outcome: SendOutcome): void {
    if (this.isResolved) return;
    this.isResolved = true;
    this.resolveOutcome(outcome);
  }
}
