import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import {
  afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import { ExitCode } from '../src/cli/outcome.js';
import { run } from '../src/cli/program.js';
import type { RunningEntry, StartEntry } from '../src/cli/serve.js';
import type { HttpListener } from '../src/daemon/http.js';
import { Metrics } from '../src/daemon/metrics.js';
import { listenOperators } from '../src/daemon/operators.js';
import { fail, ok } from '../src/core/result.js';
import { Secret } from '../src/core/configuration/settings.js';
import { CallerTestServer } from './support/callers.js';
import { quietLog } from './support/fakes.js';
import type { FakeEntry } from './support/fakes.js';

const TOKEN = 'operator-token-of-the-test';
const FLEET = '[fleet]\nname = halvorsen\n';
const SETTINGS = `
[entry]
name = entry-1
failure-domain = regina
[listen]
callers = 127.0.0.1:8001
operators = 127.0.0.1:8002
peers = 127.0.0.1:8003
[platform]
key-value = 127.0.0.1:8004
host-list = 127.0.0.1:8005
weight-store = 127.0.0.1:8006
`;

const REPORT = {
  finished: 2, handedOver: 1, cut: 0, durationMs: 12,
};

let entry: FakeEntry;
let operators: HttpListener;
let callers: CallerTestServer;
let directory: string;
let output: string;

const failingStart: StartEntry = () => Promise.resolve(fail({ message: 'cannot listen' }));

function cli(...argv: string[]): Promise<ExitCode> {
  return run(argv, failingStart);
}

function file(name: string, text: string): string {
  const path = join(directory, name);
  writeFileSync(path, text);
  return path;
}

beforeEach(async () => {
  callers = await CallerTestServer.open();
  entry = callers.entry;
  const opened = await listenOperators(entry, {
    address: '127.0.0.1:0',
    token: new Secret(TOKEN),
    log: quietLog,
    meter: new Metrics(),
    renderMetrics: () => '',
    drain: () => entry.drain(),
  });
  if (!opened.success) throw new Error(opened.error.message);
  operators = opened.data;
  directory = mkdtempSync(join(tmpdir(), 'catkinscale-'));
  vi.stubEnv('CATKINSCALE_OPERATOR_TOKEN', TOKEN);
  output = '';
  const capture = (chunk: string | Uint8Array): boolean => {
    output += String(chunk);
    return true;
  };
  vi.spyOn(process.stdout, 'write').mockImplementation(capture);
  vi.spyOn(process.stderr, 'write').mockImplementation(capture);
});

afterEach(() => {
  vi.restoreAllMocks();
  vi.unstubAllEnvs();
  operators.destroy();
  callers.close();
  rmSync(directory, { recursive: true });
});

describe('command line', () => {
  it.each(['serve', 'apply', 'show', 'dump', 'check', 'address', 'drain'])('prints help for %s that lists the exit codes', async (name) => {
    vi.spyOn(console, 'log').mockImplementation((text: string) => {
      output += text;
    });
    expect(await cli(name, '--help')).toBe(ExitCode.Done);
    expect(output).toContain('Exit codes: 0 done; 1 refused');
  });

  it.each([[], ['fly'], ['apply'], ['show', '--colour'], ['address'], ['show'], ['apply', 'x', '--at', 'y', '--base', 'z']])(
    'exits with 2 on wrong usage: %j',
    async (...argv) => {
      expect(await cli(...argv)).toBe(ExitCode.Usage);
      expect(output.length).toBeGreaterThan(0);
    },
  );
});

describe('check', () => {
  it('exits with 0 for a valid fleet file', async () => {
    expect(await cli('check', file('fleet.ini', FLEET))).toBe(ExitCode.Done);
  });

  it('exits with 1 and lists every issue of an invalid fleet file', async () => {
    const path = file('fleet.ini', '[fleet]\nnom = x\n[rack]\n');
    expect(await cli('check', path, '--json')).toBe(ExitCode.Refused);
    const { issues } = JSON.parse(output) as { issues: { text: string }[] };
    expect(issues.map((issue) => issue.text.replace(path, 'F').slice(0, 18)))
      .toEqual(['F:3: [rack]: unkno', 'F:2: [fleet] nom: ', 'F:1: [fleet] name:']);
  });

  it('exits with 2 for invalid settings', async () => {
    expect(await cli('check', '--settings', file('entry.ini', '[entry]\n'))).toBe(ExitCode.Usage);
  });
});

describe('apply', () => {
  const apply = (text = FLEET): Promise<ExitCode> => cli('apply', file('fleet.ini', text), '--at', operators.address);

  it('exits with 0 and prints the revision when the file is accepted', async () => {
    expect(await apply()).toBe(ExitCode.Done);
    expect(output).toBe('accepted as revision 4\n');
  });

  it('exits with 1 when another file was accepted first', async () => {
    entry.applied = { type: 'conflict', revision: 9, hash: 'x' };
    expect(await apply()).toBe(ExitCode.Refused);
    expect(output).toContain('revision 9');
  });

  it('exits with 3 when the outcome is unknown', async () => {
    entry.applied = { type: 'unknown', message: 'no answer from the key-value service' };
    expect(await apply()).toBe(ExitCode.Unknown);
  });

  it('sends no invalid file to the entry', async () => {
    expect(await apply('[fleet]\n')).toBe(ExitCode.Refused);
    expect(entry.files).toEqual([]);
  });

  it('exits with 1 for a wrong token', async () => {
    vi.stubEnv('CATKINSCALE_OPERATOR_TOKEN', 'wrong-token-of-the-test');
    expect(await apply()).toBe(ExitCode.Refused);
  });

  // Guards against the exit code for "no effect" when the entry may have acted on the request.
  it('exits with 3 when the connection breaks after sending, and with 1 when nothing listens at the address', async () => {
    const breaking = createServer((socket) => {
      socket.on('error', () => {});
      socket.once('data', () => socket.destroy());
    });
    await new Promise<void>((resolve) => {
      breaking.listen(0, '127.0.0.1', () => resolve());
    });
    const at = `127.0.0.1:${(breaking.address() as AddressInfo).port}`;
    const path = file('fleet.ini', FLEET);
    expect(await cli('apply', path, '--at', at)).toBe(ExitCode.Unknown);
    await new Promise((resolve) => {
      breaking.close(resolve);
    });
    expect(await cli('apply', path, '--at', at)).toBe(ExitCode.Refused);
  });
});

describe('show, dump, drain and address', () => {
  it('print the file in force, the state dump, the drain report and the address', async () => {
    const at = ['--at', operators.address, '--json'];
    expect(await cli('show', ...at)).toBe(ExitCode.Done);
    expect(await cli('dump', ...at)).toBe(ExitCode.Done);
    expect(await cli('drain', ...at)).toBe(ExitCode.Done);
    expect(await cli('address', '--at', callers.baseUrl.slice('http://'.length))).toBe(ExitCode.Done);
    const [shown, dumped, drained, address] = output.trimEnd().split('\n');
    expect(JSON.parse(shown!)).toMatchObject({ revision: 3 });
    expect(JSON.parse(dumped!)).toEqual({ entry: { name: 'one' } });
    expect(JSON.parse(drained!)).toEqual(REPORT);
    expect(address).toBe('10.0.0.1:8000');
  });
});

describe('serve', () => {
  beforeEach(() => {
    for (const name of ['CATKINSCALE_PEER_TOKEN', 'CATKINSCALE_TICKET_KEY']) vi.stubEnv(name, '0123456789abcdef');
  });

  it('exits with 2 on invalid settings and with 1 when the entry cannot start', async () => {
    expect(await cli('serve', file('bad.ini', '[entry]\n'))).toBe(ExitCode.Usage);
    expect(await cli('serve', file('entry.ini', SETTINGS))).toBe(ExitCode.Refused);
    expect(output).toContain('cannot listen');
  });

  it('starts a planned stop on SIGTERM and prints its report', async () => {
    let stop: (report: typeof REPORT) => void = () => {};
    const stopped = new Promise<typeof REPORT>((resolve) => {
      stop = resolve;
    });
    const running: RunningEntry = {
      stopped,
      stop: () => {
        stop(REPORT);
        return stopped;
      },
    };
    const start: StartEntry = () => {
      setTimeout(() => process.emit('SIGTERM'), 10);
      return Promise.resolve(ok(running));
    };
    expect(await run(['serve', file('entry.ini', SETTINGS)], start)).toBe(ExitCode.Done);
    expect(JSON.parse(output)).toEqual(REPORT);
  });
});
