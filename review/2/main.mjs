/** The operator takes the last tenant out of the desired state. */
/* eslint-disable no-restricted-syntax, no-await-in-loop, import-x/extensions -- Node 20 runs for-of natively and needs the written extension; steps are sequential. */
import {
  KEY,
  buildConfiguration,
  buildRoute,
  buildRunnerRow,
  getHost,
  hasTrouble,
  runCase,
  sendRequest,
  startRouters,
  waitMs,
} from '../lib/deployment.mjs';
import { startRunner, startStore } from '../lib/standins.mjs';

const MACHINES = 3;
/** `revoke_ms` of the settings. */
const REVOKE_MS = 5000;
const MARGIN_MS = 1000;
const CALM_MS = 4000;
const REQUESTS = 5;
/** No desired state ever held it. */
const UNKNOWN_KEY = 'key-that-nobody-was-given';

function answerOrder({ response, body }, headers) {
  response.writeHead(200, { ...headers, 'Content-Type': 'text/plain' });
  response.end(`recorded ${body}`);
}

async function run(record) {
  const store = await startStore(getHost(1));
  const runner = await startRunner({ host: getHost(2), id: 'i-app-1', slots: 40 }, answerOrder);
  const routes = [buildRoute('order', 'non_idempotent', 'app', { timeout_ms: 2500 })];
  const services = [{ name: 'app', max_connections: 100 }];
  const tenants = [{ name: 'depots', api_keys: [KEY], priority: 1 }];
  store.set('op', 'config', buildConfiguration(1, routes, services, tenants));
  store.set('servers', runner.id, buildRunnerRow('app', runner.address, 40));
  const { routers } = await startRouters(MACHINES, store.address);
  await waitMs(CALM_MS);

  /** Returns how many of the requests with the key have run. */
  async function countRuns(name, key) {
    const ids = [];
    const statuses = [];
    for (const router of routers) {
      for (let number = 1; number <= REQUESTS; number += 1) {
        const id = `${name}-${router.name}-${number}`;
        const { status } = await sendRequest(router, {
          method: 'POST',
          path: '/order/1',
          id,
          key,
          body: id,
        });
        ids.push(id);
        statuses.push(status);
      }
    }
    const ran = runner.runs.filter(({ id }) => ids.includes(id)).length;
    const tenantNames = runner.runs
      .filter(({ id }) => ids.includes(id))
      .map(({ request }) => request.headers['x-tenant'] ?? 'none');
    record(
      `${name}: ${ids.length} sent, answered ${[...new Set(statuses)].join(', ')}, ${ran} ran, X-Tenant ${[...new Set(tenantNames)].join(', ')}`,
    );
    return ran;
  }

  await countRuns('own key before', KEY);
  await countRuns('unknown key before', UNKNOWN_KEY);
  if (hasTrouble) {
    store.set('op', 'config', buildConfiguration(2, routes, services, []));
    record('operator: version 2, without the tenant, is acknowledged');
  }
  await waitMs(REVOKE_MS + MARGIN_MS);
  const ownRuns = await countRuns('own key after', KEY);
  const unknownRuns = await countRuns('unknown key after', UNKNOWN_KEY);
  const revokedRuns = hasTrouble ? ownRuns : 0;
  record(`runs with a key that was taken away over ${REVOKE_MS} ms before: ${revokedRuns}`);
  record(`runs with a key that no desired state ever held: ${unknownRuns}`);
  return revokedRuns > 0 || unknownRuns > 0;
}

runCase(import.meta.url, run);
