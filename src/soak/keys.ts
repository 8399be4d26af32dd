import type { SeededRandom } from '../emulator/random.js';

/** Names of the workspaces of a soak run. */
export const WORKSPACES = ['inn', 'lodge'] as const;

/** Number of configurations in which a key stays valid. */
const VALID_VERSIONS = 2;

/** Share of the calls that are sent with a key that was taken away. */
const REVOKED_SHARE = 0.1;

/** Key of a workspace, with the times in ms at which the store acknowledged its begin and its end. */
export interface KeyRecord {
  readonly key: string;
  readonly workspace: string;
  readonly addedAt: number;
  removedAt: number | null;
}

/** Keys of the workspaces: each configuration adds one to each workspace and takes away an old one. */
export class KeyRing {
  public readonly keys = new Map<string, KeyRecord>();

  /** Workspaces of a configuration, in the platform's format. */
  public tenants(version: number): readonly object[] {
    return WORKSPACES.map((name) => ({
      name,
      'api-keys': Array.from({ length: VALID_VERSIONS }, (_, age) => `${name}-key-${version - age}`),
    }));
  }

  /** Records that a configuration was acknowledged at a time in ms. */
  public acknowledged(version: number, at: number): void {
    for (const workspace of WORKSPACES) {
      const key = `${workspace}-key-${version}`;
      this.keys.set(key, {
        key, workspace, addedAt: at, removedAt: null,
      });
      const removed = this.keys.get(`${workspace}-key-${version - VALID_VERSIONS}`);
      if (removed !== undefined) removed.removedAt = at;
    }
  }

  /** Picks the newest key of a workspace, and now and then one that was taken away. */
  public pick(random: SeededRandom): KeyRecord {
    const workspace = random.pick(WORKSPACES);
    const own = [...this.keys.values()].filter((record) => record.workspace === workspace);
    const removed = own.filter(({ removedAt }) => removedAt !== null);
    return removed.length > 0 && random.float() < REVOKED_SHARE ? random.pick(removed) : own.at(-1)!;
  }
}
