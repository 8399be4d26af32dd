import { createServer } from 'node:http';
import { pipeline } from 'node:stream/promises';
import { Agent, request } from 'undici';
import { SystemClock } from '../adapters/system.js';
import { startEntryProcess } from '../daemon/process.js';
import { parseSettings, safeParseSecrets } from '../core/configuration/index.js';
import { EmulatedHostList, EmulatedWeightStore } from '../emulator/platform.js';
import { KeyValueStore } from '../emulator/keyvalue.js';
import { startKeyValueServer } from '../emulator/keyvalueserver.js';
import { startPlatformServer } from '../emulator/platformserver.js';
import {
  ENGINE_PORT, ENTRY_SETTINGS, KEY_VALUE_PORT, PIPE_PORT, PLATFORM_PORT,
} from './children.js';
import type { ChildTask, ResourceUsage } from './children.js';
import { startUpstream } from './upstream.js';

/** Starts a minimal proxy, Node's HTTP server with undici as its client, as the reference for the entry's overhead. */
function startPipeProxy(): Promise<void> {
  const agent = new Agent({ connections: 512, pipelining: 1 });
  const server = createServer({ noDelay: true }, (req, res) => {
    void (async () => {
      const answer = await request(`http://127.0.0.1:${ENGINE_PORT}${req.url}`, {
        dispatcher: agent, method: 'POST', body: req,
      });
      res.writeHead(answer.statusCode, { 'content-type': 'text/event-stream' });
      await pipeline(answer.body, res);
    })();
  });
  return new Promise((resolve) => {
    server.listen(PIPE_PORT, '127.0.0.1', 4_096, resolve);
  });
}

/** Starts the measured entry with the settings and secrets of the bench. */
async function startEntry(): Promise<void> {
  const settings = parseSettings(ENTRY_SETTINGS, 'bench.ini');
  const secrets = safeParseSecrets('', 'environment', process.env);
  if (!secrets.success) throw new Error('the bench sets all secrets');
  const silentLog = { info: () => {}, warn: () => {}, error: () => {} };
  const started = await startEntryProcess(settings, secrets.data, silentLog);
  if (!started.success) throw new Error(started.error.message);
}

/** Starts the servers of the task's role; `upstream` is the emulated platform with its engines. */
async function runTask(task: ChildTask): Promise<void> {
  if (task.role === 'pipe') await startPipeProxy();
  else if (task.role === 'entry') await startEntry();
  else {
    await startKeyValueServer(new KeyValueStore(new SystemClock()), `127.0.0.1:${KEY_VALUE_PORT}`);
    await startPlatformServer(new EmulatedHostList(), new EmulatedWeightStore(), `127.0.0.1:${PLATFORM_PORT}`);
    for (let index = 0; index < task.engines; index += 1) {
      await startUpstream(`engine-${index}`, ENGINE_PORT + index, task.upstream);
    }
  }
}

// Every message from the parent asks for the resources used so far.
process.on('message', () => {
  globalThis.gc?.();
  const { user, system } = process.cpuUsage();
  const usage: ResourceUsage = { cpuMs: (user + system) / 1_000, residentBytes: process.memoryUsage().rss };
  process.send?.(usage);
});
void (async () => {
  await runTask(JSON.parse(process.argv[2] ?? '{}') as ChildTask);
  process.send?.('ready');
})();
