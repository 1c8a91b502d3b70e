/** Requests headroom from other entry VMs, over their peer listener. */
import * as z from 'zod';
import type { EntryEffect, EntryEvent } from '../coordination/index.js';
import { EntryVmId, FailureDomainId, ServiceName } from '../state/index.js';
import { MAX_RESPONSE_BYTES, createBoundedClient } from './httpclients.js';
import type { Clock } from './clocks.js';

/** The body of `POST /v1/grants`. */
export const GrantRequest = z.strictObject({
  from: EntryVmId,
  service: ServiceName,
  domain: FailureDomainId,
  want: z.number().int().min(0).max(10_000),
});
export type GrantRequest = z.infer<typeof GrantRequest>;

/** The response to it. */
export const GrantReply = z.object({ slots: z.number().int().nonnegative() });
export type GrantReply = z.infer<typeof GrantReply>;

const GRANT_TIMEOUT_MS = 1_000;

const grantHttp = createBoundedClient(MAX_RESPONSE_BYTES);

export class GrantClient {
  readonly #self: EntryVmId;

  readonly #clock: Clock;

  constructor(self: EntryVmId, clock: Clock) {
    this.#self = self;
    this.#clock = clock;
  }

  /** Requests slots and reports how many were granted; none when the request fails. */
  async requestGrant(
    effect: Extract<EntryEffect, { type: 'askGrant' }>,
    onEvent: (event: EntryEvent) => void,
  ): Promise<void> {
    const { to, service, domain, want } = effect;
    const sentMs = this.#clock().nowMs;
    const json: GrantRequest = { from: this.#self, service, domain, want };
    try {
      const res = await grantHttp.post(`http://${to.peerAddress}/v1/grants`, {
        json,
        responseType: 'json',
        retry: { limit: 0 },
        timeout: { request: GRANT_TIMEOUT_MS },
      });
      const { slots } = GrantReply.parse(res.body);
      onEvent({ type: 'grantReceived', to: to.id, service, slots, requestedMs: sentMs });
    } catch {
      onEvent({ type: 'grantReceived', to: to.id, service, slots: 0, requestedMs: sentMs });
    }
  }
}
