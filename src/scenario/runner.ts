import { EXPECTATIONS } from './expectations.js';
import { safeParseScenario } from './language.js';
import type { ParsedStep, ScenarioIssue } from './language.js';
import { STEPS } from './steps.js';
import { World } from './world.js';

/** Options of {@link runScenario}. */
export interface RunScenarioOptions {
  /** Name of the scenario in issues. */
  readonly file: string;
  readonly seed: number;
}

/** Result of a scenario; it passed if there are no issues. */
export interface ScenarioResult {
  readonly issues: readonly ScenarioIssue[];
  readonly world: World;
}

async function runStep(world: World, step: ParsedStep<World>, file: string): Promise<ScenarioIssue | null> {
  const issue = (message: string): ScenarioIssue => ({
    code: 'expectation', file, line: step.line, message: `${step.text}: ${message}`,
  });
  try {
    const mismatch = await step.form.run(world, step.values);
    return typeof mismatch === 'string' ? issue(mismatch) : null;
  } catch (err) {
    return issue(err instanceof Error ? err.message : String(err));
  }
}

/** Runs a scenario with real entries on a simulated clock; stops at the first unmet expectation or broken invariant. */
export async function runScenario(source: string, options: RunScenarioOptions): Promise<ScenarioResult> {
  const world = new World(options.seed);
  const steps = safeParseScenario(source, options.file, [...STEPS, ...EXPECTATIONS]);
  if (!steps.success) return { issues: steps.error, world };
  for (const step of steps.data) {
    const issue = await runStep(world, step, options.file);
    if (issue !== null) return { issues: [issue], world };
    const violation = world.isStarted ? world.violations()[0] : undefined;
    if (violation !== undefined) {
      const message = `${step.text}: invariant broken: ${violation}`;
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
