//! Writes an HTML page for a folder of results, with embedded SVG plots, and the same plots as PNG files.

use crate::compare::paired;
use crate::results::Record;
use crate::Failure;
use base64::prelude::{Engine, BASE64_STANDARD};
use hdrhistogram::serialization::Deserializer;
use hdrhistogram::Histogram;
use model::{Second, NAMES};
use plotters::prelude::*;
use plotters::style::{register_font, FontStyle};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::{Path, PathBuf};

const SIZE: (u32, u32) = (760, 300);
const COLOURS: [RGBColor; 9] = [
    RGBColor(200, 30, 30),
    RGBColor(120, 120, 120),
    RGBColor(160, 160, 60),
    RGBColor(30, 120, 200),
    RGBColor(30, 160, 90),
    RGBColor(150, 80, 180),
    RGBColor(230, 140, 20),
    RGBColor(120, 70, 30),
    RGBColor(20, 20, 20),
];

/// The results to report on.
#[derive(Debug, clap::Args)]
pub struct Args {
    /// A folder of sweep results; the page is written there as `report.html`.
    folder: PathBuf,
}

struct Chart {
    title: String,
    x: &'static str,
    y: &'static str,
    /// The x axis counts nines: x stands for the percentile 100 (1 - 10^-x).
    nines: bool,
    lines: Vec<(String, Vec<(f64, f64)>)>,
}

fn colour(policy: &str) -> RGBColor {
    NAMES.iter().position(|n| *n == policy).map_or(BLACK, |i| COLOURS[i % COLOURS.len()])
}

fn draw<B: DrawingBackend>(backend: B, chart: &Chart) -> Result<(), String> {
    let points = || chart.lines.iter().flat_map(|(_, p)| p.iter().copied());
    let right = points().map(|p| p.0).fold(0.0, f64::max).max(1e-9);
    let top = points().map(|p| p.1).fold(0.0, f64::max).max(1e-9) * 1.05;
    let left = points().map(|p| p.0).fold(right, f64::min);
    let result = (|| {
        let root = backend.into_drawing_area();
        root.fill(&WHITE).map_err(|e| e.to_string())?;
        let mut plot = ChartBuilder::on(&root)
            .caption(&chart.title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(56)
            .build_cartesian_2d(left..right, 0.0..top)
            .map_err(|e| e.to_string())?;
        let nines = |x: &f64| format!("{}", (1e6 * (1.0 - 10f64.powf(-x))).round() / 1e4);
        let plain = |x: &f64| format!("{x:.0}");
        let mut mesh = plot.configure_mesh();
        mesh.x_desc(chart.x).y_desc(chart.y).light_line_style(RGBColor(240, 240, 240));
        if chart.nines {
            mesh.x_labels(5).x_label_formatter(&nines);
        } else {
            mesh.x_label_formatter(&plain);
        }
        mesh.draw().map_err(|e| e.to_string())?;
        for (name, points) in &chart.lines {
            let style = colour(name).stroke_width(if name == NAMES[0] { 3 } else { 1 });
            plot.draw_series(LineSeries::new(points.iter().copied(), style))
                .map_err(|e| e.to_string())?
                .label(name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], style));
        }
        plot.configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .position(if chart.nines {
                SeriesLabelPosition::UpperLeft
            } else {
                SeriesLabelPosition::LowerLeft
            })
            .label_font(("sans-serif", 11))
            .draw()
            .map_err(|e| e.to_string())?;
        root.present().map_err(|e| e.to_string())
    })();
    result.map_err(|e: String| format!("{}: {e}", chart.title))
}

/// The mean over all runs of a metric, for each second.
fn by_second(records: &[&Record], metric: impl Fn(&Second) -> Option<f64>) -> Vec<(f64, f64)> {
    let seconds = records.iter().map(|r| r.summary.seconds.len()).max().unwrap_or(0);
    let mean = |i: usize| {
        let all: Vec<f64> = records.iter().filter_map(|r| metric(r.summary.seconds.get(i)?)).collect();
        (!all.is_empty()).then(|| (i as f64, all.iter().sum::<f64>() / all.len() as f64))
    };
    (0..seconds).filter_map(mean).collect()
}

/// Merges the latency histograms of all runs.
fn merged_latencies(records: &[&Record]) -> Option<Histogram<u64>> {
    let mut all: Option<Histogram<u64>> = None;
    for r in records {
        let bytes = BASE64_STANDARD.decode(&r.summary.times).ok()?;
        let one: Histogram<u64> = Deserializer::new().deserialize(&mut &bytes[..]).ok()?;
        match &mut all {
            Some(all) => all.add(&one).ok()?,
            None => all = Some(one),
        }
    }
    all
}

