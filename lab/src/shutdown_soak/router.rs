//! The routers of a round: one that is told to stop, and those beside it.

use super::ShutdownSoakError;
use super::model_hosts::ModelHosts;
use super::plan::{Plan, Topology};
use crate::fleet::SETTINGS;
use crate::history::{History, Record, STUCK};
use crate::peer::{Message, Peer};
use crate::process::{Conductor, Folder};
use crate::soak::environment;
use std::fmt::Write as _;
use std::io::{BufReader, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};

/// Members of a fleet.
const MEMBERS: usize = 3;
/// Descriptors of a router that a crowd fills.
const CROWDED_SOCKETS: usize = 400;
/// Descriptors of any other.
const SOCKETS: usize = 1_024;
/// Between two looks whether a router is ready.
const READY_PERIOD: Duration = Duration::from_millis(20);

/// One router: its process and its addresses.
struct Router {
    process: Conductor,
    address: SocketAddr,
    admin: SocketAddr,
}

/// The routers of a round; the first one is told to stop.
pub struct Routers {
    routers: Vec<Router>,
    _folder: Folder,
}

impl Routers {
    /// Starts the routers of a plan and waits until they are ready; one that is told to stop as it starts, until it logs.
    pub fn start(
        plan: &Plan,
        hosts: &ModelHosts,
        history: &History,
    ) -> Result<Routers, ShutdownSoakError> {
        let folder = Folder::temporary()?;
        std::fs::write(folder.path().join("key"), "ab".repeat(32))?;
        set_private(&folder.path().join("key"))?;
        let count = match plan.topology {
            Topology::Alone | Topology::Starting => 1,
            Topology::WithSuccessor => 2,
            Topology::Fleet | Topology::PlainFleet => MEMBERS,
        };
        let peers: Vec<SocketAddr> = (0..count).map(|_| Peer::nobody()).collect();
        let shared_address = Peer::nobody();
        let mut routers = Vec::new();
        for number in 0..count {
            let address = if plan.topology == Topology::WithSuccessor {
                shared_address
            } else {
                Peer::nobody()
            };
            let admin = Peer::nobody();
            let text = operator_file(plan, hosts, number, &peers, address, admin, folder.path());
            let file = folder.path().join(format!("c{number}.toml"));
            std::fs::write(&file, text)?;
            let name = format!("c{number}");
            let mut process = Conductor::new(&name, file, &[], history.clone());
            process.environment = plan.failing_calls.map_or_else(Vec::new, environment);
            process.environment.push(("TMPDIR", folder.path().into()));
            routers.push(Router {
                process,
                address,
                admin,
            });
        }
        let routers = Routers {
            routers,
            _folder: folder,
        };
        routers.wait_until_ready(plan, history)?;
        Ok(routers)
    }

    fn wait_until_ready(&self, plan: &Plan, history: &History) -> Result<(), ShutdownSoakError> {
        if plan.topology == Topology::Starting {
            self.routers[0].process.spawn()?;
            let said = |record: &Record| record.source == "c0";
            let heard = history.wait_for(0, STUCK, said);
            return heard
                .map(|_| ())
                .map_err(|_| ShutdownSoakError::NotReady("c0".to_owned()));
        }
        for router in &self.routers {
            router.process.spawn()?;
            // A successor is started beside a router that serves; members of a fleet wait for each other.
            if plan.topology == Topology::WithSuccessor {
                router.wait_until_serving(history)?;
            }
        }
        for router in &self.routers {
            router.wait_until_serving(history)?;
        }
        let until = Instant::now() + STUCK;
        while !self.routers.iter().all(Router::is_ready) {
            if Instant::now() > until {
                return Err(ShutdownSoakError::NotReady("a router".to_owned()));
            }
            std::thread::sleep(READY_PERIOD);
        }
        Ok(())
    }

    /// The process that is told to stop.
    pub fn stopping(&self) -> &Conductor {
        &self.routers[0].process
    }

    /// Where clients reach it.
    pub fn address(&self) -> SocketAddr {
        self.routers[0].address
    }

    /// Makes one call at its admin endpoint.
    pub fn call_admin(&self, method: &str, path: &str) {
        let call = || -> std::io::Result<Option<Message>> {
            let mut stream = TcpStream::connect(self.routers[0].admin)?;
            stream.set_read_timeout(Some(Duration::from_millis(100)))?;
            write!(
                stream,
                "{method} {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"
            )?;
            Ok(Message::read(&mut BufReader::new(stream)))
        };
        if let Err(error) = call() {
            log::debug!("{method} {path}: {error}");
        }
    }
}

impl Router {
    fn wait_until_serving(&self, history: &History) -> Result<(), ShutdownSoakError> {
        let name = &self.process.name;
        let said =
            |record: &Record| record.source == *name && record.text("line").contains(" serves on ");
        let heard = history.wait_for(0, STUCK, said);
        heard
            .map(|_| ())
            .map_err(|_| ShutdownSoakError::NotReady(name.clone()))
    }

    fn is_ready(&self) -> bool {
        let ask = || -> std::io::Result<Option<Message>> {
            let mut stream = TcpStream::connect(self.address)?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            stream.write_all(b"GET /healthz HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")?;
            Ok(Message::read(&mut BufReader::new(stream)))
        };
        matches!(ask(), Ok(Some(answer)) if answer.status() == 200)
    }
}

/// The key file must not be readable for others.
fn set_private(path: &Path) -> std::io::Result<()> {
    use std::os::unix::fs::PermissionsExt;
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600))
}

fn operator_file(
    plan: &Plan,
    hosts: &ModelHosts,
    number: usize,
    peers: &[SocketAddr],
    address: SocketAddr,
    admin: SocketAddr,
    folder: &Path,
) -> String {
    let sockets = if plan.crowd > 0 {
        CROWDED_SOCKETS
    } else {
        SOCKETS
    };
    let mut file = format!(
        "name = \"c{number}\"\nlisten = \"{address}\"\nops = \"{admin}\"\n[limits]\nsockets = {sockets}\n[tools]\ndial = \"127.0.0.1:1\"\n"
    );
    if matches!(plan.topology, Topology::Fleet | Topology::PlainFleet) {
        let names: Vec<String> = (0..peers.len()).map(|n| format!("\"c{n}\"")).collect();
        let dials: Vec<String> = (0..peers.len())
            .map(|n| format!("c{n} = \"{}\"", peers[n]))
            .collect();
        let _ = writeln!(
            file,
            "[fleet]\nsite = \"here\"\npeer = \"{}\"\nkey_file = {:?}\nvoters = [{}]\npeers = {{ {} }}\n[store]\npath = {:?}",
            peers[number],
            folder.join("key"),
            names.join(", "),
            dials.join(", "),
            folder.join(format!("store-{number}")),
        );
        if plan.topology == Topology::Fleet {
            file += "[takeover]\n[policy]\n";
        }
    }
    file += SETTINGS;
    file += "[known]\nseq = 1\nwhole = true\n";
    for (class, dials) in [("prompt", hosts.prefill()), ("answer", hosts.decode())] {
        for (i, dial) in dials.iter().enumerate() {
            let _ = writeln!(
                file,
                "[[known.hosts]]\nhost = \"{class}-{i}\"\ndial = \"{dial}\"\nsite = \"here\"\nclass = \"{class}\"\nhealth = \"ready\""
            );
        }
    }
    file
}
