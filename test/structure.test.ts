import { readdirSync, readFileSync } from 'node:fs';
import { dirname, join, relative } from 'node:path';
import { fileURLToPath } from 'node:url';
import { describe, expect, it } from 'vitest';

const root = join(dirname(fileURLToPath(import.meta.url)), '..');

function listSources(directory: string): string[] {
  return readdirSync(join(root, directory), { recursive: true, encoding: 'utf8' })
    .filter((file) => file.endsWith('.ts')).map((file) => join(directory, file));
}

/** Local files that each file imports, also if it imports only types. */
function readImports(files: readonly string[]): Map<string, string[]> {
  return new Map(files.map((file) => {
    const text = readFileSync(join(root, file), 'utf8');
    const imports = [...text.matchAll(/^(?:import|export)\b[^;']*'(\.[^']+)\.js';$/gm)];
    return [file, imports.map(([, target]) => `${join(dirname(file), target!)}.ts`)];
  }));
}

/** Returns the first cycle of imports found, or `null` if there is none. */
function findCycle(imports: ReadonlyMap<string, readonly string[]>): string[] | null {
  const done = new Set<string>();
  const visit = (file: string, path: readonly string[]): string[] | null => {
    if (path.includes(file)) return [...path.slice(path.indexOf(file)), file];
    if (done.has(file)) return null;
    for (const target of imports.get(file) ?? []) {
      const cycle = visit(target, [...path, file]);
      if (cycle !== null) return cycle;
    }
    done.add(file);
    return null;
  };
  for (const file of imports.keys()) {
    const cycle = visit(file, []);
    if (cycle !== null) return cycle;
  }
  return null;
}

describe('structure', () => {
  const imports = readImports([...listSources('src'), ...listSources('platform')]);

  it('finds a cycle in a given graph of imports', () => {
    expect(findCycle(new Map([['a', ['b']], ['b', ['c', 'd']], ['c', []], ['d', ['b']]]))).toEqual(['b', 'd', 'b']);
  });

  // Guards against checks that pass because they read no imports.
  it('reads imports of values and of types', () => {
    expect(imports.get('src/gateway/gateway.ts')).toContain('src/core/interfaces/index.ts');
    expect(imports.get('platform/index.ts')).toContain('platform/codec.ts');
  });

  // Guards against modules that cannot be understood or loaded one at a time.
  it('has no cyclic imports between modules of src and platform', () => {
    expect(findCycle(imports)).toBeNull();
  });

  // Guards against names of the users' platform in the product.
  it('imports the platform only in the composition root', () => {
    const users = [...imports].filter(([file, targets]) => (
      !file.startsWith('platform/') && targets.some((target) => target.startsWith('platform/'))
    ));
    expect(users.map(([file]) => relative('src', file))).toEqual(['cli/gateway.ts']);
  });

  // Guards against imports that bypass the index of a folder of the core; only the library's index names its modules.
  it('imports from a folder of the core only through its index', () => {
    const bypassing = [...imports].flatMap(([file, targets]) => targets
      .filter((target) => /^src\/core\/\w+\/(?!index\.ts$)/.test(target)
        && dirname(target) !== dirname(file) && file !== 'src/index.ts')
      .map((target) => `${file}: ${target}`));
    expect(bypassing).toEqual([]);
  });
});
