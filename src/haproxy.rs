//! Imports HAProxy's configuration: converts it to an operator's file and lists the directives that are not carried over.
//!
//! HAProxy has neither prefill and decode workers nor request classes. The name of a backend may state the role of its
//! servers (see [`role`]); servers of all other backends get both roles. All requests get one class, which is never
//! retried once it may have run: the safe choice for traffic whose effects are unknown.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr};
use toml::{Table, Value};

/// The file can't be imported.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("line {line}: {message}")]
pub struct ImportError {
    /// Number of the invalid line, from 1; one past the last line if something is missing from the whole file.
    pub line: usize,
    /// Directive or value at fault, and why it is invalid.
    pub message: String,
}

/// Result of an import.
#[derive(Debug)]
pub struct Import {
    /// Text of the operator's file; comments at its top list what is not carried over.
    pub file: String,
    /// Directives that are not carried over: line number, and the directive or the reason.
    pub skipped: Vec<(usize, String)>,
}

/// Sections of HAProxy that have no counterpart in an operator's file.
const UNSUPPORTED_SECTIONS: [&str; 15] = [
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
/// File descriptors needed in addition to those of client and server connections.
const SPARE_SOCKETS: u64 = 64;

/// A proxy section, including the values inherited from its defaults section. Times are in microseconds.
#[derive(Clone, Debug, Default)]
struct Proxy {
    line: usize,
    binds: Vec<(usize, SocketAddr)>,
    servers: Vec<Server>,
    default_backend: Option<(usize, String)>,
    connect_timeout: Option<u64>,
    server_timeout: Option<u64>,
    keep_alive_timeout: Option<u64>,
    retries: Option<u64>,
    accepts_clients: bool,
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
    Unsupported,
}

#[derive(Default)]
struct Importer {
    defaults: BTreeMap<String, Proxy>,
    last_defaults: Option<String>,
    proxies: BTreeMap<String, Proxy>,
    order: Vec<String>,
    maxconn: Option<u64>,
    skipped: Vec<(usize, String)>,
}

fn fail<T>(line: usize, message: impl Into<String>) -> Result<T, ImportError> {
    Err(ImportError {
        line,
        message: message.into(),
    })
}

/// Converts HAProxy's configuration to an operator's file.
///
/// # Errors
/// A line is malformed (the first one is reported), or the file lacks a section that an operator's file needs.
pub fn import(text: &str) -> Result<Import, ImportError> {
    let mut importer = Importer::default();
    let mut section = None;
    for (i, raw) in text.lines().enumerate() {
        let line = i + 1;
        let words = split_words(line, raw)?;
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        if let Some((keyword, rest)) = words.split_first() {
            match importer.section(line, keyword, rest)? {
                Some(opened) => section = Some(opened),
                None => importer.directive(line, section.as_ref(), keyword, rest)?,
            }
        }
    }
    importer.write(text.lines().count() + 1)
}

/// Splits a line into words as HAProxy does, with its rules for quotes, backslashes and comments.
fn split_words(line: usize, raw: &str) -> Result<Vec<String>, ImportError> {
    let (mut words, mut word, mut quote) = (Vec::new(), None::<String>, None);
    let mut chars = raw.chars();
    while let Some(c) = chars.next() {
        match (c, quote) {
            (c, Some(q)) if c == q => quote = None,
            ('"' | '\'', None) => {
                quote = Some(c);
                word.get_or_insert_default();
            }
            ('\\', None | Some('"')) => match chars.next() {
                Some(next) => word.get_or_insert_default().push(next),
                None => {
                    return fail(
                        line,
                        "the line ends after a backslash: put the escaped character behind it, or remove it",
                    );
                }
            },
            ('#', None) => break,
            (c, None) if c.is_whitespace() => words.extend(word.take()),
            (c, _) => word.get_or_insert_default().push(c),
        }
    }
    if quote.is_some() {
        return fail(line, "a quote is not closed at the end of the line");
    }
    words.extend(word);
    Ok(words)
}

/// Parses a duration and returns it in microseconds; a number without a unit is in milliseconds.
fn parse_duration(line: usize, text: &str) -> Result<u64, ImportError> {
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
        other => {
            return fail(
                line,
                format!("unknown time unit {other:?} in {text:?}; use us, ms, s, m, h or d"),
            );
        }
    };
    let number = text[..digits]
        .parse::<u64>()
        .ok()
        .and_then(|n| n.checked_mul(unit));
    // Integers in TOML are signed.
    let duration = number.filter(|t| i64::try_from(*t).is_ok());
    duration.map_or_else(
        || fail(line, format!("{text:?} is not a duration, or is too long")),
        Ok,
    )
}

