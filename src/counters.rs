//! Counts of what a conductor takes in, sends and answers; printed on SIGUSR1 and at exit.

use std::cell::Cell;
use std::fmt;

macro_rules! counters {
    ($(#[$whole:meta])* $all:ident { $($(#[$doc:meta])* $name:ident),* $(,)? }) => {
        $(#[$whole])*
        #[derive(Debug, Default)]
        pub struct $all { $($(#[$doc])* pub $name: Count),* }

        impl fmt::Display for $all {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                let mut gap = "";
                $(
                    write!(f, "{gap}{}={}", stringify!($name), self.$name.get())?;
                    gap = " ";
                )*
                Ok(())
            }
        }
    };
}

/// A number that only grows.
#[derive(Debug, Default)]
pub struct Count(Cell<u64>);

impl Count {
    /// Adds one.
    pub fn up(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// Adds some.
    pub fn add(&self, some: usize) {
        self.0.set(self.0.get() + some as u64);
    }

    /// The number.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

counters! {
    /// The counters of one conductor.
    Counters {
        /// Client connections accepted.
        connections_in,
        /// Accepts that failed for what their one connection was.
        accepts_of_one_failed,
        /// Accepts that failed for want of something on this machine.
        accepts_failed,
        /// Client connections refused for want of sockets.
        connections_over_bound,
        /// Requests taken.
        taken,
        /// Requests answered with a 4xx for what they are.
        bad_requests,
        /// Client connections, idle or with half a request, closed to make room for others.
        connections_evicted,
        /// Client connections closed before their request had come whole.
        slow_clients,
        /// Requests refused before the module saw them, for want of room.
        over_bound,
        /// Requests refused since this conductor's right to act in its fleet has ended.
        cut_off,
        /// Requests rejected since they came late while the process stops.
        rejected_stopping,
        /// Connections opened to model hosts.
        connections_out,
        /// Connects that failed for want of something on this machine and were tried again.
        connects_repeated,
        /// Connects given up for that.
        connects_failed_locally,
        /// Kept connections that were reset as soon as a request was written to them.
        stale_connections,
        /// Requests sent to model hosts.
        sent,
        /// Attempts whose last byte was written to a model host.
        written_whole,
        /// Sends held back since the model host drains or is gone, or since the client has left.
        held_back,
        /// Sends held back since the request may have run and the time in which a repeat is dropped was over.
        repeats_held_back,
        /// Sends that were decided and not permitted.
        sends_refused,
        /// Calls beside the attempts that were not written: what they were for was over by then.
        calls_refused,
        /// Attempts that ended: prompt read.
        ended_read,
        /// Attempts that ended: answer streamed to its end.
        ended_served,
        /// Attempts that ended: turned away, state missing included.
        ended_turned_away,
        /// Attempts that ended: no connection.
        ended_no_connection,
        /// Attempts that ended: connection lost.
        ended_lost,
        /// Attempts that ended: no answer in time.
        ended_no_answer,
        /// Attempts that ended: an error of the model host.
        ended_error,
        /// Attempts that ended: dropped.
        ended_dropped,
        /// Attempts that ended: never sent.
        ended_not_sent,
        /// Answers begun to stream to clients.
        answered_stream,
        /// Requests refused.
        answered_refused,
        /// Requests failed.
        answered_failed,
        /// Clients that left before their answer's end.
        clients_left,
        /// Streams that broke after their first event.
        streams_broken,
        /// Calls that let go of held states.
        releases,
        /// Those of them ordered since a send had not been answered in time.
        releases_behind_sends,
        /// Releases that a model host took.
        releases_taken,
        /// Calls to release what a host that was silent may have got late.
        late_releases,
        /// Releases that no model host took.
        releases_failed,
        /// Lists and changes of lists received.
        lists,
        /// Watches of discovery that broke or fell silent.
        watches_lost,
        /// Configurations taken in on SIGHUP.
        reloads,
        /// Configurations that could not be used on SIGHUP.
        reloads_failed,
        /// Tool calls that writers asked for.
        tool_calls,
        /// Tool calls whose bytes went out to the tool side.
        tool_runs,
        /// Tool calls answered from the ledger.
        tool_repeats,
        /// Tool calls answered with an error of the front's own.
        tool_errors,
        /// Rules that the module's orders broke, by the driver's own account.
        violations,
        /// Panics that were caught.
        panics,
    }
}

counters! {
    /// The counters of what a conductor has to do with the others of its fleet.
    FleetCounters {
        /// Datagrams sent to members.
        datagrams_out,
        /// Datagrams of members taken.
        datagrams_in,
        /// Datagrams that the system did not take, or that were too long.
        datagrams_lost,
        /// Frames written to connections to members.
        frames_out,
        /// Frames of members taken from connections.
        frames_in,
        /// Bytes sent to members, seals included and the system's headers not.
        bytes_out,
        /// Connections opened to members.
        links_opened,
        /// Connections to members that broke.
        links_lost,
        /// Messages that were dropped, the oldest first, since the queue to their receiver was full.
        queue_drops,
        /// Connections accepted at the peer address.
        peers_accepted,
        /// Connections at the peer address closed before they had proven anything, to make room or for taking too long.
        peers_unproven,
        /// Requests of administrators answered.
        admin_requests,
        /// Refused: cut off, or no frame at all.
        refused_malformed,
        /// Refused: larger than it may be.
        refused_too_long,
        /// Refused: of another version.
        refused_version,
        /// Refused: a datagram's frame on a connection, or the other way.
        refused_channel,
        /// Refused: meant for another member.
        refused_receiver,
        /// Refused: says that it is from this very member.
        refused_own_name,
        /// Refused: no key of ours vouches for it.
        refused_mac,
        /// Refused: from an earlier life of its sender.
        refused_old_incarnation,
        /// Refused: taken before.
        refused_replay,
        /// Refused: not the next frame of its connection.
        refused_order,
        /// Refused: of another sender than its connection.
        refused_other_sender,
        /// Refused: too many senders.
        refused_too_many_senders,
        /// Refused or made to wait: sent faster than it may be.
        refused_rate,
        /// Refused: well sealed, but what is in it can't be read.
        refused_payload,
        /// Changes of what is believed of members.
        view_changes,
        /// Leaders heard of, one for each term.
        leaders,
        /// Own leases granted, the life lease included.
        leases_granted,
        /// Own leases lost.
        leases_lost,
        /// Acts under leases.
        lease_acts,
        /// Lives of members that the log has ended.
        deaths,
        /// Writes to the store.
        writes,
    }
}
