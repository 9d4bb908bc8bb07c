//! Adapter to the simulator's line protocol: parses batches of events, runs one [`Policy`] for each simulated router, and
//! writes the resulting actions.
//!
//! All decisions are made by the policies, which share no state.

use crate::routing::policy::Policy;
use crate::routing::types::*;
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;

/// The protocol session failed.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// A line of the input violates the protocol.
    #[error("line {line}: {message}")]
    Malformed {
        /// Number of the line, from 1.
        line: u64,
        /// What is invalid, with the field and its value.
        message: String,
    },
    /// Reading the input or writing the output failed.
    #[error("simulator connection: {0}")]
    Io(#[from] io::Error),
}

type Parsed<T> = Result<T, String>;

/// Serves the protocol until the end of the input.
///
/// # Errors
/// [`WireError::Malformed`] at the first invalid line, or if the input ends inside a batch;
/// [`WireError::Io`] if reading or writing fails.
pub fn serve(input: impl BufRead, output: impl Write) -> Result<(), WireError> {
    let mut simulator = Simulator {
        policies: BTreeMap::new(),
        output: io::BufWriter::new(output),
    };
    let mut lines = Lines {
        input,
        number: 0,
        text: String::new(),
    };
    while lines.next()? {
        let first_line = lines.text.clone();
        let mut fields = Fields::new(&first_line);
        let now = match fields.text("message") {
            Ok("TICK") => fields.number("clock_us"),
            Ok(other) => Err(format!("message: expected TICK, found {other:?}")),
            Err(e) => Err(e),
        }
        .map_err(|message| lines.malformed(message))?;
        loop {
            if !lines.next()? {
                lines.number += 1;
                return Err(lines.malformed("end of input inside a batch: EOB missing".into()));
            }
            if lines.text == "EOB" {
                break;
            }
            simulator.event(now, &mut lines)?;
        }
        simulator.output.write_all(b"OK\n")?;
        simulator.output.flush()?;
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

    fn malformed(&self, message: String) -> WireError {
        WireError::Malformed {
            line: self.number,
            message,
        }
    }
}

struct Fields<'a> {
    message: &'a str,
    remaining: std::str::Split<'a, char>,
}

impl<'a> Fields<'a> {
    fn new(line: &'a str) -> Self {
        Fields {
            message: line.split('\t').next().unwrap_or(""),
            remaining: line.split('\t'),
        }
    }

    fn text(&mut self, field: &str) -> Parsed<&'a str> {
        self.remaining
            .next()
            .ok_or_else(|| format!("{}: field {field} is missing", self.message))
    }

    fn optional(&mut self, field: &str) -> Parsed<Option<&'a str>> {
        Ok(Some(self.text(field)?).filter(|v| *v != "-" && !v.is_empty()))
    }

    fn optional_number<T: std::str::FromStr>(&mut self, field: &str) -> Parsed<Option<T>> {
        let message = self.message;
        self.optional(field)?
            .map(|v| v.parse().map_err(|_| invalid_field(message, field, v)))
            .transpose()
    }

    fn number<T: std::str::FromStr>(&mut self, field: &str) -> Parsed<T> {
        self.optional_number(field)?
            .ok_or_else(|| invalid_field(self.message, field, "-"))
    }

    fn count(&mut self, field: &str) -> Parsed<u64> {
        // The protocol sends token counts as numbers that may have a fraction.
        let value: f64 = self.optional_number(field)?.unwrap_or(0.0);
        if value.is_finite() && value >= 0.0 {
            Ok(value as u64)
        } else {
            Err(invalid_field(self.message, field, &value.to_string()))
        }
    }

    fn flag(&mut self, field: &str) -> Parsed<bool> {
        match self.optional(field)? {
            Some("1") => Ok(true),
            Some("0") | None => Ok(false),
            Some(v) => Err(invalid_field(self.message, field, v)),
        }
    }

    fn load_report(&mut self) -> Parsed<Option<LoadReport>> {
        let Some(text) = self.optional("health_info")? else {
            return Ok(None);
        };
        read_report(text)
            .map(Some)
            .map_err(|pair| invalid_field(self.message, "health_info", &pair))
    }
}

