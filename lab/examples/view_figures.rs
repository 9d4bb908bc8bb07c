//! Measures the view and draws its figures: `cargo run --release -p whinhaven-lab --example view_figures`.

use clap::Parser;
use whinhaven_lab::experiments::view::{ViewArgs, run};

/// The view in figures.
#[derive(Parser)]
struct Cli {
    #[command(flatten)]
    args: ViewArgs,
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    run(&Cli::parse().args)
}
