//! Adapter to the simulator: runs one routing policy for each simulated router, with the line protocol on standard input and
//! output.

use std::process::ExitCode;

fn main() -> ExitCode {
    match whinhaven::wire::serve(std::io::stdin().lock(), std::io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("whinhaven-drill: {error}");
            ExitCode::FAILURE
        }
    }
}
