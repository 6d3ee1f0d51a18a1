//! t
use reedsail_bench::*;
fn main() {
    let mut s = uneven_setup(1);
    s.report_ms = 1000;
    s.domain_report_ms = 2000;
    s.config.horizon_ms = 4000;
    s.config.lease_ms = 6000;
    let mut drive = Drive::new(s);
    for _ in 0..4 {
        for _ in 0..50 {
            drive.run(100);
        }
        let sv = drive.served();
        let mn = sv.iter().cloned().fold(1e18, f64::min);
        println!(
            "true      {:?}",
            sv.iter()
                .map(|x| ((x - mn) / 506.0 * 10.0).round() / 10.0)
                .collect::<Vec<_>>()
        );
        drive.dbg();
    }
}
