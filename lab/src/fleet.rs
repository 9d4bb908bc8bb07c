//! A fleet on loopback: conductors by operator's files, stand-in hosts, tool side and discovery, relays in between.
//!
//! Each fleet has a block of loopback addresses of its own, so that fleets beside each other do not meet and a process
//! comes back where it was. Names on the network: the conductors' (`c1`), the hosts' (`reader-1`), `tool`, and
//! `front` for the clients.

use crate::checker::{self, view::Views};
use crate::clients::Client;
use crate::discovery::{Discovery, Entry};
use crate::history::{History, NotSeen, Record, STUCK};
use crate::hosts::{Host, HostRole, HostSettings, States};
use crate::network::Network;
use crate::process::{Conductor, Folder, StartError};
use crate::tools::ToolSide;
use rand::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use std::collections::BTreeMap;
use std::ffi::OsString;
use std::fmt::Write as _;
use std::io::Write as _;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

/// What a fleet's conductors are told besides names and addresses.
pub const SETTINGS: &str = include_str!("settings.toml");

/// What a fleet consists of.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Conductors, named `c1` and so on.
    pub conductors: usize,
    /// Sites, named `s1` and so on; conductors and hosts are dealt out to them in turn.
    pub sites: usize,
    /// How many of the conductors, from `c1` on, vote. 0 leaves out the fleet's tables: conductors that share nothing.
    pub voters: usize,
    /// How many of those behind the voters are relays: the others learn from them and renew through them.
    pub relays: usize,
    /// Readers in all.
    pub readers: usize,
    /// Writers in all.
    pub writers: usize,
    /// What all hosts can do; name, address, site and role are filled in.
    pub host: HostSettings,
    /// Whether the tool side keeps idempotency keys.
    pub keeps_keys: bool,
    /// Whether conductors follow discovery; else the list in their files stands.
    pub discovery: bool,
    /// More fields of the table `[fleet]`, by their TOML.
    pub fleet: String,
    /// More tables of each operator's file, by their TOML.
    pub more: String,
    /// Drawn from for all that is random in the lab.
    pub seed: u64,
    /// Where files go and stay, the history among them; else they are temporary.
    pub folder: Option<PathBuf>,
    /// What each conductor finds in its environment.
    pub environment: Vec<(&'static str, OsString)>,
    /// The program that the conductors run at first; `None`: the one built from these sources.
    pub program: Option<PathBuf>,
}

impl Default for FleetSettings {
    fn default() -> Self {
        FleetSettings {
            conductors: 3,
            sites: 1,
            voters: 0,
            relays: 0,
            readers: 2,
            writers: 3,
            host: HostSettings::quick("", HostRole::Reader, ([127, 0, 0, 1], 0).into()),
            keeps_keys: false,
            discovery: false,
            fleet: String::new(),
            more: String::new(),
            seed: 1,
            folder: None,
            environment: Vec::new(),
            program: None,
        }
    }
}

