//! One day of the fleet under one rule.

use super::Day;
use super::hosts::{Host, Micros, Said};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::ops::Range;
use whinhaven::fleet::sites::epoch::{Command, Effect, SiteState, SiteTable};
use whinhaven::fleet::sites::member::{Action, Event, Member};
use whinhaven::fleet::sites::plan::Plans;
use whinhaven::fleet::sites::ramp::OutcomeCounts;
use whinhaven::fleet::sites::refuse::{Admission, AdmissionGate};
use whinhaven::fleet::sites::watch;

const S: Micros = 1_000_000;
const MS: Micros = 1_000;
/// First token wanted within this; given up after that.
const AIM: Micros = 1_500_000;
const GIVE_UP: Micros = 6_000_000;
/// A late answer's part of the worth.
const LATE: f64 = 0.3;
/// Tries of a client at most, and of a conductor for each.
const CLIENT_TRIES: u32 = 3;
const TRIES: u32 = 3;
/// What is kept at a site of a class's texts comes back in this time.
const KEPT_BACK: f64 = 20.0;
/// Views learn of a death and of a return, and the list of both, after these.
const DEATH: (Micros, Micros) = (1_500 * MS, 3 * S);
const RETURN: (Micros, Micros) = (500 * MS, 1_500 * MS);
const LIST: (Micros, Micros) = (4 * S, 6 * S);
/// The group commits, and all have applied, after these.
const COMMIT: Micros = 40 * MS;
const APPLY: (Micros, Micros) = (20 * MS, 300 * MS);

/// What conductors do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// The plans of [`whinhaven::fleet::sites`].
    Plan,
    /// To the hosts of the own site; where those fail or turn away, to any other's that the list has.
    Near,
    /// Evenly to all hosts that the list has; refused when the one that was drawn is full.
    Even,
}

/// One second of the day.
#[derive(Clone, Debug, Default)]
pub struct Second {
    /// Worth of the requests that were asked for the first time in it.
    pub asked: f64,
    /// Worth that those of them earned that began in time, or late.
    pub served: f64,
    /// Requests refused by class: at the door or by full hosts.
    pub refused: Vec<u32>,
    /// For each site the part of its readers' capacity that is sent, and of its writers' that is taken.
    pub load: Vec<[f64; 2]>,
    /// For each site times to the first token of answers that began there, in seconds.
    pub first: Vec<Vec<f64>>,
}

/// What came of a day.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// By second.
    pub seconds: Vec<Second>,
    /// Hosts that fell over, by site.
    pub fell: Vec<u32>,
    /// What the group agreed on, in seconds.
    pub agreed: Vec<(f64, Effect)>,
    /// Requests taken at a door by a level below that of one refused at the same time; only 0 keeps the order.
    pub out_of_order: u32,
}

impl Outcome {
    /// Worth served over worth asked between two seconds.
    pub fn part(&self, from: u64, to: u64) -> f64 {
        let of = self
            .seconds
            .iter()
            .skip(from as usize)
            .take(to.saturating_sub(from) as usize);
        let (asked, served) = of.fold((0.0, 0.0), |(a, s), v| (a + v.asked, s + v.served));
        if asked > 0.0 { served / asked } else { 0.0 }
    }

    /// The first second from `from` on from which five in a row serve such a part, counted from `from`.
    pub fn steady(&self, from: u64, part: Range<f64>, until: u64) -> Option<u64> {
        (from..until.saturating_sub(4))
            .find(|t| (0..5).all(|i| part.contains(&self.part(t + i, t + i + 1))))
            .map(|t| t - from)
    }
}

#[derive(Clone, Debug)]
enum Ev {
    Arrive,
    Ask(u32),
    Go(u32, u32),
    Read(u32, u32, usize, u32),
    Wrote(u32, usize, u32),
    Begun(u32, usize, u32, Micros),
    GiveUp(u32, u32),
    Tick(usize),
    Apply(usize, Box<SiteTable>),
    Commit(usize, Command),
    Seen(usize, watch::Event),
    Listed(usize, bool),
    Back(usize, u32),
    Lose,
    Return,
    Second,
}

