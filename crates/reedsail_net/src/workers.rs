//! Threads that each run one future on a separate runtime.

use std::thread::JoinHandle;

use anyhow::Context as _;
use tokio::sync::watch;
use tokio::task::LocalSet;

/// The threads of one process. `close` ends them together.
#[derive(Debug)]
pub struct Workers {
    is_closing: watch::Sender<bool>,
    threads: Vec<JoinHandle<()>>,
}

impl Default for Workers {
    fn default() -> Self {
        Self {
            is_closing: watch::Sender::new(false),
            threads: Vec::new(),
        }
    }
}

impl Workers {
    /// Runs a future on a new thread with a separate runtime, until the future completes or `close` is called.
    ///
    /// # Errors
    /// Returns the system's error if no thread can be started.
    pub fn start<F, T>(&mut self, name: &str, make_future: F) -> anyhow::Result<()>
    where
        F: FnOnce() -> T + Send + 'static,
        T: Future<Output = std::io::Result<()>>,
    {
        let thread = spawn_worker(name, self.is_closing.subscribe(), make_future)?;
        self.threads.push(thread);
        Ok(())
    }

    /// Ends every thread at once and waits until they have ended.
    pub fn close(self) {
        self.is_closing.send_replace(true);
        for thread in self.threads {
            // A thread that panicked has also ended.
            let _ = thread.join();
        }
    }
}

/// Runs a future on a new thread, until the future completes or `is_closing` becomes true.
fn spawn_worker<F, T>(
    name: &str,
    mut is_closing: watch::Receiver<bool>,
    make_future: F,
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
                ended = make_future() => {
                    if let Err(error) = ended {
                        log::error!("a thread of this process failed: {error}");
                    }
                }
                _ = is_closing.wait_for(|is_closing| *is_closing) => {}
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
