/** How the body of a response ends, and whether its connection can carry another exchange. */
import type { HeaderField } from './call-messages.js';

const STATUS_SUCCESS_MIN = 200;
const STATUS_SUCCESS_MAX = 299;
const STATUS_NO_CONTENT = 204;
const STATUS_NOT_MODIFIED = 304;

export interface ResponseFraming {
  /** Neither a length nor chunks tell where the body ends (RFC 9112, section 6.3, item 8). */
  readonly endsWithConnection: boolean;
  /** The endpoint closes the connection after the response. */
  readonly closesConnection: boolean;
}

function hasName(headers: readonly HeaderField[], wanted: string): boolean {
  return headers.some(({ name }) => name.toLowerCase() === wanted);
}

function isClosing(headers: readonly HeaderField[]): boolean {
  return headers
    .filter(({ name }) => name.toLowerCase() === 'connection')
    .flatMap(({ value }) => value.toLowerCase().split(','))
    .some((option) => option.trim() === 'close');
}

/** Whether a response never has a body. */
function isBodiless(method: string, status: number): boolean {
  return method === 'HEAD' || status === STATUS_NO_CONTENT || status === STATUS_NOT_MODIFIED;
}

export function isSuccess(status: number): boolean {
  return status >= STATUS_SUCCESS_MIN && status <= STATUS_SUCCESS_MAX;
}

/** Reads the framing from the head of a response to a request with the method. */
export function readFraming(
  method: string,
  status: number,
  headers: readonly HeaderField[],
): ResponseFraming {
  const isFramed = hasName(headers, 'content-length') || hasName(headers, 'transfer-encoding');
  const endsWithConnection = !isFramed && !isBodiless(method, status);
  return { endsWithConnection, closesConnection: endsWithConnection || isClosing(headers) };
}

/**
 * Whether a response of which `bytes` of a body came shows no more than that its connection was closed.
 * Guards against an endpoint that ends after the head of a success and seems to have answered in whole.
 */
export function isUnproven(framing: ResponseFraming, status: number, bytes: number): boolean {
  return framing.endsWithConnection && isSuccess(status) && bytes === 0;
}
