//! Calls that may not be repeated: their keys are claimed in the platform's log before they run.

mod dispatcher;
mod writer;

use reedsail_wire::ClaimEnd;
use reedsail_wire::ClaimRequest;
use reedsail_wire::ClaimVerdict;
use tokio::sync::oneshot;

pub(crate) use dispatcher::ClaimRouter;
pub(crate) use dispatcher::run_dispatcher;
pub(crate) use writer::ClaimWriter;
pub(crate) use writer::WriterJob;
pub(crate) use writer::run_writer;

/// What a traffic thread asks of the control thread.
#[derive(Debug)]
pub(crate) enum ClaimJob {
    /// Claim a key, and tell what became of it.
    Claim(ClaimRequest, oneshot::Sender<ClaimVerdict>),
    /// Record the end of a call that held its key.
    End(ClaimEnd),
}
