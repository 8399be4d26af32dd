import { fileURLToPath, URL } from 'node:url';
import {
  ENGINE_SERVICE, Load, SHORT_PROMPT, startEngines, streamingRoute,
} from '../lib/engines.mjs';
import { Client, configuration, wait } from '../lib/peers.mjs';
import { runCase } from '../lib/script.mjs';

const HOST = 'catalogue.example';

const EVENTS = 8;

const EVENT_PERIOD_MS = 20;

/** Event after which an answer breaks off. */
const LAST_EVENT_BEFORE_RESET = 3;

/** Decoders whose answers are lost, the share of them, and for how long: the dose of `answer_lost` in the site file. */
const LOSING = { engines: 3, share: 0.4, forMs: 4_000 };

/** Requests a second to each gateway. */
const REQUESTS_PER_S = 10;

/** The model explains the format of event streams and separates lines by U+2028, which ends no line of a stream. */
function textOf(event) {
  return event === LAST_EVENT_BEFORE_RESET ? 'a field of an event:\u2028id: 6' : `piece ${event}`;
}

/** Ids of the events, read by the format of event streams: only CR and LF end a line. */
function idsOf(body) {
  return body.split('\n\n').map((text) => /^id: (\d+)\n/.exec(text)?.[1])
    .filter((id) => id !== undefined).map(Number);
}

await runCase(fileURLToPath(new URL('.', import.meta.url)), async ({
  store, record, trouble, onEnd, gateways: create,
}) => {
  let isLosing = false;
  const decoders = await startEngines(store, onEnd, {
    events: EVENTS,
    periodMs: EVENT_PERIOD_MS,
    textOf,
    beginRun: (engine, request, lastEvent) => {
      const losesAnswers = isLosing && decoders.indexOf(engine) < LOSING.engines;
      const isLost = losesAnswers && lastEvent === 0 && Math.random() < LOSING.share;
      record('runs', {
        engine, request, lastEvent, isLost,
      });
      return isLost ? LAST_EVENT_BEFORE_RESET : null;
    },
  });
  store.put('op/config', configuration(1, [streamingRoute(HOST, '/fit/', 2)], [ENGINE_SERVICE]));
  const gateways = await create(['regina', 'brandon']);
  await Promise.all(gateways.map((gateway) => gateway.start()));

  const load = new Load(gateways, REQUESTS_PER_S, async (gateway, number) => {
    const client = new Client(`${gateway.name}-${number}`, gateway.callerAddress, HOST);
    const {
      id, status, complete, body,
    } = await client.send({
      method: 'POST', path: '/fit/1', body: 'explain event streams', deadlineMs: 2_000, headers: SHORT_PROMPT,
    });
    const events = idsOf(body);
    record('answered', {
      request: id, status, complete, events,
    });
    client.close();
    return { isWhole: status === 200 && complete, events: events.join() };
  }, wait);
  // All machines are in touch: nothing has disturbed them for longer than `contact-ms`.
  await wait(4_000);
  isLosing = trouble;
  record('answers_are_lost', { isLosing });
  await wait(LOSING.forMs);
  isLosing = false;
  await wait(1_000);
  await load.stop();
  const expected = Array.from({ length: EVENTS }, (_, index) => index + 1).join();
  const whole = load.results.filter(({ isWhole }) => isWhole);
  const wrong = whole.filter(({ events }) => events !== expected);
  return {
    broken: wrong.length > 0,
    detail: {
      whole_with_wrong_events: wrong.length,
      example: wrong[0]?.events,
      whole: whole.length,
      requests: load.results.length,
    },
  };
});
