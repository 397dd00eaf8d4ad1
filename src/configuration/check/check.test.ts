import { createOrganisationLimiter } from '../../limits/organisation-limits.js';
import { describe } from '../../test/describe.js';
import { hashText } from '../../utils/hash.js';
import { buildCompiledFiles, checkConfiguration } from './check-configuration.js';
import { FINDING } from './findings.js';
import { buildPrintedFinding, formatFinding, formatFindings } from './format-findings.js';
import { ADMITTED_RATE_MIN } from './list-contradictions.js';

const CLASSES = `classes:
  counter:
    tier: 0
    firstTokenMs: 1400
    betweenTokensMs: 76
    deadlineMs: 10000
`;
const POOLS = `pools:
  models:
    kind: engine
    models: [assistant]
    endpoints:
      engine-1: { url: 'http://127.0.0.1:7101', dataCentre: wattala, slots: 8 }
`;
const ORGANISATIONS = `organisations:
  depots:
    keys: ['sha256:${hashText('depots')}']
    classes: [counter]
    defaultClass: counter
    pools: [models]
`;
const FILES = { '10.yaml': CLASSES, '20.yaml': POOLS, '30.yaml': ORGANISATIONS };

function checkFiles(change: Readonly<Record<string, string>>): string[] {
  const files = new Map(Object.entries({ ...FILES, ...change }));
  return checkConfiguration(files, undefined).map((finding) => {
    const text = formatFinding(finding);
    return `${finding.kind} ${text}`;
  });
}

/** Checks files against the unchanged ones. */
function compareFiles(change: Readonly<Record<string, string>>): string[] {
  const reference = buildCompiledFiles(new Map(Object.entries(FILES))).unwrap();
  const files = new Map(Object.entries({ ...FILES, ...change }));
  return checkConfiguration(files, reference).map(formatFinding);
}

