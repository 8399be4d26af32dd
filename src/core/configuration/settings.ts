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
    /** Peer addresses of entries that a starting entry asks first. */
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
    /** How long callers may keep an address answer. */
    keep: durationSchema('100 ms', '10 min').prefault('5 s'),
  }),
  drain: z.strictObject({
    /** Time after which a planned stop hands over the streams that still run. */
    bound: durationSchema('0 ms', '1 h').prefault('30 s'),
  }),
  stream: z.strictObject({
    /** Time after a disconnect during which an answer can be resumed. */
    resumeWindow: durationSchema('0 ms', '10 min').prefault('15 s'),
    /** Unread answer text held for one caller. */
    buffer: sizeSchema('1 KiB', '16 MiB').prefault('16 KiB'),
    /** Time after which a caller that reads nothing counts as disconnected. */
    stall: durationSchema('100 ms', '10 min').prefault('30 s'),
  }),
  limits: z.strictObject({
    /** Largest request body of a caller. */
    body: sizeSchema('1 KiB', '64 MiB').prefault('1 MB'),
    connections: countSchema(1, 100_000).prefault('8192'),
    headerTimeout: durationSchema('100 ms', '1 min').prefault('10 s'),
  }),
  authority: z.strictObject({
    lease: durationSchema('500 ms', '1 min').prefault('3 s'),
  }),
} as const;

const LISTS = ['seeds'];

/** Settings of one entry; durations are in ms and sizes in bytes. */
export type Settings = { readonly [Name in keyof typeof SECTIONS]: z.output<typeof SECTIONS[Name]> };

/** Parses the settings of an entry and checks all of them; the error holds every issue. */
export function safeParseSettings(text: string, file: string): Result<Settings, readonly Issue[]> {
  return safeParseSections(SECTIONS, text, file, LISTS);
}

/** Parses the settings of an entry; throws {@link IssuesError} with every issue. */
export function parseSettings(text: string, file: string): Settings {
  const result = safeParseSettings(text, file);
  if (!result.success) throw new IssuesError(result.error);
  return result.data;
}

/** Value that never appears in text, JSON or an inspection; `reveal` gives it to the code that needs it. */
export class Secret {
  readonly #value: string;

  public constructor(value: string) {
    this.#value = value;
  }

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
  /** Bearer token of the operator listener. */
  operatorToken: secretSchema,
  /** Token that entries show each other. */
  peerToken: secretSchema,
  /** Key that signs event ids; the same at all entries. */
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

/** Parses a secrets file, whose one section is `[secrets]`, completed from the environment. */
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
  // The text of an issue must not show any part of a secret.
  const hidden = issues.map((issue) => ('found' in issue ? { ...issue, found: '[secret]' } : issue));
  return hidden.length === 0 && parsed.success ? ok(parsed.data) : fail(hidden);
}
