//! The simulator's wire: parses batches of events, hosts one [`Policy`] for each router, writes the actions.
//!
//! Nothing is decided here and nothing is shared between the hosted instances.

use crate::routing::policy::Policy;
use crate::routing::types::*;
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;

/// Why the host stopped.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// A line that the wire does not allow.
    #[error("line {line}: {what}")]
    Malformed {
        /// Its number, from 1.
        line: u64,
        /// What is wrong, with the field and its value.
        what: String,
    },
    /// Reading or writing failed.
    #[error("wire: {0}")]
    Io(#[from] io::Error),
}

type Parsed<T> = Result<T, String>;

/// Serves the wire until the input ends.
///
/// # Errors
/// [`WireError::Malformed`] at the first line that can't be understood, or at an end of input inside a batch;
/// [`WireError::Io`] when reading or writing fails.
pub fn serve(input: impl BufRead, output: impl Write) -> Result<(), WireError> {
    let mut host = Host {
        instances: BTreeMap::new(),
        out: io::BufWriter::new(output),
    };
    let mut lines = Lines {
        input,
        number: 0,
        text: String::new(),
    };
    while lines.next()? {
        let opening = lines.text.clone();
        let mut fields = Fields::new(&opening);
        let now = match fields.text("message") {
            Ok("TICK") => fields.number("clock_us"),
            Ok(other) => Err(format!("message: expected TICK, found {other:?}")),
            Err(e) => Err(e),
        }
        .map_err(|what| lines.malformed(what))?;
        loop {
            if !lines.next()? {
                lines.number += 1;
                return Err(lines.malformed("end of input inside a batch: EOB missing".into()));
            }
            if lines.text == "EOB" {
                break;
            }
            host.event(now, &mut lines)?;
        }
        host.out.write_all(b"OK\n")?;
        host.out.flush()?;
    }
    Ok(())
}

struct Lines<R> {
    input: R,
    number: u64,
    text: String,
}

impl<R: BufRead> Lines<R> {
    fn next(&mut self) -> Result<bool, WireError> {
        self.text.clear();
        let mut bytes = Vec::new();
        if self.input.read_until(b'\n', &mut bytes)? == 0 {
            return Ok(false);
        }
        self.number += 1;
        if bytes.last() == Some(&b'\n') {
            bytes.pop();
        }
        self.text =
            String::from_utf8(bytes).map_err(|e| self.malformed(format!("not UTF-8: {e}")))?;
        Ok(true)
    }

    fn malformed(&self, what: String) -> WireError {
        WireError::Malformed {
            line: self.number,
            what,
        }
    }
}

struct Fields<'a> {
    message: &'a str,
    rest: std::str::Split<'a, char>,
}

impl<'a> Fields<'a> {
    fn new(line: &'a str) -> Self {
        Fields {
            message: line.split('\t').next().unwrap_or(""),
            rest: line.split('\t'),
        }
    }

    fn text(&mut self, field: &str) -> Parsed<&'a str> {
        self.rest
            .next()
            .ok_or_else(|| format!("{}: field {field} is missing", self.message))
    }

    fn optional(&mut self, field: &str) -> Parsed<Option<&'a str>> {
        Ok(Some(self.text(field)?).filter(|v| *v != "-" && !v.is_empty()))
    }

    fn maybe<T: std::str::FromStr>(&mut self, field: &str) -> Parsed<Option<T>> {
        let message = self.message;
        self.optional(field)?
            .map(|v| v.parse().map_err(|_| bad(message, field, v)))
            .transpose()
    }

    fn number<T: std::str::FromStr>(&mut self, field: &str) -> Parsed<T> {
        self.maybe(field)?
            .ok_or_else(|| bad(self.message, field, "-"))
    }

    fn count(&mut self, field: &str) -> Parsed<u64> {
        // Token counts are "numbers" on the wire and may come with a fraction.
        let value: f64 = self.maybe(field)?.unwrap_or(0.0);
        if value.is_finite() && value >= 0.0 {
            Ok(value as u64)
        } else {
            Err(bad(self.message, field, &value.to_string()))
        }
    }

    fn flag(&mut self, field: &str) -> Parsed<bool> {
        match self.optional(field)? {
            Some("1") => Ok(true),
            Some("0") | None => Ok(false),
            Some(v) => Err(bad(self.message, field, v)),
        }
    }

    fn report(&mut self) -> Parsed<Option<LoadReport>> {
        let Some(text) = self.optional("health_info")? else {
            return Ok(None);
        };
        read_report(text)
            .map(Some)
            .map_err(|pair| bad(self.message, "health_info", &pair))
    }
}

