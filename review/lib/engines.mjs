import { clearInterval, setInterval, setTimeout } from 'node:timers';
import { Server } from './peers.mjs';

/** Engines of each role, as the system divides them itself. */
const DECODERS = 5;

const PREFILLERS = 9;

/** Time in ms from the last event of an answer to the reset that cuts it off, so that the event leaves before. */
const BEFORE_RESET_MS = 5;

const SERVICE = 'loom-mind';

const MODELS = [{ name: 'm', version: 1, adapters: [] }];

/** Service of the engines, for the configuration. */
export const ENGINE_SERVICE = {
  name: SERVICE,
  'max-connections': 150,
  engine: {
    slots: 12, 'kv-capacity-tokens': 1_140_336, 'handle-ttl-s': 5, 'switch-s': 3, models: [{ name: 'm' }],
  },
};

/** Route like that of contract-fit. */
export function streamingRoute(host, pathPrefix, maxAttempts) {
  return {
    name: 'contract-fit',
    host,
    'path-prefix': pathPrefix,
    kind: 'streaming',
    resumable: true,
    sticky: true,
    service: SERVICE,
    'max-attempts': maxAttempts,
    'timeout-ms': 2_000,
    'target-latency-ms': 150,
    'gap-target-ms': 150,
  };
}

/** Headers of a request with a short prompt. */
export const SHORT_PROMPT = {
  'Catkinscale-Model': 'm', 'Catkinscale-Token-Count': '220,8', 'Catkinscale-Prompt-Prefix': '5c1e07a2:79,e4402b7d:141',
};

/** Streams the events after `lastEvent`; after the event `cutAfter`, the connection is reset. */
function streamEvents(req, res, {
  lastEvent, events, periodMs, textOf, cutAfter,
}) {
  let event = lastEvent;
  const timer = setInterval(() => {
    if (event >= events) {
      clearInterval(timer);
      res.end();
      return;
    }
    event += 1;
    res.write(`id: ${event}\ndata: ${textOf(event)}\n\n`);
    if (event !== cutAfter) return;
    clearInterval(timer);
    setTimeout(() => req.socket.resetAndDestroy(), BEFORE_RESET_MS);
  }, periodMs);
  res.on('close', () => clearInterval(timer));
}

async function startEngine(id, stage, {
  events, periodMs, textOf, beginRun,
}) {
  const server = new Server(id, (req, res) => {
    if (req.url === '/report') {
      res.end(JSON.stringify({
        stage, models: MODELS, busy: false, sequence: 0, waiting: 0, running: 0,
      }));
      return;
    }
    if (stage === 'prefill' || req.url === '/order') {
      res.writeHead(421, { 'Content-Length': 0 });
      res.end();
      return;
    }
    const lastEvent = Number(req.headers['last-event-id'] ?? 0);
    const cutAfter = beginRun(id, req.headers['catkinscale-request-id'], lastEvent);
    res.writeHead(200, { 'Catkinscale-Server-Signature': `signed.${id}`, 'Content-Type': 'text/event-stream' });
    streamEvents(req, res, {
      lastEvent, events, periodMs, textOf, cutAfter,
    });
  });
  await server.start();
  return server;
}

/**
 * Starts the engines and writes their entries. `beginRun` is called with the engine, the request and the last event
 * that the caller has, and returns the event after which the answer is lost, or `null`.
 */
export async function startEngines(store, onEnd, opts) {
  const decoders = [];
  for (let index = 1; index <= DECODERS + PREFILLERS; index += 1) {
    const id = `i-loom-${index}`;
    const stage = index <= DECODERS ? 'decode' : 'prefill';
    if (stage === 'decode') decoders.push(id);
    const server = await startEngine(id, stage, opts);
    onEnd(() => server.stop());
    store.put(`servers/${id}`, server.entry(SERVICE, { slots: 12, stage, models: MODELS }));
  }
  return decoders;
}

/** Sends requests to all gateways at a steady rate, each on a connection of its own, until `stop` is called. */
export class Load {
  results = [];

  open = new Set();

  stopped = false;

  constructor(gateways, perGatewayS, send, wait) {
    this.loops = gateways.map(async (gateway) => {
      for (let number = 1; !this.stopped; number += 1) {
        const call = send(gateway, number).then((result) => this.results.push(result));
        this.open.add(call);
        call.finally(() => this.open.delete(call));
        await wait(1_000 / perGatewayS);
      }
    });
  }

  async stop() {
    this.stopped = true;
    await Promise.all(this.loops);
    await Promise.all(this.open);
  }
}
