//! What an administrator asks a conductor of its fleet, and how.

use super::seal::{
    Bounds, Inbound, Keys, Opener, Session, StreamSealer, frame_length, length_prefix,
};
use super::{ADMIN, bounds, draw, within};
use crate::fleet::config::FleetConfig;
use crate::fleet::node::NodeStatus;
use crate::fleet::raft::VoterId;
use crate::fleet::{Incarnation, MemberInstance, MemberName, policy_epoch};
use crate::net::stream::RetryingStream;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt::Write;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The name under which administrators speak; no member may have it.
pub const ADMINISTRATOR: &str = "admin";
/// A conductor has this long to answer.
const ANSWER: Duration = Duration::from_secs(3);

/// What can be asked. Variants are only ever added at the end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// How the conductor sees its fleet.
    Status,
    /// These members shall vote; the leader goes there one voter at a time.
    Voters(BTreeSet<MemberName>),
    /// Something about the policy, put into the log.
    Policy(policy_epoch::Command),
    /// The policy's epochs and proposals.
    Policies,
}

/// What is answered. Variants are only ever added at the end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// To [`Request::Status`].
    Status(Box<Report>),
    /// It can't be done, and why.
    Refused(String),
    /// It was handed on; the status tells what comes of it.
    Asked,
    /// To [`Request::Policy`].
    Policy(policy_epoch::Reply),
    /// To [`Request::Policies`].
    Policies(Box<Policies>),
}

/// The policy as a member has it from the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Policies {
    /// Who tells.
    pub me: MemberInstance,
    /// Epochs and proposals.
    pub table: policy_epoch::Table,
    /// Members that may act.
    pub living: BTreeSet<MemberInstance>,
}

/// A member's status, and its place in the group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// What the member shows.
    pub status: NodeStatus,
    /// `leader`, `candidate`, `follower` or `learner`.
    pub role: String,
    /// The voters, with the numbers of their stores; none before the group has begun.
    pub voters: Vec<VoterId>,
    /// Who shall vote.
    pub wanted: Vec<MemberName>,
}

impl Report {
    /// As one JSON object.
    pub fn json(&self) -> serde_json::Value {
        let mut all = serde_json::to_value(&self.status).unwrap_or_default();
        if let Some(fields) = all.as_object_mut() {
            fields.insert("role".into(), self.role.as_str().into());
            fields.insert(
                "voters".into(),
                serde_json::to_value(&self.voters).unwrap_or_default(),
            );
            fields.insert(
                "wanted".into(),
                serde_json::to_value(&self.wanted).unwrap_or_default(),
            );
        }
        all
    }
}

/// A request with what the reply is sealed for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Asked {
    pub session: [u8; 16],
    pub request: Request,
}

pub(super) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap_or_default()
}

/// Asks the conductor of `config`, or where it does not answer one of its peers, in the order of their names.
///
/// # Errors
/// Why nobody answered, each with its address.
pub async fn ask(config: &FleetConfig, request: Request) -> Result<Reply, String> {
    let (keys, _) =
        Keys::read(&config.key_file).map_err(|e| format!("{}: {e}", config.key_file.display()))?;
    let bounds = bounds(config);
    let own = (&config.name, &config.peer);
    let peers = config
        .peers
        .iter()
        .filter(|(name, _)| **name != config.name);
    let mut failures = String::new();
    for (name, address) in std::iter::once(own).chain(peers) {
        let asked = ask_one(name, *address, &keys, &bounds, request.clone());
        match within(ANSWER, asked).await {
            Ok(reply) => return Ok(reply),
            Err(error) => {
                let gap = if failures.is_empty() { "" } else { "; " };
                let _ = write!(failures, "{gap}{name} at {address}: {error}");
            }
        }
    }
    Err(format!("nobody answered: {failures}"))
}

