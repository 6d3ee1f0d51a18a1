//! Calls to peers, made by tasks of the control thread over persistent connections.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use reedsail_core::NameHash;
use reedsail_log_client::PlatformClient;
use reedsail_scheduling::SharePolicy;
use reedsail_wire::ClaimEnd;
use reedsail_wire::ClaimRequest;
use reedsail_wire::ClaimVerdict;
use reedsail_wire::Grant;
use reedsail_wire::LinkError;
use reedsail_wire::PeerLink;
use reedsail_wire::Report;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::sleep;
use xtra::Address;

use super::Control;
use super::messages::BundleFetched;
use super::messages::CheckpointDone;
use super::messages::ExchangeDone;
use super::messages::LinkAction;
use super::messages::PeerAddress;
use super::platform_tasks::BUNDLE_STREAM;
use crate::shared::Shared;

/// The time limit of a call that settles claims: the writer's own limit plus time for the network.
const CLAIM_LIMIT_MS: u64 = 2_500;

/// The connections by peer and time limit.
type OpenLinks = HashMap<(NameHash, u64), (SocketAddr, Rc<PeerLink>)>;

/// Connections to peers. Clones share them.
pub(crate) struct Links<P: SharePolicy> {
    shared: Arc<Shared<P>>,
    open: Rc<RefCell<OpenLinks>>,
}

impl<P: SharePolicy> Clone for Links<P> {
    fn clone(&self) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
            open: Rc::clone(&self.open),
        }
    }
}

impl<P: SharePolicy> Links<P> {
    pub(crate) fn new(shared: Arc<Shared<P>>) -> Self {
        Self {
            shared,
            open: Rc::default(),
        }
    }

    pub(crate) fn shared(&self) -> &Shared<P> {
        &self.shared
    }

    /// Claims keys through the writer of a peer.
    pub(crate) async fn claim(
        &self,
        peer: &PeerAddress,
        claims: &[ClaimRequest],
        ends: &[ClaimEnd],
    ) -> Result<Vec<ClaimVerdict>, LinkError> {
        let link = self.link(peer, CLAIM_LIMIT_MS).await?;
        let outcome = link.claim(claims, ends).await;
        self.keep_or_drop(peer, CLAIM_LIMIT_MS, outcome)
    }

    async fn exchange(&self, peer: &PeerAddress, report: &Report) -> Result<Grant, LinkError> {
        let limit_ms = self.shared.settings.control.call_limit_ms;
        let link = self.link(peer, limit_ms).await?;
        let directory = self.shared.directory.load_full();
        let outcome = link.exchange(report, &directory).await;
        self.keep_or_drop(peer, limit_ms, outcome)
    }

    async fn fetch_bundle(
        &self,
        peer: &PeerAddress,
        known_version: u32,
    ) -> Result<Option<Vec<u8>>, LinkError> {
        let limit_ms = self.shared.settings.control.call_limit_ms;
        let link = self.link(peer, limit_ms).await?;
        let outcome = link.fetch_bundle(known_version).await;
        self.keep_or_drop(peer, limit_ms, outcome)
    }

    async fn link(&self, peer: &PeerAddress, limit_ms: u64) -> Result<Rc<PeerLink>, LinkError> {
        if self
            .shared
            .gate
            .is_cut(&self.shared.settings.instance, &peer.instance)
        {
            sleep(Duration::from_millis(limit_ms)).await;
            return Err(LinkError::Connect(std::io::ErrorKind::TimedOut.into()));
        }
        let key = (peer.name, limit_ms);
        if let Some((address, link)) = self.open.borrow().get(&key)
            && *address == peer.address
        {
            return Ok(Rc::clone(link));
        }
        let counter = self.shared.bytes.peer_calls.clone();
        let link = Rc::new(PeerLink::open(peer.address, limit_ms, counter).await?);
        self.open
            .borrow_mut()
            .insert(key, (peer.address, Rc::clone(&link)));
        Ok(link)
    }

    fn keep_or_drop<T>(
        &self,
        peer: &PeerAddress,
        limit_ms: u64,
        outcome: Result<T, LinkError>,
    ) -> Result<T, LinkError> {
        if self
            .shared
            .gate
            .is_cut(&self.shared.settings.instance, &peer.instance)
        {
            self.open.borrow_mut().remove(&(peer.name, limit_ms));
            return Err(LinkError::NoAnswer(
                "the link is cut by fault injection".to_owned(),
            ));
        }
        if outcome.is_err() {
            self.open.borrow_mut().remove(&(peer.name, limit_ms));
        }
        outcome
    }
}

/// Runs the actions that the actor requests, each in a separate task.
pub(super) async fn run_links<P: SharePolicy>(
    links: Links<P>,
    platform: Rc<PlatformClient>,
    control: Address<Control<P>>,
    mut actions: mpsc::UnboundedReceiver<LinkAction>,
) {
    while let Some(action) = actions.recv().await {
        let links = links.clone();
        let control = control.clone();
        let platform = Rc::clone(&platform);
        // The actor outlives these tasks, except while the daemon ends.
        spawn_local(async move {
            match action {
                LinkAction::Exchange {
                    peer,
                    report,
                    sent_at,
                } => {
                    let outcome = links.exchange(&peer, &report).await;
                    let done = ExchangeDone {
                        peer: peer.name,
                        sent_at,
                        outcome,
                    };
                    // The send fails only while the daemon ends.
                    let _ = control.send(done).await;
                }
                LinkAction::FetchBundle { peer, known_version } => {
                    if let Ok(Some(record)) = links.fetch_bundle(&peer, known_version).await {
                        // The send fails only while the daemon ends.
                        let _ = control.send(BundleFetched(record)).await;
                    }
                }
                LinkAction::AppendCheckpoint(record) => {
                    // A lost answer does no harm, since a second copy of a checkpoint has no effect.
                    let appended = platform.append(BUNDLE_STREAM, record).await.is_ok();
                    // The send fails only while the daemon ends.
                    let _ = control.send(CheckpointDone(appended)).await;
                }
            }
        });
    }
}
