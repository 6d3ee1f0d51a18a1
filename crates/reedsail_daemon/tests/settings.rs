//! Parses settings of the daemon and checks the reported faults.

use reedsail_daemon::PolicyChoice;
use reedsail_daemon::Settings;
use reedsail_document::render_faults;

const MINIMAL_SETTINGS: &str = "\
instance: hall-a-1
failure_domain: hall-a
listen: {callers: '127.0.0.1:8080', peers: '127.0.0.1:8081', admin: '127.0.0.1:8082'}
platform: 127.0.0.1:7000
trusted_keys:
  - {name: ada, role: author, key: 1111111111111111111111111111111111111111111111111111111111111111}
  - {name: ben, role: approver, key: 2222222222222222222222222222222222222222222222222222222222222222}
";

#[test]
fn minimal_settings_are_accepted() {
    let settings = Settings::read(MINIMAL_SETTINGS).unwrap();
    insta::assert_debug_snapshot!(settings);
}

#[test]
fn every_fault_names_the_key_the_value_and_what_is_allowed() {
    let bad = MINIMAL_SETTINGS
        .replace("8080'", "port'")
        .replace("role: approver", "role: boss")
        .replace("platform: 127.0.0.1:7000", "platform: here")
        + "traffic_threads: 0\npolicy: split\nlimits: {body_bytes_max: -1, colour: red}\ncontrol: {lease_ms: 1}\n";
    let faults = Settings::read(&bad).unwrap_err();
    insta::assert_snapshot!(render_faults(&faults));
}

#[test]
fn the_split_policy_reads_the_number_of_daemons() {
    let settings = Settings::read(&format!("{MINIMAL_SETTINGS}policy: split\nsplit_daemons: 9\n")).unwrap();
    assert_eq!(settings.policy, PolicyChoice::Split { daemons: 9 });
}
