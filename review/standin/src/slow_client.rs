//! A machine is stopped as planned while a client still reads a long answer.

use std::path::Path;
use std::time::Duration;

use crate::Verdict;
use crate::client::Call;
use crate::client::Client;
use crate::client::Outcome;
use crate::configuration;
use crate::engine::Engine;
use crate::engine::Work;
use crate::record::now_ms;
use crate::record::tell;
use crate::router::Machine;
use crate::router::Router;
use crate::router::wait_until_ready;
use crate::store::Store;

/// The answer of the service, in bytes.
const ANSWER_BYTES: usize = 14_000_000;
/// What the client's link carries: the answer takes 6.4 s.
const DOWNLOAD_BYTES_PER_S: usize = 2_200_000;
/// When the machine gets SIGTERM, in milliseconds after the request.
const TERM_AFTER_MS: u64 = 200;
/// `graceS` of the site, in milliseconds.
const GRACE_MS: u64 = 8_000;

pub fn run(folder: &Path, has_trouble: bool) -> Option<Verdict> {
    let machines = Machine::draw(&[
        ("front-walu-hall-1", "walu-hall"),
        ("front-laucala-hall-1", "laucala-hall"),
    ]);
    let (store, store_address) = Store::start().ok()?;
    store.put(
        "keyed.op",
        "config",
        &configuration(&[("/till/", "non_idempotent", "counter-app")], 12_000),
    );
    let work = Work {
        work_ms: 30,
        answer_bytes: ANSWER_BYTES,
    };
    let engine = Engine::start(&store, "i-till-1", "counter-app", "walu-hall", work)
        .ok()?
        .beat_always();
    let mut router = Router::start(&machines[0], &machines, store_address, folder)?;
    let _other = Router::start(&machines[1], &machines, store_address, folder)?;
    if !wait_until_ready(&machines, 15_000) {
        return None;
    }
    std::thread::sleep(Duration::from_secs(3));
    let target = machines[0].callers();
    let began_at = now_ms();
    tell(&format!("slow-1: sent at {began_at} ms"));
    let reading = std::thread::spawn(move || {
        let outcome = Client::new(target).call(&Call {
            method: "POST",
            host: "shop.example",
            path: "/till/1",
            request_id: "slow-1",
            deadline_ms: 12_000,
            body_bytes: 600,
            upload_bytes_per_s: 0,
            download_bytes_per_s: DOWNLOAD_BYTES_PER_S,
        });
        (outcome, now_ms())
    });
    std::thread::sleep(Duration::from_millis(TERM_AFTER_MS));
    let mut ended_at = None;
    if has_trouble {
        router.terminate();
        while ended_at.is_none() && now_ms() < began_at + TERM_AFTER_MS + GRACE_MS {
            ended_at = router.ended().map(|status| (status, now_ms()));
            std::thread::sleep(Duration::from_millis(10));
        }
        if let Some((status, at)) = ended_at {
            let after_ms = at - began_at - TERM_AFTER_MS;
            tell(&format!("the router ended {after_ms} ms after SIGTERM, {status}"));
        } else {
            tell("the router still runs at the end of graceS and is killed");
            router.kill();
        }
    }
    let (outcome, at) = reading.join().ok()?;
    let arrivals = engine.arrivals();
    engine.note_arrivals();
    tell(&format!("the client got after {} ms: {outcome:?}", at - began_at));
    let is_run = arrivals.iter().any(|arrival| arrival.answered_at_ms.is_some());
    if !is_run {
        return None;
    }
    Some(match outcome {
        Outcome::Answered(200, ANSWER_BYTES) => Verdict::Held,
        Outcome::Cut(..) | Outcome::Closed => Verdict::Broken,
        _ => Verdict::CannotRun,
    })
}
