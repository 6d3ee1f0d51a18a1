//! Sums of load reports.

use reedsail_core::NameHash;
use reedsail_dispatch::LoadReport;
use reedsail_dispatch::ServerLoadRow;
use reedsail_dispatch::SpeedSums;
use reedsail_gossip::LoadSum;

fn report(answers: f64, pause_ms: u16) -> LoadReport {
    let row = ServerLoadRow {
        server: NameHash(7),
        speed: SpeedSums {
            answers,
            log_slowness: answers / 2.0,
            log_slowness_squares: answers / 4.0,
        },
        pause_ms,
        ..ServerLoadRow::default()
    };
    LoadReport {
        servers: vec![row],
        ..LoadReport::default()
    }
}

#[test]
fn a_sum_has_all_answers_and_the_longest_pause() {
    let mut sum = LoadSum::default();
    for (answers, pause_ms) in [(4.0, 40), (6.0, 300), (2.0, 0)] {
        sum.add(&report(answers, pause_ms));
    }
    assert_eq!(sum.report(10).servers, report(12.0, 300).servers);
}
