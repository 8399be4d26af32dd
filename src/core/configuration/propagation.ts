import { z } from 'zod';
import { DisposableStore } from '../disposables.js';
import type {
  Clock, PeerClient, PeerError, PeerServer, Random,
} from '../interfaces/index.js';
import type { Members } from '../membership/index.js';
import { fail, ok } from '../result.js';
import type { Result } from '../result.js';
import { hashFile, fleetRevisionSchema } from './revisions.js';
import type { FleetRevision, Revisions } from './revisions.js';
import { diffSections, joinSections, sectionsSchema } from './sections.js';

const PUSH_METHOD = 'configuration.push';

const PULL_METHOD = 'configuration.pull';

const PUSH_PEERS = 3;

const CALL_TIMEOUT_MS = 500;

const pushSchema = z.object({ revision: z.number().int().positive(), address: z.string() });

const baseSchema = z.object({ revision: z.number().int(), hash: z.string() });

const pullSchema = z.object({ base: baseSchema.nullable() });

const pullAnswerSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('nothing') }),
  fleetRevisionSchema.extend({ type: z.literal('whole') }),
  fleetRevisionSchema.omit({ file: true }).extend({ type: z.literal('sections'), sections: sectionsSchema }),
]);

type PullAnswer = z.infer<typeof pullAnswerSchema>;

/** Options of {@link Propagation}. */
export interface PropagationOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly peers: PeerClient;
  readonly server: PeerServer;
  readonly members: Members;
  readonly revisions: Revisions;
}

function malformedParameters(): Result<never, PeerError> {
  return fail({ code: 'rejected', message: 'malformed parameters' });
}

/** Propagates fleet files between entries: a new revision is announced to a few; entries with a lower one pull it. */
export class Propagation {
  private readonly disposables = new DisposableStore();

  /** Addresses from which a pull is running. */
  private readonly runningPulls = new Set<string>();

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

  /** Pulls the revision of a peer if it is higher than the one in force here; false when the pull failed. */
  public async pull(address: string): Promise<boolean> {
    const { revisions } = this.options;
    const base = revisions.inForce();
    const answer = await this.requestPull(address, base);
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
    const whole = await this.requestPull(address, null);
    if (whole?.type !== 'whole') return false;
    revisions.adopt(whole, 'peer');
    return true;
  }

  /** Numbers of pushes, pulls and received files, under stable keys. */
  public dump(): Record<string, number> {
    return { ...this.counts };
  }

  /** Stops answering peers and following members and revisions. */
  public dispose(): void {
    this.disposables.dispose();
  }

  /** Pulls from a live member that reports the highest revision, if it is higher than the one in force here. */
  public catchUp(): void {
    const { members, revisions } = this.options;
    const ahead = members.live().filter((member) => member.revision > revisions.revision);
    if (ahead.length === 0) return;
    const highest = Math.max(...ahead.map((member) => member.revision));
    const [source] = this.shuffled(ahead.filter((member) => member.revision === highest));
    void this.pullUnlessRunning(source!.address);
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
    if (!push.success) return malformedParameters();
    if (push.data.revision > this.options.revisions.revision) void this.pullUnlessRunning(push.data.address);
    return ok({ revision: this.options.revisions.revision });
  }

  private onPull(params: unknown): Result<PullAnswer, PeerError> {
    const pull = pullSchema.safeParse(params);
    if (!pull.success) return malformedParameters();
    const { revisions } = this.options;
    const current = revisions.inForce();
    const requestedBase = pull.data.base;
    if (current === null || current.revision <= (requestedBase?.revision ?? 0)) return ok({ type: 'nothing' });
    const base = requestedBase === null ? null : revisions.findRecent(requestedBase.revision, requestedBase.hash);
    if (base === null) return ok({ type: 'whole', ...current });
    const { revision, hash, file } = current;
    return ok({
      type: 'sections', revision, hash, sections: diffSections(base.file, file),
    });
  }

  private async requestPull(address: string, base: FleetRevision | null): Promise<PullAnswer | null> {
    this.counts.pulls += 1;
    const params = { base: base === null ? null : { revision: base.revision, hash: base.hash } };
    const answer = await this.options.peers.call(address, PULL_METHOD, params, { timeoutMs: CALL_TIMEOUT_MS });
    const pulled = answer.success ? pullAnswerSchema.safeParse(answer.data) : null;
    if (pulled?.success === true) return pulled.data;
    this.counts.failed_pulls += 1;
    return null;
  }

  private async pullUnlessRunning(address: string): Promise<void> {
    if (this.runningPulls.has(address)) return;
    this.runningPulls.add(address);
    try {
      await this.pull(address);
    } finally {
      this.runningPulls.delete(address);
    }
  }

  private shuffled<T>(items: readonly T[]): T[] {
    return items
      .map((item) => ({ item, rank: this.options.random.float() }))
      .sort((a, b) => a.rank - b.rank)
      .map(({ item }) => item);
  }
}
