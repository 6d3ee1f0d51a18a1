//! The header fields whose changes are sent before the next interval.

use reedsail_dispatch::EvacuationRow;

use crate::MessageHeader;

/// The header fields whose changes are urgent. Departures are covered by the digest of the servers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct UrgentFields {
    configuration_version: u64,
    servers_digest: u64,
    is_stopping: bool,
    evacuations: Vec<EvacuationRow>,
}

impl UrgentFields {
    pub(crate) fn of(header: &MessageHeader) -> Self {
        Self {
            configuration_version: header.configuration_version,
            servers_digest: header.servers_digest,
            is_stopping: header.is_stopping,
            evacuations: header.evacuations.clone(),
        }
    }
}
