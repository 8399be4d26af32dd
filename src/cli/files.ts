import { readFileSync } from 'node:fs';
import { dirname, resolve } from 'node:path';
import type { Issue } from '../core/issues.js';
import { fail, ok } from '../core/result.js';
import type { Result } from '../core/result.js';
import { safeParseSecrets, safeParseSettings } from '../core/configuration/index.js';
import type { Secrets, Settings } from '../core/configuration/index.js';

/** Reads a text file; fails with one issue if it cannot be read. */
export function safeReadText(file: string): Result<string, readonly Issue[]> {
  try {
    return ok(readFileSync(file, 'utf8'));
  } catch (err) {
    const found = err instanceof Error ? err.message : String(err);
    return fail([{
      code: 'invalid_value', path: [], file, found, expected: 'a readable file',
    }]);
  }
}

/** Reads secrets from the environment and, if one is given, from a secrets file. */
export function safeReadSecrets(file: string | undefined): Result<Secrets, readonly Issue[]> {
  const text = file === undefined ? ok('') : safeReadText(file);
  return text.success ? safeParseSecrets(text.data, file ?? 'environment', process.env) : text;
}

/** Settings of an entry and its secrets. */
export interface LoadedSettings {
  readonly settings: Settings;
  readonly secrets: Secrets;
}

/** Reads a settings file and its secrets file, whose path is relative to it; fails with all issues. */
export function safeLoadSettings(file: string): Result<LoadedSettings, readonly Issue[]> {
  const text = safeReadText(file);
  if (!text.success) return text;
  const settings = safeParseSettings(text.data, file);
  if (!settings.success) return settings;
  const secretsFile = settings.data.secrets.file;
  const secrets = safeReadSecrets(secretsFile === undefined ? undefined : resolve(dirname(file), secretsFile));
  return secrets.success ? ok({ settings: settings.data, secrets: secrets.data }) : secrets;
}
