//! The state of all decisions of one daemon.

use std::collections::HashMap;

use reedsail_core::ErrorKind;
use reedsail_core::NameHash;
use reedsail_core::ServerKey;
use reedsail_core::TimeMs;

use crate::Attempt;
use crate::AttemptOutcome;
use crate::Decision;
use crate::Demand;
use crate::DispatchSettings;
use crate::GossipTiming;
use crate::LoadReport;
use crate::Placement;
use crate::Prompt;
use crate::PromptSegment;
use crate::RetryWindow;
use crate::ServerSetup;
use crate::estimate;
use crate::estimate::PrefillRate;
use crate::peer_table::PeerTable;
use crate::prefix_memory::PrefixMemory;
use crate::ranking::rendezvous_weight;
use crate::server_table::ServerTable;
use crate::usage::UsageTable;

/// How many servers a prompt part may be spread over.
const PART_SERVERS_MAX: usize = 2;
/// What it takes, in milliseconds, to send a prompt elsewhere than to its first server.
const SPREAD_MS: f64 = 250.0;
/// The same where the other server keeps the prompt's shared part already.
const SPREAD_KEPT_MS: f64 = 100.0;
/// What copying a prompt's shared parts takes, in milliseconds.
const COPY_MS: f64 = 40.0;
/// The part of the goal within which an answer is expected to begin, or the request is refused.
const TARGET_FRACTION: f64 = 0.8;
/// The part of the goal for which a server may be busy with other requests, if the workspace has had
/// its share while others want more.
const OVER_SHARE_TARGET_FRACTION: f64 = 0.1;
/// Of the engines' joint rate, an engine that only reads does so much more.
const READ_ONLY_GAIN: f64 = 1.4;
/// A failure rate of one delays a server by so many goals.
const FAILURE_GOALS: f64 = 6.0;
/// The shortest time after which a refused request is told to come back.
const RETRY_AFTER_MIN_MS: u64 = 100;
/// The longest, as a part of the goal.
const RETRY_AFTER_TARGET_FRACTION: f64 = 0.6;
/// An answer that has not begun after so many times the expected time speaks against the server.
const OVERDUE_FACTOR: u64 = 3;
/// The least time after which an answer is overdue.
const OVERDUE_MIN_MS: u64 = 700;
/// The part that the newest answer has in a server's moving averages.
const NEWEST_PART: f64 = 0.1;
/// A rejection counts so much as a failure.
const REJECTION_WEIGHT: f64 = 0.3;
/// Being out of reach counts so much as a failure.
const UNREACHABLE_WEIGHT: f64 = 2.0;
/// The fewest daemons among which the slack of repeats is shared out.
const DAEMONS_MIN: usize = 8;

/// Decides where requests go; one for each daemon.
#[derive(Debug)]
pub struct Dispatcher {
    settings: DispatchSettings,
    own_domain: NameHash,
    servers: ServerTable,
    peers: PeerTable,
    usage: UsageTable,
    prefixes: PrefixMemory,
    repeats: HashMap<NameHash, RetryWindow>,
    /// Runs whose answer has not begun, with the moment from which they are overdue.
    unanswered: HashMap<u64, (ServerKey, TimeMs)>,
    runs_started: u64,
    engine_tokens_per_s: Option<f64>,
    engines_most: usize,
}

impl Dispatcher {
    /// Makes a dispatcher that knows no servers.
    pub fn new(settings: DispatchSettings, own_domain: NameHash) -> Self {
        Self {
            settings,
            own_domain,
            servers: ServerTable::default(),
            peers: PeerTable::default(),
            usage: UsageTable::new(settings.share_window_ms),
            prefixes: PrefixMemory::default(),
            repeats: HashMap::new(),
            unanswered: HashMap::new(),
            runs_started: 0,
            engine_tokens_per_s: None,
            engines_most: 1,
        }
    }

    /// Takes over the list of backend servers.
    pub fn set_servers(&mut self, setups: &[ServerSetup]) {
        self.servers.configure(setups);
        self.peers.recount(&mut self.servers);
    }

    /// Takes over what the engines together are said to produce, in tokens a second.
    pub fn set_engine_rate(&mut self, tokens_per_s: Option<f64>) {
        self.engine_tokens_per_s = tokens_per_s;
    }

    /// Returns the key of a server that was configured.
    pub fn server_key(&self, name: NameHash) -> Option<ServerKey> {
        self.servers.key(name)
    }

