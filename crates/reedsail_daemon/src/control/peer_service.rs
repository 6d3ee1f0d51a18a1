//! Serves peers' calls: passes reports to the actor and claims to the writers.

use std::sync::Arc;

use reedsail_core::Directory;
use reedsail_scheduling::SharePolicy;
use reedsail_wire::ClaimEnd;
use reedsail_wire::ClaimRequest;
use reedsail_wire::ClaimVerdict;
use reedsail_wire::Grant;
use reedsail_wire::PeerHandler;
use reedsail_wire::Report;
use xtra::Address;

use super::Control;
use super::messages::PeerReport;
use super::messages::ReadBundle;
use crate::claims::ClaimRouter;
use crate::shared::Shared;

pub(super) struct PeerService<P: SharePolicy> {
    pub(super) shared: Arc<Shared<P>>,
    pub(super) control: Address<Control<P>>,
    pub(super) claims: ClaimRouter<P>,
}

impl<P: SharePolicy> PeerHandler for PeerService<P> {
    fn with_directory<T>(&self, operation: impl FnOnce(&Directory) -> T) -> T {
        self.shared.with_directory(operation)
    }

    fn exchange(&self, report: Report) -> impl Future<Output = Grant> + 'static {
        let answer = self.control.send(PeerReport(report));
        async move { answer.await.unwrap_or_default() }
    }

    fn claim(
        &self,
        claims: Vec<ClaimRequest>,
        ends: Vec<ClaimEnd>,
    ) -> impl Future<Output = Vec<ClaimVerdict>> + 'static {
        let router = self.claims.clone();
        async move { router.write_here(claims, ends).await }
    }

    fn bundle(&self) -> impl Future<Output = Option<(u32, Vec<u8>)>> + 'static {
        let answer = self.control.send(ReadBundle);
        async move { answer.await.ok().flatten() }
    }
}
