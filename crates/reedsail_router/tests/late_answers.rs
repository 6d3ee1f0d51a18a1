//! Two routers of which one gets an answer of the store late, after it has learned of a departure from the other.

mod common;

use std::net::SocketAddr;

use reedsail_core::StorePosition;
use reedsail_dispatch::ServerChange;
use reedsail_dispatch::ServerRecord;
use reedsail_dispatch::ServerUpdate;
use reedsail_router::OperatorUpdate;
use reedsail_router::RunningRouter;
use reedsail_router::SourceError;
use reedsail_router::Sources;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedSender;

use common::BUILD;
use common::ChannelSource;
use common::HEADERS;
use common::MemoryQuarantine;
use common::ask;
use common::settings;
use common::test_headers::TestHeaders;
use common::wait_for;

/// A router whose answers of the store a test sends.
struct ScriptedRouter {
    router: RunningRouter<TestHeaders>,
    answers: UnboundedSender<Result<ServerUpdate, SourceError>>,
    /// Keeps the source of the configuration open.
    _configurations: UnboundedSender<Result<OperatorUpdate, SourceError>>,
}

impl ScriptedRouter {
    fn start(instance: &str, seeds: Vec<SocketAddr>) -> Self {
        let (configurations, configuration_source) = mpsc::unbounded_channel();
        let (answers, server_source) = mpsc::unbounded_channel();
        let mut settings = settings(instance);
        instance.clone_into(&mut settings.failure_domain);
        settings.seeds = seeds;
        let make_sources = move || Sources {
            operator: ChannelSource(configuration_source),
            servers: ChannelSource(server_source),
            quarantine: MemoryQuarantine::default(),
        };
        let router = RunningRouter::start(BUILD, settings, HEADERS, make_sources).unwrap();
        Self {
            router,
            answers,
            _configurations: configurations,
        }
    }

    fn answer(&self, from: u64, changes: Vec<ServerChange>) {
        let update = ServerUpdate {
            revision: StorePosition::new(0, from + changes.len() as u64),
            is_whole: false,
            changes: (from + 1..)
                .zip(changes)
                .map(|(offset, change)| change.at(StorePosition::new(0, offset)))
                .collect(),
        };
        self.answers.send(Ok(update)).unwrap();
    }

    async fn lists(&self, id: &str) -> bool {
        let page = ask(self.router.addresses().admin, "/servers", &[]).await;
        page.text().contains(id)
    }

    async fn wait_until_listed(&self, id: &str, is_listed: bool) {
        wait_for(id, async || self.lists(id).await == is_listed).await;
    }
}

fn ready(id: &str) -> ServerChange {
    ServerChange::Announced(ServerRecord {
        id: id.to_owned(),
        service: "app".to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        failure_domain: "hall-a".to_owned(),
        slots: 4,
        is_draining: false,
        cold_left_ms: 0,
        born_ms: Some(1),
        software_version: Some("v1".to_owned()),
    })
}

/// Guards against an answer of the store that is overtaken by a peer's list and brings back a server that has left, on the
/// instance that gets it and, by its list, on the other.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_answer_brings_no_server_back_on_any_instance() {
    let first = ScriptedRouter::start("hall-a", Vec::new());
    let second = ScriptedRouter::start("hall-b", vec![first.router.addresses().peers]);
    first.answer(0, vec![ready("leaves"), ready("stays")]);
    second.wait_until_listed("leaves", true).await;
    // The second router reads that the server repeats its record and leaves; the first one learns it by the list.
    second.answer(
        2,
        vec![
            ready("leaves"),
            ServerChange::Dropped {
                id: "leaves".to_owned(),
            },
        ],
    );
    first.wait_until_listed("leaves", false).await;
    // Its own answer ends before the departure. It is the first to read the next record.
    first.answer(2, vec![ready("leaves")]);
    first.answer(4, vec![ready("follows")]);
    first.wait_until_listed("follows", true).await;
    second.wait_until_listed("follows", true).await;
    assert!(!first.lists("leaves").await);
    assert!(!second.lists("leaves").await);
}
