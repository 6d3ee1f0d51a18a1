//! One tenant sends more requests than usual, each with a body that the limits allow, and the platform kills the router for
//! its memory.

use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::Verdict;
use crate::client::Call;
use crate::client::Client;
use crate::client::Outcome;
use crate::configuration;
use crate::engine::Engine;
use crate::engine::Work;
use crate::record::note;
use crate::record::now_ms;
use crate::record::tell;
use crate::router::MEMORY_MB;
use crate::router::Machine;
use crate::router::Router;
use crate::router::wait_until_ready;
use crate::store::Store;

/// The body of an upload, in bytes. The configuration's limit is 4,194,304.
const BODY_BYTES: usize = 4_000_000;
/// What the link of an uploading client carries: an upload takes 4 s, a third of its deadline.
const UPLOAD_BYTES_PER_S: usize = 1_000_000;
/// Uploads at once as usual, and by a tenant that sends 7.5 times its usual (`hot_tenant`, x = 7.5).
const USUAL_UPLOADS: usize = 10;
const HOT_UPLOADS: usize = 75;
/// Clients of the small requests, each with a kept connection.
const CLIENTS: usize = 16;
/// What a small request takes, and a client's pause after it, in milliseconds.
const WORK_MS: u64 = 60;
const PAUSE_MS: u64 = 40;
const TURN_MS: u64 = WORK_MS + PAUSE_MS;
/// How often a request that was passed on may end without an answer (LOST: "more than three times").
const LOST_MAX: usize = 3;

/// What became of the small requests.
#[derive(Default)]
struct Ends {
    answered: AtomicU64,
    closed: Mutex<Vec<String>>,
}

pub fn run(folder: &Path, has_trouble: bool) -> Option<Verdict> {
    let machines = Machine::draw(&[("front-walu-hall-1", "walu-hall")]);
    let (store, store_address) = Store::start().ok()?;
    let routes = [
        ("/till/", "non_idempotent", "counter-app"),
        ("/sheet/", "non_idempotent", "sheet-app"),
    ];
    store.put("keyed.op", "config", &configuration(&routes, 12_000));
    let mut engines = Vec::new();
    for number in 0..3 {
        let till = Work {
            work_ms: WORK_MS,
            answer_bytes: 800,
        };
        engines.push(
            Engine::start(
                &store,
                &format!("i-till-{number}"),
                "counter-app",
                "walu-hall",
                till,
            )
            .ok()?
            .beat_always(),
        );
        let sheet = Work {
            work_ms: WORK_MS,
            answer_bytes: 800,
        };
        engines.push(
            Engine::start(
                &store,
                &format!("i-sheet-{number}"),
                "sheet-app",
                "walu-hall",
                sheet,
            )
            .ok()?
            .beat_always(),
        );
    }
    let mut router = Router::start(&machines[0], &machines, store_address, folder)?;
    if !wait_until_ready(&machines, 15_000) {
        return None;
    }
    let target = machines[0].callers();
    let is_over = Arc::new(AtomicBool::new(false));
    let ends = Arc::new(Ends::default());
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (is_over, ends) = (Arc::clone(&is_over), Arc::clone(&ends));
            std::thread::spawn(move || small_requests(number, target, &is_over, &ends))
        })
        .collect();
    std::thread::sleep(Duration::from_secs(3));
    let uploads = if has_trouble { HOT_UPLOADS } else { USUAL_UPLOADS };
    tell(&format!("{uploads} uploads of {BODY_BYTES} bytes begin"));
    let uploading: Vec<_> = (0..uploads)
        .map(|number| std::thread::spawn(move || upload(number, target)))
        .collect();
    let began_at = now_ms();
    let mut peak_kb = 0;
    let mut is_killed = false;
    while now_ms() < began_at + 12_000 && router.ended().is_none() {
        let resident_kb = resident_kb(router.id()).unwrap_or(0);
        if resident_kb > peak_kb + 10_000 {
            note(&format!("the router's memory: {resident_kb} kB"));
        }
        peak_kb = peak_kb.max(resident_kb);
        if resident_kb > MEMORY_MB << 10 {
            note(&format!(
                "the platform kills the router: {resident_kb} kB are over {MEMORY_MB} MB"
            ));
            router.kill();
            is_killed = true;
            break;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    std::thread::sleep(Duration::from_millis(500));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().ok()?;
    }
    let upload_ends: Vec<Outcome> = uploading
        .into_iter()
        .filter_map(|thread| thread.join().ok())
        .collect();
    note(&format!("ends of the uploads: {upload_ends:?}"));
    for engine in &engines {
        engine.note_arrivals();
    }
    let arrived: std::collections::HashSet<String> = engines
        .iter()
        .flat_map(|engine| engine.arrivals())
        .map(|arrival| arrival.request_id)
        .collect();
    let closed = ends.closed.lock().unwrap().clone();
    let lost: Vec<&String> = closed.iter().filter(|id| arrived.contains(*id)).collect();
    tell(&format!(
        "small requests answered: {}",
        ends.answered.load(Ordering::SeqCst)
    ));
    tell(&format!(
        "largest memory: {} MB; killed: {is_killed}",
        peak_kb >> 10
    ));
    tell(&format!(
        "requests of kept connections that an engine got and that ended without an answer: {} {lost:?}",
        lost.len()
    ));
    Some(if lost.len() > LOST_MAX {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

fn small_requests(number: usize, target: std::net::SocketAddr, is_over: &AtomicBool, ends: &Ends) {
    // Clients are not in step: each begins a part of a turn later.
    std::thread::sleep(Duration::from_millis(TURN_MS * number as u64 / CLIENTS as u64));
    let mut client = Client::new(target);
    for turn in 0.. {
        if is_over.load(Ordering::SeqCst) {
            break;
        }
        let request_id = format!("small-{number}-{turn}");
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
        note(&format!(
            "{request_id}: sent at {sent_at} ms, got {outcome:?}, on a kept connection: {}",
            client.was_kept
        ));
        match outcome {
            Outcome::Answered(200, _) => {
                ends.answered.fetch_add(1, Ordering::SeqCst);
            }
            Outcome::Closed | Outcome::Cut(..) => {
                if client.was_kept {
                    ends.closed.lock().unwrap().push(request_id);
                }
            }
            Outcome::Answered(..) | Outcome::TimedOut | Outcome::Unsent => {}
        }
        std::thread::sleep(Duration::from_millis(PAUSE_MS));
    }
}

fn upload(number: usize, target: std::net::SocketAddr) -> Outcome {
    // Uploads do not begin at the very same moment.
    std::thread::sleep(Duration::from_millis(5 * number as u64));
    let request_id = format!("upload-{number}");
    let sent_at = now_ms();
    let outcome = Client::new(target).call(&Call {
        method: "POST",
        host: "shop.example",
        path: "/sheet/1",
        request_id: &request_id,
        deadline_ms: 12_000,
        body_bytes: BODY_BYTES,
        upload_bytes_per_s: UPLOAD_BYTES_PER_S,
        download_bytes_per_s: 0,
    });
    note(&format!(
        "{request_id}: sent from {sent_at} ms, until {} ms got {outcome:?}",
        now_ms()
    ));
    outcome
}

/// Returns the resident memory of a process, in kilobytes.
fn resident_kb(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.split_whitespace().next()?.parse().ok()
}
