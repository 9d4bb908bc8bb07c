//! The figures of a run as files: CSV, a Markdown table with slopes, and plots.

use super::decisions::DecisionFigures;
use super::real::RealFigures;
use super::simulated::{FleetFigures, Phase, PhaseFigures, Rates};
use super::slope::Slope;
use crate::plot::Chart;
use std::error::Error;
use std::fmt::Write;
use std::path::{Path, PathBuf};

/// The fleet to design for.
const MEMBERS: f64 = 1_400.0;

/// Where the files of one run go.
pub struct Report {
    folder: PathBuf,
    name: String,
}

/// A table: names of columns, and rows of figures, the first of which is the size.
struct Table {
    columns: Vec<&'static str>,
    rows: Vec<Vec<f64>>,
}

type Done = Result<(), Box<dyn Error>>;

impl Report {
    /// Files of this name in this folder.
    pub fn new(folder: &Path, name: &str) -> Report {
        Report {
            folder: folder.to_owned(),
            name: name.to_owned(),
        }
    }

    /// Writes what simulated fleets showed: a table for each phase, and one of times.
    ///
    /// # Errors
    /// A file can't be written.
    pub fn fleets(&self, fleets: &[FleetFigures]) -> Done {
        if fleets.is_empty() {
            return Ok(());
        }
        let times = |f: &FleetFigures| {
            let memory = f.memory / 1024.0;
            vec![
                f.members as f64,
                f.settled_s,
                f.change_s,
                f.death_first_s,
                f.death_all_s,
                f.cpu_us,
                memory,
            ]
        };
        let columns = [
            "members",
            "settled s",
            "change s",
            "first death s",
            "death at all s",
            "cpu us/s",
        ];
        let columns = columns.into_iter().chain(["memory KB"]).collect();
        self.write(
            "times",
            &Table {
                columns,
                rows: fleets.iter().map(times).collect(),
            },
        )?;
        for phase in Phase::ALL {
            let of = |f: &FleetFigures| {
                Some((
                    f.members,
                    f.phases.iter().find(|p| p.phase == phase)?.clone(),
                ))
            };
            let rows = fleets
                .iter()
                .filter_map(of)
                .map(|(members, figures)| phase_row(members, &figures));
            let rows: Vec<Vec<f64>> = rows.collect();
            if !rows.is_empty() {
                self.write(
                    &phase.name().replace(' ', "-"),
                    &Table {
                        columns: phase_columns(),
                        rows,
                    },
                )?;
            }
        }
        Ok(())
    }

    /// Writes what real processes showed.
    ///
    /// # Errors
    /// A file can't be written.
    pub fn processes(&self, all: &[RealFigures]) -> Done {
        if all.is_empty() {
            return Ok(());
        }
        let row = |f: &RealFigures| {
            let (cpu, memory) = (f.cpu_us, f.memory / 1024.0);
            vec![
                f.members as f64,
                cpu,
                memory,
                f.datagrams,
                f.datagram_bytes,
                f.stream_bytes,
            ]
        };
        let columns = vec![
            "members",
            "cpu us/s",
            "memory KB",
            "datagrams/s",
            "datagram B/s",
            "stream B/s",
        ];
        self.write(
            "processes",
            &Table {
                columns,
                rows: all.iter().map(row).collect(),
            },
        )
    }

    /// Writes what the deciding module showed.
    ///
    /// # Errors
    /// A file can't be written.
    pub fn decisions(&self, all: &[DecisionFigures]) -> Done {
        for (name, slow) in [("decisions", false), ("decisions-slow-start", true)] {
            let row = |f: &DecisionFigures| {
                let (hosts, new) = (f.hosts as f64, f.in_slow_start as f64);
                let memory = f.memory / 1024.0;
                vec![
                    hosts,
                    new,
                    f.list_us,
                    f.change_us,
                    f.requests as f64,
                    f.request_us,
                    f.request_p99_us,
                    memory,
                ]
            };
            let rows: Vec<Vec<f64>> = all
                .iter()
                .filter(|f| (f.in_slow_start > 0) == slow)
                .map(row)
                .collect();
            if rows.is_empty() {
                continue;
            }
            let columns = [
                "hosts",
                "in slow start",
                "list us",
                "change us",
                "requests",
                "request us",
            ];
            let columns = columns
                .into_iter()
                .chain(["request p99 us", "memory KB"])
                .collect();
            self.write(name, &Table { columns, rows })?;
        }
        Ok(())
    }