/// Reads a load report: name:value (or name=value) pairs set apart by commas; unknown names are skipped.
///
/// # Errors
/// The pair that can't be read.
pub fn read_report(text: &str) -> Result<LoadReport, String> {
    let mut report = LoadReport::default();
    for pair in text.split(',') {
        let (name, value) = pair.split_once([':', '=']).ok_or_else(|| pair.to_owned())?;
        let slot = match name.trim() {
            "busy_reqs" => &mut report.active_requests,
            "pending" => &mut report.queued_requests,
            "x0" => &mut report.memory_share,
            "x1" => &mut report.queued_tokens,
            _ => continue,
        };
        *slot = Some(value.trim().parse().map_err(|_| pair.to_owned())?);
    }
    // Waiting tokens are counted in thousands.
    report.queued_tokens = report.queued_tokens.map(|k| k * 1000.0);
    Ok(report)
}

fn bad(message: &str, field: &str, value: &str) -> String {
    format!("{message}: field {field} has the value {value:?}")
}

fn worker(text: &str) -> WorkerId {
    WorkerId(Arc::from(text))
}

struct Host<W: Write> {
    instances: BTreeMap<u32, Policy>,
    out: io::BufWriter<W>,
}

impl<W: Write> Host<W> {
    fn event<R: BufRead>(&mut self, now: Micros, lines: &mut Lines<R>) -> Result<(), WireError> {
        let text = lines.text.clone();
        let mut fields = Fields::new(&text);
        let parsed = (|| {
            let message = fields.text("message")?;
            let router: u32 = fields.number("router")?;
            if message == "INIT" {
                let seed = fields.number("nonce64")?;
                let settings = read_settings(fields.rest.filter_map(|f| f.split_once('=')))?;
                let mut policy = Policy::new(settings, seed);
                policy.handle(now, Event::SlowStart { allowed: true }, &mut Vec::new());
                self.instances.insert(router, policy);
                return Ok((router, None));
            }
            if !self.instances.contains_key(&router) {
                return Err(
                    bad(message, "router", &router.to_string()) + ", an instance that is not known"
                );
            }
            if message == "SHUTDOWN" {
                self.instances.remove(&router);
                return Ok((router, None));
            }
            Ok((router, Some(event(message, &mut fields)?)))
        })();
        let (router, incoming) = parsed.map_err(|what| lines.malformed(what))?;
        let event = match incoming {
            None => return Ok(()),
            Some(Incoming::Event(event)) => event,
            Some(Incoming::List { kind, count }) => {
                let mut entries = Vec::new();
                for _ in 0..count {
                    if !lines.next()? {
                        lines.number += 1;
                        return Err(
                            lines.malformed("end of input inside a batch: ENTRY missing".into())
                        );
                    }
                    let text = lines.text.clone();
                    entries.push(
                        entry(&mut Fields::new(&text)).map_err(|what| lines.malformed(what))?,
                    );
                }
                Event::EndpointsUpdated {
                    update: kind,
                    endpoints: entries,
                }
            }
        };
        let Some(policy) = self.instances.get_mut(&router) else {
            return Ok(());
        };
        let mut actions = Vec::new();
        match catch_unwind(AssertUnwindSafe(|| policy.handle(now, event, &mut actions))) {
            Ok(()) => {
                for action in actions {
                    write_action(&mut self.out, router, &action)?;
                }
            }
            Err(panic) => {
                let what = panic
                    .downcast_ref::<String>()
                    .map(String::as_str)
                    .or_else(|| panic.downcast_ref::<&str>().copied())
                    .unwrap_or("panic");
                writeln!(self.out, "EXCEPTION\t{router}\t{}", one_line(what))?;
            }
        }
        Ok(())
    }
}

