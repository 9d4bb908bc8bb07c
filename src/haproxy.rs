//! Imports HAProxy's configuration: writes an operator's file of what can be carried over, and lists the rest.
//!
//! HAProxy knows neither readers and writers nor classes. A backend named for one of the roles gets it (see
//! [`role`]); servers of any other do both. There is one class, never repeated: the safe choice for traffic of
//! which nothing is told.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr};
use toml::{Table, Value};

/// Why a file can't be imported, and where.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("line {line}: {what}")]
pub struct ImportError {
    /// The line, from 1; one past the last where something is missing from the whole file.
    pub line: usize,
    /// What is wrong.
    pub what: String,
}

/// What came of an import.
#[derive(Debug)]
pub struct Import {
    /// The operator's file; what could not be carried over stands at its top.
    pub file: String,
    /// What could not be carried over: line, and why.
    pub left_out: Vec<(usize, String)>,
}

/// Sections that HAProxy knows and an operator's file has nothing for.
const OTHER_SECTIONS: [&str; 15] = [
    "acme",
    "cache",
    "crt-store",
    "fcgi-app",
    "http-errors",
    "log-forward",
    "log-profile",
    "mailers",
    "peers",
    "program",
    "resolvers",
    "ring",
    "traces",
    "userlist",
    "dynamic-update",
];
/// Descriptors beside those of connections.
const SPARE_SOCKETS: u64 = 64;

/// What a proxy section says, defaults taken over.
#[derive(Clone, Debug, Default)]
struct Proxy {
    line: usize,
    binds: Vec<(usize, SocketAddr)>,
    servers: Vec<Server>,
    default_backend: Option<(usize, String)>,
    connect: Option<u64>,
    server: Option<u64>,
    keep_alive: Option<u64>,
    retries: Option<u64>,
    takes_clients: bool,
}

#[derive(Clone, Debug)]
struct Server {
    name: String,
    address: SocketAddr,
    weight: u64,
    disabled: bool,
}

enum Section {
    Global,
    Defaults(String),
    Proxy(String),
    Other,
}

#[derive(Default)]
struct Reader {
    defaults: BTreeMap<String, Proxy>,
    last_defaults: Option<String>,
    proxies: BTreeMap<String, Proxy>,
    order: Vec<String>,
    maxconn: Option<u64>,
    left_out: Vec<(usize, String)>,
}

fn fail<T>(line: usize, what: impl Into<String>) -> Result<T, ImportError> {
    Err(ImportError {
        line,
        what: what.into(),
    })
}

/// Reads HAProxy's configuration and writes the operator's file.
///
/// # Errors
/// The first line that is malformed, or what the whole file lacks.
pub fn import(text: &str) -> Result<Import, ImportError> {
    let mut reader = Reader::default();
    let mut section = None;
    for (i, raw) in text.lines().enumerate() {
        let line = i + 1;
        let words = words(line, raw)?;
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        if let Some((keyword, rest)) = words.split_first() {
            match reader.section(line, keyword, rest)? {
                Some(begun) => section = Some(begun),
                None => reader.directive(line, section.as_ref(), keyword, rest)?,
            }
        }
    }
    reader.write(text.lines().count() + 1)
}

/// Splits a line as HAProxy does: quotes, backslashes, comments.
fn words(line: usize, raw: &str) -> Result<Vec<String>, ImportError> {
    let (mut words, mut word, mut quote) = (Vec::new(), None::<String>, None);
    let mut letters = raw.chars();
    while let Some(c) = letters.next() {
        match (c, quote) {
            (c, Some(q)) if c == q => quote = None,
            ('"' | '\'', None) => {
                quote = Some(c);
                word.get_or_insert_default();
            }
            ('\\', None | Some('"')) => match letters.next() {
                Some(next) => word.get_or_insert_default().push(next),
                None => return fail(line, "nothing follows the backslash"),
            },
            ('#', None) => break,
            (c, None) if c.is_whitespace() => words.extend(word.take()),
            (c, _) => word.get_or_insert_default().push(c),
        }
    }
    if quote.is_some() {
        return fail(line, "a quote is not closed");
    }
    words.extend(word);
    Ok(words)
}

/// A length of time in microseconds; without a unit, milliseconds.
fn time(line: usize, text: &str) -> Result<u64, ImportError> {
    let digits = text
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(text.len());
    let unit = match &text[digits..] {
        "us" => 1,
        "" | "ms" => 1_000,
        "s" => 1_000_000,
        "m" => 60_000_000,
        "h" => 3_600_000_000,
        "d" => 86_400_000_000,
        other => return fail(line, format!("unknown unit of time {other:?} in {text:?}")),
    };
    let number = text[..digits]
        .parse::<u64>()
        .ok()
        .and_then(|n| n.checked_mul(unit));
    // Settings are signed numbers in TOML.
    let time = number.filter(|t| i64::try_from(*t).is_ok());
    time.map_or_else(
        || fail(line, format!("{text:?} is not a length of time")),
        Ok,
    )
}

