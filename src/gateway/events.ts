import type { AnswerHead } from './codec.js';
import type { Upstream } from './upstream.js';

const EVENT_STREAM = 'text/event-stream';

/** Largest event in bytes that is buffered until it is complete; a larger one is passed on in pieces. */
const MAX_EVENT_BYTES = 262_144;

/** Largest number of times that one answer is resumed at another server. */
const MAX_RESUMES = 3;

/** Whether an answer is an event stream without a length. */
export function isEventStream({ status, headers }: AnswerHead): boolean {
  if (status !== 200) return false;
  const valueOf = (wanted: string): string | undefined => (
    headers.find((_value, index) => index % 2 === 1 && headers[index - 1] === wanted)
  );
  return valueOf('content-type')?.startsWith(EVENT_STREAM) === true && valueOf('content-length') === undefined;
}

/** Length in bytes of the complete events at the beginning of `bytes`; an empty line ends an event. */
function wholeEventsLength(bytes: Buffer): number {
  return Math.max(0, ...['\n\n', '\r\n\r\n'].map((terminator) => {
    const at = bytes.lastIndexOf(terminator);
    return at === -1 ? 0 : at + terminator.length;
  }));
}

/** Number of bytes in which an empty line, and with it the end of an event, can be recognized. */
const TERMINATOR_BYTES = 4;

/** Knows whether a stream has stopped inside an event; then it has broken off, also where its connection was closed. */
export class EventBoundary {
  private tail: Buffer = Buffer.alloc(0);

  /** Whether the bytes so far end inside an event. */
  public get isInsideEvent(): boolean {
    return this.tail.length > 0 && !/(?:\n\n|\n\r\n|\r\r)$/.test(this.tail.toString('latin1'));
  }

  public push(chunk: Buffer): void {
    this.tail = Buffer.concat([this.tail, chunk.subarray(-TERMINATOR_BYTES)]).subarray(-TERMINATOR_BYTES);
  }

  /** Begins anew, with a further run of the stream. */
  public reset(): void {
    this.tail = Buffer.alloc(0);
  }
}

/**
 * Splits a stream into complete events without changing the bytes that the server sent. A parser would return the
 * fields of the events, and events that are written from them may differ from the server's bytes.
 */
export class EventSplitter {
  /** Id of the last complete event that had an id, or `null`. */
  public lastEventId: string | null = null;

  /** Whether an event was passed on in pieces. */
  public oversized = false;

  private incompleteEvent: Buffer = Buffer.alloc(0);

  /** Adds a chunk and returns the events that it completes; may be empty. */
  public push(chunk: Buffer): Buffer {
    const bytes = this.incompleteEvent.length === 0 ? chunk : Buffer.concat([this.incompleteEvent, chunk]);
    const length = wholeEventsLength(bytes);
    const whole = bytes.subarray(0, length);
    this.incompleteEvent = bytes.subarray(length);
    const ids = [...whole.toString('utf8').matchAll(/^id: ?([^\r\n]*)/gm)];
    this.lastEventId = ids.at(-1)?.[1] ?? this.lastEventId;
    if (this.incompleteEvent.length <= MAX_EVENT_BYTES) return whole;
    this.oversized = true;
    return Buffer.concat([whole, this.flush()]);
  }

  /** Removes and returns the bytes of an event that is not complete. */
  public flush(): Buffer {
    const { incompleteEvent } = this;
    this.incompleteEvent = Buffer.alloc(0);
    return incompleteEvent;
  }
}

/** Further run of a stream at another server. */
export interface ResumedStream {
  readonly upstream: Upstream;
  /** Id of the server that runs it. */
  readonly server: string;
}

/** Event stream that is resumed at another server when it breaks off. */
export class ResumableStream {
  public readonly splitter = new EventSplitter();

  private resumes = 0;

  public constructor(
    private readonly startRun: (lastEventId: string | null, failed: string) => Promise<ResumedStream | null>,
    private server: string,
  ) {}

  /** Starts a run that continues after the last complete event; `null` where that is not possible or not allowed. */
  public async resume(): Promise<Upstream | null> {
    if (this.resumes === MAX_RESUMES || this.splitter.oversized) return null;
    this.resumes += 1;
    // The new run sends the event again of which only a part has arrived.
    this.splitter.flush();
    const resumed = await this.startRun(this.splitter.lastEventId, this.server);
    if (resumed === null) return null;
    this.server = resumed.server;
    return resumed.upstream;
  }
}
