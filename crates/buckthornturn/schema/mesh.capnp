@0xd3a1f4f0b7c25e19;
# Schema of the messages between hosts.
#
# Compatibility: fields and union members are only added, at the end, and never removed or renumbered. A receiver
# refuses a request of an unknown kind and ignores unknown fields.

using Rust = import "rust.capnp";
$Rust.parentModule("mesh");

struct SocketAddress {
  # IPv6 address and port. IPv4 addresses are encoded as IPv4-mapped IPv6 addresses (::ffff:a.b.c.d).
  high @0 :UInt64;
  low @1 :UInt64;
  port @2 :UInt16;
}

struct Heartbeat {
  host @0 :Text;
  incarnation @1 :UInt64;
  failureDomain @2 :Text;
  region @3 :Text;
  callers @4 :SocketAddress;
  mesh @5 :SocketAddress;
  revision @6 :UInt64;
  leaving @7 :Bool;
  confirmed @8 :Bool;
  storeReached @9 :Bool;
  confirmationAgeMs @10 :UInt64;
  planShrunk @11 :UInt64;
  others @12 :List(HeardHeartbeat);
  planDigest @13 :UInt64;
}

struct HeardHeartbeat {
  heartbeat @0 :Heartbeat;
  ageMs @1 :UInt64;
}

struct Change {
  revision @0 :UInt64;
  encoded @1 :Data;
}

struct HolderEntry {
  host @0 :Text;
  incarnation @1 :UInt64;
}

struct FloorPlan {
  domain @0 :Text;
  epoch @1 :UInt64;
  holders @2 :List(HolderEntry);
  awaited @3 :List(HolderEntry);
  gone @4 :List(HolderEntry);
}

struct KnownPlan {
  domain @0 :Text;
  epoch @1 :UInt64;
}

struct SlotCount {
  target @0 :Text;
  slots @1 :UInt32;
}

struct SlotLease {
  target @0 :Text;
  slots @1 :UInt32;
  epoch @2 :UInt64;
  termMs @3 :UInt64;
}

struct OutcomeEntry {
  ticket @0 :Text;
  encoded @1 :Data;
  expiresInMs @2 :UInt64;
}

struct ListedHost {
  host @0 :Text;
  failureDomain @1 :Text;
  region @2 :Text;
  mesh @3 :SocketAddress;
  leaving @4 :Bool;
}

struct PeerRequest {
  from @0 :Text;
  version @1 :UInt16;
  union {
    none @2 :Void;
    heartbeat @3 :Heartbeat;
    pullChanges @4 :UInt64;
    pushChanges @5 :List(Change);
    pullState @6 :UInt64;
    pullPlans @7 :List(KnownPlan);
    pushPlans @8 :List(FloorPlan);
    borrowTokens :group {
      customer @9 :Text;
      microTokens @10 :UInt64;
      ratePpm @11 :UInt32;
    }
    leaseSlots :group {
      sequence @12 :UInt64;
      wanted @13 :List(SlotCount);
    }
    returnSlots @14 :List(SlotCount);
    keepOutcomes @15 :List(OutcomeEntry);
    pushHosts @16 :List(ListedHost);
  }
}

struct PeerReply {
  union {
    done @0 :Void;
    refused @1 :Text;
    heartbeat @2 :Heartbeat;
    changes :group {
      changes @3 :List(Change);
      latest @4 :UInt64;
    }
    state :group {
      revision @5 :UInt64;
      encoded @6 :Data;
      totalBytes @7 :UInt64;
    }
    plans @8 :List(FloorPlan);
    tokensLent :group {
      microTokens @9 :UInt64;
      ratePpm @10 :UInt32;
      termMs @11 :UInt64;
    }
    slotsLeased @12 :List(SlotLease);
  }
}

interface PeerPort {
  call @0 (request :PeerRequest) -> (reply :PeerReply);
}
