//! Answers of instances to the tool that are cut or have a spoilt head: none may be taken for a whole one.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::process::Command;
use std::thread;

/// Lines of events without a length or chunks, as a cut answer leaves them.
const CUT_EVENTS: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{\"clock\":1,\"unix_ms\":1,\"instance\":\"a\",\"number\":100,\"name\":\"daemon_started\",\"fields\":{}}\n";

/// The same lines, in a chunk whose coding is spoilt.
const SPOILT_CODING: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunXed\r\n\r\n2\r\n{}\r\n0\r\n\r\n";
/// A line that is longer than its head says.
const SPOILT_LENGTH: &str = "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n\n{\"clock\":1}\n";

/// Asks an instance that gives an answer for its timeline. Returns the exit code and what the tool says.
fn ask_timeline(answer: &'static str) -> (Option<i32>, String) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let read = stream.read(&mut [0; 1_024]).unwrap();
        assert!(read > 0);
        stream.write_all(answer.as_bytes()).unwrap();
    });
    let output = Command::new(env!("CARGO_BIN_EXE_reedsail"))
        .args(["timeline", "--daemon", &address.to_string()])
        .output()
        .unwrap();
    server.join().unwrap();
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    (output.status.code(), text)
}

#[test]
fn a_timeline_without_a_frame_is_refused() {
    let (code, text) = ask_timeline(CUT_EVENTS);
    assert_eq!(code, Some(4), "{text}");
    assert!(text.contains("neither a length nor chunks"), "{text}");
}

#[test]
fn a_timeline_with_a_spoilt_head_is_refused() {
    for answer in [SPOILT_CODING, SPOILT_LENGTH] {
        let (code, text) = ask_timeline(answer);
        assert_eq!(code, Some(4), "{answer:?}: {text}");
        assert!(text.contains("no answer from the instance"), "{answer:?}: {text}");
    }
}
