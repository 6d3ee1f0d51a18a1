//! A small workspace in a temporary folder with the project's build script and deploy file.

use std::collections::BTreeSet;
use std::fs;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;
use std::time::SystemTime;

use tempfile::TempDir;

/// How much older than a build the date of a file is made.
const OLD: Duration = Duration::from_hours(24);

/// The project's files that the workspace has.
const COPIED: [&str; 3] = ["build/source_digest.rs", "deploy/system.toml", "deploy/build.sh"];

/// The program that is built.
const PROGRAM: &str = "target/release/reedsail-router";

/// What the program of the workspace prints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Printed {
    /// A constant from the sources of its last dependency.
    pub(crate) answer: String,
    /// The digest of its sources.
    pub(crate) sources: String,
}

/// The workspace, with the packages `reedsail_core`, `reedsail_net` and `reedsail_adapter`, each of which depends on the
/// one before.
pub(crate) struct SourceWorkspace {
    folder: TempDir,
}

impl SourceWorkspace {
    pub(crate) fn create() -> Self {
        let workspace = Self {
            folder: tempfile::tempdir().unwrap(),
        };
        for name in COPIED {
            let text = fs::read_to_string(project().join(name)).unwrap();
            workspace.write(name, &text);
        }
        workspace.write(
            "Cargo.toml",
            "[workspace]\nresolver = \"3\"\nmembers = [\"crates/*\", \"platform\"]\n",
        );
        workspace.write_package("crates/reedsail_core", "reedsail_core", "");
        workspace.write(
            "crates/reedsail_core/src/lib.rs",
            "pub const ANSWER: &str = \"one\";\n",
        );
        let core = "reedsail_core = { path = \"../reedsail_core\" }\n";
        workspace.write_package("crates/reedsail_net", "reedsail_net", core);
        workspace.write(
            "crates/reedsail_net/src/lib.rs",
            "pub use reedsail_core::ANSWER;\n",
        );
        let net = "reedsail_net = { path = \"../crates/reedsail_net\" }\n\n\
                   [[bin]]\nname = \"reedsail-router\"\npath = \"src/main.rs\"\n";
        workspace.write_package("platform", "reedsail_adapter", net);
        workspace.write(
            "platform/src/main.rs",
            "fn main() { println!(\"{} {}\", reedsail_net::ANSWER, env!(\"REEDSAIL_SOURCES\")); }\n",
        );
        workspace.run_to_success("cargo generate-lockfile --offline");
        workspace
    }

    fn write_package(&self, folder: &str, name: &str, dependencies: &str) {
        let script = if folder == "platform" {
            "../build"
        } else {
            "../../build"
        };
        let manifest = format!(
            "[package]\nname = \"{name}\"\nversion = \"1.2.3\"\nedition = \"2024\"\n\
             build = \"{script}/source_digest.rs\"\nlinks = \"{name}\"\n\n[dependencies]\n{dependencies}"
        );
        self.write(&format!("{folder}/Cargo.toml"), &manifest);
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    pub(crate) fn read(&self, name: &str) -> String {
        fs::read_to_string(self.path(name)).unwrap()
    }

    pub(crate) fn write(&self, name: &str, text: &str) {
        let path = self.path(name);
        fs::create_dir_all(path.parent().unwrap()).unwrap();
        fs::write(path, text).unwrap();
    }

    /// Writes a file and gives it a date from before every build, as an archive or a copy that keeps dates does.
    pub(crate) fn write_with_old_date(&self, name: &str, text: &str) {
        self.write(name, text);
        let file = File::options().write(true).open(self.path(name)).unwrap();
        file.set_modified(SystemTime::now() - OLD).unwrap();
    }

    pub(crate) fn append(&self, name: &str, text: &str) {
        let mut file = File::options().append(true).open(self.path(name)).unwrap();
        file.write_all(text.as_bytes()).unwrap();
    }

    /// Removes a file or a folder with everything in it.
    pub(crate) fn remove(&self, name: &str) {
        let path = self.path(name);
        if path.is_dir() {
            fs::remove_dir_all(path).unwrap();
        } else {
            fs::remove_file(path).unwrap();
        }
    }

    /// Runs a command of the shell in the workspace. Returns whether it succeeded.
    pub(crate) fn run_command(&self, command: &str) -> bool {
        let status = Command::new("sh")
            .args(["-c", command])
            .current_dir(self.folder.path())
            .env_remove("CARGO_TARGET_DIR")
            .status()
            .unwrap();
        status.success()
    }

    pub(crate) fn run_to_success(&self, command: &str) {
        assert!(self.run_command(command), "`{command}` failed");
    }

    /// Builds the program with Cargo alone.
    pub(crate) fn cargo_build(&self) -> &Self {
        self.run_to_success("cargo build --release --locked --offline -p reedsail_adapter");
        self
    }

    /// Returns the command with which the deploy file builds the program.
    pub(crate) fn deploy_command(&self) -> String {
        let deploy_file = self.read("deploy/system.toml");
        let line = deploy_file
            .lines()
            .find_map(|line| line.strip_prefix("build = \""));
        line.and_then(|rest| rest.strip_suffix('"')).unwrap().to_owned()
    }

    /// Builds the program as the deploy file says.
    pub(crate) fn deploy_build(&self) -> &Self {
        self.run_to_success(&self.deploy_command());
        self
    }

    pub(crate) fn has_program(&self) -> bool {
        self.path(PROGRAM).exists()
    }

    /// Returns the date of the program that was built last.
    pub(crate) fn date_of_program(&self) -> SystemTime {
        let program = fs::metadata(self.path(PROGRAM)).unwrap();
        program.modified().unwrap()
    }

    /// Returns the names in the folder of the workspace.
    pub(crate) fn entries(&self) -> BTreeSet<String> {
        let entries = fs::read_dir(self.folder.path()).unwrap();
        entries
            .map(|entry| entry.unwrap().file_name().into_string().unwrap())
            .collect()
    }

    pub(crate) fn rename(&self, from: &str, to: &str) {
        fs::rename(self.path(from), self.path(to)).unwrap();
    }

    /// Runs the program.
    pub(crate) fn run(&self) -> Printed {
        let output = Command::new(self.path(PROGRAM)).output().unwrap();
        let text = String::from_utf8(output.stdout).unwrap();
        let (answer, sources) = text.trim_end().split_once(' ').unwrap();
        Printed {
            answer: answer.to_owned(),
            sources: sources.to_owned(),
        }
    }
}

fn project() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}
