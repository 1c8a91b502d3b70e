/** I/O layer: sockets, timers and HTTP, driven by the state machines in `coordination/`. */
export * from './agenttasks.js';
export * from './entryapps.js';
export * from './httpclients.js';
export * from './clocks.js';
export * from './entrytasks.js';
export * from './linewriters.js';
export * from './logs.js';
export * from './entrymetrics.js';
export * from './entrynodes.js';
export * from './agentrpcs.js';
export * from './platformclients.js';
