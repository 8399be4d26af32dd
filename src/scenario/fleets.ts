/** Options of {@link scenarioFleet}. */
export interface ScenarioFleet {
  readonly engines: number;
  readonly servers: number;
}

/**
 * Returns the fleet file of a scenario: engines `e1`, `e2` and so on, of which every second ignores fencing tokens,
 * and servers `s1`, `s2` and so on of the service `ledger`.
 */
export function scenarioFleet({ engines, servers }: ScenarioFleet): string {
  const lines = ['[fleet]', 'name = scenario', '[model.advice]', 'version = 1'];
  for (let index = 1; index <= engines; index += 1) {
    lines.push(
      `[engine.e${index}]`,
      `address = 10.1.0.${index}:8100`,
      `host = eh${index}`,
      `failure-domain = d${((index - 1) % 3) + 1}`,
      'models = advice',
      'role = mixed',
      `fencing = ${index % 2 === 1 ? 'enforced' : 'ignored'}`,
      'state = active',
    );
  }
  lines.push('[service.ledger]', 'idempotent = stock', 'non-idempotent = order');
  for (let index = 1; index <= servers; index += 1) {
    lines.push(
      `[server.s${index}]`,
      'service = ledger',
      `address = 10.2.0.${index}:8200`,
      `host = sh${index}`,
      `failure-domain = d${((index - 1) % 3) + 1}`,
      'state = active',
    );
  }
  lines.push('[workspace.default]', 'weight = 1', '');
  return lines.join('\n');
}

/** Returns the fleet file with one key of one section set; adds the section if it does not exist. */
export function editFleet(file: string, section: string, key: string, value: string): string {
  const lines = file.split('\n');
  const start = lines.indexOf(`[${section}]`);
  if (start < 0) return `${file}[${section}]\n${key} = ${value}\n`;
  const next = lines.findIndex((line, index) => index > start && line.startsWith('['));
  const end = next < 0 ? lines.length : next;
  const found = lines.findIndex((line, index) => index > start && index < end && line.startsWith(`${key} =`));
  if (found >= 0) lines[found] = `${key} = ${value}`;
  else lines.splice(start + 1, 0, `${key} = ${value}`);
  return lines.join('\n');
}
