/** Command that prints how the cost of each part grows with its size. */
import { EXIT_CODE, createCommandLine, listArguments, runMain } from '../cli/command-line.js';
import type { ExitCode } from '../cli/command-line.js';
import { formatTable } from '../cli/format-output.js';
import { buildAdmissionSlopes } from './admission-slopes.js';
import { buildMembershipSlopes } from './membership-slopes.js';
import type { Slope } from './measure.js';
import { buildOrganisationSlopes } from './organisation-slopes.js';
import { buildPlacementSlopes } from './placement-slopes.js';
import { buildRequestSlopes } from './request-slopes.js';

const NAME = 'slopes';

function formatNumber(value: number): string {
  return Math.abs(value) >= 100 ? value.toFixed(0) : value.toPrecision(3);
}

function buildRow(slope: Slope): string[] {
  const points = slope.points.map(({ size, value }) => `${size}: ${formatNumber(value)}`);
  return [slope.role, slope.cost, slope.against, points.join('  '), formatNumber(slope.perUnit)];
}

async function runSlopes(): Promise<ExitCode> {
  const args = await createCommandLine(listArguments(), {
    name: NAME,
    envPrefix: 'HYSSOPTALLY_SLOPES',
    flags: ['json'],
    examples: [['npm run slopes -- --json', 'all slopes as JSON']],
  })
    .options({ json: { type: 'boolean', default: false, describe: 'print JSON' } })
    .parseAsync();
  const slopes = [
    ...buildRequestSlopes(),
    ...buildAdmissionSlopes(),
    ...buildOrganisationSlopes(),
    ...buildMembershipSlopes(),
    ...buildPlacementSlopes(),
  ];
  const base = process.memoryUsage().rss / 1024 / 1024;
  if (args.json) {
    process.stdout.write(`${JSON.stringify({ slopes, residentMib: base })}\n`);
    return EXIT_CODE.Ok;
  }
  const head = ['role', 'cost', 'against', 'measured (size: cost)', 'each further unit'];
  process.stdout.write(`${formatTable([head, ...slopes.map(buildRow)])}\n`);
  return EXIT_CODE.Ok;
}

runMain(NAME, runSlopes);
