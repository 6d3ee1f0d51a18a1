//! Routing decisions of the router, one module for each rule.
//!
//! The decisions depend on this instance's own load and on the load reports of its peers. The crate is pure:
//! it has no I/O, clock or runtime. An instance keeps one [`Dispatcher`], asks it where each request goes,
//! reports the outcome of each request to it, and exchanges [`LoadReport`]s with its peers. All state is soft
//! state: it may be wrong for a moment, which costs latency or fairness but never an answer.
//!
//! | module | rule |
//! |---|---|
//! | `placement`, with `candidate_ranking`, `latency_estimate`, `first_event_model` and `prefix_cache_index` | which backend server |
//! | `engine_speed` | how fast each engine is, relative to the others of its service |
//! | `event_gaps` | the longest pause between two events of a stream |
//! | `stream_pause` | which engines get no further prompt because their streams would pause too long |
//! | `software_version` | which software versions may serve a request |
//! | `version_history` | which versions a service runs, or ran while streams of today may have begun |
//! | `stream_version_table` | which version began each stream, and how long that is kept |
//! | `allowed_regions` | in which regions a request may run |
//! | `server_groups` | which servers a decision considers |
//! | `load_pressure` | how soon peers must learn of the load |
//! | `admission` | whether a request is sent or refused, and its retry-after |
//! | `retry` | whether a request may be sent again |
//! | `retry_budget`, with `retry_ledger`, `retry_loans` and `retry_benefit` | whether a retry is within the bound of the fleet, and worth it |
//! | `fair_share`, with `max_min` and `decaying_sum` | whether a workspace exceeds its share |
//! | `pacing` | how fast prompts are sent for a workspace that requests more than its share |
//! | `priority_pressure` | which requests yield to more urgent ones |
//! | `server_health`, with `failure_rate` and `attempt` | failure rate, overdue answers, unreachable servers |
//! | `domain_reach` | whether a failure domain can be connected to at all |
//! | `server_ends` | which servers have ended, and which requests broke off there |
//! | `quarantine`, with `suspect`, `suspect_table` and `segment_probes` | which requests and segments are no longer sent because servers end while running them |
//! | `saved_suspects` | which records of quarantined suspects the platform's store should hold, and who writes them |
//! | `segment_evidence`, with `recent_ends` and `answered_segments` | which segment of prompts is the cause of servers' ends |
//! | `overload` | whether this instance refuses requests or sheds callers |
//! | `body_memory` | whether the memory of this instance has room for a body |
//! | `slow_reader` | whether the server broke off an answer or the caller stopped reading |
//! | `shutdown` | which requests are accepted while stopping |
//! | `server_list` | which records are trusted after a store outage |
//! | `server_life` | whether a server may get new work, given everything known about it |
//! | `server_backoff` | how long a server that requested a back-off gets no requests, and how traffic resumes |
//! | `slow_start` | which instances send to a cold server, and how much |
//! | `evacuations` | which failure domains get no new work |
//! | `store_reader`, with `duty_rank` | which instance of a failure domain reads the store |
//! | `gossip_timing` | intervals and timeouts by fleet size |
//!
//! docs/DECISIONS.md has one row for each rule, with the log fields that show its effect.

mod admission;
mod allowed_regions;
mod answered_segments;
mod attempt;
mod body_memory;
mod candidate_ranking;
mod decaying_sum;
mod demand;
mod departures;
mod dispatcher;
mod domain_reach;
mod duty_rank;
mod end_history;
mod engine_speed;
mod evacuations;
mod event_gaps;
mod failure_rate;
mod fair_share;
mod first_event_model;
mod gossip_timing;
mod latency_estimate;
mod list_delta;
mod list_history;
mod load_pressure;
mod load_report;
mod max_min;
mod overload;
mod pacing;
mod peer_list_state;
mod peer_reports;
mod placement;
mod prefix_cache_index;
mod priority_pressure;
mod quarantine;
mod recent_ends;
mod retry;
mod retry_benefit;
mod retry_budget;
mod retry_decision;
mod retry_ledger;
mod retry_loans;
mod retry_permit;
mod saved_suspects;
mod segment_evidence;
mod segment_probes;
mod server_backoff;
mod server_ends;
mod server_entries;
mod server_groups;
mod server_health;
mod server_life;
mod server_list;
mod server_notice;
mod server_record;
mod server_table;
mod settings;
mod shutdown;
mod slow_reader;
mod slow_start;
mod software_version;
mod store_reader;
mod stream_pause;
mod stream_row;
mod stream_version_table;
mod suspect;
mod suspect_key;
mod suspect_table;
mod version_history;

