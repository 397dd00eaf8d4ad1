/** Formats faults: what is wrong, where, and what to do. */
import { FINDING } from './findings.js';
import type { Fault } from './findings.js';

/** A fault in words. */
export interface FaultText {
  readonly problem: string;
  readonly remedy: string;
}

/** Describes a fault in words, with the remedy. */
export function formatFault(fault: Fault): FaultText {
  switch (fault.kind) {
    case FINDING.Invalid: {
      const { problem, remedy } = fault;
      return { problem, remedy };
    }
    case FINDING.UnusedClass:
      return {
        problem: `no organisation may use class ${fault.value}`,
        remedy: 'add it to the classes of an organisation or remove it',
      };
    case FINDING.UnusedPool:
      return {
        problem: `no organisation may use pool ${fault.value}`,
        remedy: 'add it to the pools of an organisation or remove it',
      };
    case FINDING.PoolWithoutEndpoints:
      return {
        problem: `pool ${fault.value} has no endpoints, so its requests are never served`,
        remedy: 'declare an endpoint or remove the pool',
      };
    case FINDING.EngineWithoutModels:
      return {
        problem: `engine pool ${fault.value} has no models, so no request is routed to it`,
        remedy: 'declare its models or remove the pool',
      };
    case FINDING.ModelsOfService:
      return {
        problem: 'models of a service pool are not used; only engines load models',
        remedy: 'remove them or set kind to engine',
      };
    case FINDING.ShadowedModel:
      return {
        problem: `no request for model ${fault.value} is routed here: each organisation of the pool lists another pool with the model before it`,
        remedy: 'remove the model or change the order of the pools of an organisation',
      };
    case FINDING.RepeatedItem:
      return {
        problem: `${fault.value} is listed more than once`,
        remedy: 'keep one of them',
      };
    case FINDING.TargetOverDeadline:
      return {
        problem: `the target is over the deadline of ${fault.deadlineMs} ms`,
        remedy: `write ${fault.deadlineMs} at most or raise deadlineMs`,
      };
    case FINDING.RateNeverAdmits:
      return {
        problem: `under ${fault.minimum} requests per second no request is ever admitted`,
        remedy: `write ${fault.minimum} at least, or remove the organisation to turn it off`,
      };
    case FINDING.RateUnderDeadline:
      return {
        problem: `the rate is under one request in the deadline of class ${fault.className} (${fault.deadlineMs} ms), so a request that exceeds it cannot be retried in time`,
        remedy: `write ${Math.ceil(100_000 / fault.deadlineMs) / 100} at least, or remove the class from the organisation`,
      };
    default: {
      const unknown: never = fault;
      return unknown;
    }
  }
}

/** The declared value, as far as the problem does not name it. */
function formatValue(fault: Fault): string {
  switch (fault.kind) {
    case FINDING.Invalid:
      return fault.value === undefined ? '' : ` (value ${fault.value})`;
    case FINDING.ModelsOfService:
      return ` (value ${fault.value.join(', ')})`;
    case FINDING.TargetOverDeadline:
    case FINDING.RateNeverAdmits:
    case FINDING.RateUnderDeadline:
      return ` (value ${fault.value})`;
    default:
      return '';
  }
}

/** Formats a fault as one line, which begins with its file and line. */
export function formatFaultLine(fault: Fault): string {
  const { file, line, entry, field } = fault.place;
  const { problem, remedy } = formatFault(fault);
  const path = [entry, field].filter((part) => part !== '').join('.');
  // Errors of the schema begin with their path.
  const subject = path === '' || problem.startsWith(path) ? '' : `${path}: `;
  return `${file}:${line}: ${subject}${problem}${formatValue(fault)}; ${remedy}`;
}
