//! How soon peers must learn of load, depending on the load of the servers.

use reedsail_core::NameHash;
use reedsail_core::TimeMs;
use reedsail_dispatch::DispatchSettings;
use reedsail_dispatch::Dispatcher;
use reedsail_dispatch::LoadReport;
use reedsail_dispatch::ServerLoadRow;
use reedsail_dispatch::ServerSetup;
use reedsail_dispatch::SoftwareVersion;

const NOW: TimeMs = TimeMs(10_000);
const SERVERS: u32 = 1_000;

fn server(number: u32) -> ServerSetup {
    ServerSetup {
        name: NameHash(number),
        service: NameHash::of("llm"),
        failure_domain: NameHash::of("hall-a"),
        region: None,
        slots: 16,
        is_draining: false,
        cold_until: None,
        version: SoftwareVersion::of("v1"),
    }
}

/// Returns the pressure when `busy` servers each run `running` requests and, if `is_prefilling`, have a prompt to
/// prefill.
fn pressure(busy: u32, running: u16, is_prefilling: bool) -> f64 {
    let mut dispatcher = Dispatcher::new(DispatchSettings::default(), NameHash::of("hall-a"));
    let setups: Vec<ServerSetup> = (0..SERVERS).map(server).collect();
    dispatcher.set_servers(&setups);
    let row = |number| ServerLoadRow {
        server: NameHash(number),
        running,
        prefill_tokens: if is_prefilling { 4_000 } else { 0 },
        ..ServerLoadRow::default()
    };
    let report = LoadReport {
        servers: (0..busy).map(row).collect(),
        ..LoadReport::default()
    };
    dispatcher.receive_report(NameHash::of("peer"), report, NOW);
    dispatcher.load_pressure()
}

#[test]
fn an_idle_fleet_has_no_pressure() {
    assert!(pressure(0, 0, false) < f64::EPSILON);
    // One slot in 160 is in use.
    let nearly_idle = pressure(100, 1, false);
    assert!((nearly_idle - 0.0625).abs() < 0.001, "{nearly_idle}");
}

#[test]
fn pressure_grows_with_slots_in_use_and_with_waiting_prompts() {
    assert!(pressure(200, 1, false) > pressure(100, 1, false));
    assert!(pressure(100, 1, true) > pressure(100, 1, false));
    assert!((pressure(300, 1, true) - 1.0).abs() < f64::EPSILON);
    assert!((pressure(SERVERS, 2, false) - 1.0).abs() < f64::EPSILON);
}

#[test]
fn one_server_without_a_free_slot_gives_full_pressure() {
    assert!(pressure(1, 15, false) < 0.1);
    assert!((pressure(1, 16, false) - 1.0).abs() < f64::EPSILON);
}
