import { z } from 'zod';
import { DisposableStore } from '../disposables.js';
import type {
  Clock, PeerClient, PeerError, PeerServer, Random,
} from '../edges/index.js';
import type { Members } from '../membership/index.js';
import { fail, ok } from '../result.js';
import type { Result } from '../result.js';
import { hashFile, inForceSchema } from './revisions.js';
import type { InForce, Revisions } from './revisions.js';
import { diffSections, joinSections, sectionsSchema } from './sections.js';

const PUSH_METHOD = 'configuration.push';

const PULL_METHOD = 'configuration.pull';

const PUSH_PEERS = 3;

const CALL_TIMEOUT_MS = 500;

const pushSchema = z.object({ revision: z.number().int().positive(), address: z.string() });

const baseSchema = z.object({ revision: z.number().int(), hash: z.string() });

const pullSchema = z.object({ base: baseSchema.nullable() });

const pulledSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('nothing') }),
  inForceSchema.extend({ type: z.literal('whole') }),
  inForceSchema.omit({ file: true }).extend({ type: z.literal('sections'), sections: sectionsSchema }),
]);

type Pulled = z.infer<typeof pulledSchema>;

/** Options of {@link Propagation}. */
export interface PropagationOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly peers: PeerClient;
  readonly server: PeerServer;
  readonly members: Members;
  readonly revisions: Revisions;
}

function malformed(): Result<never, PeerError> {
  return fail({ code: 'rejected', message: 'malformed parameters' });
}

/** Passes fleet files between entries: a new revision is announced, and the side with the lower one pulls it. */
export class Propagation {
  private readonly disposables = new DisposableStore();

  /** Pulls that are under way, by address. */
  private readonly pulling = new Set<string>();

  private readonly counts = {
    pushes: 0, pulls: 0, failed_pulls: 0, whole_files: 0, sections: 0,
  };

  public constructor(private readonly options: PropagationOptions) {
    const { server, members, revisions } = options;
    this.disposables.add(server.register(PUSH_METHOD, (params) => this.onPush(params)));
    this.disposables.add(server.register(PULL_METHOD, (params) => Promise.resolve(this.onPull(params))));
    this.disposables.add(members.onChange(() => this.catchUp()));
    this.disposables.add(revisions.onChange(() => {
      members.update({ revision: revisions.revision });
      this.push();
    }));
  }

  /** Pulls from one address whatever is higher than the revision held here; true if the peer answered. */
  public async pull(address: string): Promise<boolean> {
    const { revisions } = this.options;
    const base = revisions.inForce();
    const answer = await this.request(address, base);
    if (answer === null) return false;
    if (answer.type === 'nothing') return true;
    const file = answer.type === 'whole' ? answer.file : joinSections(base?.file ?? '', answer.sections);
    this.counts[answer.type === 'whole' ? 'whole_files' : 'sections'] += 1;
    const { revision, hash } = answer;
    if (file !== null && hashFile(file) === hash) {
      revisions.adopt({ revision, hash, file }, 'peer');
      return true;
    }
    if (answer.type === 'whole') return false;
    const whole = await this.request(address, null);
    if (whole?.type !== 'whole') return false;
    revisions.adopt(whole, 'peer');
    return true;
  }

  public dump(): Record<string, number> {
    return { ...this.counts };
  }

  public dispose(): void {
    this.disposables.dispose();
  }

  /** Pulls from a live member whose heartbeat shows a higher revision. */
  public catchUp(): void {
    const { members, revisions } = this.options;
    const ahead = members.live().filter((member) => member.revision > revisions.revision);
    if (ahead.length === 0) return;
    const highest = Math.max(...ahead.map((member) => member.revision));
    const [source] = this.shuffled(ahead.filter((member) => member.revision === highest));
    void this.pullOnce(source!.address);
  }

  private push(): void {
    const { members, peers, revisions } = this.options;
    const { revision } = revisions;
    const { address } = members.self();
    for (const member of this.shuffled(members.live()).slice(0, PUSH_PEERS)) {
      this.counts.pushes += 1;
      void peers.call(member.address, PUSH_METHOD, { revision, address }, { timeoutMs: CALL_TIMEOUT_MS });
    }
  }

  private async onPush(params: unknown): Promise<Result<unknown, PeerError>> {
    const push = pushSchema.safeParse(params);
    if (!push.success) return malformed();
    if (push.data.revision > this.options.revisions.revision) void this.pullOnce(push.data.address);
    return ok({ revision: this.options.revisions.revision });
  }

  private onPull(params: unknown): Result<Pulled, PeerError> {
    const pull = pullSchema.safeParse(params);
    if (!pull.success) return malformed();
    const { revisions } = this.options;
    const held = revisions.inForce();
    const wanted = pull.data.base;
    if (held === null || held.revision <= (wanted?.revision ?? 0)) return ok({ type: 'nothing' });
    const base = wanted === null ? null : revisions.base(wanted.revision, wanted.hash);
    if (base === null) return ok({ type: 'whole', ...held });
    const { revision, hash, file } = held;
    return ok({
      type: 'sections', revision, hash, sections: diffSections(base.file, file),
    });
  }

  private async request(address: string, base: InForce | null): Promise<Pulled | null> {
    this.counts.pulls += 1;
    const params = { base: base === null ? null : { revision: base.revision, hash: base.hash } };
    const answer = await this.options.peers.call(address, PULL_METHOD, params, { timeoutMs: CALL_TIMEOUT_MS });
    const pulled = answer.success ? pulledSchema.safeParse(answer.data) : null;
    if (pulled?.success === true) return pulled.data;
    this.counts.failed_pulls += 1;
    return null;
  }

  private async pullOnce(address: string): Promise<void> {
    if (this.pulling.has(address)) return;
    this.pulling.add(address);
    try {
      await this.pull(address);
    } finally {
      this.pulling.delete(address);
    }
  }

  private shuffled<T>(items: readonly T[]): T[] {
    return items
      .map((item) => ({ item, rank: this.options.random.float() }))
      .sort((a, b) => a.rank - b.rank)
      .map(({ item }) => item);
  }
}
