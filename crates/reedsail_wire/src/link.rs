//! The calling end of a connection between two daemons. Lives on the control thread.

use std::net::SocketAddr;
use std::time::Duration;

use capnp::Error;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use futures_util::AsyncReadExt;
use reedsail_core::ClaimKey;
use reedsail_core::Directory;
use reedsail_net::ByteCounter;
use reedsail_net::connect;
use thiserror::Error;
use tokio::task::spawn_local;
use tokio::time::timeout;
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::ClaimEnd;
use crate::ClaimRequest;
use crate::ClaimVerdict;
use crate::Grant;
use crate::Report;
use crate::grant::read_grant;
use crate::message::ROWS_MAX;
use crate::message::check_rows;
use crate::peer_capnp::peer;
use crate::report::write_report;

/// Why a peer gave no answer.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The peer could not be connected to; it has seen nothing of the call.
    #[error("cannot connect: {0}")]
    Connect(std::io::Error),
    /// The peer did not answer in time, or broke off; it may have acted on the call.
    #[error("no answer: {0}")]
    NoAnswer(String),
}

/// A connection to a peer.
pub struct PeerLink {
    client: peer::Client,
    limit: Duration,
}

impl PeerLink {
    /// Connects; each later call may take as long again.
    ///
    /// # Errors
    /// The peer cannot be reached within `limit_ms` milliseconds.
    pub async fn open(address: SocketAddr, limit_ms: u64, counter: ByteCounter) -> Result<Self, LinkError> {
        let stream = connect(address, limit_ms, counter)
            .await
            .map_err(LinkError::Connect)?;
        let (reader, writer) = stream.compat().split();
        let network = VatNetwork::new(
            reader,
            writer,
            Side::Client,
            capnp::message::ReaderOptions::default(),
        );
        let mut system = RpcSystem::new(Box::new(network), None);
        let client: peer::Client = system.bootstrap(Side::Server);
        spawn_local(async move {
            // Its error shows at the call that met it.
            let _ = system.await;
        });
        let limit = Duration::from_millis(limit_ms);
        Ok(Self { client, limit })
    }

    /// Reports to the peer as allocator and returns its grant.
    ///
    /// # Errors
    /// The peer did not answer, or its answer breaks the bounds.
    pub async fn exchange(&self, report: &Report, directory: &Directory) -> Result<Grant, LinkError> {
        let mut request = self.client.exchange_request();
        write_report(report, directory, request.get().init_report());
        let answered = async {
            let response = request.send().promise.await?;
            read_grant(response.get()?.get_grant()?, directory)
        };
        self.within_limit(answered).await
    }

    /// Has the peer claim keys, and record ends, in the log.
    ///
    /// # Errors
    /// The peer did not answer; claims may stand in the log all the same.
    pub async fn claim(
        &self,
        claims: &[ClaimRequest],
        ends: &[ClaimEnd],
    ) -> Result<Vec<ClaimVerdict>, LinkError> {
        let mut request = self.client.claim_request();
        let mut claim_rows = request.get().init_claims(claims.len() as u32);
        for (index, claim) in claims.iter().enumerate() {
            let mut row = claim_rows.reborrow().get(index as u32);
            row.set_key(&claim.key.0.to_be_bytes());
            row.set_nonce(claim.nonce.0);
        }
        let mut end_rows = request.get().init_ends(ends.len() as u32);
        for (index, end) in ends.iter().enumerate() {
            let mut row = end_rows.reborrow().get(index as u32);
            row.set_key(&end.key.0.to_be_bytes());
            row.set_nonce(end.nonce.0);
            row.set_status(end.status);
        }
        let expected = claims.len() as u32;
        let answered = async {
            let response = request.send().promise.await?;
            let rows = response.get()?.get_verdicts()?;
            if rows.len() != expected {
                return Err(Error::failed("the verdicts do not match the claims".to_owned()));
            }
            rows.iter()
                .map(|row| read_verdict(row.get_state(), row.get_status()))
                .collect()
        };
        self.within_limit(answered).await
    }

    /// Fetches the checkpoint record of the peer's bundle, if it has a newer version.
    ///
    /// # Errors
    /// The peer did not answer.
    pub async fn fetch_bundle(&self, known_version: u32) -> Result<Option<Vec<u8>>, LinkError> {
        let mut request = self.client.bundle_request();
        request.get().set_known_version(known_version);
        let answered = async {
            let response = request.send().promise.await?;
            let copy = response.get()?.get_copy()?;
            let newer = copy.get_version() > known_version;
            let content = copy.get_content()?.to_vec();
            Ok(newer.then_some(content))
        };
        self.within_limit(answered).await
    }

    async fn within_limit<T>(&self, call: impl Future<Output = Result<T, Error>>) -> Result<T, LinkError> {
        match timeout(self.limit, call).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(error)) => Err(LinkError::NoAnswer(error.to_string())),
            Err(_) => Err(LinkError::NoAnswer("it took too long".to_owned())),
        }
    }
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

fn read_verdict(state: u8, status: u16) -> Result<ClaimVerdict, Error> {
    Ok(match state {
        0 => ClaimVerdict::Held,
        1 => ClaimVerdict::InUse,
        2 => ClaimVerdict::Ended(status),
        3 => ClaimVerdict::Unavailable,
        4 => ClaimVerdict::Unsettled,
        other => return Err(Error::failed(format!("{other} is no verdict"))),
    })
}

pub(crate) fn read_claim_key(bytes: &[u8]) -> Result<ClaimKey, Error> {
    let bytes =
        <[u8; 16]>::try_from(bytes).map_err(|_| Error::failed("a key is not 16 bytes long".to_owned()))?;
    Ok(ClaimKey(u128::from_be_bytes(bytes)))
}

pub(crate) fn check_claims(claims: u32, ends: u32) -> Result<(), Error> {
    check_rows(claims, ROWS_MAX)?;
    check_rows(ends, ROWS_MAX)
}
