//! Failure detection of whole sites by one router: which sites are healthy, suspect, lost or returning, and what is
//! missing.
//!
//! There are four signals, and each can be wrong by itself: the membership view of the routers, contact with the Raft
//! leader, whether model hosts can be reached, and the discovery list, which lags by seconds. Together they mean:
//!
//! | routers | hosts | list | conclusion |
//! | --- | --- | --- | --- |
//! | gone | not reached | any | the site is lost |
//! | gone | reached | any | its routers are lost; its hosts still serve |
//! | present | not reached | any | its hosts are lost |
//! | present | reached | none ready | discovery is wrong; nothing is missing |
//! | present | reached | half or less ready | half of its hosts are lost |
//! | half of all sites' routers or more gone, and no leader | any | any | this router is isolated: only unreachable hosts count |

use super::describe::WatchSettings;
use super::plan::Missing;
use crate::routing::types::Micros;

/// An observation, or the passing of time.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// Time has passed; due at [`Watch::timeout`].
    Tick,
    /// The membership view of one site: how many of its routers are not dead.
    Routers {
        /// Index of the site, in the order of the configuration file.
        site: usize,
        /// Routers that are alive or suspect.
        alive: u32,
        /// Number of routers that are configured for the site; if 0, its routers never count as missing.
        total: u32,
    },
    /// Whether this router is in contact with the leader of the Raft group.
    Leader {
        /// Whether this router knows the current leader.
        known: bool,
    },
    /// A model host of the site was reached (by a request, an answer or a connection), or could not be.
    Host {
        /// Index of the site, in the order of the configuration file.
        site: usize,
        /// Whether the host was reached.
        reached: bool,
    },
    /// The discovery list: how many model hosts of the site are in service.
    Listed {
        /// Index of the site, in the order of the configuration file.
        site: usize,
        /// Number of model hosts that are in service now.
        ready: u32,
        /// The most hosts that were listed at once so far.
        total: u32,
    },
    /// The agreed table says that all load of the site has returned.
    FullyRestored {
        /// Index of the site, in the order of the configuration file. Ignored unless the site is returning.
        site: usize,
    },
}

/// This router's view of a site.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Status {
    /// All routers and model hosts of the site serve.
    #[default]
    Healthy,
    /// Something is missing, but not for long enough yet to be lost. Nothing new is sent to the site.
    Suspect,
    /// Something has been missing for long enough that the plan for its loss applies.
    Lost,
    /// Everything has been back for long enough; the load of the site returns step by step.
    Returning,
}

impl Status {
    /// The value written to the structured log.
    pub fn as_str(self) -> &'static str {
        match self {
            Status::Healthy => "sound",
            Status::Suspect => "doubted",
            Status::Lost => "lost",
            Status::Returning => "returning",
        }
    }
}

/// The reason for a status.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Cause {
    /// This router knows of no fault at the site or in its part of the discovery list.
    #[default]
    None,
    /// Neither routers nor model hosts can be reached.
    Site,
    /// The model hosts can't be reached.
    Hosts,
    /// Half of the model hosts or more are out of service.
    Half,
    /// The routers are gone; the model hosts serve.
    Routers,
    /// The discovery list has no host in service, but hosts are being reached.
    Discovery,
    /// This router is isolated from most routers and from the leader, and can't reach the model hosts.
    Isolated,
}

impl Cause {
    /// The value written to the structured log.
    pub fn as_str(self) -> &'static str {
        match self {
            Cause::None => "none",
            Cause::Site => "site",
            Cause::Hosts => "hosts",
            Cause::Half => "half",
            Cause::Routers => "conductors",
            Cause::Discovery => "discovery",
            Cause::Isolated => "cutoff",
        }
    }
}

/// A change of this router's view of a site.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Change {
    /// Index of the site, in the order of the configuration file.
    pub site: usize,
    /// Status of the site before the change.
    pub from: Status,
    /// The new status; may equal `from` if only `missing` or `cause` changed.
    pub to: Status,
    /// The part that is missing now.
    pub missing: Missing,
    /// The reason for the new status.
    pub cause: Cause,
}

