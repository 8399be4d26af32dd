import type { Socket } from 'node:net';
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

/** First bytes of each answer. */
const ANSWER_START = 'HTTP/1.';

// eslint-disable-next-line no-control-regex -- They may not stand in a status line.
const CONTROL_BYTE = /[\0-\x08\x0b\x0c\x0e-\x1f\x7f]/;

/**
 * Destroys a connection if the first line after a request is not the status line of an HTTP/1.x answer. The parser also
 * accepts HTTP/0.9, HTTP/2.0, RTSP/1.0 and any byte in the reason; it tells neither the version nor the whole reason.
 */
export function checkStatusLines(socket: Socket): void {
  let bytesWritten = 0;
  let start = '';
  let isOver = false;
  // The client library reads the socket itself; each chunk is emitted here before it gets it.
  socket.on('data', (chunk: Buffer) => {
    if (socket.bytesWritten !== bytesWritten) {
      bytesWritten = socket.bytesWritten;
      start = '';
      isOver = false;
    }
    if (isOver) return;
    const end = chunk.indexOf('\n');
    const part = chunk.toString('latin1', 0, end === -1 ? chunk.length : end);
    isOver = end !== -1;
    start = (start + part).slice(0, ANSWER_START.length);
    if (!ANSWER_START.startsWith(start) || CONTROL_BYTE.test(part)) socket.destroy(new Error('not an HTTP/1 answer'));
  });
}
