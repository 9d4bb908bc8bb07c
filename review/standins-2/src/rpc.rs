//! The JSON-RPC front: operators' files that switch it on, its clients, and hosts that tell orders apart.

use crate::http;
use crate::world::*;
use std::fs;
use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// A class of the settings, as TOML.
pub struct Class {
    pub name: &'static str,
    /// The rest of its table.
    pub effect: &'static str,
}

/// `explain` is safe to repeat, `send` must never run twice.
pub const CLASSES: &[Class] = &[
    Class {
        name: "explain",
        effect: "effect = \"read_like\"\nobjective_us = 1500000\ngive_up_us = 6000000\nvalue = 3.0\n",
    },
    Class {
        name: "send",
        effect: "effect = \"non_idempotent\"\nobjective_us = 2500000\ngive_up_us = 10000000\nvalue = 2.0\n",
    },
];

/// A host with its zone.
pub struct Placed {
    pub host: Listed,
    pub zone: &'static str,
}

/// A router in an operator's file.
pub struct Member {
    pub name: String,
    pub zone: &'static str,
    pub listen: SocketAddr,
    pub peer: SocketAddr,
}

/// The parts of an operator's file that are the same for a router alone and for one of a fleet: as in `deploy/`.
fn common(
    member: &Member,
    routers: usize,
    classes: &[Class],
    hosts: &[Placed],
    tools: SocketAddr,
) -> String {
    let mut text = format!(
        "[limits]\nmemory_mb = 192\nsockets = 1024\n\n[tools]\ndial = \"{tools}\"\n\n\
         [settings]\nmy_zone = \"{}\"\nregistry_mode = \"pushed\"\nreplicas_of_me = {routers}\nskus = [\"prompt\", \"answer\"]\n\
         [settings.family_info]\nrole_by_kind = [\"read\", \"write\"]\nkv_tokens = [200000, 150000]\nrelease_us = 500000\n\
         token_aim_us = [60000, 80000]\n\
         [settings.permissions]\nmax_attempts = 6\nmay_cancel = true\nretry_after = true\nmax_retry_after_us = 2000000\n\
         connect_timeout_us = 250000\nidle_close_us = 30000000\n\
         [settings.rules]\ndrain_grace_us = 1000000\nanswer_slack_us = 16000\ncold_from = 0.3\ncold_us = 9000000\n\
         fall_multiple = 2.5\nfall_us = 1000000\n",
        member.zone
    );
    for class in classes {
        text += &format!(
            "[[settings.classes]]\nname = \"{}\"\n{}",
            class.name, class.effect
        );
    }
    text += "\n[known]\nseq = 1\nwhole = true\n";
    for Placed { host, zone } in hosts {
        text += &format!(
            "\n[[known.hosts]]\nhost = \"{}\"\ndial = \"{}\"\nsite = \"{zone}\"\nclass = \"{}\"\nhealth = \"ready\"\n",
            host.name, host.address, host.kind
        );
    }
    text
}

/// Writes the operator's file of a router that runs alone.
pub fn write_alone(folder: &Path, member: &Member, hosts: &[Placed]) -> io::Result<PathBuf> {
    write_alone_with_tools(folder, member, hosts, None)
}

/// The same with a tool side; without one, nobody listens at its address.
pub fn write_alone_with_tools(
    folder: &Path,
    member: &Member,
    hosts: &[Placed],
    tools: Option<SocketAddr>,
) -> io::Result<PathBuf> {
    let tools = tools.map_or_else(free_address, Ok)?;
    let head = format!(
        "name = \"{}\"\nlisten = \"{}\"\n\n",
        member.name, member.listen
    );
    let file = folder.join(format!("{}.toml", member.name));
    fs::write(&file, head + &common(member, 1, CLASSES, hosts, tools))?;
    Ok(file)
}

