//! The load exchange in fleets of three to a thousand instances, with seeded message loss, kills and partitions.

mod simulated_network;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use reedsail_core::Fingerprint;
use reedsail_core::NameHash;

use simulated_network::Links;
use simulated_network::Network;

/// Time from the start of all instances until each knows the load of all others, in milliseconds.
const KNOWN_WITHIN_MS: u64 = 3_000;

/// Starts a fleet in which each instance runs a seeded number of requests.
fn loaded_network(instances: usize, domains: usize, seed: u64) -> Network {
    let mut network = Network::start(instances, domains, Links::default(), seed);
    let mut random = StdRng::seed_from_u64(seed + 1);
    for index in 0..instances {
        network.set_running(index, random.random_range(0..5));
    }
    network
}

#[test]
fn every_instance_learns_the_load_of_all_others() {
    for (instances, domains) in [(3, 1), (9, 3), (25, 5), (26, 5), (85, 3), (295, 5)] {
        let mut network = loaded_network(instances, domains, 7);
        assert!(network.converges_within(KNOWN_WITHIN_MS), "{instances} instances");
        network.run_for(KNOWN_WITHIN_MS);
        for index in 0..instances {
            assert_eq!(network.known_instances(index), instances);
        }
    }
}

#[test]
fn instances_of_a_fleet_of_a_thousand_learn_all_load_and_send_few_messages() {
    let mut network = loaded_network(1_000, 5, 3);
    assert!(network.converges_within(KNOWN_WITHIN_MS));
    network.take_sent_messages();
    network.run_for(1_000);
    let mut sent = network.take_sent_messages();
    sent.sort_unstable();
    assert!(sent[500] <= 42, "the median instance sent {} messages", sent[500]);
    assert!(sent[999] <= 4_200, "an aggregator sent {} messages", sent[999]);
}

#[test]
fn messages_per_instance_do_not_grow_with_the_fleet() {
    let mut median = Vec::new();
    let mut most = Vec::new();
    for instances in [100, 295] {
        let mut network = loaded_network(instances, 5, 11);
        network.run_for(KNOWN_WITHIN_MS);
        network.take_sent_messages();
        network.run_for(1_000);
        let mut sent = network.take_sent_messages();
        sent.sort_unstable();
        median.push(sent[instances / 2]);
        most.push(sent[instances - 1]);
    }
    assert!(median[1] <= median[0] + 1, "{median:?}");
    assert!(most[1] <= 2_700, "{most:?}");
}

#[test]
fn load_age_is_bounded_at_any_fleet_size() {
    for instances in [30, 100, 295, 1_000] {
        let mut network = loaded_network(instances, 5, 5);
        network.run_for(KNOWN_WITHIN_MS);
        let mut ages_ms = Vec::new();
        for _ in 0..20 {
            network.run_for(37);
            ages_ms.extend((0..instances).filter_map(|index| network.load_age_ms(index)));
        }
        ages_ms.sort_unstable();
        let (median_ms, p99_ms) = (ages_ms[ages_ms.len() / 2], ages_ms[ages_ms.len() * 99 / 100]);
        assert!(median_ms <= 60, "{instances} instances: {median_ms} ms");
        assert!(p99_ms <= 120, "{instances} instances: {p99_ms} ms");
    }
}

#[test]
fn a_fleet_of_small_instances_has_more_aggregators() {
    let mut network = Network::start_uniform(120, 3, 120, 19);
    assert!(network.converges_within(KNOWN_WITHIN_MS));
    network.run_for(KNOWN_WITHIN_MS);
    network.take_sent_messages();
    network.run_for(1_000);
    let most = network.take_sent_messages().into_iter().max().unwrap();
    // An aggregator sends to 20 members, and its sums to five other aggregators.
    assert!(most <= 1_300, "an aggregator sent {most} messages");
}

#[test]
fn a_simultaneous_start_causes_no_message_storm() {
    let mut network = loaded_network(295, 5, 13);
    network.run_for(1_000);
    let sent: u64 = network.take_sent_messages().iter().sum();
    // One message from each instance to all others would be 86,730 messages.
    assert!(sent < 60_000, "{sent} messages in the first second");
}

#[test]
fn a_fleet_recovers_from_the_loss_of_every_aggregator() {
    for seed in [1, 2, 3] {
        let mut network = loaded_network(295, 5, seed);
        network.run_for(KNOWN_WITHIN_MS);
        for domain in 0..5 {
            let aggregator = network.best_ranked_in(domain);
            network.kill(aggregator);
        }
        assert!(network.converges_within(1_600), "seed {seed}");
    }
}