    /// Counts a request as it arrives; each is counted once.
    pub fn record_arrival(&mut self, demand: &Demand<'_>, now: TimeMs) {
        self.usage.ask(demand.workspace, cost_of(demand), now);
        self.retry_window(demand.service).count_request(now);
    }

    /// Asks for leave to send a request of the service once more.
    pub fn take_retry(&mut self, service: NameHash, now: TimeMs) -> bool {
        let daemons = (self.peers.count() + 1).max(DAEMONS_MIN);
        let slack = self.settings.retry_slack / daemons as f64;
        let ratio = self.settings.retry_ratio;
        self.retry_window(service).take(ratio, slack, now)
    }

    /// Decides where a request goes, or that it is refused.
    pub fn decide(&mut self, demand: &Demand<'_>, now: TimeMs) -> Decision {
        let Some(placement) = self.choose(demand, now) else {
            return Decision::Refuse {
                kind: ErrorKind::NoBackend,
                retry_after_ms: retry_after_ms(demand.latency_target_ms, f64::INFINITY),
                expected_ms: None,
            };
        };
        let latency_target_ms = demand.latency_target_ms as f64;
        let excess_ms =
            (demand.waited_ms + placement.expected_ms) as f64 - latency_target_ms * TARGET_FRACTION;
        let queue_excess_ms = placement.queue_ms as f64 - latency_target_ms * OVER_SHARE_TARGET_FRACTION;
        let is_behind_others = queue_excess_ms > 0.0 && self.usage.is_over_share(demand.workspace, now);
        if excess_ms <= 0.0 && !is_behind_others {
            return Decision::Send(placement);
        }
        Decision::Refuse {
            kind: if is_behind_others {
                ErrorKind::OverShare
            } else {
                ErrorKind::WouldMissGoal
            },
            retry_after_ms: retry_after_ms(demand.latency_target_ms, excess_ms.max(queue_excess_ms)),
            expected_ms: Some(placement.expected_ms),
        }
    }

    /// Records that a request is being sent where it was decided.
    pub fn begin(&mut self, demand: &Demand<'_>, placement: &Placement, now: TimeMs) -> Attempt {
        self.runs_started += 1;
        let number = self.runs_started;
        self.usage.begin(demand.workspace, cost_of(demand), now);
        let load = &mut self.servers.get_mut(placement.server).own;
        load.running += 1;
        load.prefill_tokens += u64::from(placement.prefill_tokens);
        let name = self.servers.get(placement.server).setup.name;
        for part in demand.prompt.map_or(&[][..], Prompt::shared_segments) {
            self.prefixes.record(part.id, placement.server, name, now);
        }
        let overdue_ms = (OVERDUE_FACTOR * placement.expected_ms).max(OVERDUE_MIN_MS);
        self.unanswered
            .insert(number, (placement.server, now.plus_ms(overdue_ms)));
        Attempt {
            number,
            server: placement.server,
            prefill_tokens: placement.prefill_tokens,
            expected_ms: placement.expected_ms.max(1),
            began_at: now,
            has_answered: false,
            has_prompt: demand.prompt.is_some(),
        }
    }

    /// Records that the first part of an answer has come.
    pub fn note_answer(&mut self, run: &mut Attempt, now: TimeMs) {
        if run.has_answered {
            return;
        }
        run.has_answered = true;
        self.unanswered.remove(&run.number);
        let took_ms = now.since_ms(run.began_at) as f64;
        let server = self.servers.get_mut(run.server);
        let unread = u64::from(run.prefill_tokens);
        server.own.prefill_tokens = server.own.prefill_tokens.saturating_sub(unread);
        if run.has_prompt {
            let ratio = (took_ms / run.expected_ms as f64 * server.slowness).clamp(0.7, 4.0);
            server.slowness += NEWEST_PART * (ratio - server.slowness);
        } else if server.mean_ms > 0.0 {
            server.mean_ms += NEWEST_PART * (took_ms - server.mean_ms);
        } else {
            server.mean_ms = took_ms.max(1.0);
        }
    }

    /// Ends a run, and judges the server by it.
    pub fn finish(&mut self, mut run: Attempt, outcome: AttemptOutcome, now: TimeMs) {
        if !run.has_answered {
            self.unanswered.remove(&run.number);
            let unread = u64::from(run.prefill_tokens);
            let load = &mut self.servers.get_mut(run.server).own;
            load.prefill_tokens = load.prefill_tokens.saturating_sub(unread);
            run.has_answered = true;
        }
        let server = self.servers.get_mut(run.server);
        server.own.running = server.own.running.saturating_sub(1);
        match outcome {
            AttemptOutcome::Answered => server.failures.record(0.0, now),
            AttemptOutcome::Failed => server.failures.record(1.0, now),
            AttemptOutcome::Rejected => server.failures.record(REJECTION_WEIGHT, now),
            AttemptOutcome::Unreachable => {
                server.failures.record(UNREACHABLE_WEIGHT, now);
                server.mark_unreachable(now);
            }
            AttemptOutcome::Abandoned => {}
        }
    }

