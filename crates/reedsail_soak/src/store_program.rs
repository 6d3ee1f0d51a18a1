//! The store as a separate process: prints its address, then executes the commands that it reads from
//! standard input.

use anyhow::Context as _;
use reedsail_platform_standin::StoreCommand;
use reedsail_platform_standin::StoreStandin;
use tokio::io::AsyncBufReadExt;
use tokio::io::BufReader;
use tokio::io::stdin;

/// Runs a store until its input ends.
///
/// # Errors
/// Returns an error if the store cannot start, the input cannot be read, or a line is not a command.
pub async fn run_store() -> anyhow::Result<()> {
    let store = StoreStandin::start().await.context("cannot start the store")?;
    store.enable_long_polling();
    println!("{}", store.address);
    let mut lines = BufReader::new(stdin()).lines();
    while let Some(line) = lines.next_line().await? {
        let command: StoreCommand =
            serde_json::from_str(&line).with_context(|| format!("invalid store command `{line}`"))?;
        store.apply(&command);
    }
    Ok(())
}
