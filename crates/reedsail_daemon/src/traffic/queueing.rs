//! Queues calls for slots.

use reedsail_core::ErrorKind;
use reedsail_core::TimeMs;
use reedsail_scheduling::SharePolicy;
use reedsail_scheduling::Waiting;
use tokio::sync::oneshot;

use super::call::Call;
use crate::service_cell::Slot;
use crate::shared::Shared;

/// Queues a call and waits for its slot. Dropping the future withdraws the call.
pub(crate) async fn wait_for_slot<P: SharePolicy>(
    shared: &Shared<P>,
    call: &Call<P>,
    deadline: TimeMs,
) -> Result<Slot<P>, ErrorKind> {
    let (waker, woken) = oneshot::channel();
    let waiting = Waiting {
        workspace: call.workspace,
        class: call.class,
        deadline,
        body_bytes: call.body.len() as u64,
        prefix: call.prefix,
        preemptible: call.wants_stream,
        waker,
    };
    let entry = call.service.cell.submit(waiting)?;
    let outcome = woken.await;
    entry.close();
    let waited_ms = shared.clock.now().since_ms(call.admitted_at);
    shared
        .metrics
        .queue_wait
        .with_label_values(&[call.service.name.as_str(), call.class.name()])
        .observe(waited_ms as f64 / 1_000.0);
    outcome.unwrap_or(Err(ErrorKind::Stopping))
}