    /// Judges servers whose answers are overdue, and lets peers' old reports go.
    pub fn tick(&mut self, now: TimeMs) {
        let servers = &mut self.servers;
        self.unanswered.retain(|_, (server, overdue_at)| {
            let is_overdue = *overdue_at <= now;
            if is_overdue {
                servers.get_mut(*server).failures.record(1.0, now);
            }
            !is_overdue
        });
        self.peers.drop_lapsed(&mut self.servers, &mut self.usage, now);
    }

    /// Takes in a peer's report.
    pub fn receive_report(&mut self, peer: NameHash, report: LoadReport, now: TimeMs) {
        let peer_silent_ms = GossipTiming::of(self.peers.count()).peer_silent_ms;
        let valid_until = now.plus_ms(self.settings.report_valid_ms.max(peer_silent_ms));
        for row in &report.parts {
            if let Some(server) = self.servers.key(row.server) {
                self.prefixes.hear(row.part, server, now);
            }
        }
        self.peers
            .hear(peer, report, valid_until, &mut self.servers, &mut self.usage, now);
    }

    /// Drops what a peer reported, once it has said that it leaves.
    pub fn drop_peer(&mut self, peer: NameHash) {
        self.peers.forget(peer, &mut self.servers, &mut self.usage);
    }

    /// Returns what the peers are to be told.
    pub fn report(&mut self, now: TimeMs) -> LoadReport {
        LoadReport {
            servers: self.servers.report(now),
            workspaces: self.usage.report(now),
            parts: self.prefixes.report(),
        }
    }

    /// Returns requests running on a server, from this daemon and from all.
    pub fn running(&self, server: ServerKey) -> (u32, u32) {
        let state = self.servers.get(server);
        (state.own.running, state.running())
    }

    fn retry_window(&mut self, service: NameHash) -> &mut RetryWindow {
        let window_ms = self.settings.retry_window_ms;
        self.repeats
            .entry(service)
            .or_insert_with(|| RetryWindow::new(window_ms))
    }

    fn choose(&mut self, demand: &Demand<'_>, now: TimeMs) -> Option<Placement> {
        let usable = self.usable_servers(demand, now);
        match demand.prompt.filter(|prompt| !prompt.parts.is_empty()) {
            Some(_) => self.choose_engine(demand, &usable, now),
            None => self.choose_plain(demand, &usable, now),
        }
    }

    /// Returns the servers that may be tried; those out of reach only if there is no other.
    fn usable_servers(&self, demand: &Demand<'_>, now: TimeMs) -> Vec<ServerKey> {
        let open: Vec<ServerKey> = self
            .servers
            .of_service(demand.service)
            .iter()
            .copied()
            .filter(|key| self.servers.get(*key).takes_work() && !demand.tried.contains(key))
            .collect();
        let within_reach: Vec<ServerKey> = open
            .iter()
            .copied()
            .filter(|key| self.servers.get(*key).is_reachable(now))
            .collect();
        if within_reach.is_empty() {
            open
        } else {
            within_reach
        }
    }

    fn choose_plain(&self, demand: &Demand<'_>, usable: &[ServerKey], now: TimeMs) -> Option<Placement> {
        let score = |key: &ServerKey| {
            let server = self.servers.get(*key);
            let is_far = server.setup.failure_domain != self.own_domain;
            let overload = f64::from(server.running()) / f64::from(server.setup.slots.max(1));
            let wait_ms = estimate::plain_ms(server) * (1.0 + overload);
            wait_ms + f64::from(u8::from(is_far)) + self.failure_ms(*key, demand.latency_target_ms, now)
        };
        let server = min_by_score(usable, score)?;
        Some(Placement {
            server,
            cache_source: None,
            prefill_tokens: 0,
            expected_ms: estimate::plain_ms(self.servers.get(server)) as u64,
            queue_ms: estimate::plain_queue_ms(self.servers.get(server)) as u64,
        })
    }

