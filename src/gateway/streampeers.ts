import { z } from 'zod';
import type {
  Disposable, PeerClient, PeerServer, Random,
} from '../core/interfaces/index.js';
import type { Members } from '../core/membership/index.js';
import { fail, ok } from '../core/result.js';
import { sampleAddresses } from './directory.js';
import { streamKey } from './streamversions.js';
import type { StreamBindings, StreamOrigin, StreamPeers } from './streamversions.js';

const METHOD = 'streams.origin';

/** Largest number of gateways that are asked for one stream. */
const MAX_ASKED = 16;

const CALL_TIMEOUT_MS = 300;

const questionSchema = z.object({ id: z.string().max(64) });

const originSchema = z.object({ service: z.string(), softwareVersion: z.string() }).nullable();

/** Dependencies of {@link StreamOriginExchange}. */
export interface StreamOriginExchangeDependencies {
  readonly random: Random;
  readonly client: PeerClient;
  readonly server: PeerServer;
  readonly members: Members;
  readonly bindings: StreamBindings;
}

/** Asks other gateways for the origins of streams that nobody has written down, and answers them. */
export class StreamOriginExchange implements StreamPeers, Disposable {
  private readonly registration: Disposable;

  public constructor(private readonly deps: StreamOriginExchangeDependencies) {
    this.registration = deps.server.register(METHOD, async (params) => this.answer(params));
  }

  public ask(id: string): Promise<StreamOrigin | null> {
    const { members, random } = this.deps;
    const addresses = sampleAddresses(members.live().map(({ address }) => address), MAX_ASKED, random);
    const question = { id: streamKey(id) };
    return new Promise((resolve) => {
      const asked = addresses.map(async (address) => {
        const origin = await this.askOne(address, question);
        if (origin !== null) resolve(origin);
      });
      void Promise.all(asked).then(() => resolve(null));
    });
  }

  public dispose(): void {
    this.registration.dispose();
  }

  private async askOne(address: string, question: z.infer<typeof questionSchema>): Promise<StreamOrigin | null> {
    const answer = await this.deps.client.call(address, METHOD, question, { timeoutMs: CALL_TIMEOUT_MS });
    const origin = answer.success ? originSchema.safeParse(answer.data) : null;
    return origin?.success === true ? origin.data : null;
  }

  private answer(params: unknown) {
    const question = questionSchema.safeParse(params);
    if (!question.success) return fail({ code: 'rejected' as const, message: 'malformed' });
    const origin = this.deps.bindings.find(question.data.id);
    return ok(origin === null ? null : { service: origin.service, softwareVersion: origin.softwareVersion });
  }
}
