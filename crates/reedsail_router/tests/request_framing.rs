//! Requests whose head frames the body in a way that cannot be trusted: none reaches a server with another body or inside
//! another request.

mod common;

use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use common::RouterFixture;

/// How long a router may take to answer and close.
const CLOSED_WITHIN: Duration = Duration::from_secs(2);
/// The head of a request, without the lines that frame its body.
const HEAD: &str = "POST /once/a HTTP/1.1\r\nhost: huts.example\r\nauthorization: Bearer key-1\r\n";
/// A request inside the body of another one.
const INNER: &str = "POST /once/inner HTTP/1.1\r\nhost: huts.example\r\nauthorization: Bearer key-1\r\n\
                     content-length: 0\r\n\r\n";

/// Sends bytes on a connection of their own. Returns what the router answers, and the requests that a server got.
async fn send(bytes: String) -> (String, Vec<String>) {
    let fixture = RouterFixture::start().await;
    let mut stream = TcpStream::connect(fixture.callers()).await.unwrap();
    stream.write_all(bytes.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    // A connection that stays open has been read for long enough.
    let _ = timeout(CLOSED_WITHIN, stream.read_to_end(&mut answer)).await;
    let runs = fixture.app.runs();
    let runs = runs
        .iter()
        .map(|run| format!("{} {}", run.call, String::from_utf8_lossy(&run.body)));
    (String::from_utf8_lossy(&answer).into_owned(), runs.collect())
}

#[tokio::test]
async fn a_request_with_a_coding_that_is_not_understood_is_refused() {
    for value in ["chunXed", "gzip", "chunked, gzip", ""] {
        let bytes = format!("{HEAD}transfer-encoding: {value}\r\n\r\n0\r\n\r\n{INNER}");
        let (answer, runs) = send(bytes).await;
        assert!(answer.starts_with("HTTP/1.1 400"), "{value:?}: {answer}");
        assert!(runs.is_empty(), "{value:?}: {runs:?}");
    }
}

#[tokio::test]
async fn a_request_inside_a_body_with_both_a_length_and_chunks_does_not_run() {
    let length = format!("content-length: {}\r\n", 5 + INNER.len());
    let chunked = "transfer-encoding: chunked\r\n";
    for lines in [format!("{length}{chunked}"), format!("{chunked}{length}")] {
        let (answer, runs) = send(format!("{HEAD}{lines}\r\n0\r\n\r\n{INNER}")).await;
        let has_inner = runs.iter().any(|run| run.contains("inner"));
        assert!(!has_inner, "{lines:?}: {runs:?}, {answer}");
    }
}
