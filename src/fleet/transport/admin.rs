//! Requests of operators to a router about its fleet: the messages, the client side, and the status table.

use super::seal::{
    ConnectionNonce, FrameLimits, Inbound, Keys, Opener, StreamSealer, frame_length, length_prefix,
};
use super::{ADMIN_FRAME, frame_limits, random_bytes, with_timeout};
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

/// The sender's name in operators' frames. No member may have this name.
pub const ADMINISTRATOR: &str = "admin";
/// Time limit for one router's answer, connecting included.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// An operator's request. Encoded by postcard: new variants are added at the end only.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Return the fleet's status as this router knows it.
    Status,
    /// Make these members the voters; the leader changes one voter at a time.
    Voters(BTreeSet<MemberName>),
    /// Propose a policy command to the log.
    Policy(policy_epoch::Command),
    /// Return the policy's epoch and proposals.
    PolicyStatus,
}

/// A router's reply. Encoded by postcard: new variants are added at the end only.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Reply to [`Request::Status`], with the status as this router knows it.
    Status(Box<StatusReport>),
    /// The request was refused, with the reason for the operator.
    Refused(String),
    /// The request was accepted and is in progress; the status shows its effect.
    Accepted,
    /// Reply to [`Request::Policy`], with the result of the command.
    Policy(policy_epoch::Reply),
    /// Reply to [`Request::PolicyStatus`], with the state that this router has applied.
    PolicyStatus(Box<PolicyStatus>),
}

/// The policy's state as a member has applied it from the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PolicyStatus {
    /// The member that replies, with its incarnation.
    pub member: MemberInstance,
    /// The epoch in force and the proposals.
    pub table: policy_epoch::Table,
    /// Members whose session leases are valid.
    pub live_members: BTreeSet<MemberInstance>,
}

/// A member's status and its role in the Raft group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReport {
    /// Status of the member and of the fleet as it knows it.
    pub status: NodeStatus,
    /// `leader`, `candidate`, `follower` or `learner`.
    pub role: String,
    /// The voters with the numbers of their stores. Empty before the group has started.
    pub voters: Vec<VoterId>,
    /// The members that shall become the voters.
    pub target_voters: Vec<MemberName>,
}

impl StatusReport {
    /// The report as one JSON object.
    pub fn to_json(&self) -> serde_json::Value {
        let mut object = serde_json::to_value(&self.status).unwrap_or_default();
        if let Some(fields) = object.as_object_mut() {
            fields.insert("role".into(), self.role.as_str().into());
            fields.insert(
                "voters".into(),
                serde_json::to_value(&self.voters).unwrap_or_default(),
            );
            fields.insert(
                "wanted".into(),
                serde_json::to_value(&self.target_voters).unwrap_or_default(),
            );
        }
        object
    }
}

/// A request, with the nonce that the reply has to be sealed with.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct RequestEnvelope {
    pub nonce: [u8; 16],
    pub request: Request,
}

pub(super) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap_or_default()
}

/// Sends a request to the router of `config`. If it does not answer, tries the configured peers in the order of their
/// names.
///
/// # Errors
/// The key file can't be used, or no router answered: the failure of each with its address.
pub async fn query(config: &FleetConfig, request: Request) -> Result<Reply, String> {
    let (keys, _) =
        Keys::read(&config.key_file).map_err(|e| format!("{}: {e}", config.key_file.display()))?;
    let limits = frame_limits(config);
    let own = (&config.name, &config.peer);
    let peers = config
        .peers
        .iter()
        .filter(|(name, _)| **name != config.name);
    let mut failures = String::new();
    for (name, address) in std::iter::once(own).chain(peers) {
        let attempt = query_one(name, *address, &keys, &limits, request.clone());
        match with_timeout(ANSWER_TIMEOUT, attempt).await {
            Ok(reply) => return Ok(reply),
            Err(error) => {
                let separator = if failures.is_empty() { "" } else { "; " };
                let _ = write!(failures, "{separator}{name} at {address}: {error}");
            }
        }
    }
    Err(format!("no router answered: {failures}"))
}

async fn query_one(
    name: &MemberName,
    address: SocketAddr,
    keys: &Keys,
    limits: &FrameLimits,
    request: Request,
) -> io::Result<Reply> {
    let mut stream = RetryingStream(TcpStream::connect(address).await?);
    let mut nonce = [0; 16];
    stream.read_exact(&mut nonce).await?;
    let own = MemberName::try_from(ADMINISTRATOR).map_err(io::Error::other)?;
    let me = MemberInstance {
        name: own.clone(),
        incarnation: Incarnation(1),
    };
    let mut sealer = StreamSealer::new(
        me,
        name.clone(),
        keys.clone(),
        limits,
        ConnectionNonce(nonce),
    );
    let reply_nonce = random_bytes()?;
    let frame = sealer
        .seal(
            ADMIN_FRAME,
            &encode(&RequestEnvelope {
                nonce: reply_nonce,
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
                io::Error::other("the connection was closed without an answer: not the same key in its key file, or another \
                     member at this address")
            }
            _ => error,
        })?;
    let mut frame = vec![0; frame_length(prefix, limits).map_err(io::Error::other)?];
    stream.read_exact(&mut frame).await?;
    let mut opener = Opener::new(own, keys.clone(), limits.clone());
    let mut inbound = Inbound::new(ConnectionNonce(reply_nonce));
    let opened = opener
        .open_stream_frame(0, &mut inbound, &frame)
        .map_err(io::Error::other)?;
    if opened.from.name != *name {
        return Err(io::Error::other(format!(
            "member {} answered instead; check the address in fleet.peers",
            opened.from.name
        )));
    }
    postcard::from_bytes(opened.payload).map_err(io::Error::other)
}

/// Formats a status report as text tables.
pub fn status_table(report: &StatusReport) -> String {
    let StatusReport {
        status,
        role,
        voters,
        target_voters,
    } = report;
    let NodeStatus {
        local: member,
        site,
        session,
        leader,
        term,
        commit,
        applied,
        epoch,
        ..
    } = status;
    let leader = leader.as_ref().map_or("nobody", MemberName::as_str);
    let mut text = format!(
        "fleet as seen by {member} at site {site}, role {role}, session {session}\n\
         leader {leader}, term {}, commit {}, applied {}, epoch {epoch}\n\n",
        term.0, commit.0, applied.0
    );
    let group_role = |name: &MemberName| match (
        voters.iter().any(|v| v.name == *name),
        target_voters.contains(name),
    ) {
        (true, true) => "voter",
        (true, false) => "voter, to be removed",
        (false, true) => "learner, to be a voter",
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
            group_role(&m.name).to_owned(),
            m.address.to_string(),
        ]
    });
    text += &format_table(std::iter::once(header).chain(members).collect());
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
    text + &format_table(std::iter::once(header).chain(leases).collect())
}

fn format_table(rows: Vec<Vec<String>>) -> String {
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