    fn choose_engine(&mut self, demand: &Demand<'_>, usable: &[ServerKey], now: TimeMs) -> Option<Placement> {
        let prompt = demand.prompt?;
        let part = prompt.last_shared()?;
        let rate = self.prefill_rate(demand.service);
        let mut ranked: Vec<ServerKey> = usable.to_vec();
        self.rank(&mut ranked, part.id);
        ranked.truncate(PART_SERVERS_MAX);
        let candidates: Vec<(Placement, f64)> = ranked
            .iter()
            .map(|key| {
                let placement = self.place_prompt(prompt, part, *key, rate, now);
                let spread_ms = match (*key == ranked[0], self.prefixes.has(part.id, *key, now)) {
                    (true, _) => 0.0,
                    (false, true) => SPREAD_KEPT_MS,
                    (false, false) => SPREAD_MS,
                };
                let failure_ms = self.failure_ms(*key, demand.latency_target_ms, now);
                (placement, placement.expected_ms as f64 + spread_ms + failure_ms)
            })
            .collect();
        candidates
            .into_iter()
            .min_by(|(_, left), (_, right)| left.total_cmp(right))
            .map(|(placement, _)| placement)
    }

    /// Works out what sending a prompt to a server would take.
    fn place_prompt(
        &self,
        prompt: &Prompt,
        last_shared: PromptSegment,
        key: ServerKey,
        rate: PrefillRate,
        now: TimeMs,
    ) -> Placement {
        let server = self.servers.get(key);
        let cache_source = self.cache_source(last_shared.id, key, now);
        let (prefill_tokens, copy_ms) = match cache_source {
            Some(_) => (prompt.own_tokens(), COPY_MS),
            None => (self.prefill_tokens(prompt, key, now), 0.0),
        };
        Placement {
            server: key,
            cache_source,
            prefill_tokens,
            expected_ms: (estimate::engine_ms(server, prompt.own_tokens(), rate) + copy_ms) as u64,
            queue_ms: estimate::engine_queue_ms(server, rate) as u64,
        }
    }

    /// Returns how much of a prompt a server has to read: its own part, and the shared ones from the
    /// first that the server is not known to keep.
    fn prefill_tokens(&self, prompt: &Prompt, server: ServerKey, now: TimeMs) -> u32 {
        let kept: u32 = prompt
            .shared_segments()
            .iter()
            .take_while(|part| self.prefixes.has(part.id, server, now))
            .map(|part| part.tokens)
            .sum();
        prompt.tokens().saturating_sub(kept).max(1)
    }

    /// Returns a server that is likely to keep what the chosen one is likely to lack.
    fn cache_source(&self, part: u64, chosen: ServerKey, now: TimeMs) -> Option<ServerKey> {
        if self.prefixes.has(part, chosen, now) {
            return None;
        }
        self.prefixes.holders(part, now).find(|key| {
            let server = self.servers.get(*key);
            *key != chosen && server.is_listed && server.is_reachable(now)
        })
    }

    fn rank(&self, servers: &mut [ServerKey], part: u64) {
        servers.sort_by_cached_key(|key| {
            std::cmp::Reverse(rendezvous_weight(part, self.servers.get(*key).setup.name))
        });
    }

    fn failure_ms(&self, server: ServerKey, latency_target_ms: u64, now: TimeMs) -> f64 {
        let rate = self.servers.get(server).failure_rate(now);
        FAILURE_GOALS * latency_target_ms as f64 * rate * rate
    }

    fn prefill_rate(&mut self, service: NameHash) -> PrefillRate {
        let engines = self.servers.of_service(service).len();
        self.engines_most = self.engines_most.max(engines);
        match self.engine_tokens_per_s {
            Some(per_s) if per_s > 0.0 => {
                let told = READ_ONLY_GAIN * per_s / 1_000.0 / self.engines_most as f64;
                PrefillRate(told.max(PrefillRate::LEAST.0))
            }
            _ => PrefillRate::DEFAULT,
        }
    }
}

fn cost_of(demand: &Demand<'_>) -> f64 {
    demand.prompt.map_or(1.0, Prompt::cost)
}

fn min_by_score(servers: &[ServerKey], score: impl Fn(&ServerKey) -> f64) -> Option<ServerKey> {
    servers
        .iter()
        .map(|key| (score(key), *key))
        .min_by(|(left, _), (right, _)| left.total_cmp(right))
        .map(|(_, key)| key)
}

fn retry_after_ms(latency_target_ms: u64, excess_ms: f64) -> u64 {
    let most_ms = (latency_target_ms as f64 * RETRY_AFTER_TARGET_FRACTION) as u64;
    (excess_ms as u64).clamp(RETRY_AFTER_MIN_MS, most_ms.max(RETRY_AFTER_MIN_MS))
}
