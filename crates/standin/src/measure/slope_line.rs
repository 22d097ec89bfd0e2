//! A line fitted to measured points by least squares.

use std::fmt::Display;
use std::fmt::Formatter;

/// A line fitted to points of size and value by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlopeLine {
    /// Value of the line at size 0.
    pub intercept: f64,
    /// Increase of the value per unit of size; 0 if all points have the same size.
    pub slope: f64,
}

impl SlopeLine {
    /// Fits a line to pairs of size and value.
    pub fn fit(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean = |value: fn(&(f64, f64)) -> f64| points.iter().map(value).sum::<f64>() / count;
        let (mean_size, mean_value) = (mean(|point| point.0), mean(|point| point.1));
        let size_deviation_squares: f64 =
            points.iter().map(|point| (point.0 - mean_size).powi(2)).sum();
        let deviation_products: f64 =
            points.iter().map(|point| (point.0 - mean_size) * (point.1 - mean_value)).sum();
        let slope = if size_deviation_squares > 0.0 {
            deviation_products / size_deviation_squares
        } else {
            0.0
        };
        Self { intercept: mean_value - slope * mean_size, slope }
    }
}

impl Display for SlopeLine {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "slope {:.4} for each, {:.3} at none", self.slope, self.intercept)
    }
}
