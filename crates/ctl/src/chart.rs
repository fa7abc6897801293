//! Bar charts and self-contained pages: SVG within one HTML file.

use std::fmt::Write as _;

use derive_more::{Display, Error};
use plotters::coord::Shift;
use plotters::prelude::*;

/// Width and height of a chart, in pixels.
const CHART_SIZE_PX: (u32, u32) = (760, 300);
/// Colours of the series, used in turn.
const COLORS: [RGBColor; 6] = [
    RGBColor(38, 84, 150),
    RGBColor(200, 120, 20),
    RGBColor(70, 140, 70),
    RGBColor(170, 50, 60),
    RGBColor(110, 80, 150),
    RGBColor(90, 90, 90),
];

/// A chart could not be drawn.
#[derive(Clone, Debug, Display, Error)]
#[display("draw {title}: {reason}")]
pub struct ChartError {
    /// Title of the chart.
    pub title: String,
    /// What the plotting library reports.
    pub reason: String,
}

/// A bar chart with groups of bars, one bar for each series in each group.
#[derive(Clone, Debug, Default)]
pub struct Bars {
    /// Title, which names the unit.
    pub title: String,
    /// Labels of the groups, from left to right.
    pub groups: Vec<String>,
    /// Name of each series, with a value for each group.
    pub series: Vec<(String, Vec<f64>)>,
}

impl Bars {
    /// Draws the chart as SVG.
    ///
    /// # Errors
    /// Fails when the plotting library can't draw the chart.
    pub fn svg(&self) -> Result<String, ChartError> {
        let mut text = String::new();
        {
            let area = SVGBackend::with_string(&mut text, CHART_SIZE_PX).into_drawing_area();
            self.draw(&area).map_err(|reason| ChartError {
                title: self.title.clone(),
                reason,
            })?;
        }
        Ok(text)
    }

    fn draw(&self, area: &DrawingArea<SVGBackend<'_>, Shift>) -> Result<(), String> {
        let to_reason = |error: &dyn std::fmt::Display| error.to_string();
        area.fill(&WHITE).map_err(|error| to_reason(&error))?;
        let max_value = self
            .series
            .iter()
            .flat_map(|(_, values)| values)
            .copied()
            .fold(0.0, f64::max);
        let y_max = if max_value > 0.0 { max_value * 1.15 } else { 1.0 };
        let x_max = self.groups.len().max(1) as f64;
        let mut chart = ChartBuilder::on(area)
            .caption(&self.title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..x_max, 0.0..y_max)
            .map_err(|error| to_reason(&error))?;
        let groups = &self.groups;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_labels(2 * groups.len() + 1)
            .x_label_formatter(&|at| group_label(groups, *at))
            .y_labels(5)
            .draw()
            .map_err(|error| to_reason(&error))?;
        let width = 0.8 / self.series.len().max(1) as f64;
        for (index, (name, values)) in self.series.iter().enumerate() {
            let color = COLORS[index % COLORS.len()];
            let bars = values.iter().enumerate().map(|(group, value)| {
                let left = group as f64 + 0.1 + index as f64 * width;
                Rectangle::new([(left, 0.0), (left + width * 0.92, value.max(0.0))], color.filled())
            });
            chart
                .draw_series(bars)
                .map_err(|error| to_reason(&error))?
                .label(name)
                .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], color.filled()));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.3))
            .draw()
            .map_err(|error| to_reason(&error))?;
        area.present().map_err(|error| to_reason(&error))
    }
}

/// Returns the label of a group at its middle, and an empty one elsewhere.
fn group_label(groups: &[String], at: f64) -> String {
    let fraction = at.fract();
    let name = groups
        .get(at.floor() as usize)
        .filter(|_| (0.4..0.6).contains(&fraction));
    name.cloned().unwrap_or_default()
}

/// An HTML page that loads nothing from elsewhere.
#[derive(Clone, Debug)]
pub struct Page {
    text: String,
}

impl Page {
    /// Starts a page; the title is also its first heading.
    #[must_use]
    pub fn new(title: &str) -> Self {
        let title = escape(title);
        let text = format!(
            "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>{title}</title>\n\
             <style>body{{font:15px/1.5 sans-serif;max-width:60rem;margin:2rem auto;padding:0 1rem}}\
             table{{border-collapse:collapse}}td,th{{padding:.2rem .6rem;border-bottom:1px solid #ccc;text-align:right}}\
             td:first-child,th:first-child{{text-align:left}}svg{{max-width:100%;height:auto}}</style></head>\n\
             <body><h1>{title}</h1>\n"
        );
        Self { text }
    }

    /// Adds a heading of the second level.
    pub fn heading(&mut self, text: &str) {
        self.push(&format!("<h2>{}</h2>", escape(text)));
    }

    /// Adds a paragraph of plain text.
    pub fn paragraph(&mut self, text: &str) {
        self.push(&format!("<p>{}</p>", escape(text)));
    }

    /// Adds a table with a row of column names and the given rows.
    pub fn table(&mut self, head: &[&str], rows: &[Vec<String>]) {
        let cells = |kind: &str, texts: &mut dyn Iterator<Item = &str>| {
            texts.fold(String::new(), |mut line, text| {
                // Writing to a string can't fail.
                let _ = write!(line, "<{kind}>{}</{kind}>", escape(text));
                line
            })
        };
        let mut text = format!("<table><tr>{}</tr>", cells("th", &mut head.iter().copied()));
        for row in rows {
            // Writing to a string can't fail.
            let _ = write!(text, "\n<tr>{}</tr>", cells("td", &mut row.iter().map(String::as_str)));
        }
        self.push(&format!("{text}</table>"));
    }

    /// Adds a chart as inline SVG.
    ///
    /// # Errors
    /// Fails when the chart can't be drawn.
    pub fn plot(&mut self, bars: &Bars) -> Result<(), ChartError> {
        let svg = bars.svg()?;
        self.push(&svg);
        Ok(())
    }

    /// Returns the whole page as HTML.
    #[must_use]
    pub fn finish(self) -> String {
        self.text + "</body></html>\n"
    }

    fn push(&mut self, text: &str) {
        self.text.push_str(text);
        self.text.push('\n');
    }
}

/// Escapes text for HTML; names in contracts may hold any characters until they are validated.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