/// A fleet can't be started.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// A file, an address or a thread is not to be had.
    #[error("{0}")]
    System(#[from] std::io::Error),
    /// A conductor does not start.
    #[error("{0}")]
    Start(#[from] StartError),
}

/// Nobody in the fleet has this name.
#[derive(Debug, thiserror::Error)]
#[error("nobody is named {0:?}")]
pub struct UnknownName(pub String);

/// Views that do not come to agree.
#[derive(Debug, thiserror::Error)]
#[error("views still differ: {0}; {1}")]
pub struct StillDiffer(String, NotSeen);

/// A block of loopback addresses that no other lab on this machine uses.
struct Block {
    a: u8,
    b: u8,
    _kept: TcpListener,
}

impl Block {
    fn take() -> std::io::Result<Block> {
        let mut last = std::io::ErrorKind::AddrNotAvailable.into();
        for n in 0..4096u32 {
            let at = (std::process::id().wrapping_mul(37) + n) % (100 * 256);
            let (a, b) = (100 + (at / 256) as u8, (at % 256) as u8);
            match TcpListener::bind((Ipv4Addr::new(127, a, b, 254), 65_000)) {
                Ok(kept) => return Ok(Block { a, b, _kept: kept }),
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    fn at(&self, host: usize, port: usize) -> SocketAddr {
        (Ipv4Addr::new(127, self.a, self.b, host as u8), port as u16).into()
    }
}

/// What each conductor may have; its file says so.
const MEMORY_MB: u64 = 192;

/// The last part of the address of relays: between peers, to hosts, to the tool side, to clients.
const RELAYS: [usize; 4] = [201, 202, 203, 204];

/// A running fleet. All of it ends with the value.
pub struct Fleet {
    /// The conductors by name.
    pub conductors: BTreeMap<String, Conductor>,
    /// The stand-in hosts by name.
    pub hosts: BTreeMap<String, Host>,
    /// The stand-in tool side.
    pub tool: ToolSide,
    /// Stand-in discovery; only asked where the settings say so.
    pub discovery: Discovery,
    /// The network between all of them.
    pub network: Arc<Network>,
    /// What the hosts hold.
    pub states: Arc<States>,
    /// What happens.
    pub history: History,
    settings: FleetSettings,
    fronts: Vec<(String, SocketAddr)>,
    folder: Folder,
    block: Block,
}

impl Fleet {
    /// Starts all of a fleet and returns once every conductor serves and, in a fleet, may act.
    ///
    /// # Errors
    /// Something can't be started.
    pub fn start(settings: FleetSettings) -> Result<Fleet, FleetError> {
        let folder = settings
            .folder
            .as_deref()
            .map_or_else(Folder::temporary, Folder::at)?;
        let history = History::to_file(&folder.path().join("history.jsonl"))?;
        let block = Block::take()?;
        let network = Arc::new(Network::new(settings.seed, history.clone())?);
        let states = Arc::new(States::default());
        let tool = ToolSide::start(block.at(90, 9300), settings.keeps_keys, history.clone())?;
        let discovery = Discovery::new(history.clone());
        let mut hosts = BTreeMap::new();
        for (i, (role, number)) in roles(&settings).enumerate() {
            let site = site(&settings, number);
            let word = if role == HostRole::Reader {
                "reader"
            } else {
                "writer"
            };
            let (name, listen) = (format!("{word}-{}", number + 1), block.at(100 + i, 8000));
            let own = HostSettings {
                name: name.clone(),
                listen,
                site,
                role,
                ..settings.host.clone()
            };
            let host = Host::start(own, states.clone(), history.clone())?;
            discovery.set(entry(&host));
            hosts.insert(name, host);
        }
        let names: Vec<String> = (1..=settings.conductors).map(|n| format!("c{n}")).collect();
        write_key(&folder.path().join("key"), settings.seed)?;
        let mut fleet = Fleet {
            conductors: BTreeMap::new(),
            hosts,
            tool,
            discovery,
            network,
            states,
            history,
            settings,
            fronts: Vec::new(),
            folder,
            block,
        };
        for (i, name) in names.iter().enumerate() {
            // A folder of the caller's may hold the disks of an earlier fleet.
            let _ = std::fs::remove_dir_all(fleet.store(name));
            let text = fleet.operator_file(i + 1, name, &names)?;
            let file = fleet.folder.path().join(format!("{name}.toml"));
            std::fs::write(&file, text)?;
            let front = fleet.block.at(RELAYS[3], 10_000 + i + 1);
            fleet
                .network
                .link("front", name, front, fleet.block.at(i + 1, 8080))?;
            fleet.fronts.push((name.clone(), front));
            let mut conductor =
                Conductor::new(name, file, &["--log-format", "json"], fleet.history.clone());
            conductor.environment = fleet.settings.environment.clone();
            conductor.program = fleet.settings.program.clone();
            fleet.conductors.insert(name.clone(), conductor);
        }
        fleet.history.note(
            "lab",
            "lab.fleet",
            json!({ "members": names, "seed": fleet.settings.seed }),
        );
        for conductor in fleet.conductors.values() {
            conductor.start()?;
        }
        if fleet.is_fleet() {
            for name in &names {
                fleet
                    .wait_for(0, |r| r.is(name, "life.gained"))
                    .map_err(StartError::Silent)?;
            }
        }
        Ok(fleet)
    }

    /// Whether its conductors know of each other.
    pub fn is_fleet(&self) -> bool {
        self.settings.voters > 0
    }

    /// Opens the relays of conductor `number` and writes its file.
    fn operator_file(
        &self,
        number: usize,
        name: &str,
        names: &[String],
    ) -> Result<String, FleetError> {
        let (block, settings) = (&self.block, &self.settings);
        let site = self.site(number - 1);
        let mut file = String::new();
        let _ = writeln!(
            file,
            "name = {name:?}\nlisten = \"{}\"\nseed = {}",
            block.at(number, 8080),
            settings.seed * 1000 + number as u64
        );
        let _ = writeln!(file, "[limits]\nmemory_mb = {MEMORY_MB}\nsockets = 1024");
        let mut known = String::from("[known]\nseq = 1\nwhole = true\n");
        let mut dial = BTreeMap::new();
        for (i, host) in self.hosts.values().enumerate() {
            let relay = block.at(RELAYS[1], 10_000 + number * 100 + i);
            self.network
                .link(name, &host.settings().name, relay, host.address())?;
            dial.insert(host.settings().name.clone(), relay);
            let Entry {
                host, site, class, ..
            } = entry(host);
            let _ = writeln!(
                known,
                "[[known.hosts]]\nhost = {host:?}\ndial = \"{relay}\"\nsite = {site:?}\nclass = {class:?}\nhealth = \"ready\""
            );
        }
        let mut head = String::new();
        if settings.discovery {
            let agent = self.discovery.agent(block.at(number, 8500), dial)?;
            head = format!("discovery = \"{agent}\"\n");
        }
        let tool = block.at(RELAYS[2], 10_000 + number);
        self.network.link(name, "tool", tool, self.tool.address())?;
        let _ = writeln!(file, "[tools]\ndial = \"{tool}\"");
        if self.is_fleet() {
            let voters = &names[..settings.voters.min(names.len())];
            let mut peers = Vec::new();
            for (i, other) in names.iter().enumerate().filter(|(_, n)| *n != name) {
                let relay = block.at(RELAYS[0], 10_000 + number * 100 + i + 1);
                self.network
                    .link(name, other, relay, block.at(i + 1, 7100))?;
                peers.push(format!("{other} = \"{relay}\""));
            }
            let first = voters.len();
            let all_relays = &names[first..(first + settings.relays).min(names.len())];
            let uses_relays = number > first + all_relays.len();
            let relays = if uses_relays { all_relays } else { &[] };
            let folder = self.folder.path();
            let _ = writeln!(
                file,
                "[fleet]\nsite = {site:?}\npeer = \"{}\"\nkey_file = {:?}\nvoters = {voters:?}\nrelays = {relays:?}\npeers = {{ {} }}\n{}\n[store]\npath = {:?}",
                block.at(number, 7100),
                folder.join("key"),
                peers.join(", "),
                settings.fleet,
                self.store(name)
            );
        }
        file += &settings.more;
        file += &SETTINGS.replace("my_zone = \"here\"", &format!("my_zone = {site:?}"));
        Ok(head + &file + &known)
    }

    /// Where the files are: each conductor's `NAME.toml`, and `history.jsonl`.
    pub fn folder(&self) -> &Path {
        self.folder.path()
    }

    /// A conductor's file.
    pub fn file(&self, name: &str) -> PathBuf {
        self.folder.path().join(format!("{name}.toml"))
    }

    /// The folder of a conductor's store.
    pub fn store(&self, name: &str) -> PathBuf {
        self.folder.path().join(format!("{name}-store"))
    }

    /// A conductor.
    ///
    /// # Panics
    /// There is none of that name.
    pub fn conductor(&self, name: &str) -> &Conductor {
        self.conductors
            .get(name)
            .unwrap_or_else(|| panic!("no conductor {name}"))
    }

    /// The conductors' names, in order.
    pub fn names(&self) -> Vec<String> {
        self.fronts.iter().map(|(name, _)| name.clone()).collect()
    }

    /// A client that reaches the conductors through the relays `front` to each.
    pub fn client(&self) -> Client {
        Client::new(self.fronts.clone(), self.history.clone())
    }

    /// The address at which conductor `from` reaches conductor `to`: the relay between them.
    ///
    /// # Panics
    /// There is no conductor of such a name.
    pub fn peer_link(&self, from: &str, to: &str) -> SocketAddr {
        let place = |name: &str| self.fronts.iter().position(|(n, _)| n == name);
        let (Some(from), Some(to)) = (place(from), place(to)) else {
            panic!("no link {from} to {to}")
        };
        self.block.at(RELAYS[0], 10_000 + (from + 1) * 100 + to + 1)
    }

    /// Starts a conductor again, from what is on its disk or, with `emptied`, from nothing.
    ///
    /// # Errors
    /// It does not come to serve.
    pub fn restart(&self, name: &str, emptied: bool) -> Result<Record, FleetError> {
        self.conductor(name).kill();
        if emptied {
            match std::fs::remove_dir_all(self.store(name)) {
                Err(error) if error.kind() != std::io::ErrorKind::NotFound => {
                    return Err(error.into());
                }
                _ => self
                    .history
                    .note("lab", "fault.emptied", json!({ "member": name })),
            }
        }
        Ok(self.conductor(name).start()?)
    }

    /// Cuts a conductor from the other conductors, and from nothing else.
    pub fn isolate(&self, name: &str) {
        for other in self.names().iter().filter(|n| *n != name) {
            self.network.cut(name, other);
        }
    }

    /// What cuts `name` from all of `others` from wherever it is called: for reactions to the history. With `one_way`,
    /// what `name` sends still reaches them.
    pub fn cutter(
        &self,
        name: &str,
        others: Vec<String>,
        one_way: bool,
    ) -> impl FnOnce() + Send + use<> + 'static {
        let (network, name) = (Arc::downgrade(&self.network), name.to_owned());
        move || {
            let Some(network) = network.upgrade() else {
                return;
            };
            for other in others.iter().filter(|other| **other != name) {
                if one_way {
                    network.cut_one_way(other, &name);
                } else {
                    network.cut(&name, other);
                }
            }
        }
    }

    fn site(&self, number: usize) -> String {
        site(&self.settings, number)
    }

    /// The conductors and hosts of a site.
    pub fn site_names(&self, site: &str) -> Vec<String> {
        let conductors = self
            .names()
            .into_iter()
            .enumerate()
            .filter(|(i, _)| self.site(*i) == site);
        let hosts = self
            .hosts
            .values()
            .map(Host::settings)
            .filter(|s| s.site == site);
        conductors
            .map(|(_, name)| name)
            .chain(hosts.map(|s| s.name.clone()))
            .collect()
    }

    /// Cuts all that is in a site from all that is not, the clients and the tool side included.
    pub fn lose_site(&self, site: &str) {
        let inside = self.site_names(site);
        let all = self.names().into_iter().chain(self.hosts.keys().cloned());
        let outside: Vec<String> = all.chain(["front".to_owned(), "tool".to_owned()]).collect();
        for (a, b) in inside
            .iter()
            .flat_map(|a| outside.iter().map(move |b| (a, b)))
        {
            if !inside.contains(b) {
                self.network.set_both(a, b, |f| f.cut = true);
            }
        }
        self.history
            .note("lab", "fault.cut", json!({ "site": site }));
    }

    /// Cuts all links between conductors of different groups; a conductor in no group is cut from nobody.
    pub fn split(&self, groups: &[&[&str]]) {
        for (i, group) in groups.iter().enumerate() {
            for (a, b) in group.iter().flat_map(|a| {
                groups[i + 1..]
                    .iter()
                    .flat_map(move |g| g.iter().map(move |b| (a, b)))
            }) {
                self.network.cut(a, b);
            }
        }
    }

    /// Ends a conductor's process or a host, by its name, at once.
    ///
    /// # Errors
    /// There is nobody of that name.
    pub fn kill(&self, name: &str) -> Result<(), UnknownName> {
        match (self.conductors.get(name), self.hosts.get(name)) {
            (Some(conductor), _) => conductor.kill(),
            (None, Some(host)) => host.kill(),
            (None, None) => return Err(UnknownName(name.to_owned())),
        }
        Ok(())
    }

    /// Waits for a record behind the first `after`.
    ///
    /// # Errors
    /// None came in time.
    pub fn wait_for(
        &self,
        after: usize,
        wanted: impl Fn(&Record) -> bool,
    ) -> Result<Record, NotSeen> {
        self.history.wait_for(after, STUCK, wanted)
    }

    /// Writes how much memory each conductor has, and how much it may have.
    pub fn note_memory(&self) {
        for conductor in self.conductors.values() {
            if let Some(bytes) = conductor.memory() {
                let fields = json!({ "member": conductor.name, "bytes": bytes, "limit": MEMORY_MB * 1024 * 1024 });
                self.history.note("lab", "lab.memory", fields);
            }
        }
    }

    /// Starts one more conductor `name` that knows all others and has a key of its own, and notes it as a stranger. The
    /// others know nothing of it.
    ///
    /// # Errors
    /// It does not start.
    pub fn stranger(&mut self, name: &str) -> Result<(), FleetError> {
        let mut names = self.names();
        names.push(name.to_owned());
        let text = self.operator_file(names.len(), name, &names)?;
        let key = self.folder.path().join(format!("{name}-key"));
        write_key(&key, self.settings.seed.wrapping_add(1))?;
        let own = self.folder.path().join("key");
        let text = text.replace(&format!("{own:?}"), &format!("{key:?}"));
        let file = self.file(name);
        std::fs::write(&file, text)?;
        self.history
            .note("lab", "lab.stranger", json!({ "name": name }));
        let conductor = Conductor::new(name, file, &["--log-format", "json"], self.history.clone());
        conductor.start()?;
        self.conductors.insert(name.to_owned(), conductor);
        Ok(())
    }

    /// Waits until the hosts hold no state any more.
    ///
    /// # Errors
    /// They still do; the last records.
    pub fn wait_for_release(&self) -> Result<(), NotSeen> {
        let freed = self
            .history
            .wait_until(STUCK * 2, |_| self.states.held().is_empty().then_some(()));
        freed.ok_or_else(|| self.history.not_seen(STUCK * 2))
    }

    /// Where the views of `alive` differ from what is so, by the history: nothing once they agree.
    pub fn views_differ(&self, alive: &[&str]) -> Option<String> {
        let mut views = Views::default();
        checker::acts(&self.history.records())
            .0
            .iter()
            .for_each(|act| views.take(act));
        views.difference(&alive.iter().map(|n| (*n).to_owned()).collect())
    }

    /// Waits until the views of `alive` agree.
    ///
    /// # Errors
    /// They do not; where they differ, and the last records.
    pub fn wait_for_views(&self, alive: &[&str]) -> Result<(), StillDiffer> {
        let wanted = alive.iter().map(|n| (*n).to_owned()).collect();
        let (mut views, mut seen) = (Views::default(), 0);
        let agreed = self.history.wait_until(STUCK * 2, |records| {
            checker::acts(&records[seen..])
                .0
                .iter()
                .for_each(|act| views.take(act));
            seen = records.len();
            views.difference(&wanted).is_none().then_some(())
        });
        let how = || {
            StillDiffer(
                views.difference(&wanted).unwrap_or_default(),
                self.history.not_seen(STUCK * 2),
            )
        };
        agreed.ok_or_else(how)
    }

    /// Who acted last under a lease, by the history.
    pub fn holder(&self, lease: &str) -> Option<String> {
        let records = self.history.records();
        let acted = records
            .iter()
            .rev()
            .find(|r| r.event == "lease.act" && r.text("lease") == lease);
        acted.map(|r| r.source.clone())
    }

    /// Who leads in the highest term that any member knows a leader of, by the history.
    pub fn leader(&self) -> Option<String> {
        let records = self.history.records();
        let leading = records
            .iter()
            .filter(|r| r.event == "group.leading" && !r.text("leader").is_empty());
        leading
            .max_by_key(|r| (r.number("term"), r.order))
            .map(|r| r.text("leader").to_owned())
    }

    /// Writes that faults have stopped and who should be seen alive from now on: the checker judges views by it.
    pub fn quiet(&self, alive: &[&str], within: Duration) {
        let within_us = within.as_micros() as u64;
        self.history.note(
            "lab",
            "lab.quiet",
            json!({ "alive": alive, "within_us": within_us }),
        );
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for conductor in self.conductors.values() {
            conductor.kill();
        }
        self.history.flush();
    }
}

/// Writes a shared key that follows from a seed, for its owner alone to read.
fn write_key(path: &Path, seed: u64) -> std::io::Result<()> {
    use std::os::unix::fs::OpenOptionsExt;
    let mut key = [0u8; 32];
    ChaCha8Rng::seed_from_u64(seed).fill_bytes(&mut key);
    let hex: String = key.iter().map(|b| format!("{b:02x}")).collect();
    let mut options = std::fs::OpenOptions::new();
    let mut file = options
        .write(true)
        .create(true)
        .truncate(true)
        .mode(0o600)
        .open(path)?;
    writeln!(file, "{hex}")
}

/// The site of the conductor, reader or writer `number`, counted from 0.
fn site(settings: &FleetSettings, number: usize) -> String {
    format!("s{}", number % settings.sites.max(1) + 1)
}

fn roles(settings: &FleetSettings) -> impl Iterator<Item = (HostRole, usize)> {
    let readers = (0..settings.readers).map(|n| (HostRole::Reader, n));
    readers.chain((0..settings.writers).map(|n| (HostRole::Writer, n)))
}

fn entry(host: &Host) -> Entry {
    let settings = host.settings();
    Entry {
        host: settings.name.clone(),
        dial: host.address(),
        site: settings.site.clone(),
        class: settings.role.kind().to_owned(),
        block: 0,
        health: "ready".to_owned(),
        share: 1.0,
        born_ms: 0,
    }
}
