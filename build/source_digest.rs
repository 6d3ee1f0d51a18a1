//! Build script of every package that a program of the project consists of. Digests the package's sources.
//!
//! A digest covers the sources of the package, the workspace's manifest and lock file, and the digests of the
//! project's packages that this one depends on. So the digest of a program covers everything of the project that was
//! compiled into it. Cargo runs this script again and compiles the package anew in the same cases, so the digest is that
//! of the sources that were compiled, even if the folder has changed since.
//!
//! Cargo passes the digests between packages as metadata, which needs a `links` key in each manifest. It must
//! be the name of the package.

use std::env;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

/// The text of this script: a change of the method changes every digest.
const SCRIPT: &[u8] = include_bytes!("source_digest.rs");

/// How the names of the project's packages begin.
const OWN_PREFIX: &str = "reedsail_";

/// Files of the workspace that decide what is compiled and how.
const WORKSPACE_FILES: [&str; 2] = ["Cargo.toml", "Cargo.lock"];

/// 64-bit FNV-1a, from <http://www.isthe.com/chongo/tech/comp/fnv/>.
struct Fnv(u64);

impl Fnv {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;

    fn new() -> Self {
        Self(Self::OFFSET_BASIS)
    }

    /// Adds a part with its length, so that no two lists of parts have the same bytes.
    fn add(&mut self, part: &[u8]) {
        let length = (part.len() as u64).to_le_bytes();
        for byte in length.iter().chain(part) {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(Self::PRIME);
        }
    }
}

fn main() {
    let package = PathBuf::from(env::var_os("CARGO_MANIFEST_DIR").expect("Cargo sets the package's folder"));
    let workspace = workspace_of(&package);
    let mut digest = Fnv::new();
    digest.add(SCRIPT);
    for name in WORKSPACE_FILES {
        add_file(&mut digest, &workspace, Path::new(name));
    }
    add_file(&mut digest, &package, Path::new("Cargo.toml"));
    println!("cargo::rerun-if-changed={}", package.join("src").display());
    for source in files_under(&package, Path::new("src")) {
        add_file(&mut digest, &package, &source);
    }
    for dependency in own_dependencies(&package) {
        digest.add(dependency.as_bytes());
        digest.add(digest_of(&dependency).as_bytes());
    }
    println!("cargo::metadata=sources={:016x}", digest.0);
    println!("cargo::rustc-env=REEDSAIL_SOURCES={:016x}", digest.0);
}

/// Returns the folder of the workspace, the nearest one above the package with a lock file.
fn workspace_of(package: &Path) -> PathBuf {
    let workspace = package
        .ancestors()
        .find(|folder| folder.join("Cargo.lock").is_file());
    workspace.expect("the workspace has a lock file").to_owned()
}

/// Adds the name and the content of a file.
fn add_file(digest: &mut Fnv, folder: &Path, name: &Path) {
    let path = folder.join(name);
    println!("cargo::rerun-if-changed={}", path.display());
    let content = fs::read(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    digest.add(name.as_os_str().as_encoded_bytes());
    digest.add(&content);
}

/// Returns the paths of all files under a folder of the package in a fixed order, relative to the package.
fn files_under(package: &Path, folder: &Path) -> Vec<PathBuf> {
    let path = package.join(folder);
    let entries = fs::read_dir(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    let mut names: Vec<_> = entries
        .map(|entry| folder.join(entry.expect("the entry is readable").file_name()))
        .collect();
    names.sort();
    let mut files = Vec::new();
    for name in names {
        if package.join(&name).is_dir() {
            files.extend(files_under(package, &name));
        } else {
            files.push(name);
        }
    }
    files
}

/// Returns the names of the project's packages that the package depends on, in a fixed order.
fn own_dependencies(package: &Path) -> Vec<String> {
    let manifest = fs::read_to_string(package.join("Cargo.toml")).expect("the manifest is text");
    let mut dependencies: Vec<String> = manifest
        .lines()
        .skip_while(|line| line.trim() != "[dependencies]")
        .skip(1)
        .take_while(|line| !line.starts_with('['))
        .filter(|line| line.starts_with(OWN_PREFIX))
        .filter_map(|line| line.split(['.', ' ', '=']).next())
        .map(str::to_owned)
        .collect();
    dependencies.sort();
    dependencies
}

/// Returns the digest that the build script of a package has passed on.
fn digest_of(dependency: &str) -> String {
    let variable = format!("DEP_{}_SOURCES", dependency.to_uppercase());
    env::var(&variable).unwrap_or_else(|_| {
        panic!("{dependency} has no digest: give its manifest the build and links keys of this one")
    })
}
