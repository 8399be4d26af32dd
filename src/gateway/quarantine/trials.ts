import { z } from 'zod';
import type { Disposable, PeerClient, PeerServer } from '../../core/interfaces/index.js';
import type { Members } from '../../core/membership/index.js';
import { lowestByRendezvous } from '../../core/rendezvous.js';
import { fail, ok } from '../../core/result.js';
import type { Quarantine } from './quarantine.js';

const METHOD = 'quarantine.trial';

const CALL_TIMEOUT_MS = 200;

const requestSchema = z.object({ part: z.string().max(300) });

const answerSchema = z.object({ granted: z.boolean() });

/** Dependencies of {@link Trials}. */
export interface TrialsDependencies {
  readonly client: PeerClient;
  readonly server: PeerServer;
  readonly members: Members;
  readonly quarantine: Quarantine;
}

/**
 * Decides which call may try whether a part in quarantine works again. One gateway, chosen by rendezvous hashing,
 * grants the trials of a part, so that all gateways together make few.
 */
export class Trials {
  public constructor(private readonly deps: TrialsDependencies) {}

  /** Answers the requests of other gateways until the returned handle is disposed. */
  public serve(): Disposable {
    return this.deps.server.register(METHOD, async (params) => {
      const request = requestSchema.safeParse(params);
      if (!request.success) return fail({ code: 'rejected' as const, message: 'malformed' });
      return ok({ granted: this.deps.quarantine.startTrial(request.data.part) });
    });
  }

  /** Whether a call of this gateway may try a part now. */
  public async request(key: string): Promise<boolean> {
    const { quarantine, members, client } = this.deps;
    if (quarantine.trialDelayMs(key) > 0) return false;
    const self = members.self();
    const others = members.live().filter(({ leaving }) => !leaving);
    const [granting] = lowestByRendezvous([self, ...others].map(({ id }) => id), `trial/${key}`, 1);
    if (granting === self.id) return quarantine.startTrial(key);
    const address = others.find(({ id }) => id === granting)?.address;
    if (address === undefined) return false;
    const answer = await client.call(address, METHOD, { part: key }, { timeoutMs: CALL_TIMEOUT_MS });
    return answer.success && answerSchema.safeParse(answer.data).data?.granted === true;
  }
}
