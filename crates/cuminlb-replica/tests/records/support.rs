//! Entries of the tests.

use cuminlb_catalog::InstanceEntry;
use cuminlb_replica::InstanceRecords;
use cuminlb_types::prelude::*;

pub fn instance_id(name: &str) -> InstanceId {
    name.parse().unwrap()
}

/// Returns the entry that an instance writes as its `orders`th one after a start.
pub fn entry(name: &str, incarnation: u64, orders: u64) -> InstanceEntry {
    InstanceEntry {
        id: instance_id(name),
        service: "s".parse().unwrap(),
        address: "127.0.0.1:80".parse().unwrap(),
        zone: "za".parse().unwrap(),
        is_leaving: false,
        cold_remaining_ms: Millis(0),
        slots: SlotCount(1),
        incarnation: Incarnation(incarnation),
        orders: OrderSequence(orders),
        domain: None,
        staged: Vec::new(),
        seat: None,
    }
}

/// Returns the same as [`entry`] with a draining instance.
pub fn draining(name: &str, incarnation: u64, orders: u64) -> InstanceEntry {
    InstanceEntry {
        is_leaving: true,
        ..entry(name, incarnation, orders)
    }
}

/// Returns whether requests may be sent to an instance.
pub fn is_used(records: &InstanceRecords, name: &str) -> bool {
    let id = instance_id(name);
    let mut entries = records.entries();
    let entry = entries.find(|entry| entry.id == id);
    entry.is_some_and(|entry| !entry.is_leaving) && !records.unlisted().contains(&id)
}
