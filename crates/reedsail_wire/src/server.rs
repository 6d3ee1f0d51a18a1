//! The server side of connections between daemons. Runs on the control thread.

use std::rc::Rc;

use capnp::Error;
use capnp::capability::Rc as CapRc;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use futures_util::AsyncReadExt;
use reedsail_core::Directory;
use reedsail_net::ByteCounter;
use reedsail_net::CountedStream;
use reedsail_net::DeflateStream;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::ClaimEnd;
use crate::ClaimRequest;
use crate::ClaimVerdict;
use crate::Grant;
use crate::Report;
use crate::claim_rows::read_claims;
use crate::claim_rows::read_ends;
use crate::claim_rows::verdict_row;
use crate::grant::write_grant;
use crate::peer_capnp::peer;
use crate::report::read_report;

/// The maximum number of words, of 8 bytes each, that are read of a peer's message.
const MESSAGE_WORDS_MAX: usize = 4 << 20;

/// Handles the calls of peers.
pub trait PeerHandler: 'static {
    /// Calls `operation` with the names that the daemon knows.
    fn with_directory<T>(&self, operation: impl FnOnce(&Directory) -> T) -> T;

    /// Answers a report with a grant.
    fn exchange(&self, report: Report) -> impl Future<Output = Grant> + 'static;

    /// Claims keys and records ends.
    fn claim(
        &self,
        claims: Vec<ClaimRequest>,
        ends: Vec<ClaimEnd>,
    ) -> impl Future<Output = Vec<ClaimVerdict>> + 'static;

    /// Returns the version of the bundle in force and its checkpoint record.
    fn bundle(&self) -> impl Future<Output = Option<(u32, Vec<u8>)>> + 'static;
}

/// Serves peers' connections until the task is dropped.
///
/// # Errors
/// Returns the I/O error if the listener fails.
pub async fn serve_peers<H: PeerHandler>(
    listener: TcpListener,
    handler: Rc<H>,
    counter: ByteCounter,
) -> std::io::Result<()> {
    loop {
        let (stream, _) = listener.accept().await?;
        let Ok(stream) = CountedStream::new(stream, counter.clone()) else {
            continue;
        };
        let (reader, writer) = DeflateStream::new(stream).compat().split();
        let mut options = capnp::message::ReaderOptions::default();
        options.traversal_limit_in_words(Some(MESSAGE_WORDS_MAX));
        let network = VatNetwork::new(reader, writer, Side::Server, options);
        let server = Server {
            handler: Rc::clone(&handler),
        };
        let client: peer::Client = capnp_rpc::new_client(server);
        let system = RpcSystem::new(Box::new(network), Some(client.client));
        spawn_local(async move {
            // If the connection breaks, the calling peer reports the error.
            let _ = system.await;
        });
    }
}

struct Server<H> {
    handler: Rc<H>,
}

impl<H: PeerHandler> peer::Server for Server<H> {
    async fn exchange(
        self: CapRc<Self>,
        params: peer::ExchangeParams,
        mut results: peer::ExchangeResults,
    ) -> Result<(), Error> {
        let reader = params.get()?.get_report()?;
        let report = self
            .handler
            .with_directory(|directory| read_report(reader, directory))?;
        let grant = self.handler.exchange(report).await;
        self.handler
            .with_directory(|directory| write_grant(&grant, directory, results.get().init_grant()));
        Ok(())
    }

    async fn claim(
        self: CapRc<Self>,
        params: peer::ClaimParams,
        mut results: peer::ClaimResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let claims = read_claims(params.get_claims()?)?;
        let ends = read_ends(params.get_ends()?)?;
        let verdicts = self.handler.claim(claims, ends).await;
        let mut rows = results.get().init_verdicts(verdicts.len() as u32);
        for (index, verdict) in verdicts.iter().enumerate() {
            let (state, status) = verdict_row(*verdict);
            let mut row = rows.reborrow().get(index as u32);
            row.set_state(state);
            row.set_status(status);
        }
        Ok(())
    }

    async fn bundle(
        self: CapRc<Self>,
        params: peer::BundleParams,
        mut results: peer::BundleResults,
    ) -> Result<(), Error> {
        let known_version = params.get()?.get_known_version();
        let mut copy = results.get().init_copy();
        if let Some((version, record)) = self.handler.bundle().await
            && version > known_version
        {
            copy.set_version(version);
            copy.set_content(&record);
        }
        Ok(())
    }
}
