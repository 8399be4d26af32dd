function route(name: string, kind: string, changes: object = {}): object {
  return {
    name,
    host: 'shop.example',
    'path-prefix': `/${name}/`,
    kind,
    service: 'shop',
    'timeout-ms': 2_500,
    'target-latency-ms': 200,
    priority: 0,
    'max-attempts': 2,
    ...changes,
  };
}

/**
 * Platform configuration as JSON: a route for each type of call, an idempotent one for each name in `added`, and the
 * workspaces with their keys.
 */
export function configuration(version: number, added: readonly string[], tenants: readonly object[]): string {
  return JSON.stringify({
    version,
    routes: [
      route('order', 'non_idempotent'),
      route('look', 'idempotent'),
      route('talk', 'streaming', { resumable: true }),
      ...added.map((name) => route(name, 'idempotent')),
    ],
    tenants,
    services: [{ name: 'shop', 'max-connections': 90 }],
    limits: {
      'max-header-bytes': 16_384, 'max-body-bytes': 65_536, 'header-timeout-ms': 3_000, 'idle-timeout-ms': 15_000,
    },
  });
}
