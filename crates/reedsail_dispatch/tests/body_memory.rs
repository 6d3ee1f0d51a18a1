//! Which bodies get room, and that all room is given back.

use proptest::prelude::*;
use reedsail_core::NameHash;
use reedsail_dispatch::BodyKind;
use reedsail_dispatch::BodyMemory;
use reedsail_dispatch::BodyReservation;
use reedsail_dispatch::HeldBytes;

const MB: u64 = 1_000_000;

fn workspace(number: u8) -> NameHash {
    NameHash::of(&format!("workspace-{number}"))
}

/// Reserves bodies until one is refused. Returns those that got room.
fn flood(memory: &BodyMemory, number: u8, bytes: u64) -> Vec<BodyReservation> {
    std::iter::from_fn(|| memory.reserve(workspace(number), BodyKind::Request, bytes).ok()).collect()
}

#[test]
fn a_workspace_alone_gets_most_of_the_room() {
    let memory = BodyMemory::new(100);
    assert_eq!(flood(&memory, 1, 4 * MB).len(), 20);
}

/// Guards against a flood of large bodies that shuts out the bodies of other workspaces.
#[test]
fn a_flood_of_one_workspace_leaves_room_for_others() {
    let memory = BodyMemory::new(100);
    let flooding = flood(&memory, 1, 4 * MB);
    for number in 2..6 {
        let other = memory.reserve(workspace(number), BodyKind::Request, 4 * MB);
        std::mem::forget(other.unwrap());
    }
    drop(flooding);
    assert_eq!(memory.held().request_bytes, 16 * MB);
}

#[test]
fn workspaces_that_take_turns_get_equal_room() {
    let memory = BodyMemory::new(100);
    let mut held: Vec<Vec<BodyReservation>> = vec![Vec::new(), Vec::new(), Vec::new()];
    for turn in 0..90_u8 {
        let number = turn % 3;
        let reserved = memory.reserve(workspace(number), BodyKind::Response, MB);
        held[usize::from(number)].extend(reserved);
    }
    let counts: Vec<usize> = held.iter().map(Vec::len).collect();
    assert!(counts.iter().all(|count| (30..=31).contains(count)), "{counts:?}");
}

#[test]
fn the_first_body_of_a_workspace_needs_to_fit_only() {
    let memory = BodyMemory::new(10);
    assert!(memory.reserve(workspace(1), BodyKind::Request, 10 * MB).is_ok());
    let refused = memory
        .reserve(workspace(1), BodyKind::Request, 11 * MB)
        .unwrap_err();
    assert_eq!(refused.limit_bytes, 10 * MB);
    assert_eq!(refused.body_bytes, 11 * MB);
}

#[test]
fn a_body_that_cannot_grow_keeps_its_room() {
    let memory = BodyMemory::new(10);
    let mut body = memory.reserve(workspace(1), BodyKind::Request, 2 * MB).unwrap();
    body.grow_to(6 * MB).unwrap();
    assert!(body.grow_to(11 * MB).is_err());
    assert_eq!(body.bytes(), 6 * MB);
    body.shrink_to(MB);
    assert_eq!(memory.held().total(), MB);
    drop(body);
    assert_eq!(memory.held(), HeldBytes::default());
}

/// One step over the bodies that are held.
#[derive(Clone, Copy, Debug)]
enum Step {
    Reserve(u8, bool, u64),
    Grow(usize, u64),
    Shrink(usize, u64),
    Drop(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..4_u8, any::<bool>(), 0..8 * MB)
            .prop_map(|(number, is_request, bytes)| Step::Reserve(number, is_request, bytes)),
        (0..40_usize, 0..12 * MB).prop_map(|(at, bytes)| Step::Grow(at, bytes)),
        (0..40_usize, 0..8 * MB).prop_map(|(at, bytes)| Step::Shrink(at, bytes)),
        (0..40_usize).prop_map(Step::Drop),
    ]
}

fn apply(memory: &BodyMemory, held: &mut Vec<BodyReservation>, step: Step) {
    match step {
        Step::Reserve(number, is_request, bytes) => {
            let kind = if is_request {
                BodyKind::Request
            } else {
                BodyKind::Response
            };
            held.extend(memory.reserve(workspace(number), kind, bytes));
        }
        Step::Grow(at, bytes) if at < held.len() => {
            let _ = held[at].grow_to(bytes);
        }
        Step::Shrink(at, bytes) if at < held.len() => held[at].shrink_to(bytes),
        Step::Drop(at) if at < held.len() => drop(held.swap_remove(at)),
        Step::Grow(..) | Step::Shrink(..) | Step::Drop(_) => {}
    }
}

proptest! {
    /// Whatever is taken and given back, the account is the sum of what is held, within the limit, and ends at zero.
    #[test]
    fn the_account_is_the_sum_of_what_is_held(steps in prop::collection::vec(step(), 1..200)) {
        let memory = BodyMemory::new(20);
        let mut held = Vec::new();
        for step in steps {
            apply(&memory, &mut held, step);
            let bytes: u64 = held.iter().map(BodyReservation::bytes).sum();
            prop_assert_eq!(memory.held().total(), bytes);
            prop_assert!(bytes <= memory.limit_bytes());
        }
        drop(held);
        prop_assert_eq!(memory.held(), HeldBytes::default());
    }
}
