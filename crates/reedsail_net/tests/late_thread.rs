//! Requests on a thread that is late: each time that a task waits for the next turn of the thread costs its caller.

use std::cell::Cell;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use reedsail_net::ByteCounter;
use reedsail_net::HttpConnection;
use tokio::task::LocalSet;
use tokio::task::spawn_local;
use tokio::task::yield_now;

/// Limit of a connect, in milliseconds.
const LIMIT_MS: u64 = 50;
/// Turns of the thread until the head of a response arrives on a new connection: one to connect, one for the connection's
/// task to write the request, one to read the response, and one to pass it on.
const TURNS_MAX: u32 = 4;

/// Keeps the thread from other tasks for twice the limit in each of its turns, and counts the turns.
async fn block_thread(turns: Rc<Cell<u32>>) {
    loop {
        std::thread::sleep(Duration::from_millis(2 * LIMIT_MS));
        turns.set(turns.get() + 1);
        yield_now().await;
    }
}

/// Starts a server on a thread of its own that answers one request.
fn start_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let lines = BufReader::new(&stream).lines();
        let head = lines.take_while(|line| !line.as_ref().unwrap().is_empty());
        assert!(head.count() > 0);
        stream
            .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
            .unwrap();
    });
    address
}

#[tokio::test]
async fn a_request_on_a_new_connection_waits_for_few_turns_of_a_late_thread() {
    let address = start_server();
    let turns = Rc::new(Cell::new(0));
    let counted = Rc::clone(&turns);
    let asking = async move {
        let blocking = spawn_local(block_thread(Rc::clone(&turns)));
        let opening = HttpConnection::open(address, LIMIT_MS, ByteCounter::default());
        let mut connection = opening.await.unwrap();
        let request = Request::get("/").body(Full::<Bytes>::default()).unwrap();
        let response = connection.send(request).await.unwrap();
        blocking.abort();
        assert_eq!(response.status(), 200);
    };
    LocalSet::new().run_until(asking).await;
    assert!(counted.get() <= TURNS_MAX, "{} turns", counted.get());
}