fn number(line: usize, text: &str) -> Result<u64, ImportError> {
    let number = text.parse().ok().filter(|n| *n <= u64::from(u32::MAX));
    number.map_or_else(|| fail(line, format!("{text:?} is not a number")), Ok)
}

/// An address with a port; `None` for what HAProxy takes and a conductor can't: names, sockets of other kinds.
fn address(line: usize, text: &str) -> Result<Option<SocketAddr>, ImportError> {
    let plain = text
        .strip_prefix("ipv4@")
        .or(text.strip_prefix("ipv6@"))
        .unwrap_or(text);
    if plain.contains('@') || plain.starts_with('/') || plain.contains('$') {
        return Ok(None);
    }
    let Some((host, port)) = plain.rsplit_once(':') else {
        return fail(line, format!("{text:?} has no port"));
    };
    if port.contains('-') || port.starts_with('+') {
        return Ok(None);
    }
    let Some(port) = port.parse::<u16>().ok().filter(|p| *p > 0) else {
        return fail(line, format!("{port:?} is not a port"));
    };
    let host = host.trim_start_matches('[').trim_end_matches(']');
    Ok(match host {
        "" | "*" => Some((Ipv4Addr::UNSPECIFIED, port).into()),
        "::" => Some((Ipv6Addr::UNSPECIFIED, port).into()),
        _ => host.parse().ok().map(|ip| SocketAddr::new(ip, port)),
    })
}

/// The role that a backend's name stands for.
pub fn role(backend: &str) -> &'static str {
    match backend {
        "prompt" | "read" | "reader" | "readers" => "read",
        "answer" | "write" | "writer" | "writers" => "write",
        _ => "both",
    }
}

impl Reader {
    fn leave(&mut self, line: usize, what: impl Into<String>) {
        self.left_out.push((line, what.into()));
    }

    fn section(
        &mut self,
        line: usize,
        keyword: &str,
        rest: &[&str],
    ) -> Result<Option<Section>, ImportError> {
        let (name, from) = match rest {
            [] => ("", None),
            ["from", from] => ("", Some(*from)),
            [name] => (*name, None),
            [name, "from", from] => (*name, Some(*from)),
            [name, ..] => (*name, None),
        };
        let inherited = |reader: &Self| match from {
            None => Ok(reader
                .last_defaults
                .as_ref()
                .map(|d| reader.defaults[d].clone())
                .unwrap_or_default()),
            Some(from) => reader.defaults.get(from).cloned().map_or_else(
                || fail(line, format!("no defaults section is named {from:?}")),
                Ok,
            ),
        };
        match keyword {
            "global" => Ok(Some(Section::Global)),
            "defaults" => {
                let base = if from.is_some() {
                    inherited(self)?
                } else {
                    Proxy::default()
                };
                // Those without a name are told apart by their lines.
                let key = if name.is_empty() {
                    format!("\n{line}")
                } else {
                    name.to_owned()
                };
                self.defaults.insert(key.clone(), base);
                self.last_defaults = Some(key.clone());
                Ok(Some(Section::Defaults(key)))
            }
            "frontend" | "listen" | "backend" => {
                if name.is_empty() {
                    return fail(line, format!("{keyword} has no name"));
                }
                if keyword == "frontend" && matches!(rest, [_, second, ..] if *second != "from") {
                    return fail(line, "a frontend's address belongs on a bind line");
                }
                // HAProxy allows a frontend and a backend of one name.
                let key = if keyword == "backend" {
                    name.to_owned()
                } else {
                    format!("{keyword} {name}")
                };
                if self.proxies.contains_key(&key) {
                    return fail(line, format!("{keyword} {name:?} is there already"));
                }
                let takes_clients = keyword != "backend";
                let proxy = Proxy {
                    line,
                    takes_clients,
                    ..inherited(self)?
                };
                self.proxies.insert(key.clone(), proxy);
                self.order.push(key.clone());
                Ok(Some(Section::Proxy(key)))
            }
            other if OTHER_SECTIONS.contains(&other) => {
                self.leave(line, format!("section {other} has no counterpart"));
                Ok(Some(Section::Other))
            }
            _ => Ok(None),
        }
    }

