//! Plots as SVG files.

use plotters::prelude::*;
use std::ops::Range;
use std::path::Path;

/// A chart of lines over one axis.
#[derive(Clone, Debug, Default)]
pub struct Chart {
    /// Its title.
    pub title: String,
    /// What the horizontal axis shows, with its unit.
    pub x: String,
    /// What the vertical axis shows, with its unit.
    pub y: String,
    /// Lines by name.
    pub lines: Vec<(String, Vec<(f64, f64)>)>,
    /// Moments marked by an upright line with a word.
    pub marks: Vec<(f64, String)>,
}

/// A chart can't be drawn.
#[derive(Debug, thiserror::Error)]
#[error("{file}: {why}")]
pub struct PlotError {
    file: String,
    why: String,
}

impl Chart {
    fn ranges(&self) -> (Range<f64>, Range<f64>) {
        let points = || self.lines.iter().flat_map(|(_, points)| points);
        let most = |all: &mut dyn Iterator<Item = f64>| {
            all.filter(|v| v.is_finite()).fold(f64::MIN, f64::max)
        };
        let least = |all: &mut dyn Iterator<Item = f64>| {
            all.filter(|v| v.is_finite()).fold(f64::MAX, f64::min)
        };
        let (from, to) = (
            least(&mut points().map(|p| p.0)),
            most(&mut points().map(|p| p.0)),
        );
        let top = most(&mut points().map(|p| p.1)).max(1e-9) * 1.1;
        // Nothing drawn, or one point: an axis needs some length all the same.
        let (from, to) = if from < to {
            (from, to)
        } else {
            (from.min(0.0), from.clamp(-1e300, 1e300) + 1.0)
        };
        (from..to, 0.0..top)
    }

    /// Writes the chart to a file.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn save(&self, path: &Path) -> Result<(), PlotError> {
        let failed = |e: &dyn std::fmt::Display| PlotError {
            file: path.display().to_string(),
            why: e.to_string(),
        };
        self.draw(path).map_err(|e| failed(&e))
    }

    fn draw(&self, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
        let area = SVGBackend::new(path, (960, 480)).into_drawing_area();
        area.fill(&WHITE)?;
        let (x, y) = self.ranges();
        let top = y.end;
        let mut chart = ChartBuilder::on(&area)
            .caption(&self.title, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(40)
            .y_label_area_size(64)
            .build_cartesian_2d(x, y)?;
        chart
            .configure_mesh()
            .x_desc(&self.x)
            .y_desc(&self.y)
            .light_line_style(WHITE)
            .draw()?;
        for (i, (at, word)) in self.marks.iter().enumerate() {
            chart.draw_series([PathElement::new([(*at, 0.0), (*at, top)], BLACK.mix(0.4))])?;
            let height = top * (1.0 - 0.05 * (i % 6 + 1) as f64);
            chart.draw_series([Text::new(word.clone(), (*at, height), ("sans-serif", 12))])?;
        }
        for (i, (name, points)) in self.lines.iter().enumerate() {
            let color = Palette99::pick(i).to_rgba();
            let drawn = chart.draw_series(LineSeries::new(
                points.iter().copied(),
                color.stroke_width(2),
            ))?;
            drawn
                .label(name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.3))
            .draw()?;
        area.present()?;
        Ok(())
    }
}
