//! Log records and calls between daemons: decoded values equal the encoded ones, and invalid bytes do no
//! harm.

use std::rc::Rc;

use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::proptest;
use reedsail_core::Directory;
use reedsail_core::NameHash;
use reedsail_net::ByteCounter;
use reedsail_scheduling::ClaimKey;
use reedsail_scheduling::DemandRow;
use reedsail_scheduling::LeaseRow;
use reedsail_scheduling::MemberKind;
use reedsail_scheduling::Nonce;
use reedsail_scheduling::ServiceGrant;
use reedsail_scheduling::ServiceReport;
use reedsail_scheduling::SlotRow;
use reedsail_scheduling::VirtualTimeRow;
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

fn batch(count: u64) -> ClaimBatch {
    ClaimBatch {
        id: 42,
        claims: (0..count)
            .map(|index| ClaimRequest {
                key: ClaimKey(u128::from(index) << 80),
                nonce: Nonce(index),
            })
            .collect(),
        ends: (0..count)
            .map(|index| ClaimEnd {
                key: ClaimKey(u128::from(index)),
                nonce: Nonce(index),
                status: 200,
            })
            .collect(),
    }
}

#[test]
fn a_decoded_claim_batch_equals_the_encoded_one() {
    assert_eq!(ClaimBatch::parse(&batch(9).to_bytes()).unwrap(), batch(9));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, ..ProptestConfig::default() })]

    #[test]
    fn a_corrupted_record_does_not_panic(at in any::<usize>(), byte in any::<u8>(), cut in any::<usize>()) {
        let mut bytes = batch(5).to_bytes();
        let at = at % bytes.len();
        bytes[at] = byte;
        bytes.truncate(cut % (bytes.len() + 1));
        // Both outcomes are fine. The test guards against a panic.
        let _ = ClaimBatch::parse(&bytes);
    }
}

fn directory() -> Directory {
    let mut directory = Directory::default();
    directory.services.intern("assistant-llm");
    for number in 0..16 {
        directory.workspaces.intern(&format!("workspace-{number}"));
    }
    for number in 0..9 {
        directory.servers.intern(&format!("server-{number}"));
    }
    directory
}

fn report(directory: &Directory) -> Report {
    let workspace = |index: usize| {
        directory
            .workspaces
            .find(NameHash::of(&format!("workspace-{index}")))
    };
    let server = |index: usize| directory.servers.find(NameHash::of(&format!("server-{index}")));
    Report {
        sender: NameHash::of("hall-a-1"),
        incarnation: 7,
        clock: 99,
        bundle_version: 3,
        is_leaving: false,
        services: vec![(
            directory.services.find(NameHash::of("assistant-llm")).unwrap(),
            ServiceReport {
                kind: MemberKind::Instance,
                session: 5,
                own_slots: 0,
                base: 1234.5,
                slots: (0..9)
                    .filter_map(server)
                    .map(|server| SlotRow {
                        server,
                        held: 6,
                        in_use: 5,
                    })
                    .collect(),
                resting: Vec::new(),
                demands: (0..16)
                    .filter_map(workspace)
                    .map(|workspace| DemandRow {
                        workspace,
                        queued: 100_000,
                        running: 3,
                        cost_total: 4_000_000_000,
                        lead: 1.5,
                    })
                    .collect(),
            },
        )],
        suspects: vec![NameHash(5)],
        servers_leaving: vec![NameHash(6)],
    }
}

/// A handler that copies values of the request into its answer.
struct EchoHandler(Directory);

impl PeerHandler for EchoHandler {
    fn with_directory<T>(&self, operation: impl FnOnce(&Directory) -> T) -> T {
        operation(&self.0)
    }

    fn exchange(&self, report: Report) -> impl Future<Output = Grant> + 'static {
        let services = report.services.into_iter().map(|(service, row)| {
            let grant = ServiceGrant {
                base: row.base,
                leases: row
                    .slots
                    .iter()
                    .map(|slot| LeaseRow {
                        server: slot.server,
                        slots: slot.held,
                    })
                    .collect(),
                virtual_times: row
                    .demands
                    .iter()
                    .map(|demand| VirtualTimeRow {
                        workspace: demand.workspace,
                        lead: demand.lead,
                        share: f64::from(demand.running),
                    })
                    .collect(),
            };
            (service, grant)
        });
        let grant = Grant {
            incarnation: report.incarnation,
            clock: report.clock,
            next_report_ms: 500,
            lease_ms: 3_000,
            services: services.collect(),
            servers_leaving: report.servers_leaving,
        };
        async move { grant }
    }

    fn claim(
        &self,
        claims: Vec<ClaimRequest>,
        ends: Vec<ClaimEnd>,
    ) -> impl Future<Output = Vec<ClaimVerdict>> + 'static {
        let verdicts = claims
            .iter()
            .map(|_| ClaimVerdict::Ended(ends.len() as u16))
            .collect();
        async move { verdicts }
    }

    fn bundle(&self) -> impl Future<Output = Option<(u32, Vec<u8>)>> + 'static {
        std::future::ready(Some((4, b"a record".to_vec())))
    }
}

#[test]
fn calls_between_daemons_round_trip_and_a_repeated_report_needs_under_half_the_bytes() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        spawn_local(serve_peers(
            listener,
            Rc::new(EchoHandler(directory())),
            ByteCounter::default(),
        ));
        let counter = ByteCounter::default();
        let link = PeerLink::open(address, 5_000, counter.clone()).await.unwrap();
        let directory = directory();
        let report = report(&directory);
        let grant = link.exchange(&report, &directory).await.unwrap();
        let (service, row) = &grant.services[0];
        assert_eq!(*service, report.services[0].0);
        assert_eq!(row.leases.len(), 9);
        assert_eq!(row.virtual_times.len(), 16);
        assert!((row.virtual_times[3].lead - 1.5).abs() < 0.01);
        assert_eq!(grant.servers_leaving, [NameHash(6)]);
        let first_bytes = counter.total_bytes();
        link.exchange(&report, &directory).await.unwrap();
        let second_bytes = counter.total_bytes() - first_bytes;
        assert!(
            second_bytes * 2 < first_bytes,
            "{second_bytes} B after {first_bytes} B"
        );
        let verdicts = link.claim(&batch(3).claims, &batch(3).ends).await.unwrap();
        assert_eq!(verdicts, [ClaimVerdict::Ended(3); 3]);
        assert_eq!(
            link.fetch_bundle(3).await.unwrap().as_deref(),
            Some(b"a record".as_slice())
        );
        assert_eq!(link.fetch_bundle(4).await.unwrap(), None);
    });
}

#[test]
fn a_peer_that_sends_garbage_is_disconnected() {
    use tokio::io::AsyncReadExt;
    use tokio::io::AsyncWriteExt;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        spawn_local(serve_peers(
            listener,
            Rc::new(EchoHandler(directory())),
            ByteCounter::default(),
        ));
        let mut garbage = tokio::net::TcpStream::connect(address).await.unwrap();
        garbage.write_all(&[0xff; 4_096]).await.unwrap();
        let mut answer = Vec::new();
        let _ = garbage.read_to_end(&mut answer).await;
        // The next peer is still served.
        let link = PeerLink::open(address, 5_000, ByteCounter::default())
            .await
            .unwrap();
        assert!(link.fetch_bundle(0).await.unwrap().is_some());
    });
}
