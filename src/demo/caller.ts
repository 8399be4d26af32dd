import { randomUUID } from 'node:crypto';
import { Agent, request } from 'undici';
import { applyEvent } from './events.js';
import type { RefusalFields, StreamProgress } from './events.js';

/** How a request ended, as its caller sees it. */
export type Ending =
  | { readonly type: 'answered'; readonly text: string }
  | { readonly type: 'refused'; readonly code: string; readonly ran: string }
  /** The answer did not complete: the connection failed, or an accepted stream ended early. */
  | { readonly type: 'cut'; readonly message: string };

/** Ended request; times are in ms from the start of its first attempt. */
export interface CompletedRequest {
  readonly ending: Ending;
  readonly firstTokenMs: number | null;
  readonly totalMs: number;
  readonly tokens: number;
  /** Attempts after the first one, including resumed streams. */
  readonly retries: number;
}

/** Request of a caller for generated text. */
export interface GenerationRequest {
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly priority: string;
  readonly workspace: string;
  readonly kind: string;
}

const RETRY_TIMEOUT_MS = 20_000;

const RETRY_DELAY_MS = 100;

const DEADLINE_MS = 10_000;

function sleep(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}

/**
 * Caller that caches the address of its entry until the TTL has passed. After a failure it discards the address and
 * asks another seed.
 */
export class Caller {
  private readonly agent = new Agent({ connections: 256, pipelining: 1 });

  private cached: { readonly address: string; readonly until: number } | null = null;

  private nextSeed = 0;

  public constructor(private readonly seeds: readonly string[], firstSeed: number) {
    this.nextSeed = firstSeed;
  }

  /** Streams one answer; when the stream breaks, resumes it after the last received event, usually at another entry. */
  public async generate(work: GenerationRequest): Promise<CompletedRequest> {
    const started = performance.now();
    const progress: StreamProgress = {
      text: '', tokens: 0, lastEventId: null, firstTokenAt: null, done: false, refusal: null,
    };
    const finish = (ending: Ending, retries: number): CompletedRequest => ({
      ending,
      firstTokenMs: progress.firstTokenAt === null ? null : progress.firstTokenAt - started,
      totalMs: performance.now() - started,
      tokens: progress.tokens,
      retries,
    });
    let attempts = 0;
    let last: Ending = { type: 'cut', message: 'no try' };
    for (; performance.now() - started < RETRY_TIMEOUT_MS; attempts += 1) {
      const address = await this.currentAddress();
      let delayMs = RETRY_DELAY_MS;
      try {
        const refusal = await this.readStream(address, work, progress);
        if (progress.done) return finish({ type: 'answered', text: progress.text }, attempts);
        last = { type: 'cut', message: refusal?.code ?? 'the stream ended early' };
        if (refusal !== null && progress.tokens === 0) last = { type: 'refused', code: refusal.code, ran: refusal.ran };
        if (refusal?.resumable === false || refusal?.code === 'stream_lost') return finish(last, attempts);
        delayMs = Math.max(delayMs, refusal?.retry_after_ms ?? 0);
      } catch (err) {
        last = { type: 'cut', message: err instanceof Error ? err.message : String(err) };
      }
      this.discardAddress(address);
      await sleep(delayMs);
    }
    return finish(last, attempts);
  }

  /** Calls a plain service; retries failed calls, with the same idempotency key if given, for up to 20 s. */
  public async call(path: string, body: string, workspace: string, key?: string): Promise<CompletedRequest> {
    const started = performance.now();
    const headers = {
      'x-workspace': workspace,
      'x-deadline-ms': String(DEADLINE_MS),
      ...(key === undefined ? {} : { 'idempotency-key': key }),
    };
    let last: Ending = { type: 'cut', message: 'no try' };
    let attempts = 0;
    for (; performance.now() - started < RETRY_TIMEOUT_MS; attempts += 1) {
      const address = await this.currentAddress();
      let delayMs = RETRY_DELAY_MS;
      try {
        const res = await request(`http://${address}/v1/call/${path}`, {
          dispatcher: this.agent, method: 'POST', headers, body,
        });
        const text = await res.body.text();
        if (res.statusCode === 200) {
          last = { type: 'answered', text };
          break;
        }
        const { error } = JSON.parse(text) as { error: RefusalFields };
        last = { type: 'refused', code: error.code, ran: error.ran };
        delayMs = Math.max(delayMs, error.retry_after_ms ?? 0);
      } catch (err) {
        last = { type: 'cut', message: err instanceof Error ? err.message : String(err) };
      }
      this.discardAddress(address);
      await sleep(delayMs);
    }
    return {
      ending: last, firstTokenMs: null, totalMs: performance.now() - started, tokens: 0, retries: attempts,
    };
  }

  public async close(): Promise<void> {
    await this.agent.destroy();
  }

  /** Reads a stream until it ends or breaks; returns the refusal if the entry sent one. */
  private async readStream(
    address: string,
    work: GenerationRequest,
    progress: StreamProgress,
  ): Promise<RefusalFields | null> {
    const res = await request(`http://${address}/v1/completions`, {
      dispatcher: this.agent,
      method: 'POST',
      headers: {
        'x-priority': work.priority,
        'x-workspace': work.workspace,
        'x-kind': work.kind,
        'x-deadline-ms': String(DEADLINE_MS),
        ...(progress.lastEventId === null ? {} : { 'last-event-id': progress.lastEventId }),
      },
      body: JSON.stringify({
        model: work.model, prompt: work.prompt, max_tokens: work.maxTokens, stream: true,
      }),
    });
    if (res.statusCode !== 200) return (await res.body.json() as { error: RefusalFields }).error;
    res.body.setEncoding('utf8');
    let rest = '';
    Object.assign(progress, { refusal: null });
    for await (const chunk of res.body) {
      const parts = (rest + String(chunk)).split('\n\n');
      rest = parts.pop() ?? '';
      for (const event of parts) applyEvent(event, progress);
    }
    return progress.refusal;
  }

  /** Returns the cached address, or asks the next seed for one if it is missing or its TTL has passed. */
  private async currentAddress(): Promise<string> {
    while (this.cached === null || performance.now() >= this.cached.until) {
      const seed = this.seeds[this.nextSeed % this.seeds.length]!;
      this.nextSeed += 1;
      try {
        const res = await request(`http://${seed}/address`, { dispatcher: this.agent, headersTimeout: 1_000 });
        const body = await res.body.json() as { address: string; keep_ms: number };
        if (res.statusCode === 200) this.cached = { address: body.address, until: performance.now() + body.keep_ms };
      } catch {
        await sleep(RETRY_DELAY_MS / 10);
      }
    }
    return this.cached.address;
  }

  private discardAddress(address: string): void {
    if (this.cached?.address === address) this.cached = null;
  }
}

/** Creates a random idempotency key for a call that must not run twice. */
export function createIdempotencyKey(): string {
  return randomUUID();
}