struct Request {
    class: usize,
    tenant: usize,
    home: usize,
    key: u64,
    conductor: usize,
    tries: u32,
    asked: Micros,
    first_asked: Micros,
    attempts: u32,
    done: bool,
    /// A try is in hand: its client waits.
    open: bool,
    reader: Option<(usize, u32)>,
    way: Option<(usize, usize)>,
    may_have_run: bool,
}

struct Conductor {
    site: usize,
    up: bool,
    member: Member,
    gate: AdmissionGate,
    next_tick: Micros,
    applies_at: Micros,
}

struct World<'a> {
    day: &'a Day,
    rule: Rule,
    rng: ChaCha8Rng,
    now: Micros,
    queue: BinaryHeap<Reverse<(Micros, u64, usize)>>,
    events: Vec<Option<Ev>>,
    free: Vec<usize>,
    seq: u64,
    plans: Plans,
    hosts: Vec<Host>,
    by_site: Vec<[Vec<usize>; 2]>,
    conductors: Vec<Conductor>,
    requests: Vec<Request>,
    listed: Vec<bool>,
    kept: BTreeMap<(usize, usize), Micros>,
    demand: Vec<(usize, usize, usize, f64)>,
    demand_sum: f64,
    table: SiteTable,
    lost: bool,
    out: Outcome,
}

/// Plays the day under a rule.
///
/// # Errors
/// There is no plan for a loss.
pub fn run(day: &Day, rule: Rule) -> Result<Outcome, String> {
    let plans = Plans::new(day.fleet()).map_err(|e| e.to_string())?;
    let mut world = World::new(day, rule, plans)?;
    world.begin();
    while let Some(Reverse((at, _, slot))) = world.queue.pop() {
        if at > day.end * S {
            break;
        }
        world.now = at;
        world.free.push(slot);
        if let Some(event) = world.events[slot].take() {
            world.event(event);
        }
    }
    world.out.fell = vec![0; day.sites];
    for host in &world.hosts {
        world.out.fell[host.site] += host.fell;
    }
    Ok(world.out)
}

impl<'a> World<'a> {
    fn new(day: &'a Day, rule: Rule, plans: Plans) -> Result<Self, String> {
        let fleet = plans.fleet().clone();
        let table = SiteTable::new(&plans).map_err(|e| e.to_string())?;
        let mut hosts = Vec::new();
        let mut by_site = vec![[Vec::new(), Vec::new()]; day.sites];
        for rows in &fleet.tables.hosts {
            let site = fleet.site_index(&rows.site).unwrap_or(0);
            let reads = rows.kind == "read";
            let slots = rows.slots as usize;
            let can = if reads {
                rows.tokens_per_s
            } else {
                f64::from(rows.slots) * 1e3 / rows.token_ms
            };
            for _ in 0..rows.count {
                by_site[site][usize::from(!reads)].push(hosts.len());
                hosts.push(Host::new(site, reads, can, slots, rows.memory_tokens));
            }
        }
        let conductor = |i: usize| {
            let site = i / day.conductors as usize;
            Conductor {
                site,
                up: true,
                member: Member::new(&plans, site, day.seed ^ i as u64),
                gate: AdmissionGate::new(S, 3 * S),
                next_tick: Micros::MAX,
                applies_at: 0,
            }
        };
        let mut demand = Vec::new();
        for (c, tenants) in fleet.demand.iter().enumerate() {
            for (t, by_site) in tenants.iter().enumerate() {
                demand.extend(
                    by_site
                        .iter()
                        .enumerate()
                        .map(|(s, per_s)| (c, t, s, *per_s)),
                );
            }
        }
        Ok(World {
            day,
            rule,
            rng: ChaCha8Rng::seed_from_u64(day.seed),
            now: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            free: Vec::new(),
            seq: 0,
            conductors: (0..day.sites * day.conductors as usize)
                .map(conductor)
                .collect(),
            hosts,
            by_site,
            requests: Vec::new(),
            listed: vec![true; day.sites],
            kept: BTreeMap::new(),
            demand_sum: demand.iter().map(|d| d.3).sum(),
            demand,
            table,
            lost: false,
            out: Outcome::default(),
            plans,
        })
    }

