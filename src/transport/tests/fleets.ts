/** A small fleet of real tasks on loopback, for tests on real sockets. */
import { setTimeout as pause } from 'node:timers/promises';
import got from 'got';
import type { Response } from 'got';
import { BackendStandIn } from '../../../standins/backends.js';
import type { BackendOptions } from '../../../standins/backends.js';
import { PlatformStandIn } from '../../../standins/platforms.js';
import { AgentConfig, EntryConfig } from '../../protocol/index.js';
import { Endpoint } from '../../state/index.js';
import { AgentTask } from '../agents.js';
import { callerApp, listen, peerApp } from '../callers.js';
import { EntryTask } from '../entries.js';
import { EntryMetrics } from '../metrics.js';
import { boundEndpoint } from '../peers.js';

const WAIT_MS = 8_000;
const POLL_MS = 20;

/** Any free port, read back once something listens there. */
const ANY_PORT = Endpoint.parse('127.0.0.1:0');

/** Waits until a condition holds; fails the test when it never does. */
export async function until(
  what: string,
  holds: () => Promise<boolean> | boolean,
  waitMs = WAIT_MS,
): Promise<void> {
  const end = performance.now() + waitMs;
  while (!(await holds())) {
    if (performance.now() > end) throw new Error(`never: ${what}`);
    await pause(POLL_MS);
  }
}

export interface FleetVm {
  readonly id: string;
  readonly callers: Endpoint;
  readonly agentAddress: Endpoint;
  readonly agent: AgentTask;
  readonly entry: EntryTask;
  stop(): Promise<void>;
}

/** Settings of one service, for `fleetOf`. */
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
  /** Puts something between the agents and the platform. @returns the address that agents use. */
  readonly reach?: (platform: string) => Promise<string>;
}

const RULES = [
  { methods: ['POST'], path: '/deposits/**', rank: 'urgent', idempotent: false },
  { methods: ['GET'], path: '/prices/**', rank: 'interactive', idempotent: true },
  { methods: ['GET'], path: '/guides/**', rank: 'bulk', idempotent: true },
];

async function startVm(
  id: string,
  failureDomain: string,
  platform: string,
  seeds: readonly Endpoint[],
): Promise<FleetVm> {
  const asked = {
    id,
    failureDomain,
    callerAddress: ANY_PORT,
    peerAddress: ANY_PORT,
    agentAddress: ANY_PORT,
  };
  const agent = new AgentTask(
    AgentConfig.parse({ ...asked, platform, seeds, platformCallsPerSecond: 50 }),
    () => undefined,
  );
  await agent.start();
  const entry = new EntryTask(
    EntryConfig.parse({ ...asked, agentAddress: agent.address, stopMs: 200 }),
    () => undefined,
  );
  const metrics = new EntryMetrics(() => entry.machine.load);
  const callers = await listen(callerApp(entry, metrics), ANY_PORT);
  const peers = await listen(peerApp(entry, metrics), ANY_PORT);
  const callerAddress = boundEndpoint(callers, ANY_PORT);
  entry.start({ callerAddress, peerAddress: boundEndpoint(peers, ANY_PORT) });
  return {
    id,
    callers: callerAddress,
    agentAddress: agent.address,
    agent,
    entry,
    stop: async () => {
      await entry.stop();
      agent.stop();
      [callers, peers].forEach((server) => {
        server.close();
        server.closeAllConnections();
      });
    },
  };
}

/** Starts a platform, backend servers and entry VMs, and waits until all of them serve. */
export async function fleetOf(options: FleetOptions): Promise<TestFleet> {
  const { domains, vmsPerDomain = 1, serversPerDomain = 1, reach } = options;
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
  const ids = domains.flatMap((domain) =>
    Array.from({ length: vmsPerDomain }, (_, i) => ({ id: `vm-${domain}-${i}`, domain })),
  );
  const vms: FleetVm[] = [];
  for (const { id, domain } of ids) {
    const seeds = vms.map((vm) => vm.agentAddress);
    vms.push(await startVm(id, domain, (await reach?.(url)) ?? url, seeds));
  }
  await until('the fleet serves', () =>
    vms.every((vm) => vm.entry.ready && vm.entry.machine.members.length === vms.length),
  );
  await until('servers are claimed', async () => {
    const first = await request(vms[0] as FleetVm, 'GET', '/prices/ready');
    return first.statusCode === 200;
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

/** Sends a request of a caller for the service `shop`. */
export function request(
  vm: FleetVm,
  method: 'GET' | 'POST',
  path: string,
  options: RequestOptions = {},
): Promise<Response<string>> {
  return got(`http://${vm.callers}/v1/call/shop${path}`, {
    method,
    retry: { limit: 0 },
    throwHttpErrors: false,
    timeout: { request: 10_000 },
    headers: { ...options.headers },
    ...(options.body === undefined ? {} : { body: options.body }),
  });
}

/** Looks the service up and returns the prefix for ids of requests sent to this entry VM. */
export async function prefixOf(vm: FleetVm): Promise<string> {
  const answer = await got(`http://${vm.callers}/v1/lookup/shop`).json<{
    targets: { entryVm: string; requestIdPrefix: string }[];
  }>();
  return answer.targets.find((target) => target.entryVm === vm.id)?.requestIdPrefix ?? '';
}
