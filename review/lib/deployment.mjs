/** Starts routers with the command of the deploy file, on loopback addresses of this run. */
/* eslint-disable no-restricted-syntax, no-await-in-loop -- Node 20 runs for-of natively; steps are sequential. */
import { spawn } from 'node:child_process';
import { connect, createServer } from 'node:net';
import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { request as sendHttp } from 'node:http';
import { tmpdir } from 'node:os';
import { dirname, join, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';

const ROOT = resolve(fileURLToPath(import.meta.url), '../../..');
const READY_WAIT_MS = 15_000;
const CASE_TIMEOUT_MS = 110_000;
export const ZONE = 'hall-1';
const REGION = 'region-1';
export const KEY = 'key-of-the-depots';

export const waitMs = (ms) =>
  new Promise((done) => {
    setTimeout(done, ms);
  });

/** Whether the case's disruption takes place. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** Fresh loopback addresses: the port of the router's metrics is fixed. */
const network = `127.${100 + Math.floor(Math.random() * 100)}.${1 + Math.floor(Math.random() * 250)}`;
export const getHost = (index) => `${network}.${index}`;

export function findFreePort(host) {
  return new Promise((done, fail) => {
    const server = createServer();
    server.once('error', fail);
    server.listen(0, host, () => {
      const { port } = server.address();
      server.close(() => done(port));
    });
  });
}

/** Processes that this case started. */
const children = new Set();
/** Temporary folders of this case. */
const folders = new Set();

function stopChildren() {
  for (const child of children) child.kill('SIGKILL');
  for (const folder of folders) rmSync(folder, { recursive: true, force: true });
}

/** Appends lines with the time since the start to a file of the case. */
function createRecord(folder) {
  const path = join(folder, 'record.txt');
  const startedMs = performance.now();
  writeFileSync(path, '');
  return (text) => {
    const atMs = (performance.now() - startedMs).toFixed(0).padStart(7);
    appendFileSync(path, `${atMs} ms  ${text}\n`);
    process.stdout.write(`${atMs} ms  ${text}\n`);
  };
}

/**
 * Runs a case and exits with 1 if it says that the rule was broken, 0 if it held, and 2 if the case
 * could not run. `run` gets the function that writes to the record.
 */
export async function runCase(moduleUrl, run) {
  const record = createRecord(dirname(fileURLToPath(moduleUrl)));
  record(hasTrouble ? 'with the disruption' : 'without the disruption');
  const finish = (code) => {
    record(`exit code ${code}`);
    stopChildren();
    // eslint-disable-next-line n/no-process-exit -- the exit code is the result of the case
    process.exit(code);
  };
  for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => finish(2));
  setTimeout(() => {
    record('the case took too long');
    finish(2);
  }, CASE_TIMEOUT_MS);
  try {
    finish((await run(record)) ? 1 : 0);
  } catch (error) {
    record(error.message);
    finish(2);
  }
}

/** A route of the desired state; the figures are those of a sheet unless given. */
export function buildRoute(name, kind, service, fields = {}) {
  return {
    name,
    host: 'h.example',
    path_prefix: `/${name}/`,
    kind,
    service,
    timeout_ms: 15_000,
    target_latency_ms: 300,
    priority: 2,
    max_attempts: kind === 'idempotent' ? 2 : 1,
    public: false,
    ...fields,
  };
}

const TENANTS = [{ name: 'depots', api_keys: [KEY], priority: 1 }];

export function buildConfiguration(version, routes, services, tenants = TENANTS) {
  return {
    version,
    routes,
    services: services.map((fields) => ({ health_path: '/health', ...fields })),
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15_000,
    },
    tenants,
  };
}

export function buildRunnerRow(service, address, slots, fields = {}) {
  return {
    service,
    address,
    zone: ZONE,
    version: 'v1',
    slots,
    state: 'ready',
    cold_remaining_ms: 0,
    sequence: 1,
    ...fields,
  };
}

