//! The records that the checker reads. The names and fields are the conductors' and the stand-ins' side of the
//! bargain: a record of one of these names without its fields is reported, not passed over.

use crate::history::Record;
use serde::{Deserialize, Deserializer};
use serde_json::Value;

/// A number, written as one or as text.
fn number<'de, D: Deserializer<'de>>(from: D) -> Result<u64, D::Error> {
    let value = Value::deserialize(from)?;
    let read = value.as_u64().or_else(|| value.as_str()?.parse().ok());
    read.ok_or_else(|| serde::de::Error::custom(format!("not a number: {value}")))
}

/// A lease as its records name it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct LeaseFact {
    /// The lease's name.
    pub lease: String,
    /// The grant's token.
    #[serde(deserialize_with = "number")]
    pub token: u64,
}

/// A request or a state at a stand-in host.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct HeldFact {
    /// The id under which the host knows it.
    pub id: String,
    /// The client's lasting name.
    #[serde(default)]
    pub name: String,
}

/// What happened, as far as a promise speaks of it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(tag = "event")]
pub enum Fact {
    /// A conductor's life begins.
    #[serde(rename = "fleet.start")]
    FleetStart {},
    /// A conductor's life ends in order.
    #[serde(rename = "fleet.stop")]
    FleetStop {},
    /// A member sees another otherwise than before: `alive`, `suspect`, `dead`, `left`.
    #[serde(rename = "view.change")]
    ViewChange {
        /// Whom.
        peer: String,
        /// In which life.
        #[serde(deserialize_with = "number")]
        peer_incarnation: u64,
        /// As what from now on.
        to: String,
    },
    /// Who leads the group, as this member learns it.
    #[serde(rename = "group.leading")]
    GroupLeading {
        /// The leader, if one is known.
        #[serde(default)]
        leader: Option<String>,
        /// The term.
        #[serde(deserialize_with = "number")]
        term: u64,
    },
    /// A lease is this member's.
    #[serde(rename = "lease.granted")]
    LeaseGranted(LeaseFact),
    /// It was renewed.
    #[serde(rename = "lease.renewed")]
    LeaseRenewed(LeaseFact),
    /// It is not this member's any more.
    #[serde(rename = "lease.lost")]
    LeaseLost(LeaseFact),
    /// This member gave it back.
    #[serde(rename = "lease.released")]
    LeaseReleased(LeaseFact),
    /// Something was done by right of a lease.
    #[serde(rename = "lease.act")]
    LeaseAct(LeaseFact),
    /// This member may act as itself.
    #[serde(rename = "life.gained")]
    LifeGained {},
    /// It may not any more.
    #[serde(rename = "life.lost")]
    LifeLost {},
    /// The group has ended a life, as this member learns it.
    #[serde(rename = "life.ended")]
    LifeEnded {
        /// Whose.
        peer: String,
        /// Which.
        #[serde(deserialize_with = "number")]
        peer_incarnation: u64,
    },
    /// This member holds an epoch of the policy from now on.
    #[serde(rename = "policy.epoch")]
    PolicyEpoch {
        /// Which.
        #[serde(deserialize_with = "number")]
        epoch: u64,
        /// Of its content.
        digest: String,
    },
    /// A request begins.
    #[serde(rename = "policy.begin")]
    PolicyBegin {
        /// Under which epoch.
        #[serde(deserialize_with = "number")]
        epoch: u64,
    },
    /// Messages of a peer, or of somebody in its name, were refused.
    #[serde(rename = "fleet.refused")]
    FleetRefused {
        /// In whose name.
        #[serde(default)]
        peer: String,
        /// Why.
        #[serde(default)]
        reason: String,
    },