fn parse_number(line: usize, text: &str) -> Result<u64, ImportError> {
    let number = text.parse().ok().filter(|n| *n <= u64::from(u32::MAX));
    number.map_or_else(
        || {
            fail(
                line,
                format!("{text:?} is not a number from 0 to {}", u32::MAX),
            )
        },
        Ok,
    )
}

/// Parses an address with a port. `None`: HAProxy accepts the address but a router does not, such as a host name, a port
/// range or a Unix socket.
fn parse_address(line: usize, text: &str) -> Result<Option<SocketAddr>, ImportError> {
    let plain = text
        .strip_prefix("ipv4@")
        .or(text.strip_prefix("ipv6@"))
        .unwrap_or(text);
    if plain.contains('@') || plain.starts_with('/') || plain.contains('$') {
        return Ok(None);
    }
    let Some((host, port)) = plain.rsplit_once(':') else {
        return fail(line, format!("address {text:?} has no port"));
    };
    if port.contains('-') || port.starts_with('+') {
        return Ok(None);
    }
    let Some(port) = port.parse::<u16>().ok().filter(|p| *p > 0) else {
        return fail(line, format!("{port:?} is not a port from 1 to 65535"));
    };
    let host = host.trim_start_matches('[').trim_end_matches(']');
    Ok(match host {
        "" | "*" => Some((Ipv4Addr::UNSPECIFIED, port).into()),
        "::" => Some((Ipv6Addr::UNSPECIFIED, port).into()),
        _ => host.parse().ok().map(|ip| SocketAddr::new(ip, port)),
    })
}

/// The role, as in `role_by_kind` of an operator's file, that a backend's name stands for.
pub fn role(backend: &str) -> &'static str {
    match backend {
        "prompt" | "read" | "reader" | "readers" => "read",
        "answer" | "write" | "writer" | "writers" => "write",
        _ => "both",
    }
}

impl Importer {
    fn skip(&mut self, line: usize, reason: impl Into<String>) {
        self.skipped.push((line, reason.into()));
    }

