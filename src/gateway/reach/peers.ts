import type { Clock, Disposable, Log } from '../../core/interfaces/index.js';
import type { Membership } from '../../core/membership/index.js';

const TOPIC = 'reaches_no_server';

/** Time in ms after which a gateway says again that it reaches no server, for those that have started since. */
const REPEAT_MS = 10_000;

/** Time in ms after which a gateway that has not said so again counts as reaching servers. */
const EXPIRY_MS = 3 * REPEAT_MS;

/** Largest number of gateways that are remembered. */
const MAX_GATEWAYS = 10_000;

interface Statement {
  /** Number of the statement; a higher one of the same gateway is newer. */
  readonly number: number;
  readonly isCutOff: boolean;
  readonly heardAt: number;
}

/** Dependencies of {@link CutOffGateways}. */
export interface CutOffGatewaysDependencies {
  readonly clock: Clock;
  readonly log: Log;
  readonly announcements: Pick<Membership, 'publish' | 'onAnnouncement' | 'self'>;
}

/** Which gateways say that they reach no backend server; each one speaks for itself. */
export class CutOffGateways implements Disposable {
  private readonly statements = new Map<string, Statement>();

  private readonly subscription: Disposable;

  private lastNumber = 0;

  private repeat: Disposable | null = null;

  public constructor(private readonly deps: CutOffGatewaysDependencies) {
    this.subscription = deps.announcements.onAnnouncement(TOPIC, (incarnation, value) => this.hear(incarnation, value));
  }

  /** Whether a gateway, by its incarnation, has said that it reaches no server. */
  public has(incarnation: string): boolean {
    const statement = this.statements.get(incarnation);
    return statement?.isCutOff === true && this.deps.clock.monotonic() - statement.heardAt < EXPIRY_MS;
  }

  /** Tells all gateways whether this one reaches no server. */
  public announce(isCutOff: boolean): void {
    const { announcements, clock } = this.deps;
    this.repeat?.dispose();
    this.lastNumber += 1;
    announcements.publish(TOPIC, announcements.self().incarnation, `${this.lastNumber} ${Number(isCutOff)}`);
    this.repeat = isCutOff ? clock.after(REPEAT_MS, () => this.announce(true)) : null;
  }

  public dispose(): void {
    this.repeat?.dispose();
    this.subscription.dispose();
  }

  private hear(incarnation: string, value: string): boolean {
    const [, number, cutOff] = /^(\d{1,15}) ([01])$/.exec(value) ?? [];
    if (number === undefined || incarnation === this.deps.announcements.self().incarnation) return false;
    if ((this.statements.get(incarnation)?.number ?? 0) >= Number(number)) return false;
    this.statements.delete(incarnation);
    this.statements.set(incarnation, {
      number: Number(number), isCutOff: cutOff === '1', heardAt: this.deps.clock.monotonic(),
    });
    this.deps.log.info('gateway_out_of_reach', { incarnation, reaches_servers: cutOff === '0' });
    const [oldest] = this.statements.keys();
    if (this.statements.size > MAX_GATEWAYS && oldest !== undefined) this.statements.delete(oldest);
    return true;
  }
}
