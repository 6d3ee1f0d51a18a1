//! The committed traces and fault scripts.

use std::path::PathBuf;

use reedsail_bench::FaultScript;
use reedsail_bench::Trace;
use reedsail_bench::make_trace;

fn traces() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../traces")
}

#[test]
fn committed_traces_are_what_their_seed_makes() {
    for name in ["chatovna", "vatuwaqa"] {
        let text = std::fs::read_to_string(traces().join(format!("{name}.jsonl"))).unwrap();
        let trace = Trace::parse(&text).unwrap();
        assert_eq!(trace, make_trace(name, trace.seed).unwrap(), "{name}");
    }
}

#[test]
fn committed_fault_scripts_are_readable() {
    let mut count = 0;
    for entry in std::fs::read_dir(traces()).unwrap() {
        let path = entry.unwrap().path();
        if path.extension().is_some_and(|extension| extension == "yaml") {
            let text = std::fs::read_to_string(&path).unwrap();
            FaultScript::read(&text).unwrap_or_else(|faults| panic!("{}: {faults:?}", path.display()));
            count += 1;
        }
    }
    assert!(count >= 8, "{count} scripts");
}

#[test]
fn a_script_with_faults_of_its_own_is_refused() {
    let text = "faults:\n  - {at_ms: 5, fault: explode}\n  - {at_ms: 5, fault: cut, between: [one]}\n";
    let faults = FaultScript::read(text).unwrap_err();
    let messages: Vec<String> = faults.iter().map(ToString::to_string).collect();
    insta::assert_debug_snapshot!(messages);
}
