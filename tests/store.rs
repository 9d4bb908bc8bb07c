//! Durability of the store on real files: killed processes, a full disk, two processes on one directory.

use std::io::{BufRead, BufReader, Write as _};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, Stdio};
use whinhaven::storage::{Store, StoreConfig, StoreError};

/// Removed at the end of a test.
struct Scratch(PathBuf);

impl Scratch {
    fn new(name: &str) -> Self {
        let path =
            std::env::temp_dir().join(format!("whinhaven-store-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        Scratch(path)
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

const DIRECTORY: &str = "WHINHAVEN_STORE_CHILD";
const FILL: &str = "WHINHAVEN_STORE_FILL";

/// Any record tells its index, so that one in the wrong place is seen.
fn record(index: u64) -> Vec<u8> {
    let length = [8, 90, 700, 5000][index as usize % 4];
    index
        .to_le_bytes()
        .into_iter()
        .cycle()
        .take(length)
        .collect()
}

/// The child of the tests below: appends until it is killed or its disk is full, and says what was acknowledged.
#[test]
fn child() {
    let Ok(directory) = std::env::var(DIRECTORY) else {
        return;
    };
    let (mut store, restored) = Store::open(Path::new(&directory), StoreConfig::default()).unwrap();
    // A snapshot makes room, so that the disk would never fill.
    let snapshots = std::env::var(FILL).is_err();
    let mut out = std::io::stdout();
    let mut next = restored.first_index + restored.records.len() as u64;
    loop {
        let records: Vec<_> = (next..=next + next % 3).map(record).collect();
        let wrote = store.append(next, &records).and_then(|()| {
            next += records.len() as u64;
            writeln!(out, "acknowledged {}", next - 1).unwrap();
            let state = (next - 1).to_le_bytes();
            if snapshots && next % 8 < 3 {
                store.install_snapshot(next - 2, &state)
            } else {
                store.set_hard_state(&state)
            }
        });
        if let Err(error) = wrote {
            writeln!(out, "refused, full: {}, {error}", error.is_out_of_space()).unwrap();
            return;
        }
    }
}

fn start(directory: &Path, shell: &str) -> (Child, BufReader<ChildStdout>) {
    let mut child = Command::new("sh")
        .args(["-c", shell, "sh"])
        .arg(std::env::current_exe().unwrap())
        .args(["child", "--exact", "--nocapture", "--test-threads=1"])
        .env(DIRECTORY, directory)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let out = BufReader::new(child.stdout.take().unwrap());
    (child, out)
}

/// The last index that the child said was acknowledged. The harness's own words may stand before it.
fn acknowledged(line: &str) -> Option<u64> {
    line.split("acknowledged ").nth(1)?.trim().parse().ok()
}

/// Everything up to `index` must be there, in its place; returns up to where it is.
fn holds(directory: &Path, index: u64) -> u64 {
    let (_, restored) = Store::open(directory, StoreConfig::default()).unwrap();
    assert!(!restored.newly_formatted);
    for (index, found) in (restored.first_index..).zip(&restored.records) {
        assert_eq!(*found, record(index), "record {index}");
    }
    let last = restored.first_index + restored.records.len() as u64 - 1;
    assert!(last >= index, "{index} acknowledged, {last} there");
    if let Some((at, data)) = restored.snapshot {
        assert_eq!(
            (restored.first_index, data),
            (at + 1, (at + 1).to_le_bytes().to_vec())
        );
    }
    last
}

#[test]
fn acknowledged_records_survive_a_killed_process() {
    let scratch = Scratch::new("killed");
    let mut last = 0;
    for kill in 0..25u64 {
        let (mut child, mut out) = start(&scratch.0, "exec \"$@\"");
        let mut line = String::new();
        let mut left = 1 + kill * 7 % 20;
        while left > 0 {
            line.clear();
            assert!(
                out.read_line(&mut line).unwrap() > 0,
                "the child ended by itself"
            );
            left -= u64::from(acknowledged(&line).is_some());
        }
        child.kill().unwrap();
        child.wait().unwrap();
        let told = out
            .lines()
            .map_while(Result::ok)
            .filter_map(|line| acknowledged(&line))
            .last();
        let told = told.or(acknowledged(&line)).unwrap();
        assert!(told > last, "it went on from where it was");
        last = holds(&scratch.0, told);
    }
    assert!(last > 200, "{last}");
}

#[test]
fn full_disk_rejects_writes_and_keeps_records() {
    let scratch = Scratch::new("full");
    // A limit on the file's size stands for the disk's.
    let (mut child, out) = start(
        &scratch.0,
        "export WHINHAVEN_STORE_FILL=1; trap '' XFSZ; ulimit -f 40; exec \"$@\"",
    );
    let lines: Vec<_> = out.lines().map(Result::unwrap).collect();
    assert!(child.wait().unwrap().success());
    let told = lines
        .iter()
        .rev()
        .find_map(|line| acknowledged(line))
        .unwrap();
    assert!(
        lines
            .iter()
            .any(|line| line.starts_with("refused, full: true")),
        "{lines:?}"
    );
    assert_eq!(holds(&scratch.0, told), told);
}

#[test]
fn directory_is_locked_by_one_process_and_an_emptied_one_gets_a_new_id() {
    let scratch = Scratch::new("lock");
    let settings = StoreConfig::default();
    let (mut store, first) = Store::open(&scratch.0, settings.clone()).unwrap();
    store.append(1, &[record(1)]).unwrap();
    let second = Store::open(&scratch.0, settings.clone()).unwrap_err();
    assert!(
        matches!(&second, StoreError::InUse(path) if *path == scratch.0),
        "{second}"
    );
    let (mut child, out) = start(&scratch.0, "exec \"$@\" 2>&1");
    assert!(!child.wait().unwrap().success());
    assert!(
        out.lines()
            .map(Result::unwrap)
            .any(|line| line.contains("InUse"))
    );
    drop(store);
    // A process that another test is just starting has a copy of the lock until it runs its own program.
    let (store, again) = loop {
        match Store::open(&scratch.0, settings.clone()) {
            Err(StoreError::InUse(_)) => std::thread::yield_now(),
            opened => break opened.unwrap(),
        }
    };
    assert_eq!(
        (first.newly_formatted, again.newly_formatted, again.store_id),
        (true, false, first.store_id)
    );
    assert_eq!(again.records, [record(1)]);
    drop(store);
    std::fs::remove_dir_all(&scratch.0).unwrap();
    let (_, emptied) = Store::open(&scratch.0, settings).unwrap();
    assert!(
        emptied.newly_formatted && emptied.records.is_empty() && emptied.store_id != first.store_id
    );
}
