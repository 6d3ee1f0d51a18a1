//! Long prompts before running streams, on engines that prefill between the decode steps.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
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
use reedsail_dispatch::ServerLoadRow;
use reedsail_dispatch::ServerSetup;
use reedsail_dispatch::SoftwareVersion;
use reedsail_dispatch::VersionDemand;
use reedsail_dispatch::WorkspaceUseRow;

const GAP_TARGET_MS: u64 = 400;
/// A gap target that engines of mean speed keep.
const EVEN_GAP_TARGET_MS: u64 = 1_000;
const ENGINES: u32 = 12;
const UNEVEN: [f64; 3] = [1.4, 1.4, 0.6];
const CHUNK_TOKENS: f64 = 2_048.0;
const TOKENS_PER_MS: f64 = 66.0;
const STEP_MS: f64 = 5.0;
const STEPS_PER_EVENT: u32 = 7;
const EVENTS: u32 = 25;
const REPLAY_MS: f64 = 40_000.0;
/// A slow spell: its likelihood, how much longer work takes, and its length in milliseconds.
const SPELL: (f64, f64, f64) = (0.15, 2.5, 600.0);

struct Stream {
    attempt: Attempt,
    unread_tokens: f64,
    steps: u32,
    last_event_ms: f64,
    longest_gap_ms: f64,
    is_long: bool,
}

/// An engine that prefills one chunk in each step of its streams.
struct Engine {
    time_ratio: f64,
    now_ms: f64,
    spell_until_ms: f64,
    spell_ratio: f64,
    streams: Vec<Stream>,
}

#[derive(Debug, Default, PartialEq)]
struct Served {
    streams: u32,
    late: u32,
    long: u32,
    long_asked: u32,
    asked: u32,
}

impl Engine {
    fn step(&mut self, dispatcher: &mut Dispatcher, random: &mut StdRng, served: &mut Served) {
        if self.now_ms >= self.spell_until_ms {
            self.spell_until_ms = self.now_ms + SPELL.2;
            self.spell_ratio = if random.random_bool(SPELL.0) { SPELL.1 } else { 1.0 };
        }
        let mut chunk = CHUNK_TOKENS;
        for stream in &mut self.streams {
            let prefilled = stream.unread_tokens.min(chunk);
            stream.unread_tokens -= prefilled;
            chunk -= prefilled;
        }
        let work_ms = STEP_MS + (CHUNK_TOKENS - chunk) / TOKENS_PER_MS;
        self.now_ms += work_ms * self.time_ratio * self.spell_ratio;
        let now_ms = self.now_ms;
        for stream in self
            .streams
            .iter_mut()
            .filter(|stream| stream.unread_tokens <= 0.0)
        {
            if stream.steps % STEPS_PER_EVENT == 0 {
                dispatcher.record_event(&mut stream.attempt, TimeMs(now_ms as u64));
                dispatcher.record_writable(&mut stream.attempt, TimeMs(now_ms as u64));
                if stream.steps > 0 {
                    stream.longest_gap_ms = stream.longest_gap_ms.max(now_ms - stream.last_event_ms);
                }
                stream.last_event_ms = now_ms;
            }
            stream.steps += 1;
        }
        let is_over = |stream: &mut Stream| stream.steps > EVENTS * STEPS_PER_EVENT;
        for stream in self.streams.extract_if(.., is_over) {
            served.streams += 1;
            served.late += u32::from(stream.longest_gap_ms > GAP_TARGET_MS as f64);
            served.long += u32::from(stream.is_long);
            dispatcher.finish_attempt(stream.attempt, AttemptOutcome::Answered, TimeMs(now_ms as u64));
        }
    }
}

fn setup(number: u32) -> ServerSetup {
    ServerSetup {
        name: NameHash::of(&format!("engine-{number}")),
        service: NameHash::of("llm"),
        failure_domain: NameHash::of("hall-0"),
        region: None,
        slots: 32,
        is_draining: false,
        cold_until: None,
        version: SoftwareVersion::of("v1"),
    }
}

fn dispatcher() -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatchSettings::default(), NameHash::of("hall-0"));
    dispatcher.set_servers(&(0..ENGINES).map(setup).collect::<Vec<_>>());
    dispatcher
}

fn prompt(segment: u64, own_tokens: u32) -> Prompt {
    let part = |id, tokens| PromptSegment { id, tokens };
    Prompt {
        segments: vec![part(segment % 400, 200), part(!segment, own_tokens)],
        output_tokens: 175,
    }
}

