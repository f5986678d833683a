//! A simulated engine that executes orders as the platform specifies them.

use cuminlb_catalog::{GroupOrder, InstanceEntry, OrderOutcome, Seat, SeatState};
use cuminlb_types::prelude::*;

/// The seat of an engine, with the member list of its join order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Membership {
    pub seat: Seat,
    pub members: Vec<InstanceId>,
}

#[derive(Clone, Debug)]
pub struct SimulatedEngine {
    pub id: InstanceId,
    pub domain: u32,
    pub incarnation: u64,
    pub is_alive: bool,
    /// The time that it takes, as a multiple of the normal time.
    pub slowdown: f64,
    pub membership: Option<Membership>,
    pub staged: Option<ModelId>,
    /// The number of steps until its load and join are complete.
    pub joining_steps: u32,
    pub opening: bool,
    /// The number of orders begun in this incarnation.
    pub orders: u64,
    seen_epoch: Epoch,
}

impl SimulatedEngine {
    pub fn new(number: u32, domain: u32) -> Self {
        Self {
            id: format!("e{number}").parse().unwrap(),
            domain,
            incarnation: 1,
            is_alive: true,
            slowdown: 1.0,
            membership: None,
            staged: None,
            joining_steps: 0,
            opening: false,
            orders: 0,
            seen_epoch: Epoch(0),
        }
    }

    /// Restarts the process with a new incarnation; only the weights on the host are kept.
    pub fn restart(&mut self) {
        let staged = self.staged.clone();
        let number: u32 = self.id.as_str()[1..].parse().unwrap();
        let incarnation = self.incarnation + 1;
        *self = Self::new(number, self.domain);
        self.incarnation = incarnation;
        self.staged = staged;
    }

    /// Returns the entry that the engine reports.
    pub fn entry(&self) -> InstanceEntry {
        InstanceEntry {
            id: self.id.clone(),
            service: "engines".parse().unwrap(),
            address: ([127, 0, 0, 1], 80).into(),
            zone: "za".parse().unwrap(),
            is_leaving: false,
            cold_remaining_ms: Millis(0),
            slots: SlotCount(8),
            incarnation: Incarnation(self.incarnation),
            orders: OrderSequence(self.orders),
            domain: Some(format!("d{}", self.domain).parse().unwrap()),
            staged: self.staged.iter().cloned().collect(),
            seat: self
                .membership
                .as_ref()
                .map(|membership| membership.seat.clone()),
        }
    }

    /// Executes an order and returns its outcome.
    pub fn apply(&mut self, order: &GroupOrder) -> OrderOutcome {
        let outcome = self.execute(order);
        self.orders += u64::from(outcome == OrderOutcome::Begun);
        outcome
    }

    fn execute(&mut self, order: &GroupOrder) -> OrderOutcome {
        match order {
            GroupOrder::Join {
                group,
                epoch,
                model,
                members,
            } => {
                let has_other_members = self.membership.as_ref().is_some_and(|membership| {
                    membership.seat.group == *group
                        && membership.seat.epoch == *epoch
                        && membership.members != *members
                });
                if *epoch < self.seen_epoch || has_other_members {
                    return OrderOutcome::Outdated;
                }
                self.seen_epoch = *epoch;
                self.joining_steps = if self.staged.as_ref() == Some(model) {
                    1
                } else {
                    3
                };
                self.staged = Some(model.clone());
                self.opening = false;
                let rank = members.iter().position(|id| *id == self.id).unwrap();
                self.membership = Some(Membership {
                    seat: Seat {
                        group: group.clone(),
                        epoch: *epoch,
                        rank: rank as u32,
                        state: SeatState::Joining,
                    },
                    members: members.clone(),
                });
                OrderOutcome::Begun
            }
            GroupOrder::Open { group, epoch } => match self.seat_state(group, *epoch) {
                Some(SeatState::Open) => OrderOutcome::Done,
                Some(SeatState::Ready) => {
                    self.opening = true;
                    OrderOutcome::Begun
                }
                _ => OrderOutcome::Conflict,
            },
            GroupOrder::Close { group, epoch, .. } => match self.seat_state(group, *epoch) {
                Some(SeatState::Ready) => OrderOutcome::Done,
                Some(SeatState::Open | SeatState::Broken) => {
                    self.set_state(SeatState::Ready);
                    OrderOutcome::Begun
                }
                _ => OrderOutcome::Conflict,
            },
            GroupOrder::Leave { group, epoch } => match self.seat_state(group, *epoch) {
                Some(_) => {
                    self.membership = None;
                    self.opening = false;
                    OrderOutcome::Done
                }
                None => OrderOutcome::Conflict,
            },
            GroupOrder::Stage { model } => {
                self.staged = Some(model.clone());
                OrderOutcome::Begun
            }
        }
    }

    /// Advances the engine by one step; returns whether it started to serve as a head.
    pub fn step(&mut self) -> bool {
        if self.joining_steps > 0 {
            self.joining_steps -= 1;
            if self.joining_steps == 0 {
                self.set_state(SeatState::Ready);
            }
        }
        let opens = self.opening;
        if opens {
            self.opening = false;
            self.set_state(SeatState::Open);
        }
        opens
    }

    pub fn is_open(&self) -> bool {
        matches!(&self.membership, Some(membership) if membership.seat.state == SeatState::Open)
    }

    fn seat_state(&self, group: &GroupId, epoch: Epoch) -> Option<SeatState> {
        let seat = &self.membership.as_ref()?.seat;
        (seat.group == *group && seat.epoch == epoch).then_some(seat.state)
    }

    fn set_state(&mut self, state: SeatState) {
        if let Some(membership) = &mut self.membership {
            membership.seat.state = state;
        }
    }
}
