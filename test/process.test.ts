import {
  afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import { request } from 'undici';
import type { Server } from 'node:http';
import { SystemClock } from '../src/adapters/system.js';
import { startEntryProcess } from '../src/daemon/process.js';
import type { EntryProcess } from '../src/daemon/process.js';
import { parseFleet } from '../src/core/configuration/fleet.js';
import { parseSettings, safeParseSecrets } from '../src/core/configuration/settings.js';
import { createStandIns, serveStandIns } from '../src/emulator/standins.js';
import { answerText } from '../src/emulator/text.js';
import { quietLog } from './support/fakes.js';

const TOKEN = 'operator-token-of-the-test';

const FLEET = `
[fleet]
name = test
[model.notes]
version = 1
[engine.one]
address = 127.0.0.1:24711
host = host-one
failure-domain = south-1
models = notes
fencing = enforced
[workspace.default]
weight = 1
`;

const SETTINGS = `
[entry]
name = entry-1
failure-domain = south-1
[listen]
callers = 127.0.0.1:24701
operators = 127.0.0.1:24702
peers = 127.0.0.1:24703
[platform]
key-value = 127.0.0.1:24704
host-list = 127.0.0.1:24705
weight-store = 127.0.0.1:24705
[address]
keep = 200 ms
`;

let servers: Server[];
let entry: EntryProcess;

async function operator(method: 'GET' | 'POST', path: string, body?: string): Promise<Record<string, unknown>> {
  const res = await request(`http://127.0.0.1:24702${path}`, {
    method, headers: { authorization: `Bearer ${TOKEN}` }, ...(body === undefined ? {} : { body }),
  });
  return await res.body.json() as Record<string, unknown>;
}

function complete(prompt: string): ReturnType<typeof request> {
  return request('http://127.0.0.1:24701/v1/completions', {
    method: 'POST', body: JSON.stringify({ model: 'notes', prompt, max_tokens: 30 }),
  });
}

/** Waits until a request succeeds, which is after the entry has read the engine's status. */
async function untilServed(): Promise<void> {
  for (let tries = 0; tries < 40; tries += 1) {
    const res = await complete('[answer-tokens=1]');
    await res.body.dump();
    if (res.statusCode === 200) return;
    await new Promise((resolve) => {
      setTimeout(resolve, 50);
    });
  }
}

beforeEach(async () => {
  const fleet = parseFleet(FLEET);
  const platform = { keyValue: '127.0.0.1:24704', hostList: '127.0.0.1:24705' };
  servers = await serveStandIns(createStandIns(new SystemClock(), fleet), fleet, platform);
  const secrets = safeParseSecrets('', 'environment', {
    CATKINSCALE_OPERATOR_TOKEN: TOKEN,
    CATKINSCALE_PEER_TOKEN: 'peer-token-of-the-test',
    CATKINSCALE_TICKET_KEY: 'ticket-key-of-the-test',
  });
  if (!secrets.success) throw new Error('secrets expected');
  const started = await startEntryProcess(parseSettings(SETTINGS, 'entry.ini'), secrets.data, quietLog);
  if (!started.success) throw new Error(started.error.message);
  entry = started.data;
  expect(await operator('POST', '/apply', FLEET)).toMatchObject({ type: 'accepted' });
});

afterEach(async () => {
  await entry.stop();
  for (const server of servers) {
    server.close();
    server.closeAllConnections();
  }
});

describe('entry process', () => {
  // Guards against secrets in the state dump, and against a dump that operators have to wait for while it is busy.
  it('dumps its state without secrets', async () => {
    const text = JSON.stringify(await operator('GET', '/dump'));
    expect(text).toContain('entry-1');
    for (const secret of [TOKEN, 'peer-token-of-the-test', 'ticket-key-of-the-test']) expect(text).not.toContain(secret);
  });

  // Guards against a drain report that waits for the close of the connection on which it is sent, and is lost with it.
  it('finishes running answers in a planned stop and sends its report before the listeners close', async () => {
    const prompt = '[answer-tokens=20] Is the hen well?';
    await untilServed();
    const answering = complete(prompt);
    await new Promise((resolve) => {
      setTimeout(resolve, 100);
    });
    const report = operator('POST', '/drain');
    const answer = await (await answering).body.json() as { choices: { text: string }[] };
    expect(answer.choices[0]?.text).toBe(answerText(prompt, 30));
    expect(await report).toMatchObject({ cut: 0, handedOver: 0 });
    expect(await entry.stopped).toMatchObject({ cut: 0, handedOver: 0 });
    await expect(request('http://127.0.0.1:24701/ready')).rejects.toMatchObject({ code: 'ECONNREFUSED' });
  });
});
