//! The commands of `whinhaven policy`.

use crate::cli::PolicyCommand;
use crate::run::{ConfigSource, read_file};
use crate::unexpected;
use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use whinhaven::fleet::config::FleetConfig;
use whinhaven::fleet::policy_content as content;
use whinhaven::fleet::policy_epoch::{self as epoch, Command, FinishedProposal, Outcome};
use whinhaven::fleet::transport::admin::{self, PolicyStatus, Reply, Request};

/// Interval between two polls of a proposal's state.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum wait for all live members to apply an epoch; after that the number that have applied it is printed.
const APPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// Added to the time that a proposal may take by the leader's clock, since the leader may change meanwhile.
const DECISION_MARGIN: Duration = Duration::from_secs(30);

/// Client of a fleet, through one of its members.
struct FleetClient {
    fleet: FleetConfig,
    runtime: tokio::runtime::Runtime,
}

impl FleetClient {
    fn new(file: &Path) -> Result<Self, String> {
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
        Ok(FleetClient {
            fleet,
            runtime: runtime.map_err(|e| format!("runtime: {e}"))?,
        })
    }

    fn ask(&self, request: Request) -> Result<Reply, String> {
        self.runtime.block_on(admin::query(&self.fleet, request))
    }

    fn policies(&self) -> Result<PolicyStatus, String> {
        match self.ask(Request::PolicyStatus)? {
            Reply::PolicyStatus(policies) => Ok(*policies),
            other => Err(unexpected(other)),
        }
    }

    fn command(&self, command: Command) -> Result<u64, String> {
        match self.ask(Request::Policy(command))? {
            Reply::Policy(epoch::Reply::Accepted(proposal)) => Ok(proposal),
            Reply::Policy(epoch::Reply::Done) => Ok(0),
            Reply::Policy(epoch::Reply::Refused(refusal)) => Err(refusal.to_string()),
            other => Err(unexpected(other)),
        }
    }
}

/// Runs a policy command.
///
/// # Errors
/// One line: why the proposal was rejected, or why its outcome or the policy could not be read.
pub fn run(command: &PolicyCommand) -> Result<(), String> {
    match command {
        PolicyCommand::Propose {
            new,
            file,
            only_check,
        } => propose(new, file, *only_check),
        PolicyCommand::History { file } => history(&FleetClient::new(file)?.policies()?),
        PolicyCommand::Abort { file } => abort(&FleetClient::new(file)?),
        PolicyCommand::Show { file } => show(&FleetClient::new(file)?.policies()?),
    }
}

/// Reads the policy from the `[settings]` table of a file or, without that table, from the whole file.
fn read_policy(file: &Path) -> Result<String, String> {
    let text = read_file(file).map_err(|e| e.to_string())?;
    let in_file = |error: String| format!("{}: {error}", file.display());
    if text.trim().is_empty() {
        return Err(in_file("the file is empty".to_owned()));
    }
    let mut value: serde_json::Value = toml::from_str(&text).map_err(|e| {
        let line = e.span().map_or(0, |s| {
            text[..s.start.min(text.len())].lines().count().max(1)
        });
        in_file(format!("line {line}: {}", e.message().replace('\n', " ")))
    })?;
    let settings = value
        .get_mut("settings")
        .map(serde_json::Value::take)
        .unwrap_or(value);
    let (policy, local_fields) = content::extract_policy(&settings).map_err(in_file)?;
    if policy.len() > epoch::MAX_CONTENT_BYTES {
        return Err(in_file(format!(
            "the policy has {} bytes, above the maximum of {}",
            policy.len(),
            epoch::MAX_CONTENT_BYTES
        )));
    }
    if !local_fields.is_empty() {
        println!(
            "set by each router's own file, not proposed: {}",
            local_fields.join(", ")
        );
    }
    Ok(policy)
}

