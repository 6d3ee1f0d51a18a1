//! The control thread: the actor and the tasks around it, which follow the store, send and receive load
//! messages, fetch from peers, and serve the pages for the balancer, for metrics and for peers.

use std::net::SocketAddr;
use std::net::UdpSocket as StdUdpSocket;
use std::sync::Arc;
use std::time::Duration;

use reedsail_wire::LoadMessage;
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
use super::messages::MessageReceived;
use super::messages::SeedsChanged;
use super::messages::Tick;
use super::peer_fetch::run_fetch;
use crate::HeaderProtocol;
use crate::OperatorSource;
use crate::ServerSource;
use crate::admin::serve_admin;
use crate::shared::Shared;

/// Size of a datagram at most, in bytes: as large as UDP allows.
const DATAGRAM_BYTES_MAX: usize = 64 << 10;

/// How long urgent changes are gathered before they are sent, in milliseconds, so that they go out in one message.
const URGENT_GATHER_MS: u64 = 20;

/// What the control thread is given.
pub(crate) struct ControlThread<H, C, S> {
    pub(crate) shared: Arc<Shared<H>>,
    pub(crate) configuration_source: C,
    pub(crate) server_source: S,
    pub(crate) peer_socket: StdUdpSocket,
    /// For the balancer, for metrics and for peers.
    pub(crate) page_listeners: Vec<std::net::TcpListener>,
    /// Seeds from settings that were read again.
    pub(crate) seeds: mpsc::Receiver<Vec<SocketAddr>>,
}

/// Runs until the instance ends.
///
/// # Errors
/// The system's, when a socket cannot be used.
pub(crate) async fn run_control<H, C, S>(thread: ControlThread<H, C, S>) -> std::io::Result<()>
where
    H: HeaderProtocol,
    C: OperatorSource,
    S: ServerSource,
{
    let shared = thread.shared;
    let (control, mailbox) = Mailbox::unbounded();
    spawn_local(xtra::run(mailbox, Control::new(Arc::clone(&shared))));
    for listener in thread.page_listeners {
        let listener = tokio::net::TcpListener::from_std(listener)?;
        spawn_local(serve_admin(listener, Arc::clone(&shared), control.clone()));
    }
    spawn_local(follow_configuration(
        thread.configuration_source,
        control.clone(),
        shared.clock,
    ));
    spawn_local(follow_servers(
        thread.server_source,
        control.clone(),
        shared.clock,
    ));
    let socket = Arc::new(UdpSocket::from_std(thread.peer_socket)?);
    spawn_local(receive_messages(Arc::clone(&socket), control.clone()));
    spawn_local(take_seeds(thread.seeds, control.clone()));
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
        let sent = shared.metrics.peer_messages.with_label_values(&["sent"]);
        for datagram in outbox.datagrams {
            for target in datagram.targets {
                // A datagram that cannot be sent counts as lost: the next one replaces it.
                if socket
                    .try_send_to(&datagram.bytes, SocketAddr::V4(target))
                    .is_ok()
                {
                    sent.inc();
                }
            }
        }
        wait_for_tick(shared, outbox.next_tick_ms).await;
    }
}

/// Waits for the next tick, or a moment for more news if peers must learn of something at once.
async fn wait_for_tick<H: HeaderProtocol>(shared: &Shared<H>, next_tick_ms: u64) {
    select! {
        () = sleep(Duration::from_millis(next_tick_ms)) => {}
        () = shared.peer_send_requested.notified() => {
            sleep(Duration::from_millis(next_tick_ms.min(URGENT_GATHER_MS))).await;
        }
    }
}

async fn receive_messages<H: HeaderProtocol>(socket: Arc<UdpSocket>, control: Address<Control<H>>) {
    let mut buffer = vec![0; DATAGRAM_BYTES_MAX];
    loop {
        // An error here reports a datagram sent earlier that met no listener: its peer is silent, and that
        // is logged.
        let Ok((length, SocketAddr::V4(from))) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        match LoadMessage::decode(&buffer[..length]) {
            // The actor ends only with the instance.
            Ok(message) => drop(control.send(MessageReceived { message, from }).await),
            Err(error) => log::debug!("a datagram from {from} cannot be read: {error}"),
        }
    }
}

async fn take_seeds<H: HeaderProtocol>(
    mut seeds: mpsc::Receiver<Vec<SocketAddr>>,
    control: Address<Control<H>>,
) {
    while let Some(seeds) = seeds.recv().await {
        // The actor ends only with the instance.
        let _ = control.send(SeedsChanged(seeds)).await;
    }
}
