//! Builds a small workspace with the project's build script and deploy file.

mod source_workspace;

use source_workspace::SourceWorkspace;

const CORE: &str = "crates/reedsail_core/src/lib.rs";
const NET: &str = "crates/reedsail_net/src/lib.rs";

#[test]
fn the_digest_is_that_of_the_compiled_sources() {
    let workspace = SourceWorkspace::create();
    let before = workspace.cargo_build().run();
    workspace.write_with_old_date(CORE, "pub const ANSWER: &str = \"two\";\n");
    let stale = workspace.cargo_build().run();
    assert_eq!(stale, before, "Cargo compares dates only");

    // Cargo compiles this package and its dependents, and not the one whose file has an old date.
    workspace.append(NET, "// changed\n");
    let mixed = workspace.cargo_build().run();
    assert_eq!(mixed.answer, "one");
    workspace.remove("target");
    let after = workspace.cargo_build().run();
    assert_eq!(after.answer, "two");
    assert_ne!(mixed.sources, before.sources);
    assert_ne!(mixed.sources, after.sources);
}

#[test]
fn a_package_compiled_for_its_dependency_has_the_digest_of_its_own_sources() {
    let workspace = SourceWorkspace::create();
    workspace.cargo_build();
    workspace.write_with_old_date(NET, "pub use reedsail_core::ANSWER;\n// changed\n");
    workspace.append(CORE, "// changed\n");
    let rebuilt = workspace.cargo_build().run();
    workspace.remove("target");
    assert_eq!(rebuilt, workspace.cargo_build().run());
}

#[test]
fn every_change_of_the_sources_changes_the_digest() {
    let workspace = SourceWorkspace::create();
    let mut digests = vec![workspace.cargo_build().run().sources];
    let lock = workspace.read("Cargo.lock");
    let changes: [&dyn Fn(); 7] = [
        &|| workspace.append(CORE, "// changed\n"),
        &|| workspace.append("crates/reedsail_net/Cargo.toml", "# changed\n"),
        &|| workspace.append("Cargo.toml", "\n[profile.release]\nopt-level = 1\n"),
        &|| workspace.write("Cargo.lock", &format!("# changed\n{lock}")),
        &|| workspace.write("crates/reedsail_core/src/deep/with blank.rs", ""),
        &|| workspace.write("crates/reedsail_core/src/deep/other.rs", ""),
        &|| workspace.remove("crates/reedsail_core/src/deep/with blank.rs"),
    ];
    for change in changes {
        change();
        digests.push(workspace.cargo_build().run().sources);
    }
    let count = digests.len();
    digests.sort();
    digests.dedup();
    assert_eq!(digests.len(), count, "{digests:?}");
}

#[test]
fn the_same_sources_have_the_same_digest_in_every_folder() {
    let first = SourceWorkspace::create().cargo_build().run();
    let second = SourceWorkspace::create().cargo_build().run();
    assert_eq!(first, second);
}
