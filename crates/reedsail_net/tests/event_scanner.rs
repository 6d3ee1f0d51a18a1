//! The grammar of server-sent events: where an event ends, and whether a stream ended inside one.

use reedsail_net::EventScanner;

fn is_inside_event(stream: &[u8]) -> bool {
    let mut scanner = EventScanner::default();
    scanner.read(stream);
    scanner.is_inside_event()
}

#[test]
fn a_stream_that_ends_with_a_blank_line_is_between_events() {
    for stream in [
        &b""[..],
        b"data: a\n\n",
        b"data: a\r\n\r\n",
        b"data: a\r\r",
        b"data: a\n\r\n",
        b"data: a\r\n\n",
        b"data: a\r\n\r\n\r\n",
        b"data: a\n\n: wait\n",
        b"data: a\n\n\n",
        b"\xef\xbb\xbf",
        b"\xef\xbb\xbfdata: a\n\n",
        b"\xef\xbb\xbf: wait\n",
    ] {
        assert!(!is_inside_event(stream), "{}", stream.escape_ascii());
    }
}

#[test]
fn a_stream_that_ends_without_its_blank_line_is_inside_an_event() {
    for stream in [
        &b"d"[..],
        b"data: a",
        b"data: a\n",
        b"data: a\r",
        b"data: a\r\n",
        b"data: a\n: wait\n",
        b"data: a\n\n: wai",
        b"data: a\n\nid: 2",
        b"data: a\n\nid: 2\n",
        b"\xef\xbb\xbfdata: a\n",
        b"data: a\n\n\xef\xbb\xbf",
    ] {
        assert!(is_inside_event(stream), "{}", stream.escape_ascii());
    }
}

#[test]
fn the_split_into_reads_changes_nothing() {
    let stream = b"\xef\xbb\xbfdata: a\r\n\r\n: wait\r\rid: 2\ndata: b\n\r\n";
    for cut in 0..=stream.len() {
        let mut scanner = EventScanner::default();
        scanner.read(&stream[..cut]);
        scanner.read(&stream[cut..]);
        assert!(!scanner.is_inside_event(), "cut at {cut}");
    }
}
