//! Guards against work for callers that are gone. A caller disconnects at each step of a request, and the router must
//! cancel the request everywhere.

mod common;

use std::net::SocketAddr;

use hyper::StatusCode;
use reedsail_standin::RoutedAnswer;
use reedsail_standin::RoutedStandin;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use common::Caller;
use common::RouterFixture;
use common::ask;
use common::read;
use common::read_body;
use common::request;
use common::wait_for;

const STREAM: RoutedAnswer = RoutedAnswer::Stream {
    events: 9,
    pause_after: Some(2),
};

/// Sends a request in a task. Aborting the task closes the caller's connection.
fn ask_in_task(callers: SocketAddr, path: &'static str) -> JoinHandle<()> {
    tokio::spawn(async move {
        let mut caller = Caller::connect(callers).await;
        let response = caller.send(request(path, &[])).await;
        read(response).await;
    })
}

async fn wait_for_cancel(server: &RoutedStandin, run: usize) {
    wait_for("cancel", async || {
        server.runs().get(run).is_some_and(|run| run.is_cancelled)
    })
    .await;
}

#[tokio::test]
async fn a_request_whose_caller_disconnects_during_the_body_reaches_no_server() {
    let fixture = RouterFixture::start().await;
    let mut caller = TcpStream::connect(fixture.callers()).await.unwrap();
    let head = "POST /again/ HTTP/1.1\r\nhost: huts.example\r\nauthorization: Bearer key-1\r\n\
                reedsail-request-id: id-1\r\ncontent-length: 1000\r\n\r\nbegun";
    caller.write_all(head.as_bytes()).await.unwrap();
    wait_for("an open request", async || {
        let metrics = ask(fixture.router.addresses().admin, "/metrics", &[]).await;
        metrics.text().contains("reedsail_router_open_requests 1")
    })
    .await;
    drop(caller);
    wait_for("no open request", async || {
        let metrics = ask(fixture.router.addresses().admin, "/metrics", &[]).await;
        metrics.text().contains("reedsail_router_open_requests 0")
    })
    .await;
    assert!(fixture.app.runs().is_empty());
    assert_eq!(
        ask(fixture.callers(), "/again/", &[]).await.status,
        StatusCode::OK
    );
    assert_eq!(fixture.app.runs().len(), 1);
}

#[tokio::test]
async fn a_caller_that_disconnects_during_a_retry_cancels_it() {
    let fixture = RouterFixture::start().await;
    let second = fixture.add_server("app-2", "app").await;
    let answers = [RoutedAnswer::NotRun, RoutedAnswer::Silent];
    fixture.app.answer_with(&answers[..1]);
    second.answer_with(&answers[1..]);
    // The request ends up at the second server, no matter which server is tried first.
    let request_task = ask_in_task(fixture.callers(), "/again/");
    wait_for("a run on the second server", async || !second.runs().is_empty()).await;
    request_task.abort();
    wait_for_cancel(&second, 0).await;
}

#[tokio::test]
async fn a_caller_that_disconnects_after_its_stream_resumed_cancels_the_new_run() {
    let fixture = RouterFixture::start().await;
    fixture.llm.answer_with(&[STREAM]);
    let mut caller = Caller::connect(fixture.callers()).await;
    let mut body = caller.send(request("/resume/", &[])).await.into_body();
    read_body(&mut body, Some("id: 2")).await;
    let second = fixture.add_server("llm-2", "llm").await;
    second.answer_with(&[RoutedAnswer::Silent]);
    fixture.llm.crash();
    wait_for("a run on the second server", async || !second.runs().is_empty()).await;
    drop(body);
    drop(caller);
    wait_for_cancel(&second, 0).await;
}

#[tokio::test]
async fn a_caller_that_disconnects_with_an_unread_answer_cancels_the_run() {
    let fixture = RouterFixture::start().await;
    fixture.llm.answer_with(&[RoutedAnswer::Flood {
        event_bytes: 1 << 16,
        events: 10_000,
        stalled_ms: 60_000,
    }]);
    for path in ["/stream/", "/resume/"] {
        let run = fixture.llm.runs().len();
        let mut caller = Caller::connect(fixture.callers()).await;
        let mut body = caller.send(request(path, &[])).await.into_body();
        read_body(&mut body, Some("id: 1")).await;
        drop(body);
        drop(caller);
        wait_for_cancel(&fixture.llm, run).await;
    }
}

#[tokio::test]
#[ignore = "KNOWN-RED.txt"]
async fn a_caller_that_leaves_with_its_next_request_sent_ends_the_first() {
    let fixture = RouterFixture::start().await;
    fixture.app.answer_with(&[RoutedAnswer::Silent]);
    let mut caller = TcpStream::connect(fixture.callers()).await.unwrap();
    let request_text = "POST /again/ HTTP/1.1\r\nhost: huts.example\r\nauthorization: Bearer key-1\r\n\
               reedsail-request-id: id-1\r\nreedsail-deadline-ms: 60000\r\ncontent-length: 4\r\n\r\nbody";
    caller.write_all(request_text.as_bytes()).await.unwrap();
    wait_for("a run", async || !fixture.app.runs().is_empty()).await;
    caller.write_all(request_text.as_bytes()).await.unwrap();
    drop(caller);
    wait_for_cancel(&fixture.app, 0).await;
    // Otherwise the request continued until the route's time-out.
    let metrics = ask(fixture.router.addresses().admin, "/metrics", &[]).await;
    let metric = "answers_total{outcome=\"caller_gone\"} 1";
    assert!(metrics.text().contains(metric), "{}", metrics.text());
}
