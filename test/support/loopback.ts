import type { Server } from 'node:http';
import { SystemClock } from '../../src/adapters/system.js';
import type { Log } from '../../src/core/interfaces/index.js';
import { parseFleet } from '../../src/core/configuration/fleet.js';
import { Secret, parseSettings } from '../../src/core/configuration/settings.js';
import { startEntryProcess } from '../../src/daemon/process.js';
import type { EntryProcess } from '../../src/daemon/process.js';
import type { EngineParameters } from '../../src/emulator/enginemodel.js';
import { ENGINE_PARAMETERS } from '../../src/emulator/enginemodel.js';
import type { StandInRecorder } from '../../src/emulator/server.js';
import { createStandIns, serveStandIns } from '../../src/emulator/standins.js';
import type { StandIns } from '../../src/emulator/standins.js';

/** Log that discards its lines. */
export const silentLog: Log = { info: () => {}, warn: () => {}, error: () => {} };

const FAST_ENGINE_PARAMETERS: EngineParameters = { ...ENGINE_PARAMETERS, decodeBaseMs: 5, roleChangeMs: 200 };

/** Consecutive loopback addresses; `firstPort` is to be below the range of ephemeral ports of the system. */
function loopbackAddresses(firstPort: number, count: number): string[] {
  return Array.from({ length: count }, (_, index) => `127.0.0.1:${firstPort + index}`);
}

/** Options of {@link startLoopback}. */
export interface LoopbackOptions {
  readonly entries: number;
  readonly engines?: number;
  /** First of at most 50 ports; test files run in parallel, so each needs ports of its own. */
  readonly firstPort: number;
  /** Receives the requests to the stand-ins. */
  readonly record?: StandInRecorder;
}

/** Entries and stand-ins in this process, with the addresses of the entries by index. */
export interface Loopback {
  readonly callers: readonly string[];
  readonly operators: readonly string[];
  readonly processes: readonly EntryProcess[];
  readonly standIns: StandIns;
  /** Fleet file that was applied. */
  readonly file: string;
  readonly operatorToken: string;
  stop(): Promise<void>;
}

function fleetFile(engines: readonly string[], servers: readonly string[]): string {
  return [
    '[fleet]', 'name = test',
    '[model.advice]', 'version = 1',
    ...engines.flatMap((address, index) => [
      `[engine.e${index}]`, `address = ${address}`, `host = eh${index}`, `failure-domain = d${index % 2}`,
      'models = advice', 'role = mixed', `fencing = ${index % 2 === 0 ? 'enforced' : 'ignored'}`,
    ]),
    '[service.ledger]', 'idempotent = stock', 'non-idempotent = order',
    ...servers.flatMap((address, index) => [
      `[server.s${index}]`, 'service = ledger', `address = ${address}`, `host = sh${index}`, `failure-domain = d${index % 2}`,
    ]),
    '[workspace.default]', 'weight = 1', '',
  ].join('\n');
}

const SECRETS = {
  operatorToken: new Secret('operator-token-for-tests'),
  peerToken: new Secret('peer-token-for-tests'),
  ticketKey: new Secret('ticket-key-for-tests'),
};

/** Starts stand-ins and entries in this process on loopback addresses and applies a fleet file; throws if one fails. */
export async function startLoopback(options: LoopbackOptions): Promise<Loopback> {
  const {
    entries, engines = 2, firstPort, record,
  } = options;
  const addresses = loopbackAddresses(firstPort, 2 + engines + 2 + entries * 3);
  const [keyValue, hostList] = addresses.splice(0, 2) as [string, string];
  const file = fleetFile(addresses.splice(0, engines), addresses.splice(0, 2));
  const fleet = parseFleet(file);
  const standIns = createStandIns(new SystemClock(), fleet, FAST_ENGINE_PARAMETERS);
  const servers: Server[] = await serveStandIns(standIns, fleet, { keyValue, hostList }, record);
  const callers = addresses.splice(0, entries);
  const operators = addresses.splice(0, entries);
  const peers = addresses.splice(0, entries);
  const processes: EntryProcess[] = [];
  for (let index = 0; index < entries; index += 1) {
    const settings = parseSettings([
      '[entry]', `name = n${index}`, `failure-domain = d${index % 2}`,
      '[listen]', `callers = ${callers[index]}`, `operators = ${operators[index]}`, `peers = ${peers[index]}`,
      '[peers]', `seeds = ${peers.join(', ')}`,
      '[platform]', `key-value = ${keyValue}`, `host-list = ${hostList}`, `weight-store = ${hostList}`,
      '[address]', 'keep = 200ms',
    ].join('\n'), 'test.ini');
    const process = await startEntryProcess(settings, SECRETS, silentLog);
    if (!process.success) throw new Error(process.error.message);
    processes.push(process.data);
  }
  const applied = await processes[0]!.entry.apply(file, undefined, 5_000);
  if (applied.type !== 'accepted') throw new Error(JSON.stringify(applied));
  return {
    callers,
    operators,
    processes,
    standIns,
    file,
    operatorToken: SECRETS.operatorToken.reveal(),
    stop: async () => {
      await Promise.all(processes.map((process) => process.stop()));
      for (const server of servers) {
        server.closeAllConnections();
        server.close();
      }
    },
  };
}

/** Waits until a condition holds; throws after `timeoutMs`. */
export async function eventually(condition: () => boolean, timeoutMs = 5_000): Promise<void> {
  const end = Date.now() + timeoutMs;
  while (!condition()) {
    if (Date.now() > end) throw new Error('the condition did not become true in time');
    await new Promise((resolve) => {
      setTimeout(resolve, 20);
    });
  }
}
