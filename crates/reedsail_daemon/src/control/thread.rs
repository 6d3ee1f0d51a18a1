//! Starts the tasks of the control thread.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use reedsail_log_client::PlatformClient;
use reedsail_net::ByteCounter;
use reedsail_scheduling::SharePolicy;
use reedsail_wire::serve_peers;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use xtra::Address;
use xtra::Mailbox;

use super::Control;
use super::Links;
use super::links::run_links;
use super::messages::Tick;
use super::peer_service::PeerService;
use super::platform_tasks::follow_bundles;
use super::platform_tasks::follow_instances;
use crate::admin::serve_admin;
use crate::claims::ClaimJob;
use crate::claims::ClaimRouter;
use crate::claims::ClaimWriter;
use crate::claims::run_dispatcher;
use crate::shared::Shared;

/// The interval between two ticks of the control actor.
const TICK_MS: u64 = 50;
/// The maximum number of messages queued for the actor.
const MAILBOX_MAX: usize = 1_024;

/// The inputs of the control thread.
pub(crate) struct ControlThread<P: SharePolicy> {
    pub(crate) shared: Arc<Shared<P>>,
    pub(crate) peer_listener: std::net::TcpListener,
    pub(crate) admin_listener: std::net::TcpListener,
    pub(crate) claim_jobs: mpsc::Receiver<ClaimJob>,
    /// Receives the actor's address once the tasks are started.
    pub(crate) started: oneshot::Sender<Address<Control<P>>>,
}

/// Runs the control thread's tasks until the actor ends. Must be called in a `LocalSet`.
///
/// # Errors
/// Returns the I/O error if a listener cannot be used.
pub(crate) async fn run_control<P: SharePolicy>(thread: ControlThread<P>) -> std::io::Result<()> {
    let shared = thread.shared;
    let (actions, action_queue) = mpsc::unbounded_channel();
    let (domain_daemons, domain_watch) = watch::channel(Vec::new());
    let actor = Control::new(Arc::clone(&shared), actions, domain_daemons);
    let (control, mailbox) = Mailbox::bounded(MAILBOX_MAX);
    let client = |counter: &ByteCounter| {
        let settings = &shared.settings;
        Rc::new(PlatformClient::new(
            settings.platform,
            &settings.instance,
            settings.control.call_limit_ms,
            counter.clone(),
            shared.gate.clone(),
        ))
    };
    let platform = client(&shared.bytes.platform);
    let claims_platform = client(&shared.bytes.claims);
    let links = Links::new(Arc::clone(&shared));
    let claim_settings = shared.settings.claims;
    let claims = ClaimRouter::start(links.clone(), domain_watch, |shard| {
        ClaimWriter::new(shard, claim_settings, Rc::clone(&claims_platform))
    });
    let service = PeerService {
        shared: Arc::clone(&shared),
        control: control.clone(),
        claims: claims.clone(),
    };
    let peer_listener = TcpListener::from_std(thread.peer_listener)?;
    let admin_listener = TcpListener::from_std(thread.admin_listener)?;
    let served = shared.bytes.peer_served.clone();
    spawn_local(serve_peers(peer_listener, Rc::new(service), served));
    spawn_local(serve_admin(admin_listener, Arc::clone(&shared), control.clone()));
    spawn_local(run_dispatcher(claims, thread.claim_jobs));
    spawn_local(run_links(
        links,
        Rc::clone(&platform),
        control.clone(),
        action_queue,
    ));
    spawn_local(follow_bundles(Rc::clone(&platform), control.clone()));
    spawn_local(follow_instances(platform, control.clone()));
    spawn_local(tick_forever(control.clone()));
    // The send fails if the start of the daemon was cancelled.
    let _ = thread.started.send(control);
    xtra::run(mailbox, actor).await;
    Ok(())
}

async fn tick_forever<P: SharePolicy>(control: Address<Control<P>>) {
    let mut ticks = interval(Duration::from_millis(TICK_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if control.send(Tick).await.is_err() {
            return;
        }
    }
}
