//! Engines leave while one machine gets an answer of the store late.

use std::collections::HashMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::Verdict;
use crate::client::Call;
use crate::client::Client;
use crate::client::Outcome;
use crate::configuration;
use crate::engine::Engine;
use crate::engine::HEARTBEAT_MS;
use crate::engine::Work;
use crate::link::Link;
use crate::record::note;
use crate::record::now_ms;
use crate::record::tell;
use crate::router::Machine;
use crate::router::Router;
use crate::router::wait_until_ready;
use crate::store::Store;

const ZONES: [&str; 3] = ["walu-hall", "laucala-hall", "nabua-hall"];
/// How often one machine is cut off from what the store sends, in milliseconds, and for how long.
const ROUND_MS: u64 = 8_000;
const CUT_MS: u64 = 600;
/// How long the case plays, in milliseconds.
const PLAYS_MS: u64 = 60_000;
/// Pause of a client between two requests, in milliseconds.
const PAUSE_MS: u64 = 40;
/// Engines at once.
const ENGINES: usize = 3;
/// `drainMs` and `contactMs` of the site.
const DRAIN_MS: u64 = 2_000;
const CONTACT_MS: u64 = 3_000;
/// How long an engine serves on after its entry has gone, in milliseconds.
const SERVES_ON_MS: u64 = 6_000;

pub fn run(folder: &Path, has_trouble: bool) -> Option<Verdict> {
    let machines = Machine::draw(&[
        ("front-walu-hall-1", ZONES[0]),
        ("front-walu-hall-2", ZONES[0]),
        ("front-walu-hall-3", ZONES[0]),
        ("front-laucala-hall-1", ZONES[1]),
        ("front-laucala-hall-2", ZONES[1]),
        ("front-laucala-hall-3", ZONES[1]),
        ("front-nabua-hall-1", ZONES[2]),
        ("front-nabua-hall-2", ZONES[2]),
    ]);
    let (store, store_address) = Store::start().ok()?;
    store.put(
        "keyed.op",
        "config",
        &configuration(&[("/till/", "non_idempotent", "counter-app")], 800),
    );
    let work = Work {
        work_ms: 30,
        answer_bytes: 800,
    };
    let start = |number: usize| {
        let zone = ZONES[number % ZONES.len()];
        Engine::start(
            &store,
            &format!("i-till-{number}"),
            "counter-app",
            zone,
            work.clone(),
        )
        .ok()
    };
    let mut engines: Vec<Arc<Engine>> = Vec::new();
    for number in 0..ENGINES {
        engines.push(start(number)?);
    }
    // The engines were started together, so they write their entries together.
    let beats = Arc::new(Beats::default());
    for engine in &engines {
        beats.add(engine);
    }
    let beating = Arc::clone(&beats);
    std::thread::spawn(move || beating.run());
    let mut links = Vec::new();
    let mut routers = Vec::new();
    for (number, machine) in machines.iter().enumerate() {
        // All start within 0.3 s.
        if number == 3 || number == 6 {
            std::thread::sleep(Duration::from_millis(145));
        }
        let link = Link::start(&machine.name, store_address).ok()?;
        routers.push(Router::start(machine, &machines, link.address, folder)?);
        links.push(link);
    }
    if !wait_until_ready(&machines, 15_000) {
        return None;
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = machines
        .iter()
        .flat_map(|machine| [(machine.clone(), 1), (machine.clone(), 2)])
        .map(|(machine, number)| {
            let is_over = Arc::clone(&is_over);
            std::thread::spawn(move || requests(&machine, number, &is_over))
        })
        .collect();
    std::thread::sleep(Duration::from_secs(3));
    let mut left_at = HashMap::new();
    let mut cuts: Vec<(String, u64)> = Vec::new();
    let ends_at = now_ms() + PLAYS_MS;
    while now_ms() < ends_at {
        // The new engine starts first.
        let added = start(engines.len())?;
        beats.add(&added);
        engines.push(added);
        beats.wait();
        beats.wait();
        let Some((reader, asks_at)) = find_order(&links, &beats, ends_at) else {
            break;
        };
        sleep_until(asks_at - 20);
        let asked_before = reader.asked_at_ms();
        if has_trouble {
            cuts.push((reader.machine.clone(), now_ms()));
            reader.cut_one_way(CUT_MS);
        }
        while reader.asked_at_ms() == asked_before && now_ms() < asks_at + 40 {
            std::thread::sleep(Duration::from_millis(1));
        }
        std::thread::sleep(Duration::from_millis(15));
        let leaving = Arc::clone(engines.iter().find(|engine| !left_at.contains_key(&engine.id))?);
        left_at.insert(leaving.id.clone(), leaving.leave());
        let left = now_ms();
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(SERVES_ON_MS));
            leaving.end();
        });
        sleep_until(left + ROUND_MS);
    }
    std::thread::sleep(Duration::from_millis(SERVES_ON_MS));
    std::thread::sleep(Duration::from_millis(500));
    is_over.store(true, Ordering::SeqCst);
    let mut ends: HashMap<String, usize> = HashMap::new();
    for client in clients {
        for (end, count) in client.join().ok()? {
            *ends.entry(end).or_default() += count;
        }
    }
    tell(&format!("ends of the requests: {ends:?}"));
    let is_in_touch = |machine: &str, at_ms: u64| {
        !cuts
            .iter()
            .any(|(cut, begin)| cut == machine && at_ms >= *begin && at_ms <= begin + CUT_MS + CONTACT_MS)
    };
    let (mut late, mut late_apart) = (0, 0);
    for engine in &engines {
        engine.note_arrivals();
        let Some(left) = left_at.get(&engine.id) else {
            continue;
        };
        let mut by_machine: HashMap<String, (usize, u64)> = HashMap::new();
        for arrival in engine.arrivals() {
            if arrival.at_ms <= left + DRAIN_MS {
                continue;
            }
            let machine = arrival
                .request_id
                .split('/')
                .next()
                .unwrap_or_default()
                .to_owned();
            if is_in_touch(&machine, arrival.at_ms) {
                late += 1;
                let entry = by_machine.entry(machine).or_default();
                entry.0 += 1;
                entry.1 = entry.1.max(arrival.at_ms - left);
            } else {
                late_apart += 1;
            }
        }
        if !by_machine.is_empty() {
            note(&format!(
                "{}: later than {DRAIN_MS} ms after its entry went (requests, latest ms): {by_machine:?}",
                engine.id
            ));
        }
    }
    if left_at.is_empty() {
        tell("the order of events did not come about");
        return None;
    }
    tell(&format!(
        "requests later than drainMs from machines in touch: {late}; from the others: {late_apart}"
    ));
    Some(if late > 0 { Verdict::Broken } else { Verdict::Held })
}