fn propose(new: &Path, file: &Path, only_check: bool) -> Result<(), String> {
    let client = FleetClient::new(file)?;
    let content = read_policy(new)?;
    let before = client.policies()?;
    let differences = content::differences(before.table.content(), &content);
    for line in &differences {
        println!("{line}");
    }
    if differences.is_empty() {
        println!("no differences from epoch {}", before.table.epoch());
        return Ok(());
    }
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let nonce = (since_epoch.as_nanos() as u64) ^ (u64::from(std::process::id()) << 40);
    let command = Command::Propose {
        nonce,
        content,
        base: before.table.epoch(),
        only_check,
        at_us: since_epoch.as_micros() as u64,
        difference: differences.join("; "),
    };
    let proposal = client
        .command(command)
        .map_err(|e| format!("proposal not accepted, applied nowhere: {e}"))?;
    println!("proposal {proposal} over epoch {}", before.table.epoch());
    let within_ms = client.fleet.policy.as_ref().map_or(30_000, |p| p.within_ms);
    let deadline = Instant::now() + Duration::from_millis(within_ms) + DECISION_MARGIN;
    let past = loop {
        // An error is not final: if the member asked has just died, the next poll reaches another one.
        let found = client
            .policies()
            .ok()
            .and_then(|p| p.table.finished().find(|p| p.nonce == nonce).cloned());
        match found {
            Some(past) => break past,
            None if Instant::now() > deadline => {
                return Err(
                    "proposal not decided yet; whinhaven policy history will show its outcome"
                        .to_owned(),
                );
            }
            None => std::thread::sleep(POLL_INTERVAL),
        }
    };
    match past.outcome {
        Outcome::Checked => println!(
            "checked: all {} live members could apply it; nothing was changed",
            before.live_members.len()
        ),
        Outcome::Rejected(reason) => {
            return Err(format!("proposal rejected, applied nowhere: {reason}"));
        }
        Outcome::InForce(epoch) => println!(
            "epoch {epoch} in force at {}",
            count_applied(&client, epoch)?
        ),
    }
    Ok(())
}

/// Waits until all live members have applied an epoch, at most [`APPLY_TIMEOUT`]. Returns how many of them have.
fn count_applied(client: &FleetClient, epoch: u64) -> Result<String, String> {
    let deadline = Instant::now() + APPLY_TIMEOUT;
    loop {
        let PolicyStatus {
            table,
            live_members,
            ..
        } = client.policies()?;
        let applied = live_members.intersection(table.switched_members()).count();
        if applied == live_members.len() || table.epoch() != epoch || Instant::now() > deadline {
            return Ok(format!("{applied} of {}", live_members.len()));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn history_line(past: &FinishedProposal) -> String {
    let FinishedProposal {
        proposal,
        by,
        at_us,
        digest,
        difference,
        outcome,
        ..
    } = past;
    let outcome = match outcome {
        Outcome::InForce(epoch) => format!("epoch {epoch}"),
        Outcome::Checked => "checked".to_owned(),
        Outcome::Rejected(reason) => format!("rejected, applied nowhere: {reason}"),
    };
    format!(
        "proposal {proposal} by {by} at {at_us} us since 1970, digest {digest:016x}: {outcome} ({difference})"
    )
}

fn history(policies: &PolicyStatus) -> Result<(), String> {
    for past in policies.table.finished() {
        println!("{}", history_line(past));
    }
    if let Some(open) = policies.table.open() {
        let stage = if open.closing { "closing" } else { "asked" };
        println!(
            "proposal {} by {}: {stage} ({})",
            open.proposal, open.by, open.difference
        );
    }
    Ok(())
}

fn show(policies: &PolicyStatus) -> Result<(), String> {
    let PolicyStatus {
        table,
        live_members,
        ..
    } = policies;
    let applied = live_members.intersection(table.switched_members()).count();
    println!(
        "epoch {}, digest {:016x}",
        table.epoch(),
        epoch::digest(table.content())
    );
    println!(
        "in force at {applied} of {} live members",
        live_members.len()
    );
    println!("{}", table.content());
    Ok(())
}

fn abort(client: &FleetClient) -> Result<(), String> {
    let policies = client.policies()?;
    let open = policies
        .table
        .open()
        .ok_or("there is no pending proposal")?;
    let cause = "aborted by the operator".to_owned();
    client.command(Command::Abort {
        proposal: open.proposal,
        cause,
    })?;
    println!("proposal {} aborted, applied nowhere", open.proposal);
    Ok(())
}
