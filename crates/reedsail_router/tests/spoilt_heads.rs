//! Answers of servers whose head cannot be trusted: none reaches a caller, on no route, and none is waited for.

mod common;

use std::time::Duration;
use std::time::Instant;

use hyper::StatusCode;
use reedsail_standin::RawAnswer;
use reedsail_standin::RawServer;
use tokio::task::LocalSet;

use common::Reply;
use common::RouterFixture;
use common::ask;

/// A route of each kind.
const PATHS: [&str; 4] = ["/once/a", "/again/a", "/stream/a", "/resume/a"];
/// How long an answer may take that nothing is waited for, well below the deadline of 8 s.
const ANSWERED_WITHIN: Duration = Duration::from_secs(4);
/// Two events in chunks.
const CHUNKS: &str = "e\r\nid: 1\ndata: a\n\n\r\ne\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";

/// Returns an answer with the id of the request, the given status and header lines, and a body.
fn answer(status: &str, lines: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\nreedsail-request-id: id-1\r\n{lines}\r\n{body}")
}

/// Asks a router whose only server gives the answer, on a new connection to it.
async fn ask_only(path: &str, answer: RawAnswer) -> (Reply, Duration) {
    let fixture = RouterFixture::start().await;
    let server = RawServer::start(vec![answer]).await.unwrap();
    fixture.list_only(server.address).await;
    let began = Instant::now();
    let reply = ask(fixture.callers(), path, &[]).await;
    assert_eq!(server.requests(), 1, "{path}: the attempt has run once");
    (reply, began.elapsed())
}

/// Asks on every route of a router of its own, where the server closes the connection after its answer and where it keeps
/// it.
async fn ask_everywhere(answer: &str) -> Vec<(String, Reply, Duration)> {
    let sent = [RawAnswer::closing(answer), RawAnswer::keeping(answer)];
    let cases = PATHS
        .into_iter()
        .flat_map(|path| sent.clone().map(|sent| (path, sent)));
    let tasks = LocalSet::new();
    let asking: Vec<_> = cases
        .map(|(path, sent)| {
            let what = format!("{path}, closes {}, {answer:?}", sent.closes);
            (what, tasks.spawn_local(ask_only(path, sent)))
        })
        .collect();
    tasks.await;
    let mut replies = Vec::new();
    for (what, asked) in asking {
        let (reply, took) = asked.await.unwrap_or_else(|error| panic!("{what}: {error}"));
        replies.push((what, reply, took));
    }
    replies
}

/// Checks that an answer is none on any route, and that nothing is waited for.
async fn check_untrusted(answer: &str) {
    for (what, reply, took) in ask_everywhere(answer).await {
        let shown = format!("{what}: {} {:?}", reply.status, reply.body);
        assert_eq!(reply.status, StatusCode::BAD_GATEWAY, "{shown}");
        assert!(reply.text().starts_with("backend_failed"), "{shown}");
        assert!(took <= ANSWERED_WITHIN, "{shown}: {took:?}");
    }
}

#[tokio::test]
async fn a_status_outside_the_classes_of_final_answers_is_no_answer() {
    for status in ["600 ", "700 OK", "999 OK", "101 Switching Protocols"] {
        check_untrusted(&answer(status, "content-length: 4\r\n", "body")).await;
    }
}

#[tokio::test]
async fn a_transfer_coding_that_is_not_understood_is_no_answer() {
    let values = [
        "chunXed",
        "",
        "gzip",
        "gzip, chunked",
        "chunked, gzip",
        "chunked;q=1",
        "chunked, chunked",
    ];
    for value in values {
        let line = format!("transfer-encoding: {value}\r\n");
        check_untrusted(&answer("200 OK", &line, CHUNKS)).await;
    }
    let two_lines = "transfer-encoding: chunked\r\ntransfer-encoding: gzip\r\n";
    check_untrusted(&answer("200 OK", two_lines, CHUNKS)).await;
}

#[tokio::test]
async fn a_spoilt_transfer_coding_beside_a_length_is_no_answer() {
    let lines = "transfer-encoding: chunXed\r\ncontent-length: 4\r\n";
    check_untrusted(&answer("200 OK", lines, "body")).await;
}

/// The promise that a request did not run is as little worth as the rest of its head.
#[tokio::test]
async fn a_promise_in_a_spoilt_head_is_not_believed() {
    let lines = "transfer-encoding: chunXed\r\nreedsail-ran: not_run\r\n";
    check_untrusted(&answer("503 Service Unavailable", lines, CHUNKS)).await;
}

#[tokio::test]
async fn an_answer_with_both_a_length_and_chunks_is_no_answer() {
    for lines in [
        "transfer-encoding: chunked\r\ncontent-length: 4\r\n",
        "content-length: 43\r\ntransfer-encoding: chunked\r\n",
    ] {
        check_untrusted(&answer("200 OK", lines, CHUNKS)).await;
    }
}
