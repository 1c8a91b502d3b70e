/** The decisions: pure state machines, to which the clock and the random source are passed in. */
export * from './agents.js';
export * from './budgets.js';
export type * from './callflows.js';
export * from './calls.js';
export * from './claims.js';
export * from './crashes.js';
export * from './entries.js';
export * from './grants.js';
export * from './items.js';
export * from './lookups.js';
export * from './members.js';
export * from './owners.js';
export * from './ranks.js';
export * from './rendezvous.js';
export * from './shifts.js';
export * from './writes.js';
export * from './works.js';