/// An action that the caller of [`Watch::handle`] carries out, or a change that it records.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// This router's view of a site changed.
    Changed(Change),
    /// Try to reach a model host of the site, not by a client's request, and report the result as [`Event::Host`].
    Probe {
        /// Index of the site, in the order of the configuration file.
        site: usize,
    },
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Site {
    /// Routers that are alive or suspect, and the configured number.
    routers_alive: Option<(u32, u32)>,
    /// Hosts in service, and the most that were listed at once.
    hosts_listed: Option<(u32, u32)>,
    last_reached: Option<Micros>,
    /// Failures to reach a host since `last_reached`.
    failures: u32,
    status: Status,
    missing: Missing,
    cause: Cause,
    /// The part that the signals report as missing, where it differs from `missing`, and since when.
    pending: Option<(Missing, Micros)>,
    /// When `status` or `missing` last changed.
    since: Micros,
    hold_down_doublings: u32,
    /// The site was lost at least once since it was last healthy for `forget_ms`.
    was_lost: bool,
    last_probe: Micros,
}

/// The failure detector of one router.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Watch {
    settings: WatchSettings,
    own_site: usize,
    leader_known: bool,
    sites: Vec<Site>,
}

impl Watch {
    /// A detector for `sites` sites, all healthy at first. `own_site` is the index of this router's own site.
    pub fn new(settings: WatchSettings, sites: usize, own_site: usize) -> Self {
        Watch {
            settings,
            own_site,
            leader_known: true,
            sites: vec![Site::default(); sites],
        }
    }

    /// The status of a site, the part of it that is missing, and the cause; healthy for an unknown index.
    pub fn status(&self, site: usize) -> (Status, Missing, Cause) {
        self.sites
            .get(site)
            .map_or_else(Default::default, |s| (s.status, s.missing, s.cause))
    }

    /// Whether all signals of a site are good again, though not for long enough to change its status.
    pub fn recovering(&self, site: usize) -> bool {
        self.sites.get(site).is_some_and(|s| {
            s.pending
                .is_some_and(|(missing, _)| missing == Missing::Nothing)
        })
    }

    /// Whether this router is isolated: it sees half of all routers at most, and has no contact with the leader.
    pub fn isolated(&self) -> bool {
        let counts = self.sites.iter().filter_map(|s| s.routers_alive);
        let (alive, total) = counts.fold((0, 0), |(a, b), (alive, total)| (a + alive, b + total));
        !self.leader_known && total > 0 && alive * 2 <= total
    }

    /// When to send [`Event::Tick`] next; `None` if nothing depends on time.
    pub fn timeout(&self, now: Micros) -> Option<Micros> {
        let busy = |s: &Site| s.status != Status::Healthy || s.pending.is_some() || s.failures > 0;
        self.sites
            .iter()
            .any(busy)
            .then_some(now + self.settings.reached_ms * 1_000 / 4)
    }

