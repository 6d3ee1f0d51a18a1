//! Follows the platform's log and instance list.

use std::rc::Rc;
use std::time::Duration;

use reedsail_log_client::PlatformClient;
use reedsail_scheduling::SharePolicy;
use tokio::time::sleep;
use xtra::Address;

use super::Control;
use super::messages::InstancesChanged;
use super::messages::LogReachable;
use super::messages::LogRead;

/// The stream of bundle records.
pub(super) const BUNDLE_STREAM: &str = "bundles";
/// How long the platform holds a read open until there are new records.
const READ_WAIT_MS: u64 = 10_000;
/// The pause after a failed read.
const RETRY_PAUSE_MS: u64 = 200;

/// Reads the bundle stream while the actor lives.
pub(super) async fn follow_bundles<P: SharePolicy>(
    platform: Rc<PlatformClient>,
    control: Address<Control<P>>,
) {
    let mut from = 0;
    let mut wait_ms = 0;
    loop {
        let Ok(page) = platform.read(BUNDLE_STREAM, from, wait_ms).await else {
            if control.send(LogReachable(false)).await.is_err() {
                return;
            }
            wait_ms = 0;
            sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
            continue;
        };
        let at_end = page.records.is_empty();
        let Ok(next) = control.send(LogRead(page)).await else {
            return;
        };
        from = next;
        wait_ms = if at_end { READ_WAIT_MS } else { 0 };
    }
}

/// Reads the instance list while the actor lives.
pub(super) async fn follow_instances<P: SharePolicy>(
    platform: Rc<PlatformClient>,
    control: Address<Control<P>>,
) {
    let mut version = 0;
    loop {
        match platform.instances(version, READ_WAIT_MS).await {
            Ok(list) => {
                version = list.version;
                if !list.instances.is_empty() && control.send(InstancesChanged(list)).await.is_err() {
                    return;
                }
            }
            Err(_) => sleep(Duration::from_millis(RETRY_PAUSE_MS)).await,
        }
        if !control.is_connected() {
            return;
        }
    }
}
