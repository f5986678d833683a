//! Whether a team uses more than its fair share of the slots of a model.

use cuminlb_types::prelude::*;

/// How much emptier the slots count for a team within its share, and how much fuller for one above it.
/// Twice this is more than the range over which requests come to yield, so that all requests of teams
/// above their share yield before any of the others do.
const SHARE_STEP: f64 = 0.2;

/// Whether a team uses more than its fair share of the slots of a model.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TeamStanding {
    /// The request belongs to no team, or the use of teams is not known.
    #[default]
    Unknown,
    /// It uses its fair share at most.
    WithinShare,
    /// It uses more than its fair share.
    AboveShare,
}

impl TeamStanding {
    /// Returns the standing of a team with `own` requests in flight among all teams that use the slots,
    /// itself included, with `in_use` requests each.
    ///
    /// The shares are max-min fair: what a team does not use is divided among the others. A team that
    /// uses less than an equal part of the slots is always within its share.
    pub fn new(own: f64, in_use: &[f64], slots: f64) -> Self {
        if own > fair_share(in_use, slots) {
            Self::AboveShare
        } else {
            Self::WithinShare
        }
    }
}

/// Returns the number of slots up to which every team gets what it uses.
fn fair_share(in_use: &[f64], slots: f64) -> f64 {
    let mut ascending = in_use.to_vec();
    ascending.sort_by(f64::total_cmp);
    let mut remaining = slots;
    let mut teams = ascending.len();
    for used in ascending {
        let share = remaining / teams as f64;
        if used > share {
            return share;
        }
        remaining -= used;
        teams -= 1;
    }
    f64::INFINITY
}

impl From<TeamStanding> for Ratio {
    /// Returns how much fuller the slots count for a request of the team; less than zero if they count
    /// as emptier.
    fn from(standing: TeamStanding) -> Self {
        Ratio(match standing {
            TeamStanding::Unknown => 0.0,
            TeamStanding::WithinShare => -SHARE_STEP,
            TeamStanding::AboveShare => SHARE_STEP,
        })
    }
}