/// Parses a load report: `name:value` or `name=value` pairs, separated by commas. Unknown names are ignored.
///
/// # Errors
/// A pair can't be parsed; the text is that pair.
pub fn read_report(text: &str) -> Result<LoadReport, String> {
    let mut report = LoadReport::default();
    for pair in text.split(',') {
        let (name, value) = pair.split_once([':', '=']).ok_or_else(|| pair.to_owned())?;
        let metric = match name.trim() {
            "busy_reqs" => &mut report.active_requests,
            "pending" => &mut report.queued_requests,
            "x0" => &mut report.memory_share,
            "x1" => &mut report.queued_tokens,
            _ => continue,
        };
        *metric = Some(value.trim().parse().map_err(|_| pair.to_owned())?);
    }
    // The report counts queued tokens in thousands.
    report.queued_tokens = report.queued_tokens.map(|k| k * 1000.0);
    Ok(report)
}

fn invalid_field(message: &str, field: &str, value: &str) -> String {
    format!("{message}: field {field} has the invalid value {value:?}")
}

fn worker_id(text: &str) -> WorkerId {
    WorkerId(Arc::from(text))
}

/// The simulated routers' policies, by router number.
struct Simulator<W: Write> {
    policies: BTreeMap<u32, Policy>,
    output: io::BufWriter<W>,
}

impl<W: Write> Simulator<W> {
    /// Handles the event on the current line; an endpoint list continues on the lines after it.
    fn event<R: BufRead>(&mut self, now: Micros, lines: &mut Lines<R>) -> Result<(), WireError> {
        let text = lines.text.clone();
        let mut fields = Fields::new(&text);
        let parsed = (|| {
            let message = fields.text("message")?;
            let router: u32 = fields.number("router")?;
            if message == "INIT" {
                let seed = fields.number("nonce64")?;
                let settings = read_settings(fields.remaining.filter_map(|f| f.split_once('=')))?;
                let mut policy = Policy::new(settings, seed);
                policy.handle(now, Event::SlowStart { allowed: true }, &mut Vec::new());
                self.policies.insert(router, policy);
                return Ok((router, None));
            }
            if !self.policies.contains_key(&router) {
                return Err(invalid_field(message, "router", &router.to_string())
                    + ": no INIT was received for this router");
            }
            if message == "SHUTDOWN" {
                self.policies.remove(&router);
                return Ok((router, None));
            }
            Ok((router, Some(parse_event(message, &mut fields)?)))
        })();
        let (router, parsed_event) = parsed.map_err(|message| lines.malformed(message))?;
        let event = match parsed_event {
            None => return Ok(()),
            Some(ParsedEvent::Complete(event)) => event,
            Some(ParsedEvent::EndpointList { update, count }) => {
                let mut endpoints = Vec::new();
                for _ in 0..count {
                    if !lines.next()? {
                        lines.number += 1;
                        return Err(
                            lines.malformed("end of input inside a batch: ENTRY missing".into())
                        );
                    }
                    let text = lines.text.clone();
                    endpoints.push(
                        parse_endpoint(&mut Fields::new(&text))
                            .map_err(|message| lines.malformed(message))?,
                    );
                }
                Event::EndpointsUpdated { update, endpoints }
            }
        };
        let Some(policy) = self.policies.get_mut(&router) else {
            return Ok(());
        };
        let mut actions = Vec::new();
        match catch_unwind(AssertUnwindSafe(|| policy.handle(now, event, &mut actions))) {
            Ok(()) => {
                for action in actions {
                    write_action(&mut self.output, router, &action)?;
                }
            }
            Err(panic) => {
                let message = panic
                    .downcast_ref::<String>()
                    .map(String::as_str)
                    .or_else(|| panic.downcast_ref::<&str>().copied())
                    .unwrap_or("panic");
                writeln!(self.output, "EXCEPTION\t{router}\t{}", one_line(message))?;
            }
        }
        Ok(())
    }
}

