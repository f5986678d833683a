//! Bodies that are held within a budget.

use bytes::Bytes;
use cuminlb_routing::{BodyBudget, BodyBuffer, BudgetError};
use cuminlb_types::prelude::*;
use proptest::prelude::*;

const KIB: usize = 1 << 10;

fn budget(kib: u64) -> BodyBudget {
    BodyBudget::new(ByteCount(kib << 10))
}

/// Collects a body in parts of 1 KiB.
fn collect(budget: &BodyBudget, len: usize, stated_len: Option<u64>) -> Result<Bytes, BudgetError> {
    let mut buffer = BodyBuffer::new(budget, ByteCount(64 << 10), stated_len)?;
    let body: Vec<u8> = (0..len).map(|index| index as u8).collect();
    for part in body.chunks(KIB) {
        buffer.push(part)?;
    }
    let bytes = buffer.into_bytes();
    assert_eq!(bytes, body);
    Ok(bytes)
}

#[test]
fn a_body_is_refused_at_once_if_its_stated_length_does_not_fit() {
    let budget = budget(100);
    let held = collect(&budget, 60 * KIB, Some(60 << 10)).unwrap();
    let refused = BodyBuffer::new(&budget, ByteCount(64 << 10), Some(60 << 10));
    assert_eq!(refused.unwrap_err(), BudgetError::NodeHoldsTooMuch);
    drop(held);
    assert!(collect(&budget, 60 * KIB, Some(60 << 10)).is_ok());
}

#[test]
fn a_body_is_held_until_its_last_copy_is_dropped() {
    let budget = budget(100);
    let held = collect(&budget, 60 * KIB, None).unwrap();
    let copy = held.clone();
    drop(held);
    assert!(collect(&budget, 60 * KIB, None).is_err());
    drop(copy);
    assert!(collect(&budget, 60 * KIB, None).is_ok());
}

#[test]
fn short_bodies_are_held_although_long_ones_have_used_up_the_budget() {
    let budget = budget(60);
    let _held = collect(&budget, 60 * KIB, Some(60 << 10)).unwrap();
    assert!(collect(&budget, 4 * KIB, Some(4 << 10)).is_ok());
}

#[test]
fn one_source_leaves_the_rest_to_the_others() {
    let whole = budget(100);
    let (faulty, sound) = (
        whole.part(ByteCount(64 << 10)),
        whole.part(ByteCount(64 << 10)),
    );
    let _held = collect(&faulty, 50 * KIB, Some(50 << 10)).unwrap();
    let refused = collect(&faulty, 50 * KIB, Some(50 << 10));
    assert_eq!(refused.unwrap_err(), BudgetError::SourceHoldsTooMuch);
    assert!(collect(&sound, 50 * KIB, Some(50 << 10)).is_ok());
}

#[test]
fn a_body_that_is_too_long_is_refused() {
    let max_bytes = ByteCount(64 << 10);
    let refused = collect(&budget(1_000), 65 * KIB, None);
    assert_eq!(refused.unwrap_err(), BudgetError::TooLong { max_bytes });
    let refused = BodyBuffer::new(&budget(1_000), max_bytes, Some(u64::MAX));
    assert_eq!(refused.unwrap_err(), BudgetError::TooLong { max_bytes });
}

proptest! {
    /// Whatever is held and dropped, no more than the budget is held, and all of it is free at the end.
    #[test]
    fn the_sum_of_all_bodies_keeps_within_the_budget(
        steps in prop::collection::vec((0..64_usize, any::<bool>(), any::<bool>()), 1..80),
    ) {
        let budget = budget(256);
        let mut held: Vec<Bytes> = Vec::new();
        for (kib, is_stated, drops_first) in steps {
            if drops_first && !held.is_empty() {
                held.remove(0);
            }
            let stated_len = is_stated.then_some((kib << 10) as u64);
            held.extend(collect(&budget, kib * KIB, stated_len));
            let counted = held.iter().map(Bytes::len).filter(|len| *len > 4 * KIB);
            prop_assert!(counted.sum::<usize>() <= 256 * KIB);
        }
        held.clear();
        for _ in 0..4 {
            held.push(collect(&budget, 64 * KIB, Some(64 << 10)).unwrap());
        }
    }
}
