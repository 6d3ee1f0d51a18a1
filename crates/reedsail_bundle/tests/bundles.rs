//! Parsing and signing bundles, and following the bundle stream.

use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::proptest;
use reedsail_bundle::BundleFollower;
use reedsail_bundle::BundleRecord;
use reedsail_bundle::Followed;
use reedsail_bundle::KeyRole;
use reedsail_bundle::RecordBody;
use reedsail_bundle::RecordError;
use reedsail_bundle::SecretKey;
use reedsail_bundle::SignedHead;
use reedsail_bundle::TrustedKey;
use reedsail_bundle::TrustedKeys;
use reedsail_bundle::diff_bundles;
use reedsail_bundle::read_bundle;
use reedsail_document::render_faults;
use reedsail_scheduling::FoldVerdict;

const GOOD: &str = include_str!("good_bundle.yaml");
const BAD: &str = include_str!("bad_bundle.yaml");

fn keys() -> (SecretKey, SecretKey) {
    (SecretKey::from_bytes([1; 32]), SecretKey::from_bytes([2; 32]))
}

fn trusted() -> TrustedKeys {
    let (author, approver) = keys();
    let trust = |name: &str, role, key: &SecretKey| TrustedKey {
        name: name.to_owned(),
        role,
        key: key.public(),
    };
    TrustedKeys(vec![
        trust("ada", KeyRole::Author, &author),
        trust("ben", KeyRole::Approver, &approver),
        trust("ada", KeyRole::Approver, &author),
        trust("eve", KeyRole::Approver, &author),
    ])
}

fn text(version: u32) -> String {
    GOOD.replace("version: 1", &format!("version: {version}"))
}

fn signed(base: Option<(u32, &str)>, text: &str) -> SignedHead {
    let (author, approver) = keys();
    let mut head = SignedHead::sign(base, text, "ada", &author);
    head.approve("ben", &approver);
    head
}

fn proposal(base_version: u32) -> BundleRecord {
    let text = text(base_version + 1);
    if base_version == 0 {
        return BundleRecord::propose(signed(None, &text), None, &text);
    }
    let base = self::text(base_version);
    BundleRecord::propose(signed(Some((base_version, &base)), &text), Some(&base), &text)
}

#[test]
fn a_good_bundle_is_read() {
    let bundle = read_bundle(GOOD).unwrap();
    insta::assert_debug_snapshot!(bundle);
}

#[test]
fn every_fault_is_reported_with_line_and_path() {
    let faults = read_bundle(BAD).unwrap_err();
    insta::assert_snapshot!(render_faults(&faults));
}

#[test]
fn a_diff_names_what_changes() {
    let base = read_bundle(GOOD).unwrap();
    let next = read_bundle(
        &text(2)
            .replace("weight: 2", "weight: 3")
            .replace("lucni", "martinovka"),
    )
    .unwrap();
    insta::assert_debug_snapshot!(diff_bundles(&base, &next));
}

#[test]
fn signatures_must_come_from_two_trusted_people() {
    let (author, approver) = keys();
    let text = text(1);
    let unsigned = SignedHead::sign(None, &text, "ada", &author);
    assert_eq!(unsigned.verify(&trusted()), Err(RecordError::NotApproved));
    let mut self_approved = unsigned.clone();
    self_approved.approve("ada", &author);
    assert_eq!(
        self_approved.verify(&trusted()),
        Err(RecordError::SelfApproval("ada".to_owned()))
    );
    let mut same_key = unsigned.clone();
    same_key.approve("eve", &author);
    assert_eq!(
        same_key.verify(&trusted()),
        Err(RecordError::SelfApproval("eve".to_owned()))
    );
    let mut wrong = unsigned.clone();
    wrong.approve("ben", &author);
    assert_eq!(
        wrong.verify(&trusted()),
        Err(RecordError::WrongSignature("ben".to_owned()))
    );
    let mut unknown = unsigned.clone();
    unknown.approve("mallory", &approver);
    let error = unknown.verify(&trusted()).unwrap_err();
    insta::assert_snapshot!(error, @"`mallory` is not a trusted approver; add the key to `trusted_keys` in the settings");
    let mut good = unsigned;
    good.approve("ben", &approver);
    assert_eq!(good.verify(&trusted()), Ok(()));
    good.digest = good.digest.replace(|digit: char| digit.is_ascii_digit(), "0");
    assert_eq!(
        good.verify(&trusted()),
        Err(RecordError::WrongSignature("ada".to_owned()))
    );
}

