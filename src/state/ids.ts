/** Branded identifiers. Each name is both a schema and its inferred type. */
import ipaddr from 'ipaddr.js';
import * as z from 'zod';

const NAME_PATTERN = /^[a-z0-9][a-z0-9-]{0,62}$/;
const nameSchema = () =>
  z.string().regex(NAME_PATTERN, 'lower-case letters, digits and hyphens, at most 63');

/** A VM that runs one entry and one agent. */
export const EntryVmId = nameSchema().brand<'EntryVmId'>();
export type EntryVmId = z.infer<typeof EntryVmId>;

/** A zone whose machines can fail or lose connectivity together. */
export const FailureDomainId = nameSchema().brand<'FailureDomainId'>();
export type FailureDomainId = z.infer<typeof FailureDomainId>;

/** A group of failure domains in one geographic location. */
export const RegionId = nameSchema().brand<'RegionId'>();
export type RegionId = z.infer<typeof RegionId>;

export const ServiceName = nameSchema().brand<'ServiceName'>();
export type ServiceName = z.infer<typeof ServiceName>;

export const BackendServerId = nameSchema().brand<'BackendServerId'>();
export type BackendServerId = z.infer<typeof BackendServerId>;

export const TeamName = nameSchema().brand<'TeamName'>();
export type TeamName = z.infer<typeof TeamName>;

/** Identifies one run of an entry process; a replacement at the same address has another. */
export const Incarnation = z
  .string()
  .regex(/^[a-z0-9]{8,24}$/, '8 to 24 lower-case letters and digits')
  .brand<'Incarnation'>();
export type Incarnation = z.infer<typeof Incarnation>;

/** Path of a settings object, such as `shops/order-desk`. */
export const SettingsPath = z
  .string()
  .regex(/^[a-z0-9-]+(\/[a-z0-9-]+)*$/, 'lower-case names joined by single slashes')
  .max(200)
  .brand<'SettingsPath'>();
export type SettingsPath = z.infer<typeof SettingsPath>;

/** Idempotency key of a request; a caller's retries of the request carry the same key. */
export const RequestId = z
  .string()
  .regex(/^[\x21-\x7e]{1,200}$/, '1 to 200 visible ASCII characters')
  .brand<'RequestId'>();
export type RequestId = z.infer<typeof RequestId>;

/** Identifies a caller for fair queueing: its address or the value of a configured header. */
export const CallerId = z.string().min(1).max(200).brand<'CallerId'>();
export type CallerId = z.infer<typeof CallerId>;

/** Hash of a request's method, path and body; equal content has an equal fingerprint. */
export const Fingerprint = z
  .string()
  .regex(/^[0-9a-f]{32}$/, '32 hexadecimal digits')
  .brand<'Fingerprint'>();
export type Fingerprint = z.infer<typeof Fingerprint>;

const ENDPOINT_PATTERN = /^(?:(\d{1,3}(?:\.\d{1,3}){3})|\[([0-9a-f:]+)\]):(\d{1,5})$/;
const MAX_PORT = 65_535;

function isEndpoint(text: string): boolean {
  const [, ipv4, ipv6, port] = ENDPOINT_PATTERN.exec(text) ?? [];
  const isAddress =
    ipv4 === undefined ? ipaddr.IPv6.isValid(ipv6 ?? '') : ipaddr.IPv4.isValidFourPartDecimal(ipv4);
  return isAddress && Number(port) <= MAX_PORT;
}

/** A TCP endpoint: a numeric address and a port. */
export const Endpoint = z
  .string()
  .refine(isEndpoint, 'numeric address and port')
  .brand<'Endpoint'>();
export type Endpoint = z.infer<typeof Endpoint>;
