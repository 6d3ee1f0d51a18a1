@0xb3d1c8a5e07f4126;
# What daemons tell each other of their load, one datagram at a time.
#
# A report is soft state: it may be lost or arrive late, replaces the one before it, and is worth
# nothing a second later. Names travel as 32-bit hashes (NameHash).

struct LoadReport {
  instance @0 :UInt32;
  # Changes at every start of the process.
  incarnation @1 :UInt32;
  sequence @2 :UInt32;
  failureDomain @3 :UInt32;
  # Zero while none is in force.
  configurationVersion @4 :UInt64;
  # How old the sender's view of the backend servers is.
  serversAgeMs @5 :UInt32;
  stopping @6 :Bool;
  servers @7 :List(ServerLoadRow);
  workspaces @8 :List(WorkspaceUseRow);
  # Backend servers that the sender knows to be leaving or gone.
  leaving @9 :List(UInt32);
  members @10 :List(MemberRow);
  # How long ago the sender's configuration was known to be the newest.
  configurationAgeMs @11 :UInt32;
  # The place in the store's log up to which the list of backend servers is known.
  serversRevision @12 :UInt64;
  parts @13 :List(PartRow);
  # Of the list of backend servers, whatever the order: daemons with the same digest have the same list.
  serversDigest @14 :UInt64;
  # What the rows of load stand for: 0 the sender's own load, told to every peer; 1 the same, told to the
  # aggregator of the failure domain; 2 the sum over an aggregator's members; 3 the sum over all instances; 4 nothing: the message says who is
  # there and what the sender knows, and the load told last still counts.
  scope @15 :UInt8;
  # 0 for senders that know no aggregators.
  protocol @16 :UInt8;
  # The share of a core that the sender may use, in thousandths.
  processorMilli @17 :UInt32;
  # The members whose load is summed up here, the sender included.
  included @18 :List(IncludedRow);
  # How many instances the load is summed over.
  instances @19 :UInt32;
  # Mean age of the summed load when the message was sent.
  loadAgeMs @20 :UInt32;
  # How many instances of the sender's failure domain are known.
  domainInstances @21 :UInt32;
  # Failure domains that are or were evacuated.
  evacuations @22 :List(EvacuationRow);
  # Requests under which backend servers ended.
  suspects @23 :List(SuspectRow);
  # The era of the store that serversRevision is of: it comes before the revision where the two are compared. Zero
  # from senders that know no eras.
  serversEra @24 :UInt32;
  # After what time the sender tells its load again. Zero from senders that do not say so, which tell it every
  # 25 ms.
  loadIntervalMs @25 :UInt32;
}

# Which software version began a stream, told to the instances that keep it and asked of them. A datagram of its own,
# which begins with the byte 0xFF.
struct StreamVersions {
  rows @0 :List(StreamVersionRow);
  queries @1 :List(StreamQuery);
  answers @2 :List(StreamAnswer);
}

struct StreamVersionRow {
  # The hash of the workspace and of the id of the attempt that brought the stream's first event.
  stream @0 :UInt64;
  service @1 :UInt32;
  workspace @2 :UInt32;
  # The hash of the version's name; zero where it is not known.
  version @3 :UInt32;
  # How much longer the caller may continue the stream.
  leftMs @4 :UInt32;
}

struct StreamQuery {
  # Chosen by the sender, repeated in the answer.
  number @0 :UInt32;
  stream @1 :UInt64;
  # The service at which the caller wants to continue.
  service @2 :UInt32;
}

struct StreamAnswer {
  number @0 :UInt32;
  # 0: the sender does not know. 1: the stream began at this service and version. 2: no stream of the service that
  # may be continued can have begun at another version than this one.
  knowledge @1 :UInt8;
  service @2 :UInt32;
  version @3 :UInt32;
}

