/** Successful outcome that carries `data`. */
export interface Success<T> {
  readonly success: true;
  readonly data: T;
}

/** Failed outcome that carries a typed `error`. */
export interface Failure<E> {
  readonly success: false;
  readonly error: E;
}

/** Outcome of an operation that can fail; expected failures are returned as values, never thrown. */
export type Result<T, E> = Success<T> | Failure<E>;

/** Wraps a value in a successful outcome. */
export function ok<T>(data: T): Success<T> {
  return { success: true, data };
}

/** Wraps an error in a failed outcome. */
export function fail<E>(error: E): Failure<E> {
  return { success: false, error };
}

/** Thrown when an internal invariant is violated, which is a bug; the process must stop. */
export class InvariantError extends Error {
  public override readonly name = 'InvariantError';
}

/** Throws {@link InvariantError} unless `condition` holds. */
export function invariant(condition: boolean, message: string): asserts condition {
  if (!condition) throw new InvariantError(message);
}

/** Marks the unreachable default branch of an exhaustive switch; throws {@link InvariantError} if it is reached. */
export function assertNever(value: never): never {
  throw new InvariantError(`unexpected variant: ${JSON.stringify(value)}`);
}
