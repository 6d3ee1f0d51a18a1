//! Responses as every reader gets them: those whose head cannot be trusted are none, and sound ones of every form arrive.

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use reedsail_net::ByteCounter;
use reedsail_net::HttpConnection;
use reedsail_net::PersistentClient;
use reedsail_standin::RawAnswer;
use reedsail_standin::RawServer;

/// Limit of a connect, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 5_000;
/// Maximum size of a body, in bytes.
const BODY_BYTES_MAX: usize = 1_000;
/// A body that a reader of lists takes for an empty list.
const BODY: &str = "{\"items\":[],\"more\":false,\"end\":0}";
/// The same in one chunk.
const CHUNKS: &str = "21\r\n{\"items\":[],\"more\":false,\"end\":0}\r\n0\r\n\r\n";
/// What a byte of a head is spoilt into.
const SPOILT_BYTES: &[u8] = b"\0\t\n\r :;,0139AXaz\x7f\xff";

/// Sends one request. Returns the status and the body, or `None` if there is no response.
async fn ask(method: Method, sent: RawAnswer) -> Option<(StatusCode, Bytes)> {
    let server = RawServer::start(vec![sent]).await.unwrap();
    let mut connection = HttpConnection::open(server.address, CONNECT_TIMEOUT_MS, ByteCounter::default())
        .await
        .unwrap();
    assert!(connection.ready().await);
    let mut request = Request::new(Full::<Bytes>::default());
    *request.method_mut() = method;
    // Why there is none does not matter here.
    let response = connection.send(request).await.ok()?;
    let status = response.status();
    let body = response.into_body().collect().await.ok()?;
    Some((status, body.to_bytes()))
}

#[tokio::test]
async fn sound_responses_of_every_form_arrive() {
    let length = BODY.len();
    let forms = [
        format!("HTTP/1.1 200 OK\r\n\r\n{BODY}"),
        format!("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{BODY}"),
        format!("HTTP/1.0 200 OK\r\n\r\n{BODY}"),
        format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{BODY}"),
        format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{BODY}"),
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding:  Chunked \r\n\r\n{CHUNKS}"),
        format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\r\n{CHUNKS}"),
        format!("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{BODY}"),
    ];
    for form in forms {
        let small_writes = RawAnswer {
            writes: form.as_bytes().chunks(7).map(<[u8]>::to_vec).collect(),
            closes: true,
        };
        for sent in [RawAnswer::closing(form.as_str()), small_writes] {
            let response = ask(Method::GET, sent).await;
            assert_eq!(response, Some((StatusCode::OK, BODY.into())), "{form:?}");
        }
    }
}

#[tokio::test]
async fn responses_that_never_have_a_body_arrive() {
    let none = Bytes::new();
    for lines in ["content-length: 30\r\n", "transfer-encoding: chunked\r\n", ""] {
        let head = format!("HTTP/1.1 200 OK\r\n{lines}\r\n");
        let response = ask(Method::HEAD, RawAnswer::keeping(head)).await;
        assert_eq!(response, Some((StatusCode::OK, none.clone())), "{lines:?}");
    }
    for status in [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED] {
        let head = format!("HTTP/1.1 {} -\r\n\r\n", status.as_u16());
        let response = ask(Method::GET, RawAnswer::keeping(head)).await;
        assert_eq!(response, Some((status, none.clone())));
    }
}

/// Each byte of the status line and of the line that frames the body is spoilt in turn. What arrives as a success is the
/// body that was sent.
#[tokio::test]
async fn a_success_with_a_spoilt_byte_in_its_head_has_the_body_that_was_sent() {
    let length = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n", BODY.len());
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n".to_owned();
    for (head, body) in [(length, BODY), (chunked, CHUNKS)] {
        for index in 0..head.len() {
            for byte in SPOILT_BYTES {
                let mut spoilt = head.clone().into_bytes();
                spoilt[index] = *byte;
                let shown = String::from_utf8_lossy(&spoilt).into_owned();
                spoilt.extend_from_slice(format!("x-other: a\r\n\r\n{body}").as_bytes());
                let response = ask(Method::GET, RawAnswer::closing(spoilt)).await;
                let Some((status, body)) = response else { continue };
                assert!(status.as_u16() < 600, "{shown:?}: {status}");
                assert!(!status.is_success() || body == BODY, "{shown:?}: {body:?}");
            }
        }
    }
}

/// Guards against a page of the store or of a peer with a spoilt head that is taken for an empty list, and against an append
/// that is taken for acknowledged.
#[tokio::test]
async fn no_call_is_answered_by_a_response_whose_head_cannot_be_trusted() {
    let length = BODY.len();
    let answers = [
        format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunXed\r\n\r\n{CHUNKS}"),
        format!("HTTP/1.1 200 OK\r\ntranXfer-encoding: chunked\r\n\r\n{CHUNKS}"),
        format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-length: {length}\r\n\r\n{CHUNKS}"),
        format!("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{BODY}"),
        format!("HTTP/1.1 600 -\r\ncontent-length: {length}\r\n\r\n{BODY}"),
        format!("HTTP/1.1 101 -\r\n\r\n{BODY}"),
    ];
    for answer in answers {
        for sent in [
            RawAnswer::closing(answer.as_str()),
            RawAnswer::keeping(answer.as_str()),
        ] {
            let sound = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{BODY}");
            let script = vec![sent.clone(), sent, RawAnswer::keeping(sound)];
            let server = RawServer::start(script).await.unwrap();
            let mut client = PersistentClient::new(server.address, CONNECT_TIMEOUT_MS, BODY_BYTES_MAX);
            let read = client.get("/list").await;
            assert!(read.is_err(), "{answer:?}: {read:?}");
            let append = client.post("/append", Bytes::from_static(b"record")).await;
            assert!(append.is_err(), "{answer:?}: {append:?}");
            let read = client.get("/list").await.unwrap();
            assert_eq!(
                (read.status, read.body),
                (StatusCode::OK, BODY.into()),
                "{answer:?}"
            );
        }
    }
}
