/** The users' two deployments, at the sizes their brief gives. */
import type { ClassDeclaration } from '../types/declarations.js';

/** How a class's answers and prompts look on the bench. */
export interface ClassTraffic {
  readonly declaration: ClassDeclaration;
  /** Share of the tokens asked for in calm times. */
  readonly share: number;
  /** Scale of the heavy-tailed answer length, in tokens: the shortest answer. */
  readonly lengthScale: number;
  /** The longest answer, in tokens: one that a free engine ends before the deadline. */
  readonly lengthMax: number;
  readonly promptCharacters: number;
}

/** One deployment. */
export interface Deployment {
  readonly name: string;
  readonly dataCentres: readonly string[];
  readonly entries: number;
  readonly engines: number;
  readonly slots: number;
  /** Time of an engine's step, in milliseconds; the routers are not told. */
  readonly stepMs: number;
  /** One way between data centres, in milliseconds. */
  readonly peerDelayMs: number;
  /** One way between callers and entries, in milliseconds. */
  readonly callerDelayMs: number;
  readonly classes: readonly ClassTraffic[];
  /** Share of the traffic each organisation brings, largest first. */
  readonly organisations: readonly { readonly name: string; readonly share: number }[];
}

const STEP_MS = 50;
const SLOTS = 8;

/** A few large organisations and many small ones. */
function buildOrganisations(prefix: string): { name: string; share: number }[] {
  const shares = [0.3, 0.2, 0.15, 0.08, 0.07, 0.06, 0.05, 0.04, 0.03, 0.02];
  return shares.map((share, index) => ({ name: `${prefix}-${index + 1}`, share }));
}

function buildClass(
  name: string,
  tier: number,
  targets: readonly [firstTokenMs: number, betweenTokensMs: number, deadlineMs: number],
  traffic: Omit<ClassTraffic, 'declaration'>,
): ClassTraffic {
  const [firstTokenMs, betweenTokensMs, deadlineMs] = targets;
  return {
    declaration: { name, tier, firstTokenMs, betweenTokensMs, deadlineMs, floor: 0.1 },
    ...traffic,
  };
}

const KELANIYA: Deployment = {
  name: 'kelaniya',
  dataCentres: ['peliyagoda', 'kiribathgoda', 'wattala'],
  entries: 8,
  engines: 6,
  slots: SLOTS,
  stepMs: STEP_MS,
  peerDelayMs: 0.5,
  callerDelayMs: 1,
  classes: [
    buildClass('counter', 0, [1400, 76, 5000], {
      share: 0.3,
      lengthScale: 6,
      lengthMax: 60,
      promptCharacters: 200,
    }),
    buildClass('reorder', 1, [3000, 150, 8000], {
      share: 0.4,
      lengthScale: 15,
      lengthMax: 100,
      promptCharacters: 800,
    }),
    buildClass('history', 2, [6000, 300, 14_000], {
      share: 0.3,
      lengthScale: 30,
      lengthMax: 180,
      promptCharacters: 6000,
    }),
  ],
  organisations: buildOrganisations('depot'),
};

const MARCHE: Deployment = {
  name: 'marche',
  dataCentres: ['port-louis', 'pamplemousses', 'goodlands', 'triolet'],
  entries: 8,
  engines: 13,
  slots: SLOTS,
  stepMs: STEP_MS,
  peerDelayMs: 0.5,
  callerDelayMs: 3,
  classes: [
    buildClass('auction', 0, [1400, 76, 5000], {
      share: 0.35,
      lengthScale: 6,
      lengthMax: 60,
      promptCharacters: 200,
    }),
    buildClass('reconcile', 1, [3000, 150, 8000], {
      share: 0.35,
      lengthScale: 15,
      lengthMax: 100,
      promptCharacters: 800,
    }),
    buildClass('contract', 2, [6000, 300, 14_000], {
      share: 0.3,
      lengthScale: 30,
      lengthMax: 180,
      promptCharacters: 4000,
    }),
  ],
  organisations: buildOrganisations('stall'),
};

export const DEPLOYMENTS = { kelaniya: KELANIYA, marche: MARCHE } as const;
export type DeploymentName = keyof typeof DEPLOYMENTS;

/** Tokens a second that all engines could at most produce. */
export function computeCapacity(deployment: Deployment): number {
  return (deployment.engines * deployment.slots * 1000) / deployment.stepMs;
}
