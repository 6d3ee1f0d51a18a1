//! Answers of instances to the tool that are cut: none may be taken for a whole one.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::process::Command;
use std::thread;

/// Lines of events without a length or chunks, as a cut answer leaves them.
const CUT_EVENTS: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{\"clock\":1,\"unix_ms\":1,\"instance\":\"a\",\"number\":100,\"name\":\"daemon_started\",\"fields\":{}}\n";

#[test]
fn a_timeline_without_a_frame_is_refused() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let read = stream.read(&mut [0; 1_024]).unwrap();
        assert!(read > 0);
        stream.write_all(CUT_EVENTS.as_bytes()).unwrap();
    });
    let output = Command::new(env!("CARGO_BIN_EXE_reedsail"))
        .args(["timeline", "--daemon", &address.to_string()])
        .output()
        .unwrap();
    server.join().unwrap();
    let text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(4), "{text}");
    assert!(text.contains("neither a length nor chunks"), "{text}");
}
