//! What one conductor makes of what it sees: which sites are sound, doubted, lost or returning, and what is missing.
//!
//! Four kinds of sign, each wrong in its own way: the view of the conductors, the group, the reach of hosts, and
//! discovery's list, which is seconds late. What they say together:
//!
//! | conductors | hosts | list | then |
//! | --- | --- | --- | --- |
//! | gone | not reached | any | the site is lost |
//! | gone | reached | any | its conductors are; its hosts serve on |
//! | there | not reached | any | its hosts are lost |
//! | there | reached | none ready | only discovery is wrong; nothing is missing |
//! | there | reached | half or less ready | half of its hosts are lost |
//! | most of all sites' gone and the group out of touch | any | any | I am cut off: only my reach of hosts counts |

use super::describe::WatchSettings;
use super::plan::Missing;
use crate::routing::types::Micros;

/// Something seen.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The view: conductors of a site that are not dead, of all that it has.
    Routers {
        /// The site.
        site: usize,
        /// Alive or suspect.
        alive: u32,
        /// Configured number of routers.
        total: u32,
    },
    /// Whether the group's leader is heard.
    Leader {
        /// Whether this router knows the current leader.
        known: bool,
    },
    /// A host of the site was reached, by a request, an answer or a connection; or could not be.
    Host {
        /// The site.
        site: usize,
        /// Reached.
        reached: bool,
    },
    /// Discovery's list: hosts of the site in service, of all that it has had.
    Listed {
        /// The site.
        site: usize,
        /// In service.
        ready: u32,
        /// Configured number of routers.
        total: u32,
    },
    /// The group says that the site has its whole load again.
    FullyRestored {
        /// The site.
        site: usize,
    },
}

/// What a site is taken for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Status {
    /// All of it serves.
    #[default]
    Healthy,
    /// Something is missing, not for long yet: nothing new is sent to it.
    Suspect,
    /// What is missing is planned for.
    Lost,
    /// All of it is seen again; its load comes back by steps.
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

/// Why.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Cause {
    /// Nothing is wrong.
    #[default]
    None,
    /// Routers and hosts are gone.
    Site,
    /// The hosts are.
    Hosts,
    /// Half of the hosts is.
    Half,
    /// The conductors are.
    Routers,
    /// Only discovery says so.
    Discovery,
    /// I am cut off from most conductors and from the group, and don't reach the hosts.
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

/// A change of what a site is taken for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Change {
    /// The site.
    pub site: usize,
    /// Before.
    pub from: Status,
    /// Now.
    pub to: Status,
    /// What is missing now.
    pub missing: Missing,
    /// Why.
    pub cause: Cause,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// A site is taken for something else, or for the same with something else missing.
    Changed(Change),
    /// Try a connection to a host of the site, without a request, and say whether it was reached.
    Probe {
        /// The site.
        site: usize,
    },
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Site {
    conductors: Option<(u32, u32)>,
    listed: Option<(u32, u32)>,
    reached: Option<Micros>,
    failures: u32,
    status: Status,
    missing: Missing,
    cause: Cause,
    /// Since when the signs say something else than `missing`, and what.
    other: Option<(Missing, Micros)>,
    since: Micros,
    doublings: u32,
    /// Lost at least once since it was last sound for long.
    was_lost: bool,
    probed: Micros,
}

/// The state machine of one conductor.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Watch {
    set: WatchSettings,
    own: usize,
    leader_known: bool,
    sites: Vec<Site>,
}

impl Watch {
    /// All sites are sound at first. `own` is the conductor's site.
    pub fn new(set: WatchSettings, sites: usize, own: usize) -> Self {
        Watch {
            set,
            own,
            leader_known: true,
            sites: vec![Site::default(); sites],
        }
    }

    /// What a site is taken for, and what is missing of it.
    pub fn status(&self, site: usize) -> (Status, Missing, Cause) {
        self.sites
            .get(site)
            .map_or_else(Default::default, |s| (s.status, s.missing, s.cause))
    }

    /// Whether all signs of a lost site are good by now, though not for long enough.
    pub fn recovering(&self, site: usize) -> bool {
        self.sites.get(site).is_some_and(|s| {
            s.other
                .is_some_and(|(missing, _)| missing == Missing::Nothing)
        })
    }

    /// Whether this conductor is cut off: it sees half of all conductors at most, and not the group.
    pub fn isolated(&self) -> bool {
        let seen = self.sites.iter().filter_map(|s| s.conductors);
        let (alive, of) = seen.fold((0, 0), |(a, b), (alive, of)| (a + alive, b + of));
        !self.leader_known && of > 0 && alive * 2 <= of
    }

    /// When to tick next.
    pub fn timeout(&self, now: Micros) -> Option<Micros> {
        let busy = |s: &Site| s.status != Status::Healthy || s.other.is_some() || s.failures > 0;
        self.sites
            .iter()
            .any(busy)
            .then_some(now + self.set.reached_ms * 1_000 / 4)
    }

