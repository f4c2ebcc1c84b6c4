//! Memory budgets under drawn sequences of reservations.

use proptest::prelude::*;
use resp::{MemoryBudget, Reservation};

/// The size of the budget.
const CAPACITY: usize = 100_000;
/// The length of each value.
const LENGTH: usize = 30_000;

/// What happens to one of the values.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A value begins.
    Begin,
    /// A value grows by this many bytes, as far as there is room.
    Grow(usize, usize),
    /// A part of a value, in hundredths, is passed on and no longer held.
    Shrink(usize, usize),
    /// A value ends.
    End(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        Just(Step::Begin),
        (any::<usize>(), 1..LENGTH).prop_map(|(at, bytes)| Step::Grow(at, bytes)),
        (any::<usize>(), 0..100usize).prop_map(|(at, percent)| Step::Shrink(at, percent)),
        any::<usize>().prop_map(Step::End),
    ]
}

proptest! {
    /// What is held never exceeds the budget, nothing is lost from it, and the oldest incomplete value can always be
    /// completed.
    #[test]
    fn reservations_that_are_set_stay_within_the_budget(steps in prop::collection::vec(step(), 1..200)) {
        let budget = MemoryBudget::new(CAPACITY);
        let mut values: Vec<(Reservation, usize)> = Vec::new();
        for step in steps {
            let count = values.len().max(1);
            match step {
                Step::Begin => values.push((budget.begin(LENGTH), 0)),
                Step::Grow(at, bytes) => {
                    if let Some((reservation, held)) = values.get_mut(at % count) {
                        *held = (*held + bytes.min(reservation.room())).min(LENGTH);
                        reservation.hold(*held);
                    }
                }
                Step::Shrink(at, percent) => {
                    if let Some((reservation, held)) = values.get_mut(at % count) {
                        *held = *held * percent / 100;
                        reservation.hold(*held);
                    }
                }
                Step::End(at) if !values.is_empty() => drop(values.remove(at % count)),
                Step::End(_) => {}
            }
            let held: usize = values.iter().map(|(_, held)| held).sum();
            prop_assert_eq!(held + budget.available(), CAPACITY);
        }
        drop(values);
        prop_assert_eq!(budget.available(), CAPACITY);
    }
}

/// Guards against values that wait for one another: what the others may take leaves room for the oldest.
#[test]
fn the_oldest_incomplete_value_always_has_room() {
    let budget = MemoryBudget::new(CAPACITY);
    let mut values: Vec<(Reservation, usize)> = (0..20).map(|_| (budget.begin(LENGTH), 0)).collect();
    while !values.is_empty() {
        for (reservation, held) in values.iter_mut().rev() {
            *held = (*held + reservation.room().min(7_000)).min(LENGTH);
            reservation.hold(*held);
        }
        let count = values.len();
        assert!(values[0].1 > 0, "the oldest value of {count} got nothing");
        values.retain(|(_, held)| *held < LENGTH);
    }
}
