//! Asks peers for loans of retries, and lends retries to them. `retry_loans` of `reedsail_dispatch` has the rule.

use rand::seq::IndexedRandom;
use reedsail_core::NameHash;
use reedsail_core::TimeMs;
use reedsail_dispatch::LENDERS_ASKED;
use reedsail_gossip::LoadExchange;
use reedsail_gossip::StreamPeer;
use reedsail_wire::RetryLoanMessage;

use super::messages::Datagram;
use crate::shared::Shared;

/// Returns the requests for loans that are due, each for a few peers drawn at random.
pub(crate) fn due_loan_requests<H>(
    shared: &Shared<H>,
    instance: NameHash,
    exchange: &LoadExchange,
    now: TimeMs,
) -> Option<Datagram> {
    let requests = shared.dispatcher().loan_requests(now);
    if requests.is_empty() {
        return None;
    }
    let peers = exchange.stream_peers(now);
    let lenders = peers.choose_multiple(&mut rand::rng(), LENDERS_ASKED);
    let targets = lenders.map(|peer: &StreamPeer| peer.address).collect();
    let message = RetryLoanMessage {
        instance,
        requests,
        ..RetryLoanMessage::default()
    };
    let bytes = encode(&message)?;
    Some(Datagram { bytes, targets })
}

/// Takes the loans of a message, and returns the loans for its sender.
pub(crate) fn exchange_loans<H>(
    shared: &Shared<H>,
    instance: NameHash,
    message: &RetryLoanMessage,
    now: TimeMs,
) -> Option<Vec<u8>> {
    let messages = &shared.metrics.retries.loan_messages;
    messages.with_label_values(&["received"]).inc();
    let mut dispatcher = shared.dispatcher();
    for loan in &message.loans {
        dispatcher.receive_loan(message.instance, loan, now);
    }
    let requests = message.requests.iter();
    let loans = requests.filter_map(|request| dispatcher.lend_retries(request, now));
    let answer = RetryLoanMessage {
        instance,
        loans: loans.collect(),
        ..RetryLoanMessage::default()
    };
    drop(dispatcher);
    if answer.loans.is_empty() {
        return None;
    }
    encode(&answer)
}

fn encode(message: &RetryLoanMessage) -> Option<Vec<u8>> {
    match message.encode() {
        Ok(bytes) => Some(bytes),
        Err(error) => {
            log::error!("cannot encode a retry loan message; it is not sent: {error}");
            None
        }
    }
}
