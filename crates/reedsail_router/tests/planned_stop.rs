//! A planned stop while callers still read: their responses are written to the end, and a caller that does not read holds
//! the stop until its limit only.

mod common;

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::StatusCode;
use reedsail_net::ReceivedBody;
use reedsail_standin::RoutedAnswer;
use tokio::time::sleep;

use common::Caller;
use common::RouterFixture;
use common::request;

/// More than the buffers of two sockets hold, in bytes.
const ANSWER_BYTES: usize = 14 << 20;
const EVENT_BYTES: usize = 256 << 10;
const EVENTS: u32 = 56;
/// What a slow caller reads at a time, in bytes, and its pause after that.
const READ_BYTES: usize = 512 << 10;
const READ_PAUSE: Duration = Duration::from_millis(40);
/// Limit of a stop that no caller holds up, in milliseconds.
const END_MS: u64 = 20_000;
/// Limit of a stop that a caller holds up, in milliseconds.
const HELD_END_MS: u64 = 1_500;
/// The router's clock counts whole milliseconds, so a limit may end by this much earlier.
const CLOCK_RESOLUTION: Duration = Duration::from_millis(1);

async fn fixture(end_ms: u64) -> RouterFixture {
    RouterFixture::start_with(|settings| {
        settings.stop.accept_ms = 100;
        settings.stop.end_ms = end_ms;
    })
    .await
}

/// Reads a body with pauses. Returns its bytes, and whether it is whole.
async fn read_slowly(mut body: ReceivedBody) -> (usize, bool) {
    let (mut read, mut paused_at) = (0, 0);
    loop {
        match body.frame().await {
            None => return (read, true),
            Some(Err(_)) => return (read, false),
            Some(Ok(frame)) => read += frame.into_data().unwrap_or(Bytes::new()).len(),
        }
        if read - paused_at >= READ_BYTES {
            paused_at = read;
            sleep(READ_PAUSE).await;
        }
    }
}

async fn check_slow_reader(path: &str, headers: &[(&str, &str)], answer: RoutedAnswer, answer_bytes: usize) {
    let fixture = fixture(END_MS).await;
    fixture.app.answer_with(&[answer]);
    fixture.llm.answer_with(&[answer]);
    let mut caller = Caller::connect(fixture.callers()).await;
    let response = caller.send(request(path, headers)).await;
    assert_eq!(response.status(), StatusCode::OK, "{path}");
    let stopping = tokio::spawn(fixture.router.close());
    let (read, is_whole) = read_slowly(response.into_body()).await;
    assert!(is_whole, "{path}: {read} bytes");
    assert!(read >= answer_bytes, "{path}: {read} bytes");
    assert!(stopping.await.unwrap(), "{path}: the stop was cut short");
}

/// Guards against a stop that ends once an answer is handed to the connection, which drops what a slow caller has not read.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_writes_answers_that_are_read_slowly_to_their_end() {
    let buffered = RoutedAnswer::Whole {
        status: 200,
        bytes: ANSWER_BYTES,
    };
    check_slow_reader("/once/a", &[], buffered, ANSWER_BYTES).await;
    check_slow_reader("/once/a", &[("connection", "close")], buffered, ANSWER_BYTES).await;
    let events = RoutedAnswer::Flood {
        event_bytes: EVENT_BYTES,
        events: EVENTS,
        stalled_ms: 10_000,
    };
    let stream_bytes = EVENT_BYTES * EVENTS as usize;
    check_slow_reader("/stream/a", &[], events, stream_bytes).await;
    check_slow_reader("/resume/a", &[], events, stream_bytes).await;
}

/// Guards against a stop that waits for a caller that never reads, beyond its limit.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_does_not_read_holds_a_planned_stop_until_its_limit() {
    let fixture = fixture(HELD_END_MS).await;
    fixture.app.answer_with(&[RoutedAnswer::Whole {
        status: 200,
        bytes: ANSWER_BYTES,
    }]);
    let mut unread = Caller::connect(fixture.callers()).await;
    let response = unread.send(request("/once/a", &[])).await;
    let began = Instant::now();
    assert!(!fixture.router.close().await, "the answer is not written");
    let took = began.elapsed();
    assert!(
        took + CLOCK_RESOLUTION >= Duration::from_millis(HELD_END_MS),
        "{took:?}"
    );
    drop(response);
}

/// Guards against a stop that waits for callers whose answers are written, or that have gone.
#[tokio::test(flavor = "multi_thread")]
async fn answers_that_are_written_and_callers_that_have_gone_hold_no_stop() {
    let fixture = fixture(END_MS).await;
    let mut idle = Caller::connect(fixture.callers()).await;
    assert_eq!(idle.ask("/once/a", &[]).await.status, StatusCode::OK);
    fixture.app.answer_with(&[RoutedAnswer::Whole {
        status: 200,
        bytes: ANSWER_BYTES,
    }]);
    let mut gone = Caller::connect(fixture.callers()).await;
    drop(gone.send(request("/once/a", &[])).await);
    drop(gone);
    let began = Instant::now();
    assert!(fixture.router.close().await);
    let took = began.elapsed();
    assert!(took < Duration::from_millis(END_MS), "{took:?}");
}
