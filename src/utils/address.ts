/** Addresses of the form HOST:PORT. */

const PORT_MAX = 65_535;
const PORT_PATTERN = /^[0-9]+$/;

export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

/** Returns undefined for a text without a host, or with a port that no socket takes. */
export function parseAddress(text: string): HostAndPort | undefined {
  const separator = text.lastIndexOf(':');
  const host = text.slice(0, Math.max(0, separator));
  const portText = text.slice(separator + 1);
  const port = Number(portText);
  const isPort = PORT_PATTERN.test(portText) && port > 0 && port <= PORT_MAX;
  return host === '' || !isPort ? undefined : { host, port };
}

/** Splits an address to listen at, which may have port 0. */
export function parseListen(listen: string): HostAndPort {
  const separator = listen.lastIndexOf(':');
  return { host: listen.slice(0, separator), port: Number(listen.slice(separator + 1)) };
}
