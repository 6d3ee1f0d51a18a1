//! The exchange of load in fleets of three to a thousand instances, with seeded loss, kills and cuts.

mod simulated_network;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use reedsail_core::Fingerprint;
use reedsail_core::NameHash;

use simulated_network::Links;
use simulated_network::Network;

/// Time within which every instance knows every other one's load, from a start of all, in milliseconds.
const KNOWN_WITHIN_MS: u64 = 3_000;

fn loaded(instances: usize, domains: usize, seed: u64) -> Network {
    let mut network = Network::start(instances, domains, Links::default(), seed);
    let mut random = StdRng::seed_from_u64(seed + 1);
    for index in 0..instances {
        network.set_running(index, random.random_range(0..5));
    }
    network
}

#[test]
fn every_instance_comes_to_know_the_load_of_all_others() {
    for (instances, domains) in [(3, 1), (9, 3), (25, 5), (26, 5), (85, 3), (295, 5)] {
        let mut network = loaded(instances, domains, 7);
        assert!(network.settles_within(KNOWN_WITHIN_MS), "{instances} instances");
        network.run_for(KNOWN_WITHIN_MS);
        for index in 0..instances {
            assert_eq!(network.instances_known(index), instances);
        }
    }
}

#[test]
fn a_thousand_instances_know_each_other_and_send_no_more_than_a_few_hundred() {
    let mut network = loaded(1_000, 5, 3);
    assert!(network.settles_within(KNOWN_WITHIN_MS));
    network.take_sent();
    network.run_for(1_000);
    let mut sent = network.take_sent();
    sent.sort_unstable();
    assert!(sent[500] <= 42, "a middling instance sent {} messages", sent[500]);
    assert!(sent[999] <= 4_200, "an aggregator sent {} messages", sent[999]);
}

#[test]
fn what_an_instance_sends_does_not_grow_with_the_fleet() {
    let mut middling = Vec::new();
    let mut most = Vec::new();
    for instances in [100, 295] {
        let mut network = loaded(instances, 5, 11);
        network.run_for(KNOWN_WITHIN_MS);
        network.take_sent();
        network.run_for(1_000);
        let mut sent = network.take_sent();
        sent.sort_unstable();
        middling.push(sent[instances / 2]);
        most.push(sent[instances - 1]);
    }
    assert!(middling[1] <= middling[0] + 1, "{middling:?}");
    assert!(most[1] <= 2_700, "{most:?}");
}

#[test]
fn load_is_some_tens_of_milliseconds_old_at_any_size() {
    for instances in [30, 100, 295, 1_000] {
        let mut network = loaded(instances, 5, 5);
        network.run_for(KNOWN_WITHIN_MS);
        let mut ages = Vec::new();
        for _ in 0..20 {
            network.run_for(37);
            ages.extend((0..instances).filter_map(|index| network.load_age_ms(index)));
        }
        ages.sort_unstable();
        let (middle, late) = (ages[ages.len() / 2], ages[ages.len() * 99 / 100]);
        assert!(middle <= 60, "{instances} instances: {middle} ms");
        assert!(late <= 120, "{instances} instances: {late} ms");
    }
}

#[test]
fn where_all_instances_are_small_more_of_them_share_the_work() {
    let mut network = Network::start_alike(120, 3, 120, 19);
    assert!(network.settles_within(KNOWN_WITHIN_MS));
    network.run_for(KNOWN_WITHIN_MS);
    network.take_sent();
    network.run_for(1_000);
    let most = network.take_sent().into_iter().max().unwrap();
    // 20 members, and the sums to five other aggregators.
    assert!(most <= 1_300, "an aggregator sent {most} messages");
}

#[test]
fn a_mass_start_makes_no_storm() {
    let mut network = loaded(295, 5, 13);
    network.run_for(1_000);
    let sent: u64 = network.take_sent().iter().sum();
    // Everyone to everyone once would be 86,730.
    assert!(sent < 60_000, "{sent} messages in the first second");
}

