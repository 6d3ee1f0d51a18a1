//! An instance whose servers end under requests with segments.

#![allow(dead_code, reason = "each test file uses a part")]

use reedsail_core::Fingerprint;
use reedsail_core::NameHash;
use reedsail_core::TimeMs;
use reedsail_dispatch::AllowedRegions;
use reedsail_dispatch::Attempt;
use reedsail_dispatch::AttemptOutcome;
use reedsail_dispatch::Decision;
use reedsail_dispatch::Demand;
use reedsail_dispatch::DispatchSettings;
use reedsail_dispatch::Dispatcher;
use reedsail_dispatch::LoadReport;
use reedsail_dispatch::Priority;
use reedsail_dispatch::Prompt;
use reedsail_dispatch::PromptSegment;
use reedsail_dispatch::ServerSetup;
use reedsail_dispatch::SoftwareVersion;
use reedsail_dispatch::SuspectKey;
use reedsail_dispatch::SuspectRow;
use reedsail_dispatch::VersionDemand;

/// A minute after the start of the process.
pub(crate) const START: TimeMs = TimeMs(TimeMs::PROCESS_START.0 + 60_000);
pub(crate) const ROOT: u64 = 1;
pub(crate) const POISON: u64 = 2;
pub(crate) const NEIGHBOUR: u64 = 3;
/// Time from sending a request to the beginning of its answer, in milliseconds.
pub(crate) const BEGIN_MS: u64 = 50;
/// Time from an end to the next request, in milliseconds.
pub(crate) const PAUSE_MS: u64 = 300;
/// Number of events that an answer has when it goes on.
pub(crate) const EVENTS: usize = 20;
/// Time between two of them, in milliseconds.
pub(crate) const EVENT_INTERVAL_MS: u64 = 20;

pub(crate) fn setup(number: u32, is_draining: bool) -> ServerSetup {
    ServerSetup {
        name: NameHash(number),
        service: NameHash::of("service"),
        failure_domain: NameHash::of("domain"),
        region: None,
        slots: 64,
        is_draining,
        cold_until: None,
        version: SoftwareVersion::of("v1"),
    }
}

pub(crate) fn prompt(ids: &[u64]) -> Prompt {
    let segment = |id: &u64| PromptSegment { id: *id, tokens: 40 };
    Prompt {
        segments: ids.iter().map(segment).collect(),
        output_tokens: 20,
    }
}

/// An instance with one server at a time. After each end the next server starts.
pub(crate) struct Instance {
    pub(crate) dispatcher: Dispatcher,
    pub(crate) server: u32,
    pub(crate) now: TimeMs,
    pub(crate) requests: u64,
}

impl Instance {
    pub(crate) fn new(first_server: u32) -> Self {
        let mut dispatcher = Dispatcher::new(DispatchSettings::default(), NameHash::of("domain"));
        dispatcher.set_servers(&[setup(first_server, false)]);
        Self {
            dispatcher,
            server: first_server,
            now: START,
            requests: 0,
        }
    }

    /// Sends a request, no two of which are alike. Returns `None` if it is quarantined.
    pub(crate) fn send(&mut self, workspace: &str, segments: &[u64]) -> Option<Attempt> {
        self.requests += 1;
        let own = 1_000 * u64::from(self.server) + self.requests;
        let prompt = prompt(&[segments, &[own]].concat());
        let demand = Demand {
            service: NameHash::of("service"),
            workspace: NameHash::of(workspace),
            prompt: Some(&prompt),
            latency_target_ms: 5_000,
            gap_target_ms: None,
            priority: Priority::default(),
            waited_ms: 0,
            tried: &[],
            regions: &AllowedRegions::Any,
            fingerprint: Some(Fingerprint(u128::from(own))),
            version: VersionDemand::Any,
        };
        match self.dispatcher.decide(&demand, self.now) {
            Decision::Send(placement) => {
                let mut attempt = self.dispatcher.begin_attempt(&demand, &placement, self.now);
                attempt.set_written(true);
                Some(attempt)
            }
            Decision::Quarantined(SuspectKey::Segment(_)) => None,
            other => panic!("{other:?}"),
        }
    }

    pub(crate) fn sends(&mut self, workspace: &str, segments: &[u64]) -> bool {
        let attempt = self.send(workspace, segments);
        attempt
            .map(|attempt| self.finish(attempt, AttemptOutcome::Abandoned))
            .is_some()
    }

    pub(crate) fn finish(&mut self, attempt: Attempt, outcome: AttemptOutcome) {
        self.dispatcher.finish_attempt(attempt, outcome, self.now);
    }

    /// Sends requests whose answers begin, and ends the server.
    pub(crate) fn end_server_under(&mut self, requests: &[(&str, &[u64])]) {
        let attempts: Vec<Attempt> = requests
            .iter()
            .map(|(workspace, segments)| self.send(workspace, segments).unwrap())
            .collect();
        self.advance(BEGIN_MS);
        for mut attempt in attempts {
            attempt.record_started(self.now);
            self.finish(attempt, AttemptOutcome::Broken);
        }
        self.replace_server(false);
    }

    pub(crate) fn replace_server(&mut self, is_draining: bool) {
        if is_draining {
            self.dispatcher.set_servers(&[setup(self.server, true)]);
        }
        self.server += 1;
        self.dispatcher.set_servers(&[setup(self.server, false)]);
        self.advance(PAUSE_MS);
    }

    /// Sends a request whose answer goes on, and is still going on.
    pub(crate) fn answer_partly(&mut self, workspace: &str, segments: &[u64]) -> Attempt {
        let mut attempt = self.send(workspace, segments).unwrap();
        attempt.record_started(self.now);
        for _ in 0..EVENTS {
            self.advance(EVENT_INTERVAL_MS);
            self.dispatcher.record_event(&mut attempt, self.now);
        }
        attempt
    }

    pub(crate) fn advance(&mut self, duration_ms: u64) {
        self.now = self.now.plus_ms(duration_ms);
        self.dispatcher.tick(self.now);
    }

    pub(crate) fn rows(&mut self) -> Vec<SuspectRow> {
        self.dispatcher.report(self.now).suspects
    }

    pub(crate) fn receive_rows(&mut self, suspects: Vec<SuspectRow>) {
        let report = LoadReport {
            suspects,
            ..LoadReport::default()
        };
        self.dispatcher
            .receive_report(NameHash::of("peer"), report, self.now);
    }
}

/// Returns an instance under which three servers ended with the segment.
pub(crate) fn instance_with_quarantined_segment() -> Instance {
    let mut instance = Instance::new(1);
    for _ in 0..3 {
        instance.end_server_under(&[("own", &[ROOT, POISON])]);
    }
    instance
}
