//! Linear regression through measured points.

/// A line fitted by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Value at `x = 0`.
    pub base: f64,
    /// Increase of `y` per unit of `x`.
    pub slope: f64,
}

/// Fits a line through points `(x, y)`; the slope is 0 if all `x` are equal.
pub fn fit(points: &[(f64, f64)]) -> Line {
    let count = points.len().max(1) as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let sum_of_squares: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
    let sum_of_products: f64 =
        points.iter().map(|point| (point.0 - mean_x) * (point.1 - mean_y)).sum();
    let slope = if sum_of_squares > 0.0 { sum_of_products / sum_of_squares } else { 0.0 };
    Line { base: mean_y - slope * mean_x, slope }
}