enum Incoming {
    Event(Event),
    List { kind: EndpointUpdate, count: u64 },
}

fn event(message: &str, f: &mut Fields<'_>) -> Parsed<Incoming> {
    let event = match message {
        "MEMBERSHIP" => {
            let kind = match f.text("kind")? {
                "INCREMENTAL" => EndpointUpdate::Incremental,
                "FULL" => EndpointUpdate::Full,
                "SAVED" => EndpointUpdate::Restored,
                "FAILED" => EndpointUpdate::Failed,
                other => return Err(bad(message, "kind", other)),
            };
            f.maybe::<i64>("version")?;
            return Ok(Incoming::List {
                kind,
                count: f.maybe("members")?.unwrap_or(0),
            });
        }
        "ASK" => Event::RequestArrived(ask(f)?),
        "UNDER_WAY" => {
            let request = RequestId(f.number("txn")?);
            f.text("worker")?;
            let elapsed = f.number("spent_us")?;
            Event::StreamStarted {
                request,
                elapsed,
                attempt: AttemptIndex(f.number("hop")?),
            }
        }
        "SEAT_NEWS" => {
            let request = RequestId(f.number("txn")?);
            f.text("hop")?;
            let worker = worker(f.text("worker")?);
            Event::ReservationResult {
                request,
                worker,
                held: f.number::<u8>("kind")? == 1,
            }
        }
        "CLOSED_ATTEMPT" => {
            let request = RequestId(f.number("txn")?);
            let attempt = AttemptIndex(f.number("hop")?);
            f.text("worker")?;
            let outcome = outcome(f)?;
            let elapsed = f.maybe("spent_us")?.unwrap_or(0);
            let settled = f.flag("settled")?;
            let kept = f.count("detail")?;
            let outcome = if outcome == AttemptOutcome::Rejected && kept == 1 {
                AttemptOutcome::KvStateMissing
            } else {
                outcome
            };
            Event::AttemptCompleted(AttemptCompleted {
                request,
                attempt,
                outcome,
                elapsed,
                request_finished: settled,
                cached_tokens: kept,
                report: f.report()?,
            })
        }
        "CLIENT_LEFT" => Event::ClientDisconnected {
            request: RequestId(f.number("txn")?),
        },
        "ALARM" => Event::Timer(TimerId(f.number("name")?)),
        "PROBED" => {
            let worker = worker(f.text("worker")?);
            let outcome = outcome(f)?;
            f.text("spent_us")?;
            Event::HealthCheckCompleted {
                worker,
                outcome,
                report: f.report()?,
            }
        }
        "PEER_DATA" => {
            let from = f.number("src_peer")?;
            let hex = f.optional("payload")?.unwrap_or("");
            let payload = (0..hex.len())
                .step_by(2)
                .map(|i| {
                    hex.get(i..i + 2)
                        .and_then(|h| u8::from_str_radix(h, 16).ok())
                })
                .collect::<Option<Vec<u8>>>()
                .ok_or_else(|| bad(message, "payload", hex))?;
            Event::GossipReceived { from, payload }
        }
        other => return Err(format!("unknown message {other:?}")),
    };
    Ok(Incoming::Event(event))
}

fn ask(f: &mut Fields<'_>) -> Parsed<RequestSpec> {
    let request = RequestId(f.number("txn")?);
    let deadline = f.number("client_deadline_us")?;
    let session = f.optional("session_id")?.map(Arc::from);
    let tenant = f
        .optional("project")?
        .filter(|t| *t != "0")
        .map(String::from);
    let hint: Option<Micros> = f.maybe::<f64>("work_hint_us")?.map(|h| h as u64);
    let max_tokens = f.count("max_tokens")?;
    let prompt_tokens = f.count("prompt_tokens")?;
    let prefix_tokens = f.count("n_prefix")?;
    let prefix = f
        .optional("system_prompt")?
        .filter(|p| *p != "0")
        .map(Arc::from);
    let class = f.text("priority")?.to_owned();
    let bits: u64 = f.maybe("attrs")?.unwrap_or(0);
    let hint = hint.filter(|h| bits & 1 == 1 && *h > 0);
    Ok(RequestSpec {
        request,
        deadline,
        session,
        prefix,
        prefix_tokens,
        prompt_tokens,
        max_tokens,
        duration_hint: hint,
        class,
        tenant,
    })
}

