//! Whether a failed attempt may be followed by another one.

use reedsail_dispatch::AttemptFailure;
use reedsail_dispatch::RetryPolicy;
use reedsail_dispatch::RetryVerdict;

const NOT_REPEATABLE: RetryPolicy = RetryPolicy {
    is_repeatable: false,
    attempts_max: 3,
};
const REPEATABLE: RetryPolicy = RetryPolicy {
    is_repeatable: true,
    attempts_max: 2,
};

#[test]
fn an_attempt_that_did_not_run_may_be_retried_on_every_route() {
    for policy in [NOT_REPEATABLE, REPEATABLE] {
        assert_eq!(policy.after(AttemptFailure::NotSent), RetryVerdict::Free);
        assert_eq!(policy.after(AttemptFailure::Rejected), RetryVerdict::WithinBudget);
    }
}

#[test]
fn an_attempt_that_may_have_run_is_retried_only_on_a_repeatable_route() {
    let after = |policy: RetryPolicy, attempts| policy.after(AttemptFailure::MayHaveRun { attempts });
    assert_eq!(after(NOT_REPEATABLE, 1), RetryVerdict::Never);
    assert_eq!(after(REPEATABLE, 1), RetryVerdict::WithinBudget);
    assert_eq!(after(REPEATABLE, 2), RetryVerdict::Never);
}

#[test]
fn a_broken_stream_resumes_up_to_the_attempts_of_its_route() {
    let after =
        |policy: RetryPolicy, servers_tried| policy.after(AttemptFailure::StreamBroken { servers_tried });
    assert_eq!(after(NOT_REPEATABLE, 1), RetryVerdict::Never);
    assert_eq!(after(REPEATABLE, 1), RetryVerdict::WithinBudget);
    assert_eq!(after(REPEATABLE, 2), RetryVerdict::Never);
}
