//! HTTP/1.1 messages as the stand-ins read and write them.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// A request that a stand-in server has read to its last byte.
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// The value of a header; the empty string if it is missing.
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    let found = headers.iter().find(|(n, _)| n == name);
    found.map_or("", |(_, value)| value)
}

/// The first line of a message, and its headers with names in lower case.
type Head = (String, Vec<(String, String)>);

/// Reads a head; `None` at the end of the connection.
fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut first = String::new();
    while first.trim_end().is_empty() {
        first.clear();
        if reader.read_line(&mut first)? == 0 {
            return Ok(None);
        }
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads the next request of a connection; `None` at its end.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else {
        return Ok(None);
    };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let path = words.next().unwrap_or_default().to_owned();
    let length = find(&headers, "content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(Request {
        method,
        path,
        headers,
        body,
    }))
}

/// A whole answer with a length; `headers` are further header lines, each with its end of line.
pub fn answer(status: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{headers}content-length: {length}\r\n\r\n{body}").into_bytes()
}

/// The head of a streamed answer.
pub const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
/// The last chunk.
pub const LAST_CHUNK: &str = "0\r\n\r\n";

/// A chunk with this content.
pub fn chunk(content: &str) -> String {
    format!("{:x}\r\n{content}\r\n", content.len())
}

/// An event of a stream with this text.
pub fn event(text: &str) -> String {
    format!(
        "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{text}\"}},\"finish_reason\":null}}]}}\n\n"
    )
}

/// The last events of a stream.
pub fn last_events() -> String {
    String::from(
        "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"\"},\"finish_reason\":\"stop\"}]}\n\n\
         data: {\"choices\":[],\"usage\":{\"prompt_tokens\":500,\"completion_tokens\":10,\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\n\
         data: [DONE]\n\n",
    )
}

/// An answer as a client has received it.
pub struct Response {
    pub status: u16,
    pub body: String,
    /// Whether it came to its end: its length, or its last chunk.
    pub is_whole: bool,
}

/// Reads an answer to its end. An error if the connection ends before the end of a head.
pub fn read_response(reader: &mut BufReader<TcpStream>) -> io::Result<Response> {
    let Some((first, headers)) = read_head(reader)? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    let status = first
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(0);
    let mut body = Vec::new();
    let is_whole = if find(&headers, "transfer-encoding") == "chunked" {
        read_chunks(reader, &mut body)
    } else {
        let length = find(&headers, "content-length").parse().unwrap_or(0);
        let mut rest = reader.take(length);
        rest.read_to_end(&mut body).is_ok() && body.len() as u64 == length
    };
    Ok(Response {
        status,
        body: String::from_utf8_lossy(&body).into_owned(),
        is_whole,
    })
}

/// Reads chunks into `body`; returns whether the last one came.
fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> bool {
    loop {
        let mut line = String::new();
        if !matches!(reader.read_line(&mut line), Ok(n) if n > 0) {
            return false;
        }
        let Ok(length) = usize::from_str_radix(line.trim_end(), 16) else {
            return false;
        };
        let mut content = vec![0; length + 2];
        if reader.read_exact(&mut content).is_err() {
            return false;
        }
        body.extend_from_slice(&content[..length]);
        if length == 0 {
            return true;
        }
    }
}

/// Sends all bytes at once.
pub fn send(mut stream: &TcpStream, bytes: &[u8]) -> io::Result<()> {
    stream.write_all(bytes)
}