#[test]
fn the_load_of_a_lost_instance_expires() {
    for instances in [9, 85] {
        let mut network = loaded_network(instances, 3, 4);
        network.run_for(KNOWN_WITHIN_MS);
        for index in (0..instances).step_by(2) {
            network.kill(index);
        }
        assert!(network.converges_within(2_500), "{instances} instances");
    }
}

#[test]
fn a_fleet_recovers_from_a_restart_of_all_instances() {
    for seed in [1, 2, 3] {
        let mut network = loaded_network(295, 5, seed);
        network.run_for(KNOWN_WITHIN_MS);
        for index in 0..295 {
            network.kill(index);
        }
        network.run_for(1_300);
        for index in 0..295 {
            network.restart(index);
            network.set_running(index, 2);
        }
        assert!(network.converges_within(KNOWN_WITHIN_MS), "seed {seed}");
    }
}

#[test]
fn a_partitioned_failure_domain_knows_its_own_load_and_recovers() {
    for seed in [5, 6] {
        let mut network = loaded_network(100, 5, seed);
        network.run_for(KNOWN_WITHIN_MS);
        network.partition_domain(2);
        network.run_for(2_500);
        let inside = network.instances_up_in(2);
        let known: u32 = network.running_elsewhere(inside[0]);
        assert!(known > 0 && known < network.actual_running_elsewhere(inside[0]));
        network.heal_partitions();
        assert!(network.converges_within(2_500), "seed {seed}");
    }
}

#[test]
fn a_partitioned_aggregator_is_skipped_and_recovers() {
    let mut network = loaded_network(100, 5, 8);
    network.run_for(KNOWN_WITHIN_MS);
    let aggregator = network.best_ranked_in(1);
    network.partition_instance(aggregator);
    network.run_for(1_600);
    let wrong: Vec<usize> = network.instances_with_wrong_load();
    // The others miss only the load of the partitioned instance.
    for index in network
        .instances_up_in(1)
        .into_iter()
        .filter(|index| *index != aggregator)
    {
        let missing = network.actual_running_elsewhere(index) - network.running_elsewhere(index);
        assert!(missing <= 4, "{index} misses {missing}");
    }
    assert!(!wrong.is_empty());
    network.heal_partitions();
    assert!(network.converges_within(6_000));
}

#[test]
fn an_instance_that_starts_before_its_seeds_finds_them_when_they_start() {
    let mut network = loaded_network(85, 3, 21);
    for seed in 0..3 {
        network.kill(seed);
    }
    network.run_for(500);
    for seed in 0..3 {
        network.restart(seed);
    }
    // The seeds tick within 300 ms, and all other instances send to them every 100 ms.
    network.run_for(800);
    let isolated = (0..85).filter(|index| network.known_instances(*index) < 26);
    assert_eq!(isolated.count(), 0);
}

#[test]
fn a_prompt_segment_of_one_instance_reaches_all_instances() {
    let mut network = loaded_network(295, 5, 9);
    network.run_for(KNOWN_WITHIN_MS);
    network.report_segment(200, 4_711);
    network.run_for(400);
    let unaware = (0..295).filter(|index| *index != 200 && !network.knows_segment(*index, 4_711));
    assert!(unaware.count() <= 3);
}

#[test]
fn a_suspected_request_reaches_all_instances_within_half_a_second() {
    for (instances, domains) in [(9, 3), (60, 3), (295, 5)] {
        let mut network = loaded_network(instances, domains, 9);
        network.run_for(KNOWN_WITHIN_MS);
        let request = Fingerprint(1 << 100);
        network.report_suspect(instances / 2, request, &[NameHash(1)]);
        network.run_for(500);
        let unaware: Vec<usize> = (0..instances)
            .filter(|index| *index != instances / 2 && !network.knows_suspect(*index, request))
            .collect();
        assert_eq!(unaware, [0; 0], "of {instances}");
    }
}

#[test]
fn instances_of_the_first_release_and_of_this_release_learn_all_load() {
    let mut network = Network::start(
        60,
        3,
        Links {
            loss: 0.0,
            ..Links::default()
        },
        17,
    );
    for index in (0..60).step_by(4) {
        network.use_first_release(index);
    }
    for index in 0..60 {
        network.set_running(index, 1);
    }
    network.run_for(6_000);
    for index in 0..60 {
        if index % 4 != 0 {
            assert_eq!(network.running_elsewhere(index), 59, "{index}");
        }
    }
}