pub use admission::time_left_ms;
pub use allowed_regions::AllowedRegions;
pub use attempt::Attempt;
pub use attempt::AttemptOutcome;
pub use body_memory::BodyKind;
pub use body_memory::BodyMemory;
pub use body_memory::BodyReservation;
pub use body_memory::HeldBytes;
pub use body_memory::NoBodyRoom;
pub use body_memory::UNCOUNTED_BYTES_MAX;
pub use body_memory::body_memory_default_mb;
pub use demand::Decision;
pub use demand::Demand;
pub use demand::Placement;
pub use demand::Priority;
pub use demand::Prompt;
pub use demand::PromptSegment;
pub use demand::request_cost;
pub use dispatcher::Dispatcher;
pub use duty_rank::DutyRank;
pub use engine_speed::SpeedSums;
pub use evacuations::EvacuationRow;
pub use evacuations::EvacuationUpdate;
pub use evacuations::Evacuations;
pub use event_gaps::EventGaps;
pub use fair_share::WorkspaceShare;
pub use first_event_model::EngineWork;
pub use first_event_model::FirstEventModel;
pub use gossip_timing::GossipTiming;
pub use list_delta::ListDelta;
pub use list_delta::ServerReturn;
pub use load_report::LoadReport;
pub use load_report::PrefixRow;
pub use load_report::ServerLoadRow;
pub use load_report::SuspectEndRow;
pub use load_report::SuspectRow;
pub use load_report::WorkspaceUseRow;
pub use max_min::max_min_level;
pub use overload::CLOSE_ONE_IN;
pub use overload::OverloadMonitor;
pub use overload::OverloadSample;
pub use overload::connections_max;
pub use overload::open_requests_max;
pub use peer_list_state::ListComparison;
pub use peer_list_state::PeerListState;
pub use quarantine::QuarantineChange;
pub use quarantine::QuarantineEvent;
pub use quarantine::SERVERS_TO_QUARANTINE;
pub use retry::ATTEMPTS_MAX;
pub use retry::AttemptFailure;
pub use retry::RESUMES_MAX;
pub use retry::RetryPolicy;
pub use retry::RetryVerdict;
pub use retry_benefit::RetryPurpose;
pub use retry_decision::RetryDecision;
pub use retry_decision::RetryReason;
pub use retry_loans::LENDERS_ASKED;
pub use retry_loans::LoanRequest;
pub use retry_loans::RetryLoan;
pub use retry_permit::RetryPermit;
pub use saved_suspects::StoredState;
pub use saved_suspects::SuspectRecord;
pub use saved_suspects::WriterPosition;
pub use segment_evidence::ENDS_TO_QUARANTINE;
pub use server_ends::BrokenRequest;
pub use server_ends::ServerEnd;
pub use server_life::LifeEvent;
pub use server_life::LifeState;
pub use server_life::ServerLife;
pub use server_list::ServerList;
pub use server_notice::ServerNotice;
pub use server_record::AheadOfList;
pub use server_record::PositionedChange;
pub use server_record::ServerChange;
pub use server_record::ServerListing;
pub use server_record::ServerRecord;
pub use server_record::ServerUpdate;
pub use server_record::UseChanges;
pub use server_table::ServerSetup;
pub use settings::DispatchSettings;
pub use shutdown::Shutdown;
pub use slow_reader::BreakCause;
pub use slow_reader::SlowReaderWatch;
pub use slow_start::SlowStartLimit;
pub use software_version::SoftwareVersion;
pub use software_version::VersionDemand;
pub use store_reader::ReaderCandidate;
pub use store_reader::Staleness;
pub use store_reader::StoreTopic;
pub use store_reader::is_reader;
pub use store_reader::is_turn;
pub use store_reader::staleness;
pub use stream_row::STREAM_HOLDERS;
pub use stream_row::StreamHolder;
pub use stream_row::StreamId;
pub use stream_row::StreamKnowledge;
pub use stream_row::StreamRow;
pub use stream_version_table::StreamVersionTable;
pub use stream_version_table::UnsentRow;
pub use suspect_key::SegmentId;
pub use suspect_key::SegmentKey;
pub use suspect_key::SuspectKey;
pub use version_history::STREAM_LIFE_MAX_MS;
