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
/// Two events.
const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
/// The same in chunks.
const CHUNKS: &str = "f\r\nid: 1\ndata: a\n\n\r\nf\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";
/// Where a head is cut into two writes, within its first field.
const HEAD_CUT: usize = 30;
/// Requests at the same time, so that each of two servers gets some.
const ASKED_AT_ONCE: usize = 16;
/// How often so many requests are sent.
const ROUNDS: usize = 10;
/// The body of the answer of a sound server.
const SOUND_BODY: &str = "xxxxxxxxxx";

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

/// Checks that no caller takes an answer for whole, on any route.
async fn check_incomplete(answer: &str) {
    for (what, reply, took) in ask_everywhere(answer).await {
        let shown = format!("{what}: {} {:?}", reply.status, reply.body);
        let is_success = reply.status.is_success() && reply.is_whole;
        assert!(!is_success, "{shown}");
        assert!(took <= ANSWERED_WITHIN, "{shown}: {took:?}");
    }
}

#[tokio::test]
async fn a_length_that_more_bytes_follow_is_not_the_length_of_the_answer() {
    for lines in [
        "content-length: 15\r\n",
        "content-length: 15\r\nconnection: close\r\n",
        "content-length: 0\r\n",
        "content-length: 29\r\n",
        "content-length: 15\r\ncontent-type: application/json\r\n",
    ] {
        check_incomplete(&answer("200 OK", lines, EVENTS)).await;
    }
}

#[tokio::test]
async fn a_request_whose_answer_is_longer_than_its_length_is_answered_elsewhere() {
    let spoilt = answer("200 OK", "content-length: 4\r\n", "some of the body");
    check_elsewhere(RawAnswer::keeping(spoilt)).await;
}

/// Sends requests of a route at once. Returns the replies.
async fn ask_many(fixture: &RouterFixture, path: &'static str) -> Vec<Reply> {
    let callers = fixture.callers();
    let asking: Vec<_> = (0..ASKED_AT_ONCE)
        .map(|_| tokio::spawn(async move { ask(callers, path, &[]).await }))
        .collect();
    let mut replies = Vec::new();
    for reply in asking {
        replies.push(reply.await.unwrap());
    }
    replies
}

/// Asks a router with a sick server beside a sound one. Where the route allows it, the sound one answers instead, and the
/// sick one gets less and less.
async fn check_elsewhere(sick: RawAnswer) {
    let fixture = RouterFixture::start().await;
    let server = RawServer::start(vec![sick]).await.unwrap();
    fixture.list_beside(server.address).await;
    for _ in 0..ROUNDS {
        for reply in ask_many(&fixture, "/again/a").await {
            assert_eq!(reply.status, StatusCode::OK, "{}", reply.text());
            assert_eq!(reply.text(), SOUND_BODY);
            assert!(reply.is_certified());
        }
    }
    let sick_requests = server.requests();
    assert!(sick_requests > 0, "it was never tried");
    let asked = ROUNDS * ASKED_AT_ONCE;
    assert!(
        sick_requests * 4 < asked,
        "its health does not feel {sick_requests} bad answers"
    );
    let runs = fixture.app.runs().len();
    let replies = ask_many(&fixture, "/once/a").await;
    let failed = replies.iter().filter(|reply| !reply.status.is_success()).count();
    assert_eq!(server.requests() - sick_requests, failed);
    let answered = fixture.app.runs().len() - runs;
    assert_eq!(answered + failed, ASKED_AT_ONCE, "a request is sent twice");
}

/// Guards against a sound answer that is lost for what a sick server sends after it: another answer belongs to no request.
#[tokio::test]
async fn an_answer_that_another_answer_follows_is_whole() {
    let first = answer("200 OK", "content-length: 15\r\n", "id: 1\ndata: a\n\n");
    let surplus = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother";
    for (what, reply, _) in ask_everywhere(&format!("{first}{surplus}")).await {
        assert_eq!(reply.status, StatusCode::OK, "{what}");
        assert_eq!(reply.text(), "id: 1\ndata: a\n\n", "{what}");
        assert!(reply.is_certified(), "{what}");
    }
}

/// Guards against a sound answer in chunks that is lost for the bytes after it: its last chunk ends it.
#[tokio::test]
async fn an_answer_in_chunks_that_bytes_follow_is_whole() {
    let chunked = answer("200 OK", "transfer-encoding: chunked\r\n", CHUNKS);
    for (what, reply, _) in ask_everywhere(&format!("{chunked}noise")).await {
        assert_eq!(reply.status, StatusCode::OK, "{what}");
        assert_eq!(reply.text(), EVENTS, "{what}");
        assert!(reply.is_certified(), "{what}");
    }
}

/// The rest of an answer that is longer than its length, and comes later, reaches no request.
#[tokio::test]
async fn the_late_rest_of_an_answer_is_no_answer_to_the_next_request() {
    let fixture = RouterFixture::start().await;
    let late = RawAnswer {
        writes: vec![
            answer("200 OK", "content-length: 4\r\n", "some").into(),
            b" of the body".to_vec(),
        ],
        closes: false,
    };
    let sound = RawAnswer::keeping(answer("200 OK", "content-length: 5\r\n", "whole"));
    let server = RawServer::start(vec![late, sound]).await.unwrap();
    fixture.list_only(server.address).await;
    let reply = ask(fixture.callers(), "/once/a", &[]).await;
    assert_eq!(reply.text(), "some", "nothing tells that more will come");
    let reply = ask(fixture.callers(), "/once/a", &[]).await;
    let is_none = reply.status == StatusCode::BAD_GATEWAY;
    assert!(
        is_none || reply.text() == "whole",
        "{} {}",
        reply.status,
        reply.text()
    );
    let reply = ask(fixture.callers(), "/once/a", &[]).await;
    assert_eq!(reply.text(), "whole");
}

