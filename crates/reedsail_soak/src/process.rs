//! Child processes, ended by their ids and by nothing else.

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

/// A process that this soak started; it is killed when dropped.
#[derive(Debug)]
pub(crate) struct Process {
    child: Child,
}

impl Process {
    /// Starts a program whose standard output goes to a file, or to a pipe where there is none.
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

    /// Returns the process for reading its output or writing to it.
    pub(crate) fn child(&mut self) -> &mut Child {
        &mut self.child
    }

    /// Sends a signal; one that has ended already gets none.
    pub(crate) fn signal(&self, signal: Signal) {
        let id = self.child.id().and_then(|id| Pid::from_raw(id as i32));
        if let Some(id) = id {
            // It may end between the two lines.
            let _ = kill_process(id, signal);
        }
    }

    /// Waits for the end; `None` if it does not come in time.
    pub(crate) async fn wait(&mut self, limit_ms: u64) -> Option<Option<i32>> {
        let waited = timeout(Duration::from_millis(limit_ms), self.child.wait()).await;
        waited.ok()?.ok().map(|status| status.code())
    }

    /// Tells whether the process has ended by itself.
    pub(crate) fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Kills the process and waits for its end.
    pub(crate) async fn close(mut self) {
        // It may have ended by itself.
        let _ = self.child.kill().await;
    }

    /// Returns its resident memory in kilobytes; zero once it has ended.
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

/// Opens a log for adding to it, since a daemon that starts again goes on with its file.
fn open_log(path: &Path) -> anyhow::Result<File> {
    File::options()
        .create(true)
        .append(true)
        .open(path)
        .with_context(|| format!("cannot write {}", path.display()))
}
