//! Runs one case: `review2-case CASE FOLDER`. Exits with 0 if the rule held, 1 if it was broken, 2 if the case could not
//! run. `TROUBLE=0` leaves the disruption out.

mod batch;
mod endless;
mod http;
mod reread;
mod rpc;
mod upgrade;
mod window;
mod world;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = &arguments[..] else {
        eprintln!("usage: review2-case CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let folder = PathBuf::from(folder);
    let result = match case.as_str() {
        "batch" => batch::run(&folder, trouble),
        "window" => window::run(&folder, trouble),
        "reread" => reread::run(&folder, trouble),
        "endless" => endless::run(&folder, trouble),
        "upgrade" => upgrade::run(&folder, trouble),
        _ => Err(std::io::Error::other("no such case")),
    };
    match result {
        Ok(true) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            println!("THE RULE WAS BROKEN");
            ExitCode::from(1)
        }
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
