import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { z } from 'zod';

/** Answers of a stub engine that has no timing model, so that its speed does not affect measurements of an entry. */
export interface UpstreamOptions {
  /** Maximum number of tokens in an answer. */
  readonly tokens: number;
  /** Time between tokens in ms. */
  readonly spacingMs: number;
}

const callSchema = z.object({
  requestId: z.string(), attemptId: z.string(), maxTokens: z.number().default(Infinity),
});

async function readBody(req: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString();
}

function sendJson(res: ServerResponse, body: unknown): void {
  res.writeHead(200, { 'content-type': 'application/json' });
  res.end(JSON.stringify(body));
}

/** Streams an answer as server-sent events, one token per `spacingMs`. */
async function streamTokens(req: IncomingMessage, res: ServerResponse, opts: UpstreamOptions): Promise<void> {
  const { requestId, attemptId, maxTokens } = callSchema.parse(JSON.parse(await readBody(req)));
  const ids = { requestId, attemptId };
  const tokens = Math.min(opts.tokens, maxTokens);
  let index = 0;
  res.writeHead(200, { 'content-type': 'text/event-stream' });
  const step = (): void => {
    if (res.destroyed) return;
    if (index === tokens) {
      const end = {
        type: 'end', ...ids, index, reason: 'stop', promptTokens: 100,
      };
      res.end(`data: ${JSON.stringify(end)}\n\n`);
      return;
    }
    res.write(`data: ${JSON.stringify({
      type: 'token', ...ids, index, text: ' word',
    })}\n\n`);
    index += 1;
    setTimeout(step, opts.spacingMs);
  };
  step();
}

/** Starts a stub of one engine of the fleet on a loopback port; it speaks the engine's wire protocol. */
export function startUpstream(engine: string, port: number, opts: UpstreamOptions): Promise<void> {
  const server = createServer({ keepAliveTimeout: 60_000, noDelay: true }, (req, res) => {
    if (req.url === '/v1/completions') void streamTokens(req, res, opts);
    else if (req.url === '/admin/status') {
      sendJson(res, {
        engine, incarnation: '1', role: 'mixed', models: [{ model: 'bench', version: '1' }], orders: {}, leaving: false,
      });
    } else if (req.url === '/load') {
      sendJson(res, {
        engine,
        ageMs: 0,
        running: 0,
        queued: 0,
        queuedPromptTokens: 0,
        kvBlocksUsed: 0,
        kvBlocksTotal: 1_000_000,
        leaving: false,
      });
    } else sendJson(res, []);
  });
  return new Promise((resolve) => {
    server.listen(port, '127.0.0.1', 4_096, resolve);
  });
}
