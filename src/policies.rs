//! `whinhaven policy`: proposes, waits, and tells what came of it.

use crate::cli::Policy;
use crate::run::{ConfigSource, read_file};
use crate::unexpected;
use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use whinhaven::fleet::config::FleetConfig;
use whinhaven::fleet::policy_content as content;
use whinhaven::fleet::policy_epoch::{self as epoch, Command, Outcome, Past};
use whinhaven::fleet::transport::admin::{self, Policies, Reply, Request};

/// Between two looks at how a proposal goes.
const LOOK: Duration = Duration::from_millis(100);
/// All members that live have said by then that they have gone over, or it is told how many have.
const ALL_OVER: Duration = Duration::from_secs(5);
/// Beyond the time that a proposal may take by the leader's clock, which may have changed meanwhile.
const BEYOND: Duration = Duration::from_secs(30);

/// A fleet, asked through one of its members.
struct Asker {
    fleet: FleetConfig,
    runtime: tokio::runtime::Runtime,
}

impl Asker {
    fn new(file: &Path) -> Result<Self, String> {
        let config = ConfigSource::operator_file(file.to_owned())
            .load()
            .map_err(|e| e.to_string())?;
        let fleet = config
            .fleet
            .ok_or_else(|| format!("{}: there is no [fleet] table", file.display()))?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        Ok(Asker {
            fleet,
            runtime: runtime.map_err(|e| format!("runtime: {e}"))?,
        })
    }

    fn ask(&self, request: Request) -> Result<Reply, String> {
        self.runtime.block_on(admin::ask(&self.fleet, request))
    }

    fn policies(&self) -> Result<Policies, String> {
        match self.ask(Request::Policies)? {
            Reply::Policies(policies) => Ok(*policies),
            other => Err(unexpected(other)),
        }
    }

    fn command(&self, command: Command) -> Result<u64, String> {
        match self.ask(Request::Policy(command))? {
            Reply::Policy(epoch::Reply::Taken(proposal)) => Ok(proposal),
            Reply::Policy(epoch::Reply::Done) => Ok(0),
            Reply::Policy(epoch::Reply::Refused(refusal)) => Err(refusal.to_string()),
            other => Err(unexpected(other)),
        }
    }
}

/// Does what the command line says.
///
/// # Errors
/// One line: why it is in force nowhere, or can't be told.
pub fn run(what: &Policy) -> Result<(), String> {
    match what {
        Policy::Propose {
            new,
            file,
            only_check,
        } => propose(new, file, *only_check),
        Policy::History { file } => history(&Asker::new(file)?.policies()?),
        Policy::Abort { file } => abort(&Asker::new(file)?),
        Policy::Show { file } => show(&Asker::new(file)?.policies()?),
    }
}

/// The policy in a file: that of its table `[settings]`, or of the whole file.
fn policy_of(file: &Path) -> Result<String, String> {
    let text = read_file(file).map_err(|e| e.to_string())?;
    let fault = |what: String| format!("{}: {what}", file.display());
    if text.trim().is_empty() {
        return Err(fault("empty".to_owned()));
    }
    let mut value: serde_json::Value = toml::from_str(&text).map_err(|e| {
        let line = e.span().map_or(0, |s| {
            text[..s.start.min(text.len())].lines().count().max(1)
        });
        fault(format!("line {line}: {}", e.message().replace('\n', " ")))
    })?;
    let settings = value
        .get_mut("settings")
        .map(serde_json::Value::take)
        .unwrap_or(value);
    let (policy, own) = content::take(&settings).map_err(fault)?;
    if policy.len() > epoch::MOST_CONTENT {
        return Err(fault(format!(
            "{} bytes are above {}",
            policy.len(),
            epoch::MOST_CONTENT
        )));
    }
    if !own.is_empty() {
        println!("each conductor's own, not proposed: {}", own.join(", "));
    }
    Ok(policy)
}

fn propose(new: &Path, file: &Path, only_check: bool) -> Result<(), String> {
    let asker = Asker::new(file)?;
    let content = policy_of(new)?;
    let before = asker.policies()?;
    let differences = content::differences(before.table.content(), &content);
    for line in &differences {
        println!("{line}");
    }
    if differences.is_empty() {
        println!("nothing differs from epoch {}", before.table.epoch());
        return Ok(());
    }
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let mark = (since.as_nanos() as u64) ^ (u64::from(std::process::id()) << 40);
    let command = Command::Propose {
        mark,
        content,
        base: before.table.epoch(),
        only_check,
        at_us: since.as_micros() as u64,
        difference: differences.join("; "),
    };
    let proposal = asker
        .command(command)
        .map_err(|e| format!("nowhere: {e}"))?;
    println!("proposal {proposal} over epoch {}", before.table.epoch());
    let within = asker.fleet.policy.as_ref().map_or(30_000, |p| p.within_ms);
    let until = Instant::now() + Duration::from_millis(within) + BEYOND;
    let past = loop {
        // A member that has just died answers nothing: the next one does.
        let found = asker
            .policies()
            .ok()
            .and_then(|p| p.table.past().find(|p| p.mark == mark).cloned());
        match found {
            Some(past) => break past,
            None if Instant::now() > until => {
                return Err(
                    "not decided yet; whinhaven policy history tells what comes of it".to_owned(),
                );
            }
            None => std::thread::sleep(LOOK),
        }
    };
    match past.outcome {
        Outcome::Checked => println!(
            "checked: all {} could; nothing was changed",
            before.living.len()
        ),
        Outcome::Nowhere(why) => return Err(format!("nowhere: {why}")),
        Outcome::Epoch(epoch) => println!("epoch {epoch} in force at {}", in_force(&asker, epoch)?),
    }
    Ok(())
}

/// At how many of the members that live.
fn in_force(asker: &Asker, epoch: u64) -> Result<String, String> {
    let until = Instant::now() + ALL_OVER;
    loop {
        let Policies { table, living, .. } = asker.policies()?;
        let over = living.intersection(table.over()).count();
        if over == living.len() || table.epoch() != epoch || Instant::now() > until {
            return Ok(format!("{over} of {}", living.len()));
        }
        std::thread::sleep(LOOK);
    }
}

fn line(past: &Past) -> String {
    let Past {
        proposal,
        by,
        at_us,
        digest,
        difference,
        outcome,
        ..
    } = past;
    let outcome = match outcome {
        Outcome::Epoch(epoch) => format!("epoch {epoch}"),
        Outcome::Checked => "checked".to_owned(),
        Outcome::Nowhere(why) => format!("nowhere: {why}"),
    };
    format!(
        "proposal {proposal} by {by} at {at_us} us, digest {digest:016x}: {outcome} ({difference})"
    )
}

fn history(policies: &Policies) -> Result<(), String> {
    for past in policies.table.past() {
        println!("{}", line(past));
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

fn show(policies: &Policies) -> Result<(), String> {
    let Policies { table, living, .. } = policies;
    let over = living.intersection(table.over()).count();
    println!(
        "epoch {}, digest {:016x}",
        table.epoch(),
        epoch::digest(table.content())
    );
    println!("in force at {over} of {} that may act", living.len());
    println!("{}", table.content());
    Ok(())
}

fn abort(asker: &Asker) -> Result<(), String> {
    let policies = asker.policies()?;
    let open = policies.table.open().ok_or("no proposal is under way")?;
    let cause = "aborted by the operator".to_owned();
    asker.command(Command::Abort {
        proposal: open.proposal,
        cause,
    })?;
    println!("proposal {} is in force nowhere", open.proposal);
    Ok(())
}
