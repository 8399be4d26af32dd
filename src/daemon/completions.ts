import { z } from 'zod';
import type { AnswerEvent } from './api.js';
import type { Refusal } from '../core/refusals.js';
import { fail, ok } from '../core/result.js';
import type { Result } from '../core/result.js';

const DEFAULT_MAX_TOKENS = 512;

const MAX_TOKENS = 32_768;

const maxTokens = z.int(`a whole number from 1 to ${MAX_TOKENS}`).min(1, 'at least 1').max(MAX_TOKENS, `at most ${MAX_TOKENS}`)
  .nullish();

const commonFields = {
  model: z.string('the name of a model').min(1, 'the name of a model').max(200, 'the name of a model'),
  stream: z.boolean('true or false').nullish(),
  stream_options: z.looseObject({ include_usage: z.boolean('true or false').nullish() }, 'an object').nullish(),
  max_tokens: maxTokens,
  // Options that would change the answer but that engines do not support are refused, not ignored.
  n: z.literal(1, '1, the only supported number of answers').nullish(),
  logprobs: z.union([z.literal(false), z.literal(0)], 'no log probabilities, which are not supported').nullish(),
  stop: z.array(z.never(), 'no stop sequences, which are not supported').max(0, 'no stop sequences, which are not supported')
    .nullish(),
};

const promptSchema = z.union([z.string(), z.tuple([z.string()])], 'text, or a list of one text');

const completionSchema = z.object({
  ...commonFields,
  prompt: promptSchema,
  best_of: z.literal(1, '1, the only supported number of candidates').nullish(),
  echo: z.literal(false, 'false; echo is not supported').nullish(),
  suffix: z.literal('', 'no suffix, which is not supported').nullish(),
});

const textPart = z.object({ type: z.literal('text'), text: z.string() });

const messageSchema = z.object({
  role: z.enum(['system', 'developer', 'user', 'assistant'], 'system, developer, user or assistant'),
  content: z.union([z.string(), z.array(textPart)], 'text, or a list of text parts'),
}, 'an object with role and content');

const chatSchema = z.object({
  ...commonFields,
  messages: z.array(messageSchema, 'a list of messages').min(1, 'at least one message'),
  max_completion_tokens: maxTokens,
  tools: z.array(z.never()).max(0, 'no tools, which are not supported').nullish(),
  response_format: z.object({ type: z.literal('text', 'text, the only supported format') }, 'an object').nullish(),
});

/** Validated body of a completion or chat request. */
export interface Completion {
  readonly chat: boolean;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly stream: boolean;
  readonly includeUsage: boolean;
}

function invalidRequest(error: z.ZodError): Refusal {
  const issue = error.issues[0];
  const path = issue?.path.map(String).join('.') ?? '';
  return { code: 'invalid_request', path, expected: issue?.message ?? 'a valid request' };
}

/** Prompt for a chat: one `role: text` paragraph per message, then `assistant:`, after which the answer begins. */
function chatPrompt(messages: z.infer<typeof chatSchema>['messages']): string {
  const paragraphs = messages.map(({ role, content }) => {
    const text = typeof content === 'string' ? content : content.map((part) => part.text).join('');
    return `${role}: ${text}\n\n`;
  });
  return `${paragraphs.join('')}assistant:`;
}

/** Parses JSON; `undefined` if it is malformed. */
function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

/** Validates the body of a completion or chat request; the refusal names the first invalid field. */
export function safeParseCompletion(chat: boolean, text: string): Result<Completion, Refusal> {
  const body = parseJson(text);
  if (body === undefined || typeof body !== 'object' || body === null || Array.isArray(body)) {
    return fail({ code: 'invalid_request', path: 'body', expected: 'a JSON object' });
  }
  const commonValues = (data: z.infer<typeof completionSchema> | z.infer<typeof chatSchema>) => ({
    chat,
    model: data.model,
    stream: data.stream ?? false,
    includeUsage: data.stream_options?.include_usage ?? false,
  });
  if (chat) {
    const parsed = chatSchema.safeParse(body);
    if (!parsed.success) return fail(invalidRequest(parsed.error));
    const { data } = parsed;
    const outputLimit = data.max_completion_tokens ?? data.max_tokens ?? DEFAULT_MAX_TOKENS;
    return ok({ ...commonValues(data), prompt: chatPrompt(data.messages), maxTokens: outputLimit });
  }
  const parsed = completionSchema.safeParse(body);
  if (!parsed.success) return fail(invalidRequest(parsed.error));
  const { data } = parsed;
  const prompt = typeof data.prompt === 'string' ? data.prompt : data.prompt[0];
  return ok({ ...commonValues(data), prompt, maxTokens: data.max_tokens ?? DEFAULT_MAX_TOKENS });
}

type EndEvent = Extract<AnswerEvent, { type: 'end' }>;

function usage(end: EndEvent): Record<string, number> {
  return {
    prompt_tokens: end.promptTokens,
    completion_tokens: end.outputTokens,
    total_tokens: end.promptTokens + end.outputTokens,
  };
}

/** Formats the events or the body of one answer as the OpenAI completions API does. */
export class CompletionWriter {
  private readonly chunkPrefix: string;

  private readonly created: number;

  private readonly id: string;

  private isFirstToken = true;

  public constructor(private readonly completion: Completion, requestId: string, created: Date) {
    const { chat, model } = completion;
    this.created = Math.floor(created.getTime() / 1_000);
    this.id = `${chat ? 'chatcmpl' : 'cmpl'}-${requestId}`;
    const fields = {
      id: this.id,
      object: chat ? 'chat.completion.chunk' : 'text_completion',
      created: this.created,
      model,
    };
    this.chunkPrefix = JSON.stringify(fields).slice(0, -1);
  }

  /** Server-sent event of one token. */
  public token(eventId: string, text: string): string {
    const content = JSON.stringify(text);
    let choice = `"text":${content},"logprobs":null`;
    if (this.completion.chat) {
      choice = this.isFirstToken ? `"delta":{"role":"assistant","content":${content}}` : `"delta":{"content":${content}}`;
    }
    this.isFirstToken = false;
    return `id: ${eventId}\ndata: ${this.chunkPrefix},"choices":[{"index":0,${choice},"finish_reason":null}]}\n\n`;
  }

  /** Final server-sent events: finish reason, usage if it was requested, and the `[DONE]` marker. */
  public end(end: EndEvent): string {
    const choice = this.completion.chat ? '"delta":{}' : '"text":"","logprobs":null';
    const finish = `"choices":[{"index":0,${choice},"finish_reason":"${end.reason}"}]}`;
    const usageEvent = this.completion.includeUsage
      ? `data: ${this.chunkPrefix},"choices":[],"usage":${JSON.stringify(usage(end))}}\n\n`
      : '';
    return `id: ${end.eventId}\ndata: ${this.chunkPrefix},${finish}\n\n${usageEvent}data: [DONE]\n\n`;
  }

  /** Body of an answer that is not streamed. */
  public whole(text: string, end: EndEvent): Record<string, unknown> {
    const { chat, model } = this.completion;
    const content = chat ? { message: { role: 'assistant', content: text } } : { text };
    return {
      id: this.id,
      object: chat ? 'chat.completion' : 'text_completion',
      created: this.created,
      model,
      choices: [{
        index: 0, ...content, logprobs: null, finish_reason: end.reason,
      }],
      usage: usage(end),
    };
  }
}
