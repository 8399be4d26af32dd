import yargs from 'yargs';
import type { Argv } from 'yargs';
import {
  address, apply, check, drain, dump, orderPart, show,
} from './commands.js';
import { explain } from './explain.js';
import type { OperatorTarget } from './commands.js';
import { safeLoadSettings, safeReadText } from './files.js';
import { ExitCode, failed, invalid } from './outcome.js';
import type { Outcome } from './outcome.js';
import { serve } from './serve.js';
import type { StartEntry } from './serve.js';
import type { Issue } from '../core/issues.js';
import { fail, ok } from '../core/result.js';
import type { Result } from '../core/result.js';
import { Secret, SECRET_VARIABLES } from '../core/configuration/index.js';
import { parseIni } from '../core/ini.js';

const VERSION = '0.1.0';

const EXIT_CODES = [
  'Exit codes: 0 done; 1 refused, or failed without effect; 2 wrong usage or settings;',
  '3 sent, and the outcome is unknown.',
].join(' ');

const APPLY_TIMEOUT_MS = 10_000;

const DRAIN_TIMEOUT_MS = 600_000;

interface TargetArguments {
  readonly at: string | undefined;
  readonly settings: string | undefined;
  readonly secrets: string | undefined;
}

function withJson<T>(args: Argv<T>): Argv<T & { json: boolean }> {
  return args.epilogue(EXIT_CODES)
    .option('json', { type: 'boolean', default: false, describe: 'print one line of JSON' });
}

function withTarget<T>(args: Argv<T>): Argv<T & TargetArguments & { json: boolean }> {
  return withJson(args)
    .option('at', { type: 'string', describe: 'IP address and port of the operator listener' })
    .option('settings', { type: 'string', describe: 'settings file of the entry, instead of --at and --secrets' })
    .option('secrets', {
      type: 'string', describe: `secrets file; otherwise the token is read from ${SECRET_VARIABLES.get('operator-token')}`,
    });
}

/** Returns the value if it is a whole number of at least 0 or missing, and throws otherwise. */
function wholeNumber(value: number | undefined): number | undefined {
  if (value === undefined || (Number.isSafeInteger(value) && value >= 0)) return value;
  throw new Error('expected a whole number');
}

/** Reads the operator token from the environment or, failing that, from a secrets file; its other keys are ignored. */
function safeReadToken(file: string | undefined): Result<Secret, readonly Issue[]> {
  const variable = SECRET_VARIABLES.get('operator-token') ?? '';
  const fromEnvironment = process.env[variable];
  if (fromEnvironment !== undefined && fromEnvironment !== '') return ok(new Secret(fromEnvironment));
  const missing: Issue = { code: 'missing', path: ['secrets', 'operator-token'], expected: `a token here or in ${variable}` };
  if (file === undefined) return fail([missing]);
  const text = safeReadText(file);
  if (!text.success) return text;
  const token = parseIni(text.data).sections.get('secrets')?.values.get('operator-token');
  return token === undefined ? fail([{ ...missing, file }]) : ok(new Secret(token));
}

/** Reads address and token of the entry that a command is sent to. */
function safeReadTarget(args: TargetArguments): Result<OperatorTarget, Outcome> {
  if (args.settings !== undefined) {
    const loaded = safeLoadSettings(args.settings);
    if (!loaded.success) return fail(invalid(ExitCode.Usage, loaded.error));
    const { settings, secrets } = loaded.data;
    return ok({ at: args.at ?? settings.listen.operators, token: secrets.operatorToken });
  }
  if (args.at === undefined) {
    return fail(failed(ExitCode.Usage, 'name the entry with --at ADDRESS or --settings FILE'));
  }
  const token = safeReadToken(args.secrets);
  return token.success ? ok({ at: args.at, token: token.data }) : fail(invalid(ExitCode.Usage, token.error));
}

function print(outcome: Outcome, json: boolean): ExitCode {
  const text = json ? JSON.stringify(outcome.json) : outcome.text;
  const stream = outcome.exitCode === ExitCode.Done || json ? process.stdout : process.stderr;
  stream.write(`${text}\n`);
  return outcome.exitCode;
}

