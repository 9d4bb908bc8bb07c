//! What all cases share: the record, stand-in servers, discovery, the router's process and its configuration.

use crate::http::{self, Request};
use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// The file `record.txt` of a case, with a line for each thing that was sent, answered or run.
pub struct Record {
    begun: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(folder: &Path) -> io::Result<Arc<Record>> {
        let file = Mutex::new(File::create(folder.join("record.txt"))?);
        let begun = Instant::now();
        Ok(Arc::new(Record { begun, file }))
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let _ = writeln!(lock(&self.file), "{:>7} ms  {text}", self.now_ms());
    }

    /// A line that is also printed.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// A listener at a free port of loopback.
pub fn listener() -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// An address of loopback at which nobody listens just now.
pub fn free_address() -> io::Result<SocketAddr> {
    Ok(listener()?.1)
}

/// Serves each connection on a thread of its own, one request after another, until `handle` returns an error.
pub fn serve(
    listener: TcpListener,
    handle: impl Fn(&Request, &TcpStream) -> io::Result<()> + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || -> io::Result<()> {
                stream.set_nodelay(true)?;
                let mut reader = BufReader::new(stream.try_clone()?);
                while let Some(request) = http::read_request(&mut reader)? {
                    handle(&request, &stream)?;
                }
                Ok(())
            });
        }
    });
}

/// A model host in the list.
#[derive(Clone)]
pub struct Listed {
    pub name: String,
    pub address: SocketAddr,
    /// `prompt` or `answer`.
    pub kind: &'static str,
}

/// The list of model hosts in discovery's form.
pub fn list_json(hosts: &[Listed]) -> String {
    let entry = |host: &Listed| {
        format!(
            "{{\"host\":\"{}\",\"dial\":\"{}\",\"site\":\"here\",\"class\":\"{}\",\"block\":0,\"health\":\"ready\",\"share\":1.0,\"born_ms\":0}}",
            host.name, host.address, host.kind
        )
    };
    let entries: Vec<String> = hosts.iter().map(entry).collect();
    format!(
        "{{\"seq\":1,\"whole\":true,\"hosts\":[{}]}}",
        entries.join(",")
    )
}

/// Discovery's agent: the list never changes.
pub fn discovery(hosts: &[Listed]) -> io::Result<SocketAddr> {
    let (listener, address) = listener()?;
    let list = list_json(hosts);
    serve(listener, move |request, stream| {
        if !request.path.contains("watch=1") {
            return http::send(stream, &http::answer("200 OK", "", &list));
        }
        http::send(
            stream,
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        )?;
        if !request.path.contains("after=1") {
            http::send(stream, http::chunk(&format!("{list}\n")).as_bytes())?;
        }
        loop {
            sleep_ms(2000);
            http::send(stream, http::chunk("\n").as_bytes())?;
        }
    });
    Ok(address)
}

/// The read states that are held.
#[derive(Default)]
pub struct Fleet {
    /// By request id: the readers that hold a state.
    pub held: Mutex<HashMap<String, Vec<String>>>,
}

impl Fleet {
    /// Handles a release: `DELETE /internal/reservations/ID`. Returns whether the request was one.
    pub fn release(&self, request: &Request, stream: &TcpStream) -> Option<io::Result<()>> {
        let id = request.path.strip_prefix("/internal/reservations/")?;
        if request.method != "DELETE" {
            return None;
        }
        lock(&self.held).remove(id);
        Some(http::send(stream, b"HTTP/1.1 204 No Content\r\n\r\n"))
    }

    pub fn hold(&self, id: &str, reader: &str) {
        let mut held = lock(&self.held);
        held.entry(id.to_owned())
            .or_default()
            .push(reader.to_owned());
    }

    /// Takes the state of a request; returns whether there was one.
    pub fn fetch(&self, id: &str) -> bool {
        lock(&self.held).remove(id).is_some()
    }
}

/// Answers of writers and readers that are the same in all cases.
pub fn prompt_read() -> Vec<u8> {
    http::answer(
        "202 Accepted",
        "content-type: application/json\r\n",
        "{\"cached_tokens\":0}",
    )
}

pub fn state_is_gone() -> Vec<u8> {
    http::answer("410 Gone", "x-not-run: 1\r\n", "")
}

