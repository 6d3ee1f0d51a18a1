//! A timer for a deadline on the clock that includes suspensions.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use reedsail_core::TimeMs;
use tokio::time::Instant;
use tokio::time::Sleep;
use tokio::time::sleep;

use crate::Clock;

/// Interval at which a waiting timer checks the clock, in milliseconds. After a suspension, the timer detects a passed
/// deadline within this interval; the runtime's timer would be late by the whole suspension. The interval is shorter
/// than the 3,000 ms within which an instance must recover.
const CLOCK_CHECK_INTERVAL_MS: u64 = 2_000;

/// A future that completes at a deadline and stays completed.
#[derive(Debug)]
pub struct DeadlineTimer {
    clock: Clock,
    deadline: TimeMs,
    next_check: Pin<Box<Sleep>>,
}

impl DeadlineTimer {
    pub(crate) fn new(clock: Clock, deadline: TimeMs) -> Self {
        Self {
            clock,
            deadline,
            next_check: Box::pin(sleep(time_to_next_check(clock, deadline))),
        }
    }
}

/// Returns the time until the next check of the clock.
fn time_to_next_check(clock: Clock, deadline: TimeMs) -> Duration {
    let left_ms = deadline.since_ms(clock.now());
    Duration::from_millis(left_ms.min(CLOCK_CHECK_INTERVAL_MS))
}

impl Future for DeadlineTimer {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        loop {
            if self.clock.now() >= self.deadline {
                return Poll::Ready(());
            }
            if self.next_check.as_mut().poll(context).is_pending() {
                return Poll::Pending;
            }
            let next = Instant::now() + time_to_next_check(self.clock, self.deadline);
            self.next_check.as_mut().reset(next);
        }
    }
}
