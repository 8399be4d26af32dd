import type { Server } from 'node:http';
import type { HostList, WeightStore } from '../core/interfaces/index.js';
import { answerJson, startStandIn } from './server.js';

const CALL_TIMEOUT_MS = 5_000;

/** Serves the host list and the weight store over HTTP. */
export function startPlatformServer(hosts: HostList, weights: WeightStore, address: string): Promise<Server> {
  const opts = { timeoutMs: CALL_TIMEOUT_MS };
  return startStandIn(address, {
    'GET /hosts': async (_body, _req, res) => {
      const result = await hosts.list(opts);
      if (result.success) answerJson(res, 200, result.data);
      else answerJson(res, 503, result.error);
    },
    'GET /weights/*': async (_body, req, res) => {
      const [, , model, version] = (req.url ?? '').split('/').map(decodeURIComponent);
      const result = await weights.describe(model ?? '', version ?? '', opts);
      if (result.success) answerJson(res, 200, result.data);
      else answerJson(res, 503, result.error);
    },
  });
}
