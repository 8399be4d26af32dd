import { createParser } from 'eventsource-parser';
import { z } from 'zod';
import {
  EngineErrorCode, FinishReason, OrderState, Role,
} from '../core/interfaces/index.js';
import type {
  CacheEvent, CacheHandle, CallOptions, Engine, EngineError, EngineEvent, EngineStatus, GenerateCall, LoadReport,
  Order, OrderOptions, ResumePosition,
} from '../core/interfaces/index.js';
import { fail, ok } from '../core/result.js';
import type { Result } from '../core/result.js';
import { HttpConnection, readText } from './http.js';
import type { HttpResponse, HttpFailure, SendOptions } from './http.js';

const errorSchema = z.object({
  code: z.enum(EngineErrorCode),
  message: z.string(),
  retryAfterMs: z.number().optional(),
});

const eventSchema: z.ZodType<EngineEvent> = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('token'),
    requestId: z.string(),
    attemptId: z.string(),
    index: z.int().min(0),
    text: z.string(),
  }),
  z.object({
    type: z.literal('end'),
    requestId: z.string(),
    attemptId: z.string(),
    index: z.int().min(0),
    reason: z.enum(FinishReason),
    promptTokens: z.int().min(0),
  }),
]);

const statusSchema: z.ZodType<EngineStatus> = z.object({
  engine: z.string(),
  incarnation: z.string(),
  role: z.enum(Role),
  models: z.array(z.object({
    model: z.string(),
    version: z.string(),
    adapters: z.array(z.string()).optional(),
  }).transform(({ adapters, ...held }) => ({ ...held, ...(adapters === undefined ? {} : { adapters }) }))),
  orders: z.record(z.string(), z.enum(OrderState)),
  leaving: z.boolean(),
});

const loadReportSchema: z.ZodType<LoadReport> = z.object({
  engine: z.string(),
  ageMs: z.number(),
  running: z.number(),
  queued: z.number(),
  queuedPromptTokens: z.number(),
  kvBlocksUsed: z.number(),
  kvBlocksTotal: z.number(),
  leaving: z.boolean(),
});

const cacheEventsSchema: z.ZodType<CacheEvent[]> = z.array(z.object({
  sequence: z.number(),
  type: z.enum(['stored', 'evicted']),
  block: z.string(),
}));

const handleSchema: z.ZodType<CacheHandle> = z.object({
  engine: z.string(),
  requestId: z.string(),
  tokens: z.number(),
});

const HTTP_OK = 200;

function errorFromFailure(failure: HttpFailure): EngineError {
  return { code: failure.sent ? EngineErrorCode.Broken : EngineErrorCode.NotSent, message: failure.message };
}

function errorFromBody(status: number, body: unknown): EngineError {
  const parsed = errorSchema.safeParse(body);
  if (!parsed.success) return { code: EngineErrorCode.Broken, message: `unexpected answer with status ${status}` };
  const { code, message, retryAfterMs } = parsed.data;
  return { code, message, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) };
}

async function* readEvents(response: HttpResponse): AsyncIterable<EngineEvent> {
  const pending: EngineEvent[] = [];
  const parser = createParser({
    onEvent: ({ data }) => {
      const event = eventSchema.safeParse(JSON.parse(data));
      if (event.success) pending.push(event.data);
    },
  });
  for await (const chunk of readText(response)) {
    parser.feed(chunk);
    yield* pending.splice(0);
  }
}

/** Client of a model engine over HTTP; docs/protocols.md describes the paths and bodies. */
export class HttpEngine implements Engine {
  private readonly connection: HttpConnection;

  public constructor(public readonly name: string, address: string) {
    this.connection = new HttpConnection(address);
  }

  public generate(
    call: GenerateCall,
    opts: CallOptions,
  ): Promise<Result<AsyncIterable<EngineEvent>, EngineError>> {
    return this.stream('/v1/completions', call, opts);
  }

  public resume(
    position: ResumePosition,
    opts: CallOptions,
  ): Promise<Result<AsyncIterable<EngineEvent>, EngineError>> {
    return this.stream('/v1/streams/resume', position, opts);
  }

  public async cancel(requestId: string, attemptId: string, opts: CallOptions): Promise<Result<void, EngineError>> {
    const result = await this.requestParsed(z.unknown(), {
      ...opts, method: 'POST', path: '/v1/streams/cancel', body: { requestId, attemptId },
    });
    return result.success ? ok(undefined) : result;
  }

  public async order(order: Order, opts: OrderOptions): Promise<Result<OrderState, EngineError>> {
    const schema = z.object({ state: z.enum(OrderState) });
    const result = await this.requestParsed(schema, {
      ...opts, method: 'POST', path: '/admin/orders', body: order,
    });
    return result.success ? ok(result.data.state) : result;
  }

  public status(opts: CallOptions): Promise<Result<EngineStatus, EngineError>> {
    return this.requestParsed(statusSchema, { ...opts, method: 'GET', path: '/admin/status' });
  }

  public loadReport(opts: CallOptions): Promise<Result<LoadReport, EngineError>> {
    return this.requestParsed(loadReportSchema, { ...opts, method: 'GET', path: '/load' });
  }

  public cacheEvents(
    afterSequence: number,
    opts: CallOptions,
  ): Promise<Result<readonly CacheEvent[], EngineError>> {
    return this.requestParsed(cacheEventsSchema, { ...opts, method: 'GET', path: `/cache-events?after=${afterSequence}` });
  }

  public exportCache(
    requestId: string,
    attemptId: string,
    opts: CallOptions,
  ): Promise<Result<CacheHandle, EngineError>> {
    return this.requestParsed(handleSchema, {
      ...opts, method: 'POST', path: '/v1/streams/export', body: { requestId, attemptId },
    });
  }

  /** Closes all connections; pending calls fail. */
  public dispose(): void {
    void this.connection.close();
  }

  private async requestParsed<T>(schema: z.ZodType<T>, opts: SendOptions): Promise<Result<T, EngineError>> {
    const response = await this.connection.requestJson(opts);
    if (!response.success) return fail(errorFromFailure(response.error));
    const { status, body } = response.data;
    if (status !== HTTP_OK) return fail(errorFromBody(status, body));
    const parsed = schema.safeParse(body);
    return parsed.success ? ok(parsed.data) : fail(errorFromBody(status, body));
  }

  private async stream(
    path: string,
    body: unknown,
    opts: CallOptions,
  ): Promise<Result<AsyncIterable<EngineEvent>, EngineError>> {
    const response = await this.connection.send({
      ...opts, method: 'POST', path, body, streaming: true,
    });
    if (!response.success) return fail(errorFromFailure(response.error));
    if (response.data.statusCode === HTTP_OK) return ok(readEvents(response.data));
    try {
      return fail(errorFromBody(response.data.statusCode, await response.data.body.json()));
    } catch {
      return fail(errorFromBody(response.data.statusCode, null));
    }
  }
}
