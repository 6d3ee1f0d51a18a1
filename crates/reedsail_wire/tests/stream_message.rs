//! Encoding and decoding of stream messages, and how releases that know only load messages read them.

use reedsail_core::NameHash;
use reedsail_dispatch::SoftwareVersion;
use reedsail_dispatch::StreamId;
use reedsail_dispatch::StreamKnowledge;
use reedsail_dispatch::StreamRow;
use reedsail_wire::LoadMessage;
use reedsail_wire::PeerMessage;
use reedsail_wire::StreamAnswer;
use reedsail_wire::StreamMessage;
use reedsail_wire::StreamQuery;

fn row(number: u64) -> StreamRow {
    StreamRow {
        stream: StreamId(number.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        service: NameHash::of("assistant-llm"),
        workspace: NameHash::of("labska"),
        version: SoftwareVersion::of("v1.1"),
        left_ms: 12_000,
    }
}

fn full_message() -> StreamMessage {
    let version = SoftwareVersion::of("v1.1").unwrap();
    let service = NameHash::of("assistant-llm");
    let began = StreamKnowledge::Began {
        service,
        version: Some(version),
    };
    let unusable = StreamKnowledge::Began {
        service,
        version: None,
    };
    let known = [
        StreamKnowledge::Unknown,
        began,
        unusable,
        StreamKnowledge::OnlyVersion(version),
    ];
    StreamMessage {
        rows: vec![
            row(1),
            StreamRow {
                version: None,
                ..row(2)
            },
        ],
        queries: vec![StreamQuery {
            number: 7,
            stream: StreamId(8),
            service,
        }],
        answers: (0..)
            .zip(known)
            .map(|(number, knowledge)| StreamAnswer { number, knowledge })
            .collect(),
    }
}

#[test]
fn a_stream_message_is_read_as_it_was_written() {
    let message = full_message();
    let read = PeerMessage::decode(&message.encode().unwrap()).unwrap();
    assert_eq!(read, PeerMessage::Streams(message));
}

#[test]
fn a_release_that_knows_only_load_messages_refuses_it() {
    assert!(LoadMessage::decode(&full_message().encode().unwrap()).is_err());
}

#[test]
fn a_load_message_is_not_taken_for_a_stream_message() {
    // The first byte of a load message describes its segment table, whose first half is zero.
    for byte in 0..=u8::MAX {
        let bytes = [byte, 0, 0, 0];
        let is_streams = matches!(PeerMessage::decode(&bytes), Ok(PeerMessage::Streams(_)));
        assert!(!is_streams || byte == 0xff);
    }
}

#[test]
fn damaged_bytes_are_refused_or_read_but_never_panic() {
    let bytes = full_message().encode().unwrap();
    for length in 0..bytes.len() {
        let _ = PeerMessage::decode(&bytes[..length]);
        let mut flipped = bytes.clone();
        flipped[length] ^= 0x55;
        let _ = PeerMessage::decode(&flipped);
    }
}

#[test]
fn the_bytes_keep_their_form() {
    let bytes = full_message().encode().unwrap();
    insta::assert_snapshot!("stream_message", format!("{bytes:02x?}"));
}

#[test]
fn one_row_fits_in_eighty_bytes() {
    let message = StreamMessage {
        rows: vec![row(1)],
        ..StreamMessage::default()
    };
    let bytes = message.encode().unwrap().len();
    assert!(bytes <= 80, "{bytes} bytes");
}
