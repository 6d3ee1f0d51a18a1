//! Whether a broken answer is attributed to its server or to its caller.

use reedsail_core::TimeMs;
use reedsail_dispatch::BreakCause;
use reedsail_dispatch::SlowReaderWatch;

#[test]
fn a_break_is_attributed_to_the_server_while_the_caller_reads() {
    let mut watch = SlowReaderWatch::default();
    assert_eq!(watch.break_cause(TimeMs(1_000)), BreakCause::Server);
    for written_at_ms in [1_000, 1_020, 1_900] {
        watch.record_written(TimeMs(written_at_ms));
        watch.record_writable(TimeMs(written_at_ms + 15));
        // The caller waits for a slow server: this is no stall of the caller.
        watch.record_writable(TimeMs(written_at_ms + 9_000));
        assert_eq!(
            watch.break_cause(TimeMs(written_at_ms + 9_000)),
            BreakCause::Server
        );
    }
}

#[test]
fn a_break_after_a_stall_is_attributed_to_the_caller() {
    let mut watch = SlowReaderWatch::default();
    watch.record_written(TimeMs(1_000));
    watch.record_writable(TimeMs(3_500));
    assert_eq!(watch.break_cause(TimeMs(3_500)), BreakCause::CallerStalled);
    // Data that the server sent before it cut the answer is forwarded immediately.
    watch.record_written(TimeMs(3_510));
    watch.record_writable(TimeMs(3_511));
    assert_eq!(watch.break_cause(TimeMs(3_520)), BreakCause::CallerStalled);
    // The caller has been reading for a long time since its stall.
    assert_eq!(watch.break_cause(TimeMs(8_500)), BreakCause::Server);
}