    fn write(&self, what: &str, table: &Table) -> Done {
        let file = |ending: &str| self.folder.join(format!("{}-{what}.{ending}", self.name));
        std::fs::write(file("csv"), table.csv())?;
        std::fs::write(file("md"), table.markdown())?;
        table
            .chart(&format!("{}: {what}", self.name))
            .save(&file("svg"))?;
        println!("{}", file("md").display());
        print!("{}", table.markdown());
        Ok(())
    }
}

impl Table {
    fn points(&self, column: usize) -> Vec<(f64, f64)> {
        self.rows.iter().map(|row| (row[0], row[column])).collect()
    }

    fn csv(&self) -> String {
        let mut text = self.columns.join(",") + "\n";
        for row in &self.rows {
            let row: Vec<String> = row.iter().map(|value| format!("{value:.3}")).collect();
            text += &(row.join(",") + "\n");
        }
        text
    }

    /// The rows, and below them the slope of each column.
    fn markdown(&self) -> String {
        let mut text = format!("| {} |\n", self.columns.join(" | "));
        text += &format!("|{}\n", " --- |".repeat(self.columns.len()));
        for row in &self.rows {
            let row: Vec<String> = row.iter().map(|value| short(*value)).collect();
            let _ = writeln!(text, "| {} |", row.join(" | "));
        }
        let slopes: Vec<Option<Slope>> = (1..self.columns.len())
            .map(|column| Slope::through(&self.points(column)))
            .collect();
        let mut line = |name: &str, value: fn(&Slope) -> f64| {
            let cells = slopes
                .iter()
                .map(|slope| slope.as_ref().map_or("-".to_owned(), |s| short(value(s))));
            let _ = writeln!(
                text,
                "| {name} | {} |",
                cells.collect::<Vec<_>>().join(" | ")
            );
        };
        line("slope: base", |slope| slope.base);
        line("slope: each further one", |slope| slope.each);
        line("slope: a point is off by, %", |slope| slope.off_by * 100.0);
        if self.columns[0] == "members" {
            line("slope at 1,400", |slope| slope.at(MEMBERS));
        }
        text
    }

    fn chart(&self, title: &str) -> Chart {
        let line = |column: usize| (self.columns[column].to_owned(), self.points(column));
        Chart {
            title: title.to_owned(),
            x: self.columns[0].to_owned(),
            y: "see the legend for units".to_owned(),
            lines: (1..self.columns.len()).map(line).collect(),
            marks: Vec::new(),
        }
    }
}

fn phase_columns() -> Vec<&'static str> {
    vec![
        "members",
        "conductor B/s",
        "of it datagrams",
        "conductor messages/s",
        "relay B/s",
        "voter B/s",
        "voter messages/s",
        "log entries/s",
        "rights lost",
    ]
}

fn phase_row(members: usize, figures: &PhaseFigures) -> Vec<f64> {
    let messages = |rates: &Rates| rates.messages + rates.taken_messages;
    let PhaseFigures {
        conductor,
        relay,
        voter,
        rights_lost,
        ..
    } = figures;
    vec![
        members as f64,
        conductor.bytes(),
        conductor.datagram_bytes,
        messages(conductor),
        relay.bytes(),
        voter.bytes(),
        messages(voter),
        voter.entries,
        *rights_lost as f64,
    ]
}

/// One fleet in a line.
pub fn fleet_line(figures: &FleetFigures) -> String {
    let steady = figures.phases.iter().find(|p| p.phase == Phase::Steady);
    let rates = steady
        .map(|p| (p.conductor.bytes(), p.voter.bytes(), p.voter.entries))
        .unwrap_or_default();
    let (conductor, voter, entries) = rates;
    format!(
        "{} members: settled {:.1} s, change {:.2} s, death {:.1} to {:.1} s, cpu {:.0} us/s, memory {:.0} KB, conductor \
         {conductor:.0} B/s, voter {voter:.0} B/s, {entries:.1} entries/s",
        figures.members,
        figures.settled_s,
        figures.change_s,
        figures.death_first_s,
        figures.death_all_s,
        figures.cpu_us,
        figures.memory / 1024.0
    )
}

fn short(value: f64) -> String {
    match value.abs() {
        v if v >= 100.0 => format!("{value:.0}"),
        v if v >= 10.0 => format!("{value:.1}"),
        _ => format!("{value:.2}"),
    }
}