    fn at(&mut self, at: Micros, event: Ev) {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.events.push(None);
            self.events.len() - 1
        });
        self.events[slot] = Some(event);
        self.seq += 1;
        self.queue.push(Reverse((at.max(self.now), self.seq, slot)));
    }

    fn later(&mut self, (least, most): (Micros, Micros), event: Ev) {
        let wait = self.rng.random_range(least..=most);
        self.at(self.now + wait, event);
    }

    fn begin(&mut self) {
        self.at(0, Ev::Arrive);
        self.at(0, Ev::Second);
        self.at(self.day.lost_at * S, Ev::Lose);
        self.at(self.day.back_at * S, Ev::Return);
        for flap in self.day.flaps.clone() {
            self.at(flap * S, Ev::Lose);
            self.at((flap + 5) * S, Ev::Return);
        }
        if self.rule != Rule::Plan {
            return;
        }
        let table = Box::new(self.table.clone());
        for i in 0..self.conductors.len() {
            self.member(i, Event::Table(table.clone()));
            for site in 0..self.day.sites {
                let of = self.day.conductors;
                self.member(
                    i,
                    Event::Observed(watch::Event::Routers {
                        site,
                        alive: of,
                        total: of,
                    }),
                );
                self.member(
                    i,
                    Event::Observed(watch::Event::Host {
                        site,
                        reached: true,
                    }),
                );
            }
        }
        // The leader, at a site that stays.
        let leader = self.day.conductors as usize;
        self.member(leader, Event::Pacing(true));
    }

    /// Hands a conductor's machine an event and carries out what it says.
    fn member(&mut self, i: usize, event: Event) {
        if !self.conductors[i].up {
            return;
        }
        let mut actions = Vec::new();
        let now = self.now;
        self.conductors[i]
            .member
            .handle(&mut self.plans, now, event, &mut actions);
        for action in actions {
            match action {
                Action::Propose(command) => self.at(now + COMMIT, Ev::Commit(i, command)),
                Action::Allocation(orders) => self.conductors[i].gate.set_allocation(now, *orders),
                Action::Probe { site } => {
                    let hosts: Vec<usize> = self.by_site[site].iter().flatten().copied().collect();
                    let host = hosts[self.rng.random_range(0..hosts.len())];
                    let reached = self.hosts[host].up;
                    let seen = watch::Event::Host { site, reached };
                    self.at(
                        now + if reached { 3 * MS } else { 250 * MS },
                        Ev::Seen(i, seen),
                    );
                }
                Action::Changed(_) | Action::NoPlan(_) => {}
            }
        }
        if let Some(at) = self.conductors[i].member.timeout(now) {
            let at = at.max(now + 50 * MS);
            if at < self.conductors[i].next_tick || self.conductors[i].next_tick <= now {
                self.conductors[i].next_tick = at;
                self.at(at, Ev::Tick(i));
            }
        }
    }

    fn event(&mut self, event: Ev) {
        match event {
            Ev::Arrive => self.arrive(),
            Ev::Ask(id) => self.ask(id),
            Ev::Go(id, tries) => {
                if self.requests[id as usize].tries == tries {
                    self.go(id);
                }
            }
            Ev::Read(id, tries, host, life) => self.read_done(id, tries, host, life),
            Ev::Wrote(id, host, life) => self.wrote(id, host, life),
            Ev::Begun(id, host, life, since) => self.begun(id, host, life, since),
            Ev::GiveUp(id, tries) => {
                let r = &self.requests[id as usize];
                if r.open && !r.done && r.tries == tries {
                    self.failed(id);
                }
            }
            Ev::Tick(i) => self.member(i, Event::Tick),
            Ev::Apply(i, table) => self.member(i, Event::Table(table)),
            Ev::Commit(i, command) => self.commit(i, command),
            Ev::Seen(i, seen) => self.member(i, Event::Observed(seen)),
            Ev::Listed(site, there) => {
                self.listed[site] = there;
                let of = self.by_site[site].iter().map(Vec::len).sum::<usize>() as u32;
                let seen = watch::Event::Listed {
                    site,
                    ready: if there { of } else { 0 },
                    total: of,
                };
                if self.rule == Rule::Plan {
                    (0..self.conductors.len())
                        .for_each(|i| self.member(i, Event::Observed(seen.clone())));
                }
            }
            Ev::Back(host, life) => {
                if self.hosts[host].life == life && !(self.lost && self.hosts[host].site == 0) {
                    self.hosts[host].start(self.now);
                }
            }
            Ev::Lose => self.lose(),
            Ev::Return => self.bring_back(),
            Ev::Second => self.second(),
        }
    }

    fn commit(&mut self, by: usize, command: Command) {
        // A conductor of a lost site reaches no majority.
        if !self.conductors[by].up {
            return;
        }
        let epoch = self.table.epoch();
        let mut effects = Vec::new();
        self.table.apply(command, &mut effects);
        let at = self.now as f64 / 1e6;
        let changed = effects.iter().all(|e| !matches!(e, Effect::Refused(_)));
        self.out.agreed.extend(
            effects
                .into_iter()
                .filter(|e| !matches!(e, Effect::Refused(_)))
                .map(|e| (at, e)),
        );
        if changed || self.table.epoch() != epoch {
            for i in 0..self.conductors.len() {
                let table = Box::new(self.table.clone());
                // A log is applied in its order.
                let at = self.now + self.rng.random_range(APPLY.0..=APPLY.1);
                let at = at.max(self.conductors[i].applies_at + 1);
                self.conductors[i].applies_at = at;
                self.at(at, Ev::Apply(i, table));
            }
        }
    }

    fn lose(&mut self) {
        self.lost = true;
        for host in self.hosts.iter_mut().filter(|h| h.site == 0) {
            host.stop();
        }
        self.conductors
            .iter_mut()
            .filter(|c| c.site == 0)
            .for_each(|c| c.up = false);
        self.everyone_sees(0, DEATH, false);
    }

    fn bring_back(&mut self) {
        self.lost = false;
        self.kept.retain(|(_, reader), _| *reader != 0);
        for host in self.by_site[0]
            .iter()
            .flatten()
            .copied()
            .collect::<Vec<_>>()
        {
            let (life, wait) = (self.hosts[host].life, self.rng.random_range(0..S));
            self.at(self.now + wait, Ev::Back(host, life));
        }
        for i in 0..self.conductors.len() {
            if self.conductors[i].site != 0 {
                continue;
            }
            // Another life, that knows nothing but the agreed table.
            let member = Member::new(&self.plans, 0, self.day.seed ^ (i as u64) << 8);
            self.conductors[i].up = true;
            (self.conductors[i].member, self.conductors[i].next_tick) = (member, Micros::MAX);
            self.conductors[i].gate = AdmissionGate::new(S, 3 * S);
            if self.rule == Rule::Plan {
                let table = Box::new(self.table.clone());
                self.member(i, Event::Table(table));
            }
        }
        self.everyone_sees(0, RETURN, true);
    }

    fn everyone_sees(&mut self, site: usize, after: (Micros, Micros), there: bool) {
        self.later(LIST, Ev::Listed(site, there));
        if self.rule != Rule::Plan {
            return;
        }
        let of = self.day.conductors;
        for i in 0..self.conductors.len() {
            let seen = watch::Event::Routers {
                site,
                alive: if there { of } else { 0 },
                total: of,
            };
            self.later(after, Ev::Seen(i, seen));
        }
    }

    fn arrive(&mut self) {
        let wait = -(1.0 - self.rng.random::<f64>()).ln() / self.demand_sum;
        self.at(self.now + (wait * 1e6) as Micros, Ev::Arrive);
        let mut drawn = self.rng.random::<f64>() * self.demand_sum;
        let row = self.demand.iter().find(|d| {
            drawn -= d.3;
            drawn <= 0.0
        });
        let Some((class, tenant, home, _)) = row.or(self.demand.last()).copied() else {
            return;
        };
        let request = Request {
            class,
            tenant,
            home,
            key: self.rng.random(),
            conductor: 0,
            tries: 0,
            asked: self.now,
            first_asked: self.now,
            attempts: 0,
            done: false,
            open: false,
            reader: None,
            way: None,
            may_have_run: false,
        };
        let worth = self.plans.fleet().worth[class];
        self.requests.push(request);
        let second = (self.now / S) as usize;
        if let Some(s) = self.out.seconds.get_mut(second) {
            s.asked += worth;
        }
        self.ask(self.requests.len() as u32 - 1);
    }

    /// A client asks, first or again.
    fn ask(&mut self, id: u32) {
        let (home, now) = (self.requests[id as usize].home, self.now);
        let r = &mut self.requests[id as usize];
        r.tries += 1;
        (r.asked, r.attempts, r.reader, r.way) = (now, 0, None, None);
        r.open = true;
        let tries = r.tries;
        self.at(now + GIVE_UP, Ev::GiveUp(id, tries));
        // The front sends a lost site's clients elsewhere, once its connections fail.
        let mut site = home;
        if home == 0 && self.lost {
            site = 1 + self.rng.random_range(0..self.day.sites - 1);
        }
        let conductor = site * self.day.conductors as usize
            + self.rng.random_range(0..self.day.conductors as usize);
        let r = &mut self.requests[id as usize];
        r.conductor = conductor;
        if self.rule == Rule::Plan {
            let (class, tenant, key) = (r.class, r.tenant, r.key.to_le_bytes());
            let door = self.conductors[conductor]
                .gate
                .check(now, class, tenant, &key, false);
            if let Admission::Refuse {
                retry_after,
                by_level,
            } = door
            {
                self.count_order(id, by_level);
                self.refused(id, retry_after);
                return;
            }
        }
        self.go(id);
    }

    /// A refused request is out of order if at the same door more is taken of a class that is worth less and takes as
    /// much of both stages.
    fn count_order(&mut self, id: u32, by_level: bool) {
        let r = &self.requests[id as usize];
        let orders = self.conductors[r.conductor].gate.allocation();
        let fleet = self.plans.fleet();
        let takes = |c: usize| {
            let class = &fleet.tables.classes[c];
            [
                class.prompt_tokens * (1.0 - class.kept),
                class.answer_tokens,
            ]
        };
        let [reads, writes] = takes(r.class);
        let no_better = |c: usize| {
            fleet.worth[c] < fleet.worth[r.class] && takes(c)[0] >= reads && takes(c)[1] >= writes
        };
        let taken_more = |c: usize| orders.levels[c][0] > orders.levels[r.class][0];
        let untidy = (0..fleet.class_count()).any(|c| no_better(c) && taken_more(c));
        self.out.out_of_order += u32::from(by_level && untidy);
    }

    fn refused(&mut self, id: u32, wait: Micros) {
        let class = self.requests[id as usize].class;
        let second = (self.now / S) as usize;
        if let Some(s) = self.out.seconds.get_mut(second) {
            s.refused[class] += 1;
        }
        let r = &mut self.requests[id as usize];
        r.open = false;
        if r.tries < CLIENT_TRIES {
            // What is still on its way of this try finds another number.
            self.at(self.now + wait, Ev::Ask(id));
        } else {
            r.done = true;
        }
    }

    fn failed(&mut self, id: u32) {
        let r = &mut self.requests[id as usize];
        r.open = false;
        let unsafe_class = r.class == 1 && r.may_have_run;
        if r.tries < CLIENT_TRIES && !unsafe_class {
            let wait = self.rng.random_range(S / 2..2 * S);
            self.at(self.now + wait, Ev::Ask(id));
        } else {
            r.done = true;
        }
    }

    /// Two sites for a try: where it is read and where it is written.
    fn sites(&mut self, id: u32) -> Option<(usize, usize)> {
        let r = &self.requests[id as usize];
        let own = self.conductors[r.conductor].site;
        let attempts = r.attempts;
        match self.rule {
            Rule::Plan => {
                let mut key = r.key.to_le_bytes().to_vec();
                key.push(attempts as u8);
                let way = self.conductors[r.conductor]
                    .gate
                    .allocation()
                    .pick_route(r.class, &key);
                way.map(|w| (w.prefill_site, w.decode_site))
            }
            Rule::Near if attempts == 0 => Some((own, own)),
            Rule::Near | Rule::Even => {
                let open: Vec<usize> = (0..self.day.sites).filter(|s| self.listed[*s]).collect();
                if open.is_empty() {
                    return None;
                }
                let mut draw = || open[self.rng.random_range(0..open.len())];
                let site = draw();
                Some(if self.rule == Rule::Even {
                    (site, draw())
                } else {
                    (site, site)
                })
            }
        }
    }

    /// One of two drawn hosts of a site: the less full of them.
    fn host(&mut self, site: usize, stage: usize) -> usize {
        let hosts = &self.by_site[site][stage];
        let [a, b] = [0, 1].map(|_| hosts[self.rng.random_range(0..hosts.len())]);
        let full = |h: usize| self.hosts[h].fullness(self.now);
        if full(a) <= full(b) { a } else { b }
    }

    fn unread(&mut self, class: usize, home: usize, site: usize) -> f64 {
        let c = &self.plans.fleet().tables.classes[class];
        let (kept, moved) = (c.kept, c.kept_moved.unwrap_or(0.0));
        let prompt = c.prompt_tokens;
        // What is kept at a site of another's clients, or at one that has lost all, comes with time.
        let fresh = home != site || self.day.lost_at * S < self.now && site == 0;
        let part = if fresh {
            let since = *self.kept.entry((home, site)).or_insert(self.now);
            ((self.now - since) as f64 / 1e6 / KEPT_BACK).min(1.0)
        } else {
            1.0
        };
        prompt * (1.0 - (moved + (kept - moved) * part))
    }

    /// The next try of a conductor to have it served.
    fn go(&mut self, id: u32) {
        let r = &self.requests[id as usize];
        if !r.open || r.done {
            return;
        }
        let (class, home, tries, conductor) = (r.class, r.home, r.tries, r.conductor);
        if r.attempts >= TRIES || !self.conductors[conductor].up {
            let wait = self.rng.random_range(S..3 * S);
            self.refused(id, wait);
            return;
        }
        let Some((reading, writing)) = self.sites(id) else {
            self.refused(id, 2 * S);
            return;
        };
        let r = &mut self.requests[id as usize];
        r.attempts += 1;
        r.way = Some((reading, writing));
        let host = self.host(reading, 0);
        let unread = self.unread(class, home, reading);
        let prompt = self.plans.fleet().tables.classes[class].prompt_tokens;
        let said = self.hosts[host].read(self.now, unread, prompt);
        self.saw(id, host, said);
        let life = self.hosts[host].life;
        match said {
            Said::Until(done) => self.at(done, Ev::Read(id, tries, host, life)),
            Said::Full if self.rule == Rule::Even => {
                let wait = self.rng.random_range(S..3 * S);
                self.refused(id, wait);
            }
            Said::Full => self.at(self.now + 2 * MS, Ev::Go(id, tries)),
            // A connection that doesn't come up, or breaks.
            _ => self.at(self.now + 250 * MS, Ev::Go(id, tries)),
        }
    }

    /// A conductor notes what came of a send, and of the returning site.
    fn saw(&mut self, id: u32, host: usize, said: Said) {
        if said == Said::Fell {
            let life = self.hosts[host].life;
            self.at(Host::back(self.now), Ev::Back(host, life));
        }
        if self.rule != Rule::Plan {
            return;
        }
        let (site, conductor) = (self.hosts[host].site, self.requests[id as usize].conductor);
        let reached = !matches!(said, Said::Silent | Said::Fell);
        if reached {
            let refused = u32::from(said == Said::Full);
            let counts = OutcomeCounts {
                total: refused,
                late: 0,
                refused,
            };
            self.member(
                conductor,
                Event::Observed(watch::Event::Host { site, reached }),
            );
            if refused > 0 {
                self.member(conductor, Event::Outcomes { site, counts });
            }
        } else {
            self.at(
                self.now + 250 * MS,
                Ev::Seen(conductor, watch::Event::Host { site, reached }),
            );
        }
    }

    fn read_done(&mut self, id: u32, tries: u32, host: usize, life: u32) {
        let class = self.requests[id as usize].class;
        let prompt = self.plans.fleet().tables.classes[class].prompt_tokens;
        if self.hosts[host].life != life {
            // Lost in the read: nothing was answered, it may be read again.
            if self.requests[id as usize].tries == tries {
                self.at(self.now + 100 * MS, Ev::Go(id, tries));
            }
            return;
        }
        let r = &mut self.requests[id as usize];
        if !r.open || r.done || r.tries != tries || r.asked + GIVE_UP <= self.now {
            self.hosts[host].held -= prompt;
            return;
        }
        r.reader = Some((host, life));
        self.write(id);
    }

    fn write(&mut self, id: u32) {
        let r = &self.requests[id as usize];
        let (class, tries) = (r.class, r.tries);
        let Some((_, writing)) = r.way else { return };
        let host = self.host(writing, 1);
        let (tokens, memory) = self.answer(class);
        let said = self.hosts[host].write(self.now, id, tokens, memory);
        self.saw(id, host, said);
        match said {
            Said::Until(_) => self.stream(id, host),
            Said::Waits => {}
            Said::Full | Said::Silent | Said::Fell => {
                self.let_go(id);
                if said == Said::Full && self.rule == Rule::Even {
                    let wait = self.rng.random_range(S..3 * S);
                    self.refused(id, wait);
                    return;
                }
                let wait = if said == Said::Full { 2 * MS } else { 250 * MS };
                self.at(self.now + wait, Ev::Go(id, tries));
            }
        }
    }

    fn answer(&self, class: usize) -> (f64, f64) {
        let c = &self.plans.fleet().tables.classes[class];
        (c.answer_tokens, c.prompt_tokens + c.answer_tokens / 2.0)
    }

    /// The reader's memory is free again.
    fn let_go(&mut self, id: u32) {
        let r = &mut self.requests[id as usize];
        let prompt = self.plans.fleet().tables.classes[r.class].prompt_tokens;
        if let Some((host, life)) = r.reader.take()
            && self.hosts[host].life == life
        {
            self.hosts[host].held -= prompt;
        }
    }

    /// A writer has taken it up: the state comes over, then the first token.
    fn stream(&mut self, id: u32, host: usize) {
        self.let_go(id);
        let r = &mut self.requests[id as usize];
        r.may_have_run = true;
        let far = r.way.is_some_and(|(reading, writing)| reading != writing);
        let prompt = self.plans.fleet().tables.classes[r.class].prompt_tokens;
        let takes = if far {
            prompt / 100_000.0
        } else {
            prompt / 300_000.0
        };
        let (life, since, class) = (self.hosts[host].life, r.asked, r.class);
        let tokens = self.answer(class).0;
        let first = self.now + (takes * 1e6) as Micros + 50 * MS;
        self.at(first, Ev::Begun(id, host, life, since));
        let ends = first + (tokens * 50_000.0) as Micros;
        self.at(ends, Ev::Wrote(id, host, life));
    }

    fn begun(&mut self, id: u32, host: usize, life: u32, since: Micros) {
        if self.hosts[host].life != life {
            let r = &self.requests[id as usize];
            if r.open && !r.done && r.asked == since {
                self.failed(id);
            }
            return;
        }
        let r = &mut self.requests[id as usize];
        if !r.open || r.done || r.asked != since || since + GIVE_UP <= self.now {
            return;
        }
        r.done = true;
        let (waited, asked, class, conductor) =
            (self.now - since, r.first_asked, r.class, r.conductor);
        let site = self.hosts[host].site;
        let part = if waited <= AIM { 1.0 } else { LATE };
        let worth = self.plans.fleet().worth[class] * part;
        if let Some(s) = self.out.seconds.get_mut((asked / S) as usize) {
            s.served += worth;
        }
        if let Some(s) = self.out.seconds.get_mut((self.now / S) as usize) {
            s.first[site].push(waited as f64 / 1e6);
        }
        if self.rule == Rule::Plan {
            let counts = OutcomeCounts {
                total: 1,
                late: u32::from(waited > AIM),
                refused: 0,
            };
            self.member(conductor, Event::Outcomes { site, counts });
        }
    }

    fn wrote(&mut self, id: u32, host: usize, life: u32) {
        if self.hosts[host].life != life {
            return;
        }
        let memory = self.answer(self.requests[id as usize].class).1;
        self.hosts[host].running -= 1;
        self.hosts[host].held -= memory;
        loop {
            let classes: Vec<f64> = (0..self.plans.fleet().class_count())
                .map(|c| self.answer(c).1)
                .collect();
            let requests = &self.requests;
            let next = self.hosts[host].next(self.now, |id| classes[requests[id as usize].class]);
            let Some(next) = next else { return };
            let r = &self.requests[next as usize];
            if !r.open || r.done || r.asked + GIVE_UP <= self.now {
                // Its client has left: it is dropped at once.
                let memory = classes[r.class];
                self.hosts[host].running -= 1;
                self.hosts[host].held -= memory;
                self.let_go(next);
                continue;
            }
            self.stream(next, host);
        }
    }

    fn second(&mut self) {
        let (sites, classes) = (self.day.sites, self.plans.fleet().class_count());
        let load = |site: usize, stage: usize| {
            let hosts = &self.by_site[site][stage];
            hosts
                .iter()
                .map(|h| self.hosts[*h].load(self.now))
                .sum::<f64>()
                / hosts.len().max(1) as f64
        };
        let load = (0..sites).map(|s| [load(s, 0), load(s, 1)]).collect();
        let first = vec![Vec::new(); sites];
        self.out.seconds.push(Second {
            refused: vec![0; classes],
            load,
            first,
            ..Second::default()
        });
        self.at(self.now + S, Ev::Second);
    }
}

/// What the group agreed on, in words.
impl Outcome {
    /// In seconds: lost, returning, sound again; each time that it was agreed.
    pub fn standings(&self) -> Vec<(f64, &'static str)> {
        let mut all = Vec::new();
        for (at, effect) in &self.agreed {
            if let Effect::SiteChanged { from, to, .. } = effect {
                match (from, to) {
                    // Its conductors are back, its hosts are not yet.
                    (SiteState::Lost(_), SiteState::Lost(_)) => {}
                    (_, SiteState::Lost(_)) => all.push((*at, "lost")),
                    (SiteState::Lost(_), SiteState::Returning { .. }) => {
                        all.push((*at, "returning"));
                    }
                    (_, SiteState::Healthy) => all.push((*at, "sound")),
                    _ => {}
                }
            }
        }
        all
    }
}
