//! Plots the service of each workspace over time as an SVG.

use std::fmt::Write as _;

use crate::FleetSetup;
use crate::Sample;

const WIDTH: f64 = 900.0;
const HEIGHT: f64 = 360.0;
const MARGIN: f64 = 45.0;
/// A palette that most people with red-green colour blindness can distinguish.
const COLOURS: &[&str] = &[
    "#0072b2", "#e69f00", "#009e73", "#cc79a7", "#56b4e9", "#d55e00", "#f0e442", "#444444",
];

/// Plots the tokens generated since the start, divided by weight, with one line per workspace.
pub fn service_plot(title: &str, setup: &FleetSetup, samples: &[Sample]) -> String {
    let until_ms = samples.last().map_or(1.0, |sample| sample.at_ms).max(1.0);
    let max_service = samples.last().map_or(1.0, |sample| {
        let served = setup
            .workspaces
            .iter()
            .map(|plan| sample.tokens_of(&plan.name) / plan.weight);
        served.fold(1.0, f64::max)
    });
    let mut svg = format!(
        "<svg xmlns='http://www.w3.org/2000/svg' viewBox='0 0 {WIDTH} {HEIGHT}' font-family='sans-serif' font-size='11'>\n\
         <rect width='100%' height='100%' fill='white'/>\n\
         <text x='{MARGIN}' y='18' font-size='14'>{title}</text>\n"
    );
    // Writing to a `String` cannot fail.
    let _ = writeln!(
        svg,
        "<text x='{MARGIN}' y='{}'>0 s</text><text x='{}' y='{}' text-anchor='end'>{:.0} s</text>\
         <text x='4' y='{}'>{max_service:.0}</text>",
        HEIGHT - 8.0,
        WIDTH - MARGIN,
        HEIGHT - 8.0,
        until_ms / 1_000.0,
        MARGIN,
    );
    for (index, plan) in setup.workspaces.iter().enumerate() {
        let colour = COLOURS[index % COLOURS.len()];
        let mut points = String::new();
        for sample in samples {
            let x = MARGIN + sample.at_ms / until_ms * (WIDTH - 2.0 * MARGIN);
            let y =
                HEIGHT - 25.0 - sample.tokens_of(&plan.name) / plan.weight / max_service * (HEIGHT - 70.0);
            let _ = write!(points, "{x:.1},{y:.1} ");
        }
        let name = &plan.name;
        let _ = writeln!(
            svg,
            "<polyline points='{points}' fill='none' stroke='{colour}'><title>{name}</title></polyline>"
        );
    }
    svg.push_str("</svg>\n");
    svg
}
