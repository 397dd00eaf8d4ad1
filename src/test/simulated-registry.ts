/** A registry of endpoints that keeps its history, and the views that instances have of it. */
import type { EndpointChanges } from '../stream-versions/stream-row.js';
import type { RegisteredEndpoint } from '../types/traffic.js';

interface RegistryEvent {
  readonly revision: number;
  readonly id: string;
  /** Undefined if it was removed. */
  readonly endpoint: RegisteredEndpoint | undefined;
}

export interface SimulatedRegistry {
  /** Sets which versions are registered, one endpoint each; every start has an id of its own. */
  setVersions(versions: readonly string[]): void;
  getRevision(): number;
  list(): readonly RegisteredEndpoint[];
  listChanges(since: number): Omit<EndpointChanges, 'sentMs'>;
}

export interface RegistryView {
  getRevision(): number;
  list(): readonly RegisteredEndpoint[];
  /** Applies all changes; returns whether an endpoint that was never seen was removed. */
  applyChanges(): boolean;
  /** Replaces all by a list; returns whether changes were passed over. */
  applyList(): boolean;
}

export function buildEndpoint(softwareVersion: string, id: string): RegisteredEndpoint {
  return {
    id,
    startId: id,
    pool: 'engines',
    address: softwareVersion,
    dataCentre: 'd',
    slots: 8,
    isLeaving: false,
    isSpot: false,
    softwareVersion,
  };
}

export function createSimulatedRegistry(): SimulatedRegistry {
  const events: RegistryEvent[] = [];
  const endpoints = new Map<string, RegisteredEndpoint>();
  let revision = 1;

  function record(id: string, endpoint: RegisteredEndpoint | undefined): void {
    revision += 1;
    events.push({ revision, id, endpoint });
    if (endpoint === undefined) endpoints.delete(id);
    else endpoints.set(id, endpoint);
  }

  return {
    setVersions(versions) {
      const present = [...endpoints.values()];
      const missing = versions.filter(
        (version) => !present.some(({ softwareVersion }) => softwareVersion === version),
      );
      for (const version of missing) {
        const id = `engine-${version}-${revision}`;
        record(id, buildEndpoint(version, id));
      }
      for (const { id, softwareVersion } of present)
        if (!versions.includes(softwareVersion)) record(id, undefined);
    },
    getRevision: () => revision,
    list: () => [...endpoints.values()],
    listChanges(since) {
      const ids = new Set(events.filter((event) => event.revision > since).map(({ id }) => id));
      const present = [...endpoints.values()].filter(({ id }) => ids.has(id));
      const removed = [...ids].filter((id) => !endpoints.has(id));
      return { present, removed, revision };
    },
  };
}

export function createRegistryView(registry: SimulatedRegistry): RegistryView {
  let endpoints = new Map<string, RegisteredEndpoint>();
  let revision = 0;
  return {
    getRevision: () => revision,
    list: () => [...endpoints.values()],
    applyChanges() {
      const { present, removed, revision: next } = registry.listChanges(revision);
      const hasUnseen = removed.some((id) => !endpoints.has(id));
      for (const endpoint of present) endpoints.set(endpoint.id, endpoint);
      for (const id of removed) endpoints.delete(id);
      revision = next;
      return hasUnseen;
    },
    applyList() {
      const isGap = registry.getRevision() > revision;
      endpoints = new Map(registry.list().map((endpoint) => [endpoint.id, endpoint]));
      revision = registry.getRevision();
      return isGap;
    },
  };
}
