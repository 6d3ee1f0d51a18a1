@0xc2b9a1f04d7e8853;
# The messages between daemons. Hashes are `NameHash` of names; `clock` is the event clock.
# Regenerate src/peer_capnp.rs as CONTRIBUTING.md says; the generated file is committed.

struct SlotRow {            # slots a member holds on one backend server
  server  @0 :UInt32;
  held    @1 :UInt16;
  inUse   @2 :UInt16;
}

struct DemandRow {          # what one workspace wants and has received at the sender
  workspace @0 :UInt32;
  queued    @1 :UInt16;
  running   @2 :UInt16;
  costTotal @3 :UInt32;     # cost units, wrapping, since the sender's start
  lead      @4 :Float32;    # virtual time above the report's base, in cost per weight
}

struct ServiceReport {
  service      @0 :UInt32;
  kind         @1 :UInt8;   # 0 daemon, 1 allocator of another failure domain
  ownSlots     @2 :UInt32;  # an allocator's own capacity, in slots
  base         @3 :Float64;
  slots        @4 :List(SlotRow);
  resting      @5 :List(UInt32);
  demands      @6 :List(DemandRow);
  session      @7 :UInt32;  # changes when costTotal starts again from zero
}

struct Report {
  sender        @0 :UInt32;
  incarnation   @1 :UInt32;
  clock         @2 :UInt64;
  bundleVersion @3 :UInt32;
  leaving       @4 :Bool;
  services      @5 :List(ServiceReport);
  suspects      @6 :List(UInt32);
  serversLeaving @7 :List(UInt32);
}

struct LeaseRow {
  server @0 :UInt32;
  slots  @1 :UInt32;
}

struct VirtualTimeRow {
  workspace @0 :UInt32;
  lead      @1 :Float32;
  share     @2 :Float32;
}

struct ServiceGrant {
  service      @0 :UInt32;
  base         @1 :Float64;
  leases       @2 :List(LeaseRow);
  virtualTimes @3 :List(VirtualTimeRow);
}

struct Grant {
  incarnation  @0 :UInt32;
  clock        @1 :UInt64;
  nextReportMs @2 :UInt32;
  leaseMs      @3 :UInt32;
  services     @4 :List(ServiceGrant);
  leaving      @5 :List(UInt32);
}

struct Claim {
  key       @0 :Data;       # 16 bytes
  nonce     @1 :UInt64;
}

struct ClaimEnd {
  key       @0 :Data;
  nonce     @1 :UInt64;
  status    @2 :UInt16;
}

struct ClaimVerdict {
  state  @0 :UInt8;         # 0 held, 1 in use, 2 ended, 3 log out of reach, 4 unsettled
  status @1 :UInt16;
}

struct BundleCopy {
  version @0 :UInt32;       # 0: none newer in force
  content @1 :Data;         # a checkpoint record of the bundle stream
}

struct ClaimBatch {         # one record of a claim stream
  id     @0 :UInt64;        # tells a record from its own second copy
  claims @1 :List(Claim);
  ends   @2 :List(ClaimEnd);
}

interface Peer {
  exchange @0 (report :Report) -> (grant :Grant);
  claim    @1 (claims :List(Claim), ends :List(ClaimEnd)) -> (verdicts :List(ClaimVerdict));
  bundle   @2 (knownVersion :UInt32) -> (copy :BundleCopy);
}
