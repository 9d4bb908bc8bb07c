//! The router's program: command line, log, and one function for each command.

mod cli;
mod logs;
mod policies;
mod reload;
mod run;
mod signals;

use cli::{Command, FleetCommand, ImportSource, StatusArgs};
use run::{ConfigSource, read_file};
use std::path::Path;
use std::process::ExitCode;
use whinhaven::config::ConfigError;
use whinhaven::fleet::MemberName;
use whinhaven::fleet::transport::admin::{self, Reply, Request};

fn main() -> ExitCode {
    let cli = match cli::parse() {
        Ok(cli) => cli,
        Err(error) => return failed(&error),
    };
    logs::start(cli.log_format);
    let result = match cli.command {
        None => ConfigSource::platform_file()
            .and_then(run::serve)
            .map_err(|e| e.to_string()),
        Some(Command::Serve { file }) => {
            run::serve(ConfigSource::operator_file(file)).map_err(|e| e.to_string())
        }
        Some(Command::Import {
            source: ImportSource::Haproxy { file },
        }) => import(&file).map_err(|e| e.to_string()),
        Some(Command::Check { file }) => check(&file).map_err(|e| e.to_string()),
        Some(Command::Sites(sites)) => sites.run().map_err(|e| e.to_string()),
        Some(Command::Fleet {
            command: FleetCommand::Status(args),
        }) => status(&args),
        Some(Command::Policy { command }) => policies::run(&command),
        Some(Command::Fleet {
            command: FleetCommand::Voters { file, names },
        }) => voters(&file, &names),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => failed(&error),
    }
}

fn failed(error: &str) -> ExitCode {
    eprintln!("whinhaven: {error}");
    ExitCode::FAILURE
}

/// Writes the operator's file to standard output, and the directives that were not carried over to standard error.
fn import(file: &Path) -> Result<(), ConfigError> {
    let import =
        whinhaven::haproxy::import(&read_file(file)?).map_err(|e| ConfigError(e.to_string()))?;
    print!("{}", import.file);
    for (line, reason) in import.skipped {
        eprintln!("line {line}, not carried over: {reason}");
    }
    Ok(())
}

/// Validates an operator's file and prints what it configures.
fn check(file: &Path) -> Result<(), ConfigError> {
    let config = ConfigSource::operator_file(file.to_owned()).load()?;
    let mut parts = vec![format!("{} serves on {}", config.name, config.listen)];
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
    println!("{}: valid: {}", file.display(), parts.join(", "));
    Ok(())
}

/// Sends a request to the router that an operator's file configures or, if it does not answer, to one of its peers.
fn ask(file: &Path, request: Request) -> Result<Reply, String> {
    let config = ConfigSource::operator_file(file.to_owned())
        .load()
        .map_err(|e| e.to_string())?;
    let fleet = config.fleet.ok_or_else(|| {
        format!(
            "{}: the [fleet] table is missing; this router is in no fleet",
            file.display()
        )
    })?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime
        .map_err(|e| format!("runtime: {e}"))?
        .block_on(admin::query(&fleet, request))
}

/// Prints the status of the fleet as one of its routers sees it.
fn status(args: &StatusArgs) -> Result<(), String> {
    match ask(&args.file, Request::Status)? {
        Reply::Status(report) if args.json => println!("{}", report.to_json()),
        Reply::Status(report) => print!("{}", admin::status_table(&report)),
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
        Reply::Accepted => println!("accepted; whinhaven fleet status shows the progress"),
        other => return Err(unexpected(other)),
    }
    Ok(())
}

fn unexpected(reply: Reply) -> String {
    match reply {
        Reply::Refused(reason) => reason,
        _ => "unexpected reply from the router; check that it runs the same version".into(),
    }
}
