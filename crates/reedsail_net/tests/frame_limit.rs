//! The limit on the bytes of one part of a message, on a connection that carries several.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use reedsail_net::ByteCounter;
use reedsail_net::HttpConnection;
use reedsail_net::PersistentClient;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long a test waits for an answer before it fails.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads a request without a body up to the end of its head.
async fn read_head(stream: &mut TcpStream) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.unwrap());
    }
}

/// Answers one request whole, and the next one by interim answers without end.
async fn answer_then_never_end(listener: TcpListener) -> usize {
    let (mut stream, _) = listener.accept().await.unwrap();
    read_head(&mut stream).await;
    let whole = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody";
    stream.write_all(whole).await.unwrap();
    read_head(&mut stream).await;
    let interim = "HTTP/1.1 102 Processing\r\n\r\n".repeat(1_000);
    let mut written = 0;
    while stream.write_all(interim.as_bytes()).await.is_ok() {
        written += interim.len();
    }
    written
}

/// Answers a request by a chunk size that begins with zeros without end.
async fn begin_endless_chunk(listener: TcpListener) -> usize {
    let (mut stream, _) = listener.accept().await.unwrap();
    read_head(&mut stream).await;
    let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    stream.write_all(head).await.unwrap();
    let zeros = [b'0'; 8 << 10];
    let mut written = 0;
    while stream.write_all(&zeros).await.is_ok() {
        written += zeros.len();
    }
    written
}

/// Guards against a store that occupies its reader by bytes that are no answer, until the reader's time-out.
#[tokio::test]
async fn a_page_without_end_is_given_up_by_its_bytes() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(begin_endless_chunk(listener));
    let mut client = PersistentClient::new(address, 5_000, 1_000);
    let page = timeout(ANSWER_TIMEOUT, client.get("/page")).await;
    assert!(page.expect("the page has no end").is_err());
    assert!(server.await.unwrap() > 0);
}

/// Guards against a body that is dropped late and lifts the limit of the next message on its connection.
#[tokio::test]
async fn a_body_that_is_dropped_late_does_not_lift_the_limit_of_the_next_message() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(answer_then_never_end(listener));
    let mut connection = HttpConnection::open(address, 5_000, ByteCounter::default())
        .await
        .unwrap();
    let request = || Request::new(Full::<Bytes>::default());
    let response = connection.send(request()).await.unwrap();
    let mut body = response.into_body();
    while body.frame().await.is_some() {}
    assert!(connection.ready().await);
    let dropping = async {
        tokio::task::yield_now().await;
        drop(body);
    };
    let sending = timeout(ANSWER_TIMEOUT, connection.send(request()));
    let (answer, ()) = tokio::join!(sending, dropping);
    assert!(answer.expect("the interim answers have no end").is_err());
    assert!(server.await.unwrap() > 0);
}
