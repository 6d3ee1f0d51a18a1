//! Follows the two topics of the store while this instance is the elected reader, and sends each update to the actor.
//! The election rule is `store_reader` of `reedsail_dispatch`.

use std::time::Duration;

use reedsail_core::StorePosition;
use reedsail_core::TimeMs;
use reedsail_dispatch::StoreTopic;
use reedsail_net::Clock;
use tokio::time::sleep;
use tokio::time::timeout;
use xtra::Address;

use super::actor::Control;
use super::messages::ConfigurationRead;
use super::messages::ConfigurationUnreadable;
use super::messages::EvacuationsRead;
use super::messages::MayRead;
use super::messages::Origin;
use super::messages::ReadTurn;
use super::messages::ServersRead;
use super::messages::StoreReadEnded;
use crate::HeaderProtocol;
use crate::OperatorSource;
use crate::OperatorUpdate;
use crate::ServerSource;
use crate::SourceError;

/// How long the store may hold a long-poll call for a new configuration, in milliseconds. A call that is lost in a
/// network partition ends after this time plus `ANSWER_TIMEOUT_MS`; the next call follows only then.
const LONG_POLL_MS: u64 = 1_000;
/// Time-out of an answer of the store, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 800;
/// Interval at which the reader reads the list of servers, in milliseconds.
const SERVERS_POLL_INTERVAL_MS: u64 = 750;
/// Shortest interval at which an instance that is not the reader checks whether it has become the reader, in
/// milliseconds.
pub(super) const ELECTION_CHECK_MIN_MS: u64 = 100;
/// Longest such interval, in milliseconds; see [`ELECTION_CHECK_MIN_MS`].
pub(super) const ELECTION_CHECK_MAX_MS: u64 = 300;
/// Delay before a retry after the first failure, in milliseconds.
const RETRY_DELAY_MIN_MS: u64 = 200;
/// Longest delay before a retry after consecutive failures, in milliseconds.
const RETRY_DELAY_MAX_MS: u64 = 800;

/// Exponential back-off: the delay doubles with each consecutive failure.
#[derive(Clone, Copy, Debug)]
struct RetryBackoff {
    next_delay_ms: u64,
}

impl RetryBackoff {
    fn new() -> Self {
        Self {
            next_delay_ms: RETRY_DELAY_MIN_MS,
        }
    }

    fn reset(&mut self) {
        self.next_delay_ms = RETRY_DELAY_MIN_MS;
    }

    async fn wait(&mut self) {
        sleep(Duration::from_millis(self.next_delay_ms)).await;
        self.next_delay_ms = (self.next_delay_ms * 2).min(RETRY_DELAY_MAX_MS);
    }
}

/// Follows the configuration until the instance ends.
pub(crate) async fn follow_configuration<H: HeaderProtocol>(
    mut source: impl OperatorSource,
    control: Address<Control<H>>,
    clock: Clock,
) {
    let mut backoff = RetryBackoff::new();
    loop {
        wait_for_turn(&control, StoreTopic::Configuration).await;
        let fault = read_configuration(&mut source, &control, clock).await;
        // The store answers a held call as soon as there is a change, so the configuration is current as of the
        // answer.
        let known_at = clock.now();
        report_read(&control, StoreTopic::Configuration, known_at, fault, &mut backoff).await;
    }
}

/// Makes one long-poll call and sends the update to the actor. Returns the fault if the read failed.
async fn read_configuration<H: HeaderProtocol>(
    source: &mut impl OperatorSource,
    control: &Address<Control<H>>,
    clock: Clock,
) -> Option<String> {
    let asked_at = clock.now();
    let limit = Duration::from_millis(LONG_POLL_MS + ANSWER_TIMEOUT_MS);
    let outcome = timeout(limit, source.next(LONG_POLL_MS)).await;
    let outcome =
        outcome.unwrap_or_else(|_| Err(SourceError::Unreachable("the answer timed out".to_owned())));
    let update = match outcome {
        Ok(update) => update,
        Err(error) => return Some(error.to_string()),
    };
    if update.is_empty() {
        // Limits the call rate if the store answers at once instead of holding the call.
        clock.timer(asked_at.plus_ms(LONG_POLL_MS / 2)).await;
        return None;
    }
    send_operator_update(update, control).await
}

/// Sends the operators' update to the actor. Returns the fault if its configuration cannot be read.
async fn send_operator_update<H: HeaderProtocol>(
    update: OperatorUpdate,
    control: &Address<Control<H>>,
) -> Option<String> {
    // The actor ends only with the instance.
    let _ = control.send(EvacuationsRead(update.evacuations)).await;
    match update.configuration? {
        Ok(configuration) => {
            let origin = Origin::Store;
            let read = ConfigurationRead {
                configuration,
                origin,
            };
            // The actor ends only with the instance.
            let _ = control.send(read).await;
            None
        }
        Err(error) => {
            if let SourceError::Unreadable(fault) = &error {
                // The actor ends only with the instance.
                let _ = control.send(ConfigurationUnreadable(fault.clone())).await;
            }
            Some(error.to_string())
        }
    }
}

/// Follows the list of servers until the instance ends.
pub(crate) async fn follow_servers<H: HeaderProtocol>(
    mut source: impl ServerSource,
    control: Address<Control<H>>,
    clock: Clock,
) {
    let mut backoff = RetryBackoff::new();
    loop {
        let known_revision = wait_for_turn(&control, StoreTopic::Servers).await;
        let asked_at = clock.now();
        let outcome = timeout(
            Duration::from_millis(ANSWER_TIMEOUT_MS),
            source.poll(known_revision),
        )
        .await;
        let outcome =
            outcome.unwrap_or_else(|_| Err(SourceError::Unreachable("the answer timed out".to_owned())));
        let fault = match outcome {
            Ok(update) => {
                // The actor ends only with the instance.
                let _ = control.send(ServersRead { update, asked_at }).await;
                None
            }
            Err(error) => Some(error.to_string()),
        };
        let is_read = fault.is_none();
        report_read(&control, StoreTopic::Servers, asked_at, fault, &mut backoff).await;
        if is_read {
            sleep(Duration::from_millis(SERVERS_POLL_INTERVAL_MS)).await;
        }
    }
}

/// Waits until this instance may read the store. Returns the revision of its server list, which it may have learned
/// from peers.
async fn wait_for_turn<H: HeaderProtocol>(control: &Address<Control<H>>, topic: StoreTopic) -> StorePosition {
    loop {
        let delay_ms = match control.send(MayRead(topic)).await {
            Ok(ReadTurn::Now(known_revision)) => return known_revision,
            Ok(ReadTurn::After(delay_ms)) => delay_ms,
            // The actor ends only with the instance.
            Err(_) => ELECTION_CHECK_MAX_MS,
        };
        sleep(Duration::from_millis(delay_ms)).await;
    }
}

async fn report_read<H: HeaderProtocol>(
    control: &Address<Control<H>>,
    topic: StoreTopic,
    known_at: TimeMs,
    fault: Option<String>,
    backoff: &mut RetryBackoff,
) {
    let has_failed = fault.is_some();
    // The actor ends only with the instance.
    let _ = control
        .send(StoreReadEnded {
            topic,
            known_at,
            fault,
        })
        .await;
    if has_failed {
        backoff.wait().await;
    } else {
        backoff.reset();
    }
}
