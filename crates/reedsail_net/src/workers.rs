//! Threads that each run one future on a runtime of their own.

use std::thread::JoinHandle;

use anyhow::Context as _;
use tokio::sync::watch;
use tokio::task::LocalSet;

/// The threads of one process, which end together.
#[derive(Debug)]
pub struct Workers {
    killed: watch::Sender<bool>,
    threads: Vec<JoinHandle<()>>,
}

impl Default for Workers {
    fn default() -> Self {
        Self {
            killed: watch::Sender::new(false),
            threads: Vec::new(),
        }
    }
}

impl Workers {
    /// Runs a future on a thread with a runtime of its own, until it or all of them end.
    ///
    /// # Errors
    /// The system's, if no thread can be started.
    pub fn start<F, T>(&mut self, name: &str, make: F) -> anyhow::Result<()>
    where
        F: FnOnce() -> T + Send + 'static,
        T: Future<Output = std::io::Result<()>>,
    {
        let thread = spawn_worker(name, self.killed.subscribe(), make)?;
        self.threads.push(thread);
        Ok(())
    }

    /// Ends every thread at once, and waits for that.
    pub fn close(self) {
        self.killed.send_replace(true);
        for thread in self.threads {
            // A thread that panicked is over as well.
            let _ = thread.join();
        }
    }
}

/// Runs a future on a thread, until it ends or `killed` turns true.
fn spawn_worker<F, T>(
    name: &str,
    mut killed: watch::Receiver<bool>,
    make: F,
) -> anyhow::Result<JoinHandle<()>>
where
    F: FnOnce() -> T + Send + 'static,
    T: Future<Output = std::io::Result<()>>,
{
    let body = move || {
        let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
            Ok(runtime) => runtime,
            Err(error) => {
                log::error!("cannot start a runtime: {error}");
                return;
            }
        };
        let tasks = LocalSet::new();
        runtime.block_on(tasks.run_until(async move {
            tokio::select! {
                ended = make() => {
                    if let Err(error) = ended {
                        log::error!("a thread of this process ended: {error}");
                    }
                }
                _ = killed.wait_for(|killed| *killed) => {}
            }
        }));
        drop(tasks);
        runtime.shutdown_background();
    };
    std::thread::Builder::new()
        .name(name.to_owned())
        .spawn(body)
        .context("cannot start a thread")
}
