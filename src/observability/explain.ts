/** Finds one request's story in the logs of several instances. */

/** A line as it was written. */
interface LoggedLine {
  readonly timestamp: string;
  readonly instance: string;
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Events that change what an instance believes; those before a request explain its decisions. */
const BELIEFS = new Set([
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
/** How far back beliefs are looked up, in milliseconds: knowledge of keys is refused when it is five seconds old. */
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
    // Not a line of ours; logs of several programs may share a file.
    return undefined;
  }
}

/** Fields that say nothing about a story. */
const HIDDEN = new Set(['level', 'dataCentre']);

function isText(value: unknown): value is string {
  return typeof value === 'string';
}

function formatLine(
  { timestamp, instance, message, fields }: LoggedLine,
  requestId: string,
): string {
  const rest = Object.entries(fields)
    .filter(([name, value]) => !HIDDEN.has(name) && !(name === 'request' && value === requestId))
    .map(([name, value]) => `${name}=${JSON.stringify(value)}`);
  return `${timestamp} ${instance} ${message} ${rest.join(' ')}`.trimEnd();
}

/** Whether a belief bears on a request: its instance's own, or of an endpoint the request met. */
function isRelevant(line: LoggedLine, endpoints: ReadonlySet<unknown>): boolean {
  if (!BELIEFS.has(line.message)) return false;
  return line.message !== 'endpoint_changed' || endpoints.has(line.fields.endpoint);
}

/** Lines of earlier calls that asked for the same, and what was made of them. */
function listSameContent(own: readonly LoggedLine[], lines: readonly LoggedLine[]): LoggedLine[] {
  const contents = new Set(own.map(({ fields }) => fields.content).filter(isText));
  const times = own.map(({ timestamp }) => Date.parse(timestamp));
  const toMs = Math.max(...times);
  return lines.filter(
    (line) =>
      !own.includes(line) &&
      isText(line.fields.content) &&
      contents.has(line.fields.content) &&
      Date.parse(line.timestamp) <= toMs,
  );
}

/** The lines that explain a request, in order of time; none where it left no trace. */
export function listStory(requestId: string, texts: readonly string[]): string[] {
  const lines = texts.map(parseLine).filter((line) => line !== undefined);
  const own = lines.filter(({ fields }) => fields.request === requestId);
  if (own.length === 0) return [];
  const endpoints = new Set(own.map(({ fields }) => fields.endpoint));
  const instances = new Set(own.map(({ instance }) => instance));
  const times = own.map(({ timestamp }) => Date.parse(timestamp));
  const fromMs = Math.min(...times) - LOOK_BACK_MS;
  const toMs = Math.max(...times);
  const beliefs = lines.filter((line) => {
    const timeMs = Date.parse(line.timestamp);
    const isNear = timeMs >= fromMs && timeMs <= toMs;
    return isNear && instances.has(line.instance) && isRelevant(line, endpoints);
  });
  const related = listSameContent(own, lines);
  return [...new Set([...own, ...beliefs, ...related])]
    .sort((a, b) => Date.parse(a.timestamp) - Date.parse(b.timestamp))
    .map((line) => formatLine(line, requestId));
}
