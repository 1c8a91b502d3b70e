/** Messages, header fields and codecs for communication between processes. */
export * from './codecs.js';
export * from './configs.js';
export type * from './dialects.js';
export type * from './facts.js';
export * from './headers.js';
export * from './heartbeats.js';
export * from './messages.js';
export * from './nodeconfigs.js';
export * from './platformobjects.js';
export * from './snapshots.js';
export { AgentService } from './gen/lovagesail_pb.js';
