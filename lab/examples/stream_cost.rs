//! Compares what two builds of the router spend on streams: `stream_cost OLD NEW`, two paths of `whinhaven`.
//!
//! Prints the processor time of either for each streamed event and for each MB, by turns, as medians and least values.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use whinhaven_lab::fleet::SETTINGS;
use whinhaven_lab::peer::Peer;

/// Turns of each build.
const TURNS: usize = 15;

/// What a host streams.
#[derive(Clone, Copy)]
struct Load {
    name: &'static str,
    chunks: usize,
    events_per_chunk: usize,
    /// The pause behind each chunk, so that the router reads each alone.
    pause: Option<Duration>,
    requests: usize,
    /// By what the processor time is divided, and its name.
    unit: (f64, &'static str),
}

const EVENT: &str = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"oqvh\"},\"finish_reason\":null}]}\n\n";

const LOADS: [Load; 3] = [
    Load {
        name: "an event in a chunk, each read alone",
        chunks: 10_000,
        events_per_chunk: 1,
        pause: Some(Duration::from_micros(20)),
        requests: 1,
        unit: (10_000.0, "event"),
    },
    Load {
        name: "an event in a chunk, at full speed",
        chunks: 50_000,
        events_per_chunk: 1,
        pause: None,
        requests: 1,
        unit: (50_000.0, "event"),
    },
    Load {
        name: "100 KB of events in a chunk",
        chunks: 100,
        events_per_chunk: 1_250,
        pause: None,
        requests: 2,
        unit: (2.0 * 100.0 * 1_250.0 * EVENT.len() as f64 / 1e6, "MB"),
    },
];

fn writer(load: Load) -> Peer {
    let events = EVENT.repeat(load.events_per_chunk);
    Peer::start(move |message, conn| {
        if message.method() == "DELETE" {
            conn.answer("204 No Content", "", "");
            return true;
        }
        conn.begin_stream();
        for _ in 0..load.chunks {
            conn.chunk(&events);
            if let Some(pause) = load.pause {
                std::thread::sleep(pause);
            }
        }
        conn.end_stream();
        true
    })
}

struct Router {
    process: Child,
    address: SocketAddr,
}

impl Router {
    fn start(program: &Path, reader: SocketAddr, writer: SocketAddr) -> Router {
        let file = std::env::temp_dir().join(format!("stream-cost-{}.toml", std::process::id()));
        let mut text = format!("name = \"cost\"\nlisten = \"127.0.0.1:0\"\n{SETTINGS}");
        text += "[known]\nseq = 1\nwhole = true\n";
        for (class, dial) in [("prompt", reader), ("answer", writer)] {
            text += &format!(
                "[[known.hosts]]\nhost = \"{class}\"\ndial = \"{dial}\"\nsite = \"here\"\nclass = \"{class}\"\nhealth = \"ready\"\n"
            );
        }
        std::fs::write(&file, text).expect("the folder for temporary files is writable");
        let mut process = Command::new(program)
            .arg("serve")
            .arg(&file)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program can be started");
        let stderr = process.stderr.take().expect("it is piped");
        let mut lines = BufReader::new(stderr).lines().map_while(Result::ok);
        let line = lines.find(|line| line.contains("serves on "));
        let address = line.and_then(|line| {
            let rest = line.split("serves on ").nth(1)?.split(',').next()?;
            rest.parse().ok()
        });
        Router {
            process,
            address: address.expect("the router serves"),
        }
    }

    fn ask(&self, number: usize) {
        let mut stream = TcpStream::connect(self.address).expect("the router accepts");
        let request = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nx-request-id: cost-{number}\r\nx-class: explain\r\nx-deadline: 8000m\r\n\
             x-extras: prompt_len=100,max_out=50\r\nconnection: close\r\ncontent-length: 2\r\n\r\n{{}}"
        );
        stream
            .write_all(request.as_bytes())
            .expect("the router reads");
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer);
        assert!(answer.ends_with(b"0\r\n\r\n"), "the answer is whole");
    }

    /// The processor time that it has used so far, in nanoseconds.
    fn processor_time(&self) -> f64 {
        let path = format!("/proc/{}/schedstat", self.process.id());
        let text = std::fs::read_to_string(path).expect("the system tells");
        let time = text.split(' ').next().and_then(|time| time.parse().ok());
        time.expect("a number")
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Nanoseconds for each unit of a load.
fn cost(program: &Path, load: Load) -> f64 {
    let (reader, writer) = (Peer::reader(), writer(load));
    let router = Router::start(program, reader.address, writer.address);
    let before = router.processor_time();
    (0..load.requests).for_each(|number| router.ask(number));
    (router.processor_time() - before) / load.unit.0
}

fn main() {
    let programs: Vec<String> = std::env::args().skip(1).collect();
    for load in LOADS {
        let mut costs: Vec<Vec<f64>> = vec![Vec::new(); programs.len()];
        for _ in 0..TURNS {
            for (costs, program) in costs.iter_mut().zip(&programs) {
                costs.push(cost(Path::new(program), load));
            }
        }
        for (costs, program) in costs.iter_mut().zip(&programs) {
            costs.sort_by(f64::total_cmp);
            println!(
                "{}: {program}: median {:.0} ns, least {:.0} ns a {}",
                load.name,
                costs[TURNS / 2],
                costs[0],
                load.unit.1
            );
        }
    }
}
