//! A small writer of SVG: boxes, lines and text, no more.

use std::fmt::Write as _;

/// A drawing of a given size.
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

    /// A band from one point to another that leaves and arrives level.
    pub fn band(&mut self, a: (f64, f64), b: (f64, f64), width: f64, colour: &str) {
        let ((ax, ay), (bx, by)) = (a, b);
        let m = (ax + bx) / 2.0;
        let _ = writeln!(
            self.body,
            r#"<path d="M{ax:.1} {ay:.1} C{m:.1} {ay:.1} {m:.1} {by:.1} {bx:.1} {by:.1}" fill="none" stroke="{colour}" stroke-width="{width:.1}" stroke-opacity="0.6"/>"#
        );
    }

    /// `anchor` is `start`, `middle` or `end`.
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
