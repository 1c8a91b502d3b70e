/** Data types and in-memory tables; no I/O and no clock. */
export * from './blocks.js';
export * from './changes.js';
export * from './settingschecks.js';
export * from './hashes.js';
export * from './ids.js';
export * from './settingsissues.js';
export * from './members.js';
export * from './outcomes.js';
export type * from './plans.js';
export * from './queues.js';
export * from './requestrecords.js';
export * from './replicas.js';
export * from './settingsschemas.js';
export * from './settingsviews.js';
