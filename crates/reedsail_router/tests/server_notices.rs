//! What servers say of themselves in their answers, on each path that an answer takes.

mod common;

use std::net::SocketAddr;

use hyper::StatusCode;
use reedsail_standin::RoutedAnswer;
use reedsail_standin::RoutedStandin;

use common::Site;
use common::ask;
use common::wait_for;

/// Requests that are sent after a server has said something.
const REQUESTS: usize = 20;
/// What a server that drains puts into its answers.
const DRAINING: &[(&str, &str)] = &[("reedsail-draining", "1")];
/// What a server that turns requests away adds to ask for five seconds.
const FIVE_SECONDS: &[(&str, &str)] = &[("retry-after", "5")];

const WHOLE: RoutedAnswer = RoutedAnswer::Whole {
    status: 200,
    bytes: 10,
};
const STREAM: RoutedAnswer = RoutedAnswer::Stream {
    events: 3,
    pause_after: None,
};

/// An answer, and how a request comes to it.
struct Told {
    path: &'static str,
    /// What the server answers that says something of itself.
    answer: RoutedAnswer,
    /// What the other server answers at first.
    other: RoutedAnswer,
}

fn told(path: &'static str, answer: RoutedAnswer, other: RoutedAnswer) -> Told {
    Told { path, answer, other }
}

/// The servers that a path's requests go to, the first one listed first.
fn first_server<'a>(site: &'a Site, path: &str) -> (&'a RoutedStandin, &'static str) {
    if path.contains("once") || path.contains("again") {
        (&site.app, "app")
    } else {
        (&site.llm, "llm")
    }
}

/// Asks until a server has had a request.
async fn ask_until_reached(callers: SocketAddr, path: &str, server: &RoutedStandin) {
    wait_for("a request there", async || {
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
    let breaks_off = RoutedAnswer::Stream {
        events: 40,
        pause_after: Some(2),
    };
    let paths = [
        told("/once/", WHOLE, WHOLE),
        told("/once/", failure, WHOLE),
        told("/once/", RoutedAnswer::NotRun, WHOLE),
        told("/once/", RoutedAnswer::WrongId, WHOLE),
        told("/stream/", STREAM, STREAM),
        told("/resume/", STREAM, STREAM),
        // The answers to a retry and to a stream that goes on elsewhere.
        told("/again/", WHOLE, RoutedAnswer::NotRun),
        told("/resume/", STREAM, breaks_off),
    ];
    for told in paths {
        let site = Site::start().await;
        let (server, service) = first_server(&site, told.path);
        let other = site.add_server("other", service).await;
        server.answer_with(&[told.answer]);
        server.say(DRAINING);
        other.answer_with(&[told.other]);
        if told.other == breaks_off {
            let callers = site.callers();
            let path = told.path;
            let asking = tokio::spawn(async move { ask_twice(callers, path).await });
            wait_for("a stream elsewhere", async || !other.runs().is_empty()).await;
            other.crash();
            wait_for("the stream's end", async || !server.runs().is_empty()).await;
            asking.abort();
        } else {
            ask_until_reached(site.callers(), told.path, server).await;
        }
        other.answer_with(&[if service == "app" { WHOLE } else { STREAM }]);
        let reached = server.runs().len();
        for _ in 0..REQUESTS {
            ask(site.callers(), told.path, &[]).await;
        }
        assert_eq!(server.runs().len(), reached, "{}: {:?}", told.path, told.answer);
    }
}

/// Asks twice: the second request reaches the server that the first one passed over.
async fn ask_twice(callers: SocketAddr, path: &str) {
    for _ in 0..2 {
        ask(callers, path, &[]).await;
    }
}

#[tokio::test]
async fn a_server_that_requests_backoff_gets_no_new_requests() {
    for (path, is_retry) in [("/once/", false), ("/stream/", false), ("/again/", true)] {
        let site = Site::start().await;
        let (server, service) = first_server(&site, path);
        let other = site.add_server("other", service).await;
        let success = if service == "app" { WHOLE } else { STREAM };
        server.answer_with(&[RoutedAnswer::NotRun]);
        server.say(FIVE_SECONDS);
        other.answer_with(&[if is_retry { RoutedAnswer::NotRun } else { success }]);
        ask_until_reached(site.callers(), path, server).await;
        other.answer_with(&[success]);
        let reached = server.runs().len();
        for _ in 0..REQUESTS {
            let reply = ask(site.callers(), path, &[]).await;
            assert_eq!(reply.status, StatusCode::OK, "{path}");
        }
        assert_eq!(server.runs().len(), reached, "{path}");
    }
}

#[tokio::test]
async fn a_request_is_refused_while_every_server_is_backed_off() {
    let site = Site::start().await;
    site.app.answer_with(&[RoutedAnswer::NotRun]);
    site.app.say(FIVE_SECONDS);
    ask(site.callers(), "/once/", &[]).await;
    assert_eq!(site.app.runs().len(), 1);
    let reply = ask(site.callers(), "/once/", &[]).await;
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(
        reply.text().starts_with("backends_backed_off"),
        "{}",
        reply.text()
    );
    // A caller that comes back earlier would be refused again.
    let after_s: u64 = reply.header("retry-after").parse().unwrap();
    assert!((4..=10).contains(&after_s), "{after_s}");
    assert_eq!(site.app.runs().len(), 1);
}
