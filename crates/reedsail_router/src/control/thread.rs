//! The control thread runs the actor and its tasks. The tasks follow the store, send and receive load messages, fetch
//! from peers, and serve the HTTP pages for the balancer, for metrics and for peers.

use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::net::UdpSocket as StdUdpSocket;
use std::sync::Arc;
use std::time::Duration;

use prometheus::IntCounterVec;
use reedsail_core::NameHash;
use reedsail_wire::PeerMessage;
use tokio::net::UdpSocket;
use tokio::select;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::sleep;
use xtra::Address;
use xtra::Mailbox;

use super::actor::Control;
use super::follow::follow_configuration;
use super::follow::follow_servers;
use super::loan_exchange::exchange_loans;
use super::messages::Datagram;
use super::messages::MessageReceived;
use super::messages::SeedsChanged;
use super::messages::Tick;
use super::peer_fetch::run_fetch;
use super::quarantine_sync::sync_quarantine;
use crate::HeaderProtocol;
use crate::OperatorSource;
use crate::QuarantineStore;
use crate::ServerSource;
use crate::Sources;
use crate::admin::serve_admin;
use crate::shared::Shared;

/// Maximum size of a datagram, in bytes: the limit of UDP.
const DATAGRAM_BYTES_MAX: usize = 64 << 10;

/// How long urgent changes are collected before they are sent, in milliseconds, so that one message carries them all.
const URGENT_BATCH_MS: u64 = 20;

/// Everything that the control thread needs to run.
pub(crate) struct ControlThread<H, C, S, Q> {
    pub(crate) shared: Arc<Shared<H>>,
    pub(crate) sources: Sources<C, S, Q>,
    pub(crate) peer_socket: StdUdpSocket,
    /// Listeners for the pages for the balancer, for metrics and for peers.
    pub(crate) http_listeners: Vec<std::net::TcpListener>,
    /// Seeds from reloaded settings.
    pub(crate) seeds: mpsc::Receiver<Vec<SocketAddr>>,
}

/// Runs the control thread until the instance ends.
///
/// # Errors
/// Returns the system's error if a socket cannot be used.
pub(crate) async fn run_control<H, C, S, Q>(thread: ControlThread<H, C, S, Q>) -> std::io::Result<()>
where
    H: HeaderProtocol,
    C: OperatorSource,
    S: ServerSource,
    Q: QuarantineStore,
{
    let shared = thread.shared;
    let (control, mailbox) = Mailbox::unbounded();
    spawn_local(xtra::run(mailbox, Control::new(Arc::clone(&shared))));
    for listener in thread.http_listeners {
        let listener = tokio::net::TcpListener::from_std(listener)?;
        spawn_local(serve_admin(listener, Arc::clone(&shared), control.clone()));
    }
    spawn_local(follow_configuration(
        thread.sources.operator,
        control.clone(),
        shared.clock,
    ));
    spawn_local(follow_servers(
        thread.sources.servers,
        control.clone(),
        shared.clock,
    ));
    spawn_local(sync_quarantine(
        thread.sources.quarantine,
        control.clone(),
        shared.clock,
    ));
    let socket = Arc::new(UdpSocket::from_std(thread.peer_socket)?);
    spawn_local(receive_messages(
        Arc::clone(&shared),
        Arc::clone(&socket),
        control.clone(),
    ));
    spawn_local(forward_seeds(thread.seeds, control.clone()));
    run_ticks(&shared, &socket, &control).await;
    Ok(())
}

async fn run_ticks<H: HeaderProtocol>(
    shared: &Arc<Shared<H>>,
    socket: &UdpSocket,
    control: &Address<Control<H>>,
) {
    loop {
        let Ok(outbox) = control.send(Tick).await else {
            return;
        };
        for fetch in outbox.fetches {
            spawn_local(run_fetch(fetch, control.clone()));
        }
        let metrics = &shared.metrics;
        send_datagrams(socket, &metrics.peer_messages, outbox.load_messages);
        send_datagrams(socket, &metrics.retries.loan_messages, outbox.loan_requests);
        wait_for_tick(shared, outbox.next_tick_ms).await;
    }
}

/// Sends datagrams and counts them. A failed send is ignored, as a lost datagram is: the next datagram replaces it.
fn send_datagrams(
    socket: &UdpSocket,
    messages: &IntCounterVec,
    datagrams: impl IntoIterator<Item = Datagram>,
) {
    let sent = messages.with_label_values(&["sent"]);
    for datagram in datagrams {
        for target in datagram.targets {
            if socket
                .try_send_to(&datagram.bytes, SocketAddr::V4(target))
                .is_ok()
            {
                sent.inc();
            }
        }
    }
}

/// Waits for the next tick. If peers must learn of an urgent change, waits only to collect further urgent changes.
async fn wait_for_tick<H: HeaderProtocol>(shared: &Shared<H>, next_tick_ms: u64) {
    select! {
        () = sleep(Duration::from_millis(next_tick_ms)) => {}
        () = shared.peer_send_requested.notified() => {
            sleep(Duration::from_millis(next_tick_ms.min(URGENT_BATCH_MS))).await;
        }
    }
}

async fn receive_messages<H: HeaderProtocol>(
    shared: Arc<Shared<H>>,
    socket: Arc<UdpSocket>,
    control: Address<Control<H>>,
) {
    let instance = NameHash::of(&shared.settings.instance);
    let mut buffer = vec![0; DATAGRAM_BYTES_MAX];
    loop {
        // An error here reports that an earlier datagram found no listener. The peer is silent then, which is
        // logged elsewhere.
        let Ok((length, SocketAddr::V4(from))) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        match PeerMessage::decode(&buffer[..length]) {
            Ok(PeerMessage::Load(message)) => {
                let message = *message;
                // The actor ends only with the instance.
                drop(control.send(MessageReceived { message, from }).await);
            }
            Ok(PeerMessage::Streams(message)) => {
                let now = shared.clock.now();
                let only_version = |service| shared.dispatcher().only_version(service, now);
                shared.streams.receive(&message, from, only_version, now);
            }
            Ok(PeerMessage::RetryLoans(message)) => {
                let now = shared.clock.now();
                if let Some(answer) = exchange_loans(&shared, instance, &message, now) {
                    send_loans(&shared, &socket, &answer, from);
                }
            }
            Err(error) => log::debug!("cannot decode a datagram from {from}: {error}"),
        }
    }
}

fn send_loans<H>(shared: &Shared<H>, socket: &UdpSocket, answer: &[u8], to: SocketAddrV4) {
    match socket.try_send_to(answer, SocketAddr::V4(to)) {
        Ok(_) => shared
            .metrics
            .retries
            .loan_messages
            .with_label_values(&["sent"])
            .inc(),
        // The borrower goes without the loan.
        Err(error) => log::debug!("cannot send a retry loan message to {to}: {error}"),
    }
}

async fn forward_seeds<H: HeaderProtocol>(
    mut seeds: mpsc::Receiver<Vec<SocketAddr>>,
    control: Address<Control<H>>,
) {
    while let Some(seeds) = seeds.recv().await {
        // The actor ends only with the instance.
        let _ = control.send(SeedsChanged(seeds)).await;
    }
}
