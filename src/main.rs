//! The conductor's program.

mod cli;
mod logs;
mod run;

use cli::{Ask, Command, From, Where};
use run::{Source, read};
use std::path::Path;
use std::process::ExitCode;
use whinhaven::config::ConfigError;
use whinhaven::fleet::net::admin;

fn main() -> ExitCode {
    let cli = match cli::parse() {
        Ok(cli) => cli,
        Err(fault) => return failed(&fault),
    };
    logs::start(cli.log_format);
    let done = match cli.command {
        None => Source::platform().and_then(run::serve),
        Some(Command::Serve { file }) => run::serve(Source::operator(file)),
        Some(Command::Import { from: From::Haproxy { file } }) => read(&file).and_then(|text| import(&text)),
        Some(Command::Check { file }) => check(&file),
        Some(Command::Sites(sites)) => sites.run().map_err(|e| ConfigError(e.to_string())),
        Some(Command::Fleet { ask: Ask::Status(at) }) => status(&at),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => failed(&error.to_string()),
    }
}

fn failed(fault: &str) -> ExitCode {
    eprintln!("whinhaven: {fault}");
    ExitCode::FAILURE
}

/// Writes the operator's file to standard output, and what could not be carried over to standard error.
fn import(text: &str) -> Result<(), ConfigError> {
    let import = whinhaven::haproxy::import(text).map_err(|e| ConfigError(e.to_string()))?;
    print!("{}", import.file);
    for (line, what) in import.left_out {
        eprintln!("line {line}, not carried over: {what}");
    }
    Ok(())
}

/// Says what an operator's file sets up.
fn check(file: &Path) -> Result<(), ConfigError> {
    let config = Source::operator(file.to_owned()).load()?;
    let mut parts = vec![format!("{} would serve on {}", config.name, config.listen)];
    parts.extend(config.tools.map(|t| format!("tool calls go to {}", t.dial)));
    parts.extend(config.fleet.map(|f| {
        let role = if f.voters.contains(&f.name) { "a voter" } else { "a learner" };
        format!("{role} of {} at site {}, peer address {}", f.voters.len(), f.site, f.peer)
    }));
    println!("{}: good: {}", file.display(), parts.join(", "));
    Ok(())
}

/// Prints how a conductor sees its fleet.
fn status(at: &Where) -> Result<(), ConfigError> {
    let config = Source::operator(at.file.clone()).load()?;
    let missing = || ConfigError(format!("{}: there is no [fleet] table", at.file.display()));
    let fleet = config.fleet.ok_or_else(missing)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| ConfigError(format!("runtime: {e}")))?;
    match runtime.block_on(admin::ask(&fleet, admin::Request::Status)).map_err(ConfigError)? {
        admin::Reply::Status(status) if at.json => {
            println!("{}", serde_json::to_string(&status).map_err(|e| ConfigError(e.to_string()))?);
        }
        admin::Reply::Status(status) => print!("{}", admin::table(&status)),
        admin::Reply::Refused(why) => return Err(ConfigError(why)),
    }
    Ok(())
}
