import type { AnswerHead } from './codec.js';
import type { ServerRecord } from './serverregistry.js';
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

/**
 * Ends of an empty line, which ends an event; only CR, LF and both together end a line. A CR after a LF counts only
 * with the byte after it, which may be the LF that belongs to it.
 */
const EMPTY_LINE_ENDS = ['\n\n', '\n\r\n', '\r\r'];

/** Length in bytes of the complete events at the beginning of `bytes`. */
function wholeEventsLength(bytes: Buffer): number {
  return Math.max(0, ...EMPTY_LINE_ENDS.map((end) => {
    const at = bytes.lastIndexOf(end);
    return at === -1 ? 0 : at + end.length;
  }));
}

/** Id that a line sets, or `null` for any other line. */
function idOfLine(line: string): string | null {
  if (line === 'id') return '';
  return line.startsWith('id:') ? line.slice(line.startsWith('id: ') ? 4 : 3) : null;
}

/** Id that the last of the lines that have one sets, or `null`. */
function lastIdOf(events: Buffer): string | null {
  for (const line of events.toString('utf8').split(/\r\n|\n|\r/).reverse()) {
    const id = idOfLine(line);
    if (id !== null) return id;
  }
  return null;
}

/** Number of bytes in which an empty line, and with it the end of an event, can be recognized. */
const TERMINATOR_BYTES = 4;

/** Knows whether a stream has stopped inside an event; then it has broken off, also where its connection was closed. */
export class EventBoundary {
  private tail: Buffer = Buffer.alloc(0);

  /** Whether the bytes so far end inside an event. */
  public get isInsideEvent(): boolean {
    const tail = this.tail.toString('latin1');
    return tail !== '' && !EMPTY_LINE_ENDS.some((end) => tail.endsWith(end));
  }

  public push(chunk: Buffer): void {
    this.tail = Buffer.concat([this.tail, chunk.subarray(-TERMINATOR_BYTES)]).subarray(-TERMINATOR_BYTES);
  }

  /** Begins anew, with a further run of the stream. */
  public reset(): void {
    this.tail = Buffer.alloc(0);
  }
}

/** Passes on the body of an answer without length, so that a caller can tell whether this process has cut it. */
export interface HeldBody {
  /** Takes a chunk and returns the bytes that may be passed on now; may be empty. */
  push(chunk: Buffer): Buffer;
  /** Removes and returns the bytes that are held, once the answer has ended. */
  flush(): Buffer;
}

/**
 * Holds the end of the last event of a stream until more follows or the stream ends. If this process ends before, the
 * operating system closes the connection to the caller in the ordinary way, inside an event.
 */
export class HeldEventEnd implements HeldBody {
  private held: Buffer = Buffer.alloc(0);

  public push(chunk: Buffer): Buffer {
    const bytes = Buffer.concat([this.held, chunk]);
    const end = EMPTY_LINE_ENDS.find((empty) => bytes.subarray(-empty.length).toString('latin1') === empty);
    // The whole empty line: a caller may take its CR alone for one.
    const length = end === undefined ? 0 : end.length - 1;
    this.held = bytes.subarray(bytes.length - length);
    return bytes.subarray(0, bytes.length - length);
  }

  public flush(): Buffer {
    const { held } = this;
    this.held = Buffer.alloc(0);
    return held;
  }
}

/** Largest body without length, in bytes, that is held until its end. */
const MAX_HELD_BYTES = 65_536;

/** Holds a body that is no stream until its end, so that its bytes and the close leave this process together. */
export class HeldWholeBody implements HeldBody {
  private chunks: Buffer[] = [];

  private size = 0;

  public push(chunk: Buffer): Buffer {
    this.chunks.push(chunk);
    this.size += chunk.length;
    return this.size > MAX_HELD_BYTES ? this.flush() : Buffer.alloc(0);
  }

  public flush(): Buffer {
    const bytes = Buffer.concat(this.chunks);
    this.chunks = [];
    return bytes;
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
    this.lastEventId = lastIdOf(whole) ?? this.lastEventId;
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
  /** Server that runs it. */
  readonly server: ServerRecord;
}

/** What a {@link ResumableStream} asks of its call. */
export interface StreamCall {
  /** Starts a run after an event at a server other than `failed`; `begun` is the server of the first event, if any. */
  startRun(lastEventId: string | null, failed: ServerRecord, begun: ServerRecord | null): Promise<ResumedStream | null>;
  /** Called before the first event is passed on. */
  began(server: ServerRecord): void;
}

/** Event stream that is resumed at another server when it breaks off. */
export class ResumableStream {
  private readonly splitter = new EventSplitter();

  private resumes = 0;

  /** Server that brought the first event. */
  private begun: ServerRecord | null = null;

  public constructor(private readonly call: StreamCall, private server: ServerRecord) {}

  /** Id of the last complete event that had an id, or `null`. */
  public get lastEventId(): string | null {
    return this.splitter.lastEventId;
  }

  /** Adds a chunk and returns the events that it completes; may be empty. */
  public push(chunk: Buffer): Buffer {
    return this.passOn(this.splitter.push(chunk));
  }

  /** Removes and returns the bytes of an event that is not complete. */
  public flush(): Buffer {
    return this.passOn(this.splitter.flush());
  }

  /** Starts a run that continues after the last complete event; `null` where that is not possible or not allowed. */
  public async resume(): Promise<Upstream | null> {
    if (this.resumes === MAX_RESUMES || this.splitter.oversized) return null;
    this.resumes += 1;
    // The new run sends the event again of which only a part has arrived.
    this.splitter.flush();
    const resumed = await this.call.startRun(this.splitter.lastEventId, this.server, this.begun);
    if (resumed === null) return null;
    this.server = resumed.server;
    return resumed.upstream;
  }

  private passOn(bytes: Buffer): Buffer {
    if (bytes.length > 0 && this.begun === null) {
      this.begun = this.server;
      this.call.began(this.server);
    }
    return bytes;
  }
}
