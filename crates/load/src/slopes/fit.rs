//! Least squares.

use serde::Serialize;

/// A fitted line.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Value at zero.
    pub start: f64,
    /// Growth for each unit.
    pub slope: f64,
    /// Share of the variance that the line explains (r²).
    pub fit: f64,
}

/// Fits a line through points; gives none for fewer than two different places.
#[must_use]
pub fn fit(points: &[(f64, f64)]) -> Option<Line> {
    let count = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (x, y) = (mean(|point| point.0), mean(|point| point.1));
    let spread: f64 = points.iter().map(|point| (point.0 - x).powi(2)).sum();
    if points.len() < 2 || spread == 0.0 {
        return None;
    }
    let slope = points.iter().map(|point| (point.0 - x) * (point.1 - y)).sum::<f64>() / spread;
    let start = y - slope * x;
    let total: f64 = points.iter().map(|point| (point.1 - y).powi(2)).sum();
    let rest: f64 = points
        .iter()
        .map(|point| (point.1 - start - slope * point.0).powi(2))
        .sum();
    let fit = if total == 0.0 { 1.0 } else { 1.0 - rest / total };
    Some(Line { start, slope, fit })
}
