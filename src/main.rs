//! The conductor's program.

mod cli;
mod logs;
mod policies;
mod reload;
mod run;
mod signals;

use cli::{Ask, Command, From, Where};
use run::{ConfigSource, read_file};
use std::path::Path;
use std::process::ExitCode;
use whinhaven::config::ConfigError;
use whinhaven::fleet::MemberName;
use whinhaven::fleet::transport::admin::{self, Reply, Request};

fn main() -> ExitCode {
    let cli = match cli::parse() {
        Ok(cli) => cli,
        Err(fault) => return failed(&fault),
    };
    logs::start(cli.log_format);
    let done = match cli.command {
        None => ConfigSource::platform_file()
            .and_then(run::serve)
            .map_err(|e| e.to_string()),
        Some(Command::Serve { file }) => {
            run::serve(ConfigSource::operator_file(file)).map_err(|e| e.to_string())
        }
        Some(Command::Import {
            from: From::Haproxy { file },
        }) => import(&file).map_err(|e| e.to_string()),
        Some(Command::Check { file }) => check(&file).map_err(|e| e.to_string()),
        Some(Command::Sites(sites)) => sites.run().map_err(|e| e.to_string()),
        Some(Command::Fleet {
            ask: Ask::Status(at),
        }) => status(&at),
        Some(Command::Policy { what }) => policies::run(&what),
        Some(Command::Fleet {
            ask: Ask::Voters { file, names },
        }) => voters(&file, &names),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => failed(&fault),
    }
}

fn failed(fault: &str) -> ExitCode {
    eprintln!("whinhaven: {fault}");
    ExitCode::FAILURE
}

/// Writes the operator's file to standard output, and what could not be carried over to standard error.
fn import(file: &Path) -> Result<(), ConfigError> {
    let import =
        whinhaven::haproxy::import(&read_file(file)?).map_err(|e| ConfigError(e.to_string()))?;
    print!("{}", import.file);
    for (line, what) in import.left_out {
        eprintln!("line {line}, not carried over: {what}");
    }
    Ok(())
}

/// Says what an operator's file sets up.
fn check(file: &Path) -> Result<(), ConfigError> {
    let config = ConfigSource::operator_file(file.to_owned()).load()?;
    let mut parts = vec![format!("{} would serve on {}", config.name, config.listen)];
    parts.extend(config.tools.map(|t| format!("tool calls go to {}", t.dial)));
    parts.extend(config.fleet.map(|f| {
        let role = if f.voters.contains(&f.name) {
            "a voter"
        } else {
            "a learner"
        };
        format!(
            "{role} of {} at site {}, peer address {}",
            f.voters.len(),
            f.site,
            f.peer
        )
    }));
    println!("{}: good: {}", file.display(), parts.join(", "));
    Ok(())
}

/// Asks the conductor of an operator's file, or one of its peers.
fn ask(file: &Path, request: Request) -> Result<Reply, String> {
    let config = ConfigSource::operator_file(file.to_owned())
        .load()
        .map_err(|e| e.to_string())?;
    let fleet = config
        .fleet
        .ok_or_else(|| format!("{}: there is no [fleet] table", file.display()))?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime
        .map_err(|e| format!("runtime: {e}"))?
        .block_on(admin::ask(&fleet, request))
}

/// Prints how a conductor sees its fleet.
fn status(at: &Where) -> Result<(), String> {
    match ask(&at.file, Request::Status)? {
        Reply::Status(report) if at.json => println!("{}", report.json()),
        Reply::Status(report) => print!("{}", admin::table(&report)),
        other => return Err(unexpected(other)),
    }
    Ok(())
}

fn voters(file: &Path, names: &[String]) -> Result<(), String> {
    let names: Result<_, _> = names
        .iter()
        .map(|name| MemberName::try_from(name.as_str()))
        .collect();
    match ask(file, Request::Voters(names.map_err(|e| e.to_string())?))? {
        Reply::Asked => println!("asked; whinhaven fleet status tells what comes of it"),
        other => return Err(unexpected(other)),
    }
    Ok(())
}

fn unexpected(reply: Reply) -> String {
    match reply {
        Reply::Refused(why) => why,
        _ => "the conductor answered something else; is it of another version?".into(),
    }
}