async fn ask_one(
    name: &MemberName,
    address: SocketAddr,
    keys: &Keys,
    bounds: &Bounds,
    request: Request,
) -> io::Result<Reply> {
    let mut stream = RetryingStream(TcpStream::connect(address).await?);
    let mut session = [0; 16];
    stream.read_exact(&mut session).await?;
    let own = MemberName::try_from(ADMINISTRATOR).map_err(io::Error::other)?;
    let me = MemberInstance {
        name: own.clone(),
        incarnation: Incarnation(1),
    };
    let mut sealer = StreamSealer::new(me, name.clone(), keys.clone(), bounds, Session(session));
    let answer = draw()?;
    let frame = sealer
        .seal(
            ADMIN,
            &encode(&Asked {
                session: answer,
                request,
            }),
        )
        .map_err(io::Error::other)?;
    stream.write_all(&length_prefix(&frame)).await?;
    stream.write_all(&frame).await?;
    let mut prefix = [0; 4];
    stream
        .read_exact(&mut prefix)
        .await
        .map_err(|error| match error.kind() {
            io::ErrorKind::UnexpectedEof | io::ErrorKind::ConnectionReset => {
                io::Error::other("closed without an answer: not the same key, or another member")
            }
            _ => error,
        })?;
    let mut frame = vec![0; frame_length(prefix, bounds).map_err(io::Error::other)?];
    stream.read_exact(&mut frame).await?;
    let mut opener = Opener::new(own, keys.clone(), bounds.clone());
    let mut inbound = Inbound::new(Session(answer));
    let opened = opener
        .stream(0, &mut inbound, &frame)
        .map_err(io::Error::other)?;
    if opened.from.name != *name {
        return Err(io::Error::other("another member answered"));
    }
    postcard::from_bytes(opened.payload).map_err(io::Error::other)
}

/// A status as tables for people.
pub fn table(report: &Report) -> String {
    let Report {
        status,
        role,
        voters,
        wanted,
    } = report;
    let NodeStatus {
        local: me,
        site,
        session: life,
        leader,
        term,
        commit,
        applied,
        epoch,
        ..
    } = status;
    let leader = leader.as_ref().map_or("nobody", MemberName::as_str);
    let mut text = format!(
        "as {me} at site {site} sees it, {role}, life {life}\nleader {leader}, term {}, commit {}, applied {}, epoch {epoch}\n\n",
        term.0, commit.0, applied.0
    );
    let group = |name: &MemberName| match (
        voters.iter().any(|v| v.name == *name),
        wanted.contains(name),
    ) {
        (true, true) => "voter",
        (true, false) => "to go",
        (false, true) => "to vote",
        (false, false) => "learner",
    };
    let header = [
        "member",
        "site",
        "incarnation",
        "status",
        "group",
        "address",
    ]
    .map(str::to_owned)
    .to_vec();
    let members = status.members.iter().map(|m| {
        vec![
            m.name.to_string(),
            m.site.to_string(),
            m.incarnation.0.to_string(),
            m.status.clone(),
            group(&m.name).to_owned(),
            m.address.to_string(),
        ]
    });
    text += &columns(std::iter::once(header).chain(members).collect());
    let header = ["lease", "holder", "token", "renewals", "waiting"]
        .map(str::to_owned)
        .to_vec();
    let leases = status.leases.iter().map(|l| {
        let holder = if l.taken {
            l.holder.to_string()
        } else {
            format!("{} (offered)", l.holder)
        };
        vec![
            l.name.to_string(),
            holder,
            l.token.0.to_string(),
            l.renewals.to_string(),
            l.waiters.to_string(),
        ]
    });
    text.push('\n');
    text + &columns(std::iter::once(header).chain(leases).collect())
}

fn columns(rows: Vec<Vec<String>>) -> String {
    let width = |at: usize| rows.iter().map(|row| row[at].len()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..rows.first().map_or(0, Vec::len)).map(width).collect();
    let mut text = String::new();
    for row in &rows {
        let cells: Vec<String> = row
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        text += cells.join("  ").trim_end();
        text.push('\n');
    }
    text
}
