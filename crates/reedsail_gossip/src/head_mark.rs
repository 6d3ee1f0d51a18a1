//! The part of a message whose changes do not wait for the next interval.

use reedsail_dispatch::EvacuationRow;

use crate::MessageHeader;

/// The part of a message's head whose changes are urgent. Departures change with the digest of the servers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct HeadMark {
    configuration_version: u64,
    servers_digest: u64,
    is_stopping: bool,
    evacuations: Vec<EvacuationRow>,
}

impl HeadMark {
    pub(crate) fn of(head: &MessageHeader) -> Self {
        Self {
            configuration_version: head.configuration_version,
            servers_digest: head.servers_digest,
            is_stopping: head.is_stopping,
            evacuations: head.evacuations.clone(),
        }
    }
}
