//! Draws the CSV of `bench/fleet.sh` as an SVG: one panel a figure, one line a phase.

use std::collections::BTreeMap;
use std::env;
use std::fs;

use anyhow::{Context as _, Result, bail};
use plotters::prelude::*;

/// The size of the picture in pixels.
const SIZE: (u32, u32) = (1200, 900);

/// The figures drawn: the column in the CSV and what stands over the panel.
const PANELS: [(&str, &str); 6] = [
    ("bytes", "peer bytes/s a node"),
    ("busiest", "peer bytes/s, busiest node"),
    ("cpu", "% of a core a node"),
    ("rss", "resident kB a node"),
    ("reads", "platform reads/s, nodes measured"),
    ("p100", "ms until in force on the last node"),
];

type Lines = BTreeMap<String, Vec<(f64, f64)>>;

fn main() -> Result<()> {
    let args: Vec<_> = env::args().skip(1).collect();
    let [from, to] = &*args else {
        bail!("Usage: plot CSV SVG");
    };
    let text = fs::read_to_string(from).with_context(|| from.clone())?;
    draw(&text, to)
}

fn draw(text: &str, to: &str) -> Result<()> {
    let root = SVGBackend::new(to, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    for (area, (column, title)) in root.split_evenly((2, 3)).iter().zip(PANELS) {
        panel(area, &lines(text, column)?, title)?;
    }
    root.present()?;
    Ok(())
}

/// The points of one column by phase; cells without a figure are left out.
fn lines(text: &str, column: &str) -> Result<Lines> {
    let mut rows = text.lines().map(|line| line.split(',').collect::<Vec<_>>());
    let head = rows.next().context("the CSV has no head")?;
    let place = |name: &str| {
        let found = head.iter().position(|cell| *cell == name);
        found.with_context(|| format!("the CSV has no column {name}"))
    };
    let (nodes, phase, wanted) = (place("nodes")?, place("phase")?, place(column)?);
    let mut lines = Lines::new();
    for row in rows {
        let cell = |at: usize| row.get(at).copied().unwrap_or_default();
        if cell(wanted).is_empty() {
            continue;
        }
        let point = (cell(nodes).parse()?, cell(wanted).parse()?);
        lines.entry(cell(phase).to_owned()).or_default().push(point);
    }
    Ok(lines)
}

fn panel<B>(area: &DrawingArea<B, plotters::coord::Shift>, lines: &Lines, title: &str) -> Result<()>
where
    B: DrawingBackend,
    B::ErrorType: 'static,
{
    let points = || lines.values().flatten();
    let right = points().map(|point| point.0).fold(1.0, f64::max);
    let top = points().map(|point| point.1).fold(0.0, f64::max).max(0.01);
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 16))
        .margin(12)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..right, 0.0..top * 1.1)?;
    chart
        .configure_mesh()
        .x_desc("nodes")
        .x_labels(6)
        .y_labels(6)
        .draw()?;
    for (number, (phase, points)) in lines.iter().enumerate() {
        let colour = Palette99::pick(number).to_rgba();
        chart
            .draw_series(LineSeries::new(points.iter().copied(), colour).point_size(3))?
            .label(phase)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK)
        .background_style(WHITE)
        .draw()?;
    Ok(())
}
