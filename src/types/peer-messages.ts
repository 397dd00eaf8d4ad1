/** The typed messages between processes, as the committed generated code gives them. */
import type { PeerMessage } from '../gen/peer_pb.js';

/** One message to a peer, told apart by `case`. */
export type PeerBody = Exclude<PeerMessage['body'], { case: undefined }>;

/** A message on its way to a named instance. */
export interface AddressedMessage {
  readonly to: string;
  readonly body: PeerBody;
}
