//! Bodies of callers and servers, while the memory for bodies is short.

mod common;

use http_body_util::BodyExt;
use hyper::StatusCode;
use reedsail_net::ReceivedBody;
use reedsail_standin::RoutedAnswer;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use common::Caller;
use common::Reply;
use common::RouterFixture;
use common::ask;
use common::configuration;
use common::request;
use common::upload;
use common::wait_for;
use common::workspace;
use common::workspaces_mut;

const MB: usize = 1_000_000;
/// Memory for bodies, in megabytes.
const BODY_MEMORY_MB: u64 = 10;

async fn fixture() -> RouterFixture {
    let fixture = RouterFixture::start_with(|settings| settings.body_memory_mb = BODY_MEMORY_MB).await;
    let mut configuration = configuration(2);
    workspaces_mut(&mut configuration).push(workspace("other", &["key-other"]));
    fixture.store.configuration.send_replace(Some(configuration));
    wait_for("the second workspace", async || {
        let reply = ask(
            fixture.callers(),
            "/once/a",
            &[("authorization", "Bearer key-other")],
        )
        .await;
        reply.status == StatusCode::OK
    })
    .await;
    fixture
}

/// Begins an upload of the workspace `labska`, and sends a part of it.
async fn begin_upload(fixture: &RouterFixture, framing: &str, sent: &[u8]) -> TcpStream {
    begin_upload_with(fixture, "key-1", framing, sent).await
}

