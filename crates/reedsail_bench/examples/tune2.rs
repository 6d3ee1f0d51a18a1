//! t
use reedsail_bench::*;
fn main() {
    for (r, d, h) in [
        (200, 200, 2000),
        (1000, 2000, 2000),
        (1000, 2000, 4000),
        (1000, 2000, 8000),
        (1000, 2000, 16000),
        (500, 1000, 4000),
        (500, 1000, 8000),
    ] {
        let mut s = uneven_setup(1);
        s.report_ms = r;
        s.domain_report_ms = d;
        s.config.horizon_ms = h;
        s.config.lease_ms = 3 * d;
        let mut drive = Drive::new(s);
        print!("r {r} d {d} h {h}: ");
        for _ in 0..8 {
            let mut w = GapWatch::begin(&drive, (0..16).collect());
            for _ in 0..50 {
                drive.run(100);
                w.look(&drive);
            }
            let sv = drive.served();
            let mx = sv.iter().cloned().fold(0.0, f64::max);
            let mn = sv.iter().cloned().fold(1e18, f64::min);
            print!(
                "[{:.1} {:.3} spread {:.1}] ",
                w.gap_s(),
                drive.take_utilisation(),
                (mx - mn) / 506.0
            );
        }
        println!();
    }
}
