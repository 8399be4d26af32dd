import type {
  Answer, AnswerEvent, EntryApi, GenerateRequest, ServiceRequest,
} from '../../src/daemon/api.js';
import { FinishReason } from '../../src/core/interfaces/index.js';
import type { Log, Meter } from '../../src/core/interfaces/index.js';
import type { Refusal } from '../../src/core/refusals.js';
import { fail, ok } from '../../src/core/result.js';
import type { Result } from '../../src/core/result.js';

/** Log that discards its lines. */
export const quietLog: Log = { info: () => {}, warn: () => {}, error: () => {} };

/** Meter that discards its values. */
export const quietMeter: Meter = { count: () => {}, record: () => {}, gauge: () => {} };

/** Answer with fixed events; records whether it was closed and how many events were read. */
export class FakeAnswer implements Answer {
  public readonly requestId = 'request-1';

  public closed = false;

  public readCount = 0;

  /** With `staysOpen`, the events do not end after the last one of `source` until the answer is closed. */
  public constructor(private readonly source: Iterable<AnswerEvent>, private readonly staysOpen = false) {}

  public close(): void {
    this.closed = true;
  }

  public get events(): AsyncIterable<AnswerEvent> {
    return this.iterate();
  }

  private async* iterate(): AsyncGenerator<AnswerEvent> {
    for (const event of this.source) {
      if (this.closed) return;
      this.readCount += 1;
      yield event;
    }
    while (this.staysOpen && !this.closed) {
      await new Promise((resolve) => {
        setTimeout(resolve, 5);
      });
    }
  }
}

/** Yields a token event for each of `words` from index `from`, and then the end event. */
export function* tokenEvents(words: readonly string[], from = 0): Generator<AnswerEvent> {
  for (let index = from; index < words.length; index += 1) {
    yield {
      type: 'token', eventId: `ticket.mac.${index}`, index, text: words[index] ?? '',
    };
  }
  yield {
    type: 'end',
    eventId: `ticket.mac.${words.length}`,
    reason: FinishReason.Stop,
    promptTokens: 7,
    outputTokens: words.length,
  };
}

/** Entry whose answers the test sets, and which records the requests that it gets. */
export class FakeEntry implements EntryApi {
  public words: readonly string[] = ['The ', 'hen ', 'is ', 'well.'];

  public refusal: Refusal | null = null;

  public isReady = true;

  public answer: FakeAnswer | null = null;

  public applied: Awaited<ReturnType<EntryApi['apply']>> = { type: 'accepted', revision: 4, hash: 'abc' };

  public readonly generated: GenerateRequest[] = [];

  public readonly resumed: string[] = [];

  public readonly called: ServiceRequest[] = [];

  public readonly files: string[] = [];

  public generate(req: GenerateRequest): Promise<Result<Answer, Refusal>> {
    this.generated.push(req);
    if (this.refusal !== null) return Promise.resolve(fail(this.refusal));
    return Promise.resolve(ok(this.answer ?? new FakeAnswer(tokenEvents(this.words))));
  }

  public resume(eventId: string): Promise<Result<Answer, Refusal>> {
    this.resumed.push(eventId);
    const from = Number(eventId.split('.')[2] ?? 0) + 1;
    return Promise.resolve(ok(new FakeAnswer(tokenEvents(this.words, from))));
  }

  public callService: EntryApi['callService'] = (req) => {
    this.called.push(req);
    if (this.refusal !== null) return Promise.resolve(fail(this.refusal));
    return Promise.resolve(ok({
      requestId: 'request-2', status: 200, body: '{"booked":true}', repeated: false,
    }));
  };

  public address: EntryApi['address'] = () => ok({ address: '10.0.0.1:8000', failureDomain: 'regina', keepMs: 5_000 });

  public models = (): readonly string[] => ['catalogue'];

  public ready = (): boolean => this.isReady;

  public apply: EntryApi['apply'] = (file) => {
    this.files.push(file);
    return Promise.resolve(this.applied);
  };

  public show: EntryApi['show'] = () => ({ revision: 3, hash: 'abc', file: '[fleet]\nname = x\n' });

  public dump = (): Record<string, unknown> => ({ entry: { name: 'one' } });

  public drain: EntryApi['drain'] = () => Promise.resolve({
    finished: 2, handedOver: 1, cut: 0, durationMs: 12,
  });
}
