//! Answers of servers that end with their connection, or inside an event: none that is short may look complete to its
//! caller, and whole ones arrive.

mod common;

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::time::Duration;

use hyper::Method;
use hyper::StatusCode;
use reedsail_dispatch::ServerRecord;
use reedsail_net::BodyFraming;
use reedsail_standin::RawAnswer;
use reedsail_standin::RawServer;
use reedsail_standin::RoutedAnswer;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use common::Caller;
use common::Reply;
use common::RouterFixture;
use common::ask;
use common::read_body;
use common::record;
use common::request;
use common::wait_for;

/// Two events, and the beginning of a third.
const INSIDE_EVENT: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda";
/// Two events.
const BETWEEN_EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
/// A body that is no stream.
const BODY: &str = "some of the body";
/// Maximum number of connections that wait for a server which accepts none.
const WAITING_MAX: usize = 5_000;
/// Number of answers of a test that looks at what each costs.
const ANSWERS: u32 = 20;

/// Returns an answer without a length or chunks.
fn unframed(text: &'static str, ends_server: bool) -> RoutedAnswer {
    RoutedAnswer::Text {
        text,
        is_framed: false,
        ends_server,
    }
}

fn chunked(text: &'static str) -> RoutedAnswer {
    RoutedAnswer::Text {
        text,
        is_framed: true,
        ends_server: false,
    }
}

async fn metrics(fixture: &RouterFixture) -> String {
    let page = ask(fixture.router.addresses().admin, "/metrics", &[]).await;
    page.text().to_owned()
}

async fn wait_for_metric(fixture: &RouterFixture, line: &str) {
    wait_for(line, async || {
        metrics(fixture).await.lines().any(|shown| shown == line)
    })
    .await;
}

/// Asks a server that gives one answer and stays alive.
async fn ask_living(path: &str, answer: RoutedAnswer) -> Reply {
    let fixture = RouterFixture::start().await;
    fixture.app.answer_with(&[answer]);
    fixture.llm.answer_with(&[answer]);
    ask(fixture.callers(), path, &[]).await
}

#[tokio::test]
async fn a_body_that_ends_with_its_connection_is_not_framed_as_complete() {
    for (path, text) in [
        ("/once/a", BODY),
        ("/again/a", BODY),
        ("/stream/a", BETWEEN_EVENTS),
        ("/resume/a", BETWEEN_EVENTS),
    ] {
        let reply = ask_living(path, unframed(text, false)).await;
        assert_eq!(reply.status, StatusCode::OK, "{path}");
        assert_eq!(reply.text(), text, "{path}");
        assert!(reply.is_whole, "{path}");
        assert_eq!(reply.framing, BodyFraming::ConnectionEnd, "{path}");
    }
}

#[tokio::test]
async fn a_stream_that_ends_inside_an_event_is_aborted() {
    for path in ["/stream/a", "/resume/a"] {
        for answer in [unframed(INSIDE_EVENT, false), chunked(INSIDE_EVENT)] {
            let reply = ask_living(path, answer).await;
            assert!(!reply.is_whole, "{path}, {answer:?}");
        }
    }
}

#[tokio::test]
async fn a_body_that_ends_with_its_server_is_no_answer() {
    let fixture = RouterFixture::start().await;
    fixture.app.answer_with(&[unframed(BODY, true)]);
    let reply = ask(fixture.callers(), "/once/a", &[]).await;
    assert_eq!(reply.status, StatusCode::BAD_GATEWAY);
    assert!(reply.text().starts_with("answer_incomplete"), "{}", reply.text());
    wait_for_metric(&fixture, "reedsail_router_server_ends_total 1").await;
}

#[tokio::test]
async fn a_repeatable_request_whose_body_ends_with_its_server_is_retried() {
    let fixture = RouterFixture::start().await;
    let second = fixture.add_server("app-2", "app").await;
    for server in [&fixture.app, &second] {
        server.answer_with(&[unframed(BODY, true)]);
    }
    let reply = ask(fixture.callers(), "/again/a", &[]).await;
    assert!(!reply.status.is_success(), "both servers end");
    assert_eq!(fixture.app.runs().len() + second.runs().len(), 2);
}

#[tokio::test]
async fn a_stream_that_ends_with_its_server_between_events_is_aborted() {
    for path in ["/stream/a", "/resume/a"] {
        let fixture = RouterFixture::start().await;
        fixture.llm.answer_with(&[unframed(BETWEEN_EVENTS, true)]);
        let reply = ask(fixture.callers(), path, &[]).await;
        assert!(!reply.is_whole, "{path}");
        wait_for_metric(&fixture, "reedsail_router_server_ends_total 1").await;
    }
}

