import type {
  CallOptions, PlainService, ServiceAnswer, ServiceCall, ServiceError,
} from '../core/interfaces/index.js';
import { fail, ok } from '../core/result.js';
import type { Result } from '../core/result.js';
import { HttpConnection } from './http.js';

const LEAVING_STATUS = 503;

/** Client of one backend server of a plain service over HTTP: `POST /<operation>` with the caller's body. */
export class HttpService implements PlainService {
  private readonly connection: HttpConnection;

  public constructor(public readonly name: string, address: string) {
    this.connection = new HttpConnection(address);
  }

  public async call(call: ServiceCall, opts: CallOptions): Promise<Result<ServiceAnswer, ServiceError>> {
    const { requestId, attemptId } = call;
    const response = await this.connection.send({
      ...opts,
      method: 'POST',
      path: `/${encodeURIComponent(call.operation)}`,
      body: { workspace: call.workspace, body: call.body },
      headers: {
        'x-request-id': requestId,
        'x-attempt-id': attemptId,
        ...(call.idempotencyKey === undefined ? {} : { 'idempotency-key': call.idempotencyKey }),
      },
    });
    if (!response.success) {
      return fail(response.error.sent
        ? { code: 'broken', sent: 'unknown', message: response.error.message }
        : { code: 'unreachable', sent: 'no', message: response.error.message });
    }
    try {
      const body = await response.data.body.text();
      const status = response.data.statusCode;
      if (status === LEAVING_STATUS && response.data.headers['x-leaving'] === 'true') {
        return fail({ code: 'leaving', sent: 'no', message: 'the backend server is leaving' });
      }
      if (response.data.headers['x-attempt-id'] !== attemptId) {
        return fail({ code: 'broken', sent: 'unknown', message: 'the answer belongs to another call' });
      }
      return ok({
        requestId, attemptId, status, body,
      });
    } catch (err) {
      return fail({ code: 'broken', sent: 'unknown', message: String(err) });
    }
  }

  public dispose(): void {
    void this.connection.close();
  }
}