fn outcome(f: &mut Fields<'_>) -> Parsed<AttemptOutcome> {
    Ok(match f.text("disposition")? {
        "served" => AttemptOutcome::Served,
        "half_done" => AttemptOutcome::Prefilled,
        "server_error" => AttemptOutcome::Error,
        "turned_away" => AttemptOutcome::Rejected,
        "no_answer" => AttemptOutcome::TimedOut,
        "no_connection" => AttemptOutcome::ConnectFailed,
        "connection_lost" => AttemptOutcome::ConnectionLost,
        "called_off" => AttemptOutcome::Cancelled,
        "not_sent" => AttemptOutcome::NotSent,
        other => return Err(bad(f.message, "disposition", other)),
    })
}

fn entry(f: &mut Fields<'_>) -> Parsed<Endpoint> {
    if f.text("message")? != "ENTRY" {
        return Err(format!("expected ENTRY, found {:?}", f.message));
    }
    let worker = worker(f.text("worker")?);
    let zone = f.text("campus")?.to_owned();
    let kind = f.text("shape")?.to_owned();
    let cell = f.maybe("cluster")?.unwrap_or(0);
    let status = match f.text("status")? {
        "in_service" => Status::Ready,
        "terminating" => Status::Draining,
        "terminated" => Status::Gone,
        other => return Err(bad("ENTRY", "status", other)),
    };
    let weight = f.maybe("scale")?.unwrap_or(1.0);
    let started = f.maybe("since_us")?.filter(|s| *s > 0);
    Ok(Endpoint {
        worker,
        zone,
        kind,
        cell,
        status,
        weight,
        started,
    })
}

struct Pairs<'a>(BTreeMap<&'a str, &'a str>);

impl Pairs<'_> {
    fn text(&self, key: &str) -> Parsed<&str> {
        self.0
            .get(key)
            .copied()
            .ok_or_else(|| format!("INIT: setting {key} is missing"))
    }

    fn get<T: std::str::FromStr>(&self, key: &str) -> Parsed<Option<T>> {
        self.0
            .get(key)
            .map(|v| v.parse().map_err(|_| bad("INIT", key, v)))
            .transpose()
    }

    fn need<T: std::str::FromStr>(&self, key: &str) -> Parsed<T> {
        self.get(key)?
            .ok_or_else(|| format!("INIT: setting {key} is missing"))
    }

    /// A number from `least` to `most`, if it is stated.
    fn number(&self, key: &str, least: f64, most: f64) -> Parsed<Option<f64>> {
        in_range(key, self.get(key)?, least, most)
    }

    /// The same of a list's item.
    fn nth_number(&self, key: &str, index: usize, least: f64, most: f64) -> Parsed<Option<f64>> {
        in_range(key, self.nth(key, index)?, least, most)
    }

    fn optional_micros(&self, key: &str) -> Parsed<Option<Micros>> {
        Ok(self.number(key, 0.0, MOST_MICROS)?.map(|v| v as Micros))
    }

    fn micros(&self, key: &str) -> Parsed<Micros> {
        self.optional_micros(key)?
            .ok_or_else(|| format!("INIT: setting {key} is missing"))
    }

    fn flag(&self, key: &str) -> Parsed<bool> {
        match self.0.get(key).copied() {
            Some("true" | "1") => Ok(true),
            Some("false" | "0") | None => Ok(false),
            Some(v) => Err(bad("INIT", key, v)),
        }
    }

    fn list(&self, key: &str) -> Vec<&str> {
        self.0
            .get(key)
            .map(|v| v.split(',').filter(|p| !p.is_empty()).collect())
            .unwrap_or_default()
    }

    fn nth<T: std::str::FromStr>(&self, key: &str, index: usize) -> Parsed<Option<T>> {
        self.list(key)
            .get(index)
            .map(|v| v.parse().map_err(|_| bad("INIT", key, v)))
            .transpose()
    }
}

