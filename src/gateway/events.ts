import type { AnswerHead } from './dialect.js';
import type { Upstream } from './upstream.js';

const EVENT_STREAM = 'text/event-stream';

/** Largest event that is kept until it is whole, in bytes; a larger one is passed on in pieces. */
const MAX_EVENT_BYTES = 262_144;

/** Times that one answer goes on at another server. */
const MAX_RESUMES = 3;

/** Whether an answer is a stream of events that ends with more than the close of its connection. */
export function isEventStream({ status, headers, endsWithConnection }: AnswerHead): boolean {
  if (status !== 200 || endsWithConnection) return false;
  const valueOf = (wanted: string): string | undefined => (
    headers.find((_value, index) => index % 2 === 1 && headers[index - 1] === wanted)
  );
  return valueOf('content-type')?.startsWith(EVENT_STREAM) === true && valueOf('content-length') === undefined;
}

/** Length of the part of `bytes` that ends with the end of an event, an empty line; 0 where there is none. */
function wholeLength(bytes: Buffer): number {
  return Math.max(0, ...['\n\n', '\r\n\r\n'].map((end) => {
    const at = bytes.lastIndexOf(end);
    return at === -1 ? 0 : at + end.length;
  }));
}

/**
 * Divides a stream into whole events, as the bytes that the server sent. A parser would give the fields of the events,
 * and what is written from them may differ from the server's bytes.
 */
export class EventSplitter {
  /** Id of the last whole event that had one. */
  public lastEventId: string | null = null;

  /** Whether an event was passed on in pieces. */
  public oversized = false;

  private rest: Buffer = Buffer.alloc(0);

  /** Whole events that a chunk completes; may be empty. */
  public push(chunk: Buffer): Buffer {
    const bytes = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    const length = wholeLength(bytes);
    const whole = bytes.subarray(0, length);
    this.rest = bytes.subarray(length);
    const ids = [...whole.toString('utf8').matchAll(/^id: ?([^\r\n]*)/gm)];
    this.lastEventId = ids.at(-1)?.[1] ?? this.lastEventId;
    if (this.rest.length <= MAX_EVENT_BYTES) return whole;
    this.oversized = true;
    return Buffer.concat([whole, this.flush()]);
  }

  /** What has arrived of an event that is not whole. */
  public flush(): Buffer {
    const { rest } = this;
    this.rest = Buffer.alloc(0);
    return rest;
  }
}

/** Another run of a stream. */
export interface Resumed {
  readonly upstream: Upstream;
  readonly server: string;
}

/** Stream that goes on at another server where its own breaks off. */
export class ResumableEvents {
  public readonly splitter = new EventSplitter();

  private resumes = 0;

  public constructor(
    private readonly run: (lastEventId: string | null, failed: string) => Promise<Resumed | null>,
    private server: string,
  ) {}

  /** Run that begins after the last whole event, or `null` where there is none. */
  public async resume(): Promise<Upstream | null> {
    if (this.resumes === MAX_RESUMES || this.splitter.oversized) return null;
    this.resumes += 1;
    // The rest of an event that was broken off comes again, whole.
    this.splitter.flush();
    const resumed = await this.run(this.splitter.lastEventId, this.server);
    if (resumed === null) return null;
    this.server = resumed.server;
    return resumed.upstream;
  }
}
