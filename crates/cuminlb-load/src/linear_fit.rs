//! [`LinearFit`].

use std::fmt;

/// The straight line that fits measured points best, by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinearFit {
    /// The value at zero.
    pub base: f64,
    /// The rise for each unit.
    pub slope: f64,
}

impl LinearFit {
    /// Fits a line through points; `None` for fewer than two different places.
    pub fn of(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        if points.len() < 2 || spread == 0.0 {
            return None;
        }
        let joint: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = joint / spread;
        Some(Self {
            base: mean_y - slope * mean_x,
            slope,
        })
    }

    /// Returns the value of the line at a place.
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}

impl fmt::Display for LinearFit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.4} + {:.6} x", self.base, self.slope)
    }
}
