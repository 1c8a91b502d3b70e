/** Simulated agents: propagation of settings, membership, network partitions and replacements. */
import { expect } from 'chai';
import { FailureDomainId, ReplicaKey } from '../../state/index.js';
import { FAILURE_TIMEOUT_MS, HEARTBEAT_INTERVAL_MS } from '../index.js';
import { AgentSimulation } from './agentsimulations.js';

const KEY = ReplicaKey.parse('settings:fleet');

/** Time within which a change must be in force on all agents. */
const TARGET_MS = 5_000;

it('a change reaches 200 agents in 20 failure domains within the target', () => {
  const simulation = new AgentSimulation({ domains: 20, perDomain: 10 });
  simulation.advance(10_000);
  simulation.store(simulation.agents[0], KEY, 1);
  expect(simulation.timeToConvergeMs(KEY, 1, TARGET_MS)).to.be.at.most(TARGET_MS);
});

it('a change reaches all agents when the platform fails right after storing it', () => {
  const simulation = new AgentSimulation({ domains: 6, perDomain: 2 });
  simulation.advance(5_000);
  simulation.store(simulation.agents[3], KEY, 7);
  expect(simulation.timeToConvergeMs(KEY, 7, TARGET_MS)).to.be.at.most(TARGET_MS);
});

it('an older version that arrives later does not replace a newer one', () => {
  const simulation = new AgentSimulation({ domains: 3, perDomain: 2 });
  simulation.advance(5_000);
  simulation.store(simulation.agents[0], KEY, 9);
  simulation.advance(2_000);
  simulation.store(simulation.agents[5], KEY, 8);
  simulation.advance(5_000);
  simulation.agents.forEach((agent) => expect(agent.machine.item(KEY)?.version).to.equal(9));
});

it('a partitioned failure domain receives missed changes after the partition heals', () => {
  const simulation = new AgentSimulation({ domains: 4, perDomain: 2 });
  simulation.advance(5_000);
  simulation.partitionDomain(0);
  simulation.advance(10_000);
  simulation.store(simulation.agents[7], KEY, 3);
  simulation.advance(5_000);
  expect(simulation.agents[0]?.machine.item(KEY)).to.equal(undefined);
  simulation.healDomain(0);
  expect(simulation.timeToConvergeMs(KEY, 3, TARGET_MS)).to.be.at.most(TARGET_MS);
});

it('a replacement agent receives settings from other agents while the platform is down', () => {
  const simulation = new AgentSimulation({ domains: 3, perDomain: 2 });
  simulation.advance(5_000);
  simulation.store(simulation.agents[0], KEY, 5);
  simulation.advance(3_000);
  simulation.replace(4);
  expect(simulation.timeToConvergeMs(KEY, 5, TARGET_MS)).to.be.at.most(TARGET_MS);
});

it('all live agents drop a killed agent from their members, and drop no other', () => {
  const simulation = new AgentSimulation({ domains: 6, perDomain: 2 });
  simulation.advance(10_000);
  simulation.kill(4);
  const live = simulation.agents.filter((agent) => agent.alive);
  simulation.advance(FAILURE_TIMEOUT_MS + 12 * 50 + 6 * HEARTBEAT_INTERVAL_MS);
  live.forEach((agent) => {
    expect(agent.machine.members(simulation.nowMs)).to.have.length(live.length);
  });
});

it('a replacement whose wall clock is an hour behind is recorded as a live member', () => {
  const simulation = new AgentSimulation({ domains: 3, perDomain: 2 });
  simulation.advance(10_000);
  simulation.replace(1, { wallOffsetMs: -3_600_000 });
  simulation.advance(6_000);
  simulation.agents.forEach((agent) => {
    const recorded = agent.machine
      .members(simulation.nowMs)
      .find((member) => member.id === simulation.agents[1]?.id);
    expect(recorded?.incarnation).to.equal(simulation.agents[1]?.machine.self.incarnation);
  });
});

it('no live agent is declared dead in ten minutes with 10% message loss', () => {
  const simulation = new AgentSimulation({ domains: 6, perDomain: 2 });
  simulation.dropRatio = 0.1;
  simulation.advance(10_000);
  const agentsMissingMembers = Array.from({ length: 590 }, () => {
    simulation.advance(1_000);
    return simulation.agents.filter(
      (agent) => agent.machine.members(simulation.nowMs).length < simulation.agents.length,
    ).length;
  });
  expect(Math.max(...agentsMissingMembers)).to.equal(0);
});

it('the number of watchers of a failure domain does not grow with its agents', () => {
  const watchers = [2, 10, 40].map((perDomain) => {
    const simulation = new AgentSimulation({ domains: 3, perDomain });
    simulation.advance(15_000);
    return simulation.agents.filter((agent) => agent.watching).length;
  });
  expect(watchers).to.deep.equal([6, 6, 6]);
});

it('all agents of a large failure domain list each other as members', () => {
  const simulation = new AgentSimulation({ domains: 3, perDomain: 40 });
  simulation.advance(15_000);
  simulation.agents.forEach((agent) => {
    const peers = agent.machine
      .members(simulation.nowMs)
      .filter((member) => member.failureDomain === agent.domain);
    expect(peers).to.have.length(40);
  });
});

it('a failure domain whose watchers are killed has two watchers again', () => {
  const simulation = new AgentSimulation({ domains: 2, perDomain: 5 });
  simulation.advance(10_000);
  const domain = FailureDomainId.parse('d-0');
  const watching = simulation.agents.filter((agent) => agent.domain === domain && agent.watching);
  watching.forEach((agent) => simulation.kill(simulation.agents.indexOf(agent)));
  simulation.advance(8_000);
  const currentWatchers = simulation.agents.filter(
    (agent) => agent.alive && agent.domain === domain && agent.watching,
  );
  expect(currentWatchers).to.have.length(2);
});
