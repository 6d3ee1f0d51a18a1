//! `reedsail`: the operators' command-line tool for bundles, keys, the fleet's status and its timeline.

mod admin_client;
mod builds_command;
mod bundle_command;
mod event_fields;
mod failure;
mod flags;
mod fleet_command;
mod key_file;
mod keys_command;
mod lateness_summary;
mod log_lines;
mod publish_command;
mod request_summary;
mod requests_command;
mod signed_file;
mod table;
mod timeline_command;
mod workspace_summary;

use std::ffi::OsStr;
use std::ffi::OsString;
use std::process::ExitCode;

use reedsail_core::BuildInfo;
use reedsail_core::build_info;

use failure::Failure;
use flags::bundle::Bundle;
use flags::bundle::BundleCmd;
use flags::fleet::Fleet;
use flags::fleet::FleetCmd;
use flags::keys::Keys;
use flags::keys::KeysCmd;
use flags::requests::Requests;
use flags::timeline::Timeline;

/// What this program was built from.
const BUILD: BuildInfo = build_info!();

const HELP: &str = "\
reedsail: operates a router fleet; every change is a signed bundle with the next version number

  reedsail bundle    creates, checks, signs and publishes bundles; shows which is in force
  reedsail fleet     shows the state of the fleet
  reedsail timeline  merges the events of several instances into one timeline
  reedsail requests  counts request outcomes in router logs, or prints one request's events
  reedsail keys      creates keys for authors and approvers

Run `reedsail COMMAND --help` for details, and `reedsail --version` for what the tool was built from.
Exit codes: 0 success; 1 the bundle has faults or was refused; 2 invalid usage; 3 the base
is not the version in force; 4 the platform or an instance cannot be reached.";

fn main() -> ExitCode {
    let mut arguments = std::env::args_os().skip(1);
    let command = arguments.next().unwrap_or_default();
    let rest: Vec<OsString> = arguments.collect();
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("reedsail: cannot start: {error}");
            return ExitCode::from(2);
        }
    };
    match runtime.block_on(run(&command, rest)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("reedsail: {failure}");
            failure.exit_code()
        }
    }
}

async fn run(command: &OsStr, rest: Vec<OsString>) -> Result<(), Failure> {
    match command.to_str() {
        Some("bundle") => run_bundle(parse_or_exit(Bundle::from_vec(rest))).await,
        Some("fleet") => match parse_or_exit(Fleet::from_vec(rest)).subcommand {
            FleetCmd::Builds(builds) => builds_command::fleet_builds(&builds.instance, builds.json).await,
            FleetCmd::Status(status) => fleet_command::fleet_status(&status.daemon, status.json).await,
        },
        Some("timeline") => timeline_command::run(&parse_or_exit(Timeline::from_vec(rest))).await,
        Some("requests") => requests_command::run(&parse_or_exit(Requests::from_vec(rest))),
        Some("keys") => match parse_or_exit(Keys::from_vec(rest)).subcommand {
            KeysCmd::New(new) => keys_command::new(&new.name, &new.out),
        },
        Some("" | "help" | "--help" | "-h") => {
            println!("{HELP}");
            Ok(())
        }
        Some("--version") => {
            println!("reedsail {BUILD}");
            Ok(())
        }
        _ => Err(Failure::Usage(format!(
            "unknown command `{}`\n\n{HELP}",
            command.display()
        ))),
    }
}

async fn run_bundle(bundle: Bundle) -> Result<(), Failure> {
    match bundle.subcommand {
        BundleCmd::New(new) => bundle_command::new(&new.file),
        BundleCmd::Check(check) => bundle_command::check(&check.file, check.json),
        BundleCmd::Diff(diff) => bundle_command::diff(&diff.base, &diff.file, diff.json),
        BundleCmd::Sign(sign) => publish_command::sign(&sign.file, &sign.key, sign.daemon, sign.first).await,
        BundleCmd::Approve(approve) => publish_command::approve(&approve.file, &approve.key),
        BundleCmd::Publish(publish) => {
            publish_command::publish(&publish.file, publish.platform, publish.daemon).await
        }
        BundleCmd::Status(status) => fleet_command::bundle_status(&status.daemon, status.json).await,
    }
}

/// Returns the parsed flags. Exits with a message if they are invalid, or with the help text if it was
/// requested.
fn parse_or_exit<T>(flags: xflags::Result<T>) -> T {
    flags.unwrap_or_else(|error| error.exit())
}