#[test]
fn the_loss_of_every_aggregator_is_made_good_within_a_second() {
    for seed in [1, 2, 3] {
        let mut network = loaded(295, 5, seed);
        network.run_for(KNOWN_WITHIN_MS);
        for domain in 0..5 {
            let aggregator = network.best_in(domain);
            network.kill(aggregator);
        }
        assert!(network.settles_within(1_600), "seed {seed}");
    }
}

#[test]
fn nothing_of_an_instance_that_is_gone_counts_for_good() {
    for instances in [9, 85] {
        let mut network = loaded(instances, 3, 4);
        network.run_for(KNOWN_WITHIN_MS);
        for index in (0..instances).step_by(2) {
            network.kill(index);
        }
        assert!(network.settles_within(2_500), "{instances} instances");
    }
}

#[test]
fn instances_that_are_all_started_anew_know_each_other_again() {
    for seed in [1, 2, 3] {
        let mut network = loaded(295, 5, seed);
        network.run_for(KNOWN_WITHIN_MS);
        for index in 0..295 {
            network.kill(index);
        }
        network.run_for(1_300);
        for index in 0..295 {
            network.restart(index);
            network.set_running(index, 2);
        }
        assert!(network.settles_within(KNOWN_WITHIN_MS), "seed {seed}");
    }
}

#[test]
fn a_failure_domain_that_is_cut_off_knows_its_own_load_and_later_all() {
    for seed in [5, 6] {
        let mut network = loaded(100, 5, seed);
        network.run_for(KNOWN_WITHIN_MS);
        network.cut_domain(2);
        network.run_for(2_500);
        let inside = network.up_in(2);
        let own: u32 = network.running_elsewhere(inside[0]);
        assert!(own > 0 && own < network.truly_running_elsewhere(inside[0]));
        network.heal();
        assert!(network.settles_within(2_500), "seed {seed}");
    }
}

#[test]
fn an_aggregator_that_is_cut_off_is_passed_over_and_taken_back() {
    let mut network = loaded(100, 5, 8);
    network.run_for(KNOWN_WITHIN_MS);
    let aggregator = network.best_in(1);
    network.cut_node(aggregator);
    network.run_for(1_600);
    let others: Vec<usize> = network.wrong();
    // The others lack only what runs at the one that is cut off.
    for index in network.up_in(1).into_iter().filter(|index| *index != aggregator) {
        let missing = network.truly_running_elsewhere(index) - network.running_elsewhere(index);
        assert!(missing <= 4, "{index} misses {missing}");
    }
    assert!(!others.is_empty());
    network.heal();
    assert!(network.settles_within(6_000));
}

#[test]
fn an_instance_that_starts_before_its_seeds_finds_them_once_they_are_there() {
    let mut network = loaded(85, 3, 21);
    for seed in 0..3 {
        network.kill(seed);
    }
    network.run_for(500);
    for seed in 0..3 {
        network.restart(seed);
    }
    // The seeds tick within 300 ms, and everyone else asks them every 100 ms.
    network.run_for(800);
    let strangers = (0..85).filter(|index| network.instances_known(*index) < 26);
    assert_eq!(strangers.count(), 0);
}

#[test]
fn a_segment_that_one_instance_sent_is_known_to_all() {
    let mut network = loaded(295, 5, 9);
    network.run_for(KNOWN_WITHIN_MS);
    network.report_segment(200, 4_711);
    network.run_for(400);
    let unaware = (0..295).filter(|index| *index != 200 && !network.knows_segment(*index, 4_711));
    assert!(unaware.count() <= 3);
}

#[test]
fn a_suspected_request_is_known_to_all_within_the_time_that_it_is_told() {
    for (instances, domains) in [(9, 3), (60, 3), (295, 5)] {
        let mut network = loaded(instances, domains, 9);
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
fn instances_of_the_first_release_and_of_this_one_know_each_other() {
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
        network.make_old(index);
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