fn demand(prompt: &Prompt, gap_target_ms: Option<u64>) -> Demand<'_> {
    Demand {
        service: NameHash::of("llm"),
        workspace: NameHash::of("labska"),
        prompt: Some(prompt),
        latency_target_ms: 800,
        gap_target_ms,
        priority: Priority::default(),
        waited_ms: 0,
        tried: &[],
        regions: &AllowedRegions::Any,
        fingerprint: None,
        version: VersionDemand::Any,
    }
}

impl Served {
    fn late_fraction(&self) -> f64 {
        f64::from(self.late) / f64::from(self.streams)
    }
}

/// Replays prompts, one in ten of them long, every `interval_ms`.
fn replay(ratios: [f64; 3], interval_ms: f64, gap_target_ms: Option<u64>) -> (Served, Dispatcher) {
    let mut dispatcher = dispatcher();
    let mut random = StdRng::seed_from_u64(1);
    let engine = |number: u32| Engine {
        time_ratio: ratios[number as usize % 3],
        now_ms: 0.0,
        spell_until_ms: 0.0,
        spell_ratio: 1.0,
        streams: Vec::new(),
    };
    let mut engines: Vec<Engine> = (0..ENGINES).map(engine).collect();
    let keys: Vec<_> = (0..ENGINES)
        .map(|number| dispatcher.server_key(setup(number).name).unwrap())
        .collect();
    let mut served = Served::default();
    let mut now_ms = 0.0;
    while now_ms < REPLAY_MS {
        now_ms += interval_ms;
        for engine in &mut engines {
            while engine.now_ms < now_ms {
                engine.step(&mut dispatcher, &mut random, &mut served);
            }
        }
        let is_long = random.random_bool(0.1);
        let own_tokens = if is_long {
            16_000
        } else {
            random.random_range(200..3_000)
        };
        let prompt = prompt(random.random(), own_tokens);
        let demand = demand(&prompt, gap_target_ms);
        served.asked += 1;
        served.long_asked += u32::from(is_long);
        let now = TimeMs(now_ms as u64);
        report_scarcity(&mut dispatcher, now);
        dispatcher.record_arrival(&demand, now);
        if let Decision::Send(placement) = dispatcher.decide(&demand, now) {
            let index = keys.iter().position(|key| *key == placement.server).unwrap();
            engines[index].streams.push(Stream {
                attempt: dispatcher.begin_attempt(&demand, &placement, now),
                unread_tokens: f64::from(placement.prefill_tokens),
                steps: 0,
                last_event_ms: now_ms,
                longest_gap_ms: 0.0,
                is_long,
            });
        }
    }
    dispatcher.drop_peer(NameHash::of("scarce peer"));
    (served, dispatcher)
}

/// Reports that another workspace gets less than it requests, so that what the replayed one requests is beyond its share.
fn report_scarcity(dispatcher: &mut Dispatcher, now: TimeMs) {
    let row = WorkspaceUseRow {
        workspace: NameHash::of("elsewhere"),
        requested_cost: 40_000_000.0,
        sent_cost: 100_000.0,
        ..WorkspaceUseRow::default()
    };
    let report = LoadReport {
        workspaces: vec![row],
        ..LoadReport::default()
    };
    dispatcher.receive_report(NameHash::of("scarce peer"), report, now);
}

/// Load: steady prompts beyond the share of their workspace, a tenth of them of 16,000 tokens, on engines of which two in three are slow.
#[test]
fn fewer_streams_pause_too_long_on_uneven_engines_and_long_prompts_are_served() {
    for interval_ms in [7.0, 9.0, 11.0] {
        let (without, _) = replay(UNEVEN, interval_ms, None);
        let (with, _) = replay(UNEVEN, interval_ms, Some(GAP_TARGET_MS));
        assert!(
            with.late_fraction() < without.late_fraction() / 2.0,
            "{with:?} {without:?}"
        );
        assert!(
            f64::from(with.streams) > 0.9 * f64::from(without.streams),
            "{with:?} {without:?}"
        );
        let rate = f64::from(with.streams) / f64::from(with.asked);
        let long_rate = f64::from(with.long) / f64::from(with.long_asked);
        assert!(long_rate >= rate / 2.0, "{long_rate} of {rate}");
    }
}

