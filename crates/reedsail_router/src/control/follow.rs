//! Follows the store, and hands what it shows to the actor.

use std::time::Duration;

use reedsail_core::TimeMs;
use reedsail_net::Clock;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;
use xtra::Address;

use super::actor::ConfigurationRead;
use super::actor::ConfigurationUnreadable;
use super::actor::Control;
use super::actor::MayRead;
use super::actor::ServersRead;
use super::actor::Source;
use super::actor::SourceHeard;
use crate::ConfigurationSource;
use crate::HeaderProtocol;
use crate::ServerSource;
use crate::SourceError;

/// How long the store may hold a call for a new configuration. A call that a cut swallowed ends
/// after this time and `ANSWER_MS`, and only then is the store asked again.
const WAIT_MS: u64 = 1_000;
/// How long an answer of the store may take.
const ANSWER_MS: u64 = 800;
/// How often the list of servers is read.
const SERVERS_EVERY_MS: u64 = 750;
/// How often a daemon that leaves reading to another asks itself whether it still may.
const DUTY_EVERY_MS: u64 = 150;
/// The first pause after a failure.
const PAUSE_FIRST_MS: u64 = 200;
/// The longest pause after failures in a row.
const PAUSE_MAX_MS: u64 = 800;

/// Pauses that grow with each failure in a row.
#[derive(Clone, Copy, Debug)]
struct Pause {
    next_ms: u64,
}

impl Pause {
    fn new() -> Self {
        Self {
            next_ms: PAUSE_FIRST_MS,
        }
    }

    fn reset(&mut self) {
        self.next_ms = PAUSE_FIRST_MS;
    }

    async fn wait(&mut self) {
        sleep(Duration::from_millis(self.next_ms)).await;
        self.next_ms = (self.next_ms * 2).min(PAUSE_MAX_MS);
    }
}

/// Follows the configuration until the daemon ends.
pub(crate) async fn follow_configuration<H: HeaderProtocol>(
    mut source: impl ConfigurationSource,
    control: Address<Control<H>>,
    clock: Clock,
) {
    let mut pause = Pause::new();
    loop {
        wait_for_duty(&control, Source::Configuration).await;
        let asked_at = clock.now();
        let limit = Duration::from_millis(WAIT_MS + ANSWER_MS);
        let outcome = timeout(limit, source.next(WAIT_MS)).await;
        let outcome =
            outcome.unwrap_or_else(|_| Err(SourceError::Unreachable("no answer in time".to_owned())));
        let fault = match outcome {
            Ok(Some(configuration)) => {
                let read = ConfigurationRead {
                    configuration,
                    origin: "store",
                };
                // The actor ends only with the daemon.
                let _ = control.send(read).await;
                None
            }
            Ok(None) => {
                // A store that does not hold the call is asked no more often for that.
                sleep_until(clock.instant(asked_at.plus_ms(WAIT_MS / 2))).await;
                None
            }
            Err(error) => {
                if let SourceError::Unreadable(fault) = &error {
                    let _ = control.send(ConfigurationUnreadable(fault.clone())).await;
                }
                Some(error.to_string())
            }
        };
        // The store answers a held call as soon as there is news: none came before its answer.
        report(&control, Source::Configuration, clock.now(), fault, &mut pause).await;
    }
}

/// Follows the list of servers until the daemon ends.
pub(crate) async fn follow_servers<H: HeaderProtocol>(
    mut source: impl ServerSource,
    control: Address<Control<H>>,
    clock: Clock,
) {
    let mut pause = Pause::new();
    loop {
        let known_revision = wait_for_duty(&control, Source::Servers).await;
        let asked_at = clock.now();
        let outcome = timeout(Duration::from_millis(ANSWER_MS), source.poll(known_revision)).await;
        let outcome =
            outcome.unwrap_or_else(|_| Err(SourceError::Unreachable("no answer in time".to_owned())));
        let fault = match outcome {
            Ok(news) => {
                let _ = control.send(ServersRead { news, asked_at }).await;
                None
            }
            Err(error) => Some(error.to_string()),
        };
        let is_read = fault.is_none();
        report(&control, Source::Servers, asked_at, fault, &mut pause).await;
        if is_read {
            sleep(Duration::from_millis(SERVERS_EVERY_MS)).await;
        }
    }
}

/// Waits until this daemon is the one that reads the store; returns how much of the servers' list it
/// has learned from peers.
async fn wait_for_duty<H: HeaderProtocol>(control: &Address<Control<H>>, source: Source) -> u64 {
    loop {
        match control.send(MayRead(source)).await {
            Ok(Some(known_revision)) => return known_revision,
            // The actor ends only with the daemon.
            Ok(None) | Err(_) => sleep(Duration::from_millis(DUTY_EVERY_MS)).await,
        }
    }
}

async fn report<H: HeaderProtocol>(
    control: &Address<Control<H>>,
    source: Source,
    known_at: TimeMs,
    fault: Option<String>,
    pause: &mut Pause,
) {
    let is_lost = fault.is_some();
    let _ = control
        .send(SourceHeard {
            source,
            known_at,
            fault,
        })
        .await;
    if is_lost {
        pause.wait().await;
    } else {
        pause.reset();
    }
}
