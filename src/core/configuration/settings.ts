import { z } from 'zod';
import { addressSchema, nameSchema } from './fleet.js';
import { parseIni, safeParseSection, safeParseSections } from '../ini.js';
import { IssuesError } from '../issues.js';
import type { Issue } from '../issues.js';
import { fail, ok } from '../result.js';
import type { Result } from '../result.js';
import { countSchema, durationSchema, sizeSchema } from '../units.js';

const SECTIONS = {
  entry: z.strictObject({
    name: nameSchema,
    failureDomain: nameSchema,
  }),
  listen: z.strictObject({
    callers: addressSchema,
    operators: addressSchema,
    peers: addressSchema,
  }),
  peers: z.strictObject({
    /** Peer addresses of the entries that a starting entry contacts first. */
    seeds: z.array(addressSchema).default([]),
  }),
  platform: z.strictObject({
    keyValue: addressSchema,
    hostList: addressSchema,
    weightStore: addressSchema,
  }),
  secrets: z.strictObject({
    file: z.string().min(1, 'a path').optional(),
  }),
  address: z.strictObject({
    /** Time for which callers may cache an address answer. */
    keep: durationSchema('100 ms', '10 min').prefault('5 s'),
  }),
  drain: z.strictObject({
    /** Time after which a planned stop hands over the streams that are still running. */
    bound: durationSchema('0 ms', '1 h').prefault('30 s'),
  }),
  stream: z.strictObject({
    /** Time after a disconnect during which a caller can resume its stream. */
    resumeWindow: durationSchema('0 ms', '10 min').prefault('15 s'),
    /** Maximum size of the answer text buffered for one caller that has not read it yet. */
    buffer: sizeSchema('1 KiB', '16 MiB').prefault('16 KiB'),
    /** Time without a read after which a caller counts as disconnected. */
    stall: durationSchema('100 ms', '10 min').prefault('30 s'),
  }),
  limits: z.strictObject({
    /** Maximum size of a caller's request body. */
    body: sizeSchema('1 KiB', '64 MiB').prefault('1 MB'),
    connections: countSchema(1, 100_000).prefault('8192'),
    headerTimeout: durationSchema('100 ms', '1 min').prefault('10 s'),
  }),
  authority: z.strictObject({
    lease: durationSchema('500 ms', '1 min').prefault('3 s'),
  }),
} as const;

const LIST_KEYS = ['seeds'];

/** Settings of one entry; durations in ms, sizes in bytes. */
export type Settings = { readonly [Name in keyof typeof SECTIONS]: z.output<typeof SECTIONS[Name]> };

/** Parses and validates the settings of an entry; on failure, the result contains all issues. */
export function safeParseSettings(text: string, file: string): Result<Settings, readonly Issue[]> {
  return safeParseSections(SECTIONS, text, file, LIST_KEYS);
}

/** Parses and validates the settings of an entry; throws {@link IssuesError} with all issues. */
export function parseSettings(text: string, file: string): Settings {
  const result = safeParseSettings(text, file);
  if (!result.success) throw new IssuesError(result.error);
  return result.data;
}

/** Value that never appears in strings, JSON or `util.inspect` output; code that needs it calls `reveal`. */
export class Secret {
  readonly #value: string;

  public constructor(value: string) {
    this.#value = value;
  }

  /** Returns the value. */
  public reveal(): string {
    return this.#value;
  }

  public toString(): string {
    return '[secret]';
  }

  public toJSON(): string {
    return '[secret]';
  }
}

const SECRET_EXPECTED = 'a secret of 16 to 256 characters';

const secretSchema = z.string().min(16, SECRET_EXPECTED).max(256, SECRET_EXPECTED)
  .transform((value) => new Secret(value))
  .describe(SECRET_EXPECTED);

const secretsSchema = z.strictObject({
  /** Bearer token that operators send to the operator listener. */
  operatorToken: secretSchema,
  /** Token with which entries authenticate to each other. */
  peerToken: secretSchema,
  /** Key that signs event ids; all entries must have the same one. */
  ticketKey: secretSchema,
});

/** Secrets of one entry. */
export type Secrets = z.output<typeof secretsSchema>;

/** Environment variable of each secret; it takes precedence over the file. */
export const SECRET_VARIABLES: ReadonlyMap<string, string> = new Map([
  ['operator-token', 'CATKINSCALE_OPERATOR_TOKEN'],
  ['peer-token', 'CATKINSCALE_PEER_TOKEN'],
  ['ticket-key', 'CATKINSCALE_TICKET_KEY'],
]);

/**
 * Parses a secrets file, which has one section, `[secrets]`. Environment variables take precedence over its values. On
 * failure, the result contains all issues, without any secret.
 */
export function safeParseSecrets(
  text: string,
  file: string,
  environment: Readonly<Record<string, string | undefined>>,
): Result<Secrets, readonly Issue[]> {
  const document = parseIni(text, file);
  const issues: Issue[] = [...document.issues];
  for (const section of document.sections.values()) {
    if (section.name !== 'secrets') {
      issues.push({
        code: 'unknown_key', path: [section.name], file, line: section.line, accepted: ['secrets'],
      });
    }
  }
  const inFile = document.sections.get('secrets');
  const values = new Map(inFile?.values ?? []);
  for (const [key, variable] of SECRET_VARIABLES) {
    const value = environment[variable];
    if (value !== undefined && value !== '') values.set(key, value);
  }
  const section = {
    name: 'secrets', line: inFile?.line ?? 0, values, lines: inFile?.lines ?? new Map<string, number>(),
  };
  const parsed = safeParseSection('secrets', section, secretsSchema, { file });
  if (!parsed.success) issues.push(...parsed.error);
  // The text of an issue must not contain any part of a secret.
  const redacted = issues.map((issue) => ('found' in issue ? { ...issue, found: '[secret]' } : issue));
  return redacted.length === 0 && parsed.success ? ok(parsed.data) : fail(redacted);
}
