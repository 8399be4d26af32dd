import type { Server } from 'node:http';
import { z } from 'zod';
import type { EmulatedService } from './service.js';
import { answerJson, startStandIn } from './server.js';

const CALL_TIMEOUT_MS = 60_000;

const bodySchema = z.object({ workspace: z.string(), body: z.string() });

/** Serves an emulated backend server over HTTP; failures other than `leaving` close the connection unanswered. */
export function startServiceServer(service: EmulatedService, address: string): Promise<Server> {
  return startStandIn(address, {
    'POST /*': async (body, req, res) => {
      const { workspace, body: text } = bodySchema.parse(body);
      const result = await service.call({
        requestId: String(req.headers['x-request-id']),
        attemptId: String(req.headers['x-attempt-id']),
        workspace,
        operation: decodeURIComponent((req.url ?? '/').slice(1)),
        body: text,
      }, { timeoutMs: CALL_TIMEOUT_MS });
      if (!result.success) {
        if (result.error.code !== 'leaving') {
          res.destroy();
          return;
        }
        res.setHeader('x-leaving', 'true');
        answerJson(res, 503, { code: 'leaving' });
        return;
      }
      res.writeHead(result.data.status, {
        'content-type': 'application/json', 'x-attempt-id': result.data.attemptId,
      });
      res.end(result.data.body);
    },
  });
}
