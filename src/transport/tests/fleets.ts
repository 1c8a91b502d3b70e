/** Starts a small fleet on loopback addresses, for tests over real sockets. */
import { setTimeout as pause } from 'node:timers/promises';
import got from 'got';
import type { Response } from 'got';
import { BackendStandIn } from '../../../standins/backends.js';
import type { BackendOptions } from '../../../standins/backends.js';
import { PlatformStandIn } from '../../../standins/platforms.js';
import { AgentConfig, EntryConfig } from '../../protocol/index.js';
import { Endpoint } from '../../state/index.js';
import { AgentTask } from '../agenttasks.js';
import { createCallerApp, listen, createPeerApp } from '../entryapps.js';
import { EntryTask } from '../entrytasks.js';
import { EntryMetrics } from '../entrymetrics.js';
import { boundEndpoint } from '../agentrpcs.js';

const DEFAULT_TIMEOUT_MS = 8_000;
const POLL_INTERVAL_MS = 20;

/** Lets the operating system choose a free port; the bound port is read after `listen`. */
const ANY_PORT = Endpoint.parse('127.0.0.1:0');

/** Polls until a condition holds, and throws when the timeout expires first. */
export async function waitUntil(
  description: string,
  condition: () => Promise<boolean> | boolean,
  timeoutMs = DEFAULT_TIMEOUT_MS,
): Promise<void> {
  const deadlineMs = performance.now() + timeoutMs;
  while (!(await condition())) {
    if (performance.now() > deadlineMs) throw new Error(`timed out waiting: ${description}`);
    await pause(POLL_INTERVAL_MS);
  }
}

export interface FleetVm {
  readonly id: string;
  readonly callerAddress: Endpoint;
  readonly agentAddress: Endpoint;
  readonly agent: AgentTask;
  readonly entry: EntryTask;
  stop(): Promise<void>;
}

/** Service settings that override the defaults of `startFleet`. */
export type ServiceOptions = Readonly<Record<string, unknown>>;

export interface TestFleet {
  readonly platform: PlatformStandIn;
  readonly vms: readonly FleetVm[];
  /** Backend servers by failure domain. */
  readonly backends: ReadonlyMap<string, readonly BackendStandIn[]>;
  readonly fleetSettings: unknown;
  readonly serviceSettings: Readonly<Record<string, unknown>>;
  close(): Promise<void>;
}

export interface FleetOptions {
  readonly domains: readonly string[];
  readonly vmsPerDomain?: number;
  readonly serversPerDomain?: number;
  readonly backend?: BackendOptions;
  readonly service?: ServiceOptions;
  /** Starts a proxy between an agent and the platform. @returns the address that the agent uses. */
  readonly startProxy?: (platform: string) => Promise<string>;
}

const RULES = [
  { methods: ['POST'], path: '/deposits/**', rank: 'urgent', idempotent: false },
  { methods: ['GET'], path: '/prices/**', rank: 'interactive', idempotent: true },
  { methods: ['GET'], path: '/guides/**', rank: 'bulk', idempotent: true },
];

async function startEntryVm(
  id: string,
  failureDomain: string,
  platform: string,
  seeds: readonly Endpoint[],
): Promise<FleetVm> {
  const commonSettings = {
    id,
    failureDomain,
    callerAddress: ANY_PORT,
    peerAddress: ANY_PORT,
    agentAddress: ANY_PORT,
  };
  const agent = new AgentTask(
    AgentConfig.parse({ ...commonSettings, platform, seeds, platformCallsPerSecond: 50 }),
    () => undefined,
  );
  await agent.start();
  const entry = new EntryTask(
    EntryConfig.parse({ ...commonSettings, agentAddress: agent.address, stopMs: 200 }),
    () => undefined,
  );
  const metrics = new EntryMetrics(() => entry.machine.inFlight);
  const callerServer = await listen(createCallerApp(entry, metrics), ANY_PORT);
  const peerServer = await listen(createPeerApp(entry, metrics), ANY_PORT);
  const callerEndpoint = boundEndpoint(callerServer, ANY_PORT);
  entry.start({ callerAddress: callerEndpoint, peerAddress: boundEndpoint(peerServer, ANY_PORT) });
  return {
    id,
    callerAddress: callerEndpoint,
    agentAddress: agent.address,
    agent,
    entry,
    stop: async () => {
      await entry.stop();
      agent.stop();
      [callerServer, peerServer].forEach((server) => {
        server.close();
        server.closeAllConnections();
      });
    },
  };
}

