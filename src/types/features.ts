/** Scheduling features that an operator can turn off. */
import leven from 'leven';

export const FEATURE = {
  /** Speed and stream pauses are known for each endpoint. */
  Timing: 'timing',
  /** Endpoints that have just started or recovered get calls at the pace of their answers. */
  Pace: 'pace',
} as const;
export type Feature = (typeof FEATURE)[keyof typeof FEATURE];

const FEATURES: readonly Feature[] = Object.values(FEATURE);

/** Features in use; all unless the operator turned some off. */
export type EnabledFeatures = ReadonlySet<Feature>;

export const ALL_FEATURES: EnabledFeatures = new Set(FEATURES);

function findNearest(name: string): Feature {
  return [...FEATURES].sort((a, b) => leven(name, a) - leven(name, b))[0] as Feature;
}

/**
 * Parses the names of the features to turn off, separated by commas. Throws on an unknown name, so that
 * a misspelt one does not leave its feature on.
 */
export function parseDisabledFeatures(text: string): EnabledFeatures {
  const names = text
    .split(',')
    .map((name) => name.trim())
    .filter((name) => name !== '');
  for (const name of names) {
    if (!FEATURES.some((feature) => feature === name)) {
      throw new Error(
        `'${name}' is no feature that can be turned off; known are ${FEATURES.join(', ')}: did you mean '${findNearest(name)}'?`,
      );
    }
  }
  return new Set(FEATURES.filter((feature) => !names.includes(feature)));
}