/// Begins an upload with a key, and sends a part of it.
async fn begin_upload_with(fixture: &RouterFixture, key: &str, framing: &str, sent: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(fixture.callers()).await.unwrap();
    let head = format!(
        "POST /once/a HTTP/1.1\r\nhost: huts.example\r\nauthorization: Bearer {key}\r\n\
         reedsail-request-id: id-1\r\nreedsail-deadline-ms: 3000\r\n{framing}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(sent).await.unwrap();
    stream
}

async fn metric(fixture: &RouterFixture, name: &str) -> u64 {
    let page = ask(fixture.router.addresses().admin, "/metrics", &[]).await;
    let line = page.text().lines().find_map(|line| line.strip_prefix(name));
    line.map_or(0, |value| value.trim().parse().unwrap())
}

async fn held_bytes(fixture: &RouterFixture) -> u64 {
    let request_bytes = metric(fixture, "reedsail_router_body_bytes{body=\"request\"}").await;
    request_bytes + metric(fixture, "reedsail_router_body_bytes{body=\"response\"}").await
}

async fn wait_for_held(fixture: &RouterFixture, bytes: u64) {
    wait_for("the held bytes", async || held_bytes(fixture).await == bytes).await;
}

/// Guards against bodies within their limit that together take more memory than the process may have.
#[tokio::test]
async fn a_body_without_room_is_refused_before_it_is_read() {
    let fixture = fixture().await;
    let held = begin_upload(&fixture, "content-length: 4000000", b"").await;
    let second = begin_upload(&fixture, "content-length: 4000000", b"").await;
    wait_for_held(&fixture, 8 * MB as u64).await;
    let mut refused = begin_upload(&fixture, "content-length: 4000000", b"").await;
    let mut answer = [0; 4_096];
    let read = refused.read(&mut answer).await.unwrap();
    let answer = String::from_utf8_lossy(&answer[..read]).to_lowercase();
    assert!(answer.starts_with("http/1.1 503"), "{answer}");
    assert!(answer.contains("no_body_room"), "{answer}");
    assert!(answer.contains("retry-after"), "{answer}");
    drop((held, second));
    wait_for_held(&fixture, 0).await;
}

/// Guards against a refusal that its caller cannot read because the connection is closed under its upload.
#[tokio::test]
async fn a_refused_upload_gets_its_answer_and_keeps_its_connection() {
    let fixture = fixture().await;
    let _held = begin_upload(&fixture, "content-length: 4000000", b"").await;
    let _second = begin_upload(&fixture, "content-length: 4000000", b"").await;
    wait_for_held(&fixture, 8 * MB as u64).await;
    let mut caller = Caller::connect(fixture.callers()).await;
    let reply = common::read(caller.send(upload("/once/a", &[], 4 * MB)).await).await;
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(reply.is_certified());
    let small = caller.ask("/once/a", &[]).await;
    assert_eq!(small.status, StatusCode::OK, "{}", small.text());
}

#[tokio::test]
async fn small_requests_and_other_workspaces_pass_beside_a_flood_of_bodies() {
    let fixture = fixture().await;
    let mut held = Vec::new();
    for _ in 0..20 {
        held.push(begin_upload(&fixture, "content-length: 1000000", b"").await);
    }
    wait_for_held(&fixture, 8 * MB as u64).await;
    let small = ask(fixture.callers(), "/once/a", &[]).await;
    assert_eq!(small.status, StatusCode::OK);
    let mut caller = Caller::connect(fixture.callers()).await;
    let other = upload("/once/a", &[("authorization", "Bearer key-other")], MB);
    let reply = common::read(caller.send(other).await).await;
    assert_eq!(reply.status, StatusCode::OK, "{}", reply.text());
}

#[tokio::test]
async fn a_body_of_unknown_length_counts_as_it_is_read() {
    let fixture = fixture().await;
    let mut chunk = format!("{MB:x}\r\n").into_bytes();
    chunk.extend(vec![b'u'; MB]);
    chunk.extend(b"\r\n");
    let upload = begin_upload(&fixture, "transfer-encoding: chunked", &chunk).await;
    wait_for("the chunk", async || held_bytes(&fixture).await >= MB as u64).await;
    assert!(held_bytes(&fixture).await <= 2 * MB as u64);
    drop(upload);
    wait_for_held(&fixture, 0).await;
}

fn chunked(bytes: usize) -> Vec<u8> {
    let mut chunks = format!("{bytes:x}\r\n").into_bytes();
    chunks.extend(vec![b'u'; bytes]);
    chunks.extend(b"\r\n0\r\n\r\n");
    chunks
}

/// Guards against a body of unknown length that is refused because twice of what it has is not free.
#[tokio::test]
async fn a_body_of_unknown_length_that_just_fits_is_read() {
    let fixture = fixture().await;
    let _held = begin_upload(&fixture, "content-length: 4000000", b"").await;
    let _second = begin_upload(&fixture, "content-length: 4000000", b"").await;
    wait_for_held(&fixture, 8 * MB as u64).await;
    let body = chunked(3 * MB / 2);
    let mut upload = begin_upload_with(&fixture, "key-other", "transfer-encoding: chunked", &body).await;
    let mut answer = [0; 4_096];
    let read = upload.read(&mut answer).await.unwrap();
    let answer = String::from_utf8_lossy(&answer[..read]);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// Guards against a refusal of a body over the limit that its caller cannot read because its connection is reset.
#[tokio::test]
async fn an_upload_over_the_limit_gets_its_answer() {
    let fixture = fixture().await;
    let mut caller = Caller::connect(fixture.callers()).await;
    let reply = common::read(caller.send(upload("/once/a", &[], 5 * MB)).await).await;
    assert_eq!(reply.status, StatusCode::PAYLOAD_TOO_LARGE);
    assert!(reply.is_certified());
}

/// Guards against the loss of an answer of unknown length that arrives in one frame.
#[tokio::test]
async fn an_answer_of_unknown_length_arrives_whole() {
    let fixture = fixture().await;
    for event_bytes in [100, 30_000, 32_768, 40_000, 60_000, 200_000] {
        fixture.app.answer_with(&[RoutedAnswer::Flood {
            event_bytes,
            events: 1,
            stalled_ms: 10_000,
        }]);
        let reply = ask(fixture.callers(), "/once/a", &[]).await;
        assert!(reply.is_certified(), "{event_bytes}");
        assert!(
            reply.body.len() >= event_bytes,
            "{} of {event_bytes}",
            reply.body.len()
        );
    }
    wait_for_held(&fixture, 0).await;
}

#[tokio::test]
async fn a_body_of_unknown_length_arrives_whole() {
    let fixture = fixture().await;
    for bytes in [1, 30_000, 32_768, 32_769, 40_000, 60_000, 200_000] {
        let mut upload = begin_upload(&fixture, "transfer-encoding: chunked", &chunked(bytes)).await;
        let mut answer = [0; 4_096];
        let read = upload.read(&mut answer).await.unwrap();
        assert!(answer[..read].starts_with(b"HTTP/1.1 200"), "{bytes}");
        assert_eq!(fixture.app.runs().last().unwrap().body.len(), bytes);
    }
    wait_for_held(&fixture, 0).await;
}

#[tokio::test]
async fn room_is_given_back_at_the_deadline_and_after_the_answer() {
    let fixture = fixture().await;
    let unfinished = begin_upload(&fixture, "content-length: 4000000", b"begun").await;
    wait_for_held(&fixture, 4 * MB as u64).await;
    wait_for_held(&fixture, 0).await;
    drop(unfinished);
    let mut caller = Caller::connect(fixture.callers()).await;
    let reply = common::read(caller.send(upload("/once/a", &[], 4 * MB)).await).await;
    assert_eq!(reply.status, StatusCode::OK);
    assert_eq!(fixture.app.runs().last().unwrap().body.len(), 4 * MB);
    wait_for_held(&fixture, 0).await;
}

/// Asks for an answer that has no room.
async fn ask_without_room(answer: RoutedAnswer, path: &str) -> (RouterFixture, Reply) {
    let fixture = fixture().await;
    fixture.app.answer_with(&[answer]);
    let reply = ask(fixture.callers(), path, &[]).await;
    (fixture, reply)
}

/// Guards against large answers that together take more memory than the process may have.
#[tokio::test]
async fn an_answer_without_room_is_relayed_as_it_arrives() {
    let whole = RoutedAnswer::Whole {
        status: 200,
        bytes: 12 * MB,
    };
    for path in ["/once/a", "/again/a"] {
        let (fixture, reply) = ask_without_room(whole, path).await;
        assert_eq!(reply.status, StatusCode::OK);
        assert!(reply.is_certified());
        assert_eq!(reply.body.len(), 12 * MB);
        let answered = metric(&fixture, "reedsail_router_answers_total{outcome=\"answered\"}").await;
        assert!(answered >= 1, "{answered}");
        assert_eq!(held_bytes(&fixture).await, 0);
    }
}

#[tokio::test]
async fn a_failure_without_room_counts_as_one() {
    let failure = RoutedAnswer::Whole {
        status: 500,
        bytes: 12 * MB,
    };
    let (fixture, reply) = ask_without_room(failure, "/once/a").await;
    assert_eq!(reply.status, StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(reply.body.len(), 12 * MB);
    let failed = "reedsail_router_answers_total{outcome=\"answered_with_failure\"}";
    assert_eq!(metric(&fixture, failed).await, 1);
}

/// Begins to read an answer of 4 MB, and stops.
async fn begin_reading(fixture: &RouterFixture) -> (Caller, hyper::Response<ReceivedBody>) {
    let mut caller = Caller::connect(fixture.callers()).await;
    let response = caller.send(request("/once/a", &[])).await;
    assert_eq!(response.status(), StatusCode::OK);
    (caller, response)
}

/// Guards against slow readers whose answers take more memory than the process may have.
#[tokio::test]
async fn answers_that_are_not_read_count_until_their_callers_have_gone() {
    let fixture = fixture().await;
    fixture.app.answer_with(&[RoutedAnswer::Whole {
        status: 200,
        bytes: 4 * MB,
    }]);
    let mut unread = Vec::new();
    for _ in 0..5 {
        unread.push(begin_reading(&fixture).await);
        assert!(held_bytes(&fixture).await <= BODY_MEMORY_MB * MB as u64);
    }
    assert!(held_bytes(&fixture).await >= 4 * MB as u64);
    let (_, response) = unread.pop().unwrap();
    let body = response.into_body().collect().await;
    assert_eq!(body.unwrap().to_bytes().len(), 4 * MB);
    drop(unread);
    wait_for_held(&fixture, 0).await;
}
