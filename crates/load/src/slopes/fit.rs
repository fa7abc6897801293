//! Linear regression by least squares.

use serde::Serialize;

/// A fitted line.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Value at x = 0.
    pub start: f64,
    /// Growth of y for each unit of x.
    pub slope: f64,
    /// Coefficient of determination (r²).
    pub fit: f64,
}

/// Fits a line to points; returns `None` for fewer than two different x values.
#[must_use]
pub fn fit(points: &[(f64, f64)]) -> Option<Line> {
    let count = points.len() as f64;
    let mean = |field: fn(&(f64, f64)) -> f64| points.iter().map(field).sum::<f64>() / count;
    let (x, y) = (mean(|point| point.0), mean(|point| point.1));
    let x_squares: f64 = points.iter().map(|point| (point.0 - x).powi(2)).sum();
    if points.len() < 2 || x_squares == 0.0 {
        return None;
    }
    let slope = points.iter().map(|point| (point.0 - x) * (point.1 - y)).sum::<f64>() / x_squares;
    let start = y - slope * x;
    let y_squares: f64 = points.iter().map(|point| (point.1 - y).powi(2)).sum();
    let residual_squares: f64 = points
        .iter()
        .map(|point| (point.1 - start - slope * point.0).powi(2))
        .sum();
    let fit = if y_squares == 0.0 {
        1.0
    } else {
        1.0 - residual_squares / y_squares
    };
    Some(Line { start, slope, fit })
}
