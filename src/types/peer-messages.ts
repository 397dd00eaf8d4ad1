/** Types of the protobuf messages between instances. */
import type { PeerMessage } from '../gen/peer_pb.js';

/** A message body, discriminated by `case`. */
export type PeerMessageBody = Exclude<PeerMessage['body'], { case: undefined }>;

/** A message with the name of the instance it is sent to. */
export interface AddressedMessage {
  readonly to: string;
  readonly body: PeerMessageBody;
}
