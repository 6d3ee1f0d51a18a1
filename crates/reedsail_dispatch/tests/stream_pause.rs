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
use reedsail_dispatch::Priority;
use reedsail_dispatch::Prompt;
use reedsail_dispatch::PromptSegment;
use reedsail_dispatch::ServerSetup;

const GAP_TARGET_MS: u64 = 400;
const ENGINES: u32 = 12;
const UNEVEN: [f64; 3] = [1.4, 1.4, 0.6];
const CHUNK_TOKENS: f64 = 2_048.0;
const TOKENS_PER_MS: f64 = 66.0;
const STEP_MS: f64 = 5.0;
const STEPS_PER_EVENT: u32 = 7;
const EVENTS: u32 = 25;
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

#[derive(Default)]
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
    }
}

/// Replays prompts, one in ten of them long, every `interval_ms` for 40 s.
fn replay(ratios: [f64; 3], interval_ms: f64, gap_target_ms: Option<u64>) -> Served {
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
    while now_ms < 40_000.0 {
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
    served
}

/// Load: steady prompts, a tenth of them of 16,000 tokens, on engines of which two in three are slow.
#[test]
fn fewer_streams_pause_too_long_on_uneven_engines_and_long_prompts_are_served() {
    let without = replay(UNEVEN, 7.0, None);
    let with = replay(UNEVEN, 7.0, Some(GAP_TARGET_MS));
    let late = |served: &Served| f64::from(served.late) / f64::from(served.streams);
    println!(
        "{} {} {} | {} {} {} of {}",
        late(&without),
        without.streams,
        without.long,
        late(&with),
        with.streams,
        with.long,
        with.asked
    );
    assert!(
        late(&with) < late(&without) / 2.0,
        "{} after {}",
        late(&with),
        late(&without)
    );
    let rate = f64::from(with.streams) / f64::from(with.asked);
    let long_rate = f64::from(with.long) / f64::from(with.long_asked);
    assert!(long_rate >= rate / 2.0, "{long_rate} of {rate}");
}