#[test]
fn even_engines_that_keep_the_target_are_served_as_without_one() {
    let (with, _) = replay([1.0; 3], 7.0, Some(EVEN_GAP_TARGET_MS));
    let (without, _) = replay([1.0; 3], 7.0, None);
    assert_eq!(with, without);
}

/// Returns whether each of a hundred new prompts is sent.
fn all_are_sent(dispatcher: &mut Dispatcher, now: TimeMs) -> bool {
    (0..100).all(|segment| {
        let prompt = prompt(segment, 500);
        let decision = dispatcher.decide(&demand(&prompt, Some(GAP_TARGET_MS)), now);
        matches!(decision, Decision::Send(_))
    })
}

/// Failure: a peer reports that all streams have paused for long, and is heard no more.
#[test]
fn a_pause_that_a_lost_peer_reported_ends() {
    let (_, mut dispatcher) = replay(UNEVEN, 11.0, Some(GAP_TARGET_MS));
    let now = TimeMs(REPLAY_MS as u64 + 5_000);
    report_scarcity(&mut dispatcher, now);
    // Not starved, and not over its share either.
    let row = WorkspaceUseRow {
        workspace: NameHash::of("labska"),
        requested_cost: 1_000_000.0,
        sent_cost: 50_000.0,
        ..WorkspaceUseRow::default()
    };
    let report = LoadReport {
        workspaces: vec![row],
        ..LoadReport::default()
    };
    dispatcher.receive_report(NameHash::of("flooded peer"), report, now);
    assert!(all_are_sent(&mut dispatcher, now));
    let now = now.plus_ms(100);
    let row = |number| ServerLoadRow {
        server: setup(number).name,
        running: 8,
        pause_ms: 900,
        ..ServerLoadRow::default()
    };
    let report = LoadReport {
        servers: (0..ENGINES).map(row).collect(),
        ..LoadReport::default()
    };
    dispatcher.receive_report(NameHash::of("peer"), report, now);
    assert!(!all_are_sent(&mut dispatcher, now));
    let prompt = prompt(1, 500);
    let within_share = Demand {
        workspace: NameHash::of("small"),
        ..demand(&prompt, Some(GAP_TARGET_MS))
    };
    let decision = dispatcher.decide(&within_share, now);
    assert!(
        matches!(decision, Decision::Send(_)),
        "within its share: {decision:?}"
    );
    let broken = [dispatcher.server_key(setup(0).name).unwrap()];
    let resumed = Demand {
        tried: &broken,
        ..demand(&prompt, Some(GAP_TARGET_MS)).resumed(10_000)
    };
    let decision = dispatcher.decide(&resumed, now);
    assert!(
        matches!(decision, Decision::Send(_)),
        "a stream is resumed: {decision:?}"
    );
    assert!(all_are_sent(&mut dispatcher, now.plus_ms(200)));
}

/// Failure: an engine ends while its streams run and prompts wait for prefill.
#[test]
fn an_engine_that_ends_with_a_backlog_leaves_no_pause_behind() {
    let (_, mut dispatcher) = replay(UNEVEN, 11.0, Some(GAP_TARGET_MS));
    let now = TimeMs(REPLAY_MS as u64 + 5_000);
    let prompt = prompt(1, 500);
    let demand = demand(&prompt, Some(GAP_TARGET_MS));
    let Decision::Send(placement) = dispatcher.decide(&demand, now) else {
        panic!("an idle engine refuses");
    };
    let name = (0..ENGINES)
        .map(|number| setup(number).name)
        .find(|name| dispatcher.server_key(*name) == Some(placement.server));
    let mut stream = dispatcher.begin_attempt(&demand, &placement, now);
    dispatcher.record_event(&mut stream, now);
    let waiting = dispatcher.begin_attempt(&demand, &placement, now);
    let later = now.plus_ms(300);
    let pause_ms = |dispatcher: &mut Dispatcher| {
        let report = dispatcher.report(later);
        let row = report.servers.into_iter().find(|row| Some(row.server) == name);
        row.map_or(0, |row| row.pause_ms)
    };
    assert_eq!(
        pause_ms(&mut dispatcher),
        0,
        "the caller has no room for an event"
    );
    dispatcher.record_writable(&mut stream, now);
    assert_eq!(pause_ms(&mut dispatcher), 300);
    for attempt in [stream, waiting] {
        dispatcher.finish_attempt(attempt, AttemptOutcome::Broken, later);
    }
    assert_eq!(pause_ms(&mut dispatcher), 0);
    assert!(all_are_sent(&mut dispatcher, later));
}
