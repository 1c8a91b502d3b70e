/** Schemas of the subset of the platform's object API used here: JSON over HTTP. */
import * as z from 'zod';

/** One object at one version. */
export const PlatformObject = z.object({
  path: z.string(),
  /** Increases with each write of any object. */
  version: z.number().int().positive(),
  /** Null if the object is deleted. */
  body: z.unknown(),
});
export type PlatformObject = z.infer<typeof PlatformObject>;

/** Response to `GET /v1/objects?prefix=` and to a watch. */
export const PlatformObjects = z.object({
  /** Version up to which the list is complete. */
  version: z.number().int().nonnegative(),
  objects: z.array(PlatformObject),
});
export type PlatformObjects = z.infer<typeof PlatformObjects>;

/** Response to a successful write. */
export const PlatformWriteResponse = z.object({ version: z.number().int().positive() });
export type PlatformWriteResponse = z.infer<typeof PlatformWriteResponse>;

/** Path prefix of settings in the platform's store. */
export const SETTINGS_ROOT = 'lovagesail/settings/';

/** Path prefix of VMs in the platform's store. */
export const VMS_ROOT = 'vms/';