    /// Opens the section that a line begins; `None` if the line begins none.
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
        let inherited = |importer: &Self| match from {
            None => Ok(importer
                .last_defaults
                .as_ref()
                .map(|d| importer.defaults[d].clone())
                .unwrap_or_default()),
            Some(from) => importer.defaults.get(from).cloned().map_or_else(
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
                // A defaults section without a name is identified by its line.
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
                    return fail(
                        line,
                        "the address of a frontend must be on a bind line, not in the frontend line",
                    );
                }
                // HAProxy allows a frontend and a backend with the same name.
                let key = if keyword == "backend" {
                    name.to_owned()
                } else {
                    format!("{keyword} {name}")
                };
                if self.proxies.contains_key(&key) {
                    return fail(line, format!("{keyword} {name:?} is defined twice"));
                }
                let accepts_clients = keyword != "backend";
                let proxy = Proxy {
                    line,
                    accepts_clients,
                    ..inherited(self)?
                };
                self.proxies.insert(key.clone(), proxy);
                self.order.push(key.clone());
                Ok(Some(Section::Proxy(key)))
            }
            other if UNSUPPORTED_SECTIONS.contains(&other) => {
                self.skip(line, format!("section {other} has no counterpart"));
                Ok(Some(Section::Unsupported))
            }
            _ => Ok(None),
        }
    }

    /// Reads a line inside a section.
    fn directive(
        &mut self,
        line: usize,
        section: Option<&Section>,
        keyword: &str,
        rest: &[&str],
    ) -> Result<(), ImportError> {
        let proxy = match section {
            None => return fail(line, format!("{keyword:?} is outside of any section")),
            Some(Section::Unsupported) => {
                self.skip(
                    line,
                    format!("{keyword}, in a section that has no counterpart"),
                );
                return Ok(());
            }
            Some(Section::Global) => {
                match (keyword, rest) {
                    ("maxconn", [count, ..]) => self.maxconn = Some(parse_number(line, count)?),
                    ("maxconn", []) => return fail(line, "maxconn has no value: add a number"),
                    _ => self.skip(line, format!("global {keyword} has no counterpart")),
                }
                return Ok(());
            }
            Some(Section::Defaults(name)) => self.defaults.get_mut(name),
            Some(Section::Proxy(name)) => self.proxies.get_mut(name),
        };
        let Some(proxy) = proxy else {
            return fail(line, format!("{keyword:?} is in an unknown section"));
        };
        let in_defaults = matches!(section, Some(Section::Defaults(_)));
        let mut skipped = Vec::new();
        match (keyword, rest) {
            ("bind" | "server", _) if in_defaults => {
                return fail(line, format!("{keyword} is not allowed in a defaults section"));
            }
            ("bind", [addresses, options @ ..]) => {
                for text in addresses.split(',') {
                    match parse_address(line, text)? {
                        Some(address) => proxy.binds.push((line, address)),
                        None => skipped.push(format!("bind {text}: not an IP address with one port")),
                    }
                }
                if !options.is_empty() {
                    skipped.push(format!("bind options {}", options.join(" ")));
                }
            }
            ("server", [name, text, options @ ..]) => match parse_address(line, text)? {
                None => skipped.push(format!(
                    "server {name}: {text} is not an IP address with one port; host names are not resolved"
                )),
                Some(address) => {
                    let mut server = Server {
                        name: (*name).into(),
                        address,
                        weight: 1,
                        disabled: false,
                    };
                    skipped.extend(server.options(line, options)?);
                    proxy.servers.push(server);
                }
            },
            ("timeout", [kind, duration, ..]) => {
                let duration = parse_duration(line, duration)?;
                match *kind {
                    "connect" => proxy.connect_timeout = Some(duration),
                    "server" => proxy.server_timeout = Some(duration),
                    "http-keep-alive" => proxy.keep_alive_timeout = Some(duration),
                    other => skipped.push(format!("timeout {other}")),
                }
            }
            ("retries", [count, ..]) => proxy.retries = Some(parse_number(line, count)?),
            ("default_backend", [name, ..]) => proxy.default_backend = Some((line, (*name).into())),
            ("bind" | "server" | "timeout" | "retries" | "default_backend", _) => {
                return fail(line, format!("{keyword} lacks a value"));
            }
            ("mode", ["http"]) => {}
            ("mode", [mode]) => skipped.push(format!("mode {mode}: only HTTP requests are served")),
            ("balance", _) => skipped.push("balance: the module decides where requests go".into()),
            _ => skipped.push(format!("{keyword} has no counterpart")),
        }
        for reason in skipped {
            self.skip(line, reason);
        }
        Ok(())
    }

    /// Builds the operator's file. Errors of the whole file are reported at `end`, one past its last line.
    fn write(mut self, end: usize) -> Result<Import, ImportError> {
        let accepts_clients = |key: &&String| {
            !self.proxies[*key].binds.is_empty() && self.proxies[*key].accepts_clients
        };
        let Some(front_key) = self.order.iter().find(accepts_clients).cloned() else {
            return fail(
                end,
                "the file has no frontend or listen section with a bind address that can be imported",
            );
        };
        let front = self.proxies[&front_key].clone();
        let mut used: Vec<(String, Proxy)> = Vec::new();
        if !front.servers.is_empty() {
            used.push((
                front_key.trim_start_matches("listen ").to_owned(),
                front.clone(),
            ));
        }
        if let Some((line, name)) = &front.default_backend {
            let backend = self
                .proxies
                .get(name)
                .or_else(|| self.proxies.get(&format!("listen {name}")));
            let Some(backend) = backend else {
                return fail(*line, format!("default_backend {name:?} is not defined"));
            };
            used.push((name.clone(), backend.clone()));
        }
        for key in self.order.clone() {
            let proxy = self.proxies[&key].clone();
            let is_used = used
                .iter()
                .any(|(name, p)| p.line == proxy.line || *name == key);
            if key != front_key && !is_used && !proxy.accepts_clients && role(&key) != "both" {
                used.push((key, proxy));
            } else if key != front_key && !is_used {
                self.skip(proxy.line, format!("{key}: not used by {front_key}"));
            }
        }
        for (line, address) in front.binds.iter().skip(1) {
            self.skip(
                *line,
                format!(
                    "bind {address}: the router listens on one address only, {}",
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
            return fail(
                end,
                format!("{front_key} has no server that can be imported"),
            );
        }
        let table = self.file(&front, &used, hosts);
        self.skipped.sort();
        let mut file = String::from(
            "# Imported from HAProxy's configuration. Start: whinhaven serve THIS-FILE\n",
        );
        for (line, reason) in &self.skipped {
            let _ = writeln!(
                file,
                "# line {line}, not carried over: {}",
                reason.replace(char::is_control, " ")
            );
        }
        file.push('\n');
        file += &toml::to_string(&table).map_err(|e| ImportError {
            line: end,
            message: e.to_string(),
        })?;
        Ok(Import {
            file,
            skipped: self.skipped,
        })
    }

    /// Builds the tables of the operator's file. `used` are the backends that the front uses, by name.
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
        // As in HAProxy, the backends' timeouts and retries come before the frontend's.
        let first_set = |get: fn(&Proxy) -> Option<u64>| {
            used.iter().find_map(|(_, p)| get(p)).or_else(|| get(front))
        };
        let give_up_us = first_set(|p| p.server_timeout)
            .unwrap_or(30_000_000)
            .max(1_000_000);
        let mut kinds: Vec<&str> = Vec::new();
        used.iter()
            .filter(|(_, p)| !p.servers.is_empty())
            .for_each(|(name, _)| kinds.push(name));
        let roles: Vec<Value> = kinds.iter().map(|k| Value::from(role(k))).collect();
        let names: Vec<Value> = kinds.iter().map(|k| Value::from(*k)).collect();
        let class = table(&[
            ("name", Value::from("default")),
            ("effect", Value::from("non_idempotent")),
            ("objective_us", int(give_up_us / 4)),
            ("give_up_us", int(give_up_us)),
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
                    (
                        "max_attempts",
                        int(first_set(|p| p.retries).unwrap_or(3) + 1),
                    ),
                    ("may_cancel", Value::from(true)),
                    ("retry_after", Value::from(true)),
                    ("max_retry_after_us", int(2_000_000)),
                    (
                        "connect_timeout_us",
                        int(first_set(|p| p.connect_timeout).unwrap_or(250_000)),
                    ),
                    (
                        "idle_close_us",
                        int(first_set(|p| p.keep_alive_timeout).unwrap_or(30_000_000)),
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
        if let Some(maxconn) = self.maxconn {
            file.insert(
                "limits".into(),
                table(&[("sockets", int((2 * maxconn + SPARE_SOCKETS).max(256)))]),
            );
        }
        file.insert("settings".into(), settings);
        file.insert("known".into(), known);
        file
    }
}

impl Server {
    /// Applies the options of a server line. Returns a description of those that are not carried over, if any.
    fn options(&mut self, line: usize, options: &[&str]) -> Result<Option<String>, ImportError> {
        let mut skipped = Vec::new();
        let mut options = options.iter();
        while let Some(option) = options.next() {
            match *option {
                "weight" => match options.next() {
                    Some(weight) => self.weight = parse_number(line, weight)?,
                    None => return fail(line, "weight has no value: add a number"),
                },
                "disabled" => self.disabled = true,
                "enabled" => {}
                other => skipped.push(other),
            }
        }
        // HAProxy sends no new requests to a server of weight 0.
        if self.weight == 0 {
            (self.weight, self.disabled) = (1, true);
        }
        Ok((!skipped.is_empty()).then(|| format!("server {}: {}", self.name, skipped.join(" "))))
    }
}
