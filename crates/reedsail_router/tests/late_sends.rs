//! Requests whose deadline passes while the instance prepares an attempt: the server does not get them, or gets no more
//! time than is left.

mod common;

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::mpsc;
use std::thread::spawn;

use hyper::StatusCode;
use reedsail_dispatch::ServerRecord;
use reedsail_net::Clock;
use reedsail_net::SimulatedSuspension;

use common::Reply;
use common::RouterFixture;
use common::ask;
use common::record;
use common::wait_for;

/// Reads the head of a request; `None` if the connection has ended.
fn read_head(stream: &TcpStream) -> Option<Vec<String>> {
    let lines = BufReader::new(stream).lines();
    let head: Vec<String> = lines
        .map_while(Result::ok)
        .take_while(|line| !line.is_empty())
        .collect();
    (!head.is_empty()).then_some(head)
}

/// Accepts connections, and answers when its server has started only after `before_answer`. Every other request is
/// reported and gets no answer.
fn serve(listener: &TcpListener, before_answer: impl Fn(), requests: &mpsc::Sender<Vec<String>>) {
    for stream in listener.incoming() {
        let mut stream = stream.unwrap();
        while let Some(head) = read_head(&stream) {
            if !head[0].starts_with("GET /start ") {
                requests.send(head).unwrap();
                break;
            }
            before_answer();
            stream
                .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n1")
                .unwrap();
        }
    }
}

/// Asks for a stream while two software versions run. Its server tells when it has started only once `passed_ms` have
/// passed. Returns the reply, and the request if one reached the server.
async fn ask_across(passed_ms: u64, deadline_ms: u64) -> (Option<Reply>, Option<Vec<String>>) {
    let suspension: &SimulatedSuspension = Box::leak(Box::default());
    let fixture = RouterFixture::start_at(Clock::with_simulated_suspension(suspension), |_| {}).await;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, requests) = mpsc::channel();
    spawn(move || serve(&listener, || suspension.suspend(passed_ms), &sender));
    fixture.store.servers.send_modify(|records| {
        let records = records.as_mut().unwrap();
        let first = records.iter_mut().find(|record| record.service == "llm").unwrap();
        first.is_draining = true;
        records.push(ServerRecord {
            address,
            born_ms: Some(1),
            software_version: Some("v2".to_owned()),
            ..record("llm-2", "llm", &fixture.llm)
        });
    });
    let admin = fixture.router.addresses().admin;
    wait_for("second server", async || {
        ask(admin, "/servers", &[]).await.text().contains("llm-2")
    })
    .await;
    let deadline = deadline_ms.to_string();
    let headers = [("reedsail-deadline-ms", deadline.as_str())];
    let asking = ask(fixture.callers(), "/resume/", &headers);
    let received = async {
        let mut received = None;
        wait_for("request", async || {
            received = requests.try_recv().ok();
            received.is_some()
        })
        .await;
        received
    };
    tokio::select! {
        reply = asking => (Some(reply), requests.try_recv().ok()),
        received = received => (None, received),
    }
}

#[tokio::test]
async fn a_request_whose_deadline_has_passed_is_not_sent() {
    let (reply, received) = ask_across(10_000, 8_000).await;
    assert_eq!(received, None);
    assert_eq!(reply.unwrap().status, StatusCode::SERVICE_UNAVAILABLE);
}

#[tokio::test]
async fn a_server_gets_the_time_that_is_left_when_the_request_is_sent() {
    let (_, received) = ask_across(5_000, 8_000).await;
    let head = received.unwrap();
    let deadline = head
        .iter()
        .find_map(|line| line.strip_prefix("reedsail-deadline-ms: "));
    let left_ms: u64 = deadline.unwrap().parse().unwrap();
    assert!(left_ms <= 3_000, "{left_ms} ms");
}
