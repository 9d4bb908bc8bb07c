//! Log output on standard error: plain text, or one JSON object per line with the key-values of the event.

use clap::ValueEnum;
use log::kv::{Error, Key, Value, VisitSource, VisitValue};
use serde_json::{Map, Value as Json};
use std::io::Write;
use whinhaven::fleet::transport::history::{
    ACTS_TARGET, BEGINS_TARGET, RENEWALS_TARGET, WORK_TARGET,
};

/// How log lines are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    /// Plain text with time, level and module in front.
    Text,
    /// One JSON object per line: `time`, `level`, `target`, `message`, and the key-values of the event.
    Json,
}

/// Installs the global logger. `RUST_LOG` overrides the default filter.
pub fn start(format: LogFormat) {
    // Events that recur every period or request are meant for programs, so the text format omits them by default.
    let text_filter = format!(
        "info,{RENEWALS_TARGET}=warn,{ACTS_TARGET}=warn,{BEGINS_TARGET}=warn,{WORK_TARGET}=warn"
    );
    let default = if format == LogFormat::Json {
        "info"
    } else {
        &text_filter
    };
    let mut builder =
        env_logger::Builder::from_env(env_logger::Env::default().default_filter_or(default));
    if format == LogFormat::Json {
        builder.format(|out, record| {
            let time = out.timestamp_micros().to_string();
            let mut line = json_object(record, &time);
            line.push(b'\n');
            out.write_all(&line)
        });
    }
    builder.init();
}

fn json_object(record: &log::Record, time: &str) -> Vec<u8> {
    let mut fields = Fields(Map::new());
    for (name, text) in [
        ("time", time),
        ("level", record.level().as_str()),
        ("target", record.target()),
    ] {
        fields.0.insert(name.into(), text.into());
    }
    fields
        .0
        .insert("message".into(), record.args().to_string().into());
    // If a key-value can't be converted, the line is written without it and those after it.
    let _ = record.key_values().visit(&mut fields);
    serde_json::to_vec(&fields.0).unwrap_or_default()
}

struct Fields(Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let mut converted = JsonValue(Json::Null);
        value.visit(&mut converted)?;
        self.0.insert(key.as_str().to_owned(), converted.0);
        Ok(())
    }
}

struct JsonValue(Json);

impl<'v> VisitValue<'v> for JsonValue {
    fn visit_any(&mut self, value: Value) -> Result<(), Error> {
        self.0 = value.to_string().into();
        Ok(())
    }
    fn visit_null(&mut self) -> Result<(), Error> {
        self.0 = Json::Null;
        Ok(())
    }
    fn visit_u64(&mut self, value: u64) -> Result<(), Error> {
        self.0 = value.into();
        Ok(())
    }
    fn visit_i64(&mut self, value: i64) -> Result<(), Error> {
        self.0 = value.into();
        Ok(())
    }
    fn visit_f64(&mut self, value: f64) -> Result<(), Error> {
        self.0 = value.into();
        Ok(())
    }
    fn visit_bool(&mut self, value: bool) -> Result<(), Error> {
        self.0 = value.into();
        Ok(())
    }
    fn visit_str(&mut self, value: &str) -> Result<(), Error> {
        self.0 = value.into();
        Ok(())
    }
}

#[cfg(test)]
mod tests;
