//! Connecting on a thread that is late.

use std::net::TcpListener;
use std::time::Duration;

use reedsail_net::HttpConnection;
use tokio::task::yield_now;

/// Limit of a connect, in milliseconds.
const LIMIT_MS: u64 = 50;

/// Keeps the thread from other tasks for twice the limit at a time.
async fn block_thread() {
    loop {
        std::thread::sleep(Duration::from_millis(2 * LIMIT_MS));
        yield_now().await;
    }
}

#[tokio::test]
async fn a_connect_of_a_late_thread_to_a_listening_server_succeeds() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let blocking = tokio::spawn(block_thread());
    let opened = HttpConnection::open_ready(address, LIMIT_MS).await;
    blocking.abort();
    assert!(opened.is_ok(), "{:?}", opened.err());
}
