//! Conductors as processes: started by an operator's file, signalled, killed, and started again from their disks.

use crate::history::{History, NotSeen, Record, STUCK};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use std::ffi::OsString;
use std::io::{BufRead, BufReader, Write};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::SystemTime;

/// Names the program to start instead of the one built from these sources.
pub const PROGRAM: &str = "WHINHAVEN_BIN";

/// The conductor's program: what [`PROGRAM`] names, or the one beside this executable, built first where it is
/// missing or older than its sources.
///
/// # Panics
/// It can't be built.
pub fn program() -> &'static Path {
    static FOUND: OnceLock<PathBuf> = OnceLock::new();
    FOUND.get_or_init(|| std::env::var_os(PROGRAM).map_or_else(built, PathBuf::from))
}

fn built() -> PathBuf {
    let program = format!("whinhaven{}", std::env::consts::EXE_SUFFIX);
    build(&program, &["--workspace", "--bin", "whinhaven"], "src")
}

/// The library that makes a conductor's system calls fail (LD_PRELOAD), built first where it is missing or old.
///
/// # Panics
/// It can't be built.
pub fn fault_shim() -> PathBuf {
    build(
        "libwhinhaven_fault_shim.so",
        &["--package", "whinhaven-fault-shim"],
        "lab/shim/src",
    )
}

/// The wall clock of processes that run with the fault shim.
pub struct WallClock {
    folder: Folder,
}

impl WallClock {
    /// A clock that is right.
    ///
    /// # Errors
    /// The file that drives it can't be written.
    pub fn new() -> std::io::Result<WallClock> {
        let clock = WallClock {
            folder: Folder::temporary()?,
        };
        clock.step(0)?;
        Ok(clock)
    }

    /// From now on it is so many seconds ahead.
    ///
    /// # Errors
    /// The file that drives it can't be written.
    pub fn step(&self, seconds: i64) -> std::io::Result<()> {
        // In one step: processes read it at any moment.
        let new = self.folder.path().join("new");
        std::fs::write(&new, seconds.to_string())?;
        std::fs::rename(&new, self.file())
    }

    /// What a process has to find in its environment, beside the shim itself.
    pub fn variable(&self) -> (&'static str, OsString) {
        ("FAULT_SHIM_WALL", self.file().into())
    }

    fn file(&self) -> PathBuf {
        self.folder.path().join("step")
    }
}

/// A file of this build, beside this executable, made anew where it is older than the sources in `folder`.
fn build(file: &str, what: &[&str], sources: &str) -> PathBuf {
    let me = std::env::current_exe().expect("an executable knows its path");
    // Tests lie in `deps`, one below.
    let folder = me
        .ancestors()
        .skip(1)
        .find(|d| !d.ends_with("deps"))
        .expect("a folder")
        .to_owned();
    let made = folder.join(file);
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let changed = |path: &Path| path.metadata().and_then(|m| m.modified()).ok();
    let built = changed(&made);
    let newest = newest(&root.join(sources)).max(changed(&root.join("Cargo.toml")));
    if built.is_none() || built < newest {
        let mut cargo = Command::new(std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into()));
        // With the features that this lab was built with, so that nothing is built twice.
        cargo.args(["build", "--quiet", "--locked"]).args(what);
        cargo.arg("--manifest-path").arg(root.join("Cargo.toml"));
        cargo
            .arg("--target-dir")
            .arg(folder.parent().expect("profiles have a folder above"));
        if folder.ends_with("release") {
            cargo.arg("--release");
        }
        assert!(
            cargo.status().is_ok_and(|s| s.success()),
            "{file} can't be built"
        );
    }
    made
}

fn newest(folder: &Path) -> Option<SystemTime> {
    let entries = std::fs::read_dir(folder).ok()?.flatten();
    let time = |e: std::fs::DirEntry| match e.file_type() {
        Ok(kind) if kind.is_dir() => newest(&e.path()),
        _ => e.metadata().and_then(|m| m.modified()).ok(),
    };
    entries.filter_map(time).max()
}

/// A folder for the files of one lab, gone with it.
pub struct Folder {
    path: PathBuf,
    kept: bool,
}

