/**
 * This instance's view of the fleet: runs membership and derives from it the live instances, the
 * configuration pollers and the demand at peers.
 */
import type { DemandShare, Fact, PeerMessage } from '../gen/peer_pb.js';
import type { PeerDemand } from '../limits/organisation-limits.js';
import { FactKind, FactState, isPresent, isServing } from '../membership/facts.js';
import { createMembership } from '../membership/membership.js';
import type { MembershipOptions } from '../membership/membership.js';
import type {
  Contact,
  GossipBody,
  MembershipCommand,
  MembershipMessage,
} from '../membership/membership-messages.js';
import type { InstanceListClient, ListedInstance } from '../storage/instance-list-client.js';
import { LISTED_STATE } from '../storage/instance-list-client.js';
import type { TimerService } from '../runtime/timer-service.js';
import type { MemberStatus } from '../types/router-status.js';
import { assertNever } from '../utils/assert-never.js';
import { chooseRendezvous } from '../utils/hash.js';

const TICK_MS = 50;
const INSTANCE_LIST_PERIOD_MS = 2000;
/** Instances in each data centre that poll the platform for new configuration versions. */
const POLLERS_PER_DATA_CENTRE = 2;

export interface FleetViewOptions extends MembershipOptions {
  readonly timers: TimerService;
  /**
   * Interval between membership ticks.
   * @default 50
   */
  readonly tickMs?: number;
  readonly instances: InstanceListClient;
  /**
   * Whether this instance registers in the platform's instance list and reads it. Otherwise it finds
   * others by gossip and seeds only, which saves calls to the platform.
   * @default always
   */
  readonly usesInstanceList?: () => boolean;
  /** HOST:PORT of peers to contact in addition to the listed instances. */
  readonly seeds: readonly string[];
  readonly isLeaving: () => boolean;
  readonly send: (address: string, body: PeerMessage['body']) => void;
  readonly onFactChanged: (fact: Fact, before: Fact | undefined) => void;
}

export interface FleetView {
  handle(from: string, body: GossipBody): void;
  recordEndpointState(endpoint: string, isLeaving: boolean): void;
  recordUnreachable(address: string): void;
  setConfigurationVersion(version: number): void;
  setDemand(shares: readonly DemandShare[]): void;
  leave(): void;
  announceLeft(): void;
  /** Members that may own shards; excludes suspected ones. */
  listAlive(): Fact[];
  /** Members that are leaving. */
  listLeaving(): Fact[];
  /** Members that are not leaving and have not left, including dead ones. */
  listNotLeaving(): Fact[];
  listStatus(): MemberStatus[];
  listLeavingEndpoints(): string[];
  /** Address of a member that is present. */
  findAddress(name: string): string | undefined;
  /** Whether this instance polls the platform for its data centre. */
  isPoller(): boolean;
  getPeerDemand(): PeerDemand;
}

/** Creates a view that knows only this instance and starts discovery. */
export function createFleetView(options: FleetViewOptions): FleetView {
  const { self, timers, instances } = options;
  const membership = createMembership(options);
  /** Whether this instance is registered in the platform's list and must update its entry on leaving. */
  let isListed = false;

  function runCommand(command: MembershipCommand): void {
    switch (command.kind) {
      case 'send':
        options.send(command.address, command.body);
        break;
      case 'changed':
        options.onFactChanged(command.fact, command.before);
        break;
      default:
        assertNever(command);
    }
  }

  function runMembership(message: MembershipMessage): void {
    for (const command of membership.handle(message, timers.clock.monotonicMs())) {
      runCommand(command);
    }
  }

  function listServing(): Fact[] {
    return membership.listMembers().filter(isServing);
  }

  /** Updates this instance's list entry and returns the live instances; empty if the list is not used. */
  async function updateInstanceList(): Promise<readonly ListedInstance[]> {
    const isUsed = options.usesInstanceList?.() ?? true;
    if (!isUsed && !isListed) return [];
    isListed = true;
    const state = options.isLeaving() ? LISTED_STATE.Leaving : LISTED_STATE.Live;
    await instances.register({ ...self, state });
    if (!isUsed) return [];
    const listed = await instances.list();
    return listed.unwrapOr([]).filter((instance) => instance.state === LISTED_STATE.Live);
  }

  async function updateContacts(): Promise<void> {
    const live = await updateInstanceList();
    const known = new Set(membership.listMembers().map((fact) => fact.address));
    // A seed is known only by its address until it answers, so the address serves as its name.
    const seeds: Contact[] = options.seeds
      .filter((address) => !known.has(address))
      .map((address) => ({ name: address, address, dataCentre: '' }));
    runMembership({ kind: 'contacts', contacts: [...live, ...seeds] });
  }

  function startContactUpdate(): void {
    updateContacts().catch(() => undefined);
  }

  timers.subscribe(options.tickMs ?? TICK_MS, () => runMembership({ kind: 'tick' }));
  timers.subscribe(INSTANCE_LIST_PERIOD_MS, startContactUpdate);
  timers.subscribeOnce(0, startContactUpdate);

  return {
    handle(from, body) {
      runMembership({ kind: 'received', from, body });
    },
    recordEndpointState(endpoint, isLeaving) {
      runMembership({ kind: 'endpoint', endpoint, isLeaving, wallMs: timers.clock.wallMs() });
    },
    recordUnreachable(address) {
      runMembership({ kind: 'unreachable', address });
    },
    setConfigurationVersion(version) {
      runMembership({ kind: 'configuration', version });
    },
    setDemand(shares) {
      runMembership({ kind: 'demand', shares });
    },
    leave() {
      runMembership({ kind: 'leave' });
      startContactUpdate();
    },
    announceLeft() {
      runMembership({ kind: 'left' });
    },
    // Suspected members are excluded, so that requests do not wait for an owner that may be dead.
    // A wrong suspicion can briefly cause duplicate grants.
    listAlive: () => membership.listMembers().filter((fact) => fact.state === FactState.ALIVE),
    listLeaving: () => membership.listMembers().filter((fact) => fact.state === FactState.LEAVING),
    listNotLeaving: () =>
      membership
        .listMembers()
        .filter((fact) => fact.state !== FactState.LEFT && fact.state !== FactState.LEAVING),
    listStatus: () =>
      membership.listMembers().map((fact) => ({
        name: fact.subject,
        dataCentre: fact.dataCentre,
        address: fact.address,
        state: FactState[fact.state].toLowerCase(),
        configurationVersion: fact.configurationVersion,
      })),
    listLeavingEndpoints: () =>
      membership
        .listEndpoints()
        .filter((fact) => fact.kind === FactKind.ENDPOINT && fact.state === FactState.LEAVING)
        .map((fact) => fact.subject),
    findAddress(name) {
      const member = membership.findMember(name);
      return member !== undefined && isPresent(member) ? member.address : undefined;
    },
    isPoller() {
      const local = listServing()
        .filter((fact) => fact.dataCentre === self.dataCentre)
        .map((fact) => fact.subject);
      return chooseRendezvous('configuration', local, POLLERS_PER_DATA_CENTRE).includes(self.name);
    },
    getPeerDemand() {
      const others = listServing().filter((fact) => fact.subject !== self.name);
      return {
        instances: others.length + 1,
        getDemand: (organisation) =>
          others.reduce((sum, fact) => {
            const share = fact.demand.find((entry) => entry.organisation === organisation);
            return sum + (share?.rate ?? 0);
          }, 0),
      };
    },
  };
}
