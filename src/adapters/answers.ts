import { DecoratorHandler } from 'undici';
import type { Dispatcher } from 'undici';

type Headers = Readonly<Record<string, string | string[] | undefined>>;

/** HTTP defines the classes 1xx to 5xx. */
const MAX_STATUS = 599;

/**
 * Why the head of an answer is invalid although the parser of the client library accepts it, or `null`. An unknown
 * transfer coding leaves a body that is not the one that was sent.
 */
export function findHeadProblem(status: number, headers: Headers): string | null {
  if (status > MAX_STATUS) return `invalid status ${status}`;
  const coding = headers['transfer-encoding'];
  if (coding !== undefined && String(coding).toLowerCase() !== 'chunked') return 'unknown transfer coding';
  return null;
}

interface StartHandler {
  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[] | undefined>,
    reason?: string,
  ): void;
}

type ForwardingHandler = new (handler: Dispatcher.DispatchHandler) => StartHandler;

// undici's type declarations omit the methods that its DecoratorHandler forwards.
const ForwardingDecorator = DecoratorHandler as unknown as ForwardingHandler;

class HeadCheck extends ForwardingDecorator {
  public override onResponseStart(...args: Parameters<StartHandler['onResponseStart']>): void {
    const [controller, status, headers] = args;
    const problem = findHeadProblem(status, headers);
    if (problem === null) super.onResponseStart(...args);
    else controller.abort(new Error(problem));
  }
}

/** Interceptor that fails requests whose answer has an invalid head; see {@link findHeadProblem}. */
export const rejectInvalidHeads: Dispatcher.DispatcherComposeInterceptor = (dispatch) => (options, handler) => (
  dispatch(options, new HeadCheck(handler))
);
