//! Runs every step of a bundle's publication with the command-line tool against a running fleet.

use std::path::Path;
use std::process::Command;
use std::process::Output;

use reedsail_bench::DaemonSetup;
use reedsail_bench::Fleet;
use reedsail_bench::FleetSetup;
use reedsail_bench::ServiceSetup;
use reedsail_bench::WorkspacePlan;
use reedsail_bundle::KeyRole;
use reedsail_bundle::PublicKey;
use reedsail_bundle::TrustedKey;
use reedsail_daemon::PolicyChoice;
use reedsail_standin::PlatformConfig;

fn reedsail(folder: &Path, arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_reedsail"))
        .current_dir(folder)
        .args(arguments)
        .output()
        .unwrap()
}

fn output_text(output: &Output) -> String {
    let both = [output.stdout.as_slice(), output.stderr.as_slice()].concat();
    String::from_utf8(both).unwrap()
}

fn assert_output(output: &Output, code: i32, expected_text: &str) {
    assert_eq!(output.status.code(), Some(code), "{}", output_text(output));
    assert!(
        output_text(output).contains(expected_text),
        "`{expected_text}` is not in: {}",
        output_text(output)
    );
}

fn make_key(folder: &Path, name: &str, role: KeyRole) -> TrustedKey {
    let file = format!("{name}.key");
    let output = reedsail(folder, &["keys", "new", "--name", name, "--out", &file]);
    assert_output(&output, 0, "trusted_keys");
    let printed = output_text(&output);
    let digits = printed
        .split("key: ")
        .nth(1)
        .and_then(|rest| rest.split('}').next())
        .unwrap();
    let mut key = [0; 32];
    hex::decode_to_slice(digits, &mut key).unwrap();
    TrustedKey {
        name: name.to_owned(),
        role,
        key: PublicKey(key),
    }
}

fn setup() -> FleetSetup {
    FleetSetup {
        name: "cli".to_owned(),
        daemons: vec![DaemonSetup {
            instance: "hall-a-1".to_owned(),
            failure_domain: "hall-a".to_owned(),
        }],
        services: vec![ServiceSetup {
            name: "booking-api".to_owned(),
            model: None,
            path_prefix: Some("/booking/".to_owned()),
            keyed_prefix: None,
            servers_by_domain: [("hall-a".to_owned(), 1)].into(),
            slots: 8,
            token_interval_ms: 0,
        }],
        workspaces: vec![WorkspacePlan {
            name: "labska".to_owned(),
            weight: 1.0,
            queued_max: None,
        }],
    }
}

#[test]
#[allow(clippy::too_many_lines, reason = "each step depends on the previous ones")]
fn a_new_bundle_is_signed_approved_and_published() {
    let folder = tempfile::tempdir().unwrap();
    let folder = folder.path();
    let trusted = [
        make_key(folder, "ada", KeyRole::Author),
        make_key(folder, "ben", KeyRole::Approver),
    ];
    assert_output(
        &reedsail(folder, &["keys", "new", "--name", "ada", "--out", "ada.key"]),
        2,
        "cannot write",
    );
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let fleet = runtime
        .block_on(Fleet::start(
            setup(),
            PolicyChoice::Fleet,
            PlatformConfig::default(),
            |settings| {
                settings.trusted_keys.0.extend(trusted.clone());
            },
        ))
        .unwrap();
    let admin = fleet.daemons["hall-a-1"].addresses().admin.to_string();
    let platform = fleet.platform.address().to_string();
    let base = fleet.bundle_text().to_owned();
    let next = base
        .replace("version: 1", "version: 2")
        .replace("weight: 1", "weight: 5");
    std::fs::write(folder.join("base.yaml"), &base).unwrap();
    std::fs::write(folder.join("next.yaml"), &next).unwrap();
    std::fs::write(folder.join("bad.yaml"), next.replace("weight: 5", "weight: -5")).unwrap();
    assert_output(&reedsail(folder, &["bundle", "new", "new.yaml"]), 0, "written");
    assert_output(
        &reedsail(folder, &["bundle", "check", "new.yaml"]),
        0,
        "no faults",
    );
    assert_output(
        &reedsail(folder, &["bundle", "check", "bad.yaml"]),
        1,
        "`-5` must be a number",
    );
    assert_output(
        &reedsail(folder, &["bundle", "check", "bad.yaml", "--json"]),
        1,
        "\"valid\":false",
    );
    assert_output(
        &reedsail(folder, &["bundle", "check", "none.yaml"]),
        2,
        "cannot read none.yaml",
    );
    assert_output(
        &reedsail(folder, &["bundle", "diff", "base.yaml", "next.yaml"]),
        0,
        "+weight: 5.0",
    );
    let sign = |file: &str| {
        reedsail(
            folder,
            &["bundle", "sign", file, "--key", "ada.key", "--daemon", &admin],
        )
    };
    let approve = |key: &str| reedsail(folder, &["bundle", "approve", "next.yaml", "--key", key]);
    let publish = || {
        reedsail(
            folder,
            &[
                "bundle",
                "publish",
                "next.yaml",
                "--platform",
                &platform,
                "--daemon",
                &admin,
            ],
        )
    };
    assert_output(&sign("base.yaml"), 3, "write `version: 2`");
    assert_output(&sign("next.yaml"), 0, "signed by ada");
    assert_output(&publish(), 1, "is not approved");
    assert_output(&approve("ada.key"), 1, "another person must approve");
    assert_output(&approve("ben.key"), 0, "approved by ben");
    assert_output(&publish(), 0, "version 2 is in force on hall-a-1");
    assert_output(&publish(), 3, "another version came into force");
    assert_output(
        &reedsail(folder, &["bundle", "status", "--daemon", &admin]),
        0,
        "hall-a-1  2",
    );
    assert_output(
        &reedsail(folder, &["fleet", "status", "--daemon", &admin]),
        0,
        "booking-api",
    );
    assert_output(
        &reedsail(folder, &["fleet", "status", "--json", "--daemon", &admin]),
        0,
        "\"bundle_version\":2",
    );
    assert_output(
        &reedsail(folder, &["fleet", "status", "--daemon", "127.0.0.1:1"]),
        4,
        "no answer from",
    );
    assert_output(
        &reedsail(folder, &["timeline", "--daemon", &admin]),
        0,
        "200 bundle_in_force",
    );
    let lines = reedsail(folder, &["timeline", "--json", "--daemon", &admin]);
    std::fs::write(folder.join("events.log"), &lines.stdout).unwrap();
    let chrome = reedsail(folder, &["timeline", "events.log", "--chrome", "trace.json"]);
    assert_output(&chrome, 0, "");
    let trace = std::fs::read_to_string(folder.join("trace.json")).unwrap();
    assert!(trace.contains("traceEvents"));
    std::fs::write(folder.join("next.yaml"), next.replace("weight: 5", "weight: 6")).unwrap();
    assert_output(&approve("ben.key"), 1, "was changed after it was signed");
    assert_output(&reedsail(folder, &["nonsense"]), 2, "unknown command `nonsense`");
    runtime.block_on(fleet.close());
}