fn charts(scenario: &str, policies: &BTreeMap<&str, Vec<&Record>>) -> Vec<Chart> {
    let over_time = |title: &str, y, metric: &dyn Fn(&Second) -> Option<f64>| Chart {
        title: format!("{scenario}: {title}"),
        x: "seconds",
        y,
        nines: false,
        lines: policies.iter().map(|(p, r)| ((*p).to_owned(), by_second(r, metric))).collect(),
    };
    let of = |part: u32, whole: u32| (whole > 0).then(|| f64::from(part) / f64::from(whole));
    let percentiles = policies.iter().filter_map(|(policy, records)| {
        let times = merged_latencies(records)?;
        let points = (0..=40).map(|i| {
            let nines = f64::from(i) / 10.0;
            (nines, times.value_at_quantile(1.0 - 10f64.powf(-nines)) as f64 / 1_000.0)
        });
        Some(((*policy).to_owned(), points.collect()))
    });
    vec![
        over_time("service", "part in time", &|s| of(s.in_time, s.asked)),
        Chart {
            title: format!("{scenario}: time to a served answer"),
            x: "percentile",
            y: "milliseconds",
            nines: true,
            lines: percentiles.collect(),
        },
        over_time("boxes left alone", "boxes a proxy", &|s| Some(f64::from(s.out))),
        over_time("waste", "attempts a request", &|s| of(s.attempts, s.asked)),
        over_time("connections", "held at its end", &|s| Some(f64::from(s.connections))),
    ]
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// A table of the policies, each compared with the shipped one, with confidence intervals.
fn policy_table(policies: &BTreeMap<&str, Vec<&Record>>) -> String {
    let mut out = String::from(
        "<table><tr><th>policy<th>runs<th>in time<th>against shipped, 95%<th>worth<th>p99 ms<th>p99.9 ms\
         <th>attempts<th>opened<th>rules broken</tr>\n",
    );
    let shipped = policies.get(NAMES[0]);
    for (policy, records) in policies {
        let n = records.len() as f64;
        let mean = |f: &dyn Fn(&Record) -> f64| records.iter().map(|r| f(r)).sum::<f64>() / n;
        let pairs: Vec<(f64, f64)> = records
            .iter()
            .filter_map(|r| {
                let same = |o: &&&Record| (o.summary.seed, &o.parameters) == (r.summary.seed, &r.parameters);
                let other = shipped?.iter().find(same)?;
                Some((other.summary.share(), r.summary.share()))
            })
            .collect();
        let against = match paired(&pairs) {
            _ if *policy == NAMES[0] || pairs.is_empty() => String::new(),
            d if d.shown() => format!("{:+.4} ({:+.4} to {:+.4})", d.mean, d.low, d.high),
            _ => "no difference shown".into(),
        };
        let broken = records.iter().filter(|r| !r.summary.breaches.is_empty()).count();
        // Writing to a string cannot fail.
        let _ = writeln!(
            out,
            "<tr><td>{}<td>{}<td>{:.4}<td>{against}<td>{:.4}<td>{:.1}<td>{:.1}<td>{:.3}<td>{:.3}<td>{broken}</tr>",
            escaped(policy),
            records.len(),
            mean(&|r| r.summary.share()),
            mean(&|r| r.summary.worth),
            mean(&|r| r.summary.p99_ms),
            mean(&|r| r.summary.p999_ms),
            mean(&|r| r.summary.attempts_each()),
            mean(&|r| r.summary.opened_each()),
        );
    }
    out + "</table>\n"
}

/// Writes the page and its plots; returns the path of the page.
pub fn write(folder: &Path) -> Result<PathBuf, Failure> {
    let records = crate::read(&folder.join("results.jsonl"))?;
    if records.is_empty() {
        return Err(Failure::Input(vec![format!("{}: has no results", folder.display())]));
    }
    // The font is embedded, since the machine may have none installed.
    let font = epaint_default_fonts::UBUNTU_LIGHT;
    register_font("sans-serif", FontStyle::Normal, font)
        .map_err(|_| Failure::Io("the embedded font can't be registered".into()))?;
    let mut sections: BTreeMap<String, BTreeMap<&str, Vec<&Record>>> = BTreeMap::new();
    for r in &records {
        let mut name = r.summary.scenario.clone();
        for (key, value) in &r.parameters {
            let _ = write!(name, ", {key} = {value}");
        }
        sections.entry(name).or_default().entry(&r.summary.policy).or_default().push(r);
    }
    let mut page = String::from(
        "<!doctype html><meta charset=\"utf-8\"><title>trestlelab</title><style>body{font-family:sans-serif;\
         margin:2em;max-width:1600px}table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:2px 8px;\
         text-align:right}td:first-child{text-align:left}svg{margin:4px}</style>\n<h1>trestlelab</h1>\n",
    );
    for (number, (name, policies)) in sections.iter().enumerate() {
        let _ = writeln!(page, "<h2>{}</h2>\n{}", escaped(name), policy_table(policies));
        for (i, chart) in charts(name, policies).iter().enumerate() {
            let mut svg = String::new();
            draw(SVGBackend::with_string(&mut svg, SIZE), chart).map_err(Failure::Io)?;
            page += &svg;
            let path = folder.join(format!("plot-{number:03}-{i}.png"));
            draw(BitMapBackend::new(&path, SIZE), chart).map_err(Failure::Io)?;
        }
    }
    let path = folder.join("report.html");
    std::fs::write(&path, page).map_err(|e| Failure::io("can't be written", &path, e))?;
    Ok(path)
}

/// Writes the page, and prints its path.
pub fn command(args: &Args) -> Result<u8, Failure> {
    println!("{}", write(&args.folder)?.display());
    Ok(0)
}
