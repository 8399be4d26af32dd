import { spawn } from 'node:child_process';
import type { ChildProcessByStdio } from 'node:child_process';
import { mkdtempSync, rmSync } from 'node:fs';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { Readable, Writable } from 'node:stream';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';
import { round } from './summary.js';

/** Resources that one member uses when it runs in a process of its own and talks real HTTP over loopback. */
export interface MemberProcessUsage {
  /** Members that the process knows, itself included. */
  readonly members: number;
  /** Resident memory in MB beyond that of an idle Node.js process. */
  readonly residentMb: number;
  /** Share of one processor core. */
  readonly coreShare: number;
}

type Child = ChildProcessByStdio<Writable, Readable, null>;

/** Program that does nothing until its standard input closes, then prints its resident memory. */
const IDLE_PROGRAM = `setInterval(() => {}, 1000);
process.stdin.on('end', () => {
  process.stdout.write(JSON.stringify({ residentMb: process.memoryUsage().rss / 1e6 }));
  process.exit(0);
}).resume();`;

/** Finds a free loopback address by listening on port 0 and closing again. */
async function freeAddress(): Promise<string> {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return `127.0.0.1:${port}`;
}

function startNode(args: readonly string[]): Child {
  return spawn(process.execPath, args, { stdio: ['pipe', 'pipe', 'inherit'] });
}

/** Closes the standard input of a child, which makes it exit, and parses the JSON that it prints. */
async function readReport<T>(child: Child): Promise<T> {
  child.stdin.end();
  let text = '';
  for await (const chunk of child.stdout) text += String(chunk);
  return JSON.parse(text) as T;
}

/**
 * Runs `nodes` members and one idle process for `durationMs`. The memory and processor figures are the highest of any
 * member; `members` is the lowest count that any member reports.
 */
export async function measureMemberProcesses(nodes: number, durationMs: number): Promise<MemberProcessUsage> {
  const directory = mkdtempSync(join(tmpdir(), 'catkinscale-control-'));
  const program = join(directory, 'member.mjs');
  try {
    await build({
      entryPoints: [fileURLToPath(new URL('./memorynode.ts', import.meta.url))],
      bundle: true,
      platform: 'node',
      format: 'esm',
      outfile: program,
      logLevel: 'error',
      banner: { js: 'import { createRequire } from "node:module"; const require = createRequire(import.meta.url);' },
    });
    const addresses = await Promise.all(Array.from({ length: nodes }, freeAddress));
    const idle = startNode(['-e', IDLE_PROGRAM]);
    const children = addresses.map((address) => startNode([program, address, ...addresses.slice(0, 3)]));
    await new Promise((resolve) => {
      setTimeout(resolve, durationMs);
    });
    const members = await Promise.all(children.map((child) => readReport<MemberProcessUsage>(child)));
    const { residentMb } = await readReport<{ readonly residentMb: number }>(idle);
    return {
      members: Math.min(...members.map((member) => member.members)) + 1,
      residentMb: round(Math.max(...members.map((member) => member.residentMb)) - residentMb, 1),
      coreShare: round(Math.max(...members.map(({ coreShare }) => coreShare)), 5),
    };
  } finally {
    rmSync(directory, { recursive: true });
  }
}
