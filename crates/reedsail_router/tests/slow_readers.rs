//! Guards against harm by callers that stop reading. The router must limit the bytes that it buffers for them, must not
//! count their servers as failed, and must keep serving other callers.

mod common;

use http_body_util::BodyExt;
use reedsail_standin::RoutedAnswer;

use common::Caller;
use common::RouterFixture;
use common::ask;
use common::request;
use common::wait_for;

const EVENT_BYTES: usize = 64 << 10;
const EVENTS: u32 = 1_600;
/// Maximum number of buffered bytes of one stream. Linux lets the socket buffers grow to 4 MB for sending and 6 MB for
/// receiving, on both the connection to the caller and the connection to the server; the router holds one megabyte.
const BUFFERED_BYTES_MAX: usize = (2 * (4 + 6) + 1) << 20;
/// The server cuts the answer off after `stalled_ms`. This is shorter than the wait of a real server, to keep the test
/// short, and longer than the time after which an answer counts as unread.
const FLOOD: RoutedAnswer = RoutedAnswer::Flood {
    event_bytes: EVENT_BYTES,
    events: EVENTS,
    stalled_ms: 1_500,
};

async fn metric(fixture: &RouterFixture, name: &str) -> u64 {
    let page = ask(fixture.router.addresses().admin, "/metrics", &[]).await;
    let mut lines = page.text().lines();
    let line = lines.find_map(|line| line.strip_prefix(name));
    line.map_or(0, |value| value.trim().parse().unwrap())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_cuts_off_a_slow_reader_does_not_count_as_failed() {
    for path in ["/stream/", "/resume/"] {
        let fixture = RouterFixture::start().await;
        let second = fixture.add_server("llm-2", "llm").await;
        fixture.llm.answer_with(&[FLOOD]);
        second.answer_with(&[FLOOD]);
        let mut caller = Caller::connect(fixture.callers()).await;
        let mut body = caller.send(request(path, &[])).await.into_body();
        // The caller reads one frame and no more until the server has cut off the answer.
        let first = body.frame().await.unwrap().unwrap();
        assert!(!first.into_data().unwrap().is_empty());
        wait_for("cut", async || {
            let runs = [fixture.llm.runs(), second.runs()].concat();
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
        assert!(read_bytes <= BUFFERED_BYTES_MAX, "{path}: {read_bytes}");
        // The request ran once, and did not count as a failure of the server.
        assert_eq!(fixture.llm.runs().len() + second.runs().len(), 1, "{path}");
        let unread = metric(
            &fixture,
            "reedsail_router_answers_total{outcome=\"caller_stalled\"}",
        )
        .await;
        let gone = metric(&fixture, "reedsail_router_answers_total{outcome=\"caller_gone\"}").await;
        let broken_off = metric(
            &fixture,
            "reedsail_router_answers_total{outcome=\"backend_broke_off\"}",
        )
        .await;
        assert_eq!((unread + gone, broken_off), (1, 0), "{path}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_that_stop_reading_do_not_affect_other_callers() {
    const STALLED_CALLERS: usize = 200;
    let fixture = RouterFixture::start().await;
    fixture.llm.answer_with(&[RoutedAnswer::Flood {
        event_bytes: EVENT_BYTES,
        events: EVENTS,
        stalled_ms: 20_000,
    }]);
    let mut stalled = Vec::new();
    for _ in 0..STALLED_CALLERS {
        let mut caller = Caller::connect(fixture.callers()).await;
        let response = caller.send(request("/stream/", &[])).await;
        stalled.push((caller, response));
    }
    for _ in 0..100 {
        let reply = ask(fixture.callers(), "/again/", &[]).await;
        assert_eq!((reply.status.as_u16(), reply.body.len()), (200, 10));
    }
    drop(stalled);
    wait_for("end of all streams", async || {
        metric(&fixture, "reedsail_router_open_requests").await == 0
    })
    .await;
}
