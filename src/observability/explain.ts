/** Finds the log lines that explain a request in the logs of several instances. */

interface LoggedLine {
  readonly timestamp: string;
  readonly instance: string;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Events that change the state on which an instance bases its decisions. */
const STATE_EVENTS = new Set([
  'configuration_reported',
  'endpoint_changed',
  'endpoint_crashed',
  'content_judged',
  'source_lost',
  'source_back',
  'watching_changed',
  'clocks_parted',
  'peer_changed',
  'knowledge_asked',
  'leaving',
  'started',
  'lines_left_out',
]);
/** Covers state changes whose effects are delayed, such as the expiry of stale knowledge. */
const LOOK_BACK_MS = 10_000;

function parseLine(text: string): LoggedLine | undefined {
  const start = text.indexOf('{');
  if (start === -1) return undefined;
  try {
    const { timestamp, instance, message, ...fields } = JSON.parse(text.slice(start)) as Record<
      string,
      unknown
    >;
    if (typeof timestamp !== 'string' || typeof message !== 'string') return undefined;
    return { timestamp, instance: String(instance), message, fields };
  } catch {
    // Log files may contain lines of other programs.
    return undefined;
  }
}

const HIDDEN_FIELDS = new Set(['level', 'dataCentre']);

function isText(value: unknown): value is string {
  return typeof value === 'string';
}

function formatLine(
  { timestamp, instance, message, fields }: LoggedLine,
  requestId: string,
): string {
  const rest = Object.entries(fields)
    .filter(
      ([name, value]) => !HIDDEN_FIELDS.has(name) && !(name === 'request' && value === requestId),
    )
    .map(([name, value]) => `${name}=${JSON.stringify(value)}`);
  return `${timestamp} ${instance} ${message} ${rest.join(' ')}`.trimEnd();
}

/** Whether a line is a state change that may have affected a request sent to `endpoints`. */
function isRelevant(line: LoggedLine, endpoints: ReadonlySet<unknown>): boolean {
  if (!STATE_EVENTS.has(line.message)) return false;
  return line.message !== 'endpoint_changed' || endpoints.has(line.fields.endpoint);
}

/** Lines of earlier calls with the same content, and of quarantine decisions on it. */
function listSameContent(
  requestLines: readonly LoggedLine[],
  lines: readonly LoggedLine[],
): LoggedLine[] {
  const contents = new Set(requestLines.map(({ fields }) => fields.content).filter(isText));
  const times = requestLines.map(({ timestamp }) => Date.parse(timestamp));
  const toMs = Math.max(...times);
  return lines.filter(
    (line) =>
      !requestLines.includes(line) &&
      isText(line.fields.content) &&
      contents.has(line.fields.content) &&
      Date.parse(line.timestamp) <= toMs,
  );
}

/** Returns lines in order of time; none if the request was not logged. */
export function listRequestHistory(requestId: string, texts: readonly string[]): string[] {
  const lines = texts.map(parseLine).filter((line) => line !== undefined);
  const requestLines = lines.filter(({ fields }) => fields.request === requestId);
  if (requestLines.length === 0) return [];
  const endpoints = new Set(requestLines.map(({ fields }) => fields.endpoint));
  const instances = new Set(requestLines.map(({ instance }) => instance));
  const times = requestLines.map(({ timestamp }) => Date.parse(timestamp));
  const fromMs = Math.min(...times) - LOOK_BACK_MS;
  const toMs = Math.max(...times);
  const stateLines = lines.filter((line) => {
    const timeMs = Date.parse(line.timestamp);
    const isNear = timeMs >= fromMs && timeMs <= toMs;
    return isNear && instances.has(line.instance) && isRelevant(line, endpoints);
  });
  const related = listSameContent(requestLines, lines);
  return [...new Set([...requestLines, ...stateLines, ...related])]
    .sort((a, b) => Date.parse(a.timestamp) - Date.parse(b.timestamp))
    .map((line) => formatLine(line, requestId));
}