#[test]
fn the_first_valid_successor_wins_and_a_duplicate_is_ignored() {
    let mut follower = BundleFollower::new(trusted());
    let first = proposal(0).to_bytes();
    assert!(matches!(follower.follow(0, &first), Followed::InForce(accepted) if accepted.version == 1));
    let base = text(1);
    let winner = text(2);
    let competitor = format!("{winner}# another\n");
    let propose =
        |text: &str| BundleRecord::propose(signed(Some((1, &base)), text), Some(&base), text).to_bytes();
    assert!(
        matches!(follower.follow(1, &propose(&winner)), Followed::InForce(accepted) if accepted.version == 2)
    );
    assert_eq!(
        follower.follow(2, &propose(&winner)),
        Followed::Unchanged(FoldVerdict::AlreadyKnown)
    );
    assert_eq!(
        follower.follow(3, &propose(&competitor)),
        Followed::Unchanged(FoldVerdict::Stale)
    );
    assert_eq!(follower.content(), Some(winner.as_str()));
    assert_eq!(follower.next_offset(), 4);
}

#[test]
fn a_tampered_record_is_skipped() {
    let mut follower = BundleFollower::new(trusted());
    let mut record = proposal(0);
    if let RecordBody::Whole(content) = &mut record.body {
        *content = match proposal(1).body {
            RecordBody::Patch(_) | RecordBody::Checkpoint { .. } => "AAAA".to_owned(),
            RecordBody::Whole(other) => other,
        };
    }
    assert!(matches!(
        follower.follow(0, &record.to_bytes()),
        Followed::Invalid(_)
    ));
    assert!(matches!(
        follower.follow(1, b"not json"),
        Followed::Invalid(RecordError::Unreadable(_))
    ));
    assert!(matches!(
        follower.follow(2, &proposal(0).to_bytes()),
        Followed::InForce(_)
    ));
}

#[test]
fn a_late_reader_starts_from_a_checkpoint() {
    let mut early = BundleFollower::new(trusted());
    early.follow(0, &proposal(0).to_bytes());
    early.follow(1, &proposal(1).to_bytes());
    let checkpoint = early.checkpoint().unwrap().to_bytes();
    let mut late = BundleFollower::new(trusted());
    late.note_truncation(1);
    assert_eq!(
        late.follow(1, &proposal(1).to_bytes()),
        Followed::Unchanged(FoldVerdict::MissingRecords)
    );
    assert!(matches!(late.follow(2, &checkpoint), Followed::InForce(accepted) if accepted.version == 2));
    assert_eq!(late.content(), early.content());
    assert!(
        matches!(late.follow(3, &proposal(2).to_bytes()), Followed::InForce(accepted) if accepted.version == 3)
    );
}

#[test]
fn a_peers_checkpoint_never_lowers_the_version() {
    let mut ahead = BundleFollower::new(trusted());
    ahead.follow(0, &proposal(0).to_bytes());
    let old = ahead.checkpoint().unwrap().to_bytes();
    ahead.follow(1, &proposal(1).to_bytes());
    assert_eq!(ahead.learn(&old), Ok(false));
    assert_eq!(ahead.in_force().unwrap().version, 2);
    let mut fresh = BundleFollower::new(trusted());
    assert_eq!(fresh.learn(&ahead.checkpoint().unwrap().to_bytes()), Ok(true));
    assert_eq!(fresh.in_force(), ahead.in_force());
    assert_eq!(
        fresh.next_offset(),
        2,
        "records that the peer has read do not need to be read again"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, ..ProptestConfig::default() })]

    /// No text makes the parser panic, and each accepted bundle has the positive weights that every instance relies on.
    #[test]
    fn any_text_is_parsed_or_rejected(position in 0..GOOD.len(), byte in any::<u8>()) {
        let mut bytes = GOOD.as_bytes().to_vec();
        bytes[position] = byte;
        if let Ok(text) = String::from_utf8(bytes) {
            match read_bundle(&text) {
                Ok(bundle) => assert!(bundle.workspaces.values().all(|workspace| workspace.weight > 0.0)),
                Err(faults) => assert!(!faults.is_empty()),
            }
        }
    }

    /// No record makes a follower panic.
    #[test]
    fn any_record_is_followed_or_skipped(position in 0..400_usize, byte in any::<u8>()) {
        let mut bytes = proposal(0).to_bytes();
        let position = position % bytes.len();
        bytes[position] = byte;
        let mut follower = BundleFollower::new(trusted());
        follower.follow(0, &bytes);
        assert_eq!(follower.next_offset(), 1);
    }
}
