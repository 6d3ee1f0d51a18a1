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

// The release before ran after a fix, from a build folder that was carried over beside sources with older dates.
#[test]
fn the_deploy_build_over_the_folder_of_another_release_compiles_this_one() {
    let workspace = SourceWorkspace::create();
    assert_eq!(workspace.deploy_build().run().answer, "one");
    workspace.write_with_old_date(CORE, "pub const ANSWER: &str = \"two\";\n");
    assert_eq!(workspace.deploy_build().run().answer, "two");
    assert_is_that_of_a_new_folder(&workspace);
}

// The program of other sources stays if only the list of sources, a name with a blank or another kind of file changes.
#[test]
fn the_deploy_build_notices_every_change_whatever_its_date() {
    let workspace = SourceWorkspace::create();
    let core = "pub const ANSWER: &str = include_str!(\"with blank.txt\");\n";
    workspace.write(CORE, core);
    workspace.write("crates/reedsail_core/src/with blank.txt", "one");
    workspace.write("crates/reedsail_core/src/unused.rs", "");
    assert_eq!(workspace.deploy_build().run().answer, "one");
    let lock = workspace.read("Cargo.lock");
    let manifest = workspace.read("Cargo.toml");
    let profile = format!("{manifest}\n[profile.release]\nopt-level = 1\n");
    let changes: [&dyn Fn(); 4] = [
        &|| workspace.write_with_old_date("crates/reedsail_core/src/with blank.txt", "two"),
        &|| workspace.remove("crates/reedsail_core/src/unused.rs"),
        &|| workspace.write_with_old_date("Cargo.lock", &format!("# changed\n{lock}")),
        &|| workspace.write_with_old_date("Cargo.toml", &profile),
    ];
    for change in changes {
        change();
        workspace.deploy_build();
        assert_is_that_of_a_new_folder(&workspace);
    }
    assert_eq!(workspace.run().answer, "two");
}

// A build of other sources that was broken off, or made without the deploy file, leaves packages that look new.
#[test]
fn the_deploy_build_takes_no_package_that_another_build_left() {
    for package in ["reedsail_core", "reedsail_adapter"] {
        let workspace = SourceWorkspace::create();
        workspace.deploy_build();
        let core = workspace.read(CORE);
        workspace.write(CORE, "pub const ANSWER: &str = \"two\";\n");
        workspace.run_to_success(&format!("cargo build --release --locked --offline -p {package}"));
        workspace.write_with_old_date(CORE, &core);
        assert_eq!(workspace.deploy_build().run().answer, "one", "{package}");
        assert_is_that_of_a_new_folder(&workspace);
    }
}

// The program of other sources must neither stay after a build that failed nor count as complete in the next one.
#[test]
fn a_deploy_build_that_fails_leaves_no_program() {
    let workspace = SourceWorkspace::create();
    workspace.deploy_build();
    let core = workspace.read(CORE);
    workspace.write(CORE, "not a program");
    assert!(!workspace.run_command(&workspace.deploy_command()));
    assert!(!workspace.has_program());
    workspace.write_with_old_date(CORE, &core);
    assert_eq!(workspace.deploy_build().run().answer, "one");
    assert_is_that_of_a_new_folder(&workspace);
}

#[test]
fn the_deploy_build_compiles_nothing_if_nothing_changed_and_writes_under_target_alone() {
    let workspace = SourceWorkspace::create();
    let before = workspace.entries();
    workspace.deploy_build();
    let date = workspace.date_of_program();
    workspace.deploy_build();
    assert_eq!(workspace.date_of_program(), date);
    let mut after = workspace.entries();
    after.retain(|name| name != "target");
    assert_eq!(after, before);
}

/// Asserts that the program is the one that a folder without an earlier build gets.
fn assert_is_that_of_a_new_folder(workspace: &SourceWorkspace) {
    let built = workspace.run();
    workspace.rename("target", "set-aside");
    let anew = workspace.cargo_build().run();
    workspace.remove("target");
    workspace.rename("set-aside", "target");
    assert_eq!(built, anew);
}
