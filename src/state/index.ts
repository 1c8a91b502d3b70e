/** Data types and in-memory tables; no I/O and no clock. */
export * from './blocks.js';
export * from './changes.js';
export * from './checks.js';
export * from './hashes.js';
export * from './ids.js';
export * from './issues.js';
export * from './members.js';
export * from './outcomes.js';
export type * from './plans.js';
export * from './queues.js';
export * from './records.js';
export * from './replicas.js';
export * from './schemas.js';
export * from './views.js';