enum ParsedEvent {
    Complete(Event),
    /// The endpoints follow, one on each of the next `count` lines.
    EndpointList {
        update: EndpointUpdate,
        count: u64,
    },
}

fn parse_event(message: &str, fields: &mut Fields<'_>) -> Parsed<ParsedEvent> {
    let event = match message {
        "MEMBERSHIP" => {
            let update = match fields.text("kind")? {
                "INCREMENTAL" => EndpointUpdate::Incremental,
                "FULL" => EndpointUpdate::Full,
                "SAVED" => EndpointUpdate::Restored,
                "FAILED" => EndpointUpdate::Failed,
                other => return Err(invalid_field(message, "kind", other)),
            };
            fields.optional_number::<i64>("version")?;
            return Ok(ParsedEvent::EndpointList {
                update,
                count: fields.optional_number("members")?.unwrap_or(0),
            });
        }
        "ASK" => Event::RequestArrived(parse_request(fields)?),
        "UNDER_WAY" => {
            let request = RequestId(fields.number("txn")?);
            fields.text("worker")?;
            let elapsed = fields.number("spent_us")?;
            Event::StreamStarted {
                request,
                elapsed,
                attempt: AttemptIndex(fields.number("hop")?),
            }
        }
        "SEAT_NEWS" => {
            let request = RequestId(fields.number("txn")?);
            fields.text("hop")?;
            let worker = worker_id(fields.text("worker")?);
            Event::ReservationResult {
                request,
                worker,
                held: fields.number::<u8>("kind")? == 1,
            }
        }
        "CLOSED_ATTEMPT" => {
            let request = RequestId(fields.number("txn")?);
            let attempt = AttemptIndex(fields.number("hop")?);
            fields.text("worker")?;
            let outcome = parse_outcome(fields)?;
            let elapsed = fields.optional_number("spent_us")?.unwrap_or(0);
            let settled = fields.flag("settled")?;
            let detail = fields.count("detail")?;
            // `detail` is the number of cached tokens, except in a rejection, where 1 stands for missing KV state.
            let outcome = if outcome == AttemptOutcome::Rejected && detail == 1 {
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
                cached_tokens: detail,
                report: fields.load_report()?,
            })
        }
        "CLIENT_LEFT" => Event::ClientDisconnected {
            request: RequestId(fields.number("txn")?),
        },
        "ALARM" => Event::Timer(TimerId(fields.number("name")?)),
        "PROBED" => {
            let worker = worker_id(fields.text("worker")?);
            let outcome = parse_outcome(fields)?;
            fields.text("spent_us")?;
            Event::HealthCheckCompleted {
                worker,
                outcome,
                report: fields.load_report()?,
            }
        }
        "PEER_DATA" => {
            let from = fields.number("src_peer")?;
            let hex = fields.optional("payload")?.unwrap_or("");
            let payload = (0..hex.len())
                .step_by(2)
                .map(|i| {
                    hex.get(i..i + 2)
                        .and_then(|h| u8::from_str_radix(h, 16).ok())
                })
                .collect::<Option<Vec<u8>>>()
                .ok_or_else(|| invalid_field(message, "payload", hex))?;
            Event::GossipReceived { from, payload }
        }
        other => return Err(format!("unknown message {other:?}")),
    };
    Ok(ParsedEvent::Complete(event))
}

