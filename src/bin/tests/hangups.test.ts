/** Signals that reach a program while it starts. */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'chai';

/** Sends SIGHUP to its own process when the program reads its settings. */
const PRELOADED = `
const fs = require('node:fs');
const { readFileSync } = fs;
fs.readFileSync = (file, ...rest) => {
  if (file === process.env.SETTINGS_FILE) process.kill(process.pid, 'SIGHUP');
  return readFileSync(file, ...rest);
};
require('node:module').syncBuiltinESMExports();
`;

const HOST = `127.${(process.pid >> 16) & 255}.${(process.pid >> 8) & 255}.${process.pid & 255}`;

// Guards against a process that a SIGHUP ends shortly after its start.
it('a SIGHUP before a starting process has read its settings makes it read them again', async () => {
  const directory = mkdtempSync(join(tmpdir(), 'lovagesail-'));
  const file = join(directory, 'node.json');
  const preloaded = join(directory, 'preloaded.cjs');
  const cfg = {
    id: 'vm-1',
    failureDomain: 'a1',
    region: 'a',
    regions: { a1: 'a' },
    callerAddress: `${HOST}:8161`,
    lookupAddress: `${HOST}:8164`,
    readyAddress: `${HOST}:8167`,
    peerAddress: `${HOST}:7720`,
    metricsAddress: `${HOST}:9464`,
    platform: { address: '127.0.0.1:1' },
    bounds: { retryRatio: 0.2, retryBurst: 60, retryWindowS: 10 },
  };
  writeFileSync(file, JSON.stringify(cfg));
  writeFileSync(preloaded, PRELOADED);
  const child = spawn(
    process.execPath,
    ['--require', preloaded, '--import', 'tsx', 'src/bin/node.ts', '--config', file],
    { stdio: ['ignore', 'pipe', 'inherit'], env: { ...process.env, SETTINGS_FILE: file } },
  );
  const exited = once(child, 'exit');
  let output = '';
  const reloaded = new Promise((resolve) => {
    child.stdout.on('data', (bytes: Buffer) => {
      output += bytes.toString();
      if (output.includes('settings file reloaded')) resolve('reloaded');
    });
  });
  expect(await Promise.race([reloaded, exited])).to.equal('reloaded');
  child.kill('SIGKILL');
  await exited;
  rmSync(directory, { recursive: true });
});