/// The longest time that settings may state: some thirty years.
const MOST_MICROS: f64 = 1e15;
/// The largest memory, in tokens, that settings may state.
const MOST_MEMORY: f64 = 1e12;
/// The largest rate, in requests a second, and the largest multiple that settings may state.
const MOST_RATE: f64 = 1e9;

/// A figure that is no finite number from `least` to `most` would make nonsense of all that follows from it.
fn in_range(key: &str, value: Option<f64>, least: f64, most: f64) -> Parsed<Option<f64>> {
    match value {
        Some(v) if !(least..=most).contains(&v) => Err(bad("INIT", key, &v.to_string())),
        value => Ok(value),
    }
}

/// Reads the settings from path and value pairs, in the form of the wire's INIT. Unknown paths are skipped.
///
/// # Errors
/// A line that names the setting that is missing or has a value that can't be used.
pub fn read_settings<'a>(
    fields: impl Iterator<Item = (&'a str, &'a str)>,
) -> Result<RoutingConfig, String> {
    let pairs = Pairs(fields.collect());
    let mut kinds = Vec::new();
    for (i, name) in pairs.list("skus").into_iter().enumerate() {
        let role = match pairs.list("family_info.role_by_kind").get(i).copied() {
            Some("read") => Role::Prefill,
            Some("write") => Role::Decode,
            Some("both") | None => Role::Mixed,
            Some(v) => return Err(bad("INIT", "family_info.role_by_kind", v)),
        };
        let memory = pairs.nth_number("family_info.kv_tokens", i, 1.0, MOST_MEMORY)?;
        kinds.push(WorkerKind {
            name: name.to_owned(),
            role,
            memory_tokens: memory.map(|m| m as u64),
        });
    }
    let mut classes = Vec::new();
    for i in 0..pairs.need::<usize>("classes.count")? {
        let key = |name: &str| format!("classes.{i}.{name}");
        let effect = match pairs.text(&key("effect"))? {
            "read_like" => Idempotency::Idempotent,
            "non_idempotent" => Idempotency::NonIdempotent,
            "idempotency_key" => Idempotency::WithKey(match pairs.text(&key("dedup_scope"))? {
                "all" => DeduplicationScope::All,
                "zone" => DeduplicationScope::Zone,
                "cell" => DeduplicationScope::Cell,
                v => return Err(bad("INIT", &key("dedup_scope"), v)),
            }),
            v => return Err(bad("INIT", &key("effect"), v)),
        };
        // Zero: nothing is stated.
        let per_1000 = "family_info.aim_us_per_1000_prompt_tokens";
        let per_1000 = pairs.nth_number(per_1000, i, 0.0, MOST_MICROS)?;
        let token_aim = pairs.nth_number("family_info.token_aim_us", i, 0.0, MOST_MICROS)?;
        classes.push(RequestClass {
            name: pairs.text(&key("name"))?.to_owned(),
            idempotency: effect,
            deduplication_window: pairs
                .optional_micros(&key("repeat_window_us"))?
                .unwrap_or(0),
            ttft_objective: pairs.micros(&key("objective_us"))?,
            ttft_objective_per_1000_tokens: per_1000.unwrap_or(0.0) as Micros,
            inter_token_objective: token_aim.unwrap_or(0.0) as Micros,
            client_timeout: pairs.micros(&key("give_up_us"))?,
            priority_weight: pairs.number(&key("value"), 0.0, MOST_RATE)?.unwrap_or(1.0),
            late_value_share: pairs.number(&key("late_share"), 0.0, 1.0)?.unwrap_or(0.0),
        });
    }
    let mut tenants = Vec::new();
    for i in 0..pairs.get::<usize>("tenants.count")?.unwrap_or(0) {
        let quota = format!("tenants.{i}.quota_rps");
        let quota_per_s = pairs.number(&quota, f64::MIN_POSITIVE, MOST_RATE)?;
        tenants.push(Tenant {
            name: pairs.text(&format!("tenants.{i}.name"))?.to_owned(),
            quota_per_s: quota_per_s.ok_or_else(|| format!("INIT: setting {quota} is missing"))?,
        });
    }
    let reports = match pairs.0.get("load_report.how").copied() {
        Some("answers") => LoadReporting::Responses,
        Some("probe") => LoadReporting::HealthChecks,
        Some("none") | None => LoadReporting::None,
        Some(v) => return Err(bad("INIT", "load_report.how", v)),
    };
    let optional = |key: &str| pairs.optional_micros(key);
    let needed = |key: &str, least: f64, most: f64| {
        pairs
            .number(key, least, most)?
            .ok_or_else(|| format!("INIT: setting {key} is missing"))
    };
    Ok(RoutingConfig {
        index: pairs.get("self_index")?,
        routers: pairs.need::<u32>("replicas_of_me")?.max(1),
        zone: pairs.text("my_zone")?.to_owned(),
        kinds,
        classes,
        tenants,
        over_quota_weight: pairs
            .number("over_share_worth", 0.0, MOST_RATE)?
            .unwrap_or(1.0),
        load_reporting: reports,
        endpoints_require_subscription: pairs.text("registry_mode")? == "on_request",
        endpoint_update_limit: optional("rules.ask_within_us")?.unwrap_or(Micros::MAX),
        health_checks_allowed: pairs.flag("permissions.probes")?,
        gossip_allowed: pairs.flag("permissions.may_tell")?,
        cancellation_allowed: pairs.flag("permissions.may_cancel")?,
        hedging_allowed: pairs.flag("permissions.second_copies")?,
        decode_workers_prefill: pairs.flag("family_info.self_prefill")?,
        advises_retry_after: pairs.flag("permissions.retry_after")?,
        max_retry_after: optional("permissions.max_retry_after_us")?.unwrap_or(0),
        max_attempts: pairs.need("permissions.max_attempts")?,
        connect_timeout: optional("permissions.connect_timeout_us")?.unwrap_or(0),
        batch_interval: optional("tick_us")?.unwrap_or(0),
        kv_state_hold_limit: optional("family_info.release_us")?.unwrap_or(Micros::MAX),
        response_grace: optional("rules.answer_slack_us")?.unwrap_or(0),
        drain_grace: pairs.micros("rules.drain_grace_us")?,
        slow_start_initial_capacity: needed("rules.cold_from", 0.0, 1.0)?,
        slow_start_duration: pairs.micros("rules.cold_us")?,
        overload_factor: needed("rules.fall_multiple", f64::MIN_POSITIVE, MOST_RATE)?,
        overload_window: pairs.micros("rules.fall_us")?,
    })
}

