/** Messages, headers and codecs between processes. */
export * from './codecs.js';
export * from './configs.js';
export * from './headers.js';
export * from './messages.js';
export * from './objects.js';
export { AgentService } from './gen/lovagesail_pb.js';
