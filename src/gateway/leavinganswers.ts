import type { Disposable, Log, Meter } from '../core/interfaces/index.js';
import type { Membership } from '../core/membership/index.js';
import type { ServerRecord, ServerRegistry } from './serverregistry.js';

const TOPIC = 'server_leaving';

/** Longest id of a server that fits into an announcement. */
const MAX_ID_CHARACTERS = 128;

/** Dependencies of {@link LeavingAnswers}. */
export interface LeavingAnswersDependencies {
  readonly log: Log;
  readonly meter: Meter;
  readonly registry: ServerRegistry;
  readonly announcements: Pick<Membership, 'publish' | 'onAnnouncement'>;
}

/** Learns from answers that servers leave, and tells the other gateways by announcements of the membership. */
export class LeavingAnswers implements Disposable {
  private readonly subscription: Disposable;

  public constructor(private readonly deps: LeavingAnswersDependencies) {
    this.subscription = deps.announcements.onAnnouncement(TOPIC, (id, value) => this.hear(id, value));
  }

  /** Records that a server has said that it leaves, in the answer to a request of the given kind. */
  public record({ id, service, bornAt }: ServerRecord, answerTo: string): void {
    const {
      log, meter, registry, announcements,
    } = this.deps;
    if (!registry.recordLeaving(id, bornAt)) return;
    meter.count('servers_leaving_heard', 1, { from: 'answer' });
    log.info('server_leaving', {
      server: id, service, born: bornAt, from: 'answer', answer_to: answerTo,
    });
    if (id.length <= MAX_ID_CHARACTERS) announcements.publish(TOPIC, id, String(bornAt));
  }

  public dispose(): void {
    this.subscription.dispose();
  }

  private hear(id: string, value: string): boolean {
    const bornAt = Number(value);
    if (!Number.isSafeInteger(bornAt) || !this.deps.registry.recordLeaving(id, bornAt)) return false;
    this.deps.meter.count('servers_leaving_heard', 1, { from: 'gateway' });
    this.deps.log.info('server_leaving', { server: id, born: bornAt, from: 'gateway' });
    return true;
  }
}
