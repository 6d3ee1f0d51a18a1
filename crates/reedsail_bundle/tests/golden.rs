//! Pins the format of the records of the bundle stream. The log retains records, so later releases must read them.

use reedsail_bundle::BundleRecord;
use reedsail_bundle::SecretKey;
use reedsail_bundle::SignedHead;
use uuid::Uuid;

const GOOD: &str = include_str!("good_bundle.yaml");

fn next_text() -> String {
    GOOD.replace("version: 1", "version: 2")
}

fn head(base: Option<(u32, &str)>, text: &str) -> SignedHead {
    let (author, approver) = (SecretKey::from_bytes([1; 32]), SecretKey::from_bytes([2; 32]));
    let mut head = SignedHead::sign(base, text, "ada", &author);
    head.approve("ben", &approver);
    head
}

fn with_fixed_id(mut record: BundleRecord) -> BundleRecord {
    record.id = Uuid::from_u128(0x0123_4567_89ab_cdef_0123_4567_89ab_cdef);
    record
}

fn recorded_bytes(name: &str) -> Vec<u8> {
    let file = format!(
        "{}/tests/snapshots/golden__{name}.snap",
        env!("CARGO_MANIFEST_DIR")
    );
    let text = std::fs::read_to_string(&file).unwrap_or_else(|error| panic!("{file}: {error}"));
    text.splitn(3, "---\n")
        .nth(2)
        .unwrap()
        .trim_end()
        .as_bytes()
        .to_vec()
}

fn text_of(record: &BundleRecord) -> String {
    String::from_utf8(record.to_bytes()).unwrap()
}

#[test]
fn a_first_proposal_keeps_its_format() {
    let record = with_fixed_id(BundleRecord::propose(head(None, GOOD), None, GOOD));
    insta::assert_snapshot!("whole", text_of(&record));
    let read = BundleRecord::parse(&recorded_bytes("whole")).unwrap();
    assert_eq!(read, record);
    assert_eq!(read.content(None).unwrap(), GOOD);
}

#[test]
fn a_patch_keeps_its_format() {
    let next = next_text();
    let head = head(Some((1, GOOD)), &next);
    let record = with_fixed_id(BundleRecord::propose(head, Some(GOOD), &next));
    insta::assert_snapshot!("patch", text_of(&record));
    let read = BundleRecord::parse(&recorded_bytes("patch")).unwrap();
    assert_eq!(read, record);
    assert_eq!(read.content(Some(GOOD)).unwrap(), next);
}

#[test]
fn a_checkpoint_keeps_its_format() {
    let record = with_fixed_id(BundleRecord::checkpoint(head(None, GOOD), GOOD, 77));
    insta::assert_snapshot!("checkpoint", text_of(&record));
    let read = BundleRecord::parse(&recorded_bytes("checkpoint")).unwrap();
    assert_eq!(read, record);
    assert_eq!(read.content(None).unwrap(), GOOD);
}
