//! Child processes, signalled only by their process ids.

use std::fs::File;
use std::path::Path;
use std::process::Stdio;
use std::time::Duration;

use anyhow::Context as _;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use tokio::process::Child;
use tokio::process::Command;
use tokio::time::timeout;

/// A process started by this soak; it is killed when dropped.
#[derive(Debug)]
pub(crate) struct Process {
    child: Child,
}

impl Process {
    /// Starts a program whose standard output goes to `output`, or to a pipe if `output` is `None`.
    pub(crate) fn start(command: &mut Command, output: Option<&Path>) -> anyhow::Result<Self> {
        let stdout = match output {
            Some(path) => Stdio::from(open_log(path)?),
            None => Stdio::piped(),
        };
        let child = command
            .stdin(Stdio::piped())
            .stdout(stdout)
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("cannot start {}", command.as_std().get_program().display()))?;
        Ok(Self { child })
    }

    /// Returns the child, for access to its standard input and output.
    pub(crate) fn child(&mut self) -> &mut Child {
        &mut self.child
    }

    /// Sends a signal, unless the process has already ended.
    pub(crate) fn signal(&self, signal: Signal) {
        let id = self.child.id().and_then(|id| Pid::from_raw(id as i32));
        if let Some(id) = id {
            // The process may end after its id was read.
            let _ = kill_process(id, signal);
        }
    }

    /// Waits for the process to exit, and returns its exit code; the inner `None` means ended by a signal.
    ///
    /// Returns `None` if the process does not exit in time.
    pub(crate) async fn wait(&mut self, limit_ms: u64) -> Option<Option<i32>> {
        let waited = timeout(Duration::from_millis(limit_ms), self.child.wait()).await;
        waited.ok()?.ok().map(|status| status.code())
    }

    /// Returns whether the process has exited.
    pub(crate) fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Kills the process and waits for it to exit.
    pub(crate) async fn close(mut self) {
        // The process may have exited already.
        let _ = self.child.kill().await;
    }

    /// Returns the resident memory in kilobytes, or zero after the process has ended.
    pub(crate) fn resident_kb(&self) -> u64 {
        let id = self.child.id().unwrap_or(0);
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .and_then(|rest| rest.split_whitespace().next())
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }
}

/// Opens a log for appending, since a restarted instance continues its file.
fn open_log(path: &Path) -> anyhow::Result<File> {
    File::options()
        .create(true)
        .append(true)
        .open(path)
        .with_context(|| format!("cannot write {}", path.display()))
}