    fn directive(
        &mut self,
        line: usize,
        section: Option<&Section>,
        keyword: &str,
        rest: &[&str],
    ) -> Result<(), ImportError> {
        let proxy = match section {
            None => return fail(line, format!("{keyword:?} stands outside of any section")),
            Some(Section::Other) => {
                self.leave(
                    line,
                    format!("{keyword}, in a section that has no counterpart"),
                );
                return Ok(());
            }
            Some(Section::Global) => {
                match (keyword, rest) {
                    ("maxconn", [count, ..]) => self.maxconn = Some(number(line, count)?),
                    ("maxconn", []) => return fail(line, "maxconn has no number"),
                    _ => self.leave(line, format!("global {keyword} has no counterpart")),
                }
                return Ok(());
            }
            Some(Section::Defaults(name)) => self.defaults.get_mut(name),
            Some(Section::Proxy(name)) => self.proxies.get_mut(name),
        };
        let Some(proxy) = proxy else {
            return fail(line, "the section is lost");
        };
        let in_defaults = matches!(section, Some(Section::Defaults(_)));
        let mut left = Vec::new();
        match (keyword, rest) {
            ("bind" | "server", _) if in_defaults => {
                return fail(line, format!("{keyword} does not belong into defaults"));
            }
            ("bind", [at, options @ ..]) => {
                for at in at.split(',') {
                    match address(line, at)? {
                        Some(address) => proxy.binds.push((line, address)),
                        None => left.push(format!("bind {at}: not an address with one port")),
                    }
                }
                if !options.is_empty() {
                    left.push(format!("bind options {}", options.join(" ")));
                }
            }
            ("server", [name, at, options @ ..]) => match address(line, at)? {
                None => left.push(format!(
                    "server {name}: {at} is no address (there is no DNS here)"
                )),
                Some(address) => {
                    let mut server = Server {
                        name: (*name).into(),
                        address,
                        weight: 1,
                        disabled: false,
                    };
                    left.extend(server.options(line, options)?);
                    proxy.servers.push(server);
                }
            },
            ("timeout", [which, length, ..]) => {
                let length = time(line, length)?;
                match *which {
                    "connect" => proxy.connect = Some(length),
                    "server" => proxy.server = Some(length),
                    "http-keep-alive" => proxy.keep_alive = Some(length),
                    other => left.push(format!("timeout {other}")),
                }
            }
            ("retries", [count, ..]) => proxy.retries = Some(number(line, count)?),
            ("default_backend", [name, ..]) => proxy.default_backend = Some((line, (*name).into())),
            ("bind" | "server" | "timeout" | "retries" | "default_backend", _) => {
                return fail(line, format!("{keyword} lacks a value"));
            }
            ("mode", ["http"]) => {}
            ("mode", [mode]) => left.push(format!("mode {mode}: requests are taken over HTTP")),
            ("balance", _) => left.push("balance: the module decides where requests go".into()),
            _ => left.push(format!("{keyword} has no counterpart")),
        }
        for what in left {
            self.leave(line, what);
        }
        Ok(())
    }

    fn write(mut self, end: usize) -> Result<Import, ImportError> {
        let is_open = |key: &&String| {
            !self.proxies[*key].binds.is_empty() && self.proxies[*key].takes_clients
        };
        let Some(open) = self.order.iter().find(is_open).cloned() else {
            return fail(end, "no frontend or listen section with an address to bind");
        };
        let front = self.proxies[&open].clone();
        let mut used: Vec<(String, Proxy)> = Vec::new();
        if !front.servers.is_empty() {
            used.push((open.trim_start_matches("listen ").to_owned(), front.clone()));
        }
        if let Some((line, name)) = &front.default_backend {
            let found = self
                .proxies
                .get(name)
                .or_else(|| self.proxies.get(&format!("listen {name}")));
            let Some(backend) = found else {
                return fail(*line, format!("no backend is named {name:?}"));
            };
            used.push((name.clone(), backend.clone()));
        }
        for key in self.order.clone() {
            let proxy = self.proxies[&key].clone();
            let taken = used
                .iter()
                .any(|(name, p)| p.line == proxy.line || *name == key);
            if key != open && !taken && !proxy.takes_clients && role(&key) != "both" {
                used.push((key, proxy));
            } else if key != open && !taken {
                self.leave(proxy.line, format!("{key}: not reached from {open}"));
            }
        }
        for (line, address) in front.binds.iter().skip(1) {
            self.leave(
                *line,
                format!(
                    "bind {address}: one address is listened on, {}",
                    front.binds[0].1
                ),
            );
        }
        let mut hosts = Vec::new();
        for (backend, proxy) in &used {
            for server in &proxy.servers {
                hosts.push(Value::Table(Table::from_iter([
                    (
                        "host".to_owned(),
                        Value::from(format!("{backend}/{}", server.name)),
                    ),
                    ("dial".to_owned(), Value::from(server.address.to_string())),
                    ("site".to_owned(), Value::from("here")),
                    ("class".to_owned(), Value::from(backend.as_str())),
                    (
                        "health".to_owned(),
                        Value::from(if server.disabled { "draining" } else { "ready" }),
                    ),
                    ("share".to_owned(), Value::from(server.weight as f64)),
                ])));
            }
        }
        if hosts.is_empty() {
            return fail(end, format!("{open} leads to no server"));
        }
        let table = self.file(&front, &used, hosts);
        self.left_out.sort();
        let mut file = String::from(
            "# Imported from HAProxy's configuration. Start: whinhaven serve THIS-FILE\n",
        );
        for (line, what) in &self.left_out {
            let _ = writeln!(
                file,
                "# line {line}, not carried over: {}",
                what.replace(char::is_control, " ")
            );
        }
        file.push('\n');
        file += &toml::to_string(&table).map_err(|e| ImportError {
            line: end,
            what: e.to_string(),
        })?;
        Ok(Import {
            file,
            left_out: self.left_out,
        })
    }

