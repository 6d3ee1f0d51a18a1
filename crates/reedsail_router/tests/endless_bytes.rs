//! Servers and callers that send bytes without end, in each part of a message: what the router reads of them, and how long
//! the connection stays open, is bounded.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use hyper::StatusCode;
use reedsail_dispatch::ServerRecord;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use common::Reply;
use common::RouterFixture;
use common::ask;
use common::record;
use common::wait_for;

/// What an endless sender may have written within a part of a message, in bytes: what the router may read, with what its
/// connection reads ahead, and what the paced sender is ahead of it.
const PART_WRITTEN_MAX: usize = 8 << 20;
/// The same of a body, which the router may buffer up to 16 MB.
const BODY_WRITTEN_MAX: usize = 32 << 20;
/// What an endless sender writes at a time, in bytes, and its pause after that, so that the buffers of the sockets stay
/// nearly empty.
const BLOCK_BYTES: usize = 32 << 10;
const BLOCK_PAUSE: Duration = Duration::from_millis(1);
/// How long an endless sender may go on, well below the time-out of a route.
const CLOSED_WITHIN: Duration = Duration::from_secs(5);
/// The caller's deadline of an endless stream, in milliseconds.
const STREAM_DEADLINE_MS: &str = "1500";
/// Requests at the same time, so that each of two servers gets some.
const ASKED_AT_ONCE: usize = 16;
const HEAD: &str = "HTTP/1.1 200 OK\r\nreedsail-request-id: id-1\r\n";

/// The bytes of an endless answer: a beginning, and what follows it again and again.
#[derive(Clone, Copy)]
struct Endless {
    begin: &'static str,
    repeated: &'static str,
}

/// A server that sends endless answers.
struct EndlessServer {
    address: SocketAddr,
    connections: Arc<AtomicUsize>,
    /// The most bytes that were written on one connection until the router closed it.
    written: Arc<AtomicUsize>,
    closed: Arc<AtomicUsize>,
}

