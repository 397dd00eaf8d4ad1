/** Closes an exhaustive switch: a case the compiler has not seen handled does not compile. */
export function assertNever(value: never): never {
  throw new Error(`Unhandled case ${JSON.stringify(value)}; add it to the switch that threw this`);
}