fn parse_request(fields: &mut Fields<'_>) -> Parsed<RequestSpec> {
    let request = RequestId(fields.number("txn")?);
    let deadline = fields.number("client_deadline_us")?;
    let session = fields.optional("session_id")?.map(Arc::from);
    let tenant = fields
        .optional("project")?
        .filter(|t| *t != "0")
        .map(String::from);
    let hint: Option<Micros> = fields
        .optional_number::<f64>("work_hint_us")?
        .map(|h| h as u64);
    let max_tokens = fields.count("max_tokens")?;
    let prompt_tokens = fields.count("prompt_tokens")?;
    let prefix_tokens = fields.count("n_prefix")?;
    let prefix = fields
        .optional("system_prompt")?
        .filter(|p| *p != "0")
        .map(Arc::from);
    let class = fields.text("priority")?.to_owned();
    let attributes: u64 = fields.optional_number("attrs")?.unwrap_or(0);
    // Bit 0 states that the hint is valid.
    let hint = hint.filter(|h| attributes & 1 == 1 && *h > 0);
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

fn parse_outcome(fields: &mut Fields<'_>) -> Parsed<AttemptOutcome> {
    Ok(match fields.text("disposition")? {
        "served" => AttemptOutcome::Served,
        "half_done" => AttemptOutcome::Prefilled,
        "server_error" => AttemptOutcome::Error,
        "turned_away" => AttemptOutcome::Rejected,
        "no_answer" => AttemptOutcome::TimedOut,
        "no_connection" => AttemptOutcome::ConnectFailed,
        "connection_lost" => AttemptOutcome::ConnectionLost,
        "called_off" => AttemptOutcome::Cancelled,
        "not_sent" => AttemptOutcome::NotSent,
        other => return Err(invalid_field(fields.message, "disposition", other)),
    })
}

fn parse_endpoint(fields: &mut Fields<'_>) -> Parsed<Endpoint> {
    if fields.text("message")? != "ENTRY" {
        return Err(format!("expected ENTRY, found {:?}", fields.message));
    }
    let worker = worker_id(fields.text("worker")?);
    let zone = fields.text("campus")?.to_owned();
    let kind = fields.text("shape")?.to_owned();
    let cell = fields.optional_number("cluster")?.unwrap_or(0);
    let status = match fields.text("status")? {
        "in_service" => Status::Ready,
        "terminating" => Status::Draining,
        "terminated" => Status::Gone,
        other => return Err(invalid_field("ENTRY", "status", other)),
    };
    let weight = fields.optional_number("scale")?.unwrap_or(1.0);
    let started = fields.optional_number("since_us")?.filter(|s| *s > 0);
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

/// Settings by path.
struct SettingPairs<'a>(BTreeMap<&'a str, &'a str>);

impl SettingPairs<'_> {
    fn text(&self, key: &str) -> Parsed<&str> {
        self.0
            .get(key)
            .copied()
            .ok_or_else(|| format!("settings: field {key} is missing"))
    }

    fn optional<T: std::str::FromStr>(&self, key: &str) -> Parsed<Option<T>> {
        self.0
            .get(key)
            .map(|v| v.parse().map_err(|_| invalid_field("settings", key, v)))
            .transpose()
    }

    fn required<T: std::str::FromStr>(&self, key: &str) -> Parsed<T> {
        self.optional(key)?
            .ok_or_else(|| format!("settings: field {key} is missing"))
    }

    /// A number from `min` to `max`; `None` if the setting is absent.
    fn number(&self, key: &str, min: f64, max: f64) -> Parsed<Option<f64>> {
        in_range(key, self.optional(key)?, min, max)
    }

    /// An item of a list of numbers from `min` to `max`; `None` if the setting or the item is absent.
    fn nth_number(&self, key: &str, index: usize, min: f64, max: f64) -> Parsed<Option<f64>> {
        in_range(key, self.nth(key, index)?, min, max)
    }

    fn optional_micros(&self, key: &str) -> Parsed<Option<Micros>> {
        Ok(self.number(key, 0.0, MAX_MICROS)?.map(|v| v as Micros))
    }

    fn micros(&self, key: &str) -> Parsed<Micros> {
        self.optional_micros(key)?
            .ok_or_else(|| format!("settings: field {key} is missing"))
    }

    fn flag(&self, key: &str) -> Parsed<bool> {
        match self.0.get(key).copied() {
            Some("true" | "1") => Ok(true),
            Some("false" | "0") | None => Ok(false),
            Some(v) => Err(invalid_field("settings", key, v)),
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
            .map(|v| v.parse().map_err(|_| invalid_field("settings", key, v)))
            .transpose()
    }
}

/// Largest duration in settings, about 30 years, in microseconds.
const MAX_MICROS: f64 = 1e15;
/// Largest KV-state memory of a worker in settings, in tokens.
const MAX_MEMORY_TOKENS: f64 = 1e12;
/// Largest rate (in requests per second), weight or factor in settings.
const MAX_RATE: f64 = 1e9;

/// Rejects a number that is not finite or not from `min` to `max`, since all estimates based on it would be meaningless.
fn in_range(key: &str, value: Option<f64>, min: f64, max: f64) -> Parsed<Option<f64>> {
    match value {
        Some(v) if !(min..=max).contains(&v) => Err(invalid_field("settings", key, &v.to_string())),
        value => Ok(value),
    }
}

/// Parses settings from path and value pairs, as in the protocol's INIT message. Unknown paths are ignored.
///
/// # Errors
/// A setting is missing or invalid; the text is one line that names it.
pub fn read_settings<'a>(
    fields: impl Iterator<Item = (&'a str, &'a str)>,
) -> Result<RoutingConfig, String> {
    let pairs = SettingPairs(fields.collect());
    let mut kinds = Vec::new();
    for (i, name) in pairs.list("skus").into_iter().enumerate() {
        let role = match pairs.list("family_info.role_by_kind").get(i).copied() {
            Some("read") => Role::Prefill,
            Some("write") => Role::Decode,
            Some("both") | None => Role::Mixed,
            Some(v) => return Err(invalid_field("settings", "family_info.role_by_kind", v)),
        };
        let memory = pairs.nth_number("family_info.kv_tokens", i, 1.0, MAX_MEMORY_TOKENS)?;
        kinds.push(WorkerKind {
            name: name.to_owned(),
            role,
            memory_tokens: memory.map(|m| m as u64),
        });
    }
    let mut classes = Vec::new();
    for i in 0..pairs.required::<usize>("classes.count")? {
        let key = |name: &str| format!("classes.{i}.{name}");
        let idempotency = match pairs.text(&key("effect"))? {
            "read_like" => Idempotency::Idempotent,
            "non_idempotent" => Idempotency::NonIdempotent,
            "idempotency_key" => Idempotency::WithKey(match pairs.text(&key("dedup_scope"))? {
                "all" => DeduplicationScope::All,
                "zone" => DeduplicationScope::Zone,
                "cell" => DeduplicationScope::Cell,
                v => return Err(invalid_field("settings", &key("dedup_scope"), v)),
            }),
            v => return Err(invalid_field("settings", &key("effect"), v)),
        };
        // 0 stands for an absent objective.
        let per_1000_key = "family_info.aim_us_per_1000_prompt_tokens";
        let per_1000 = pairs.nth_number(per_1000_key, i, 0.0, MAX_MICROS)?;
        let inter_token_objective =
            pairs.nth_number("family_info.token_aim_us", i, 0.0, MAX_MICROS)?;
        classes.push(RequestClass {
            name: pairs.text(&key("name"))?.to_owned(),
            idempotency,
            deduplication_window: pairs
                .optional_micros(&key("repeat_window_us"))?
                .unwrap_or(0),
            ttft_objective: pairs.micros(&key("objective_us"))?,
            ttft_objective_per_1000_tokens: per_1000.unwrap_or(0.0) as Micros,
            inter_token_objective: inter_token_objective.unwrap_or(0.0) as Micros,
            client_timeout: pairs.micros(&key("give_up_us"))?,
            priority_weight: pairs.number(&key("value"), 0.0, MAX_RATE)?.unwrap_or(1.0),
            late_value_share: pairs.number(&key("late_share"), 0.0, 1.0)?.unwrap_or(0.0),
        });
    }
    let mut tenants = Vec::new();
    for i in 0..pairs.optional::<usize>("tenants.count")?.unwrap_or(0) {
        let quota_key = format!("tenants.{i}.quota_rps");
        let quota_per_s = pairs.number(&quota_key, f64::MIN_POSITIVE, MAX_RATE)?;
        tenants.push(Tenant {
            name: pairs.text(&format!("tenants.{i}.name"))?.to_owned(),
            quota_per_s: quota_per_s
                .ok_or_else(|| format!("settings: field {quota_key} is missing"))?,
        });
    }
    let load_reporting = match pairs.0.get("load_report.how").copied() {
        Some("answers") => LoadReporting::Responses,
        Some("probe") => LoadReporting::HealthChecks,
        Some("none") | None => LoadReporting::None,
        Some(v) => return Err(invalid_field("settings", "load_report.how", v)),
    };
    let optional_micros = |key: &str| pairs.optional_micros(key);
    let required_number = |key: &str, min: f64, max: f64| {
        pairs
            .number(key, min, max)?
            .ok_or_else(|| format!("settings: field {key} is missing"))
    };
    Ok(RoutingConfig {
        index: pairs.optional("self_index")?,
        routers: pairs.required::<u32>("replicas_of_me")?.max(1),
        zone: pairs.text("my_zone")?.to_owned(),
        kinds,
        classes,
        tenants,
        over_quota_weight: pairs
            .number("over_share_worth", 0.0, MAX_RATE)?
            .unwrap_or(1.0),
        load_reporting,
        endpoints_require_subscription: pairs.text("registry_mode")? == "on_request",
        endpoint_update_limit: optional_micros("rules.ask_within_us")?.unwrap_or(Micros::MAX),
        health_checks_allowed: pairs.flag("permissions.probes")?,
        gossip_allowed: pairs.flag("permissions.may_tell")?,
        cancellation_allowed: pairs.flag("permissions.may_cancel")?,
        hedging_allowed: pairs.flag("permissions.second_copies")?,
        decode_workers_prefill: pairs.flag("family_info.self_prefill")?,
        advises_retry_after: pairs.flag("permissions.retry_after")?,
        max_retry_after: optional_micros("permissions.max_retry_after_us")?.unwrap_or(0),
        max_attempts: pairs.required("permissions.max_attempts")?,
        connect_timeout: optional_micros("permissions.connect_timeout_us")?.unwrap_or(0),
        batch_interval: optional_micros("tick_us")?.unwrap_or(0),
        kv_state_hold_limit: optional_micros("family_info.release_us")?.unwrap_or(Micros::MAX),
        response_grace: optional_micros("rules.answer_slack_us")?.unwrap_or(0),
        drain_grace: pairs.micros("rules.drain_grace_us")?,
        slow_start_initial_capacity: required_number("rules.cold_from", 0.0, 1.0)?,
        slow_start_duration: pairs.micros("rules.cold_us")?,
        overload_factor: required_number("rules.fall_multiple", f64::MIN_POSITIVE, MAX_RATE)?,
        overload_window: pairs.micros("rules.fall_us")?,
    })
}

fn one_line(text: &str) -> String {
    text.replace(['\n', '\r', '\t'], " ")
}

fn write_action(output: &mut impl Write, router: u32, action: &Action) -> io::Result<()> {
    let or_dash = |v: Option<Micros>| v.map_or_else(|| "-".to_owned(), |v| v.to_string());
    match action {
        Action::Send {
            request,
            worker,
            timeout,
            ..
        } => {
            writeln!(
                output,
                "DELIVER\t{router}\t{}\t{}\t{}",
                request.0,
                worker.0,
                or_dash(*timeout)
            )
        }
        Action::SendDenied {
            request,
            worker,
            denial,
        } => {
            writeln!(
                output,
                "LOG\t{router}\t{} not sent to {}: {denial}",
                request.0, worker.0
            )
        }
        Action::Reject {
            request,
            retry_after,
            ..
        } => {
            writeln!(
                output,
                "DECLINE\t{router}\t{}\t{}",
                request.0,
                or_dash(*retry_after)
            )
        }
        Action::Fail { request, .. } => writeln!(output, "FAIL\t{router}\t{}", request.0),
        Action::Cancel { request, attempt } => {
            writeln!(
                output,
                "DROP_ATTEMPT\t{router}\t{}\t{}",
                request.0, attempt.0
            )
        }
        Action::Release { request, .. } => writeln!(output, "DROP_STATE\t{router}\t{}", request.0),
        Action::Timer { at, timer } => writeln!(output, "AFTER\t{router}\t{at}\t{}", timer.0),
        Action::Subscribe => writeln!(output, "TRACK\t{router}\t1"),
    }
}
