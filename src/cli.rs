//! The command line.

use crate::logs::LogFormat;
use clap::error::ErrorKind;
use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;

/// A request router for language models served by separate readers and writers.
///
/// Without a command it serves on the platform: NODE_CONFIG names the configuration.
#[derive(Debug, Parser)]
#[command(name = "whinhaven", version)]
pub struct Cli {
    /// How log lines are written on standard error.
    #[arg(long, global = true, value_enum, default_value_t = LogFormat::Text)]
    pub log_format: LogFormat,
    /// What to do.
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Serve by an operator's file.
    Serve {
        /// The operator's file.
        file: PathBuf,
    },
    /// Write an operator's file from another program's configuration.
    Import {
        /// Which program's.
        #[command(subcommand)]
        from: From,
    },
    /// Validate an operator's file and exit.
    Check {
        /// The operator's file.
        file: PathBuf,
    },
    /// Plans for the loss of a whole site.
    Sites(whinhaven::fleet::sites::command::SitesArgs),
    /// Ask the fleet that an operator's file belongs to.
    Fleet {
        /// What to ask.
        #[command(subcommand)]
        ask: Ask,
    },
    /// Change or look at the policy that all conductors of a fleet share.
    Policy {
        /// What to do.
        #[command(subcommand)]
        what: Policy,
    },
}

/// What can be done about the policy.
#[derive(Debug, Subcommand)]
pub enum Policy {
    /// Shows what differs, proposes, and waits until it is in force everywhere or nowhere.
    Propose {
        /// The new [settings] table: a file with it, or with its fields alone.
        new: PathBuf,
        /// The operator's file of any member.
        file: PathBuf,
        /// Have all conductors check it, and change nothing.
        #[arg(long)]
        only_check: bool,
    },
    /// The proposals so far: who, when, what differed, what came of it.
    History {
        /// The operator's file of any member.
        file: PathBuf,
    },
    /// Ends the proposal under way: in force nowhere.
    Abort {
        /// The operator's file of any member.
        file: PathBuf,
    },
    /// The epoch in force, who holds it, and its content.
    Show {
        /// The operator's file of any member.
        file: PathBuf,
    },
}

/// Whose configuration can be imported.
#[derive(Debug, Subcommand)]
pub enum From {
    /// HAProxy's.
    Haproxy {
        /// HAProxy's configuration.
        file: PathBuf,
    },
}

/// What the fleet can be asked.
#[derive(Debug, Subcommand)]
pub enum Ask {
    /// Members with site, incarnation and health; leader and term; leases with holder and token.
    Status(Where),
    /// Has other members vote: all the names that shall, one voter is changed at a time.
    Voters {
        /// The operator's file of any member.
        file: PathBuf,
        /// Who shall vote.
        #[arg(required = true)]
        names: Vec<String>,
    },
}

/// Whom to ask and how to print.
#[derive(Debug, Args)]
pub struct Where {
    /// The operator's file of any member; its own conductor is asked first, then its peers.
    pub file: PathBuf,
    /// Print JSON.
    #[arg(long)]
    pub json: bool,
}

/// Reads the command line.
///
/// # Errors
/// What is wrong with it, in one line.
///
/// Asked for help or its version, it prints that and ends the process.
pub fn parse() -> Result<Cli, String> {
    Cli::try_parse().map_err(|error| {
        if !error.use_stderr() {
            error.exit();
        }
        if error.kind() == ErrorKind::DisplayHelpOnMissingArgumentOrSubcommand {
            return "a command is missing; whinhaven --help lists them".to_owned();
        }
        // Clap's text has the fault first, then usage and hints in paragraphs of their own.
        let text = error.render().to_string();
        let fault: Vec<&str> = text
            .lines()
            .map(str::trim)
            .take_while(|l| !l.is_empty())
            .collect();
        let fault = fault.join(" ");
        let fault = fault.strip_prefix("error: ").unwrap_or(&fault);
        format!("{fault}; whinhaven --help lists the commands")
    })
}
