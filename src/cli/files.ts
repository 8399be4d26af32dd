import { readFileSync } from 'node:fs';
import { dirname, resolve } from 'node:path';
import type { Issue } from '../core/issues.js';
import { fail, ok } from '../core/result.js';
import type { Result } from '../core/result.js';
import { safeParseSecrets, safeParseSettings } from '../core/configuration/index.js';
import type { Secrets, Settings } from '../core/configuration/index.js';

/** Reads a text file; an unreadable one is an issue. */
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

/** Reads secrets from the environment and from the file, where one is named. */
export function safeReadSecrets(file: string | undefined): Result<Secrets, readonly Issue[]> {
  const text = file === undefined ? ok('') : safeReadText(file);
  return text.success ? safeParseSecrets(text.data, file ?? 'environment', process.env) : text;
}

/** Settings file of an entry with the secrets that belong to it. */
export interface LoadedSettings {
  readonly settings: Settings;
  readonly secrets: Secrets;
}

/** Reads the settings of an entry and its secrets, whose path is relative to the settings file; reports all issues. */
export function safeLoadSettings(file: string): Result<LoadedSettings, readonly Issue[]> {
  const text = safeReadText(file);
  if (!text.success) return text;
  const settings = safeParseSettings(text.data, file);
  if (!settings.success) return settings;
  const named = settings.data.secrets.file;
  const secrets = safeReadSecrets(named === undefined ? undefined : resolve(dirname(file), named));
  return secrets.success ? ok({ settings: settings.data, secrets: secrets.data }) : secrets;
}
