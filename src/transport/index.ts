/** I/O layer: sockets, timers and HTTP, driven by the state machines in `coordination/`. */
export * from './agents.js';
export * from './callers.js';
export * from './clients.js';
export * from './clocks.js';
export * from './entries.js';
export * from './lines.js';
export * from './logs.js';
export * from './metrics.js';
export * from './nodes.js';
export * from './peers.js';
export * from './platforms.js';
