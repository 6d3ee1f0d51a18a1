//! Threads that each run one future on a runtime of their own.

use std::thread::JoinHandle;

use anyhow::Context as _;
use tokio::sync::watch;
use tokio::task::LocalSet;

/// Runs a future on a thread with a runtime of its own, until it ends or `killed` turns true.
///
/// # Errors
/// The system's, if no thread can be started.
pub fn spawn_worker<F, T>(
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
                        log::error!("a thread of the daemon ended: {error}");
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