/** Runs a command line and resolves to its exit code. `start` starts an entry for the command `serve`. */
export async function run(argv: readonly string[], start: StartEntry): Promise<ExitCode> {
  let exitCode = ExitCode.Done;
  const finish = (outcome: Outcome, json: boolean): void => {
    exitCode = print(outcome, json);
  };
  const runOnTarget = async (
    args: TargetArguments & { readonly json: boolean },
    command: (target: OperatorTarget) => Promise<Outcome>,
  ): Promise<void> => {
    const target = safeReadTarget(args);
    finish(target.success ? await command(target.data) : target.error, args.json);
  };
  const parser = yargs([...argv]).scriptName('catkinscale').version(VERSION).strict()
    .demandCommand(1, 'name a command')
    .epilogue(EXIT_CODES)
    .exitProcess(false)
    .wrap(100)
    .fail((message: string | null, err: Error | undefined) => {
      // Without this throw, yargs would still run the command.
      throw err ?? new Error(`${message ?? 'wrong usage'}; see catkinscale --help`);
    })
    .command(
      'serve <settings>',
      'run one entry until SIGTERM, which starts a planned stop',
      (args) => args.epilogue(EXIT_CODES).positional('settings', { type: 'string', demandOption: true, describe: 'settings file' }),
      async (args) => {
        const outcome = await serve(args.settings, start);
        // The report is printed as JSON, like the log before it; errors in settings are printed as text.
        finish(outcome, outcome.exitCode === ExitCode.Done);
      },
    )
    .command(
      'gateway <settings>',
      'run one gateway on the platform until SIGTERM has stopped it',
      (args) => args.epilogue(EXIT_CODES).positional('settings', { type: 'string', demandOption: true, describe: 'settings file' }),
      async (args) => {
        const { runGateway } = await import('./gateway.js');
        finish(await runGateway(args.settings), true);
      },
    )
    .command(
      'quarantine <order> <service> <part>',
      'keep a prompt part from engines, let it through, or leave that to the gateways again',
      (args) => withJson(args)
        .positional('order', { choices: ['block', 'allow', 'clear'] as const, demandOption: true, describe: 'what to do' })
        .positional('service', { type: 'string', demandOption: true, describe: 'service of the engines' })
        .positional('part', { type: 'string', demandOption: true, describe: 'hexadecimal id of the part' })
        .option('at', { type: 'string', demandOption: true, describe: 'IP address and port of a gateway\'s metrics' }),
      async (args) => finish(await orderPart(args.at, args.order, args), args.json),
    )
    .command(
      'explain <host> <target>',
      'show where a call would go now, and why, without sending it',
      (args) => withJson(args)
        .positional('host', { type: 'string', demandOption: true, describe: 'host name of the call' })
        .positional('target', { type: 'string', demandOption: true, describe: 'path and query of the call' })
        .option('workspace', { type: 'string', describe: 'workspace of the caller; without it, the call has no key' })
        .option('prompt', { type: 'number', describe: 'tokens of the prompt' })
        .option('output', { type: 'number', describe: 'largest number of tokens of the answer' })
        .option('parts', { type: 'string', describe: 'parts of the prompt as ID:TOKENS, separated by commas' })
        .option('resumes', { type: 'string', describe: 'request id of the attempt that began a stream, to take it up' })
        .coerce(['prompt', 'output'], wholeNumber)
        .option('at', { type: 'string', demandOption: true, describe: 'IP address and port of a gateway\'s metrics' }),
      async (args) => finish(await explain(args.at, args), args.json),
    )
    .command(
      'apply <file>',
      'put a fleet file in force, in full or not at all',
      (args) => withTarget(args.positional('file', { type: 'string', demandOption: true, describe: 'fleet file' }))
        .option('base', { type: 'number', describe: 'refuse if another revision than this one is in force' })
        .coerce(['base', 'timeout'], wholeNumber)
        .option('timeout', { type: 'number', default: APPLY_TIMEOUT_MS, describe: 'time to wait for the outcome, in ms' }),
      (args) => runOnTarget(args, (target) => apply(target, args.file, {
        timeoutMs: args.timeout, ...(args.base === undefined ? {} : { base: args.base }),
      })),
    )
    .command('show', 'show the fleet file in force', withTarget, (args) => runOnTarget(args, show))
    .command('dump', 'show the state of one entry', withTarget, (args) => runOnTarget(args, dump))
    .command(
      'check <file>',
      'check a fleet file, or a settings file and its secrets, and report every issue',
      (args) => withJson(args.positional('file', { type: 'string', demandOption: true, describe: 'file to check' }))
        .option('settings', { type: 'boolean', default: false, describe: 'the file is a settings file' }),
      (args) => finish(check(args.file, args.settings), args.json),
    )
    .command(
      'address',
      'ask which entry a caller should use',
      (args) => withJson(args)
        .option('at', { type: 'string', demandOption: true, describe: 'IP address and port of any caller listener' }),
      async (args) => finish(await address(args.at), args.json),
    )
    .command(
      'drain',
      'stop an entry without cutting a request, and wait for its report',
      (args) => withTarget(args)
        .coerce('timeout', wholeNumber)
        .option('timeout', { type: 'number', default: DRAIN_TIMEOUT_MS, describe: 'time to wait for the report, in ms' }),
      (args) => runOnTarget(args, (target) => drain(target, args.timeout)),
    );
  try {
    await parser.parseAsync();
  } catch (err) {
    finish(failed(ExitCode.Usage, err instanceof Error ? err.message : String(err)), false);
  }
  return exitCode;
}