fn one_line(text: &str) -> String {
    text.replace(['\n', '\r', '\t'], " ")
}

fn write_action(out: &mut impl Write, router: u32, action: &Action) -> io::Result<()> {
    let or_dash = |v: Option<Micros>| v.map_or_else(|| "-".to_owned(), |v| v.to_string());
    match action {
        Action::Send {
            request,
            worker,
            timeout,
            ..
        } => {
            writeln!(
                out,
                "DELIVER\t{router}\t{}\t{}\t{}",
                request.0,
                worker.0,
                or_dash(*timeout)
            )
        }
        Action::SendDenied {
            request,
            worker,
            denial: refusal,
        } => {
            writeln!(
                out,
                "LOG\t{router}\t{} not sent to {}: {refusal}",
                request.0, worker.0
            )
        }
        Action::Reject {
            request,
            retry_after,
            ..
        } => {
            writeln!(
                out,
                "DECLINE\t{router}\t{}\t{}",
                request.0,
                or_dash(*retry_after)
            )
        }
        Action::Fail { request, .. } => writeln!(out, "FAIL\t{router}\t{}", request.0),
        Action::Cancel { request, attempt } => {
            writeln!(out, "DROP_ATTEMPT\t{router}\t{}\t{}", request.0, attempt.0)
        }
        Action::Release { request, .. } => writeln!(out, "DROP_STATE\t{router}\t{}", request.0),
        Action::Timer { at, timer } => writeln!(out, "AFTER\t{router}\t{at}\t{}", timer.0),
        Action::Subscribe => writeln!(out, "TRACK\t{router}\t1"),
    }
}
