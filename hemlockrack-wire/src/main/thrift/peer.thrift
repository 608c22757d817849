namespace java org.hemlockrack.wire

include "gateway.thrift"

/** The slice that reads an envelope's payload. */
enum Slice {
  CONSENSUS = 1,
  MEMBERSHIP = 2,
  CLAIMS = 3,
  ROLLOUT = 4,
  ADMISSION = 5
}

/** One message of a slice; its answer, if any, is an envelope in the other direction. */
struct Envelope {
  1: string sender,
  2: string target,
  3: Slice slice,
  /** A Thrift struct of the slice, in the compact protocol. */
  4: binary payload
}

/** A command for the replicated state. */
struct ProposeRequest {
  1: string sender,
  2: binary command,
  3: i64 timeoutMillis
}

enum ProposeStatus {
  /** The command was applied; result holds the state's answer. */
  APPLIED = 1,
  /** The receiver does not lead; leader names the instance it knows to lead, if any. The command was not appended. */
  NOT_LEADER = 2,
  /** The command was appended but not known to be committed in time; it may still be applied. */
  UNKNOWN = 3
}

struct ProposeReply {
  1: ProposeStatus status,
  2: optional binary result,
  3: optional string leader
}

struct ConfigReply {
  /** Version of the configuration held by the receiver; 0 if it holds none. */
  1: i64 version,
  /** The whole configuration as TOML, absent if the caller's version is not lower. */
  2: optional string document,
  /** Whether the version includes all changes that were acknowledged before the call. */
  3: optional bool confirmed
}

/** An order of the roll-out controller to a backend server. */
struct OrderMessage {
  1: i64 fence,
  2: bool load,
  3: string backend,
  4: string model,
  5: string version
}

service Peer {
  oneway void deliver(1: list<Envelope> envelopes),
  /** Answered at once; tells the sender of one-way messages that its connection works. */
  void ping(),
  ProposeReply propose(1: ProposeRequest request),
  ConfigReply fetchConfig(1: i64 haveVersion),
  /** The configuration with all acknowledged changes; version 0 and not confirmed if the receiver does not lead. */
  ConfigReply fetchConfirmedConfig(),
  /** Asks the holder of an attempt for a claimed key whether it abandoned the attempt without dispatch. */
  bool abandoned(1: string attempt),
  /** The encoded roll-outs that the receiver knows. */
  binary fetchRollouts(),
  /** Gives an order to the owner of its server; false if it was refused at once. */
  bool order(1: OrderMessage message),
  /** Asks the leader whether an order is the newest of the controller in charge. */
  bool confirmOrder(1: OrderMessage message),
  /** The encoded burn accounts of the receiver. */
  binary fetchBurn(),
  /** Brings a gateway or another controller up to date with what the receiver knows. */
  gateway.SyncReply sync(1: gateway.SyncRequest request),
  /** Asks a controller for permits of a limit that all gateways share. */
  gateway.PermitReply acquirePermits(1: gateway.PermitRequest request)
}
