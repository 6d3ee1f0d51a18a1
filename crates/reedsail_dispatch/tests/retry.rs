//! Whether a failed attempt may be followed by another one.

use reedsail_dispatch::AttemptFailure;
use reedsail_dispatch::RetryPolicy;
use reedsail_dispatch::RetryVerdict;

const ONCE: RetryPolicy = RetryPolicy {
    is_repeatable: false,
    attempts_max: 3,
};
const TWICE: RetryPolicy = RetryPolicy {
    is_repeatable: true,
    attempts_max: 2,
};

#[test]
fn what_was_not_run_may_be_sent_again_on_every_route() {
    for policy in [ONCE, TWICE] {
        assert_eq!(policy.after(AttemptFailure::NotSent), RetryVerdict::Free);
        assert_eq!(policy.after(AttemptFailure::Rejected), RetryVerdict::WithinBudget);
    }
}

#[test]
fn what_may_have_run_is_repeated_only_on_a_repeatable_route() {
    let after = |policy: RetryPolicy, attempts| policy.after(AttemptFailure::MayHaveRun { attempts });
    assert_eq!(after(ONCE, 1), RetryVerdict::Never);
    assert_eq!(after(TWICE, 1), RetryVerdict::WithinBudget);
    assert_eq!(after(TWICE, 2), RetryVerdict::Never);
}

#[test]
fn a_stream_goes_on_up_to_the_attempts_of_its_route() {
    let after =
        |policy: RetryPolicy, servers_tried| policy.after(AttemptFailure::StreamBroken { servers_tried });
    assert_eq!(after(ONCE, 1), RetryVerdict::Never);
    assert_eq!(after(TWICE, 1), RetryVerdict::WithinBudget);
    assert_eq!(after(TWICE, 2), RetryVerdict::Never);
}