function buildSettings({ name, host, zone, zones, ports, seeds, storeAddress }) {
  return `node = "${name}"
role = "router"
machine_class = "front"
serves = ["front", "control"]
ip = "${host}"
zone = "${zone}"
region = "${REGION}"
internal_ports = [${ports.internal}, ${ports.internal + 15}]
seed_nodes = ${JSON.stringify(seeds)}
bootstrap = true
fault_counted = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"]
[zones]
${zones.map((each) => `${each} = "${REGION}"`).join('\n')}
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
[fault_tolerance]
machines = 2
zones = 1
regions = 0
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
[platform]
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
`;
}

function isReady(host, port) {
  return new Promise((done) => {
    const sent = sendHttp(
      { host, port, path: '/readiness', agent: false, timeout: 500 },
      (answer) => {
        answer.resume();
        done(answer.statusCode === 200);
      },
    );
    sent.on('timeout', () => sent.destroy());
    sent.on('error', () => done(false));
    sent.end();
  });
}

/** Starts `count` routers, in the zones by turns, and waits until all are ready. */
export async function startRouters(count, storeAddress, zones = [ZONE]) {
  const folder = mkdtempSync(join(tmpdir(), 'hyssoptally-review-'));
  folders.add(folder);
  const hosts = Array.from({ length: count }, (_, index) => getHost(10 + index));
  const ports = {};
  for (const name of ['front', 'ready', 'control', 'internal'])
    ports[name] = await findFreePort(hosts[0]);
  const seeds = hosts.slice(0, 3).map((host) => `${host}:${ports.control}`);
  const routers = hosts.map((host, index) => {
    const name = `front-${index + 1}`;
    const path = join(folder, `${name}.toml`);
    writeFileSync(
      path,
      buildSettings({
        name,
        host,
        zone: zones[index % zones.length],
        zones,
        ports,
        seeds,
        storeAddress,
      }),
    );
    const logs = [];
    const start = () => {
      const child = spawn('node', ['--max-old-space-size=160', 'target/hyssoptally-router.cjs'], {
        cwd: ROOT,
        env: { PATH: process.env.PATH, HOME: process.env.HOME, HYSSOPTALLY_SETTINGS: path },
        stdio: ['ignore', 'pipe', 'pipe'],
      });
      children.add(child);
      child.stdout.on('data', (chunk) => logs.push(chunk));
      child.stderr.on('data', (chunk) => logs.push(chunk));
      return child;
    };
    return {
      name,
      host,
      port: ports.front,
      child: start(),
      isReady: () => isReady(host, ports.ready),
      readLog: () => Buffer.concat(logs).toString(),
      restart() {
        this.child = start();
      },
    };
  });
  const untilMs = performance.now() + READY_WAIT_MS;
  for (const router of routers) {
    while (!(await router.isReady())) {
      if (performance.now() > untilMs) throw new Error(`${router.name} is not ready`);
      await waitMs(50);
    }
  }
  return {
    routers,
    stop() {
      for (const { child } of routers) child.kill('SIGKILL');
      rmSync(folder, { recursive: true, force: true });
    },
  };
}

/** Sends one request on a connection of its own; never rejects. */
export function sendRequest(
  { host, port },
  { method = 'GET', path, id, body, headers = {}, key = KEY },
) {
  return new Promise((done) => {
    const sentMs = performance.now();
    const finish = (result) => done({ id, tookMs: performance.now() - sentMs, ...result });
    const sent = sendHttp(
      {
        host,
        port,
        method,
        path,
        agent: false,
        headers: {
          host: 'h.example',
          'x-attempt-id': id,
          'x-deadline-ms': '15000',
          authorization: `Bearer ${key}`,
          ...headers,
        },
      },
      (answer) => {
        const chunks = [];
        answer.on('data', (chunk) => chunks.push(chunk));
        const close = () =>
          finish({
            status: answer.statusCode,
            headers: answer.headers,
            body: Buffer.concat(chunks).toString(),
            isComplete: answer.complete,
          });
        answer.on('end', close);
        answer.on('error', close);
      },
    );
    sent.on('error', (error) =>
      finish({ status: 0, body: '', isComplete: false, error: error.code }),
    );
    sent.end(body);
  });
}

/** Opens a raw connection. */
export function openSocket({ host, port }) {
  return new Promise((done, fail) => {
    const socket = connect({ host, port }, () => done(socket));
    socket.once('error', fail);
  });
}