/// A folder that is removed with all it holds.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn create(case: &str) -> io::Result<TempFolder> {
        let nanos = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .map_or(0, |d| d.as_nanos());
        let name = format!("review2-{case}-{}-{nanos}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder)?;
        Ok(TempFolder(folder))
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// The settings of a small deployment, as JSON: the classes `explain`, safe to repeat, and `send`, never to run twice.
pub const SETTINGS: &str = r#"{
 "my_zone":"here","zones":["here"],"registry_mode":"pushed","replicas_of_me":1,"self_index":0,"skus":["prompt","answer"],
 "family":"twostage","weights":"nominal","worth_by":"work","over_share_worth":0.1,"tick_us":4000,
 "load_report":{"how":"none","fields":[]},
 "family_info":{"role_by_kind":["read","write"],"kv_tokens":[252339,151538],"release_us":500000,"resume":true,
  "self_prefill":false,"may_reserve":true,"token_aim_us":[60000.0,80000.0],"aim_us_per_1000_prompt_tokens":[40000.0,40000.0]},
 "permissions":{"max_attempts":6,"may_cancel":true,"probes":true,"second_copies":true,"retry_after":true,
  "max_retry_after_us":2000000,"connect_timeout_us":250000,"idle_close_us":30000000},
 "rules":{"drain_grace_us":1000000,"answer_slack_us":16000,"cold_from":0.27,"cold_us":14000000,"fall_multiple":2.5,
  "fall_us":3000000},
 "classes":[
  {"name":"explain","effect":"read_like","dedup_scope":"all","repeat_window_us":5000000,"objective_us":1500000,
   "give_up_us":6000000,"late_share":0.3,"stream":true,"value":3.0},
  {"name":"send","effect":"non_idempotent","dedup_scope":"all","repeat_window_us":5000000,"objective_us":2500000,
   "give_up_us":10000000,"late_share":0.3,"stream":true,"value":2.0}]
}"#;

/// A router's process.
pub struct Router {
    child: Child,
    pub listen: SocketAddr,
    log: PathBuf,
}

impl Router {
    /// Starts `run` of the deploy file with the platform's configuration (`limits` as JSON), and waits until it is ready.
    pub fn start(
        folder: &Path,
        name: &str,
        discovery: SocketAddr,
        hosts: &[Listed],
        limits: &str,
    ) -> io::Result<Router> {
        let listen = free_address()?;
        let known = list_json(hosts);
        let config = format!(
            "{{\"name\":\"{name}\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{limits},\"known\":{known},\"settings\":{SETTINGS}}}"
        );
        let file = folder.join(format!("{name}.json"));
        fs::write(&file, config)?;
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", "exec target/release/whinhaven"])
            .env("NODE_CONFIG", &file)
            .env("NODE_NAME", name)
            .env("NODE_LISTEN", listen.to_string())
            .env("NODE_DISCOVERY", discovery.to_string());
        Router::spawn(command, folder, name, listen)
    }

    /// Starts the deploy file's program by an operator's file, and waits until it is ready.
    pub fn serve_file(
        folder: &Path,
        name: &str,
        listen: SocketAddr,
        file: &Path,
    ) -> io::Result<Router> {
        let mut command = Command::new("/bin/sh");
        let run = format!("exec target/release/whinhaven serve {}", file.display());
        command.args(["-c", &run]);
        Router::spawn(command, folder, name, listen)
    }

    fn spawn(
        mut command: Command,
        folder: &Path,
        name: &str,
        listen: SocketAddr,
    ) -> io::Result<Router> {
        let (log, temp) = (
            folder.join(format!("{name}.log")),
            folder.join(format!("{name}.tmp")),
        );
        fs::create_dir_all(&temp)?;
        let output = File::options().create(true).append(true).open(&log)?;
        let child = command
            .env("TMPDIR", &temp)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()?;
        let mut router = Router { child, listen, log };
        for _ in 0..300 {
            if router.is_ready() {
                return Ok(router);
            }
            if let Some(status) = router.child.try_wait()? {
                let text = fs::read_to_string(&router.log).unwrap_or_default();
                return Err(io::Error::other(format!("{name} ended, {status}: {text}")));
            }
            sleep_ms(50);
        }
        Err(io::Error::other(format!(
            "{name} was not ready within 15 s"
        )))
    }

    fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let stream = TcpStream::connect(self.listen)?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            http::send(
                &stream,
                b"GET /healthz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
            )?;
            Ok(http::read_response(&mut BufReader::new(stream))?.status)
        };
        ask().is_ok_and(|status| status == 200)
    }

    /// The memory that the process holds by itself, in bytes: the least that the platform can count.
    pub fn memory(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("RssAnon:"))?;
        let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kilobytes * 1024)
    }

    /// Kills the process, as the platform does.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// The log so far.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let id = self.child.id().to_string();
        Command::new("kill")
            .args([&format!("-{name}"), &id])
            .status()
            .map(drop)
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