    fn file(&self, front: &Proxy, used: &[(String, Proxy)], hosts: Vec<Value>) -> Table {
        let table = |pairs: &[(&str, Value)]| {
            Value::Table(
                pairs
                    .iter()
                    .map(|(k, v)| ((*k).to_owned(), v.clone()))
                    .collect(),
            )
        };
        let int = |n: u64| Value::from(i64::try_from(n).unwrap_or(i64::MAX));
        // Servers' side of things is said where the servers are, as in HAProxy.
        let of = |get: fn(&Proxy) -> Option<u64>| {
            used.iter().find_map(|(_, p)| get(p)).or_else(|| get(front))
        };
        let give_up = of(|p| p.server).unwrap_or(30_000_000).max(1_000_000);
        let mut kinds: Vec<&str> = Vec::new();
        used.iter()
            .filter(|(_, p)| !p.servers.is_empty())
            .for_each(|(name, _)| kinds.push(name));
        let roles: Vec<Value> = kinds.iter().map(|k| Value::from(role(k))).collect();
        let names: Vec<Value> = kinds.iter().map(|k| Value::from(*k)).collect();
        let class = table(&[
            ("name", Value::from("default")),
            ("effect", Value::from("non_idempotent")),
            ("objective_us", int(give_up / 4)),
            ("give_up_us", int(give_up)),
        ]);
        let settings = table(&[
            ("my_zone", Value::from("here")),
            ("registry_mode", Value::from("pushed")),
            ("replicas_of_me", int(1)),
            ("skus", Value::from(names)),
            (
                "family_info",
                table(&[
                    ("role_by_kind", Value::from(roles)),
                    ("release_us", int(500_000)),
                ]),
            ),
            (
                "permissions",
                table(&[
                    ("max_attempts", int(of(|p| p.retries).unwrap_or(3) + 1)),
                    ("may_cancel", Value::from(true)),
                    ("retry_after", Value::from(true)),
                    ("max_retry_after_us", int(2_000_000)),
                    (
                        "connect_timeout_us",
                        int(of(|p| p.connect).unwrap_or(250_000)),
                    ),
                    (
                        "idle_close_us",
                        int(of(|p| p.keep_alive).unwrap_or(30_000_000)),
                    ),
                ]),
            ),
            (
                "rules",
                table(&[
                    ("drain_grace_us", int(1_000_000)),
                    ("answer_slack_us", int(16_000)),
                    ("cold_from", Value::from(1.0)),
                    ("cold_us", int(0)),
                    ("fall_multiple", Value::from(1000.0)),
                    ("fall_us", int(1_000_000)),
                ]),
            ),
            ("classes", Value::from(vec![class])),
        ]);
        let known = table(&[
            ("seq", int(1)),
            ("whole", Value::from(true)),
            ("hosts", Value::from(hosts)),
        ]);
        let mut file = Table::new();
        file.insert("name".into(), Value::from("imported"));
        file.insert("listen".into(), Value::from(front.binds[0].1.to_string()));
        if let Some(most) = self.maxconn {
            file.insert(
                "limits".into(),
                table(&[("sockets", int((2 * most + SPARE_SOCKETS).max(256)))]),
            );
        }
        file.insert("settings".into(), settings);
        file.insert("known".into(), known);
        file
    }
}

impl Server {
    /// Takes options in; gives back those that can't be carried over.
    fn options(&mut self, line: usize, options: &[&str]) -> Result<Option<String>, ImportError> {
        let mut left = Vec::new();
        let mut options = options.iter();
        while let Some(option) = options.next() {
            match *option {
                "weight" => match options.next() {
                    Some(weight) => self.weight = number(line, weight)?,
                    None => return fail(line, "weight has no number"),
                },
                "disabled" => self.disabled = true,
                "enabled" => {}
                other => left.push(other),
            }
        }
        // HAProxy sends nothing new to a server of weight 0.
        if self.weight == 0 {
            (self.weight, self.disabled) = (1, true);
        }
        Ok((!left.is_empty()).then(|| format!("server {}: {}", self.name, left.join(" "))))
    }
}
