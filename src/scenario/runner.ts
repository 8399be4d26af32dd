import { EXPECTATIONS } from './expectations.js';
import { safeParseScenario } from './language.js';
import type { ParsedStep, ScenarioIssue } from './language.js';
import { STEPS } from './steps.js';
import { World } from './world.js';

/** Options of {@link runScenario}. */
export interface RunScenarioOptions {
  readonly file: string;
  readonly seed: number;
}

/** Result of a scenario; empty issues are good. */
export interface ScenarioResult {
  readonly issues: readonly ScenarioIssue[];
  readonly world: World;
}

async function runStep(world: World, step: ParsedStep<World>, file: string): Promise<ScenarioIssue | null> {
  const issue = (message: string): ScenarioIssue => ({
    code: 'expectation', file, line: step.line, message: `${step.text}: ${message}`,
  });
  try {
    const seen = await step.form.run(world, step.values);
    return typeof seen === 'string' ? issue(seen) : null;
  } catch (err) {
    return issue(err instanceof Error ? err.message : String(err));
  }
}

/** Runs a scenario over real entries on a simulated clock; stops at the first unmet expectation. */
export async function runScenario(source: string, options: RunScenarioOptions): Promise<ScenarioResult> {
  const world = new World(options.seed);
  const steps = safeParseScenario(source, options.file, [...STEPS, ...EXPECTATIONS]);
  if (!steps.success) return { issues: steps.error, world };
  for (const step of steps.data) {
    const issue = await runStep(world, step, options.file);
    if (issue !== null) return { issues: [issue], world };
    const breach = world.started ? world.breaches()[0] : undefined;
    if (breach !== undefined) {
      const message = `${step.text}: invariant broken: ${breach}`;
      return {
        issues: [{
          code: 'expectation', file: options.file, line: step.line, message,
        }],
        world,
      };
    }
  }
  return { issues: [], world };
}
