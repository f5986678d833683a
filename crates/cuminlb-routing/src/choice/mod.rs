//! Which group a request should try.

mod group_choice;

pub use self::group_choice::{GroupChoice, choose_group};
