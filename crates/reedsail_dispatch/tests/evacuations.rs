//! The evacuation state does not depend on the order in which records and peers' rows arrive.

use std::collections::BTreeMap;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use reedsail_core::NameHash;
use reedsail_core::StorePosition;
use reedsail_core::TimeMs;
use reedsail_dispatch::EvacuationRow;
use reedsail_dispatch::EvacuationUpdate;
use reedsail_dispatch::Evacuations;

fn row(failure_domain: &str, revision: u64, is_active: bool) -> EvacuationRow {
    EvacuationRow {
        failure_domain: NameHash::of(failure_domain),
        revision: StorePosition::new(0, revision),
        is_active,
    }
}

fn full_read(rows: Vec<EvacuationRow>, until: u64) -> EvacuationUpdate {
    EvacuationUpdate {
        rows,
        whole_until: Some(StorePosition::new(0, until)),
    }
}

#[test]
fn an_older_row_neither_begins_nor_ends_an_evacuation() {
    let mut evacuations = Evacuations::default();
    assert!(evacuations.merge(&[row("hall-a", 5, true)]));
    assert!(!evacuations.merge(&[row("hall-a", 4, false)]));
    assert_eq!(evacuations.active(), [NameHash::of("hall-a")]);
    assert!(evacuations.merge(&[row("hall-a", 9, false)]));
    assert!(!evacuations.merge(&[row("hall-a", 5, true)]));
    assert!(evacuations.active().is_empty());
    // Ended evacuations are still reported, for peers that only know that the evacuation began.
    assert_eq!(evacuations.rows(), [row("hall-a", 9, false)]);
}

#[test]
fn a_full_read_ends_the_evacuations_that_it_does_not_name_unless_it_is_older() {
    let mut evacuations = Evacuations::default();
    evacuations.merge(&[row("hall-a", 5, true), row("hall-b", 12, true)]);
    assert!(evacuations.apply(&full_read(Vec::new(), 10)));
    assert_eq!(evacuations.active(), [NameHash::of("hall-b")]);
    assert!(
        !evacuations.merge(&[row("hall-a", 5, true)]),
        "a peer that has not read the store yet"
    );
    assert!(evacuations.apply(&full_read(
        vec![row("hall-a", 11, true), row("hall-b", 12, true)],
        12
    )));
    assert_eq!(evacuations.active().len(), 2);
}

#[test]
fn any_order_of_the_same_rows_leads_to_the_same_state() {
    let mut random = StdRng::seed_from_u64(3);
    let domains = ["hall-a", "hall-b", "hall-c"];
    for _ in 0..500 {
        let mut rows: Vec<EvacuationRow> = (1..=12)
            .map(|revision| row(domains[random.random_range(0..3)], revision, random.random()))
            .collect();
        let mut in_order = Evacuations::default();
        in_order.merge(&rows);
        rows.shuffle(&mut random);
        let mut shuffled = Evacuations::default();
        for row in &rows {
            shuffled.merge(&[*row]);
        }
        assert_eq!(shuffled.rows(), in_order.rows());
    }
}

#[test]
fn a_backup_row_of_each_of_two_successive_eras_is_withheld() {
    let of_era = |era, revision, is_active| EvacuationRow {
        revision: StorePosition::new(era, revision),
        ..row("hall-a", revision, is_active)
    };
    for (before, is_active_in_backup) in [(false, true), (true, false)] {
        let mut evacuations = Evacuations::default();
        evacuations.merge(&[of_era(1, 9, before)]);
        assert!(
            !evacuations.merge(&[of_era(2, 5, is_active_in_backup)]),
            "may be from a backup"
        );
        assert!(!evacuations.tick(TimeMs(1_000)));
        assert!(
            !evacuations.merge(&[of_era(3, 4, is_active_in_backup)]),
            "may be from a backup as well"
        );
        assert_eq!(evacuations.active().len(), usize::from(before));
        // The time starts at the first contradiction.
        assert!(!evacuations.tick(TimeMs(4_999)));
        assert!(evacuations.tick(TimeMs(5_000)));
        assert_eq!(evacuations.rows(), [of_era(3, 4, is_active_in_backup)]);
    }
}

#[test]
fn a_row_written_in_the_newest_era_takes_effect_at_once() {
    let of_era = |era, revision, is_active| EvacuationRow {
        revision: StorePosition::new(era, revision),
        ..row("hall-a", revision, is_active)
    };
    let mut evacuations = Evacuations::default();
    evacuations.merge(&[of_era(1, 9, false)]);
    assert!(!evacuations.merge(&[of_era(2, 5, true)]));
    assert!(!evacuations.merge(&[of_era(3, 4, true)]));
    assert!(
        evacuations.merge(&[of_era(3, 6, true)]),
        "was written in that era"
    );
    assert_eq!(evacuations.active().len(), 1);
}

/// Guards against an older read or row that begins or ends an evacuation again: rows of peers, reads of single records and
/// reads of all records arrive late, repeatedly, in any order, or not at all.
#[test]
fn rows_in_any_order_lead_to_the_newest_state() {
    const DOMAINS: u32 = 3;
    for seed in 0..500 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut log: Vec<EvacuationRow> = Vec::new();
        let mut words = Vec::new();
        for offset in 1..=12 {
            log.push(EvacuationRow {
                failure_domain: NameHash(random.random_range(0..DOMAINS)),
                revision: StorePosition::new(0, offset),
                is_active: random.random(),
            });
            let newest: BTreeMap<NameHash, EvacuationRow> =
                log.iter().map(|row| (row.failure_domain, *row)).collect();
            let since = log[random.random_range(0..log.len())..].to_vec();
            words.push(EvacuationUpdate {
                rows: since,
                whole_until: None,
            });
            let active = newest.values().filter(|row| row.is_active);
            words.push(EvacuationUpdate {
                rows: active.copied().collect(),
                whole_until: Some(StorePosition::new(0, offset)),
            });
            words.push(EvacuationUpdate {
                rows: newest.into_values().collect(),
                whole_until: None,
            });
        }
        let last = words.len() - 2..words.len() - 1;
        let mut order: Vec<usize> = (0..40).map(|_| random.random_range(0..words.len())).collect();
        order.insert(random.random_range(0..=order.len()), last.start);
        let mut evacuations = Evacuations::default();
        for word in order {
            evacuations.apply(&words[word]);
        }
        let newest: BTreeMap<NameHash, EvacuationRow> =
            log.iter().map(|row| (row.failure_domain, *row)).collect();
        let active: Vec<NameHash> = newest
            .values()
            .filter(|row| row.is_active)
            .map(|row| row.failure_domain)
            .collect();
        assert_eq!(evacuations.active(), active, "seed {seed}");
    }
}
