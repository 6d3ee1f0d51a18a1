//! The client side of a connection between two daemons. Runs on the control thread.

use std::net::SocketAddr;
use std::time::Duration;

use capnp::Error;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use futures_util::AsyncReadExt;
use reedsail_core::Directory;
use reedsail_net::ByteCounter;
use reedsail_net::DeflateStream;
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
use crate::claim_rows::read_verdict;
use crate::claim_rows::write_claims;
use crate::claim_rows::write_ends;
use crate::grant::read_grant;
use crate::peer_capnp::peer;
use crate::report::write_report;

/// The reason why a call to a peer got no answer.
#[derive(Debug, Error)]
pub enum LinkError {
    /// Connecting to the peer failed, so the peer has not received the call.
    #[error("cannot connect: {0}")]
    Connect(std::io::Error),
    /// The peer did not answer in time, or the connection broke. The peer may have acted on the call.
    #[error("no answer: {0}")]
    NoAnswer(String),
}

/// A connection to a peer.
pub struct PeerLink {
    client: peer::Client,
    limit: Duration,
}

impl PeerLink {
    /// Connects to a peer. The time limit applies to connecting and to each later call.
    ///
    /// # Errors
    /// Returns an error if the peer cannot be reached within `limit_ms` milliseconds.
    pub async fn open(address: SocketAddr, limit_ms: u64, counter: ByteCounter) -> Result<Self, LinkError> {
        let stream = connect(address, limit_ms, counter)
            .await
            .map_err(LinkError::Connect)?;
        let (reader, writer) = DeflateStream::new(stream).compat().split();
        let network = VatNetwork::new(
            reader,
            writer,
            Side::Client,
            capnp::message::ReaderOptions::default(),
        );
        let mut system = RpcSystem::new(Box::new(network), None);
        let client: peer::Client = system.bootstrap(Side::Server);
        spawn_local(async move {
            // The call that meets an error returns it.
            let _ = system.await;
        });
        let limit = Duration::from_millis(limit_ms);
        Ok(Self { client, limit })
    }

    /// Sends a report to the peer, which is the allocator, and returns its grant.
    ///
    /// # Errors
    /// Returns an error if the peer does not answer, or its answer exceeds a limit.
    pub async fn exchange(&self, report: &Report, directory: &Directory) -> Result<Grant, LinkError> {
        let mut request = self.client.exchange_request();
        write_report(report, directory, request.get().init_report());
        let answered = async {
            let response = request.send().promise.await?;
            read_grant(response.get()?.get_grant()?, directory)
        };
        self.within_limit(answered).await
    }

    /// Asks the peer to claim keys and to record ends in the log.
    ///
    /// # Errors
    /// Returns an error if the peer does not answer. Its claims may nevertheless be in the log.
    pub async fn claim(
        &self,
        claims: &[ClaimRequest],
        ends: &[ClaimEnd],
    ) -> Result<Vec<ClaimVerdict>, LinkError> {
        let mut request = self.client.claim_request();
        write_claims(claims, request.get().init_claims(claims.len() as u32));
        write_ends(ends, request.get().init_ends(ends.len() as u32));
        let expected = claims.len() as u32;
        let answered = async {
            let response = request.send().promise.await?;
            let rows = response.get()?.get_verdicts()?;
            if rows.len() != expected {
                return Err(Error::failed(
                    "the number of verdicts differs from the number of claims".to_owned(),
                ));
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
    /// Returns an error if the peer does not answer.
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
            Err(_) => Err(LinkError::NoAnswer("the call timed out".to_owned())),
        }
    }
}
