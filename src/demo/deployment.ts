import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { openSync, readFileSync } from 'node:fs';
import type { Server } from 'node:http';
import { join } from 'node:path';
import { SystemClock } from '../adapters/system.js';
import { apply } from '../cli/commands.js';
import { sendEntryRequest } from '../cli/client.js';
import { safeLoadSettings } from '../cli/files.js';
import type { LoadedSettings } from '../cli/files.js';
import { ExitCode } from '../cli/outcome.js';
import { parseFleet } from '../core/configuration/index.js';
import type { Fleet } from '../core/configuration/index.js';
import { IssuesError } from '../core/issues.js';
import { createStandIns, serveStandIns } from '../emulator/standins.js';
import type { StandIns } from '../emulator/standins.js';

const ENTRY_COUNT = 6;

const READY_TIMEOUT_MS = 10_000;

const APPLY_TIMEOUT_MS = 5_000;

/** One entry process of the demo with its settings. */
export interface DemoEntry {
  readonly name: string;
  readonly loaded: LoadedSettings;
  readonly child: ChildProcess;
  /** Resolves with the exit code, or with null if a signal ended the process. */
  readonly exited: Promise<number | null>;
}

function loadEntrySettings(file: string): LoadedSettings {
  const loaded = safeLoadSettings(file);
  if (!loaded.success) throw new IssuesError(loaded.error);
  return loaded.data;
}

function startEntry(program: string, file: string, logFile: string): DemoEntry {
  const loaded = loadEntrySettings(file);
  const log = openSync(logFile, 'w');
  const child = spawn(process.execPath, [program, 'serve', file], { stdio: ['ignore', log, log] });
  const exited = new Promise<number | null>((resolve) => {
    child.once('exit', (code) => resolve(code));
  });
  return {
    name: loaded.settings.entry.name, loaded, child, exited,
  };
}

async function waitUntil(what: string, timeoutMs: number, check: () => Promise<boolean>): Promise<void> {
  const deadline = performance.now() + timeoutMs;
  while (!await check()) {
    if (performance.now() > deadline) throw new Error(`${what} took longer than ${timeoutMs} ms`);
    await new Promise((resolve) => {
      setTimeout(resolve, 50);
    });
  }
}

/** Stand-ins and six entry processes of one user. */
export class Deployment {
  private constructor(
    public readonly fleet: Fleet,
    public readonly fleetFile: string,
    public readonly standIns: StandIns,
    public readonly entries: readonly DemoEntry[],
    private readonly servers: readonly Server[],
  ) {}

  /**
   * Starts the deployment of `directory` (`examples/<user>`), applies its fleet file and waits until every entry is
   * ready. Stops it again and rejects if that fails or takes too long.
   */
  public static async start(directory: string, program: string, logDirectory: string): Promise<Deployment> {
    const fleetFile = join(directory, 'fleet.ini');
    const fleet = parseFleet(readFileSync(fleetFile, 'utf8'), fleetFile);
    const standIns = createStandIns(new SystemClock(), fleet);
    const files = Array.from({ length: ENTRY_COUNT }, (_, index) => join(directory, `entry-${index + 1}.ini`));
    const { platform } = loadEntrySettings(files[0]!).settings;
    const servers = await serveStandIns(standIns, fleet, { keyValue: platform.keyValue, hostList: platform.hostList });
    const entries = files.map((file, index) => (
      startEntry(program, file, join(logDirectory, `${fleet.name}-${index + 1}.log`))
    ));
    const deployment = new Deployment(fleet, fleetFile, standIns, entries, servers);
    try {
      await deployment.applyFleetAndWaitUntilReady();
    } catch (err) {
      await deployment.stop();
      throw err;
    }
    return deployment;
  }

  /** Caller addresses of all entries. */
  public get addresses(): string[] {
    return this.entries.map(({ loaded }) => loaded.settings.listen.callers);
  }

  /** Sends SIGTERM to all entries, waits for their planned stop and returns their exit codes in order. */
  public async stop(): Promise<(number | null)[]> {
    for (const { child } of this.entries) child.kill('SIGTERM');
    const codes = await Promise.all(this.entries.map(({ exited }) => exited));
    for (const server of this.servers) {
      server.close();
      server.closeAllConnections();
    }
    return codes;
  }

  private async applyFleetAndWaitUntilReady(): Promise<void> {
    const { settings, secrets } = this.entries[0]!.loaded;
    const target = { at: settings.listen.operators, token: secrets.operatorToken };
    await waitUntil('applying the fleet file', READY_TIMEOUT_MS, async () => {
      const outcome = await apply(target, this.fleetFile, { timeoutMs: APPLY_TIMEOUT_MS });
      return outcome.exitCode === ExitCode.Done;
    });
    for (const address of this.addresses) {
      await waitUntil(`the start of ${address}`, READY_TIMEOUT_MS, async () => {
        const reply = await sendEntryRequest({
          address, method: 'GET', path: '/ready', timeoutMs: 1_000,
        });
        return reply.success && reply.data.status === 200;
      });
    }
  }
}
