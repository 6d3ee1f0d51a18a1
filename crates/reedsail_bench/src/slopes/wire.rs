//! What reports, grants, bundles and claims take on the wire and in memory.

use std::rc::Rc;
use std::time::Instant;

use reedsail_bundle::ContentSize;
use reedsail_bundle::read_bundle;
use reedsail_core::ClaimFold;
use reedsail_core::ClaimKey;
use reedsail_core::ClaimRecord;
use reedsail_core::Directory;
use reedsail_core::LeaseRow;
use reedsail_core::NameHash;
use reedsail_core::Nonce;
use reedsail_core::ServiceGrant;
use reedsail_core::VirtualTimeRow;
use reedsail_net::ByteCounter;
use reedsail_wire::ClaimBatch;
use reedsail_wire::ClaimEnd;
use reedsail_wire::ClaimRequest;
use reedsail_wire::ClaimVerdict;
use reedsail_wire::Grant;
use reedsail_wire::PeerHandler;
use reedsail_wire::PeerLink;
use reedsail_wire::Report;
use reedsail_wire::serve_peers;
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::task::spawn_local;

use super::SERVERS;
use super::SLOTS;
use super::member_report;
use super::memory_of;

/// Answers every report with as many rows.
struct EchoPeer(Directory);

impl PeerHandler for EchoPeer {
    fn with_directory<T>(&self, use_it: impl FnOnce(&Directory) -> T) -> T {
        use_it(&self.0)
    }

    fn exchange(&self, report: Report) -> impl Future<Output = Grant> + 'static {
        let services = report.services.into_iter().map(|(service, row)| {
            let leases = row.slots.iter().map(|slot| LeaseRow {
                server: slot.server,
                slots: slot.held,
            });
            let times = row.demands.iter().map(|demand| VirtualTimeRow {
                workspace: demand.workspace,
                lead: f64::from(demand.cost_total % 977),
                share: f64::from(demand.cost_total % 83) / 8.0,
            });
            let grant = ServiceGrant {
                base: f64::from(report.incarnation),
                leases: leases.collect(),
                virtual_times: times.collect(),
            };
            (service, grant)
        });
        let grant = Grant {
            incarnation: 1,
            clock: report.clock,
            next_report_ms: 500,
            lease_ms: 3_000,
            services: services.collect(),
            leaving: Vec::new(),
        };
        std::future::ready(grant)
    }

    fn claim(
        &self,
        _: Vec<ClaimRequest>,
        _: Vec<ClaimEnd>,
    ) -> impl Future<Output = Vec<ClaimVerdict>> + 'static {
        std::future::ready(Vec::new())
    }

    fn bundle(&self) -> impl Future<Output = Option<(u32, Vec<u8>)>> + 'static {
        std::future::ready(None)
    }
}

/// Returns bytes on the wire and microseconds of one exchange once the connection is warm. Every
/// count in every row changes between two exchanges, as it does under backlog.
pub(super) fn measure_exchange(rows: u32) -> (f64, f64) {
    const EXCHANGES: u32 = 200;
    let mut directory = Directory::default();
    let service = directory.services.intern("assistant-llm");
    for number in 0..4_600 {
        directory.workspaces.intern(&format!("workspace-{number}"));
    }
    for number in 0..SERVERS {
        directory.servers.intern(&format!("server-{number}"));
    }
    let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_all().build() else {
        return (0.0, 0.0);
    };
    let exchanges = async {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let peer = Rc::new(EchoPeer(directory.clone()));
        spawn_local(serve_peers(listener, peer, ByteCounter::default()));
        let counter = ByteCounter::default();
        let link = PeerLink::open(address, 5_000, counter.clone()).await?;
        let mut bytes_before = 0;
        let mut started = Instant::now();
        for turn in 0..EXCHANGES * 2 {
            if turn == EXCHANGES {
                bytes_before = counter.total_bytes();
                started = Instant::now();
            }
            let mut report = member_report(rows, 100, turn * 997);
            for (index, demand) in report.demands.iter_mut().enumerate() {
                demand.queued = (turn * 31 + index as u32 * 17) % 211;
                demand.running = (turn * 7 + index as u32) % 13;
                demand.cost_total = turn * (503 + index as u32 * 29);
                demand.lead = f64::from((turn * 101 + index as u32) % 613);
            }
            let report = Report {
                sender: NameHash(7),
                incarnation: 7,
                clock: u64::from(turn),
                bundle_version: 660,
                leaving: false,
                services: vec![(service, report)],
                suspects: Vec::new(),
                servers_leaving: Vec::new(),
            };
            link.exchange(&report, &directory).await?;
        }
        let elapsed_us = started.elapsed().as_secs_f64() * 1e6;
        let bytes = (counter.total_bytes() - bytes_before) as f64;
        anyhow::Ok((bytes / f64::from(EXCHANGES), elapsed_us / f64::from(EXCHANGES)))
    };
    // Loopback sockets of this very process do not fail.
    LocalSet::new().block_on(&runtime, exchanges).unwrap_or_default()
}

