import { DecoratorHandler } from 'undici';
import type { Dispatcher } from 'undici';

/** HTTP defines the classes 1xx to 5xx. */
const MAX_STATUS = 599;

/** Why the head of an answer is invalid although the parser of the client library accepts it, or `null`. */
export function findHeadProblem(status: number): string | null {
  return status > MAX_STATUS ? `invalid status ${status}` : null;
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
    const [controller, status] = args;
    const problem = findHeadProblem(status);
    if (problem === null) super.onResponseStart(...args);
    else controller.abort(new Error(problem));
  }
}

/** Interceptor that fails requests whose answer has an invalid head; see {@link findHeadProblem}. */
export const rejectInvalidHeads: Dispatcher.DispatcherComposeInterceptor = (dispatch) => (options, handler) => (
  dispatch(options, new HeadCheck(handler))
);
