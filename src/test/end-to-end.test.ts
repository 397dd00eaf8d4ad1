/** The whole path with separate processes on loopback, from a caller's and an operator's side. */
import test from 'ava';
import { createCompletionClient } from '../load/completion-client.js';
import { buildAnswer } from '../standin/answer.js';
import { describe } from './describe.js';
import { fetchStatus, sendCall } from './http.js';
import { startProcessFleet, TEST_KEY, TEST_MODEL } from './process-fleet.js';
import type { ProcessFleet } from './process-fleet.js';
import { listPlatformFlags, runCtl, stopProcesses, TEST_SECRET } from './processes.js';

const ANSWER_MAX = 400;

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

function getUrl(index: number): string {
  return fleet.routers[index]?.listening.callers ?? '';
}

function sendCompletion(body: unknown, headers: Record<string, string> = {}) {
  return sendCall(`${getUrl(0)}/v1/chat/completions`, {
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

const QUESTION = { model: TEST_MODEL, messages: [{ role: 'user', content: 'a part [length:6]' }] };

describe('the whole path', ({ describe: describeInner }) => {
  describeInner('callers', ({ it }) => {
    it('get whole streamed answers through both data centres', async (t) => {
      const prompts = Array.from({ length: 12 }, (_, index) => `question ${index} [length:20]`);
      const results = await Promise.all(
        prompts.map((prompt, index) =>
          client.send({ url: getUrl(index % 2), key: TEST_KEY, model: TEST_MODEL, prompt }),
        ),
      );
      results.forEach((result, index) => {
        t.true(result.isWhole);
        t.is(result.text, buildAnswer(prompts[index] ?? '', ANSWER_MAX));
      });
    });

    it('get one JSON body without stream', async (t) => {
      const answer = await sendCompletion(QUESTION);
      t.is(answer.status, 200);
      const body = answer.json as { choices: { message: { content: string } }[] };
      t.is(body.choices[0]?.message.content, buildAnswer('a part [length:6]', ANSWER_MAX));
      t.truthy(answer.headers['x-hyssoptally-request-id']);
    });

    it('see the models they may use', async (t) => {
      const answer = await sendCall(`${getUrl(0)}/v1/models`, {
        headers: { authorization: `Bearer ${TEST_KEY}` },
      });
      t.deepEqual(answer.json, { object: 'list', data: [{ id: TEST_MODEL, object: 'model' }] });
    });

    it('reach plain services', async (t) => {
      const answer = await sendCall(`${getUrl(1)}/services/stores/parts/7?size=2`, {
        headers: { authorization: `Bearer ${TEST_KEY}` },
      });
      t.is(answer.status, 200);
      t.is((answer.json as { path: string }).path, '/parts/7?size=2');
    });
  });

  describeInner('wrong input', ({ it }) => {
    const cases: readonly [string, unknown, Record<string, string>, number, string][] = [
      ['an unknown key', QUESTION, { authorization: 'Bearer nobody' }, 401, 'unauthenticated'],
      ['bad JSON', '{"model":', {}, 400, 'bad_request'],
      ['no messages', { model: TEST_MODEL }, {}, 400, 'bad_request'],
      ['an unknown model', { ...QUESTION, model: 'other' }, {}, 404, 'unknown_model'],
      ['an unknown class', QUESTION, { 'x-hyssoptally-class': 'gold' }, 403, 'forbidden_class'],
      ['a bad deadline', QUESTION, { 'x-hyssoptally-deadline-ms': 'soon' }, 400, 'bad_request'],
      [
        'a once-only request without a key',
        QUESTION,
        { 'x-hyssoptally-repeatable': 'false' },
        400,
        'bad_request',
      ],
      ['an oversized body', 'x'.repeat(5_000_000), {}, 413, 'too_large'],
      ['a header bomb', QUESTION, { 'x-bomb': 'x'.repeat(20_000) }, 431, 'headers_too_large'],
    ];
    for (const [title, body, headers, status, type] of cases) {
      it(`${title} is answered ${status} and not run`, async (t) => {
        const answer = await sendCompletion(body, headers);
        t.is(answer.status, status);
        const { error } = answer.json as ErrorBody;
        t.is(error.type, type);
        t.is(error.outcome, 'not_run');
        t.truthy(error.message);
      });
    }
  });

  describeInner('operators', ({ itSerial }) => {
    itSerial('see every instance with its version', async (t) => {
      const status = await fetchStatus(fleet.routers[0]?.listening.operators ?? '');
      t.deepEqual(status.members.map((member) => member.name).sort(), ['entry-1', 'entry-2']);
      t.is(status.invariantBreaches, 0);
      const shown = await runCtl([
        ...['status', '--router', fleet.routers[1]?.listening.operators ?? ''],
        ...['--operator-secret', TEST_SECRET],
      ]);
      t.is(shown.code, 0);
      t.regex(shown.out, /entry-1 +peliyagoda +alive +1/);
    });

    itSerial('are refused without the secret', async (t) => {
      const answer = await sendCall(`${fleet.routers[0]?.listening.operators}/status`);
      t.is(answer.status, 401);
    });

    itSerial('read the audit trail and roll back as a new version', async (t) => {
      const flags = listPlatformFlags(fleet.platform.listening.url ?? '');
      const rolledBack = await runCtl(['rollback', '1', '--who', 'tests', ...flags]);
      t.is(rolledBack.code, 0);
      t.regex(rolledBack.out, /nothing to change; version 1 stays/);
      const history = await runCtl(['history', '--json', ...flags]);
      const [record] = JSON.parse(history.out) as { who: string; version: number }[];
      t.is(record?.who, 'tests');
      t.is(record?.version, 1);
    });

    itSerial('may set the environment for all commands of the tool at once', async (t) => {
      const platform = { HYSSOPTALLY_CTL_PLATFORM_TABLE: 'http://127.0.0.1:1' };
      const answer = await runCtl(['validate', fleet.folder], platform);
      t.is(answer.code, 0, answer.err);
    });

    itSerial('are told the nearest flag', async (t) => {
      const answer = await runCtl(['validate', fleet.folder, '--jsn']);
      t.is(answer.code, 2);
      t.regex(answer.err, /did you mean --json/);
    });
  });
});
