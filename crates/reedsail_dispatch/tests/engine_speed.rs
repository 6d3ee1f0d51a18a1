//! How the speeds of engines are learned, shared and used.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use reedsail_core::NameHash;
use reedsail_core::TimeMs;
use reedsail_dispatch::AllowedRegions;
use reedsail_dispatch::AttemptOutcome;
use reedsail_dispatch::Decision;
use reedsail_dispatch::Demand;
use reedsail_dispatch::DispatchSettings;
use reedsail_dispatch::Dispatcher;
use reedsail_dispatch::Placement;
use reedsail_dispatch::Priority;
use reedsail_dispatch::Prompt;
use reedsail_dispatch::PromptSegment;
use reedsail_dispatch::ServerSetup;

const ENGINES: u32 = 12;
/// Two engines in three are slow and one is fast.
const TIME_RATIOS: [f64; 3] = [1.4, 1.4, 0.6];
/// Fraction of the answers that meet a slow moment of their engine, and how much longer they take.
const SLOW_MOMENTS: (f64, f64) = (0.15, 2.5);

fn engine(number: u32) -> ServerSetup {
    ServerSetup {
        name: NameHash::of(&format!("engine-{number}")),
        service: NameHash::of("llm"),
        failure_domain: NameHash::of("hall-0"),
        region: None,
        slots: 64,
        is_draining: false,
        cold_until: None,
    }
}

fn dispatcher() -> Dispatcher {
    let mut dispatcher = Dispatcher::new(DispatchSettings::default(), NameHash::of("hall-0"));
    let setups: Vec<ServerSetup> = (0..ENGINES).map(engine).collect();
    dispatcher.set_servers(&setups);
    dispatcher
}

fn prompt(segment: u64) -> Prompt {
    let shared = PromptSegment {
        id: segment,
        tokens: 400,
    };
    let own = PromptSegment {
        id: !segment,
        tokens: 2_000,
    };
    Prompt {
        segments: vec![shared, own],
        output_tokens: 50,
    }
}

fn demand(prompt: &Prompt) -> Demand<'_> {
    Demand {
        service: NameHash::of("llm"),
        workspace: NameHash::of("labska"),
        prompt: Some(prompt),
        latency_target_ms: 800,
        gap_target_ms: None,
        priority: Priority::default(),
        waited_ms: 0,
        tried: &[],
        regions: &AllowedRegions::Any,
        fingerprint: None,
    }
}

/// Returns the engine's number.
fn number_of(dispatcher: &Dispatcher, placement: &Placement) -> u32 {
    let keys = (0..ENGINES).map(|number| dispatcher.server_key(engine(number).name));
    let found = keys.into_iter().position(|key| key == Some(placement.server));
    found.unwrap() as u32
}

/// Serves one prompt after the other for some seconds on engines of the given time ratios, and returns when it ends.
fn serve(dispatcher: &mut Dispatcher, ratios: [f64; 3], seconds: u64, seed: u64, from: TimeMs) -> TimeMs {
    let mut random = StdRng::seed_from_u64(seed);
    let mut now = from;
    while now < from.plus_ms(seconds * 1_000) {
        let prompt = prompt(random.random());
        let demand = demand(&prompt);
        let Decision::Send(placement) = dispatcher.decide(&demand, now) else {
            panic!("an idle engine refuses");
        };
        let ratio = ratios[number_of(dispatcher, &placement) as usize % ratios.len()];
        let slow_moment = if random.random_bool(SLOW_MOMENTS.0) {
            SLOW_MOMENTS.1
        } else {
            1.0
        };
        let took_ms = (60.0 + f64::from(placement.prefill_tokens) / 40.0) * ratio * slow_moment;
        let mut attempt = dispatcher.begin_attempt(&demand, &placement, now);
        dispatcher.record_first_event(&mut attempt, now.plus_ms(took_ms as u64));
        dispatcher.finish_attempt(attempt, AttemptOutcome::Answered, now.plus_ms(took_ms as u64));
        now = now.plus_ms(20);
    }
    now
}

/// Returns how many of 600 new segments each kind of engine owns.
fn owned(dispatcher: &mut Dispatcher, now: TimeMs) -> [u32; 3] {
    let mut owned = [0; 3];
    for segment in 0..600 {
        let prompt = prompt(0x1234_5678 + segment * 77);
        if let Decision::Send(placement) = dispatcher.decide(&demand(&prompt), now) {
            owned[number_of(dispatcher, &placement) as usize % 3] += 1;
        }
    }
    owned
}

/// Load: steady prompts on engines of which two in three are slow and all have slow moments.
#[test]
fn fast_engines_own_more_segments_than_slow_ones() {
    let mut dispatcher = dispatcher();
    let now = serve(&mut dispatcher, TIME_RATIOS, 10, 1, TimeMs(0));
    let [slow, slow_too, fast] = owned(&mut dispatcher, now);
    let mean_slow = f64::from(slow + slow_too) / 2.0;
    let speed_ratio = f64::from(fast) / mean_slow;
    assert!(speed_ratio > 1.6, "{fast} and {mean_slow}");
}

#[test]
fn engines_that_differ_only_by_slow_moments_count_as_equally_fast() {
    let mut learned = dispatcher();
    let now = serve(&mut learned, [1.0; 3], 10, 2, TimeMs(0));
    let mut new = dispatcher();
    assert_eq!(owned(&mut learned, now), owned(&mut new, now));
}

#[test]
fn an_instance_that_has_just_started_decides_like_its_peers() {
    let mut learned = dispatcher();
    let now = serve(&mut learned, TIME_RATIOS, 10, 3, TimeMs(0));
    let mut new = dispatcher();
    let report = learned.report(now);
    new.receive_report(NameHash::of("peer"), report, now);
    let known = owned(&mut learned, now);
    let heard = owned(&mut new, now);
    for (known, heard) in known.into_iter().zip(heard) {
        assert!(known.abs_diff(heard) <= 60, "{known} and {heard} of 600");
    }
}

#[test]
fn an_engine_that_joins_uneven_engines_owns_only_its_part() {
    let mut dispatcher = dispatcher();
    let now = serve(&mut dispatcher, TIME_RATIOS, 10, 4, TimeMs(0));
    let setups: Vec<ServerSetup> = (0..=ENGINES).map(engine).collect();
    dispatcher.set_servers(&setups);
    let newcomer = dispatcher.server_key(engine(ENGINES).name).unwrap();
    let mut owned = 0;
    for segment in 0..600 {
        let prompt = prompt(0x1234_5678 + segment * 77);
        if let Decision::Send(placement) = dispatcher.decide(&demand(&prompt), now) {
            owned += u32::from(placement.server == newcomer);
        }
    }
    // A thirteenth of 600 is 46.
    assert!((20..100).contains(&owned), "{owned}");
}
