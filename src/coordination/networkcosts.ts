/** Network cost of sending requests from this failure domain to another. */
import type { FailureDomainId, RegionId } from '../state/index.js';

/** Cost of transferring a byte between failure domains and between regions, in milliseconds. */
export const CROSS_DOMAIN_MS_PER_BYTE = 0.004;
const CROSS_REGION_MS_PER_BYTE = 0.006;

/** Round-trip times assumed between failure domains and between regions until measured. */
const DEFAULT_DOMAIN_ROUND_TRIP_MS = 3;
const DEFAULT_REGION_ROUND_TRIP_MS = 80;

/** Maximum growth of a round-trip time with each measurement, as a factor. */
const MAX_ROUND_TRIP_GROWTH = 1.1;

export class NetworkCosts {
  readonly #home: FailureDomainId;

  readonly #regions: ReadonlyMap<FailureDomainId, RegionId>;

  readonly #roundTripsMs = new Map<FailureDomainId, number>();

  constructor(home: FailureDomainId, regions: ReadonlyMap<FailureDomainId, RegionId>) {
    this.#home = home;
    this.#regions = regions;
  }

  /**
   * Updates a round-trip time from the time that a connect took. It grows slowly, because connect
   * times include delays at the remote end.
   */
  recordConnectTime(domain: FailureDomainId, tookMs: number): void {
    const previousMs = this.#roundTripsMs.get(domain);
    const updatedMs =
      previousMs === undefined ? tookMs : Math.min(previousMs * MAX_ROUND_TRIP_GROWTH, tookMs);
    this.#roundTripsMs.set(domain, updatedMs);
  }

  /** Round-trip time to a failure domain. */
  roundTripMs(domain: FailureDomainId): number {
    const measuredMs = this.#roundTripsMs.get(domain);
    if (measuredMs !== undefined) return measuredMs;
    if (domain === this.#home) return 0;
    return this.#isSameRegion(domain) ? DEFAULT_DOMAIN_ROUND_TRIP_MS : DEFAULT_REGION_ROUND_TRIP_MS;
  }

  /** Cost of transferring a byte to or from a failure domain. */
  msPerByte(domain: FailureDomainId): number {
    if (domain === this.#home) return 0;
    return this.#isSameRegion(domain) ? CROSS_DOMAIN_MS_PER_BYTE : CROSS_REGION_MS_PER_BYTE;
  }

  #isSameRegion(domain: FailureDomainId): boolean {
    return this.#regions.get(domain) === this.#regions.get(this.#home);
  }
}
