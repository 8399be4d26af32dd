import type { Meter, Random } from '../core/interfaces/index.js';
import { fail, ok } from '../core/result.js';
import type { Result } from '../core/result.js';
import type { CallContext } from './callcontext.js';
import type { BackendFleet } from './fleet.js';
import type { Occupancy } from './occupancy.js';
import type { Refusal } from './outcome.js';
import type { Candidate } from './placement.js';
import { chainParts } from './places/index.js';
import type { PlaceCandidate, PlacedCall, PlaceExchange } from './places/index.js';
import type { ReservedServer } from './reservedserver.js';
import type { QueuedCall } from './slotqueue.js';

/** Dependencies of {@link PrefillPlaces}. */
export interface PrefillPlacesDependencies {
  readonly random: Random;
  readonly meter: Meter;
  readonly fleet: Pick<BackendFleet, 'record'>;
  readonly occupancy: Occupancy;
  /** Gives out places of engines; `null` while gateways count the open calls of each other. */
  readonly places: () => PlaceExchange | null;
}

const RETRY_AFTER_MS = 250;

/** Reserves slots for prefills where one gateway gives out the places of each engine. */
export class PrefillPlaces {
  public constructor(private readonly deps: PrefillPlacesDependencies) {}

  /**
   * Asks for a place at the gateway that gives out those of the preferred engine; `null` where gateways count places,
   * or where that one does not answer.
   */
  public async reserve(
    { call: { generation }, ended }: CallContext,
    { preferredEngines, ...queued }: QueuedCall & Pick<PlacedCall, 'readBy'>,
    candidates: readonly Candidate[],
  ): Promise<Result<ReservedServer, Refusal> | null> {
    const places = this.deps.places();
    if (places === null) return null;
    const others = (): readonly PlaceCandidate[] => this.leastLoaded(candidates);
    // A prompt without shared parts has no preferred engine; any will do.
    const preferred = candidates.find(({ record }) => record.id === preferredEngines[0])?.record ?? others()[0];
    if (preferred === undefined) return null;
    const place = await places.client.reserve({
      ...queued, preferred, others, parts: chainParts(generation?.parts ?? []),
    }, ended);
    this.deps.meter.count('places', 1, { outcome: place.success ? 'granted' : place.error.type });
    if (!place.success) {
      if (place.error.type === 'silent') return null;
      return fail({ code: 'occupied', retryAfterMs: Math.max(RETRY_AFTER_MS, place.error.slot.afterMs) });
    }
    const {
      server, reservation, ahead, moved, recordRead,
    } = place.data;
    const record = this.deps.fleet.record(server);
    if (record === null) {
      reservation.dispose();
      return fail({ code: 'no_server', retryAfterMs: RETRY_AFTER_MS });
    }
    if (moved) this.deps.meter.count('places_moved');
    const counted = this.deps.occupancy.countCall(server, 'prefills');
    return ok({
      server: record,
      prefillsAhead: ahead,
      recordRead,
      reservation: {
        dispose: () => {
          counted.dispose();
          reservation.dispose();
        },
      },
    });
  }

  /** Engines by their known load, which is a guess in a large group; equal ones in random order. */
  private leastLoaded(candidates: readonly Candidate[]): readonly PlaceCandidate[] {
    return candidates.filter(({ suspect }) => !suspect)
      .map(({ record }) => ({
        record, rank: this.deps.occupancy.total(record.id).prefills + this.deps.random.float(),
      }))
      .sort((left, right) => left.rank - right.rank)
      .map(({ record }) => record);
  }
}