struct SuspectRow {
  # The halves of the request's fingerprint; of a segment, the service and the segment's id.
  fingerprintHigh @0 :UInt64;
  fingerprintLow @1 :UInt64;
  # The workspace that it counts against.
  workspace @2 :UInt32;
  # Starts of backend servers that ended under a request; none if it was answered whole since.
  servers @3 :List(UInt32);
  # How long ago the last of them ended, or it was answered.
  changedMsAgo @4 :UInt32;
  # How long ago it last came.
  seenMsAgo @5 :UInt32;
  # 0: a request. 1: a segment of prompts.
  kind @6 :UInt8;
  # Servers that ended under a segment; none if it was answered since. A reader that knows no segments takes the row for
  # that of an answered request.
  ends @7 :List(SuspectEndRow);
  # How long ago it was last answered whole, or that answer to a request with a segment began; the greatest value where the
  # sender knows of none.
  answeredMsAgo @8 :UInt32 = 0xffffffff;
  # Whether a request of any workspace was ever answered whole under it, as far as the sender knows.
  wasAnswered @9 :Bool;
  # What the store is known to hold of it: 0 unknown, 1 a record, 2 none, since it was withdrawn; the era of the store that this
  # was written in, and how long ago that was.
  storedState @10 :UInt8;
  storedEra @11 :UInt32;
  storedMsAgo @12 :UInt32;
}

struct SuspectEndRow {
  # The start of a backend server.
  server @0 :UInt32;
  # How long ago the request was sent to it, and how long ago it ended.
  sentMsAgo @1 :UInt32;
  endedMsAgo @2 :UInt32;
  # For how long the answer had been written there; zero without a head.
  answeredMs @3 :UInt32;
  # Another server that ended at the same time and ran nothing with the segment; zero for none.
  besideServer @4 :UInt32;
  # Whether an answer with the segment that began no later has gone on for clearly longer.
  outlived @5 :Bool;
  # Whether its observers had not run long enough to know which segments were answered before.
  early @6 :Bool;
}

struct EvacuationRow {
  failureDomain @0 :UInt32;
  # False once it was taken back.
  active @1 :Bool;
  # The place in the store's log after the record that says it.
  revision @2 :UInt64;
  # The era of the store that it is of.
  era @3 :UInt32;
}

struct IncludedRow {
  instance @0 :UInt32;
  # The sequence of the message from which its load was taken.
  sequence @1 :UInt32;
}

struct ServerLoadRow {
  server @0 :UInt32;
  running @1 :UInt16;
  # Failure rate by outcome, 255 for all.
  failureRate @2 :UInt8;
  # Prompt tokens that wait to be read.
  unreadTokens @3 :UInt32;
  # Nothing answered at its address within the last second, as the sender or one whose load is summed up here found.
  unreachable @4 :Bool;
  # It said in an answer, to the sender or to one whose load is summed up here, that it drains; its record does not.
  draining @5 :Bool;
  # It asked the sender, or one whose load is summed up here, for time that is not over.
  backedOff @6 :Bool;
  # Evidence of an engine's speed, in which an answer of so many milliseconds ago counts by
  # exp(-milliseconds / 10,000): how many answers, the sum of the natural logarithms of measured by expected time to
  # the first event, and the sum of their squares. Zero from senders that do not tell it.
  speedAnswers @7 :Float32;
  speedLogs @8 :Float32;
  speedLogSquares @9 :Float32;
  # How long the stream that waits longest there for its next event has waited, of the streams whose route has a target
  # for that.
  pauseMs @10 :UInt16;
}

struct WorkspaceUseRow {
  workspace @0 :UInt32;
  # Cost asked for and begun within the window of use.
  askedCost @1 :Float32;
  begunCost @2 :Float32;
  # Prompt tokens that its requests lately wanted prefilled: those of a request that came so many
  # milliseconds ago count by exp(-milliseconds / 400). Zero from senders that do not tell it.
  recentPrefillTokens @3 :Float32;
  # Cost begun lately, that of so many milliseconds ago by exp(-milliseconds / 800).
  recentBegunCost @4 :Float32;
}

struct MemberRow {
  instance @0 :UInt32;
  ipv4 @1 :UInt32;
  port @2 :UInt16;
  # Zero where the sender does not know it.
  failureDomain @3 :UInt32;
  processorMilli @4 :UInt32;
}

struct PartRow {
  # A prompt part that was sent to a backend server, by the hash of its identity.
  part @0 :UInt32;
  server @1 :UInt32;
}

# Loans of retries between instances, for services whose retry budget runs short at one of them. A datagram of its own,
# which begins with the byte 0xFE.
struct RetryLoans {
  # The sender.
  instance @0 :UInt32;
  requests @1 :List(RetryLoanRow);
  loans @2 :List(RetryLoanRow);
}

struct RetryLoanRow {
  # Chosen by the instance that asks, repeated with the loan.
  number @0 :UInt32;
  service @1 :UInt32;
  # How many retries are asked for, or lent.
  retries @2 :Float32;
}
