//! Keeps the records of quarantined requests and segments in the platform's store, so that they outlive all instances.
//!
//! An instance that may read the store reads them once after its start; the others learn from their peers. Which records an
//! instance writes, and when, is decided by `saved_suspects` of `reedsail_dispatch`. Nothing waits for these calls.

use std::time::Duration;

use reedsail_core::TimeMs;
use reedsail_dispatch::StoreTopic;
use reedsail_net::Clock;
use tokio::time::sleep;
use tokio::time::timeout;
use xtra::Address;

use super::actor::Control;
use super::messages::DueRecords;
use super::messages::MayRead;
use super::messages::QuarantineCall;
use super::messages::QuarantineCallFailed;
use super::messages::QuarantineRead;
use super::messages::ReadTurn;
use super::messages::RecordsWritten;
use crate::HeaderProtocol;
use crate::QuarantineStore;
use crate::SourceError;

/// Interval at which the records to write are looked for, in milliseconds.
const SYNC_INTERVAL_MS: u64 = 250;
/// Time-out of a call of the store, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 800;
/// Delay before the first retry of a failed read, in milliseconds.
const READ_RETRY_MIN_MS: u64 = 500;
/// Longest delay before a retry after consecutive failures, in milliseconds.
const READ_RETRY_MAX_MS: u64 = 16_000;

/// When the records are read.
#[derive(Clone, Copy, Debug)]
enum ReadState {
    /// They were not read; the next read may begin at `due_at`.
    Due { due_at: TimeMs, retry_ms: u64 },
    /// They were read.
    Done,
}

/// Keeps the records in the store until the instance ends.
pub(crate) async fn sync_quarantine<H: HeaderProtocol>(
    mut store: impl QuarantineStore,
    control: Address<Control<H>>,
    clock: Clock,
) {
    let mut read_state = ReadState::Due {
        due_at: clock.now(),
        retry_ms: READ_RETRY_MIN_MS,
    };
    loop {
        read_state = read_when_due(read_state, &mut store, &control, clock).await;
        write_due_records(&mut store, &control).await;
        sleep(Duration::from_millis(SYNC_INTERVAL_MS)).await;
    }
}

/// Reads the records if they were not read, and this instance may read the store.
async fn read_when_due<H: HeaderProtocol>(
    state: ReadState,
    store: &mut impl QuarantineStore,
    control: &Address<Control<H>>,
    clock: Clock,
) -> ReadState {
    let ReadState::Due { due_at, retry_ms } = state else {
        return state;
    };
    let may_read = clock.now() >= due_at
        && matches!(
            control.send(MayRead(StoreTopic::Configuration)).await,
            Ok(ReadTurn::Now(_))
        );
    if !may_read {
        return state;
    }
    match with_timeout(store.read()).await {
        Ok(saved) => {
            // The actor ends only with the instance.
            let _ = control.send(QuarantineRead(saved)).await;
            ReadState::Done
        }
        Err(error) => {
            report_failure(control, QuarantineCall::Read, &error).await;
            ReadState::Due {
                due_at: clock.now().plus_ms(retry_ms),
                retry_ms: (2 * retry_ms).min(READ_RETRY_MAX_MS),
            }
        }
    }
}

async fn write_due_records<H: HeaderProtocol>(
    store: &mut impl QuarantineStore,
    control: &Address<Control<H>>,
) {
    let Ok(records) = control.send(DueRecords).await else {
        return;
    };
    if records.is_empty() {
        return;
    }
    match with_timeout(store.write(&records)).await {
        Ok(era) => {
            // The actor ends only with the instance.
            let _ = control.send(RecordsWritten { records, era }).await;
        }
        Err(error) => report_failure(control, QuarantineCall::Write, &error).await,
    }
}

async fn report_failure<H: HeaderProtocol>(
    control: &Address<Control<H>>,
    call: QuarantineCall,
    error: &SourceError,
) {
    let fault = error.to_string();
    // The actor ends only with the instance.
    let _ = control.send(QuarantineCallFailed { call, fault }).await;
}

async fn with_timeout<T>(call: impl Future<Output = Result<T, SourceError>>) -> Result<T, SourceError> {
    let limit = Duration::from_millis(CALL_TIMEOUT_MS);
    let outcome = timeout(limit, call).await;
    outcome.unwrap_or_else(|_| Err(SourceError::Unreachable("the answer timed out".to_owned())))
}
