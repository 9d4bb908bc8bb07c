//! Lines through measured points: a figure at another size is the line's value there.

/// A line through points by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slope {
    /// The value at size 0.
    pub base: f64,
    /// What each further member adds.
    pub each: f64,
    /// The farthest that a point is from the line, as a part of the largest point.
    pub off_by: f64,
}

impl Slope {
    /// The line through points of size and value; none for fewer than two sizes.
    pub fn through(points: &[(f64, f64)]) -> Option<Slope> {
        let count = points.len() as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(|p| p.0), mean(|p| p.1));
        let spread: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        if points.len() < 2 || spread <= 0.0 {
            return None;
        }
        let each = points
            .iter()
            .map(|p| (p.0 - mean_x) * (p.1 - mean_y))
            .sum::<f64>()
            / spread;
        let base = mean_y - each * mean_x;
        let largest = points
            .iter()
            .map(|p| p.1.abs())
            .fold(f64::MIN_POSITIVE, f64::max);
        let farthest = points
            .iter()
            .map(|p| (p.1 - base - each * p.0).abs())
            .fold(0.0, f64::max);
        Some(Slope {
            base,
            each,
            off_by: farthest / largest,
        })
    }

    /// The line's value at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.each * size
    }
}

#[cfg(test)]
mod tests;
