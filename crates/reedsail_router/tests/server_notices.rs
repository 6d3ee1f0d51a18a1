//! Guards against notices in servers' answers that the router misses. A server reports that it drains, or requests a
//! back-off, in an answer on each path through the router, and must get no new requests.

mod common;

use std::net::SocketAddr;

use hyper::StatusCode;
use reedsail_standin::RoutedAnswer;
use reedsail_standin::RoutedStandin;

use common::RouterFixture;
use common::ask;
use common::wait_for;

/// Number of requests that are sent after the notice of a server.
const REQUESTS: usize = 20;
/// The header in the answers of a draining server.
const DRAINING_HEADERS: &[(&str, &str)] = &[("reedsail-draining", "1")];
/// The header with which a server that rejects requests asks for a back-off of five seconds.
const BACKOFF_HEADERS: &[(&str, &str)] = &[("retry-after", "5")];

const WHOLE: RoutedAnswer = RoutedAnswer::Whole {
    status: 200,
    bytes: 10,
};
const STREAM: RoutedAnswer = RoutedAnswer::Stream {
    events: 3,
    pause_after: None,
};

/// An answer with a notice, and the path on which a request gets it.
struct NoticeCase {
    path: &'static str,
    /// The answer of the server that sends the notice.
    answer: RoutedAnswer,
    /// The first answer of the other server.
    other: RoutedAnswer,
}

fn case(path: &'static str, answer: RoutedAnswer, other: RoutedAnswer) -> NoticeCase {
    NoticeCase { path, answer, other }
}

/// Returns the first listed server for the requests of a path, and the name of its service.
fn first_server<'a>(fixture: &'a RouterFixture, path: &str) -> (&'a RoutedStandin, &'static str) {
    if path.contains("once") || path.contains("again") {
        (&fixture.app, "app")
    } else {
        (&fixture.llm, "llm")
    }
}

/// Sends requests until one has reached the server.
async fn ask_until_reached(callers: SocketAddr, path: &str, server: &RoutedStandin) {
    wait_for("a request at the server", async || {
        ask(callers, path, &[]).await;
        !server.runs().is_empty()
    })
    .await;
}

#[tokio::test]
async fn a_server_whose_answer_reports_draining_gets_no_new_requests() {
    let failure = RoutedAnswer::Whole {
        status: 500,
        bytes: 10,
    };
    let broken_stream = RoutedAnswer::Stream {
        events: 40,
        pause_after: Some(2),
    };
    let cases = [
        case("/once/", WHOLE, WHOLE),
        case("/once/", failure, WHOLE),
        case("/once/", RoutedAnswer::NotRun, WHOLE),
        case("/once/", RoutedAnswer::WrongId, WHOLE),
        case("/stream/", STREAM, STREAM),
        case("/resume/", STREAM, STREAM),
        // The answers to a retry and to a stream that resumes on another server.
        case("/again/", WHOLE, RoutedAnswer::NotRun),
        case("/resume/", STREAM, broken_stream),
    ];
    for case in cases {
        let fixture = RouterFixture::start().await;
        let (server, service) = first_server(&fixture, case.path);
        let other = fixture.add_server("other", service).await;
        server.answer_with(&[case.answer]);
        server.set_headers(DRAINING_HEADERS);
        other.answer_with(&[case.other]);
        if case.other == broken_stream {
            let callers = fixture.callers();
            let path = case.path;
            let request_task = tokio::spawn(async move { ask_twice(callers, path).await });
            wait_for("a stream on the other server", async || !other.runs().is_empty()).await;
            other.crash();
            wait_for("the resumed stream", async || !server.runs().is_empty()).await;
            request_task.abort();
        } else {
            ask_until_reached(fixture.callers(), case.path, server).await;
        }
        other.answer_with(&[if service == "app" { WHOLE } else { STREAM }]);
        let runs_before = server.runs().len();
        for _ in 0..REQUESTS {
            ask(fixture.callers(), case.path, &[]).await;
        }
        assert_eq!(
            server.runs().len(),
            runs_before,
            "{}: {:?}",
            case.path,
            case.answer
        );
    }
}

/// Sends two requests: the second one reaches the server that the first one skipped.
async fn ask_twice(callers: SocketAddr, path: &str) {
    for _ in 0..2 {
        ask(callers, path, &[]).await;
    }
}

#[tokio::test]
async fn a_server_that_requests_backoff_gets_no_new_requests() {
    for (path, is_retry) in [("/once/", false), ("/stream/", false), ("/again/", true)] {
        let fixture = RouterFixture::start().await;
        let (server, service) = first_server(&fixture, path);
        let other = fixture.add_server("other", service).await;
        let success = if service == "app" { WHOLE } else { STREAM };
        server.answer_with(&[RoutedAnswer::NotRun]);
        server.set_headers(BACKOFF_HEADERS);
        other.answer_with(&[if is_retry { RoutedAnswer::NotRun } else { success }]);
        ask_until_reached(fixture.callers(), path, server).await;
        other.answer_with(&[success]);
        let runs_before = server.runs().len();
        for _ in 0..REQUESTS {
            let reply = ask(fixture.callers(), path, &[]).await;
            assert_eq!(reply.status, StatusCode::OK, "{path}");
        }
        assert_eq!(server.runs().len(), runs_before, "{path}");
    }
}

#[tokio::test]
async fn a_request_is_refused_while_every_server_is_backed_off() {
    let fixture = RouterFixture::start().await;
    fixture.app.answer_with(&[RoutedAnswer::NotRun]);
    fixture.app.set_headers(BACKOFF_HEADERS);
    ask(fixture.callers(), "/once/", &[]).await;
    assert_eq!(fixture.app.runs().len(), 1);
    let reply = ask(fixture.callers(), "/once/", &[]).await;
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(
        reply.text().starts_with("backends_backed_off"),
        "{}",
        reply.text()
    );
    // A caller that retried earlier would be refused again.
    let after_s: u64 = reply.header("retry-after").parse().unwrap();
    assert!((4..=10).contains(&after_s), "{after_s}");
    assert_eq!(fixture.app.runs().len(), 1);
}
