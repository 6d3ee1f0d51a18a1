//! The store as a process of its own: prints its address, then obeys the lines that it reads.

use anyhow::Context as _;
use reedsail_platform_standin::StoreCommand;
use reedsail_platform_standin::StoreStandin;
use tokio::io::AsyncBufReadExt;
use tokio::io::BufReader;
use tokio::io::stdin;

/// Runs a store until its input ends.
///
/// # Errors
/// The system's, or a line that is no command.
pub async fn run_store() -> anyhow::Result<()> {
    let store = StoreStandin::start().await.context("cannot start the store")?;
    store.enable_long_polling();
    println!("{}", store.address);
    let mut lines = BufReader::new(stdin()).lines();
    while let Some(line) = lines.next_line().await? {
        let command: StoreCommand =
            serde_json::from_str(&line).with_context(|| format!("`{line}` is no command"))?;
        store.apply(&command);
    }
    Ok(())
}