    /// A read left a state at a host.
    #[serde(rename = "state.held")]
    StateHeld(HeldFact),
    /// A writer took it.
    #[serde(rename = "state.taken")]
    StateTaken(HeldFact),
    /// It was let go.
    #[serde(rename = "state.released")]
    StateReleased(HeldFact),
    /// A host died, and states with it.
    #[serde(rename = "host.killed", alias = "host.fell")]
    HostKilled {
        /// Their ids.
        #[serde(default)]
        lost: Vec<String>,
    },
    /// A writer runs a request.
    #[serde(rename = "run.begun")]
    RunBegun {
        /// The client's lasting name for it.
        name: String,
        /// Its class.
        class: String,
        /// Whether it goes on from a text, rather than from the start.
        resumed: bool,
    },
    /// A tool ran.
    #[serde(rename = "tool.ran")]
    ToolRan {
        /// Which call: the request's name and the call's ordinal.
        call: String,
    },

    /// A client was told that its request is taken.
    #[serde(rename = "client.taken")]
    ClientTaken {
        /// The request's name.
        name: String,
    },
    /// A client has its final answer.
    #[serde(rename = "client.final")]
    ClientFinal {
        /// The request's name.
        name: String,
        /// The conductor that gave it.
        at: String,
        /// `text` or `error`.
        kind: String,
        /// The text.
        #[serde(default)]
        text: Option<String>,
        /// The error.
        #[serde(default)]
        code: Option<i64>,
    },
    /// A client stopped asking without a final answer.
    #[serde(rename = "client.gave_up")]
    ClientGaveUp {
        /// The request's name.
        name: String,
    },

    /// SIGKILL.
    #[serde(rename = "fault.kill")]
    Kill {
        /// Whom it struck.
        member: String,
    },
    /// SIGSTOP.
    #[serde(rename = "fault.stop")]
    Stop {
        /// Whom it struck.
        member: String,
    },
    /// SIGCONT.
    #[serde(rename = "fault.cont")]
    Cont {
        /// Whom it struck.
        member: String,
    },
    /// SIGTERM.
    #[serde(rename = "fault.term")]
    Term {
        /// Whom it struck.
        member: String,
    },
    /// Links were cut.
    #[serde(rename = "fault.cut")]
    Cut {},
    /// Links were made bad in another way.
    #[serde(rename = "fault.links")]
    Links {},
    /// All links are good again.
    #[serde(rename = "fault.heal")]
    Heal {},
    /// A process began.
    #[serde(rename = "lab.started")]
    Started {
        /// Its name.
        member: String,
    },
    /// Faults have stopped.
    #[serde(rename = "lab.quiet")]
    Quiet {
        /// Who runs and is reachable.
        alive: Vec<String>,
        /// How long views may take to agree, in microseconds.
        #[serde(default)]
        within_us: Option<u64>,
    },
    /// Somebody without the shared key begins to speak under this name.
    #[serde(rename = "lab.stranger")]
    Stranger {
        /// The name.
        name: String,
    },
    /// Forged, replayed or garbled messages are sent from now on, and there is no other fault meanwhile.
    #[serde(rename = "lab.forging")]
    Forging {},
    /// That is over.
    #[serde(rename = "lab.forged")]
    Forged {},
    /// A process's memory was looked at.
    #[serde(rename = "lab.memory")]
    Memory {
        /// Whose.
        member: String,
        /// Resident bytes.
        #[serde(deserialize_with = "number")]
        bytes: u64,
        /// Bytes that it may have.
        #[serde(deserialize_with = "number")]
        limit: u64,
    },
    /// All else.
    #[serde(other)]
    Other,
}

impl Fact {
    /// Reads a record.
    ///
    /// # Errors
    /// It has the name of a fact and not its fields.
    pub fn read(record: &Record) -> Result<Fact, serde_json::Error> {
        let mut fields = record.fields.clone();
        fields.insert("event".into(), record.event.clone().into());
        serde_json::from_value(Value::Object(fields))
    }

    /// Whether it is a fault put in by the lab, or the end of one.
    pub fn is_fault(&self) -> bool {
        use Fact::{Cont, Cut, Heal, Kill, Links, Started, Stop, Term};
        matches!(
            self,
            Kill { .. }
                | Stop { .. }
                | Cont { .. }
                | Term { .. }
                | Cut {}
                | Links {}
                | Heal {}
                | Started { .. }
        )
    }
}
