//! Command-line arguments of `whinhaven`.

use crate::logs::LogFormat;
use clap::error::ErrorKind;
use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;

/// A request router for language models served by separate prefill and decode workers.
///
/// Without a command it serves with the platform's JSON configuration file, whose path is in NODE_CONFIG.
#[derive(Debug, Parser)]
#[command(name = "whinhaven", version)]
pub struct Cli {
    /// Format of the log lines on standard error.
    #[arg(long, global = true, value_enum, default_value_t = LogFormat::Text)]
    pub log_format: LogFormat,
    /// The command; `None` serves on the platform.
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// A command of the program.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Serve with an operator's file.
    Serve {
        /// Operator's file (TOML).
        file: PathBuf,
    },
    /// Convert another program's configuration to an operator's file.
    Import {
        /// The program whose configuration is converted.
        #[command(subcommand)]
        source: ImportSource,
    },
    /// Validate an operator's file and exit.
    Check {
        /// Operator's file (TOML).
        file: PathBuf,
    },
    /// Make and check plans for the loss of a whole site.
    Sites(whinhaven::fleet::sites::command::SitesArgs),
    /// Query or change the fleet that an operator's file configures.
    Fleet {
        /// The fleet command.
        #[command(subcommand)]
        command: FleetCommand,
    },
    /// Show or change the policy that all routers of a fleet share.
    Policy {
        /// The policy command.
        #[command(subcommand)]
        command: PolicyCommand,
    },
}

/// A command on the policy of a fleet.
#[derive(Debug, Subcommand)]
pub enum PolicyCommand {
    /// Show the differences, propose the new policy, and wait until the proposal is applied or rejected.
    Propose {
        /// File with the new policy: either a [settings] table, or its fields at top level.
        new: PathBuf,
        /// Operator's file of any member.
        file: PathBuf,
        /// Have all routers validate the proposal without applying it.
        #[arg(long)]
        only_check: bool,
    },
    /// List past proposals with author, time, differences and outcome.
    History {
        /// Operator's file of any member.
        file: PathBuf,
    },
    /// Abort the pending proposal; it is not applied anywhere.
    Abort {
        /// Operator's file of any member.
        file: PathBuf,
    },
    /// Show the active epoch, how many members have applied it, and its content.
    Show {
        /// Operator's file of any member.
        file: PathBuf,
    },
}

/// A program whose configuration can be imported.
#[derive(Debug, Subcommand)]
pub enum ImportSource {
    /// Import a configuration of HAProxy.
    Haproxy {
        /// HAProxy's configuration file.
        file: PathBuf,
    },
}

/// A command on a fleet.
#[derive(Debug, Subcommand)]
pub enum FleetCommand {
    /// Show members with site, incarnation and health, leader and term, and leases with holder and token.
    Status(StatusArgs),
    /// Replace the set of voters; the fleet changes one voter at a time.
    Voters {
        /// Operator's file of any member.
        file: PathBuf,
        /// Names of all members of the new set of voters.
        #[arg(required = true)]
        names: Vec<String>,
    },
}

/// Arguments of `whinhaven fleet status`.
#[derive(Debug, Args)]
pub struct StatusArgs {
    /// Operator's file of any member; its own router is asked first, then its peers.
    pub file: PathBuf,
    /// Print the status as JSON.
    #[arg(long)]
    pub json: bool,
}

/// Parses the command line. For `--help` and `--version` it prints the text and exits the process.
///
/// # Errors
/// The arguments are invalid; the text is one line.
pub fn parse() -> Result<Cli, String> {
    Cli::try_parse().map_err(|error| {
        if !error.use_stderr() {
            error.exit();
        }
        if error.kind() == ErrorKind::DisplayHelpOnMissingArgumentOrSubcommand {
            return "a command is missing; whinhaven --help lists them".to_owned();
        }
        // The first paragraph of clap's text is the error; usage and hints follow in paragraphs of their own.
        let text = error.render().to_string();
        let message: Vec<&str> = text
            .lines()
            .map(str::trim)
            .take_while(|l| !l.is_empty())
            .collect();
        let message = message.join(" ");
        let message = message.strip_prefix("error: ").unwrap_or(&message);
        format!("{message}; whinhaven --help lists the commands")
    })
}
