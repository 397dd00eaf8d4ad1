/** Makes a switch fail to compile if a case is not handled. */
export function assertNever(value: never): never {
  throw new Error(`Unhandled case ${JSON.stringify(value)}; add it to the switch that threw this`);
}