    /// Processes an observation and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick => {}
            Event::Routers { site, alive, total } => {
                if let Some(s) = self.sites.get_mut(site) {
                    s.routers_alive = Some((alive, total));
                }
            }
            Event::Leader { known } => self.leader_known = known,
            Event::Host { site, reached } => {
                if let Some(s) = self.sites.get_mut(site) {
                    if reached {
                        (s.last_reached, s.failures) = (Some(now), 0);
                    } else {
                        s.failures = s.failures.saturating_add(1);
                    }
                }
            }
            Event::Listed { site, ready, total } => {
                if let Some(s) = self.sites.get_mut(site) {
                    s.hosts_listed = Some((ready, total));
                }
            }
            Event::FullyRestored { site } => {
                if let Some(s) = self
                    .sites
                    .get_mut(site)
                    .filter(|s| s.status == Status::Returning)
                {
                    s.change_status(
                        site,
                        now,
                        Status::Healthy,
                        (Missing::Nothing, Cause::None),
                        out,
                    );
                }
            }
        }
        for site in 0..self.sites.len() {
            self.evaluate(now, site, out);
        }
    }

    /// What the signals mean at `now`.
    fn assess_signals(&self, now: Micros, site: usize) -> (Missing, Cause) {
        let s = &self.sites[site];
        let reached_recently = s
            .last_reached
            .is_some_and(|at| now.saturating_sub(at) < self.settings.reached_ms * 1_000);
        let unreached = s.failures >= self.settings.failures && !reached_recently;
        if self.isolated() {
            return if unreached {
                (Missing::Hosts, Cause::Isolated)
            } else {
                (Missing::Nothing, Cause::None)
            };
        }
        let routers_gone = site != self.own_site
            && s.routers_alive
                .is_some_and(|(alive, total)| alive == 0 && total > 0);
        let none_listed = s
            .hosts_listed
            .is_some_and(|(ready, total)| ready == 0 && total > 0);
        let half_listed = s
            .hosts_listed
            .is_some_and(|(ready, total)| ready > 0 && ready * 2 <= total);
        match (routers_gone, unreached) {
            (true, true) => (Missing::All, Cause::Site),
            (true, false) => (Missing::Routers, Cause::Routers),
            (false, true) => (Missing::Hosts, Cause::Hosts),
            (false, false) if half_listed => (Missing::HalfHosts, Cause::Half),
            (false, false) if none_listed && reached_recently => {
                (Missing::Nothing, Cause::Discovery)
            }
            // No host was reached recently because nothing was sent, and none is listed: the list decides.
            (false, false) if none_listed => (Missing::Hosts, Cause::Hosts),
            (false, false) => (Missing::Nothing, Cause::None),
        }
    }

    fn evaluate(&mut self, now: Micros, site: usize, out: &mut Vec<Action>) {
        let (missing, cause) = self.assess_signals(now, site);
        let settings = self.settings.clone();
        let s = &mut self.sites[site];
        let probe_interval = settings.reached_ms * 1_000 / 2;
        // Nothing new is sent to such a site, so no request would show that it is reachable again: probe it instead.
        if (s.status != Status::Healthy || missing != Missing::Nothing)
            && now >= s.last_probe + probe_interval
        {
            s.last_probe = now;
            out.push(Action::Probe { site });
        }
        if missing == s.missing {
            s.pending = None;
        } else if s.pending.is_none_or(|(pending, _)| pending != missing) {
            s.pending = Some((missing, now));
        }
        let pending_for = s.pending.map(|(_, since)| now - since);
        let lost_after = settings.lost_after_ms * 1_000;
        match s.status {
            Status::Healthy => {
                if missing != Missing::Nothing {
                    s.change_status(site, now, Status::Suspect, (missing, cause), out);
                } else if s.cause != cause {
                    s.change_status(site, now, Status::Healthy, (missing, cause), out);
                } else if now - s.since >= settings.forget_ms * 1_000 {
                    (s.hold_down_doublings, s.was_lost) = (0, false);
                }
            }
            Status::Suspect => {
                if missing == Missing::Nothing {
                    if pending_for.is_some_and(|elapsed| elapsed >= settings.reached_ms * 1_000) {
                        s.change_status(site, now, Status::Healthy, (missing, cause), out);
                    }
                } else if now - s.since >= lost_after {
                    s.change_status(site, now, Status::Lost, (missing, cause), out);
                } else if missing != s.missing {
                    // The status and its start stay the same; only the missing part is known more precisely.
                    let since = s.since;
                    s.change_status(site, now, Status::Suspect, (missing, cause), out);
                    s.since = since;
                }
            }
            Status::Lost => {
                let hold_down = (settings.hold_down_ms * 1_000)
                    << s.hold_down_doublings.min(settings.max_doublings).min(16);
                if missing == Missing::Nothing {
                    if pending_for.is_some_and(|elapsed| elapsed >= hold_down) {
                        s.change_status(site, now, Status::Returning, (missing, cause), out);
                    } else if s.missing == Missing::All
                        && pending_for.is_some_and(|elapsed| elapsed >= lost_after)
                    {
                        // The routers of the site are back and its clients can use them. Its hosts stay held down.
                        let pending = s.pending;
                        s.change_status(
                            site,
                            now,
                            Status::Lost,
                            (Missing::Hosts, Cause::Hosts),
                            out,
                        );
                        s.pending = pending;
                    }
                } else if pending_for.is_some_and(|elapsed| elapsed >= lost_after) {
                    s.change_status(site, now, Status::Lost, (missing, cause), out);
                }
            }
            Status::Returning => {
                if missing != Missing::Nothing {
                    s.hold_down_doublings = (s.hold_down_doublings + 1).min(settings.max_doublings);
                    s.change_status(site, now, Status::Lost, (missing, cause), out);
                }
            }
        }
    }
}

impl Site {
    fn change_status(
        &mut self,
        site: usize,
        now: Micros,
        to: Status,
        (missing, cause): (Missing, Cause),
        out: &mut Vec<Action>,
    ) {
        let from = self.status;
        // A loss soon after a return lengthens the hold-down, because earlier losses are not forgotten yet.
        if from == Status::Suspect && to == Status::Lost && self.was_lost {
            self.hold_down_doublings = self.hold_down_doublings.saturating_add(1);
        }
        if to == Status::Lost {
            self.was_lost = true;
        }
        (self.status, self.missing, self.cause) = (to, missing, cause);
        (self.since, self.pending) = (now, None);
        out.push(Action::Changed(Change {
            site,
            from,
            to,
            missing,
            cause,
        }));
    }
}