impl EndlessServer {
    async fn start(answer: Endless) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = Self {
            address: listener.local_addr().unwrap(),
            connections: Arc::default(),
            written: Arc::default(),
            closed: Arc::default(),
        };
        let (connections, written, closed) = (
            Arc::clone(&server.connections),
            Arc::clone(&server.written),
            Arc::clone(&server.closed),
        );
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (written, closed) = (Arc::clone(&written), Arc::clone(&closed));
                connections.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(async move {
                    let sent = send_until_closed(stream, answer).await;
                    written.fetch_max(sent, Ordering::SeqCst);
                    closed.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        server
    }

    /// Waits until the router has closed every connection that carried an answer.
    async fn wait_until_closed(&self) {
        wait_for("closed connections", async || {
            self.closed.load(Ordering::SeqCst) == self.connections.load(Ordering::SeqCst)
        })
        .await;
    }
}

/// Reads a request, and sends the answer until the connection is closed. Returns the number of bytes written.
async fn send_until_closed(mut stream: TcpStream, answer: Endless) -> usize {
    let mut request = vec![0; 64 << 10];
    if stream.read(&mut request).await.unwrap_or(0) == 0 {
        return 0;
    }
    let mut written = 0;
    if stream.write_all(answer.begin.as_bytes()).await.is_err() {
        return written;
    }
    let block = answer.repeated.repeat(BLOCK_BYTES / answer.repeated.len() + 1);
    while stream.write_all(block.as_bytes()).await.is_ok() {
        written += block.len();
        sleep(BLOCK_PAUSE).await;
    }
    written
}

/// Lists an endless server as the only one of its service, and asks for an answer.
async fn ask_endless(
    path: &str,
    answer: Endless,
    headers: &[(&str, &str)],
) -> (Reply, EndlessServer, Duration) {
    let fixture = RouterFixture::start().await;
    let server = EndlessServer::start(answer).await;
    list_only(&fixture, &server).await;
    let began = Instant::now();
    let reply = ask(fixture.callers(), path, headers).await;
    server.wait_until_closed().await;
    (reply, server, began.elapsed())
}

async fn list_only(fixture: &RouterFixture, server: &EndlessServer) {
    let records = ["app", "llm"].map(|service| ServerRecord {
        address: server.address,
        ..record(&format!("{service}-endless"), service, &fixture.app)
    });
    fixture.store.servers.send_replace(Some(records.to_vec()));
    let admin = fixture.router.addresses().admin;
    wait_for("the endless server alone", async || {
        let page = ask(admin, "/servers", &[]).await;
        page.text().contains("llm-endless") && !page.text().contains("llm-1")
    })
    .await;
}

async fn check_head(what: &str, answer: Endless) {
    let (reply, server, took) = ask_endless("/once/a", answer, &[]).await;
    assert_eq!(reply.status, StatusCode::BAD_GATEWAY, "{what}: {}", reply.text());
    let written = server.written.load(Ordering::SeqCst);
    assert!(written <= PART_WRITTEN_MAX, "{what}: {written} bytes");
    assert!(took <= CLOSED_WITHIN, "{what}: {took:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_status_line_without_end_is_cut_off() {
    check_head(
        "status line",
        Endless {
            begin: "HTTP/1.1 200 ",
            repeated: "OK",
        },
    )
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bytes_without_end_that_are_no_answer_are_cut_off() {
    check_head(
        "no answer",
        Endless {
            begin: "",
            repeated: "\0\u{1}noise",
        },
    )
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_head_without_end_is_cut_off() {
    check_head(
        "one line",
        Endless {
            begin: "HTTP/1.1 200 OK\r\nx-long: ",
            repeated: "a",
        },
    )
    .await;
    check_head(
        "many lines",
        Endless {
            begin: "HTTP/1.1 200 OK\r\n",
            repeated: "x-many: a\r\n",
        },
    )
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn interim_answers_without_end_are_cut_off() {
    check_head(
        "interim answers",
        Endless {
            begin: "",
            repeated: "HTTP/1.1 102 Processing\r\n\r\n",
        },
    )
    .await;
}

async fn check_chunked(what: &str, begin: &'static str, repeated: &'static str) {
    let (reply, server, took) = ask_endless("/once/a", Endless { begin, repeated }, &[]).await;
    assert_eq!(reply.status, StatusCode::BAD_GATEWAY, "{what}: {}", reply.text());
    let written = server.written.load(Ordering::SeqCst);
    assert!(written <= PART_WRITTEN_MAX, "{what}: {written} bytes");
    assert!(took <= CLOSED_WITHIN, "{what}: {took:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn chunk_sizes_extensions_and_trailers_without_end_are_cut_off() {
    const CHUNKED: &str =
        "HTTP/1.1 200 OK\r\nreedsail-request-id: id-1\r\ntransfer-encoding: chunked\r\n\r\n";
    let begin = |rest: &str| -> &'static str { Box::leak(format!("{CHUNKED}{rest}").into_boxed_str()) };
    check_chunked("chunk size", begin(""), "0").await;
    check_chunked("chunk extension", begin("1;a="), "b").await;
    check_chunked(
        "extensions of many chunks",
        begin(""),
        "1;abcdefghijklmnopqrstuvwxyz\r\nx\r\n",
    )
    .await;
    check_chunked("trailer line", begin("1\r\nx\r\n0\r\nx-long: "), "a").await;
    check_chunked("trailer lines", begin("1\r\nx\r\n0\r\n"), "x-many: a\r\n").await;
}

/// Bytes that begin with the answer show that its length cannot be trusted, so it is none. The rest is not read.
#[tokio::test(flavor = "multi_thread")]
async fn bytes_without_end_after_a_body_are_not_read() {
    let begin: &'static str = Box::leak(format!("{HEAD}content-length: 4\r\n\r\nbodymore").into_boxed_str());
    let answer = Endless {
        begin,
        repeated: "more",
    };
    let (reply, server, took) = ask_endless("/once/a", answer, &[]).await;
    assert_eq!(reply.status, StatusCode::BAD_GATEWAY, "{}", reply.text());
    assert!(reply.text().starts_with("answer_incomplete"), "{}", reply.text());
    let written = server.written.load(Ordering::SeqCst);
    assert!(written <= PART_WRITTEN_MAX, "{written} bytes");
    assert!(took <= CLOSED_WITHIN, "{took:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_without_a_length_and_without_end_is_cut_off() {
    let answer = Endless {
        begin: Box::leak(format!("{HEAD}\r\n").into_boxed_str()),
        repeated: "body",
    };
    let (reply, server, took) = ask_endless("/once/a", answer, &[]).await;
    assert_eq!(reply.status, StatusCode::BAD_GATEWAY);
    let written = server.written.load(Ordering::SeqCst);
    assert!(written <= BODY_WRITTEN_MAX, "{written} bytes");
    assert!(took <= CLOSED_WITHIN, "{took:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_event_without_end_is_cut_off() {
    for path in ["/stream/a", "/resume/a"] {
        let answer = Endless {
            begin: Box::leak(format!("{HEAD}\r\ndata: ").into_boxed_str()),
            repeated: "event",
        };
        let headers = [("reedsail-deadline-ms", STREAM_DEADLINE_MS)];
        let (reply, _, took) = ask_endless(path, answer, &headers).await;
        assert!(!reply.is_whole, "{path}");
        assert!(took <= CLOSED_WITHIN, "{path}: {took:?}");
    }
}

/// A repeatable request gets its answer from another server.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_met_bytes_without_end_is_answered_elsewhere() {
    let fixture = RouterFixture::start().await;
    let server = EndlessServer::start(Endless {
        begin: "",
        repeated: "noise",
    })
    .await;
    let endless = ServerRecord {
        address: server.address,
        ..record("app-endless", "app", &fixture.app)
    };
    let sound = record("app-1", "app", &fixture.app);
    fixture.store.servers.send_replace(Some(vec![endless, sound]));
    let admin = fixture.router.addresses().admin;
    wait_for("the endless server", async || {
        ask(admin, "/servers", &[]).await.text().contains("app-endless")
    })
    .await;
    let callers = fixture.callers();
    let asking: Vec<_> = (0..ASKED_AT_ONCE)
        .map(|_| tokio::spawn(async move { ask(callers, "/again/a", &[]).await }))
        .collect();
    for reply in asking {
        let reply = reply.await.unwrap();
        assert_eq!(reply.status, StatusCode::OK, "{}", reply.text());
    }
    assert!(
        server.connections.load(Ordering::SeqCst) > 0,
        "it was never tried"
    );
}

/// Guards against a caller whose body has no end because it never sends the rest.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_a_caller_does_not_finish_ends_at_the_deadline() {
    let fixture = RouterFixture::start().await;
    let mut stream = TcpStream::connect(fixture.callers()).await.unwrap();
    let head = "POST /once/a HTTP/1.1\r\nhost: huts.example\r\nauthorization: Bearer key-1\r\n\
                reedsail-deadline-ms: 300\r\ncontent-length: 9\r\n\r\nab";
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut answer = String::new();
    let reading = stream.read_to_string(&mut answer);
    timeout(CLOSED_WITHIN, reading).await.unwrap().unwrap();
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert!(answer.contains("body_incomplete"), "{answer}");
}

/// Sends bytes to the router until it closes the connection. Returns their number, or `None` if it did not close in time.
async fn send_to_router(router: SocketAddr, begin: &str, repeated: &str) -> Option<usize> {
    let mut stream = TcpStream::connect(router).await.unwrap();
    stream.write_all(begin.as_bytes()).await.unwrap();
    let block = repeated.repeat(BLOCK_BYTES / repeated.len() + 1);
    let sending = async {
        let mut written = 0;
        while stream.write_all(block.as_bytes()).await.is_ok() {
            written += block.len();
            sleep(BLOCK_PAUSE).await;
        }
        written
    };
    timeout(CLOSED_WITHIN, sending).await.ok()
}

#[tokio::test(flavor = "multi_thread")]
async fn bytes_without_end_from_a_caller_are_cut_off() {
    let fixture = RouterFixture::start().await;
    let post = "POST /once/a HTTP/1.1\r\nhost: huts.example\r\nauthorization: Bearer key-1\r\n";
    let chunked = format!("{post}transfer-encoding: chunked\r\n\r\n");
    let with_length = format!("{post}content-length: 2\r\n\r\nab");
    let parts = [
        ("request line", "GET /".to_owned(), "a"),
        ("head line", format!("{post}x-long: "), "a"),
        ("head lines", post.to_owned(), "x-many: a\r\n"),
        ("chunk size", chunked.clone(), "0"),
        ("chunk extension", format!("{chunked}1;a="), "b"),
        ("trailer line", format!("{chunked}1\r\nx\r\n0\r\nx-long: "), "a"),
        (
            "trailer lines",
            format!("{chunked}1\r\nx\r\n0\r\n"),
            "x-many: a\r\n",
        ),
        ("chunks", chunked.clone(), "4\r\nbody\r\n"),
        ("after the body", with_length, "noise "),
    ];
    for (what, begin, repeated) in parts {
        let written = send_to_router(fixture.callers(), &begin, repeated).await;
        let written = written.unwrap_or_else(|| panic!("{what}: the connection is not closed"));
        assert!(written <= BODY_WRITTEN_MAX, "{what}: {written} bytes");
    }
}