describe('configuration check', ({ it, describe: describeInner }) => {
  // Guards against a change that closes everything unnoticed, as the last organisation is taken away.
  it('names a change after which nobody may send anything', (t) => {
    const lines = compareFiles({ '30.yaml': 'organisations: {}\n' });
    t.true(lines.includes('! organisations: none is left, so every request will be refused'));
    t.deepEqual(compareFiles({}), []);
  });

  it('reports nothing for a sound configuration', (t) => {
    t.deepEqual(checkFiles({}), []);
  });

  describeInner('errors', ({ it: itInner }) => {
    itInner('have place, value and remedy if the schema rejects them', (t) => {
      // Guards against an operator who learns that a file is wrong, but not which value to replace.
      const files = new Map(
        Object.entries({ ...FILES, '20.yaml': POOLS.replace('8 }', '9000 }') }),
      );
      const [finding, ...others] = checkConfiguration(files, undefined);
      t.deepEqual(others, []);
      t.deepEqual(finding, {
        kind: FINDING.Invalid,
        place: {
          file: '20.yaml',
          line: 6,
          entry: 'pools.models',
          field: 'endpoints.engine-1.slots',
        },
        value: '9000',
        problem: 'pools.models.endpoints.engine-1.slots: Too big: expected number to be <=4096',
        remedy: 'write a value of at most 4096',
      });
    });

    itInner('have place, value and remedy if a reference dangles', (t) => {
      // Guards against a class that is removed while an organisation still uses it.
      t.deepEqual(
        checkFiles({ '30.yaml': ORGANISATIONS.replace('pools: [models]', 'pools: [gone]') }),
        [
          'invalid 30.yaml:6: organisations.depots.pools: pool gone is not declared (value ["gone"]); declare it or remove it from depots',
        ],
      );
    });

    itInner('hide a key that is declared in place of its hash', (t) => {
      // Guards against a secret in the output of a check, which build logs keep.
      const secret = 'hyk_secret';
      const text = ORGANISATIONS.replace(/sha256:[0-9a-f]+/, secret);
      const files = new Map(Object.entries({ ...FILES, '30.yaml': text }));
      const findings = checkConfiguration(files, undefined);
      t.is(findings.length, 1);
      t.false(JSON.stringify(findings.map(buildPrintedFinding)).includes(secret));
      t.false(findings.map(formatFinding).join('').includes(secret));
    });

    itInner('are reported for aliases that cannot be resolved', (t) => {
      // Guards against an exception of the YAML library that ends the command without a place.
      const bomb = ['a: &a [1]', 'b: &b [*a, *a, *a, *a, *a, *a, *a, *a, *a, *a, *a, *a]']
        .concat(['c: &c [*b, *b, *b, *b, *b, *b, *b, *b, *b, *b, *b, *b]'])
        .join('\n');
      for (const text of ['classes: *nowhere\n', `${bomb}\nd: [*c, *c, *c, *c, *c, *c]\n`]) {
        const [first] = checkFiles({ '40.yaml': text });
        t.regex(first ?? '', /^invalid 40\.yaml:1: not valid YAML \(.*alias.*; correct the line$/i);
      }
    });

    itInner('stop the comparison', (t) => {
      // Guards against a list of removed entries that are only missing because a file has an error.
      const findings = compareFiles({ '30.yaml': 'organisations: [' });
      t.true(findings.every((line) => line.startsWith('30.yaml:')));
    });
  });

  describeInner('entries that never match', ({ it: itInner }) => {
    itInner('include a class that no organisation may use', (t) => {
      // Guards against a class that takes a floor, or is thought to be offered, and serves nobody.
      const batch = CLASSES.replace('classes:\n', '').replace('counter', 'batch');
      t.deepEqual(checkFiles({ '10.yaml': CLASSES + batch }), [
        'unused_class 10.yaml:7: classes.batch: no organisation may use class batch; add it to the classes of an organisation or remove it',
      ]);
    });

    itInner('include a pool that no organisation may use', (t) => {
      // Guards against endpoints that are paid for and get no requests.
      const spare = POOLS.replace('pools:\n', '').replaceAll('models:\n', 'spare:\n');
      const text = POOLS + spare.replace('engine-1', 'engine-2');
      t.deepEqual(checkFiles({ '20.yaml': text }), [
        'unused_pool 20.yaml:7: pools.spare: no organisation may use pool spare; add it to the pools of an organisation or remove it',
      ]);
    });

    itInner('include a pool without endpoints', (t) => {
      // Guards against requests that are accepted for a pool and wait until their deadline.
      const text = 'pools:\n  models: { kind: engine, models: [assistant], endpoints: {} }\n';
      t.deepEqual(checkFiles({ '20.yaml': text }), [
        'pool_without_endpoints 20.yaml:2: pools.models.endpoints: pool models has no endpoints, so its requests are never served; declare an endpoint or remove the pool',
      ]);
    });

    itInner('include an engine pool without models', (t) => {
      // Guards against engines that get no requests, since requests name a model and not a pool.
      t.deepEqual(checkFiles({ '20.yaml': POOLS.replace('    models: [assistant]\n', '') }), [
        'engine_without_models 20.yaml:2: pools.models.models: engine pool models has no models, so no request is routed to it; declare its models or remove the pool',
      ]);
    });

    itInner('include models of a service pool', (t) => {
      // Guards against a pool that was meant as an engine pool: its models are unknown to callers.
      t.deepEqual(checkFiles({ '20.yaml': POOLS.replace('kind: engine', 'kind: service') }), [
        'models_of_service 20.yaml:4: pools.models.models: models of a service pool are not used; only engines load models (value assistant); remove them or set kind to engine',
      ]);
    });

    const spare = POOLS.replace('pools:\n', '')
      .replaceAll('models:\n', 'spare:\n')
      .replace('engine-1', 'engine-2');

    itInner('include a model that an earlier pool has for all organisations', (t) => {
      // Guards against a second pool that was meant to share the load of a model and gets none of it.
      const change = {
        '20.yaml': POOLS + spare,
        '30.yaml': ORGANISATIONS.replace('[models]', '[models, spare]'),
      };
      t.deepEqual(checkFiles(change), [
        'shadowed_model 20.yaml:9: pools.spare.models: no request for model assistant is routed here: each organisation of the pool lists another pool with the model before it; remove the model or change the order of the pools of an organisation',
      ]);
    });

    itInner('exclude a model that one organisation is routed to', (t) => {
      // Guards against the advice to remove a model that an organisation depends on.
      const text = ORGANISATIONS.replace('[models]', '[models, spare]');
      const stores = ORGANISATIONS.replace('organisations:\n', '')
        .replace('depots', 'stores')
        .replace(hashText('depots'), hashText('stores'))
        .replace('[models]', '[spare]');
      t.deepEqual(checkFiles({ '20.yaml': POOLS + spare, '30.yaml': text + stores }), []);
    });

    itInner('include an item that is listed twice', (t) => {
      // Guards against a typing error that hides the item that was meant.
      const text = ORGANISATIONS.replace('classes: [counter]', 'classes: [counter, counter]');
      t.deepEqual(checkFiles({ '30.yaml': text }), [
        'repeated_item 30.yaml:4: organisations.depots.classes: counter is listed more than once; keep one of them',
      ]);
    });
  });

  describeInner('contradicting limits', ({ it: itInner }) => {
    itInner('include a target over the deadline of its class', (t) => {
      // Guards against a class whose target is met by answers that are already worth nothing.
      const text = CLASSES.replace('1400', '10001');
      t.deepEqual(checkFiles({ '10.yaml': text }), [
        'target_over_deadline 10.yaml:4: classes.counter.firstTokenMs: the target is over the deadline of 10000 ms (value 10001); write 10000 at most or raise deadlineMs',
      ]);
    });

    itInner('exclude a target that equals the deadline', (t) => {
      // Guards against a finding for a configuration that can be met.
      t.deepEqual(checkFiles({ '10.yaml': CLASSES.replace('1400', '10000') }), []);
    });

    const buildOrganisation = (rate: number): string =>
      `${ORGANISATIONS}    limits: { requestsPerSecond: ${rate} }\n`;

    itInner('include a rate at which the limiter admits nothing', (t) => {
      // Guards against an organisation that is turned away always: its bucket never holds a request.
      t.deepEqual(checkFiles({ '30.yaml': buildOrganisation(0.4) }), [
        'rate_never_admits 30.yaml:7: organisations.depots.limits.requestsPerSecond: under 0.5 requests per second no request is ever admitted (value 0.4); write 0.5 at least, or remove the organisation to turn it off',
      ]);
      t.deepEqual(checkFiles({ '30.yaml': buildOrganisation(0.5) }), []);
    });

    itInner('agree with the limiter on the rate at which nothing is admitted', (t) => {
      // Guards against a minimum that no longer holds when the limiter's bucket changes.
      const hasAdmitted = (rate: number): boolean => {
        const files = new Map(Object.entries({ ...FILES, '30.yaml': buildOrganisation(rate) }));
        const { declarations } = buildCompiledFiles(files).unwrap();
        const limiter = createOrganisationLimiter();
        return [...declarations.organisations.values()].some((organisation) =>
          Array.from({ length: 100 }, (_, second) => second * 1000).some((nowMs) => {
            const peers = { instances: 1, getDemand: () => 0 };
            return limiter.take(organisation, peers, nowMs).kind === 'admitted';
          }),
        );
      };
      t.false(hasAdmitted(ADMITTED_RATE_MIN - 0.01));
      t.true(hasAdmitted(ADMITTED_RATE_MIN));
    });

    itInner('include a rate under one request in the deadline of a class', (t) => {
      // Guards against refusals whose retry time is always after the deadline of the request.
      const change = {
        '10.yaml': CLASSES.replace('10000', '1500'),
        '30.yaml': buildOrganisation(0.6),
      };
      t.deepEqual(checkFiles(change), [
        'rate_under_deadline 30.yaml:7: organisations.depots.limits.requestsPerSecond: the rate is under one request in the deadline of class counter (1500 ms), so a request that exceeds it cannot be retried in time (value 0.6); write 0.67 at least, or remove the class from the organisation',
      ]);
    });
  });

  describeInner('differences', ({ it: itInner }) => {
    const second = ORGANISATIONS.replace('depots', 'stores').replace(
      hashText('depots'),
      hashText('stores'),
    );

    itInner('include an entry that is added', (t) => {
      // Guards against an organisation that gets access unnoticed.
      t.deepEqual(compareFiles({ '31.yaml': second }), ['+ organisations.stores']);
    });

    itInner('include an entry that is removed', (t) => {
      // Guards against an organisation that loses access since its file was left out.
      const files = new Map([
        ['10.yaml', CLASSES],
        ['20.yaml', POOLS],
        ['31.yaml', second],
      ]);
      const reference = buildCompiledFiles(new Map(Object.entries(FILES))).unwrap();
      t.deepEqual(checkConfiguration(files, reference).map(formatFinding), [
        '+ organisations.stores',
        '- organisations.depots',
      ]);
    });

    itInner('include a field that changes, with both values in its unit', (t) => {
      // Guards against a changed limit that an operator cannot tell from a reformatted file.
      const change = {
        '10.yaml': CLASSES.replace('10000', '8000'),
        '20.yaml': POOLS.replace('slots: 8', 'slots: 4'),
      };
      t.deepEqual(compareFiles(change), [
        '~ classes.counter: time limit for the complete response 10000 ms -> 8000 ms',
        '~ pools.models.endpoints.engine-1: concurrent requests (slots) 8 -> 4',
      ]);
    });

    itInner('include a list that changes, by what follows', (t) => {
      // Guards against a key or permission that is withdrawn unnoticed.
      const keys = ORGANISATIONS.replace(hashText('depots'), hashText('new'));
      t.deepEqual(compareFiles({ '30.yaml': keys }), [
        `~ organisations.depots: accepts the key sha256:${hashText('new').slice(0, 8)}…; no longer accepts the key sha256:${hashText('depots').slice(0, 8)}…`,
      ]);
    });

    itInner('include the order of a list', (t) => {
      // Guards against models that move to other engines since an organisation's pools were sorted.
      const both = (order: string): Map<string, string> =>
        new Map([
          ['10.yaml', CLASSES],
          [
            '20.yaml',
            `${POOLS}  spare:\n    kind: engine\n    models: [draft]\n    endpoints:\n      engine-2: { url: 'http://127.0.0.1:7102', dataCentre: wattala, slots: 8 }\n`,
          ],
          ['30.yaml', ORGANISATIONS.replace('[models]', order)],
        ]);
      const reference = buildCompiledFiles(both('[models, spare]')).unwrap();
      t.deepEqual(checkConfiguration(both('[spare, models]'), reference).map(formatFinding), [
        '~ organisations.depots: pools in another order: a model that several have is served by the first',
      ]);
    });

    itInner('exclude a layout of files that compiles to the same', (t) => {
      // Guards against changes in a report that have no effect, which hide those that have one.
      const files = new Map([['all.yaml', `# all in one\n${ORGANISATIONS}${POOLS}${CLASSES}`]]);
      const reference = buildCompiledFiles(new Map(Object.entries(FILES))).unwrap();
      t.deepEqual(checkConfiguration(files, reference), []);
    });

    itInner('are listed apart from faults, under the version that they differ from', (t) => {
      // Guards against a report in which a fault is lost between hundreds of intended changes.
      const reference = buildCompiledFiles(new Map(Object.entries(FILES))).unwrap();
      const text = CLASSES.replace('1400', '10001');
      const files = new Map(Object.entries({ ...FILES, '10.yaml': text }));
      const findings = checkConfiguration(files, reference);
      t.deepEqual(formatFindings(findings, { files: 3, reference: 'version 7' }).split('\n'), [
        '1 findings in 3 files:',
        '  10.yaml:4: classes.counter.firstTokenMs: the target is over the deadline of 10000 ms (value 10001); write 10000 at most or raise deadlineMs',
        '1 differences from version 7:',
        '  ~ classes.counter: target time to first token 1400 ms -> 10001 ms',
      ]);
    });
  });
});
