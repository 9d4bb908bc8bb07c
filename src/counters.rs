//! Counts of what a conductor takes in, sends and answers; printed on SIGUSR1 and at exit.

use std::cell::Cell;
use std::fmt;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {
        /// The counters of one conductor.
        #[derive(Debug, Default)]
        pub struct Counters { $($(#[$doc])* pub $name: Count),* }

        impl fmt::Display for Counters {
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

    /// The number.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

counters! {
    /// Client connections accepted.
    connections_in,
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
    /// Connections opened to model hosts.
    connections_out,
    /// Kept connections that were reset as soon as a request was written to them.
    stale_connections,
    /// Requests sent to model hosts.
    sent,
    /// Sends held back because the model host drains or is gone.
    held_back,
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
    /// Panics that were caught.
    panics,
}