impl Folder {
    /// A new folder among the temporary ones.
    ///
    /// # Errors
    /// It can't be made.
    pub fn temporary() -> std::io::Result<Folder> {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let path =
            std::env::temp_dir().join(format!("whinhaven-lab-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Folder { path, kept: false })
    }

    /// A folder of the caller's, which stays.
    ///
    /// # Errors
    /// It can't be made.
    pub fn at(path: &Path) -> std::io::Result<Folder> {
        std::fs::create_dir_all(path)?;
        // Whole: conductors take the paths in their files as from where those are.
        Ok(Folder {
            path: path.canonicalize()?,
            kept: true,
        })
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if !self.kept {
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}

/// Ends conductors whose lab was itself ended before it could: a shell that is told of each start and end, and kills
/// whoever is left once the lab's end of the pipe closes.
fn watched(change: char, pid: u32) {
    const SCRIPT: &str = r#"all=""
        while read -r line; do
            pid=${line#?}; rest=""
            for p in $all; do [ "$p" = "$pid" ] || rest="$rest $p"; done
            all=$rest
            case $line in +*) all="$all $pid";; esac
        done
        [ -z "$all" ] || kill -9 $all"#;
    static WATCH: OnceLock<Mutex<Option<Child>>> = OnceLock::new();
    let watch = WATCH.get_or_init(|| {
        let mut shell = Command::new("sh");
        shell
            .args(["-c", SCRIPT])
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(Stdio::null());
        Mutex::new(shell.process_group(0).spawn().ok())
    });
    let mut watch = watch.lock().unwrap_or_else(PoisonError::into_inner);
    // Without the shell all works, except for that.
    if let Some(pipe) = watch.as_mut().and_then(|w| w.stdin.as_mut()) {
        let _ = writeln!(pipe, "{change}{pid}");
    }
}

/// Kills a child and waits until it is gone.
fn end(mut child: Child) {
    let _ = child.kill();
    let _ = child.wait();
    watched('-', child.id());
}

/// A conductor's process can't be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The program did not start.
    #[error("{0}")]
    Program(#[from] std::io::Error),
    /// It did not come to serve.
    #[error("{0}")]
    Silent(#[from] NotSeen),
    /// It ended before it served; its lines.
    #[error("{0} ended before it served: {1}")]
    Ended(String, String),
}

/// A conductor as a process. Dropping it kills the process, also when a test panics.
pub struct Conductor {
    /// Its name.
    pub name: String,
    /// What it finds in its environment besides the lab's own.
    pub environment: Vec<(&'static str, OsString)>,
    /// The program that its next start runs; `None`: the one that [`program`] finds.
    pub program: Option<PathBuf>,
    file: PathBuf,
    arguments: Vec<String>,
    history: History,
    running: Arc<Mutex<Option<Child>>>,
}

impl Conductor {
    /// A conductor that is not started yet, by an operator's file; `arguments` go behind `serve FILE`.
    pub fn new(name: &str, file: PathBuf, arguments: &[&str], history: History) -> Conductor {
        let arguments = arguments.iter().map(|a| (*a).to_owned()).collect();
        let (name, environment, running) = (name.to_owned(), Vec::new(), Arc::default());
        Conductor {
            name,
            environment,
            program: None,
            file,
            arguments,
            history,
            running,
        }
    }

    fn child(&self) -> MutexGuard<'_, Option<Child>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Its process's number while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child().as_ref().map(Child::id)
    }

    /// Starts the process and returns once it serves: the line that says so.
    ///
    /// # Errors
    /// The program can't be started, or does not come to serve.
    pub fn start(&self) -> Result<Record, StartError> {
        let before = self.history.len();
        self.spawn()?;
        let pid = self.id().map(u64::from);
        // What an earlier process of this name says last may come late.
        let exited = |r: &Record| r.event == "lab.exited" && r.number("pid") == pid;
        let serves = |r: &Record| {
            r.source == self.name
                && (r.text("line").contains(" serves on ") || exited(r) || r.event == "serves")
        };
        let line = self.history.wait_for(before, STUCK, serves)?;
        if line.event == "lab.exited" {
            let records = self.history.since(before);
            let lines: Vec<&str> = records
                .iter()
                .filter(|r| r.source == self.name)
                .map(|r| r.text("line"))
                .collect();
            return Err(StartError::Ended(self.name.clone(), lines.join("; ")));
        }
        Ok(line)
    }

    /// Starts the process without waiting for it.
    ///
    /// # Errors
    /// The program can't be started.
    pub fn spawn(&self) -> std::io::Result<()> {
        self.kill();
        let mut command = Command::new(self.program.as_deref().unwrap_or_else(|| program()));
        command.arg("serve").arg(&self.file).args(&self.arguments);
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        // A group of its own: an interrupt from the keyboard is the lab's to handle.
        command.process_group(0);
        command.envs(self.environment.iter().map(|(name, value)| (name, value)));
        let mut child = command.spawn()?;
        watched('+', child.id());
        let stderr = child.stderr.take().map(BufReader::new);
        self.history.note(
            "lab",
            "lab.started",
            json!({ "member": self.name, "pid": child.id() }),
        );
        let (history, name, pid) = (self.history.clone(), self.name.clone(), child.id());
        *self.child() = Some(child);
        std::thread::spawn(move || {
            for line in stderr
                .into_iter()
                .flat_map(BufRead::lines)
                .map_while(Result::ok)
            {
                history.line(&name, &line);
            }
            history.note(&name, "lab.exited", json!({ "member": name, "pid": pid }));
        });
        Ok(())
    }

    /// Ends the process at once (SIGKILL) and waits until it is gone; nothing if it does not run.
    pub fn kill(&self) {
        self.killer()();
    }

    /// What kills it from wherever it is called, once: for reactions to the history.
    pub fn killer(&self) -> impl FnOnce() + Send + 'static {
        let (running, history, name) = (
            self.running.clone(),
            self.history.clone(),
            self.name.clone(),
        );
        move || {
            let child = running
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .take();
            if let Some(child) = child {
                end(child);
                history.note("lab", "fault.kill", json!({ "member": name }));
            }
        }
    }

    /// Its resident memory in bytes while it runs.
    pub fn memory(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id()?)).ok()?;
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
        line.split_whitespace()
            .next()?
            .parse::<u64>()
            .ok()
            .map(|kb| kb * 1024)
    }

    fn signal(&self, signal: Signal) -> bool {
        send(&self.running, signal)
    }

    /// Stops the process where it is (SIGSTOP).
    pub fn stop(&self) {
        self.stopper()();
    }

    /// What stops it from wherever it is called, once: for reactions to the history.
    pub fn stopper(&self) -> impl FnOnce() + Send + 'static {
        let (running, history, name) = (
            self.running.clone(),
            self.history.clone(),
            self.name.clone(),
        );
        move || {
            if send(&running, Signal::STOP) {
                history.note("lab", "fault.stop", json!({ "member": name }));
            }
        }
    }

    /// Lets a stopped process run on (SIGCONT).
    pub fn cont(&self) {
        // Noted first: what the process does from here on comes after.
        self.history
            .note("lab", "fault.cont", json!({ "member": self.name }));
        self.signal(Signal::CONT);
    }

    /// Has its configuration read again (SIGHUP).
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Asks for an orderly end as from a keyboard (SIGINT).
    pub fn interrupt(&self) {
        self.signal(Signal::INT);
    }

    /// Has it log its counters (SIGUSR1).
    pub fn report(&self) {
        self.signal(Signal::USR1);
    }

    /// How it has ended; `None` while it runs, and where it was killed by the lab.
    pub fn exit_status(&self) -> Option<ExitStatus> {
        self.child().as_mut()?.try_wait().ok().flatten()
    }

    /// Asks for an orderly end (SIGTERM) without waiting for it.
    pub fn begin_to_terminate(&self) {
        self.history
            .note("lab", "fault.term", json!({ "member": self.name }));
        self.signal(Signal::TERM);
    }

    /// Asks for an orderly end (SIGTERM) and waits for it.
    ///
    /// # Errors
    /// The process does not end.
    pub fn terminate(&self) -> Result<Option<ExitStatus>, NotSeen> {
        let Some(pid) = self.id() else {
            return Ok(None);
        };
        self.history
            .note("lab", "fault.term", json!({ "member": self.name }));
        let before = self.history.len();
        self.signal(Signal::TERM);
        let gone = |r: &Record| r.event == "lab.exited" && r.number("pid") == Some(pid.into());
        if self.history.count(gone) == 0 {
            self.history.wait_for(before, STUCK, gone)?;
        }
        let status = self.child().take().and_then(|mut child| child.wait().ok());
        watched('-', pid);
        Ok(status)
    }
}

fn send(running: &Mutex<Option<Child>>, signal: Signal) -> bool {
    let child = running.lock().unwrap_or_else(PoisonError::into_inner);
    let pid = child
        .as_ref()
        .and_then(|c| Pid::from_raw(i32::try_from(c.id()).ok()?));
    pid.is_some_and(|pid| kill_process(pid, signal).is_ok())
}

impl Drop for Conductor {
    fn drop(&mut self) {
        if let Some(child) = self.child().take() {
            end(child);
        }
    }
}
