//! Measures the processor time of the control thread.

/// Returns the processor time of this thread in seconds, from the first field of its `schedstat`, which is in
/// nanoseconds.
pub(super) fn thread_cpu_s() -> Option<f64> {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").ok()?;
    let nanoseconds: f64 = text.split_whitespace().next()?.parse().ok()?;
    Some(nanoseconds / 1e9)
}
