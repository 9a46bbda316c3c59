//! Charts as SVG.

use plotters::prelude::*;
use std::error::Error;

/// One line of a chart.
#[derive(Clone, Debug)]
pub struct Curve {
    /// Its name.
    pub name: String,
    /// Its points, by x.
    pub points: Vec<(f64, f64)>,
    /// Half the width of the band round each point; empty: none.
    pub band: Vec<f64>,
}

/// A chart.
#[derive(Clone, Debug, Default)]
pub struct Chart {
    /// What it shows.
    pub title: String,
    /// What lies along x.
    pub x: String,
    /// What lies along y.
    pub y: String,
    /// Its lines.
    pub curves: Vec<Curve>,
    /// Spans along x that are marked, with a word for each.
    pub marks: Vec<(f64, f64, String)>,
    /// The least that y shows, besides what the lines need.
    pub from: Option<f64>,
}

const SIZE: (u32, u32) = (860, 380);
/// Apart for most who see colours in another way (Okabe and Ito).
const COLOURS: [(u8, u8, u8); 8] = [
    (0, 114, 178),
    (213, 94, 0),
    (0, 158, 115),
    (204, 121, 167),
    (230, 159, 0),
    (86, 180, 233),
    (0, 0, 0),
    (120, 94, 240),
];

fn colour(n: usize) -> RGBColor {
    let (r, g, b) = COLOURS[n % COLOURS.len()];
    RGBColor(r, g, b)
}

impl Chart {
    fn span(values: impl Iterator<Item = f64>) -> Option<(f64, f64)> {
        let found = values.filter(|v| v.is_finite()).fold(None, |span: Option<(f64, f64)>, v| {
            Some(span.map_or((v, v), |(least, most)| (least.min(v), most.max(v))))
        });
        // A line without height is still shown.
        found.map(|(least, most)| if least < most { (least, most) } else { (least - 0.5, most + 0.5) })
    }

    /// The chart as SVG; `None` if it has no point.
    pub fn svg(&self) -> Option<String> {
        let points = || self.curves.iter().flat_map(|c| c.points.iter());
        let x = Self::span(points().map(|p| p.0))?;
        let bands = self
            .curves
            .iter()
            .flat_map(|c| c.points.iter().zip(&c.band).flat_map(|(p, half)| [p.1 - half, p.1 + half]));
        let y = Self::span(points().map(|p| p.1).chain(bands).chain(self.from))?;
        let mut svg = String::new();
        self.draw(&mut svg, x, (y.0, y.1 + 0.05 * (y.1 - y.0))).ok()?;
        Some(svg)
    }

    fn draw(&self, svg: &mut String, x: (f64, f64), y: (f64, f64)) -> Result<(), Box<dyn Error + '_>> {
        let area = SVGBackend::with_string(svg, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(&self.title, ("sans-serif", 18))
            .margin(10)
            .x_label_area_size(38)
            .y_label_area_size(58)
            .build_cartesian_2d(x.0..x.1, y.0..y.1)?;
        chart.configure_mesh().x_desc(&self.x).y_desc(&self.y).light_line_style(WHITE).draw()?;
        for (from, to, word) in &self.marks {
            let (from, to) = (from.clamp(x.0, x.1), to.clamp(x.0, x.1));
            if from < to {
                let mark = Rectangle::new([(from, y.0), (to, y.1)], RGBColor(200, 60, 60).mix(0.08).filled());
                chart.draw_series([mark])?;
            }
            let style = ("sans-serif", 11).into_font().color(&RGBColor(150, 40, 40));
            chart.draw_series([Text::new(word.clone(), (from, y.1 - 0.02 * (y.1 - y.0)), style)])?;
        }
        for (n, curve) in self.curves.iter().enumerate() {
            let colour = colour(n);
            if !curve.band.is_empty() {
                let ends = || curve.points.iter().zip(&curve.band);
                let above = ends().map(|(p, half)| (p.0, p.1 + half));
                let below: Vec<_> = ends().map(|(p, half)| (p.0, p.1 - half)).collect();
                let round: Vec<_> = above.chain(below.into_iter().rev()).collect();
                chart.draw_series([Polygon::new(round, colour.mix(0.15))])?;
            }
            let line = LineSeries::new(curve.points.iter().copied(), colour.stroke_width(2));
            chart
                .draw_series(line)?
                .label(&curve.name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
        }
        if self.curves.len() > 1 {
            chart
                .configure_series_labels()
                .position(SeriesLabelPosition::LowerLeft)
                .background_style(WHITE.mix(0.8))
                .border_style(RGBColor(200, 200, 200))
                .draw()?;
        }
        area.present()?;
        Ok(())
    }
}
