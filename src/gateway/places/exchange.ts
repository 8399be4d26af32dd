import type { Clock, Disposable, Random } from '../../core/interfaces/index.js';
import type { Member, Members } from '../../core/membership/index.js';
import { lowestByRendezvous } from '../../core/rendezvous.js';
import type { Datagrams } from '../occupancy.js';
import { PlaceClient } from './client.js';
import { PlaceOwner } from './owner.js';
import type { PlaceOwnerDependencies, PlaceOwnerOptions } from './owner.js';
import { decodePlaceMessage, encodePlaceMessage } from './wire.js';
import type {
  PlaceAnswer, PlaceEnd, PlaceMessage, PlaceRequest,
} from './wire.js';

/** Dependencies of {@link PlaceExchange}. */
export interface PlaceExchangeDependencies extends PlaceOwnerDependencies {
  readonly clock: Clock;
  readonly random: Random;
  readonly members: Members;
  readonly datagrams: Datagrams;
}

/** Tickets of two starts of a process differ by more than one process gives out. */
const TICKET_RANGE = 2 ** 31;

function ipOf({ address }: Pick<Member, 'address'>): string {
  return address.split(':')[0] ?? '';
}

/**
 * Lets one gateway give out the places of each engine. Rendezvous hashing selects it, so that all gateways find the
 * same one without a message, and a gateway that comes or goes moves the engines of one gateway only.
 */
export class PlaceExchange implements Disposable {
  public readonly client: PlaceClient;

  private readonly owner: PlaceOwner;

  /** Gateways by the engine whose places they give out; `null` for this one. */
  private readonly owners = new Map<string, string | null>();

  private readonly subscriptions: readonly Disposable[];

  public constructor(private readonly deps: PlaceExchangeDependencies, opts: PlaceOwnerOptions) {
    const { datagrams, members, random } = deps;
    this.owner = new PlaceOwner(deps, opts);
    this.client = new PlaceClient({
      clock: deps.clock,
      self: ipOf(members.self()),
      firstTicket: Math.floor(random.float() * TICKET_RANGE),
      send: (message) => this.send(message),
    });
    this.subscriptions = [
      datagrams.onMessage((bytes) => this.receive(decodePlaceMessage(bytes))),
      members.onChange(() => this.owners.clear()),
    ];
  }

  /** State of the engines whose places this gateway gives out, and its open requests. */
  public dump(): Record<string, unknown> {
    return { ...this.owner.dump(), requests: this.client.open };
  }

  public dispose(): void {
    for (const subscription of this.subscriptions) subscription.dispose();
    this.owner.dispose();
  }

  private receive(message: PlaceMessage | null): void {
    if (message === null) return;
    if (message.type !== 'ask' && message.type !== 'done') this.client.handle(message);
    else {
      const reply = (answer: PlaceAnswer): void => this.deps.datagrams.send(message.from, encodePlaceMessage(answer));
      this.owner.handle(message, reply);
    }
  }

  private send(message: PlaceRequest | PlaceEnd): void {
    const ip = this.ownerOf(message.engine);
    if (ip !== null) this.deps.datagrams.send(ip, encodePlaceMessage(message));
    // As later as a datagram would be, so that answers never come before the request has been recorded.
    else queueMicrotask(() => this.owner.handle(message, (answer) => this.client.handle(answer)));
  }

  private ownerOf(engine: string): string | null {
    const known = this.owners.get(engine);
    if (known !== undefined) return known;
    const { members } = this.deps;
    const self = members.self();
    const candidates = new Map([self, ...members.live()].filter(({ leaving }) => !leaving)
      .map((member) => [member.id, member]));
    const [id] = lowestByRendezvous([...candidates.keys()], engine, 1);
    const owner = id === undefined ? undefined : candidates.get(id);
    const ip = owner === undefined || owner.id === self.id ? null : ipOf(owner);
    this.owners.set(engine, ip);
    return ip;
  }
}
