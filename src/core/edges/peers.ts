import type { Result } from '../result.js';
import type { CallOptions, Disposable } from './runtime.js';

/** Error of a call to another entry. */
export type PeerError =
  | { readonly code: 'unreachable' | 'timeout'; readonly message: string }
  | { readonly code: 'rejected'; readonly message: string };

/** Sends JSON-RPC requests to other entries; results are checked by the caller. */
export interface PeerClient {
  call(address: string, method: string, params: unknown, opts: CallOptions): Promise<Result<unknown, PeerError>>;
}

/** Handles one JSON-RPC method; `params` is unchecked input. */
export type PeerHandler = (params: unknown) => Promise<Result<unknown, PeerError>>;

/** Where parts register the methods that they serve to other entries. */
export interface PeerServer {
  register(method: string, handler: PeerHandler): Disposable;
}