pub(super) struct BundleCost {
    pub(super) size: ContentSize,
    pub(super) read_ms: f64,
}

/// Writes a bundle of the size to design for, but with so many workspaces.
pub(crate) fn large_bundle(version: u32, workspaces: u32) -> String {
    use std::fmt::Write as _;
    let mut text = format!("version: {version}\nservices:\n");
    for service in 0..25 {
        // Writing to a string does not fail.
        let _ = writeln!(
            text,
            "  - name: model-{service}\n    kind: model\n    cost_unit: tokens"
        );
        let _ = writeln!(text, "    models: [model-{service}]\n    servers:");
        for server in 0..33 {
            let domain = server % 6;
            let _ = writeln!(
                text,
                "      - {{name: engine-{service}-{server}, failure_domain: domain-{domain}, \
                 address: '10.{domain}.{service}.{server}:9000', slots: {SLOTS}}}"
            );
        }
    }
    text.push_str("workspaces:\n");
    for workspace in 0..workspaces {
        let weight = 1 + workspace % 4;
        let digest = hex::encode(reedsail_bundle::digest_of(&format!("key-{workspace}")));
        let _ = writeln!(
            text,
            "  - {{name: workspace-{workspace}, weight: {weight}, key_digests: [{digest}]}}"
        );
    }
    text
}

pub(super) fn measure_bundle(workspaces: u32) -> BundleCost {
    let base = large_bundle(1, workspaces);
    let next = large_bundle(2, workspaces).replacen(
        "name: workspace-7, weight: 4",
        "name: workspace-7, weight: 9",
        1,
    );
    let started = Instant::now();
    let is_read = read_bundle(&base).is_ok();
    let read_ms = started.elapsed().as_secs_f64() * 1_000.0;
    assert!(is_read, "the bench writes bundles that pass the check");
    BundleCost {
        size: ContentSize::measure(&base, &next),
        read_ms,
    }
}

pub(super) fn claim_memory(keys: u32) -> f64 {
    let copies = (1_000_000 / keys) as usize;
    memory_of(copies.min(50), || {
        let mut fold = ClaimFold::default();
        for index in 0..keys {
            let key = ClaimKey(u128::from(index) << 64 | u128::from(index));
            let nonce = Nonce(u64::from(index));
            fold.fold(u64::from(index), &[ClaimRecord::Claim { key, nonce }]);
        }
        fold
    })
}

pub(super) fn claim_record(rows: u32) -> f64 {
    let key = |index: u32| ClaimKey(u128::from(index) << 64);
    let batch = ClaimBatch {
        id: 1,
        claims: (0..rows)
            .map(|index| ClaimRequest {
                key: key(index),
                nonce: Nonce(u64::from(index)),
            })
            .collect(),
        ends: (0..rows)
            .map(|index| ClaimEnd {
                key: key(index),
                nonce: Nonce(u64::from(index)),
                status: 200,
            })
            .collect(),
    };
    batch.to_bytes().len() as f64
}
