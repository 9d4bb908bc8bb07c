//! Writes SVG drawings that consist of rectangles, lines, bands and text.

use std::fmt::Write as _;

/// A drawing of a fixed size in pixels, written in the order of the calls.
pub(crate) struct Svg {
    size: (f64, f64),
    body: String,
}

impl Svg {
    pub fn new(width: f64, height: f64) -> Self {
        Svg {
            size: (width, height),
            body: String::new(),
        }
    }

    pub fn rect(&mut self, (x, y): (f64, f64), (w, h): (f64, f64), fill: &str) {
        let (w, h) = (w.max(0.0), h.max(0.0));
        let _ = writeln!(
            self.body,
            r#"<rect x="{x:.1}" y="{y:.1}" width="{w:.1}" height="{h:.1}" fill="{fill}"/>"#
        );
    }

    pub fn line(&mut self, a: (f64, f64), b: (f64, f64), width: f64, colour: &str) {
        let ((ax, ay), (bx, by)) = (a, b);
        let _ = writeln!(
            self.body,
            r#"<line x1="{ax:.1}" y1="{ay:.1}" x2="{bx:.1}" y2="{by:.1}" stroke="{colour}" stroke-width="{width:.1}"/>"#
        );
    }

    /// A curved band that starts and ends horizontally.
    pub fn band(&mut self, a: (f64, f64), b: (f64, f64), width: f64, colour: &str) {
        let ((ax, ay), (bx, by)) = (a, b);
        let middle = (ax + bx) / 2.0;
        let _ = writeln!(
            self.body,
            r#"<path d="M{ax:.1} {ay:.1} C{middle:.1} {ay:.1} {middle:.1} {by:.1} {bx:.1} {by:.1}" fill="none" stroke="{colour}" stroke-width="{width:.1}" stroke-opacity="0.6"/>"#
        );
    }

    /// Places the `anchor` of the text (`start`, `middle` or `end`) at a point of its baseline.
    pub fn text(&mut self, (x, y): (f64, f64), size: f64, anchor: &str, text: &str) {
        let text = text
            .replace('&', "&amp;")
            .replace('<', "&lt;")
            .replace('>', "&gt;");
        let _ = writeln!(
            self.body,
            r#"<text x="{x:.1}" y="{y:.1}" font-size="{size}" text-anchor="{anchor}">{text}</text>"#
        );
    }

    pub fn finish(self) -> String {
        let (w, h) = self.size;
        format!(
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{w}\" height=\"{h}\" viewBox=\"0 0 {w} {h}\" \
             font-family=\"sans-serif\">\n<rect width=\"{w}\" height=\"{h}\" fill=\"white\"/>\n{}</svg>\n",
            self.body
        )
    }
}
