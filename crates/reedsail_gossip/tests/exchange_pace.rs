//! The intervals of the load exchange as a function of the load pressure.

use reedsail_gossip::AGGREGATE_INTERVAL_MS;
use reedsail_gossip::ExchangePace;
use reedsail_gossip::HEARTBEAT_MS;
use reedsail_gossip::IDLE_INTERVAL_MS;

#[test]
fn the_interval_grows_with_the_inverse_square_of_the_pressure() {
    let interval_ms = |pressure_milli| ExchangePace::from_pressure(pressure_milli).load_interval_ms();
    assert_eq!(interval_ms(1_000), AGGREGATE_INTERVAL_MS);
    assert_eq!(interval_ms(500), 4 * AGGREGATE_INTERVAL_MS);
    assert_eq!(interval_ms(250), 16 * AGGREGATE_INTERVAL_MS);
    assert_eq!(interval_ms(0), IDLE_INTERVAL_MS);
    let ms_by_pressure: Vec<u64> = (0..=1_000).map(interval_ms).collect();
    assert!(
        ms_by_pressure
            .is_sorted_by(|at_lower_pressure, at_higher_pressure| at_lower_pressure >= at_higher_pressure)
    );
}

#[test]
fn an_idle_instance_sends_heartbeats() {
    assert_eq!(ExchangePace::from_pressure(0).message_interval_ms(), HEARTBEAT_MS);
    let busy = ExchangePace::from_pressure(1_000);
    assert_eq!(busy.message_interval_ms(), AGGREGATE_INTERVAL_MS);
    assert_eq!(ExchangePace::default(), busy);
}
