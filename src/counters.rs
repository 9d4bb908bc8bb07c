//! Counters of a router's requests, attempts, connections and fleet messages; logged on SIGUSR1 and at exit.

use std::cell::Cell;
use std::fmt;

macro_rules! counters {
    ($(#[$struct_meta:meta])* $struct_name:ident { $($(#[$doc:meta])* $name:ident),* $(,)? }) => {
        $(#[$struct_meta])*
        #[derive(Debug, Default)]
        pub struct $struct_name { $($(#[$doc])* pub $name: Count),* }

        impl fmt::Display for $struct_name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                let mut separator = "";
                $(
                    write!(f, "{separator}{}={}", stringify!($name), self.$name.get())?;
                    separator = " ";
                )*
                Ok(())
            }
        }
    };
}

/// A counter that never decreases, for use on a single thread.
#[derive(Debug, Default)]
pub struct Count(Cell<u64>);

impl Count {
    /// Increments the counter by one.
    pub fn up(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// Increments the counter by `amount`.
    pub fn add(&self, amount: usize) {
        self.0.set(self.0.get() + amount as u64);
    }

    /// The current value.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

counters! {
    /// Counters of one router.
    Counters {
        /// Client connections accepted.
        connections_in,
        /// Accepts that failed because of the accepted connection itself, such as one that was already reset.
        accepts_of_one_failed,
        /// Accepts that failed because this machine lacked a resource, such as file descriptors.
        accepts_failed,
        /// Client connections rejected because the limit on sockets was reached.
        connections_over_bound,
        /// Requests accepted.
        taken,
        /// Requests answered with a 4xx status because they are invalid.
        bad_requests,
        /// Client connections, idle or with an incomplete request, closed to make room for others.
        connections_evicted,
        /// Client connections closed because their request was not complete in time.
        slow_clients,
        /// Requests rejected before routing saw them, because a capacity limit was reached.
        over_bound,
        /// Requests rejected because this router has lost its right to act in its fleet.
        cut_off,
        /// Requests rejected because they arrived late while the process was stopping.
        rejected_stopping,
        /// Connections opened to model hosts.
        connections_out,
        /// Connects that failed because this machine lacked a resource, and were retried.
        connects_repeated,
        /// Connects that failed for good because this machine lacked a resource.
        connects_failed_locally,
        /// Pooled connections that were reset as soon as a request was written to them.
        stale_connections,
        /// Requests sent to model hosts.
        sent,
        /// Attempts whose last byte was written to a model host.
        written_whole,
        /// Sends suppressed because the model host is draining or gone, or because the client has disconnected.
        held_back,
        /// Sends suppressed because the request may have run already and its deduplication window had ended.
        repeats_held_back,
        /// Requests not started because one of the same name may have run.
        runs_not_repeated,
        /// Requests rejected because no more names of requests that may have run can be kept.
        run_records_full,
        /// Sends that routing decided on but the rules for retries did not permit.
        sends_refused,
        /// Calls other than attempts that were not written, because their purpose had lapsed by then.
        calls_refused,
        /// Attempts that ended: the prompt was prefilled.
        ended_read,
        /// Attempts that ended: the response was streamed to its end.
        ended_served,
        /// Attempts that ended: rejected by the worker, including for missing KV state.
        ended_turned_away,
        /// Attempts that ended: the connect failed.
        ended_no_connection,
        /// Attempts that ended: the connection was lost.
        ended_lost,
        /// Attempts that ended: no response in time.
        ended_no_answer,
        /// Attempts that ended: the model host answered with an error.
        ended_error,
        /// Attempts that ended: cancelled by the router.
        ended_dropped,
        /// Attempts that ended: never sent.
        ended_not_sent,
        /// Responses whose stream to the client began.
        answered_stream,
        /// Requests answered with a rejection; a retry is harmless.
        answered_refused,
        /// Requests answered with a failure.
        answered_failed,
        /// Clients that disconnected before the end of their response.
        clients_left,
        /// Streams that broke after their first event.
        streams_broken,
        /// Streams that broke because their model host sent no event in time, though it may have sent other bytes.
        streams_timed_out,
        /// Connections to servers whose response has spoilt framing: a length that can't be sound, or a chunk that can't be read.
        framing_faults,
        /// Streams that broke because a part of their framing was not complete in time.
        frames_timed_out,
        /// Incomplete events of model hosts that were ended because memory was short.
        events_revoked,
        /// Clients disconnected because they did not read their response and memory was short.
        stalled_clients_closed,
        /// Calls that release KV state on a model host.
        releases,
        /// Release calls made because a send had not been answered in time.
        releases_behind_sends,
        /// Release calls that a model host accepted.
        releases_taken,
        /// Release calls for KV state that a silent model host may have created late.
        late_releases,
        /// Release calls that no model host accepted.
        releases_failed,
        /// Endpoint lists and incremental updates received from discovery.
        lists,
        /// Discovery watches that broke or went silent.
        watches_lost,
        /// Configurations applied on SIGHUP.
        reloads,
        /// Configurations rejected on SIGHUP.
        reloads_failed,
        /// Tool calls that decode workers requested.
        tool_calls,
        /// Tool calls whose bytes were sent to the tool server.
        tool_runs,
        /// Tool calls answered from the ledger.
        tool_repeats,
        /// Tool calls answered with an error by the tool-call frontend itself.
        tool_errors,
        /// Rule violations by actions of the routing policy, as detected by the dispatcher.
        violations,
        /// Panics that were caught.
        panics,
    }
}

counters! {
    /// Counters of a router's communication with the other members of its fleet.
    FleetCounters {
        /// Datagrams sent to members.
        datagrams_out,
        /// Datagrams accepted from members.
        datagrams_in,
        /// Datagrams not sent, because the operating system refused them or they were too long.
        datagrams_lost,
        /// Frames written to connections to members.
        frames_out,
        /// Frames accepted from members over connections.
        frames_in,
        /// Bytes sent to members, including authentication codes but not the operating system's headers.
        bytes_out,
        /// Connections opened to members.
        links_opened,
        /// Connections to members that broke.
        links_lost,
        /// Messages dropped, the oldest first, because the queue to their receiver was full.
        queue_drops,
        /// Connections accepted at the peer address.
        peers_accepted,
        /// Connections at the peer address closed before they had sent an authentic frame, to make room or after a timeout.
        peers_unproven,
        /// Administrative requests answered.
        admin_requests,
        /// Frames rejected: truncated, or not a frame at all.
        refused_malformed,
        /// Frames rejected: above the maximum size.
        refused_too_long,
        /// Frames rejected: of another protocol version.
        refused_version,
        /// Frames rejected: a datagram's frame on a connection, or a connection's frame in a datagram.
        refused_channel,
        /// Frames rejected: addressed to another member.
        refused_receiver,
        /// Frames rejected: the sender's name is this member's own.
        refused_own_name,
        /// Frames rejected: no configured key verifies the authentication code.
        refused_mac,
        /// Frames rejected: from an earlier incarnation of the sender.
        refused_old_incarnation,
        /// Frames rejected: accepted before (replay).
        refused_replay,
        /// Frames rejected: not the next frame of the connection.
        refused_order,
        /// Frames rejected: the sender is not the one of the connection.
        refused_other_sender,
        /// Frames rejected: the limit on tracked senders is reached.
        refused_too_many_senders,
        /// Frames rejected or delayed: the sender exceeds its rate limit.
        refused_rate,
        /// Frames rejected: authentic, but the payload can't be decoded.
        refused_payload,
        /// Changes of the membership view.
        view_changes,
        /// Leaders learned of, one for each term.
        leaders,
        /// Leases granted to this member, including its session lease.
        leases_granted,
        /// Leases that this member has lost.
        leases_lost,
        /// Actions performed under a lease.
        lease_acts,
        /// Incarnations of members whose end was committed to the log.
        deaths,
        /// Writes to the store.
        writes,
    }
}
