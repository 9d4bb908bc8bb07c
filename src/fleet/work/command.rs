//! Commands of the table, their replies, and the changes that all members see. All are postcard: variants and fields
//! count by position.

use super::record::{CallState, ClientRequestRecord, FinalResponse};
use crate::fleet::{Index, MemberInstance};
use serde::{Deserialize, Serialize};

/// The limits under which a proposer asks for a new record. They travel with the command, so that all members decide
/// alike whatever their configuration says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Capacity {
    /// Most records of both kinds.
    pub records: u64,
    /// Most bytes of all records.
    pub bytes: u64,
}

/// A change that a member proposes to the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Become the owner of a client request: a new one, one without an owner, or (if its client asks for the rest of a
    /// response that has started) one of another member.
    Claim {
        /// The request's lasting name.
        name: String,
        /// Whether no other claim may send it again once it may have run.
        at_most_once: bool,
        /// Whether the client asks for the rest of a response.
        resume: bool,
        /// The limits for a new record.
        capacity: Capacity,
    },
    /// A request is about to be sent to an upstream worker.
    StartSend {
        /// The id by which workers know it.
        id: String,
        /// The worker, for the log of the member that takes it over.
        worker: String,
        /// The client request and the generation of its claim, if it has a name.
        name: Option<(String, u64)>,
        /// Whether the worker only reads: then nothing has run.
        read_only: bool,
        /// Most sends of one request.
        max_attempts: u32,
        /// The limits for a new record.
        capacity: Capacity,
    },
    /// The response has started.
    ResponseStarted {
        /// The request's name.
        name: String,
        /// The generation of the claim.
        generation: u64,
    },
    /// A tool call is about to go out.
    StartCall {
        /// The request's name.
        name: String,
        /// The generation of the claim.
        generation: u64,
        /// The position of the call in the response.
        ordinal: u32,
        /// A digest of its method and arguments.
        arguments: u128,
        /// The limits for a new record.
        capacity: Capacity,
    },
    /// A tool call has completed. Accepted from the incarnation that made the call, also after a change of owner.
    CompleteCall {
        /// The request's name.
        name: String,
        /// The position of the call in the response.
        ordinal: u32,
        /// The outcome; `None` if the call never reached the tool and may be tried again.
        outcome: Option<Vec<u8>>,
    },
    /// The request has completed.
    Complete {
        /// The request's name.
        name: String,
        /// The generation of the claim.
        generation: u64,
        /// The final response.
        response: FinalResponse,
    },
    /// The owner gives the request up without a final response: its client left, or the stream broke. Any member may
    /// claim it.
    Release {
        /// The request's name.
        name: String,
        /// The generation of the claim.
        generation: u64,
        /// Whether it is known that nothing has run: the client was told that it may safely try again.
        not_executed: bool,
    },
    /// Workers hold nothing any more for these sends.
    CompleteSends {
        /// Their ids, at most [`super::MAX_IDS_PER_COMMAND`].
        ids: Vec<String>,
    },
    /// Take over the upstream sends of an ended incarnation.
    TakeOver {
        /// The ended incarnation.
        ended: MemberInstance,
    },
    /// Remove the record of a client request, if it has not changed since.
    Forget {
        /// The request's name.
        name: String,
        /// The entry that last changed it.
        last_changed: Index,
    },
}

/// The reply to a command.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reply {
    /// The change is recorded.
    Recorded,
    /// The proposer owns the request. The record shows what happened before.
    Claimed(Box<ClientRequestRecord>),
    /// The request has completed with this response.
    Completed(FinalResponse),
    /// The tool call may go out.
    Proceed,
    /// The tool call is on record already and must not go out again.
    KnownCall(CallState),
    /// The proposer owns these sends: their ids, and the worker to which each went last.
    TakenOver(Vec<(String, String)>),
    /// Nothing was recorded.
    Rejected(Rejection),
}

/// Why a command was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Rejection {
    /// The proposer's incarnation has ended.
    IncarnationEnded,
    /// Another incarnation owns the request.
    OwnedBy(MemberInstance),
    /// The request has changed owner, or is not known any more.
    Superseded,
    /// The limits of the command are reached; no record is dropped to make room.
    CapacityExceeded,
    /// The call was made before with other arguments.
    ArgumentsDiffer,
    /// The request has used up its sends.
    AttemptsExhausted,
    /// The response has started and the request must not run twice: its client may only resume it.
    AlreadyStarted,
    /// An empty or too long name, or too many ids.
    Invalid,
    /// Nothing is left to take over, or another member has taken it over.
    NothingToTakeOver,
}

/// A change of a record that all members see.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RecordChange {
    /// A request has a new owner while the previous one lives: that one closes its client's connection.
    Moved {
        /// The request's name.
        name: String,
        /// The previous owner.
        from: MemberInstance,
        /// The new owner.
        to: MemberInstance,
    },
    /// A tool call has its outcome, or its outcome will never be known.
    CallCompleted {
        /// The request's name.
        name: String,
        /// The position of the call in the response.
        ordinal: u32,
    },
    /// The request has no owner any more.
    Released {
        /// The request's name.
        name: String,
    },
    /// The request has its final response.
    Completed {
        /// The request's name.
        name: String,
    },
    /// An ended incarnation has left upstream sends that nobody has taken over yet.
    Orphaned {
        /// The ended incarnation.
        ended: MemberInstance,
        /// How many sends.
        sends: u64,
    },
    /// They were taken over.
    TakenOver {
        /// The ended incarnation.
        ended: MemberInstance,
        /// The member that releases them.
        new_owner: MemberInstance,
    },
}