/** Starts a platform, backend servers and entry VMs, and waits until they serve requests. */
export async function startFleet(options: FleetOptions): Promise<TestFleet> {
  const { domains, vmsPerDomain = 1, serversPerDomain = 1, startProxy } = options;
  const platform = new PlatformStandIn();
  const url = await platform.listen();
  const backends = new Map<string, readonly BackendStandIn[]>();
  const backendServers: unknown[] = [];
  for (const failureDomain of domains) {
    const servers = Array.from(
      { length: serversPerDomain },
      () => new BackendStandIn(options.backend),
    );
    backends.set(failureDomain, servers);
    for (const [i, server] of servers.entries()) {
      const id = `server-${failureDomain}-${i}`;
      const slots = options.backend?.slots ?? 3;
      backendServers.push({ id, failureDomain, address: await server.listen(), slots });
    }
  }
  const fleetSettings = {
    kind: 'fleet',
    regions: domains.map((domain) => ({ id: `region-${domain}`, failureDomains: [domain] })),
    clientBlocks: [{ block: '127.0.0.0/8', failureDomain: domains[0] }],
  };
  const serviceSettings = {
    kind: 'service',
    name: 'shop',
    rules: RULES,
    backendServers,
    rampMs: 0,
    ...options.service,
  };
  platform.put('lovagesail/settings/fleet', { settings: fleetSettings, history: [] });
  platform.put('lovagesail/settings/team/shop', { settings: serviceSettings, history: [] });
  const placements = domains.flatMap((domain) =>
    Array.from({ length: vmsPerDomain }, (_, i) => ({ id: `vm-${domain}-${i}`, domain })),
  );
  const vms: FleetVm[] = [];
  for (const { id, domain } of placements) {
    const seeds = vms.map((vm) => vm.agentAddress);
    vms.push(await startEntryVm(id, domain, (await startProxy?.(url)) ?? url, seeds));
  }
  await waitUntil('all entry VMs are ready and know each other', () =>
    vms.every((vm) => vm.entry.ready && vm.entry.machine.members.length === vms.length),
  );
  await waitUntil('a backend server is claimed and serves a request', async () => {
    const res = await request(vms[0] as FleetVm, 'GET', '/prices/ready');
    return res.statusCode === 200;
  });
  return {
    platform,
    vms,
    backends,
    fleetSettings,
    serviceSettings,
    close: async () => {
      await Promise.all(vms.map((vm) => vm.stop()));
      platform.close();
      backends.forEach((servers) => servers.forEach((server) => server.close()));
    },
  };
}

export interface RequestOptions {
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
}

/** Sends a caller's request for the service `shop`. */
export function request(
  vm: FleetVm,
  method: 'GET' | 'POST',
  path: string,
  options: RequestOptions = {},
): Promise<Response<string>> {
  return got(`http://${vm.callerAddress}/v1/call/shop${path}`, {
    method,
    retry: { limit: 0 },
    throwHttpErrors: false,
    timeout: { request: 10_000 },
    headers: { ...options.headers },
    ...(options.body === undefined ? {} : { body: options.body }),
  });
}

/** Looks up the service and returns the request ID prefix of this entry VM. */
export async function requestIdPrefixOf(vm: FleetVm): Promise<string> {
  const lookup = await got(`http://${vm.callerAddress}/v1/lookup/shop`).json<{
    targets: { entryVm: string; requestIdPrefix: string }[];
  }>();
  return lookup.targets.find((target) => target.entryVm === vm.id)?.requestIdPrefix ?? '';
}
