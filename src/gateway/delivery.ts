import type { Clock } from '../core/edges/index.js';
import type { AnswerHead } from './dialect.js';
import type { ResumableEvents } from './events.js';
import type { Refusal } from './outcome.js';
import type { BodySink, Upstream } from './upstream.js';
import type { Delivery, Work } from './work.js';

/** Statuses that promise that a call did not run; only this system gives them, and only where it is certain. */
const PROMISING_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

function unusable(head: AnswerHead): string | null {
  if (head.status < 300 && !head.signed) return 'unsigned success';
  if (PROMISING_STATUSES.has(head.status)) return `status ${head.status} without its promise`;
  return null;
}

/** Options of {@link deliver}. */
export interface DeliveryOptions {
  readonly clock: Clock;
  /** What the caller gets of an answer that broke off before any of it was passed on. */
  readonly brokenBefore: (message: string) => Delivery;
  /** Set where the answer is a stream that may go on at another server. */
  readonly stream: ResumableEvents | null;
}

/** Passes an answer on to the caller as it arrives; one that breaks off does not look complete. */
export function deliver(
  { res, trace, ended }: Work,
  answer: Upstream,
  head: AnswerHead,
  { clock, brokenBefore, stream }: DeliveryOptions,
): Promise<Delivery> {
  const problem = unusable(head);
  if (problem !== null) {
    answer.abort(problem);
    const refusal: Refusal = { code: 'outcome_unknown', message: problem };
    return Promise.resolve({ type: 'refused', refusal });
  }
  return new Promise((resolve) => {
    let upstream = answer;
    let pieceAt = 0;
    const onDrain = (): void => upstream.resume();
    const begin = (): void => {
      if (res.headersSent || res.destroyed) return;
      if (head.endsWithConnection) {
        // The caller must see that nothing but the close vouches for the end.
        res.shouldKeepAlive = false;
        res.useChunkedEncodingByDefault = false;
      }
      res.writeHead(head.status, [...head.headers]);
    };
    const finish = (delivery: Delivery): void => {
      res.off('drain', onDrain);
      resolve(delivery);
    };
    const breakOff = (message: string): void => {
      if (!res.headersSent) {
        finish(brokenBefore(message));
        return;
      }
      // A plain close would make an answer without length look complete.
      if (head.endsWithConnection) res.socket?.resetAndDestroy();
      res.destroy();
      finish({ type: 'cut', reason: ended.aborted ? String(ended.reason) : message });
    };
    const pass = (bytes: Buffer): boolean => {
      if (bytes.length === 0) return true;
      const now = clock.monotonic();
      if (trace.firstMs === null) trace.firstMs = now - trace.arrivedAt;
      else trace.pauseMs = Math.max(trace.pauseMs, now - pieceAt);
      pieceAt = now;
      begin();
      return res.destroyed || res.write(bytes);
    };
    const sink: BodySink = {
      push: (chunk) => pass(stream === null ? chunk : stream.splitter.push(chunk)),
      end: () => {
        if (stream !== null) pass(stream.splitter.flush());
        begin();
        res.end();
        finish({ type: 'delivered', status: head.status });
      },
      failed: (message) => {
        if (stream === null || ended.aborted || res.destroyed) {
          breakOff(message);
          return;
        }
        void stream.resume().then((next) => {
          if (next === null) {
            breakOff(message);
            return;
          }
          upstream = next;
          next.read(sink);
        });
      },
    };
    res.on('drain', onDrain);
    upstream.read(sink);
  });
}