#[tokio::test]
async fn a_resumable_stream_that_ends_with_its_server_continues_elsewhere() {
    let fixture = RouterFixture::start().await;
    fixture
        .llm
        .answer_with(&[RoutedAnswer::Held { text: BETWEEN_EVENTS }]);
    let mut caller = Caller::connect(fixture.callers()).await;
    let mut response = caller.send(request("/resume/a", &[])).await;
    let framing = BodyFraming::of(response.headers(), response.body());
    assert_eq!(framing, BodyFraming::ConnectionEnd);
    let (begun, _) = read_body(response.body_mut(), Some("data: b\n\n")).await;
    assert_eq!(begun, BETWEEN_EVENTS);
    let other = fixture.add_server("llm-2", "llm").await;
    other.answer_with(&[chunked("id: 3\ndata: c\n\n")]);
    fixture.llm.end().await;
    let reply = common::read(response).await;
    assert!(reply.is_whole);
    assert_eq!(reply.text(), "id: 3\ndata: c\n\n");
    assert_eq!(other.runs()[0].header("last-event-id"), "2");
}

#[tokio::test]
async fn answers_that_end_with_their_connection_cost_no_retries_and_one_connect_each() {
    let fixture = RouterFixture::start().await;
    fixture.app.answer_with(&[unframed(BODY, false)]);
    for _ in 0..ANSWERS {
        let reply = ask(fixture.callers(), "/again/a", &[]).await;
        assert_eq!(reply.text(), BODY);
    }
    assert_eq!(fixture.app.runs().len(), ANSWERS as usize);
    let shown = metrics(&fixture).await;
    assert!(!shown.contains("reedsail_router_repeats_total"), "{shown}");
    assert!(
        shown.contains("reedsail_router_answers_total{outcome=\"answered\"} 20"),
        "{shown}"
    );
    let opened = shown
        .lines()
        .find_map(|line| line.strip_prefix("reedsail_router_connects_total{outcome=\"opened\"} "));
    let opened: u32 = opened.unwrap().parse().unwrap();
    assert!(opened <= ANSWERS + 1, "{opened} connects");
}

#[tokio::test]
async fn a_response_to_head_has_no_body_to_be_cut() {
    let fixture = RouterFixture::start().await;
    fixture.app.answer_with(&[unframed("", false)]);
    let mut caller = Caller::connect(fixture.callers()).await;
    let mut head = request("/once/a", &[]);
    *head.method_mut() = Method::HEAD;
    let reply = common::read(caller.send(head).await).await;
    assert_eq!(reply.status, StatusCode::OK);
    assert!(reply.is_certified());
}

#[tokio::test]
async fn a_response_to_head_on_a_stream_route_counts_as_answered() {
    for path in ["/stream/a", "/resume/a"] {
        let fixture = RouterFixture::start().await;
        fixture.llm.answer_with(&[chunked("")]);
        let mut caller = Caller::connect(fixture.callers()).await;
        let mut head = request(path, &[]);
        *head.method_mut() = Method::HEAD;
        let reply = common::read(caller.send(head).await).await;
        assert!(reply.is_certified(), "{path}");
        wait_for_metric(&fixture, "reedsail_router_answers_total{outcome=\"answered\"} 1").await;
    }
}

#[tokio::test]
async fn an_empty_body_that_ends_with_its_connection_is_not_framed_as_complete() {
    let reply = ask_living("/once/a", unframed("", false)).await;
    assert_eq!(reply.status, StatusCode::OK);
    assert!(reply.is_whole);
    assert!(!reply.is_certified());
}

#[tokio::test]
async fn a_stream_with_events_ended_by_cr_is_complete() {
    for path in ["/stream/a", "/resume/a"] {
        let text = "id: 1\rdata: a\r\rid: 2\rdata: b\r\n\r\n: end\n";
        let reply = ask_living(path, chunked(text)).await;
        assert!(reply.is_certified(), "{path}");
        assert_eq!(reply.text(), text, "{path}");
    }
}

#[tokio::test]
async fn an_answer_of_another_type_on_a_stream_route_is_no_broken_stream() {
    for path in ["/stream/a", "/resume/a"] {
        let fixture = RouterFixture::start().await;
        fixture.llm.answer_with(&[chunked(BODY)]);
        fixture.llm.set_headers(&[("content-type", "application/json")]);
        let reply = ask(fixture.callers(), path, &[]).await;
        assert!(reply.is_certified(), "{path}");
        assert_eq!(reply.text(), BODY, "{path}");
    }
}

