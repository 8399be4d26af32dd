import { z } from 'zod';
import { HostState } from '../core/interfaces/index.js';
import type {
  CallOptions, UnavailableError, HostList, HostRecord, WeightStore,
} from '../core/interfaces/index.js';
import { fail, ok } from '../core/result.js';
import type { Result } from '../core/result.js';
import { HttpConnection } from './http.js';

const hostsSchema = z.array(z.object({
  host: z.string(),
  failureDomain: z.string(),
  state: z.enum(HostState),
}));

const weightsSchema = z.object({ bytes: z.number(), concurrentLoads: z.number() });

async function getJson<T>(
  connection: HttpConnection,
  path: string,
  schema: z.ZodType<T>,
  opts: CallOptions,
): Promise<Result<T, UnavailableError>> {
  const response = await connection.requestJson({ ...opts, method: 'GET', path });
  if (!response.success) return fail({ code: 'unavailable', message: response.error.message });
  const parsed = schema.safeParse(response.data.body);
  return parsed.success ? ok(parsed.data) : fail({ code: 'unavailable', message: 'unexpected answer' });
}

/** Client of the platform's host list over HTTP: `GET /hosts`. */
export class HttpHostList implements HostList {
  private readonly connection: HttpConnection;

  public constructor(address: string) {
    this.connection = new HttpConnection(address, { connections: 1 });
  }

  public list(opts: CallOptions): Promise<Result<readonly HostRecord[], UnavailableError>> {
    return getJson(this.connection, '/hosts', hostsSchema, opts);
  }

  public dispose(): void {
    void this.connection.close();
  }
}

/** Client of the weight store over HTTP: `GET /weights/<model>/<version>`. */
export class HttpWeightStore implements WeightStore {
  private readonly connection: HttpConnection;

  public constructor(address: string) {
    this.connection = new HttpConnection(address, { connections: 1 });
  }

  public describe(
    model: string,
    version: string,
    opts: CallOptions,
  ): Promise<Result<{ readonly bytes: number; readonly concurrentLoads: number }, UnavailableError>> {
    const path = `/weights/${encodeURIComponent(model)}/${encodeURIComponent(version)}`;
    return getJson(this.connection, path, weightsSchema, opts);
  }

  public dispose(): void {
    void this.connection.close();
  }
}
