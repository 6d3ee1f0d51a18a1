//! Tests of the committed traces and fault scripts.

use std::path::PathBuf;

use reedsail_bench::FaultScript;
use reedsail_bench::Trace;
use reedsail_bench::make_trace;

fn traces_folder() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../traces")
}

#[test]
fn committed_traces_match_their_generator() {
    for name in ["chatovna", "vatuwaqa"] {
        let text = std::fs::read_to_string(traces_folder().join(format!("{name}.jsonl"))).unwrap();
        let trace = Trace::parse(&text).unwrap();
        assert_eq!(trace, make_trace(name, trace.seed).unwrap(), "{name}");
    }
}

#[test]
fn committed_fault_scripts_are_readable() {
    let mut count = 0;
    for entry in std::fs::read_dir(traces_folder()).unwrap() {
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
fn an_invalid_fault_script_is_rejected() {
    let text = "faults:\n  - {at_ms: 5, fault: explode}\n  - {at_ms: 5, fault: cut, between: [one]}\n";
    let faults = FaultScript::read(text).unwrap_err();
    let messages: Vec<String> = faults.iter().map(ToString::to_string).collect();
    insta::assert_debug_snapshot!(messages);
}
