//! Claims the idempotency key of a call before the call runs, and records the end of the claim.

use reedsail_core::ErrorKind;
use reedsail_core::Failure;
use reedsail_core::Unsent;
use reedsail_events::EventKind;
use reedsail_scheduling::ClaimKey;
use reedsail_scheduling::Nonce;
use reedsail_scheduling::SharePolicy;
use reedsail_wire::ClaimEnd;
use reedsail_wire::ClaimRequest;
use reedsail_wire::ClaimVerdict;
use tokio::sync::oneshot;

use super::call::Call;
use crate::claims::ClaimJob;
use crate::shared::Shared;

/// A claim that a call holds on its idempotency key. The end of the call must be recorded with
/// [`HeldClaim::close`].
#[derive(Debug)]
pub(crate) struct HeldClaim {
    key: ClaimKey,
    nonce: Nonce,
}

impl HeldClaim {
    /// Records the status with which the call ended. `None` means that the call was never sent and may be
    /// retried.
    pub(crate) async fn close<P: SharePolicy>(self, shared: &Shared<P>, status: Option<u16>) {
        record_end(shared, self.key, self.nonce, status.unwrap_or(0)).await;
    }
}

/// Claims the idempotency key of a call, if it has one.
pub(crate) async fn claim_key<P: SharePolicy>(
    shared: &Shared<P>,
    call: &Call<P>,
    unsent: Unsent,
) -> Result<(Unsent, Option<HeldClaim>), Failure> {
    let Some(key) = call.key else {
        return Ok((unsent, None));
    };
    let nonce = Nonce(rand::random());
    let verdict = request_claim(shared, ClaimRequest { key, nonce }).await;
    let name = verdict_name(verdict);
    shared.metrics.claims.with_label_values(&[name]).inc();
    if shared.settings.timeline.requests {
        let fields = [("request", call.id.as_str()), ("verdict", name)];
        shared.events.emit(EventKind::ClaimSettled, &fields);
    }
    match verdict {
        ClaimVerdict::Held => Ok((unsent, Some(HeldClaim { key, nonce }))),
        ClaimVerdict::InUse => Err(unsent.refuse(ErrorKind::KeyInUse)),
        ClaimVerdict::Ended(status) => Err(unsent.refuse(ErrorKind::KeyAlreadyRan).with_first_status(status)),
        ClaimVerdict::Unavailable => Err(unsent.refuse(ErrorKind::ClaimUnavailable)),
        ClaimVerdict::Unsettled => {
            // The claim may be in the log although the call was not sent, so release the key.
            record_end(shared, key, nonce, 0).await;
            Err(unsent.refuse(ErrorKind::ClaimUnavailable))
        }
    }
}

async fn request_claim<P: SharePolicy>(shared: &Shared<P>, request: ClaimRequest) -> ClaimVerdict {
    let (reply, verdict_receiver) = oneshot::channel();
    if shared
        .claim_jobs
        .send(ClaimJob::Claim(request, reply))
        .await
        .is_err()
    {
        return ClaimVerdict::Unavailable;
    }
    verdict_receiver.await.unwrap_or(ClaimVerdict::Unsettled)
}

/// Records the end of a claim. Status 0 means that the call was never sent, and releases the key.
async fn record_end<P: SharePolicy>(shared: &Shared<P>, key: ClaimKey, nonce: Nonce, status: u16) {
    let end = ClaimEnd { key, nonce, status };
    // The send fails only after the control thread has ended. The key then stays in use and is never
    // released.
    let _ = shared.claim_jobs.send(ClaimJob::End(end)).await;
}

fn verdict_name(verdict: ClaimVerdict) -> &'static str {
    match verdict {
        ClaimVerdict::Held => "held",
        ClaimVerdict::InUse => "in_use",
        ClaimVerdict::Ended(_) => "ended",
        ClaimVerdict::Unavailable => "unavailable",
        ClaimVerdict::Unsettled => "unsettled",
    }
}
