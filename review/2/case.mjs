import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { clearInterval, setInterval, setTimeout } from 'node:timers';
import { fileURLToPath, URL } from 'node:url';
import { ENGINE_SERVICE, Load, streamingRoute } from '../lib/engines.mjs';
import {
  Client, configuration, Server, wait,
} from '../lib/peers.mjs';
import { runCase } from '../lib/script.mjs';

const HOST = 'catalogue.example';

const DECODERS = 5;

const PREFILLERS = 9;

const HEARTBEAT_MS = 1_200;

/** Time in ms after which a crashed replica is back. */
const DOWN_MS = 3_000;

/** Time in ms from the head of an answer to the crash. */
const CRASH_AFTER_MS = 20;

const EVENTS = 3;

const EVENT_PERIOD_MS = 15;

/** Share of the requests that have the part, and for how long; the dose of the page on such parts. */
const DEADLY = { share: 0.05, forMs: 22_000 };

/** Requests a second to each gateway, half of those of contract-fit. */
const REQUESTS_PER_S = 57;

/** `contact-ms` of the site. */
const CONTACT_MS = 3_000;

/** Crash from which the rules count; the last one, if there are fewer. */
const COUNTED_CRASH = 5;

/** Requests that the rule LOST needs to compare, and the share of those outside that must begin. */
const MIN_REQUESTS = 20;

const MIN_SHARE = 0.5;

/** Parts of a prompt; the last one belongs to the request itself. */
const PARTS = 10;

/** Place of the part that crashes replicas, from 1 on; it can be set otherwise for a comparison. */
const DEADLY_PLACE = Number(process.env.DEADLY_PLACE ?? PARTS - 1);

const DEADLY_PART = 'deadbeef';

function promptParts(number, isDeadly) {
  return Array.from({ length: PARTS }, (_, index) => {
    if (index + 1 === PARTS) return `${(0x10000000 + number).toString(16)}:40`;
    if (index + 1 === DEADLY_PLACE) return isDeadly ? `${DEADLY_PART}:20` : '5afe0000:20';
    return `5c1e07a${index}:20`;
  }).join(',');
}

function streamEvents(res) {
  let event = 0;
  const timer = setInterval(() => {
    event += 1;
    res.write(`id: ${event}\ndata: piece ${event}\n\n`);
    if (event < EVENTS) return;
    clearInterval(timer);
    res.end();
  }, EVENT_PERIOD_MS);
  res.on('close', () => clearInterval(timer));
}

await runCase(fileURLToPath(new URL('.', import.meta.url)), async ({
  store, record, trouble, onEnd, gateways: create,
}) => {
  const crashes = [];
  const deadlyArrivals = [];
  const begun = new Set();
  const startEngine = async (id, stage, port) => {
    const server = new Server(id, (req, res) => {
      if (req.url === '/report') {
        res.end(JSON.stringify({
          stage, models: [{ name: 'm', version: 1, adapters: [] }], busy: false, sequence: 0, waiting: 0, running: 0,
        }));
        return;
      }
      if (stage === 'prefill' || req.url === '/order') {
        res.writeHead(421, { 'Content-Length': 0 });
        res.end();
        return;
      }
      const request = req.headers['catkinscale-request-id'];
      const isDeadly = req.headers['catkinscale-prompt-prefix'].includes(DEADLY_PART);
      res.writeHead(200, { 'Catkinscale-Server-Signature': `signed.${id}`, 'Content-Type': 'text/event-stream' });
      if (!isDeadly) {
        begun.add(request);
        streamEvents(res);
        return;
      }
      deadlyArrivals.push(performance.now());
      record('deadly_request', { engine: id, request });
      res.flushHeaders();
      setTimeout(() => {
        if (server.isDown) return;
        server.isDown = true;
        crashes.push(performance.now());
        record('crash', { engine: id, request });
        clearInterval(server.timer);
        server.crash();
        setTimeout(() => {
          startEngine(id, stage, server.port).then(() => record('back', { engine: id }));
        }, DOWN_MS);
      }, CRASH_AFTER_MS);
    });
    await server.start('127.0.0.1', port);
    onEnd(() => {
      clearInterval(server.timer);
      server.stop();
    });
    const born = Date.now();
    let sequence = 0;
    const beat = () => {
      sequence += 1;
      store.put(`servers/${id}`, server.entry('loom-mind', {
        slots: 12, stage, models: [{ name: 'm', version: 1, adapters: [] }], born, sequence,
      }));
    };
    beat();
    server.timer = setInterval(beat, HEARTBEAT_MS);
  };
  for (let index = 1; index <= DECODERS + PREFILLERS; index += 1) {
    await startEngine(`i-loom-${index}`, index <= DECODERS ? 'decode' : 'prefill');
  }
  store.put('op/config', configuration(1, [streamingRoute(HOST, '/fit/', 2)], [ENGINE_SERVICE]));
  const gateways = await create(['regina', 'brandon']);
  await Promise.all(gateways.map((gateway) => gateway.start()));

  let isDeadlyTime = false;
  let sent = 0;
  const load = new Load(gateways, REQUESTS_PER_S, async (gateway, number) => {
    sent += 1;
    const sentAt = performance.now();
    const isDeadly = isDeadlyTime && Math.random() < DEADLY.share;
    const client = new Client(`${gateway.name}-${number}`, gateway.callerAddress, HOST);
    const { id, status, complete } = await client.send({
      method: 'POST',
      path: '/fit/1',
      body: 'does the pattern fit?',
      deadlineMs: 2_000,
      headers: {
        'Catkinscale-Model': 'm',
        'Catkinscale-Token-Count': '220,3',
        'Catkinscale-Prompt-Prefix': promptParts(sent, isDeadly),
      },
    });
    record('answered', {
      request: id, isDeadly, status, complete,
    });
    client.close();
    return {
      id, sentAt, isDeadly, isWhole: status === 200 && complete,
    };
  }, wait);
  // All machines are in touch: nothing has disturbed them for longer than `contact-ms`.
  await wait(4_000);
  const beginsAt = performance.now();
  isDeadlyTime = trouble;
  record('deadly_part', { isDeadlyTime });
  await wait(DEADLY.forMs);
  const endsAt = performance.now();
  isDeadlyTime = false;
  await wait(1_000);
  await load.stop();

  const countedAt = crashes[Math.min(COUNTED_CRASH, crashes.length) - 1] ?? beginsAt;
  const sound = load.results.filter(({ isDeadly }) => !isDeadly);
  const outside = sound.filter(({ sentAt }) => sentAt < beginsAt);
  const inside = sound.filter(({ sentAt }) => sentAt > countedAt + 2 * CONTACT_MS && sentAt < endsAt);
  const shareBegun = (requests) => requests.filter(({ id }) => begun.has(id)).length / Math.max(1, requests.length);
  const isComparable = Math.min(outside.length, inside.length) >= MIN_REQUESTS;
  const late = crashes.length < COUNTED_CRASH ? 0 : deadlyArrivals.filter((at) => at > countedAt + CONTACT_MS).length;
  return {
    broken: isComparable && shareBegun(inside) < MIN_SHARE * shareBegun(outside),
    detail: {
      sound_begun_inside: `${shareBegun(inside).toFixed(3)} of ${inside.length}`,
      sound_begun_outside: `${shareBegun(outside).toFixed(3)} of ${outside.length}`,
      crashes: crashes.length,
      late_deadly_requests: late,
      sound_whole: sound.filter(({ isWhole }) => isWhole).length,
    },
  };
});
