import type { Result } from '../result.js';
import type { CallOptions, Disposable } from './runtime.js';

/** Error of a call to another entry. */
export type PeerError =
  | { readonly code: 'unreachable' | 'timeout'; readonly message: string }
  | { readonly code: 'rejected'; readonly message: string };

/** Sends JSON-RPC requests to other entries. The caller must validate the results. */
export interface PeerClient {
  /** Calls a method of the entry at `address`. */
  call(address: string, method: string, params: unknown, opts: CallOptions): Promise<Result<unknown, PeerError>>;
}

/** Handles one JSON-RPC method; `params` is not validated. */
export type PeerHandler = (params: unknown) => Promise<Result<unknown, PeerError>>;

/** Registers handlers for the JSON-RPC methods that this process serves to other entries. */
export interface PeerServer {
  /** Registers the handler of a method; dispose the returned handle to remove it. */
  register(method: string, handler: PeerHandler): Disposable;
}
