import { readFileSync, readdirSync } from 'node:fs';
import { describe, expect, it } from 'vitest';
import { scenarioIssueText } from '../src/scenario/language.js';
import { runScenario } from '../src/scenario/runner.js';

const FOLDER = new URL('./scenarios/', import.meta.url);
const SEED = 1;

// Each file in the folder is one test and says in its first line what it guards against.
describe('scenarios', () => {
  for (const file of readdirSync(FOLDER).filter((name) => name.endsWith('.scenario'))) {
    it(file, async () => {
      const source = readFileSync(new URL(file, FOLDER), 'utf8');
      const result = await runScenario(source, { file, seed: SEED });
      expect(result.issues.map(scenarioIssueText)).toEqual([]);
    });
  }
});
