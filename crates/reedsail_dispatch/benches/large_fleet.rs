//! Measures how long a dispatch decision, a load report, and a tick and an update of the server list take on one
//! instance, by the number of servers.
//!
//! `cargo bench -p reedsail_dispatch --bench large_fleet` prints the mean time of one call over many calls, in
//! microseconds.

use std::hint::black_box;
use std::time::Instant;

use reedsail_core::NameHash;
use reedsail_core::StorePosition;
use reedsail_core::TimeMs;
use reedsail_dispatch::AllowedRegions;
use reedsail_dispatch::Demand;
use reedsail_dispatch::DispatchSettings;
use reedsail_dispatch::Dispatcher;
use reedsail_dispatch::Priority;
use reedsail_dispatch::Prompt;
use reedsail_dispatch::PromptSegment;
use reedsail_dispatch::ServerChange;
use reedsail_dispatch::ServerList;
use reedsail_dispatch::ServerRecord;
use reedsail_dispatch::ServerSetup;
use reedsail_dispatch::ServerUpdate;
use reedsail_dispatch::SoftwareVersion;
use reedsail_dispatch::VersionDemand;

const SIZES: [u32; 4] = [100, 1_000, 10_000, 20_000];
const NOW: TimeMs = TimeMs(10_000);

fn setup(number: u32) -> ServerSetup {
    ServerSetup {
        name: NameHash::of(&format!("server-{number}")),
        service: NameHash::of("llm"),
        failure_domain: NameHash::of(&format!("hall-{}", number % 5)),
        region: None,
        slots: 16,
        is_draining: false,
        cold_until: None,
        version: SoftwareVersion::of("v1"),
    }
}

/// Returns the names of an instance of the fleet and of its failure domain.
fn member(number: u32) -> (NameHash, NameHash) {
    let domain = NameHash::of(&format!("hall-{}", number % 5));
    (NameHash::of(&format!("instance-{number}")), domain)
}

fn record(number: u32, is_draining: bool) -> ServerRecord {
    ServerRecord {
        id: format!("i-{number:08x}"),
        service: "llm".to_owned(),
        address: "10.128.0.9:8080".parse().expect("the address is valid"),
        failure_domain: format!("hall-{}", number % 5),
        slots: 16,
        is_draining,
        cold_left_ms: 0,
        born_ms: Some(1_700_000_000_000),
        software_version: Some("v1".to_owned()),
    }
}

/// Returns the mean time of a call, in microseconds.
fn mean_us(calls: u32, mut call: impl FnMut(u32)) -> f64 {
    let started_at = Instant::now();
    for number in 0..calls {
        call(number);
    }
    started_at.elapsed().as_secs_f64() * 1e6 / f64::from(calls)
}

fn decision_us(dispatcher: &mut Dispatcher) -> f64 {
    mean_us(2_000, |number| {
        let segment = |id, tokens| PromptSegment { id, tokens };
        let prompt = Prompt {
            segments: vec![segment(u64::from(number), 5_000), segment(u64::MAX, 500)],
            output_tokens: 100,
        };
        let demand = Demand {
            service: NameHash::of("llm"),
            workspace: NameHash::of("labska"),
            prompt: Some(&prompt),
            latency_target_ms: 1_000,
            gap_target_ms: None,
            priority: Priority::default(),
            waited_ms: 0,
            tried: &[],
            regions: &AllowedRegions::Any,
            fingerprint: None,
            version: VersionDemand::Any,
        };
        black_box(dispatcher.decide(&demand, NOW));
    })
}

fn whole_update(servers: u32, offset: u64) -> ServerUpdate {
    let revision = StorePosition::new(0, offset);
    let records = (0..servers).map(|number| ServerChange::Announced(record(number, false)));
    ServerUpdate {
        revision,
        is_whole: true,
        changes: records.map(|change| change.at(revision)).collect(),
    }
}

fn main() {
    println!("servers | decision | report | list tick | whole list read again | one change applied");
    for servers in SIZES {
        let setups: Vec<ServerSetup> = (0..servers).map(setup).collect();
        let mut dispatcher = Dispatcher::new(DispatchSettings::default(), NameHash::of("hall-0"));
        let members: Vec<(NameHash, NameHash)> = (0..servers / 10).map(member).collect();
        dispatcher.set_members(members[0].0, &members);
        dispatcher.set_servers(&setups);
        let decision = decision_us(&mut dispatcher);
        let report = mean_us(1_000, |_| drop(black_box(dispatcher.report(NOW))));
        let mut list = ServerList::default();
        list.apply(whole_update(servers, 1), NOW, NOW);
        apply_changes(&mut list, &mut dispatcher);
        let tick = mean_us(200, |_| drop(black_box(list.tick(NOW))));
        let whole_again = mean_us(2, |number| {
            let update = whole_update(servers, u64::from(number) + 2);
            drop(black_box(list.apply(update, NOW, NOW)));
        });
        let change = mean_us(50, |number| {
            let revision = StorePosition::new(0, u64::from(number) + 4);
            let update = ServerUpdate {
                revision,
                is_whole: false,
                changes: vec![ServerChange::Announced(record(number, true)).at(revision)],
            };
            list.apply(update, NOW, NOW);
            apply_changes(&mut list, &mut dispatcher);
        });
        println!("{servers} | {decision:.1} | {report:.1} | {tick:.1} | {whole_again:.0} | {change:.1}");
    }
}

/// Applies the changes of the list to the dispatcher, as the router's control thread does.
fn apply_changes(list: &mut ServerList, dispatcher: &mut Dispatcher) {
    let changes = list.take_use_changes(NOW);
    let setups: Vec<ServerSetup> = changes.used.iter().map(setup_of).collect();
    dispatcher.update_servers(&setups, &changes.gone);
}

fn setup_of(record: &ServerRecord) -> ServerSetup {
    ServerSetup {
        name: record.name(),
        service: NameHash::of(&record.service),
        failure_domain: NameHash::of(&record.failure_domain),
        region: None,
        slots: record.slots,
        is_draining: record.is_draining,
        cold_until: record.cold_until(NOW),
        version: SoftwareVersion::of("v1"),
    }
}
