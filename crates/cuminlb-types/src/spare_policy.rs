//! How many instances of a fabric domain are kept as spares.

use std::fmt;
use std::str::FromStr;

use crate::ParseValueError;

/// The fraction of a domain's instances that [`SparePolicy::Quarter`] keeps as spares.
const SPARE_FRACTION: f64 = 0.25;

/// The spares of [`SparePolicy::SquareRoot`], per square root of the domain's size (docs/design/capacity.md).
const SPARES_PER_ROOT: f64 = 0.7;

/// The minimum number of spares of [`SparePolicy::SquareRoot`], unless it exceeds a quarter of the domain.
const MIN_SPARES: usize = 2;

/// The smallest number of instances for each spare of [`SparePolicy::SquareRoot`].
const MIN_INSTANCES_PER_SPARE: usize = 4;

/// How many instances of a fabric domain are kept as spares, which replace lost members of groups.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SparePolicy {
    /// A quarter of the domain.
    #[default]
    Quarter,
    /// A number that grows with the square root of the domain's size, like the deviation of the number of
    /// members that a domain loses while weights are loaded. Larger domains have more instances that serve.
    SquareRoot,
}

impl SparePolicy {
    /// Returns how many instances of a domain of `size` serve, which need not be a whole number.
    pub fn serving(self, size: usize) -> f64 {
        let all = size as f64;
        match self {
            Self::Quarter => all * (1.0 - SPARE_FRACTION),
            Self::SquareRoot => {
                let spares = (SPARES_PER_ROOT * all.sqrt()).floor() as usize;
                let max_spares = size / MIN_INSTANCES_PER_SPARE;
                (size - spares.max(MIN_SPARES).min(max_spares)) as f64
            }
        }
    }
}

impl fmt::Display for SparePolicy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Quarter => "quarter",
            Self::SquareRoot => "square_root",
        })
    }
}

impl FromStr for SparePolicy {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "quarter" => Ok(Self::Quarter),
            "square_root" => Ok(Self::SquareRoot),
            _ => Err(ParseValueError {
                expected: "quarter or square_root",
                text: text.into(),
            }),
        }
    }
}
