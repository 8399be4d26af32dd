import type { Clock } from '../core/interfaces/index.js';
import type { AnswerMemory } from './answermemory.js';
import type { AnswerHead } from './codec.js';
import {
  EventBoundary, HeldEventEnd, HeldWholeBody, isEventStream,
} from './events.js';
import type { HeldBody, ResumableStream } from './events.js';
import type { Refusal } from './outcome.js';
import { shareHolder } from './shares/index.js';
import type { BodySink, Upstream } from './upstream.js';
import type { Delivery, CallContext } from './callcontext.js';

/**
 * Statuses that tell a caller that its call was not executed. Only the gateway may send them, and only where that is
 * certain; an answer of a backend server with one of them is not passed on.
 */
const NOT_EXECUTED_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Why an answer must not be passed on to the caller, or `null` where it may. */
function findProblem(head: AnswerHead): string | null {
  if (head.status < 300 && !head.signed) return 'unsigned success';
  if (NOT_EXECUTED_STATUSES.has(head.status)) return `status ${head.status} without its promise`;
  return null;
}

/** How a body without length is held; `null` for one whose framing shows where it ends. */
function heldBodyOf(head: AnswerHead): HeldBody | null {
  if (!head.endsWithConnection) return null;
  return isEventStream(head) ? new HeldEventEnd() : new HeldWholeBody();
}

/** Options of {@link deliver}. */
export interface DeliveryOptions {
  readonly clock: Clock;
  readonly memory: AnswerMemory;
  /** Result for the caller where the answer broke off before any of it was passed on. */
  readonly deliveryIfNothingSent: (message: string) => Delivery;
  /** Not `null` where the answer is a stream that may be resumed at another server. */
  readonly stream: ResumableStream | null;
}

/** Passes an answer on to the caller as it arrives. An answer that breaks off never looks complete to the caller. */
export function deliver(
  {
    res, trace, ended, caller,
  }: CallContext,
  answer: Upstream,
  head: AnswerHead,
  {
    clock, memory, deliveryIfNothingSent, stream,
  }: DeliveryOptions,
): Promise<Delivery> {
  const problem = findProblem(head);
  if (problem !== null) {
    answer.abort(problem);
    const refusal: Refusal = { code: 'outcome_unknown', message: problem };
    return Promise.resolve({ type: 'refused', refusal });
  }
  return new Promise((resolve) => {
    let upstream = answer;
    let lastChunkAt = 0;
    let drop = (): void => {};
    const kept = memory.open(caller.type === 'unchecked' ? null : shareHolder(caller), () => drop());
    // An answer that is complete stays in memory until its caller has read it.
    res.once('close', () => kept.dispose());
    const boundary = isEventStream(head) ? new EventBoundary() : null;
    const held = heldBodyOf(head);
    const onDrain = (): void => {
      kept.keep(0);
      upstream.resume();
    };
    const sendHead = (): void => {
      if (res.headersSent || res.destroyed) return;
      if (head.endsWithConnection) {
        // Nobody can tell whether the answer is whole, so it must not be framed as if it were.
        res.shouldKeepAlive = false;
        res.useChunkedEncodingByDefault = false;
      }
      res.writeHead(head.status, [...head.headers]);
    };
    let isDelivered = false;
    const finish = (delivery: Delivery): void => {
      isDelivered = delivery.type === 'delivered';
      trace.lastEventId = stream?.splitter.lastEventId ?? null;
      res.off('drain', onDrain);
      resolve(delivery);
    };
    const abortAnswer = (message: string): void => {
      if (!res.headersSent) {
        finish(deliveryIfNothingSent(message));
        return;
      }
      // After an ordinary close, a truncated answer without length would look complete.
      if (head.endsWithConnection) res.socket?.resetAndDestroy();
      // What was written last leaves the process first, so that the caller can resume after it.
      setImmediate(() => res.destroy());
      finish({ type: 'cut', reason: ended.aborted ? String(ended.reason) : message });
    };
    const writeChunk = (bytes: Buffer): boolean => {
      if (bytes.length === 0) return true;
      const now = clock.monotonic();
      if (trace.firstMs === null) trace.firstMs = now - trace.arrivedAt;
      else trace.pauseMs = Math.max(trace.pauseMs, now - lastChunkAt);
      lastChunkAt = now;
      trace.passedBytes += bytes.length;
      sendHead();
      return res.destroyed || res.write(bytes) || kept.keep(res.writableLength);
    };
    drop = () => {
      upstream.abort('unread');
      if (isDelivered) res.socket?.destroy();
      else abortAnswer('unread for too long');
    };
    const sink: BodySink = {
      push: (chunk) => {
        boundary?.push(chunk);
        const bytes = stream === null ? chunk : stream.splitter.push(chunk);
        return writeChunk(held === null || bytes.length === 0 ? bytes : held.push(bytes));
      },
      end: () => {
        if (boundary?.isInsideEvent === true) {
          sink.failed('the stream ended inside an event');
          return;
        }
        const rest = stream === null ? Buffer.alloc(0) : stream.splitter.flush();
        writeChunk(held === null ? rest : Buffer.concat([held.push(rest), held.flush()]));
        sendHead();
        res.end();
        kept.keep(res.writableLength);
        finish({ type: 'delivered', status: head.status });
      },
      failed: (message) => {
        if (stream === null || ended.aborted || res.destroyed) {
          abortAnswer(message);
          return;
        }
        void stream.resume().then((next) => {
          if (next === null) {
            abortAnswer(message);
            return;
          }
          upstream = next;
          boundary?.reset();
          next.read(sink);
        });
      },
    };
    res.on('drain', onDrain);
    upstream.read(sink);
  });
}
