//! Callers that stop reading: what the router holds for them, what it says of their servers, and what others get.

mod common;

use http_body_util::BodyExt;
use reedsail_standin::RoutedAnswer;

use common::Caller;
use common::Site;
use common::ask;
use common::request;
use common::wait_for;

const EVENT_BYTES: usize = 64 << 10;
const EVENTS: u32 = 1_600;
/// What one stream holds at most, in bytes: what Linux lets sockets grow to (4 MB to send and 6 MB to receive, on the
/// connections to the caller and to the server) and a megabyte of the router.
const HELD_BYTES_MAX: usize = (2 * (4 + 6) + 1) << 20;
/// Shorter than a server waits, so that the test does; longer than what counts as unread.
const FLOOD: RoutedAnswer = RoutedAnswer::Flood {
    event_bytes: EVENT_BYTES,
    events: EVENTS,
    stalled_ms: 1_500,
};

async fn metric(site: &Site, name: &str) -> u64 {
    let page = ask(site.router.addresses().admin, "/metrics", &[]).await;
    let mut lines = page.text().lines();
    let line = lines.find_map(|line| line.strip_prefix(name));
    line.map_or(0, |value| value.trim().parse().unwrap())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_cuts_off_a_slow_reader_does_not_count_as_failed() {
    for path in ["/stream/", "/resume/"] {
        let site = Site::start().await;
        let second = site.add_server("llm-2", "llm").await;
        site.llm.answer_with(&[FLOOD]);
        second.answer_with(&[FLOOD]);
        let mut caller = Caller::connect(site.callers()).await;
        let mut body = caller.send(request(path, &[])).await.into_body();
        // It reads one frame and no more until the server has cut the answer.
        let first = body.frame().await.unwrap().unwrap();
        assert!(!first.into_data().unwrap().is_empty());
        wait_for("cut", async || {
            let runs = [site.llm.runs(), second.runs()].concat();
            runs.iter().any(|run| run.is_cancelled)
        })
        .await;
        let mut read_bytes = 0;
        let mut is_whole = true;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                is_whole = false;
                break;
            };
            read_bytes += frame.into_data().unwrap().len();
        }
        assert!(!is_whole, "{path}");
        assert!(read_bytes <= HELD_BYTES_MAX, "{path}: {read_bytes}");
        // It ran once, and nothing was held against the server.
        assert_eq!(site.llm.runs().len() + second.runs().len(), 1, "{path}");
        let unread = metric(&site, "reedsail_router_answers_total{outcome=\"caller_stalled\"}").await;
        let gone = metric(&site, "reedsail_router_answers_total{outcome=\"caller_gone\"}").await;
        let broke = metric(
            &site,
            "reedsail_router_answers_total{outcome=\"backend_broke_off\"}",
        )
        .await;
        assert_eq!((unread + gone, broke), (1, 0), "{path}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_that_stop_reading_do_not_affect_other_callers() {
    const STOPPED: usize = 200;
    let site = Site::start().await;
    site.llm.answer_with(&[RoutedAnswer::Flood {
        event_bytes: EVENT_BYTES,
        events: EVENTS,
        stalled_ms: 20_000,
    }]);
    let mut stopped = Vec::new();
    for _ in 0..STOPPED {
        let mut caller = Caller::connect(site.callers()).await;
        let response = caller.send(request("/stream/", &[])).await;
        stopped.push((caller, response));
    }
    for _ in 0..100 {
        let reply = ask(site.callers(), "/again/", &[]).await;
        assert_eq!((reply.status.as_u16(), reply.body.len()), (200, 10));
    }
    drop(stopped);
    wait_for("end of all streams", async || {
        metric(&site, "reedsail_router_open_requests").await == 0
    })
    .await;
}