    /// Takes in what was seen.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick => {}
            Event::Routers { site, alive, total } => {
                if let Some(s) = self.sites.get_mut(site) {
                    s.conductors = Some((alive, total));
                }
            }
            Event::Leader { known } => self.leader_known = known,
            Event::Host { site, reached } => {
                if let Some(s) = self.sites.get_mut(site) {
                    if reached {
                        (s.reached, s.failures) = (Some(now), 0);
                    } else {
                        s.failures = s.failures.saturating_add(1);
                    }
                }
            }
            Event::Listed { site, ready, total } => {
                if let Some(s) = self.sites.get_mut(site) {
                    s.listed = Some((ready, total));
                }
            }
            Event::FullyRestored { site } => {
                if let Some(s) = self
                    .sites
                    .get_mut(site)
                    .filter(|s| s.status == Status::Returning)
                {
                    s.move_to(
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
            self.judge(now, site, out);
        }
    }

    /// What the signs say at this moment.
    fn signs(&self, now: Micros, site: usize) -> (Missing, Cause) {
        let s = &self.sites[site];
        let lately = s
            .reached
            .is_some_and(|at| now.saturating_sub(at) < self.set.reached_ms * 1_000);
        let unreached = s.failures >= self.set.failures && !lately;
        if self.isolated() {
            return if unreached {
                (Missing::Hosts, Cause::Isolated)
            } else {
                (Missing::Nothing, Cause::None)
            };
        }
        let gone = site != self.own && s.conductors.is_some_and(|(alive, of)| alive == 0 && of > 0);
        let none_listed = s.listed.is_some_and(|(ready, of)| ready == 0 && of > 0);
        let half_listed = s
            .listed
            .is_some_and(|(ready, of)| ready > 0 && ready * 2 <= of);
        match (gone, unreached) {
            (true, true) => (Missing::All, Cause::Site),
            (true, false) => (Missing::Routers, Cause::Routers),
            (false, true) => (Missing::Hosts, Cause::Hosts),
            (false, false) if half_listed => (Missing::HalfHosts, Cause::Half),
            (false, false) if none_listed && lately => (Missing::Nothing, Cause::Discovery),
            // Not reached lately since nothing was sent, and not listed: the list decides.
            (false, false) if none_listed => (Missing::Hosts, Cause::Hosts),
            (false, false) => (Missing::Nothing, Cause::None),
        }
    }

    fn judge(&mut self, now: Micros, site: usize, out: &mut Vec<Action>) {
        let (missing, cause) = self.signs(now, site);
        let set = self.set.clone();
        let s = &mut self.sites[site];
        let every = set.reached_ms * 1_000 / 2;
        // Nothing new is sent there, so that nothing would be reached: connections are tried instead.
        if (s.status != Status::Healthy || missing != Missing::Nothing) && now >= s.probed + every {
            s.probed = now;
            out.push(Action::Probe { site });
        }
        if missing == s.missing {
            s.other = None;
        } else if s.other.is_none_or(|(other, _)| other != missing) {
            s.other = Some((missing, now));
        }
        let differs_for = s.other.map(|(_, since)| now - since);
        let lost_after = set.lost_after_ms * 1_000;
        match s.status {
            Status::Healthy => {
                if missing != Missing::Nothing {
                    s.move_to(site, now, Status::Suspect, (missing, cause), out);
                } else if s.cause != cause {
                    s.move_to(site, now, Status::Healthy, (missing, cause), out);
                } else if now - s.since >= set.forget_ms * 1_000 {
                    (s.doublings, s.was_lost) = (0, false);
                }
            }
            Status::Suspect => {
                if missing == Missing::Nothing {
                    if differs_for.is_some_and(|d| d >= set.reached_ms * 1_000) {
                        s.move_to(site, now, Status::Healthy, (missing, cause), out);
                    }
                } else if now - s.since >= lost_after {
                    s.move_to(site, now, Status::Lost, (missing, cause), out);
                } else if missing != s.missing {
                    // Still doubted, and as long as before; only what is missing is seen better.
                    let since = s.since;
                    s.move_to(site, now, Status::Suspect, (missing, cause), out);
                    s.since = since;
                }
            }
            Status::Lost => {
                let hold =
                    (set.hold_down_ms * 1_000) << s.doublings.min(set.most_doublings).min(16);
                if missing == Missing::Nothing {
                    if differs_for.is_some_and(|d| d >= hold) {
                        s.move_to(site, now, Status::Returning, (missing, cause), out);
                    } else if s.missing == Missing::All
                        && differs_for.is_some_and(|d| d >= lost_after)
                    {
                        // Its clients are back with its conductors. Its hosts are held down all the same.
                        let other = s.other;
                        s.move_to(site, now, Status::Lost, (Missing::Hosts, Cause::Hosts), out);
                        s.other = other;
                    }
                } else if differs_for.is_some_and(|d| d >= lost_after) {
                    s.move_to(site, now, Status::Lost, (missing, cause), out);
                }
            }
            Status::Returning => {
                if missing != Missing::Nothing {
                    s.doublings = (s.doublings + 1).min(set.most_doublings);
                    s.move_to(site, now, Status::Lost, (missing, cause), out);
                }
            }
        }
    }
}

impl Site {
    fn move_to(
        &mut self,
        site: usize,
        now: Micros,
        to: Status,
        (missing, cause): (Missing, Cause),
        out: &mut Vec<Action>,
    ) {
        let from = self.status;
        // A loss soon after a return: what was seen before it is not forgotten yet.
        if from == Status::Suspect && to == Status::Lost && self.was_lost {
            self.doublings = self.doublings.saturating_add(1);
        }
        if to == Status::Lost {
            self.was_lost = true;
        }
        (self.status, self.missing, self.cause) = (to, missing, cause);
        (self.since, self.other) = (now, None);
        out.push(Action::Changed(Change {
            site,
            from,
            to,
            missing,
            cause,
        }));
    }
}