/// Waits for a moment at which the engines have just written their entries, and two readers ask one shortly after the other.
/// Returns the first of the two, and when it asks.
fn find_order<'a>(links: &'a [Arc<Link>], beats: &Beats, until_ms: u64) -> Option<(&'a Arc<Link>, u64)> {
    while now_ms() < until_ms {
        let beat = beats.wait();
        std::thread::sleep(Duration::from_millis(5));
        let mut next: Vec<(u64, &Arc<Link>)> = links
            .iter()
            .filter_map(|link| Some((link.asks_next_at_ms()?, link)))
            .collect();
        next.sort_by_key(|(at, _)| *at);
        let [(first, reader), (second, _), (third, _)] = next.as_slice() else {
            continue;
        };
        // The next entries are written after the second reader has asked again, and before the first one has.
        let next_beat = beat + HEARTBEAT_MS;
        let is_quiet = |at: u64| !(next_beat.saturating_sub(20)..=first + 1_420).contains(&at);
        let asks_again = |at: u64| [at, at + 755, at + 1_510].into_iter().all(is_quiet);
        let is_near = (30..=300).contains(&(first - beat)) && (60..=280).contains(&(second - first));
        if is_near && second + 755 + 40 < next_beat && asks_again(*second) && asks_again(*third) {
            return Some((*reader, *first));
        }
    }
    None
}

fn sleep_until(at_ms: u64) {
    std::thread::sleep(Duration::from_millis(at_ms.saturating_sub(now_ms())));
}

/// Writes the entries of engines that were started together.
#[derive(Default)]
struct Beats {
    engines: Mutex<Vec<Arc<Engine>>>,
    last: Mutex<u64>,
    beaten: Condvar,
}

impl Beats {
    fn add(&self, engine: &Arc<Engine>) {
        self.engines.lock().unwrap().push(Arc::clone(engine));
    }

    fn run(&self) {
        loop {
            for engine in self.engines.lock().unwrap().iter() {
                engine.beat();
            }
            *self.last.lock().unwrap() = now_ms();
            self.beaten.notify_all();
            std::thread::sleep(Duration::from_millis(HEARTBEAT_MS));
        }
    }

    /// Waits for the next entries, and returns when they were written.
    fn wait(&self) -> u64 {
        *self.beaten.wait(self.last.lock().unwrap()).unwrap()
    }
}

fn requests(machine: &Machine, number: usize, is_over: &AtomicBool) -> HashMap<String, usize> {
    let mut client = Client::new(machine.callers());
    let mut ends: HashMap<String, usize> = HashMap::new();
    for turn in 0.. {
        if is_over.load(Ordering::SeqCst) {
            break;
        }
        let request_id = format!("{}/{number}/{turn}", machine.name);
        let sent_at = now_ms();
        let outcome = client.call(&Call {
            method: "POST",
            host: "shop.example",
            path: "/till/1",
            request_id: &request_id,
            deadline_ms: 1_500,
            body_bytes: 600,
            upload_bytes_per_s: 0,
            download_bytes_per_s: 0,
        });
        let end = match outcome {
            Outcome::Answered(status, _) => status.to_string(),
            other => format!("{other:?}"),
        };
        note(&format!("{request_id}: sent at {sent_at} ms, got {end}"));
        *ends.entry(end).or_default() += 1;
        std::thread::sleep(Duration::from_millis(PAUSE_MS));
    }
    ends
}
