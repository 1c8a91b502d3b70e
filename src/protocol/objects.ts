/** The platform's object API, as far as it is used here: JSON over HTTP. */
import { z } from 'zod';

/** One object at one version. */
export const PlatformObject = z.object({
  path: z.string(),
  /** Rises with each write of any object. */
  version: z.number().int().positive(),
  /** Null once it is deleted. */
  body: z.unknown(),
});
export type PlatformObject = z.infer<typeof PlatformObject>;

/** Answer to `GET /v1/objects?prefix=`, and to a watch. */
export const PlatformObjects = z.object({
  /** The version up to which the list is complete. */
  version: z.number().int().nonnegative(),
  objects: z.array(PlatformObject),
});
export type PlatformObjects = z.infer<typeof PlatformObjects>;

/** Answer to a write that took effect. */
export const PlatformWritten = z.object({ version: z.number().int().positive() });
export type PlatformWritten = z.infer<typeof PlatformWritten>;

/** Where settings stand in the platform's store. */
export const SETTINGS_ROOT = 'lovagesail/settings/';

/** Where the platform lists VMs. */
export const VMS_ROOT = 'vms/';
