//! Encodes and decodes claims, their ends and their verdicts, in calls and in log records.

use capnp::Error;
use capnp::message::Builder;
use capnp::serialize;
use capnp::struct_list;
use reedsail_scheduling::ClaimKey;
use reedsail_scheduling::ClaimRecord;
use reedsail_scheduling::Nonce;

use crate::ClaimEnd;
use crate::ClaimRequest;
use crate::ClaimVerdict;
use crate::message::ROWS_MAX;
use crate::message::check_rows;
use crate::peer_capnp::claim;
use crate::peer_capnp::claim_batch;
use crate::peer_capnp::claim_end;

/// The claims and ends that one append writes to the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimBatch {
    /// Identifies the record, so that its writer finds it in the log after a lost answer.
    pub id: u64,
    /// The claims, which are folded before the ends.
    pub claims: Vec<ClaimRequest>,
    /// The ends.
    pub ends: Vec<ClaimEnd>,
}

impl ClaimBatch {
    /// Encodes the batch as a log record.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut message = Builder::new_default();
        let mut batch = message.init_root::<claim_batch::Builder<'_>>();
        batch.set_id(self.id);
        write_claims(
            &self.claims,
            batch.reborrow().init_claims(self.claims.len() as u32),
        );
        write_ends(&self.ends, batch.init_ends(self.ends.len() as u32));
        serialize::write_message_to_words(&message)
    }

    /// Decodes a log record.
    ///
    /// # Errors
    /// Returns an error if the record is not a batch, or a list is too long.
    pub fn parse(mut bytes: &[u8]) -> Result<Self, Error> {
        let message =
            serialize::read_message_from_flat_slice(&mut bytes, capnp::message::ReaderOptions::default())?;
        let batch = message.get_root::<claim_batch::Reader<'_>>()?;
        Ok(Self {
            id: batch.get_id(),
            claims: read_claims(batch.get_claims()?)?,
            ends: read_ends(batch.get_ends()?)?,
        })
    }

    /// Returns the records in the order in which they are folded.
    pub fn records(&self) -> Vec<ClaimRecord> {
        let claims = self.claims.iter().map(|claim| ClaimRecord::Claim {
            key: claim.key,
            nonce: claim.nonce,
        });
        let ends = self.ends.iter().map(|end| ClaimRecord::End {
            key: end.key,
            nonce: end.nonce,
            status: end.status,
        });
        claims.chain(ends).collect()
    }
}

pub(crate) fn write_claims(claims: &[ClaimRequest], mut rows: struct_list::Builder<'_, claim::Owned>) {
    for (index, claim) in claims.iter().enumerate() {
        let mut row = rows.reborrow().get(index as u32);
        row.set_key(&claim.key.0.to_be_bytes());
        row.set_nonce(claim.nonce.0);
    }
}

pub(crate) fn write_ends(ends: &[ClaimEnd], mut rows: struct_list::Builder<'_, claim_end::Owned>) {
    for (index, end) in ends.iter().enumerate() {
        let mut row = rows.reborrow().get(index as u32);
        row.set_key(&end.key.0.to_be_bytes());
        row.set_nonce(end.nonce.0);
        row.set_status(end.status);
    }
}

pub(crate) fn read_claims(rows: struct_list::Reader<'_, claim::Owned>) -> Result<Vec<ClaimRequest>, Error> {
    check_rows(rows.len(), ROWS_MAX)?;
    rows.iter()
        .map(|row| {
            Ok(ClaimRequest {
                key: read_key(row.get_key()?)?,
                nonce: Nonce(row.get_nonce()),
            })
        })
        .collect()
}

pub(crate) fn read_ends(rows: struct_list::Reader<'_, claim_end::Owned>) -> Result<Vec<ClaimEnd>, Error> {
    check_rows(rows.len(), ROWS_MAX)?;
    rows.iter()
        .map(|row| {
            Ok(ClaimEnd {
                key: read_key(row.get_key()?)?,
                nonce: Nonce(row.get_nonce()),
                status: row.get_status(),
            })
        })
        .collect()
}

fn read_key(bytes: &[u8]) -> Result<ClaimKey, Error> {
    let bytes = <[u8; 16]>::try_from(bytes)
        .map_err(|_| Error::failed("an idempotency key is not 16 bytes long".to_owned()))?;
    Ok(ClaimKey(u128::from_be_bytes(bytes)))
}

pub(crate) fn verdict_row(verdict: ClaimVerdict) -> (u8, u16) {
    match verdict {
        ClaimVerdict::Held => (0, 0),
        ClaimVerdict::InUse => (1, 0),
        ClaimVerdict::Ended(status) => (2, status),
        ClaimVerdict::Unavailable => (3, 0),
        ClaimVerdict::Unsettled => (4, 0),
    }
}

pub(crate) fn read_verdict(state: u8, status: u16) -> Result<ClaimVerdict, Error> {
    Ok(match state {
        0 => ClaimVerdict::Held,
        1 => ClaimVerdict::InUse,
        2 => ClaimVerdict::Ended(status),
        3 => ClaimVerdict::Unavailable,
        4 => ClaimVerdict::Unsettled,
        other => return Err(Error::failed(format!("unknown verdict {other}; known: 0 to 4"))),
    })
}
