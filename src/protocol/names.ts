/** Schema for platform names in messages between entry VMs. */
import * as z from 'zod';

/** Any non-empty name: the platform's names need not follow this project's naming rules. */
export const brandedName = <Name extends string>() =>
  z
    .string()
    .min(1)
    .transform((name) => name as Name);
