/** Message schemas between an entry and its agent, and between operators and an agent. */
import * as z from 'zod';
import {
  ChangeRecord,
  Difference,
  EntryVmId,
  Fingerprint,
  MemberRecord,
  ReplicaItem,
  SettingsPath,
} from '../state/index.js';

export { EntryReport, PeerMessage, PeerReply } from '../coordination/index.js';

export const SubscribeRequest = z.object({ entryVm: EntryVmId });
export type SubscribeRequest = z.infer<typeof SubscribeRequest>;

/** Update from an agent to its entry: first a full snapshot, then changes. */
export const AgentUpdate = z.discriminatedUnion('type', [
  z.object({ type: z.literal('items'), items: z.array(ReplicaItem) }),
  z.object({ type: z.literal('members'), members: z.array(MemberRecord) }),
]);
export type AgentUpdate = z.infer<typeof AgentUpdate>;

export const Acknowledgement = z.object({ type: z.literal('ok') });
export type Acknowledgement = z.infer<typeof Acknowledgement>;

/** Request from an operator to an agent. */
export const OperatorRequest = z.discriminatedUnion('type', [
  z.object({
    type: z.literal('apply'),
    path: SettingsPath,
    settings: z.unknown(),
    changeId: z.string().min(1).max(100),
    who: z.string().min(1).max(100),
    key: z.string().max(200),
    ifVersion: z.number().int().nonnegative().optional(),
  }),
  z.object({ type: z.literal('get'), path: SettingsPath }),
  z.object({
    type: z.literal('release'),
    fingerprint: Fingerprint,
    who: z.string(),
    key: z.string(),
  }),
  z.object({ type: z.literal('status') }),
]);
export type OperatorRequest = z.infer<typeof OperatorRequest>;

/** Wire form of `SettingsIssue`. */
const IssueMessage = z.object({
  code: z.string(),
  path: z.array(z.union([z.string(), z.number()])),
  value: z.string(),
  allowed: z.string(),
});

/** Reply from an agent to an operator. */
export const OperatorReply = z.discriminatedUnion('type', [
  z.object({ type: z.literal('applied'), version: z.number(), changeId: z.string() }),
  z.object({
    type: z.literal('object'),
    path: SettingsPath,
    version: z.number(),
    settings: z.unknown(),
    history: z.array(ChangeRecord),
  }),
  z.object({ type: z.literal('absent'), path: SettingsPath }),
  z.object({ type: z.literal('invalid'), issues: z.array(IssueMessage) }),
  z.object({
    type: z.literal('conflict'),
    version: z.number(),
    differences: z.array(Difference),
  }),
  z.object({
    type: z.literal('refused'),
    code: z.enum(['wrong_key', 'no_team', 'store_down', 'unsettled', 'not_known']),
    changeId: z.string().optional(),
  }),
  z.object({
    type: z.literal('status'),
    self: MemberRecord,
    members: z.array(MemberRecord),
    settings: z.array(z.object({ path: SettingsPath, version: z.number() })),
    suspects: z.array(z.object({ fingerprint: Fingerprint, crashes: z.number() })),
  }),
]);
export type OperatorReply = z.infer<typeof OperatorReply>;
