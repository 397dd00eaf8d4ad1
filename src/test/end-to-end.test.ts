/** End-to-end tests of callers' requests and operators' commands against separate processes. */
import test from 'ava';
import { createCompletionClient } from '../load/completion-client.js';
import { buildCompletion } from '../standin/completion.js';
import { describe } from './describe.js';
import { fetchStatus, sendRequest } from './http.js';
import { startProcessFleet, TEST_KEY, TEST_MODEL } from './process-fleet.js';
import type { ProcessFleet } from './process-fleet.js';
import { listPlatformFlags, runCtl, stopProcesses, TEST_SECRET } from './processes.js';

const RESPONSE_TOKENS_MAX = 400;

let fleet: ProcessFleet;
const client = createCompletionClient();

test.before(async () => {
  fleet = await startProcessFleet();
});

test.after.always(async () => {
  await client.close();
  await fleet?.stop();
  stopProcesses();
});

function getCallerUrl(index: number): string {
  return fleet.routers[index]?.addresses.callers ?? '';
}

function sendCompletion(body: unknown, headers: Record<string, string> = {}) {
  return sendRequest(`${getCallerUrl(0)}/v1/chat/completions`, {
    headers: {
      authorization: `Bearer ${TEST_KEY}`,
      'content-type': 'application/json',
      ...headers,
    },
    body: typeof body === 'string' ? body : JSON.stringify(body),
  });
}

interface ErrorBody {
  readonly error: { readonly type: string; readonly message: string; readonly outcome: string };
}

const COMPLETION_REQUEST = {
  model: TEST_MODEL,
  messages: [{ role: 'user', content: 'a part [length:6]' }],
};

describe('end to end', ({ describe: describeInner }) => {
  describeInner('callers', ({ it }) => {
    it('receive complete streamed responses through both data centres', async (t) => {
      const prompts = Array.from({ length: 12 }, (_, index) => `question ${index} [length:20]`);
      const results = await Promise.all(
        prompts.map((prompt, index) =>
          client.send({ url: getCallerUrl(index % 2), key: TEST_KEY, model: TEST_MODEL, prompt }),
        ),
      );
      results.forEach((result, index) => {
        t.true(result.isWhole);
        t.is(result.text, buildCompletion(prompts[index] ?? '', RESPONSE_TOKENS_MAX));
      });
    });

    it('receive a single JSON body without `stream`', async (t) => {
      const response = await sendCompletion(COMPLETION_REQUEST);
      t.is(response.status, 200);
      const body = response.json as { choices: { message: { content: string } }[] };
      t.is(
        body.choices[0]?.message.content,
        buildCompletion('a part [length:6]', RESPONSE_TOKENS_MAX),
      );
      t.truthy(response.headers['x-hyssoptally-request-id']);
    });

    it('list the models they may use', async (t) => {
      const response = await sendRequest(`${getCallerUrl(0)}/v1/models`, {
        headers: { authorization: `Bearer ${TEST_KEY}` },
      });
      t.deepEqual(response.json, { object: 'list', data: [{ id: TEST_MODEL, object: 'model' }] });
    });

    it('reach services', async (t) => {
      const response = await sendRequest(`${getCallerUrl(1)}/services/stores/parts/7?size=2`, {
        headers: { authorization: `Bearer ${TEST_KEY}` },
      });
      t.is(response.status, 200);
      t.is((response.json as { path: string }).path, '/parts/7?size=2');
    });
  });

  describeInner('invalid requests', ({ it }) => {
    const cases: readonly [string, unknown, Record<string, string>, number, string][] = [
      [
        'an unknown key',
        COMPLETION_REQUEST,
        { authorization: 'Bearer nobody' },
        401,
        'unauthenticated',
      ],
      ['invalid JSON', '{"model":', {}, 400, 'bad_request'],
      ['no messages', { model: TEST_MODEL }, {}, 400, 'bad_request'],
      ['an unknown model', { ...COMPLETION_REQUEST, model: 'other' }, {}, 404, 'unknown_model'],
      [
        'an unknown class',
        COMPLETION_REQUEST,
        { 'x-hyssoptally-class': 'gold' },
        403,
        'forbidden_class',
      ],
      [
        'an invalid deadline',
        COMPLETION_REQUEST,
        { 'x-hyssoptally-deadline-ms': 'soon' },
        400,
        'bad_request',
      ],
      [
        'a non-repeatable request without an idempotency key',
        COMPLETION_REQUEST,
        { 'x-hyssoptally-repeatable': 'false' },
        400,
        'bad_request',
      ],
      ['an oversized body', 'x'.repeat(5_000_000), {}, 413, 'too_large'],
      [
        'oversized headers',
        COMPLETION_REQUEST,
        { 'x-bomb': 'x'.repeat(20_000) },
        431,
        'headers_too_large',
      ],
    ];
    for (const [title, body, headers, status, type] of cases) {
      it(`${title}: responds ${status} with outcome not_run`, async (t) => {
        const response = await sendCompletion(body, headers);
        t.is(response.status, status);
        const { error } = response.json as ErrorBody;
        t.is(error.type, type);
        t.is(error.outcome, 'not_run');
        t.truthy(error.message);
      });
    }
  });

  describeInner('operators', ({ itSerial }) => {
    itSerial('see every instance with its configuration version', async (t) => {
      const status = await fetchStatus(fleet.routers[0]?.addresses.operators ?? '');
      t.deepEqual(status.members.map((member) => member.name).sort(), ['entry-1', 'entry-2']);
      t.is(status.invariantBreaches, 0);
      const shown = await runCtl([
        ...['status', '--router', fleet.routers[1]?.addresses.operators ?? ''],
        ...['--operator-secret', TEST_SECRET],
      ]);
      t.is(shown.code, 0);
      t.regex(shown.out, /entry-1 +peliyagoda +alive +1/);
    });

    itSerial('are rejected without the operator secret', async (t) => {
      const response = await sendRequest(`${fleet.routers[0]?.addresses.operators}/status`);
      t.is(response.status, 401);
    });

    itSerial('read the history and roll back without a change', async (t) => {
      const flags = listPlatformFlags(fleet.platform.addresses.url ?? '');
      const rolledBack = await runCtl(['rollback', '1', '--who', 'tests', ...flags]);
      t.is(rolledBack.code, 0);
      t.regex(rolledBack.out, /no changes; version 1 remains current/);
      const history = await runCtl(['history', '--json', ...flags]);
      const [record] = JSON.parse(history.out) as { who: string; version: number }[];
      t.is(record?.who, 'tests');
      t.is(record?.version, 1);
    });

    itSerial('may set a variable that the command does not use', async (t) => {
      const platform = { HYSSOPTALLY_CTL_PLATFORM_TABLE: 'http://127.0.0.1:1' };
      const result = await runCtl(['validate', fleet.configurationFolder], platform);
      t.is(result.code, 0, result.err);
    });

    itSerial('are shown the closest flag for a misspelt one', async (t) => {
      const result = await runCtl(['validate', fleet.configurationFolder, '--jsn']);
      t.is(result.code, 2);
      t.regex(result.err, /did you mean --json/);
    });
  });
});
