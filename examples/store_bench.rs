//! Measures the store on this machine's disk: `cargo run --release --example store_bench -- [DIRECTORY]`.
//!
//! Without a directory it makes one for the time of the run under the system's directory for temporary files, which
//! may be in memory: then the figures are of no disk.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use whinhaven::storage::{Store, StoreConfig};

/// How long each row is measured.
const SPAN: Duration = Duration::from_secs(3);

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let parent = std::env::args()
        .nth(1)
        .map_or_else(std::env::temp_dir, PathBuf::from);
    let directory = parent.join(format!("store-bench-{}", std::process::id()));
    let result = measure(&directory);
    std::fs::remove_dir_all(&directory)?;
    result
}

fn measure(directory: &Path) -> Result<(), Box<dyn std::error::Error>> {
    println!("record batch  appends/s  records/s   p50 us   p99 us   max us");
    for bytes in [100, 1000] {
        for batch in [1, 8, 64] {
            let (mut store, _) = Store::open(
                &directory.join(format!("{bytes}-{batch}")),
                StoreConfig::default(),
            )?;
            let records = vec![vec![7; bytes]; batch];
            let mut took = Vec::new();
            let begin = Instant::now();
            while begin.elapsed() < SPAN {
                let next = store.next_index();
                // As the group does: a snapshot from time to time, not counted here.
                if store.log_length() > 8 << 20 {
                    store.install_snapshot(next - 1, &records[0])?;
                }
                let call = Instant::now();
                store.append(next, &records)?;
                took.push(call.elapsed().as_micros());
            }
            let each = took.len() as f64 / begin.elapsed().as_secs_f64();
            took.sort_unstable();
            let at = |part: f64| took[((took.len() - 1) as f64 * part) as usize];
            let (p50, p99, most) = (at(0.5), at(0.99), at(1.0));
            println!(
                "{bytes:6} {batch:5} {each:10.0} {:10.0} {p50:8} {p99:8} {most:8}",
                each * batch as f64
            );
        }
    }
    let path = directory.join("snapshot");
    let (mut store, _) = Store::open(&path, StoreConfig::default())?;
    let records: Vec<_> = (0..2000).map(|_| vec![7; 1000]).collect();
    store.append(1, &records)?;
    for bytes in [64 << 10, 1 << 20, 8 << 20] {
        let call = Instant::now();
        store.install_snapshot(0, &vec![7; bytes])?;
        println!(
            "snapshot of {bytes} bytes beside 2000 records of 1000: {} us",
            call.elapsed().as_micros()
        );
    }
    drop(store);
    let call = Instant::now();
    let (_, restored) = Store::open(&path, StoreConfig::default())?;
    println!(
        "opening that with {} records: {} us",
        restored.records.len(),
        call.elapsed().as_micros()
    );
    Ok(())
}
