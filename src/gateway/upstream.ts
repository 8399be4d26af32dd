import type {
  AnswerHead, Call, Dialect, SendPlan,
} from './dialect.js';
import { Execution } from './dialect.js';
import type { AnswerSink, ConnectionPool, Transfer } from './connections.js';

/** What became of one send, up to the head of its answer. */
export type SendOutcome =
  /** No byte of the call was written. */
  | { readonly type: 'not_sent'; readonly message: string }
  /** The backend server states that it did not run the call. */
  | { readonly type: 'not_executed'; readonly status: number; readonly message: string }
  /** The call was written, and whether it ran is unknown. */
  | { readonly type: 'broken'; readonly message: string }
  | { readonly type: 'answered'; readonly head: AnswerHead };

/** Receives the body of an answer; `push` returns whether more may follow now. */
export interface BodySink {
  push(chunk: Buffer): boolean;
  end(): void;
  failed(message: string): void;
}

/** Bytes of a body that may arrive before it is read; the connection is paused beyond them. */
const MAX_EARLY_BYTES = 65_536;

/** Largest body of a refusal in bytes; its connection is closed beyond it. */
const MAX_REFUSAL_BYTES = 16_384;

/** One send of a call to a backend server. */
export class Upstream implements AnswerSink {
  /** Settles with the head of the answer, or with the reason why there is none. */
  public readonly outcome: Promise<SendOutcome>;

  /** Settles once the backend server no longer works on the call, as far as this process knows. */
  public readonly closed: Promise<void>;

  private readonly transfer: Transfer;

  private written = false;

  private settled = false;

  private ended: 'open' | 'complete' | 'broken' = 'open';

  private failure = '';

  private readonly early: Buffer[] = [];

  private earlyBytes = 0;

  private body: BodySink | null = null;

  private settle: (outcome: SendOutcome) => void = () => {};

  private close: () => void = () => {};

  public constructor(
    private readonly call: Call,
    private readonly dialect: Dialect,
    pool: ConnectionPool,
    plan: SendPlan,
    body: Buffer | null,
    private readonly onWritten: () => void = () => {},
  ) {
    this.outcome = new Promise((resolve) => {
      this.settle = resolve;
    });
    this.closed = new Promise((resolve) => {
      this.close = resolve;
    });
    this.transfer = pool.send({
      method: call.method, path: call.target, headers: dialect.sendHeaders(call, plan), body,
    }, this);
  }

  /** Gives the call up; the outcome is `broken` unless it is settled already. */
  public abort(message: string): void {
    this.transfer.abort();
    this.failed(message);
  }

  /** Passes the body on to `sink`, beginning with what has arrived already. */
  public read(sink: BodySink): void {
    this.body = sink;
    let more = true;
    for (const chunk of this.early.splice(0)) more = sink.push(chunk);
    if (this.ended === 'complete') sink.end();
    else if (this.ended === 'broken') sink.failed(this.failure);
    else if (!more) this.transfer.pause();
    else if (this.earlyBytes > MAX_EARLY_BYTES) this.transfer.resume();
  }

  /** Lets a paused body go on. */
  public resume(): void {
    this.transfer.resume();
  }

  /** Whole body of at most `limit` bytes, or `null` where it broke off or is larger. */
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

  public sent(): void {
    this.written = true;
    this.onWritten();
  }

  public head(status: number, headers: Readonly<Record<string, string | string[] | undefined>>): void {
    const head = this.dialect.readHead(this.call, status, headers);
    if (!head.matches) this.abort('the answer belongs to another call');
    else if (head.execution === Execution.NotExecuted) {
      this.finish({ type: 'not_executed', status, message: `refused with status ${status}` });
      // Nobody waits for the rest, which only frees the connection for the next call.
      void this.collect(MAX_REFUSAL_BYTES);
    } else this.finish({ type: 'answered', head });
  }

  public data(chunk: Buffer): void {
    if (this.ended !== 'open') return;
    if (this.body === null) {
      this.early.push(chunk);
      this.earlyBytes += chunk.length;
      if (this.earlyBytes > MAX_EARLY_BYTES) this.transfer.pause();
    } else if (!this.body.push(chunk)) this.transfer.pause();
  }

  public end(): void {
    if (this.ended !== 'open') return;
    this.ended = 'complete';
    this.finish({ type: 'broken', message: 'the answer has no head' });
    this.body?.end();
    this.close();
  }

  public failed(message: string): void {
    if (this.ended !== 'open') return;
    this.ended = 'broken';
    this.failure = message;
    this.finish(this.written ? { type: 'broken', message } : { type: 'not_sent', message });
    this.body?.failed(message);
    this.close();
  }

  private finish(outcome: SendOutcome): void {
    if (this.settled) return;
    this.settled = true;
    this.settle(outcome);
  }
}
