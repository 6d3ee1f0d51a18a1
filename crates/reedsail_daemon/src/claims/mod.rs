//! Claims: the key of a call that must not be repeated is claimed in the platform's log before the call runs.

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

/// A job that a traffic thread sends to the control thread.
#[derive(Debug)]
pub(crate) enum ClaimJob {
    /// Claims a key and replies with the verdict.
    Claim(ClaimRequest, oneshot::Sender<ClaimVerdict>),
    /// Records the end of a call that held its key.
    End(ClaimEnd),
}
