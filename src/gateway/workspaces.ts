import { createHash } from 'node:crypto';
import { assertNever, fail, ok } from '../core/result.js';
import type { Result } from '../core/result.js';

/** Workspace to which callers belong, as operators configure it. */
export interface Workspace {
  readonly name: string;
  /** Priority of its calls, before that of their route; 0 is the most urgent, `null` leaves it to the route. */
  readonly priority: number | null;
  /** Digests of its keys, see {@link keyDigest}; the keys themselves are not kept. */
  readonly keyDigests: readonly string[];
}

/** Key that a call presents. */
export type Credential =
  | { readonly type: 'none' }
  /** Another scheme than bearer, more than one header, or no single key. */
  | { readonly type: 'malformed' }
  | { readonly type: 'key'; readonly digest: string };

/** Who sends a call, as it was decided when the call was admitted. */
export type Caller =
  /** The configuration has no workspaces, so keys are not checked and are passed on like other headers. */
  | { readonly type: 'unchecked' }
  /** The route is public and the call has no valid key. */
  | { readonly type: 'anonymous' }
  | { readonly type: 'workspace'; readonly name: string; readonly priority: number | null };

/** Why a call is not admitted. */
export interface Unauthorized {
  readonly code: 'unauthorized';
  readonly message: string;
}

/** Digest under which a key is looked up, so that the time of the look-up says nothing about the keys. */
export function keyDigest(key: string): string {
  return createHash('sha256').update(key).digest('base64url');
}

/** Finds the workspace of a key. A key that two workspaces have belongs to the first. */
export class WorkspaceKeys {
  private readonly byDigest = new Map<string, Workspace>();

  public constructor(workspaces: readonly Workspace[]) {
    for (const workspace of workspaces) {
      for (const digest of workspace.keyDigests) if (!this.byDigest.has(digest)) this.byDigest.set(digest, workspace);
    }
  }

  /** Workspace of a key by its digest, or `null`. */
  public find(digest: string): Workspace | null {
    return this.byDigest.get(digest) ?? null;
  }
}

function workspaceCaller({ name, priority }: Workspace): Caller {
  return { type: 'workspace', name, priority };
}

/** Decides who sends a call; `keys` is `null` where the configuration has no workspaces. */
export function identifyCaller(
  { isPublic }: { readonly isPublic: boolean },
  keys: WorkspaceKeys | null,
  credential: Credential,
): Result<Caller, Unauthorized> {
  if (keys === null) return ok({ type: 'unchecked' });
  const workspace = credential.type === 'key' ? keys.find(credential.digest) : null;
  if (workspace !== null) return ok(workspaceCaller(workspace));
  if (isPublic) return ok({ type: 'anonymous' });
  const refuse = (message: string): Result<Caller, Unauthorized> => fail({ code: 'unauthorized', message });
  switch (credential.type) {
    case 'none': return refuse('a key is required');
    case 'malformed': return refuse('one bearer key is expected');
    case 'key': return refuse('the key is not valid');
    default: return assertNever(credential);
  }
}

/** Priority of a call: that of its workspace, else that of its route. */
export function callPriority({ priority }: { readonly priority: number }, caller: Caller): number {
  return caller.type === 'workspace' ? caller.priority ?? priority : priority;
}
