/* eslint-disable no-await-in-loop, no-restricted-syntax -- a part of the scripts, run as it is */
/** Starts routers with the command of the deploy file, each at a loopback address of its own. */
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync, createWriteStream } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { request } from 'node:http';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
/** As `run` in deploy/system.toml. */
const RUN = ['--max-old-space-size=160', 'target/hyssoptally-router.cjs'];

export const waitMs = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

export async function waitFor(isMet, timeoutMs, pollMs = 5) {
  const endMs = performance.now() + timeoutMs;
  while (performance.now() < endMs) {
    if (await isMet()) return true;
    await waitMs(pollMs);
  }
  return false;
}

export function findFreePort(host) {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.on('error', reject);
    server.listen(0, host, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });
}

function buildSettings({ name, zone, host, ports, seeds, storeAddress, cloud }) {
  const duties =
    cloud === undefined
      ? ''
      : `[cloud_api]\naddress = "${cloud.address}"\nduties = ["usage"]\nduty_per_s = 50\n`;
  const dutyBounds =
    cloud === undefined
      ? ''
      : `lease_ms = 3000\nthaw_ms = 300\nwindow_s = ${cloud.windowS}\nusage_tolerance = 0.05\nusage_late_s = 10\nrequire_fence = false\n`;
  const contracts = ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'engine', 'stream'];
  contracts.push('tenants', 'platform');
  if (cloud !== undefined) contracts.push('leader');
  return `node = "${name}"
role = "router"
machine_class = "front"
serves = ["front","control"]
ip = "${host}"
zone = "${zone}"
region = "kelaniya"
internal_ports = [${ports.internal},${ports.internal}]
seed_nodes = ${JSON.stringify(seeds)}
bootstrap = true
fault_counted = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_ms = 1200
contracts = ${JSON.stringify(contracts)}
[bind]
front = "${host}:${ports.front}"
ready = "${host}:${ports.ready}"
control = "${host}:${ports.control}"
[limits]
cpu_share = 0.675
cores = 1
memory_mb = 350
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_ms = 2000
downgrade_slack_ms = 250
skew_max_ms = 5000
strict_revoke = true
revoke_ms = 5000
budget_ratio = 0.2
budget_window_s = 10
budget_slack = 54
recovery_s = 12
pass_ms = 120
retry_after_s = 10
${dutyBounds}[platform]
address = "${storeAddress}"
form = "table"
writes_per_s = 400
reads_per_s = 2000
tx_ms = 5.0
partition_writes_s = 200
row_bytes = 65536
across = false
history_s = 20
blob_bytes = 8388608
blob_ms = 25.0
blob_mb_s = 80.0
${duties}`;
}

function readLastLine(path) {
  return readFileSync(path, 'utf8').trimEnd().split('\n').at(-1);
}

function fetchStatus(host, port, path) {
  return new Promise((resolve) => {
    const sent = request({ host, port, path, agent: false, timeout: 1000 }, (response) => {
      response.resume();
      resolve(response.statusCode);
    });
    sent.on('timeout', () => sent.destroy());
    sent.on('error', () => resolve(0));
    sent.end();
  });
}

/**
 * Starts the routers; `zones`: the zone of each. `buildStoreAddress`: what each of them takes for the
 * store, its own address by default.
 */
export async function startRouters({ zones, storeAddress, cloud, linkStore, linkCloud }) {
  const folder = mkdtempSync(join(tmpdir(), 'hyssoptally-review-'));
  const network = 130 + (process.pid % 100);
  const plans = [];
  for (const [index, zone] of zones.entries()) {
    const host = `127.${network}.${Math.floor(process.pid / 128) % 250}.${index + 10}`;
    const ports = {
      front: await findFreePort(host),
      ready: await findFreePort(host),
      control: await findFreePort(host),
      internal: await findFreePort(host),
    };
    plans.push({ index, name: `front-${zone}-${index + 1}`, zone, host, ports });
  }
  const seeds = plans.slice(0, 3).map(({ host, ports }) => `${host}:${ports.control}`);
  const routers = [];
  for (const plan of plans) {
    const { name, host, ports } = plan;
    const path = join(folder, `${name}.toml`);
    const own = { ...plan, seeds };
    own.storeAddress = (await linkStore?.(plan)) ?? storeAddress;
    own.cloud =
      cloud === undefined
        ? undefined
        : { ...cloud, address: (await linkCloud?.(plan)) ?? cloud.address };
    writeFileSync(path, buildSettings(own));
    const router = { ...plan, address: `${host}:${ports.front}`, process: undefined, exits: [] };
    router.start = () => {
      const log = createWriteStream(join(folder, `${name}.log`), { flags: 'a' });
      const child = spawn(process.execPath, RUN, {
        cwd: ROOT,
        env: { PATH: process.env.PATH, HOME: folder, LANG: 'C', HYSSOPTALLY_SETTINGS: path },
        stdio: ['ignore', 'pipe', 'pipe'],
      });
      child.stdout.pipe(log);
      child.stderr.pipe(log);
      child.on('exit', (code, signal) => {
        router.exits.push({ code, signal, atMs: performance.now() });
      });
      router.process = child;
    };
    router.isReady = async () => (await fetchStatus(host, ports.ready, '/readiness')) === 200;
    router.signal = (signal) => router.process?.kill(signal);
    routers.push(router);
  }
  for (const router of routers) router.start();
  return {
    folder,
    routers,
    /** Throws if they do not become ready; names those that are not. */
    async waitReady(timeoutMs) {
      const listUnready = async () => {
        const states = await Promise.all(routers.map((each) => each.isReady()));
        return routers.filter((_, index) => !states[index]);
      };
      if (await waitFor(async () => (await listUnready()).length === 0, timeoutMs, 50)) return true;
      const unready = (await listUnready()).map(
        ({ name, exits }) =>
          `${name} (${exits.length} ends): ${readLastLine(join(folder, `${name}.log`))}`,
      );
      throw new Error(`not ready after ${timeoutMs} ms: ${unready.join('; ')}`);
    },
    async stop() {
      for (const { process: child } of routers) {
        if (child !== undefined && child.exitCode === null && child.signalCode === null) {
          child.kill('SIGCONT');
          child.kill('SIGKILL');
        }
      }
      await waitMs(200);
      if (process.env.KEEP_LOGS === undefined) rmSync(folder, { recursive: true, force: true });
    },
  };
}