/// Writes the operators' files of a fleet that keeps records of requests, and its key.
pub fn write_fleet(
    folder: &Path,
    members: &[Member],
    classes: &[Class],
    hosts: &[Placed],
) -> io::Result<Vec<PathBuf>> {
    let key = folder.join("fleet.key");
    fs::write(
        &key,
        "0f1e2d3c4b5a69788796a5b4c3d2e1f00f1e2d3c4b5a69788796a5b4c3d2e1f0\n",
    )?;
    #[cfg(unix)]
    {
        use std::os::unix::fs::PermissionsExt;
        fs::set_permissions(&key, fs::Permissions::from_mode(0o600))?;
    }
    let names: Vec<String> = members.iter().map(|m| format!("\"{}\"", m.name)).collect();
    let peers: Vec<String> = members
        .iter()
        .map(|m| format!("{} = \"{}\"", m.name, m.peer))
        .collect();
    let mut files = Vec::new();
    for member in members {
        let head = format!(
            "name = \"{0}\"\nlisten = \"{1}\"\n\n[fleet]\nsite = \"{2}\"\npeer = \"{3}\"\nkey_file = \"fleet.key\"\n\
             voters = [{4}]\npeers = {{ {5} }}\nwhen_cut_off = \"refuse\"\n\n[store]\npath = \"data-{0}\"\n\n[takeover]\n\n",
            member.name,
            member.listen,
            member.zone,
            member.peer,
            names.join(", "),
            peers.join(", ")
        );
        let file = folder.join(format!("{}.toml", member.name));
        let tools = free_address()?;
        let rest = common(member, members.len(), classes, hosts, tools);
        fs::write(&file, head + &rest)?;
        files.push(file);
    }
    Ok(files)
}

/// An address for a router's peers: free for TCP and for UDP.
pub fn peer_address() -> io::Result<SocketAddr> {
    for _ in 0..50 {
        let address = free_address()?;
        if std::net::UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::Error::other("no port is free for TCP and UDP"))
}

/// One JSON-RPC request for a completion, as JSON.
pub fn completion(method: &str, order: &str, deadline_ms: u64) -> String {
    format!(
        "{{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"{method}\",\"params\":{{\"request\":\"{order}\",\"deadline_ms\":{deadline_ms},\
         \"prompt_len\":500,\"max_out\":200,\"messages\":[{{\"role\":\"user\",\"content\":\"order={order}.\"}}]}}}}"
    )
}

/// Connects and posts a body to the JSON-RPC front. The answer has not been read yet.
pub fn post(listen: SocketAddr, body: &str, timeout: Duration) -> io::Result<BufReader<TcpStream>> {
    let stream = TcpStream::connect(listen)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let request = format!(
        "POST /rpc HTTP/1.1\r\nhost: edge\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    http::send(&stream, request.as_bytes())?;
    Ok(BufReader::new(stream))
}

/// The order that a prompt names, which stays the same however often its client asks.
pub fn order_of(body: &[u8]) -> String {
    let text = String::from_utf8_lossy(body);
    let order = text
        .split("order=")
        .nth(1)
        .and_then(|t| t.split('.').next());
    order.unwrap_or_default().to_owned()
}

/// The last line of an answer: the JSON-RPC response.
pub fn last_line(response: &http::Response) -> String {
    response.body.lines().last().unwrap_or_default().to_owned()
}

/// Starts a fleet's routers, all at once, and waits until they are ready.
pub fn start_fleet(
    folder: &Path,
    members: &[Member],
    classes: &[Class],
    hosts: &[Placed],
) -> io::Result<Vec<Router>> {
    let files = write_fleet(folder, members, classes, hosts)?;
    let starts: Vec<_> = members
        .iter()
        .zip(files)
        .map(|(member, file)| {
            let (folder, name, listen) = (folder.to_owned(), member.name.clone(), member.listen);
            std::thread::spawn(move || Router::serve_file(&folder, &name, listen, &file))
        })
        .collect();
    let mut routers = Vec::new();
    for start in starts {
        let started = start.join();
        routers.push(started.map_err(|_| io::Error::other("a start panicked"))??);
    }
    Ok(routers)
}
