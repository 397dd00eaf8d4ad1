/**
 * Checks that the ids of a stream's events increase, also where the stream goes on at another endpoint.
 * Ids that are no numbers have no order: of these only the one after which a stream goes on is recognised.
 */

const NUMBER = /^[0-9]+$/;
const LEADING_ZEROS = /^0+(?=[0-9])/;

/** Order of the events of one attempt. */
export interface EventOrder {
  /** Records an event; false if it, or a later one, has come before. */
  record(id: string | undefined): boolean;
}

function isNumber(id: string): boolean {
  return NUMBER.test(id);
}

/** Compares numbers of any length. */
function isGreater(id: string, other: string): boolean {
  const digits = id.replace(LEADING_ZEROS, '');
  const otherDigits = other.replace(LEADING_ZEROS, '');
  if (digits.length !== otherDigits.length) return digits.length > otherDigits.length;
  return digits > otherDigits;
}

/** `lastEventId`: the event after which the stream goes on; undefined if it begins. */
export function createEventOrder(lastEventId: string | undefined): EventOrder {
  let lastId = lastEventId;
  let isFirst = true;

  function isInOrder(id: string): boolean {
    if (lastId === undefined) return true;
    if (isNumber(id) && isNumber(lastId)) return isGreater(id, lastId);
    return !isFirst || id !== lastId;
  }

  return {
    record(id) {
      if (id === undefined) return true;
      const wasInOrder = isInOrder(id);
      lastId = id;
      isFirst = false;
      return wasInOrder;
    },
  };
}
