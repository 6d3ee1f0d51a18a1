//! A timer for a deadline on the clock that counts suspensions.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use reedsail_core::TimeMs;
use tokio::time::Instant;
use tokio::time::Sleep;
use tokio::time::sleep;

use crate::Clock;

/// Interval at which a waiting timer looks at the clock, in milliseconds: after a suspension a deadline is noticed at
/// most this late, where the runtime's timer would be late by the whole suspension. Shorter than the 3,000 ms in
/// which an instance must be as it was before.
const LOOK_EVERY_MS: u64 = 2_000;

/// Completes at a deadline, and stays completed.
#[derive(Debug)]
pub struct DeadlineTimer {
    clock: Clock,
    deadline: TimeMs,
    next_look: Pin<Box<Sleep>>,
}

impl DeadlineTimer {
    pub(crate) fn new(clock: Clock, deadline: TimeMs) -> Self {
        Self {
            clock,
            deadline,
            next_look: Box::pin(sleep(wait(clock, deadline))),
        }
    }
}

/// Returns the time to the next look.
fn wait(clock: Clock, deadline: TimeMs) -> Duration {
    let left_ms = deadline.since_ms(clock.now());
    Duration::from_millis(left_ms.min(LOOK_EVERY_MS))
}

impl Future for DeadlineTimer {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        loop {
            if self.clock.now() >= self.deadline {
                return Poll::Ready(());
            }
            if self.next_look.as_mut().poll(context).is_pending() {
                return Poll::Pending;
            }
            let next = Instant::now() + wait(self.clock, self.deadline);
            self.next_look.as_mut().reset(next);
        }
    }
}
