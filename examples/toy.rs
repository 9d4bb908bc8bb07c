//! A toy fleet on loopback: a reader, a writer and a tool side, to try whinhaven with. See examples/README.md. They are
//! the lab's stand-ins; what they do is printed as it happens.

use std::sync::Arc;
use whinhaven_lab::history::{History, STUCK};
use whinhaven_lab::hosts::{Host, HostRole, HostSettings, States};
use whinhaven_lab::tools::ToolSide;

fn main() -> std::io::Result<()> {
    let (history, states) = (History::new(), Arc::new(States::default()));
    let host = |name: &str, role, port: u16, tokens_per_s| {
        let quick = HostSettings::quick(name, role, ([127, 0, 0, 1], port).into());
        Host::start(
            HostSettings {
                tokens_per_s,
                ..quick
            },
            states.clone(),
            history.clone(),
        )
    };
    let _reader = host("reader-1", HostRole::Reader, 9101, 0.0)?;
    let _writer = host("writer-1", HostRole::Writer, 9201, 2.0)?;
    let _tool = ToolSide::start(([127, 0, 0, 1], 9300).into(), false, history.clone())?;
    println!("toy fleet: reader 127.0.0.1:9101, writer 127.0.0.1:9201, tools 127.0.0.1:9300");
    let mut told = 0;
    loop {
        if history.wait_for(told, STUCK, |_| true).is_ok() {
            for record in history.since(told) {
                println!("{record}");
                told += 1;
            }
        }
    }
}
