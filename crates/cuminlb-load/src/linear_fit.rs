//! Linear regression over measured points, for the slopes in capacity reports.

use std::fmt;

/// A straight line fitted to measured points by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinearFit {
    /// The value at `x` = 0.
    pub intercept: f64,
    /// The change of the value per unit of `x`.
    pub slope: f64,
}

impl LinearFit {
    /// Fits a line to `(x, y)` points; returns `None` for fewer than two distinct values of `x`.
    pub fn least_squares(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let sum_xx: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        if points.len() < 2 || sum_xx == 0.0 {
            return None;
        }
        let sum_xy: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = sum_xy / sum_xx;
        Some(Self {
            intercept: mean_y - slope * mean_x,
            slope,
        })
    }

    /// Returns the value of the line at `x`.
    pub fn value_at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

impl fmt::Display for LinearFit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.4} + {:.6} x", self.intercept, self.slope)
    }
}