/// Returns an answer in chunks whose framing field has another legal name.
fn misnamed(lines: &str, body: &str) -> String {
    answer("200 OK", &format!("tranXfer-encoding: chunked\r\n{lines}"), body)
}

#[tokio::test]
async fn chunks_without_their_field_are_no_body() {
    for lines in ["", "content-type: text/event-stream\r\n", "connection: close\r\n"] {
        check_incomplete(&misnamed(lines, CHUNKS)).await;
    }
    check_incomplete(&misnamed("", "4;a=b\r\nbody\r\n0\r\n\r\n")).await;
    check_incomplete(&misnamed("", "0\r\n\r\n")).await;
    check_incomplete(&misnamed("", "4\r\nbody\r\n8\r\ncut o")).await;
}

#[tokio::test]
async fn chunks_without_their_field_in_small_writes_are_no_body() {
    let whole = misnamed("", CHUNKS);
    let sent = RawAnswer {
        writes: whole.as_bytes().chunks(10).map(<[u8]>::to_vec).collect(),
        closes: true,
    };
    for path in PATHS {
        let (reply, _) = ask_only(path, sent.clone()).await;
        let shown = format!("{path}: {} {:?}", reply.status, reply.body);
        assert!(!reply.status.is_success() || !reply.is_whole, "{shown}");
        assert!(!reply.text().contains("f\r\n"), "{shown}");
    }
}

#[tokio::test]
async fn a_request_that_got_chunks_without_their_field_is_answered_elsewhere() {
    check_elsewhere(RawAnswer::closing(misnamed("", CHUNKS))).await;
}

/// Guards against a sound body without a length that begins as chunks do.
#[tokio::test]
async fn a_body_that_only_begins_like_a_chunk_arrives() {
    for body in [
        "beef",
        "4",
        "4\r\n",
        "4\r\nbo",
        "4\r\nbody",
        "4\r\nbodies",
        "12\r\n",
        ";a\r\nb",
        "deadbeef1\r\n",
    ] {
        for path in ["/once/a", "/again/a"] {
            let sent = RawAnswer::closing(answer("200 OK", "connection: close\r\n", body));
            let (reply, _) = ask_only(path, sent).await;
            assert_eq!((reply.status, reply.text()), (StatusCode::OK, body), "{path}");
            assert!(reply.is_whole, "{path}");
        }
    }
}

#[tokio::test]
async fn a_head_that_a_line_feed_alone_ends_early_is_no_answer() {
    let length = "content-length: 4\r\n";
    for whole in [
        format!("HTTP/1.1 200 O\n\r\nreedsail-request-id: id-1\r\n{length}\r\nbody"),
        answer("200 OK", &format!("x-other: \n\r\n{length}"), "body"),
        answer("200 OK", &format!("\n{length}"), "body"),
    ] {
        check_untrusted(&whole).await;
    }
}

#[tokio::test]
async fn a_status_that_is_no_status_is_no_answer() {
    for status in ["000 OK", "099 OK", "20 OK", "1000 OK", "2x0 OK"] {
        check_untrusted(&answer(status, "content-length: 4\r\n", "body")).await;
    }
}

#[tokio::test]
async fn a_length_that_is_no_length_is_no_answer() {
    for value in [
        "x",
        "-1",
        "",
        "4x",
        "99999999999999999999",
        "4, 5",
        "4\r\ncontent-length: 5",
    ] {
        let line = format!("content-length: {value}\r\n");
        check_untrusted(&answer("200 OK", &line, "body")).await;
    }
}

#[tokio::test]
async fn a_head_with_a_line_that_is_no_field_is_no_answer() {
    let lines = [
        "no colon\r\n",
        ": no name\r\n",
        "x name: a\r\n",
        "x-name : a\r\n",
        "x\u{1}name: a\r\n",
        "x\u{7f}name: a\r\n",
        "x\u{e9}name: a\r\n",
        "x-name: a\r\n folded\r\n",
        "x-name: a\0b\r\n",
        "x-name: a\u{1}b\r\n",
    ];
    for line in lines {
        let lines = format!("{line}content-length: 4\r\n");
        check_untrusted(&answer("200 OK", &lines, "body")).await;
    }
}

#[tokio::test]
async fn a_spoilt_head_in_several_writes_or_on_a_used_connection_is_no_answer() {
    let sound = RawAnswer::keeping(answer("200 OK", "content-length: 4\r\n", "body"));
    let heads = [
        answer("700 OK", "content-length: 4\r\n", "body"),
        answer("200 OK", "transfer-encoding: chunXed\r\n", CHUNKS),
        answer("200 OK", "content-length: 2\r\n", "body"),
        answer("200 OK", "x\u{1}name: a\r\ncontent-length: 4\r\n", "body"),
        misnamed("", CHUNKS),
    ];
    for head in heads {
        let (first, second) = head.split_at(HEAD_CUT);
        let spoilt = RawAnswer {
            writes: vec![first.into(), second.into()],
            closes: false,
        };
        let fixture = RouterFixture::start().await;
        let script = vec![sound.clone(), spoilt, sound.clone()];
        let server = RawServer::start(script).await.unwrap();
        fixture.list_only(server.address).await;
        let replies = [
            ask(fixture.callers(), "/once/a", &[]).await,
            ask(fixture.callers(), "/once/a", &[]).await,
            ask(fixture.callers(), "/once/a", &[]).await,
        ];
        let statuses = replies.map(|reply| reply.status);
        let expected = [StatusCode::OK, StatusCode::BAD_GATEWAY, StatusCode::OK];
        assert_eq!(statuses, expected, "{head:?}");
        assert_eq!(server.requests(), 3, "{head:?}");
    }
}
