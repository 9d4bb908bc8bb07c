//! Real conductors at growing sizes: what the fleet's part of each costs while nothing happens.

use super::Renewals;
use super::process::{processor_time_of, resident_bytes_of};
use crate::fleet::{Fleet, FleetSettings};
use std::error::Error;
use std::time::{Duration, Instant};

/// What one fleet of processes showed, for one process.
#[derive(Clone, Debug)]
pub struct RealFigures {
    /// Its size.
    pub members: usize,
    /// Processor time in a second, in microseconds.
    pub cpu_us: f64,
    /// Resident memory in bytes.
    pub memory: f64,
    /// Datagrams sent in a second.
    pub datagrams: f64,
    /// Their bytes.
    pub datagram_bytes: f64,
    /// Bytes sent over connections in a second.
    pub stream_bytes: f64,
}

/// Starts a fleet with the settings of service, some of its conductors as relays, and watches it for so long.
///
/// # Errors
/// It does not start, comes to no agreement, or can't be looked at.
pub fn measure_processes(
    members: usize,
    relays: usize,
    renewals: Renewals,
    seconds: u64,
    seed: u64,
) -> Result<RealFigures, Box<dyn Error>> {
    let settings = FleetSettings {
        conductors: members,
        voters: if members < 5 { 3 } else { 5 },
        relays,
        readers: 1,
        writers: 1,
        more: format!("[fleet.lease]\nrenewal = {:?}\n", renewals.name()),
        seed,
        ..FleetSettings::default()
    };
    let fleet = Fleet::start(settings)?;
    let names = fleet.names();
    let everybody: Vec<&str> = names.iter().map(String::as_str).collect();
    fleet.wait_for_views(&everybody)?;
    let processes: Vec<u32> = names
        .iter()
        .filter_map(|name| fleet.conductor(name).id())
        .collect();
    let processor_time = || {
        processes
            .iter()
            .map(|id| processor_time_of(*id))
            .sum::<Result<Duration, _>>()
    };
    let carried = || {
        let pairs = names
            .iter()
            .flat_map(|a| names.iter().map(move |b| (a, b)))
            .filter(|(a, b)| a != b);
        let each = pairs.map(|(a, b)| fleet.network.carried(a, b));
        each.fold([0; 5], |sum: [u64; 5], pair| {
            std::array::from_fn(|i| sum[i] + pair[i])
        })
    };
    let (cpu, before, begun) = (processor_time()?, carried(), Instant::now());
    std::thread::sleep(Duration::from_secs(seconds));
    let (cpu_after, after, time) = (processor_time()?, carried(), begun.elapsed().as_secs_f64());
    let each = |value: f64| value / time / members as f64;
    let rate = |field: usize| each((after[field] - before[field]) as f64);
    let memory: u64 = processes
        .iter()
        .map(|id| resident_bytes_of(&id.to_string()))
        .sum::<Result<_, _>>()?;
    Ok(RealFigures {
        members,
        cpu_us: each((cpu_after - cpu).as_micros() as f64),
        memory: memory as f64 / members as f64,
        datagrams: rate(0),
        datagram_bytes: rate(1),
        stream_bytes: rate(4),
    })
}
