import { readdirSync, readFileSync } from 'node:fs';
import { dirname, join, relative } from 'node:path';
import { fileURLToPath } from 'node:url';
import { describe, expect, it } from 'vitest';

const root = join(dirname(fileURLToPath(import.meta.url)), '..');

function sources(directory: string): string[] {
  return readdirSync(join(root, directory), { recursive: true, encoding: 'utf8' })
    .filter((file) => file.endsWith('.ts')).map((file) => join(directory, file));
}

/** Local files that each file imports, types included. */
function readImports(files: readonly string[]): Map<string, string[]> {
  return new Map(files.map((file) => {
    const text = readFileSync(join(root, file), 'utf8');
    const imports = [...text.matchAll(/^(?:import|export)\b[^;']*'(\.[^']+)\.js';$/gm)];
    return [file, imports.map(([, target]) => `${join(dirname(file), target!)}.ts`)];
  }));
}

/** One circle of imports, or `null`. */
function findCircle(imports: ReadonlyMap<string, readonly string[]>): string[] | null {
  const done = new Set<string>();
  const visit = (file: string, path: readonly string[]): string[] | null => {
    if (path.includes(file)) return [...path.slice(path.indexOf(file)), file];
    if (done.has(file)) return null;
    for (const target of imports.get(file) ?? []) {
      const circle = visit(target, [...path, file]);
      if (circle !== null) return circle;
    }
    done.add(file);
    return null;
  };
  for (const file of imports.keys()) {
    const circle = visit(file, []);
    if (circle !== null) return circle;
  }
  return null;
}

describe('structure', () => {
  const imports = readImports([...sources('src'), ...sources('platform')]);

  it('finds a circle', () => {
    expect(findCircle(new Map([['a', ['b']], ['b', ['c', 'd']], ['c', []], ['d', ['b']]]))).toEqual(['b', 'd', 'b']);
  });

  // Guards against a check that passes because it reads no imports.
  it('reads imports of values and of types', () => {
    expect(imports.get('src/gateway/gateway.ts')).toContain('src/core/interfaces/index.ts');
    expect(imports.get('platform/index.ts')).toContain('platform/codec.ts');
  });

  // Guards against modules that can't be read or loaded one after the other.
  it('has no circle of imports', () => {
    expect(findCircle(imports)).toBeNull();
  });

  // Guards against the platform's names spreading into the product.
  it('imports the platform only where the program is put together', () => {
    const users = [...imports].filter(([file, targets]) => (
      !file.startsWith('platform/') && targets.some((target) => target.startsWith('platform/'))
    ));
    expect(users.map(([file]) => relative('src', file))).toEqual(['cli/gateway.ts']);
  });

  // Guards against imports past the index of another aggregate; the library's own index names its modules one by one.
  it('reaches into an aggregate of the core through its index', () => {
    const past = [...imports].flatMap(([file, targets]) => targets
      .filter((target) => /^src\/core\/\w+\/(?!index\.ts$)/.test(target)
        && dirname(target) !== dirname(file) && file !== 'src/index.ts')
      .map((target) => `${file}: ${target}`));
    expect(past).toEqual([]);
  });
});