#[tokio::test]
async fn an_http_1_0_caller_sees_a_broken_stream_reset() {
    for (path, answer) in [
        ("/stream/a", chunked(INSIDE_EVENT)),
        ("/resume/a", chunked(INSIDE_EVENT)),
        ("/stream/a", unframed(INSIDE_EVENT, true)),
    ] {
        let fixture = RouterFixture::start().await;
        fixture.llm.answer_with(&[answer]);
        let mut stream = TcpStream::connect(fixture.callers()).await.unwrap();
        let request = format!(
            "GET {path} HTTP/1.0\r\nhost: huts.example\r\nauthorization: Bearer key-1\r\n\
             reedsail-request-id: id-1\r\nreedsail-deadline-ms: 8000\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).await.unwrap();
        let read = stream.read_to_end(&mut Vec::new()).await;
        assert!(read.is_err(), "{path}: an orderly end looks complete");
    }
}

/// Answers one request without a length or chunks, while no other connection to the server is accepted in time.
fn answer_while_connects_time_out(listener: &TcpListener) {
    let address = listener.local_addr().unwrap();
    let (mut connection, _) = listener.accept().unwrap();
    let read = connection.read(&mut [0; 4_096]).unwrap();
    assert!(read > 0);
    let connect = || std::net::TcpStream::connect_timeout(&address, Duration::from_millis(100));
    let waiting: Vec<_> = std::iter::from_fn(|| connect().ok()).take(WAITING_MAX).collect();
    assert!(
        waiting.len() < WAITING_MAX,
        "the queue of connections never fills"
    );
    let answer = format!("HTTP/1.1 200 OK\r\nreedsail-request-id: id-1\r\n\r\n{BODY}");
    connection.write_all(answer.as_bytes()).unwrap();
    drop(connection);
    std::thread::sleep(Duration::from_secs(1));
}

#[tokio::test]
async fn an_answer_of_a_server_too_busy_for_connects_arrives() {
    let fixture = RouterFixture::start().await;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let busy = ServerRecord {
        address: listener.local_addr().unwrap(),
        ..record("app-busy", "app", &fixture.app)
    };
    fixture.store.servers.send_replace(Some(vec![busy]));
    let admin = fixture.router.addresses().admin;
    wait_for("the busy server alone", async || {
        let page = ask(admin, "/servers", &[]).await;
        page.text().contains("app-busy") && !page.text().contains("app-1")
    })
    .await;
    let server = std::thread::spawn(move || answer_while_connects_time_out(&listener));
    let reply = ask(fixture.callers(), "/once/a", &[]).await;
    assert_eq!(reply.status, StatusCode::OK, "{}", reply.text());
    assert_eq!(reply.text(), BODY);
    assert!(!reply.is_certified());
    server.join().unwrap();
}

/// Guards against a connection that ends without an answer because the server breaks off right after its head, before the
/// head is written to the caller.
#[tokio::test]
async fn a_stream_that_breaks_off_right_after_its_head_gets_an_answer() {
    let fixture = RouterFixture::start().await;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let breaking = ServerRecord {
        address: listener.local_addr().unwrap(),
        ..record("llm-breaking", "llm", &fixture.llm)
    };
    fixture.store.servers.send_replace(Some(vec![breaking]));
    let admin = fixture.router.addresses().admin;
    wait_for("the breaking server alone", async || {
        let page = ask(admin, "/servers", &[]).await;
        page.text().contains("llm-breaking") && !page.text().contains("llm-1")
    })
    .await;
    std::thread::spawn(move || {
        for connection in listener.incoming() {
            let mut connection = connection.unwrap();
            let mut request = [0; 4_096];
            let _ = connection.read(&mut request).unwrap_or(0);
            let answer =
                "HTTP/1.1 200 OK\r\nreedsail-request-id: id-1\r\ntransfer-encoding: chunked\r\n\r\nbad";
            // The router may have closed the connection.
            let _ = connection.write_all(answer.as_bytes());
        }
    });
    let mut caller = Caller::connect(fixture.callers()).await;
    let response = caller.send(request("/stream/a", &[])).await;
    assert!(response.status() == StatusCode::OK || response.status() == StatusCode::BAD_GATEWAY);
}

/// Guards against a stream that another server continues and whose caller is told the length of the first server's part.
#[tokio::test]
async fn a_stream_with_a_length_that_breaks_off_continues_elsewhere() {
    let fixture = RouterFixture::start().await;
    let three = RoutedAnswer::Stream {
        events: 3,
        pause_after: None,
    };
    fixture.llm.answer_with(&[three]);
    let short = "HTTP/1.1 200 OK\r\nreedsail-request-id: id-1\r\ncontent-length: 42\r\n\r\n\
                 id: 1\ndata: token 1\n\n";
    let server = RawServer::start(vec![RawAnswer::closing(short)]).await.unwrap();
    fixture.list_beside(server.address).await;
    while server.requests() == 0 {
        let callers = fixture.callers();
        let asking: Vec<_> = (0..ANSWERS)
            .map(|_| tokio::spawn(async move { ask(callers, "/resume/a", &[]).await }))
            .collect();
        for reply in asking {
            let reply = reply.await.unwrap();
            let expected = "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\nid: 3\ndata: token 3\n\n";
            assert_eq!(reply.text(), expected);
            assert!(reply.is_certified());
        }
    }
}
