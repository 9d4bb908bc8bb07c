//! Frames between members: sealed with a shared key, refused when forged, garbled, replayed or meant for another.
//!
//! No I/O and no clock. [`Sealer`] makes datagrams, [`StreamSealer`] the frames of one connection, [`Opener`] opens
//! both. A frame that is refused changes nothing, whoever sent it: only what the key vouches for reaches a table.
//!
//! A frame, integers little-endian:
//!
//! ```text
//! version 1 | channel 1 | kind 1 | bytes of from 1 | bytes of to 1 | incarnation 8 | sequence 8 | from | to | payload | MAC 32
//! ```
//!
//! The MAC is HMAC-SHA256 over a label, the connection's session (nothing for a datagram) and all of the frame before
//! it. On a connection a frame comes after its length ([`length_prefix`], [`frame_length`]). A connection carries
//! frames one way, from who opened it: the acceptor begins with a [`ConnectionNonce`] drawn afresh, as plain bytes, so that
//! nothing recorded from another connection opens on this one.
//!
//! What this does not do: payloads can be read on the way; whoever has the key can speak as any member; and a member
//! that has just started knows no sequences, so that a datagram recorded from a living sender is taken once more if it
//! comes before the first fresh one of that sender. The view bears that, its news being ordered by incarnation and
//! refutation; what must not be repeated goes over connections.

use crate::fleet::{Incarnation, MAX_NAME_LENGTH, MemberInstance, MemberName};
use crate::routing::types::Micros;
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use std::collections::BTreeMap;
use std::fmt;
use std::io::Read;
use std::path::Path;

/// The version of the frames' form.
pub const VERSION: u8 = 1;
/// Bytes of a frame's MAC.
pub const MAC_BYTES: usize = 32;
/// Bytes of a key at the least.
pub const MIN_KEY_BYTES: usize = 32;
/// Keys at once at the most: during a rotation the new one and the old one.
pub const MAX_KEYS: usize = 2;
/// How many sequences below the highest one seen a datagram may still come.
pub const REPLAY_WINDOW: u64 = 1024;

const MAX_KEY_FILE_BYTES: u64 = 4096;
const FIXED: usize = 21;
const LABEL: &[u8] = b"whinhaven peer frame";
const DATAGRAM: u8 = 1;
const STREAM: u8 = 2;

/// The keys that members share. The first signs, all open.
#[derive(Clone, PartialEq, Eq)]
pub struct Keys(Vec<Vec<u8>>);

/// A key file can't be used. Says nothing of the keys.
#[derive(Debug, thiserror::Error)]
pub enum KeyError {
    /// The file can't be read.
    #[error("can't be read: {0}")]
    Io(#[from] std::io::Error),
    /// Neither `keys = ["...", "..."]` nor one key a line.
    #[error("not of the form keys = [\"HEX\", \"HEX\"] or one HEX key a line")]
    Form,
    /// A key is not hexadecimal; counted from 1.
    #[error("key {0} is not hexadecimal")]
    Hex(usize),
    /// A key has fewer than [`MIN_KEY_BYTES`] bytes; counted from 1.
    #[error("key {0} has {1} bytes, at least 32 are needed")]
    Short(usize, usize),
    /// No key, or more than [`MAX_KEYS`].
    #[error("{0} keys, 1 or 2 are needed")]
    Count(usize),
}

impl Keys {
    /// Reads the text of a key file: `keys = ["HEX", "HEX"]`, or one hexadecimal key a line; `#` begins a comment.
    pub fn parse(text: &str) -> Result<Keys, KeyError> {
        let plain = |line: &str| line.split('#').next().unwrap_or("").trim().to_owned();
        let hex: Vec<String> = if text.contains('=') {
            let table: toml::Table = text.parse().map_err(|_| KeyError::Form)?;
            let keys = table
                .get("keys")
                .and_then(toml::Value::as_array)
                .ok_or(KeyError::Form)?;
            let keys: Option<Vec<_>> = keys.iter().map(|k| k.as_str().map(str::to_owned)).collect();
            keys.ok_or(KeyError::Form)?
        } else {
            text.lines()
                .map(plain)
                .filter(|line| !line.is_empty())
                .collect()
        };
        if hex.is_empty() || hex.len() > MAX_KEYS {
            return Err(KeyError::Count(hex.len()));
        }
        let mut keys = Vec::new();
        for (i, hex) in hex.iter().enumerate() {
            let key = from_hex(hex).ok_or(KeyError::Hex(i + 1))?;
            if key.len() < MIN_KEY_BYTES {
                return Err(KeyError::Short(i + 1, key.len()));
            }
            keys.push(key);
        }
        Ok(Keys(keys))
    }

    /// Reads a key file, and says what is to be warned of: that every user of the machine can read it.
    pub fn read(path: &Path) -> Result<(Keys, Option<&'static str>), KeyError> {
        use std::os::unix::fs::PermissionsExt;
        let file = std::fs::File::open(path)?;
        let mode = file.metadata()?.permissions().mode();
        let mut text = String::new();
        file.take(MAX_KEY_FILE_BYTES).read_to_string(&mut text)?;
        let warning =
            (mode & 0o004 != 0).then_some("every user of this machine can read the key file");
        Ok((Keys::parse(&text)?, warning))
    }

    fn mac(key: &[u8], session: &[u8], body: &[u8]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes keys of any length");
        for part in [LABEL, session, body] {
            mac.update(part);
        }
        mac
    }

    fn sign(&self, session: &[u8], frame: &mut Vec<u8>) {
        let mac = Self::mac(&self.0[0], session, frame)
            .finalize()
            .into_bytes();
        frame.extend_from_slice(&mac);
    }

    /// Takes the same time wherever a MAC differs.
    fn vouch(&self, session: &[u8], body: &[u8], mac: &[u8]) -> bool {
        self.0
            .iter()
            .any(|key| Self::mac(key, session, body).verify_slice(mac).is_ok())
    }
}

impl fmt::Debug for Keys {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "Keys({})", self.0.len())
    }
}

fn from_hex(text: &str) -> Option<Vec<u8>> {
    let digits: Option<Vec<u8>> = text
        .chars()
        .map(|c| c.to_digit(16).map(|d| d as u8))
        .collect();
    let digits = digits.filter(|d| d.len() % 2 == 0)?;
    Some(
        digits
            .chunks(2)
            .map(|pair| pair[0] << 4 | pair[1])
            .collect(),
    )
}

/// What is sealed or opened at the most.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FrameLimits {
    /// Bytes of a datagram's payload.
    #[serde(rename = "most_datagram")]
    pub max_datagram_bytes: usize,
    /// Bytes of the payload of a frame on a connection.
    #[serde(rename = "most_stream_frame")]
    pub max_stream_payload_bytes: usize,
    /// Senders that are remembered; one more is refused.
    #[serde(rename = "most_senders")]
    pub max_senders: usize,
    /// Frames a second that one sender may send on average.
    #[serde(rename = "per_second")]
    pub frames_per_second: u32,
    /// Frames that one sender may send at once.
    pub burst: u32,
}

impl Default for FrameLimits {
    fn default() -> Self {
        FrameLimits {
            max_datagram_bytes: 1200,
            max_stream_payload_bytes: 1 << 20,
            max_senders: 4096,
            frames_per_second: 2000,
            burst: 4000,
        }
    }
}

/// Why a frame is refused; nothing has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, thiserror::Error)]
pub enum FrameError {
    /// Cut off, or no frame at all.
    #[error("malformed")]
    Malformed,
    /// Larger than [`FrameLimits`] allow.
    #[error("too_long")]
    TooLong,
    /// Of another version.
    #[error("version")]
    Version,
    /// Made for a connection but came as a datagram, or the other way.
    #[error("channel")]
    Channel,
    /// Meant for another member.
    #[error("receiver")]
    Receiver,
    /// Says that it is from this very member.
    #[error("own_name")]
    OwnName,
    /// No key of ours vouches for it: forged, garbled, another key, or of another connection.
    #[error("mac")]
    Mac,
    /// From a life of the sender before the one that has been heard.
    #[error("old_incarnation")]
    OldIncarnation,
    /// A datagram that has been taken before, or is too old to tell.
    #[error("replay")]
    Replay,
    /// Not the next frame of its connection.
    #[error("order")]
    Order,
    /// From another sender, or another life, than the connection's first frame.
    #[error("other_sender")]
    OtherSender,
    /// The sender is new and the table of senders is full.
    #[error("too_many_senders")]
    TooManySenders,
    /// The sender sends more than it may.
    #[error("rate")]
    Rate,
}

impl FrameError {
    /// Every reason, for counters.
    pub const ALL: [FrameError; 13] = [
        FrameError::Malformed,
        FrameError::TooLong,
        FrameError::Version,
        FrameError::Channel,
        FrameError::Receiver,
        FrameError::OwnName,
        FrameError::Mac,
        FrameError::OldIncarnation,
        FrameError::Replay,
        FrameError::Order,
        FrameError::OtherSender,
        FrameError::TooManySenders,
        FrameError::Rate,
    ];
}

/// What the acceptor of a connection draws and sends first; must never come twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ConnectionNonce(pub [u8; 16]);

/// An opened frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Opened<'a> {
    /// Who sent it, in which life.
    pub from: MemberInstance,
    /// What the payload is; the transport's affair.
    pub kind: u8,
    /// The sender's count of its datagrams, or of the connection's frames.
    pub sequence: u64,
    /// What was sealed.
    pub payload: &'a [u8],
}

#[allow(clippy::too_many_arguments)]
fn seal(
    keys: &Keys,
    me: &MemberInstance,
    to: &MemberName,
    channel: u8,
    session: &[u8],
    kind: u8,
    sequence: u64,
    payload: &[u8],
) -> Vec<u8> {
    let (from, to) = (me.name.as_str().as_bytes(), to.as_str().as_bytes());
    let mut frame = Vec::with_capacity(FIXED + from.len() + to.len() + payload.len() + MAC_BYTES);
    frame.extend_from_slice(&[VERSION, channel, kind, from.len() as u8, to.len() as u8]);
    frame.extend_from_slice(&me.incarnation.0.to_le_bytes());
    frame.extend_from_slice(&sequence.to_le_bytes());
    frame.extend_from_slice(from);
    frame.extend_from_slice(to);
    frame.extend_from_slice(payload);
    keys.sign(session, &mut frame);
    frame
}

/// Seals a member's datagrams. One for each life of the member, since it counts them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sealer {
    me: MemberInstance,
    keys: Keys,
    most: usize,
    next: u64,
}

impl Sealer {
    /// Of this member in this life.
    pub fn new(me: MemberInstance, keys: Keys, limits: &FrameLimits) -> Self {
        Sealer {
            me,
            keys,
            most: limits.max_datagram_bytes,
            next: 1,
        }
    }

    /// A datagram for `to`. FrameError is a payload over [`FrameLimits::max_datagram_bytes`] only.
    pub fn seal(
        &mut self,
        to: &MemberName,
        kind: u8,
        payload: &[u8],
    ) -> Result<Vec<u8>, FrameError> {
        if payload.len() > self.most {
            return Err(FrameError::TooLong);
        }
        let frame = seal(
            &self.keys,
            &self.me,
            to,
            DATAGRAM,
            &[],
            kind,
            self.next,
            payload,
        );
        self.next += 1;
        Ok(frame)
    }
}

/// Seals the frames of one connection, opened by this member to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamSealer {
    me: MemberInstance,
    to: MemberName,
    keys: Keys,
    most: usize,
    session: ConnectionNonce,
    next: u64,
}

impl StreamSealer {
    /// For the connection whose acceptor began with `session`.
    pub fn new(
        me: MemberInstance,
        to: MemberName,
        keys: Keys,
        limits: &FrameLimits,
        session: ConnectionNonce,
    ) -> Self {
        StreamSealer {
            me,
            to,
            keys,
            most: limits.max_stream_payload_bytes,
            session,
            next: 1,
        }
    }

    /// The next frame, without its length. FrameError is a payload over [`FrameLimits::max_stream_payload_bytes`] only.
    pub fn seal(&mut self, kind: u8, payload: &[u8]) -> Result<Vec<u8>, FrameError> {
        if payload.len() > self.most {
            return Err(FrameError::TooLong);
        }
        let frame = seal(
            &self.keys,
            &self.me,
            &self.to,
            STREAM,
            &self.session.0,
            kind,
            self.next,
            payload,
        );
        self.next += 1;
        Ok(frame)
    }
}

/// What goes before a frame on a connection: its length.
pub fn length_prefix(frame: &[u8]) -> [u8; 4] {
    (frame.len() as u32).to_le_bytes()
}

/// The length of the frame to come. FrameError before anything is read if no frame within `limits` is that long.
pub fn frame_length(prefix: [u8; 4], limits: &FrameLimits) -> Result<usize, FrameError> {
    let length = u32::from_le_bytes(prefix) as usize;
    match length {
        _ if length > max_frame_bytes(limits.max_stream_payload_bytes) => Err(FrameError::TooLong),
        _ if length < FIXED + 2 + MAC_BYTES => Err(FrameError::Malformed),
        _ => Ok(length),
    }
}

/// Bytes of the longest frame that carries a payload of `most` bytes; a buffer for datagrams needs one byte more to
/// tell a longer one.
pub const fn max_frame_bytes(most: usize) -> usize {
    FIXED + 2 * MAX_NAME_LENGTH + most + MAC_BYTES
}

/// The acceptor's side of a connection: who sends on it, and what comes next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Inbound {
    session: ConnectionNonce,
    from: Option<MemberInstance>,
    next: u64,
}

impl Inbound {
    /// A connection just accepted, on which `session` was sent.
    pub fn new(session: ConnectionNonce) -> Self {
        Inbound {
            session,
            from: None,
            next: 1,
        }
    }

    /// Who sends, once a frame was opened.
    pub fn from(&self) -> Option<&MemberInstance> {
        self.from.as_ref()
    }
}

/// Lets through so many a second on average, and so many at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenBucket {
    frames_per_second: u32,
    burst: u32,
    millionths: u64,
    at: Micros,
}

impl TokenBucket {
    /// A full one.
    pub fn new(now: Micros, frames_per_second: u32, burst: u32) -> Self {
        TokenBucket {
            frames_per_second,
            burst,
            millionths: u64::from(burst) * 1_000_000,
            at: now,
        }
    }

    /// Takes one, if one is left.
    pub fn take(&mut self, now: Micros) -> bool {
        let came = now
            .saturating_sub(self.at)
            .saturating_mul(u64::from(self.frames_per_second));
        let held = self
            .millionths
            .saturating_add(came)
            .min(u64::from(self.burst) * 1_000_000);
        let left = held.checked_sub(1_000_000);
        // A refusal changes nothing: what came meanwhile is counted the next time.
        if let Some(left) = left {
            (self.millionths, self.at) = (left, now.max(self.at));
        }
        left.is_some()
    }
}

/// Which of a sender's last datagrams were taken.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Window {
    highest: u64,
    taken: [u64; (REPLAY_WINDOW / 64) as usize],
}

impl Window {
    fn new() -> Self {
        Window {
            highest: 0,
            taken: [0; (REPLAY_WINDOW / 64) as usize],
        }
    }

    fn place(sequence: u64) -> (usize, u64) {
        let at = sequence % REPLAY_WINDOW;
        ((at / 64) as usize, 1 << (at % 64))
    }

    /// Counted from 1, so that 0 is never fresh.
    fn is_fresh(&self, sequence: u64) -> bool {
        let (word, bit) = Self::place(sequence);
        sequence > self.highest
            || (sequence > 0
                && self.highest - sequence < REPLAY_WINDOW
                && self.taken[word] & bit == 0)
    }

    fn take(&mut self, sequence: u64) {
        if sequence > self.highest {
            for skipped in (self.highest + 1..=sequence)
                .rev()
                .take(REPLAY_WINDOW as usize)
            {
                let (word, bit) = Self::place(skipped);
                self.taken[word] &= !bit;
            }
            self.highest = sequence;
        }
        let (word, bit) = Self::place(sequence);
        self.taken[word] |= bit;
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Sender {
    incarnation: Incarnation,
    window: Window,
    bucket: TokenBucket,
}

/// A frame whose MAC has been checked.
struct Vouched<'a> {
    from: MemberInstance,
    kind: u8,
    sequence: u64,
    payload: &'a [u8],
}

/// Opens frames to a member, and remembers what it has to of their senders: 150 bytes and a name each.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Opener {
    me: MemberName,
    keys: Keys,
    limits: FrameLimits,
    senders: BTreeMap<MemberName, Sender>,
}

impl Opener {
    /// Of this member.
    pub fn new(me: MemberName, keys: Keys, limits: FrameLimits) -> Self {
        Opener {
            me,
            keys,
            limits,
            senders: BTreeMap::new(),
        }
    }

    /// Opens a datagram.
    pub fn datagram<'a>(&mut self, now: Micros, frame: &'a [u8]) -> Result<Opened<'a>, FrameError> {
        let vouched = self.vouch(frame, DATAGRAM, &[], self.limits.max_datagram_bytes)?;
        let mut sender = self.sender(now, &vouched.from)?;
        if !sender.window.is_fresh(vouched.sequence) {
            return Err(FrameError::Replay);
        }
        if !sender.bucket.take(now) {
            return Err(FrameError::Rate);
        }
        sender.window.take(vouched.sequence);
        Ok(self.opened(sender, vouched))
    }

    /// Opens a frame of a connection. After [`FrameError::Rate`] the same frame may be tried again later; after any other
    /// refusal nothing of that connection can be trusted, and it is to be closed.
    pub fn stream<'a>(
        &mut self,
        now: Micros,
        inbound: &mut Inbound,
        frame: &'a [u8],
    ) -> Result<Opened<'a>, FrameError> {
        let vouched = self.vouch(
            frame,
            STREAM,
            &inbound.session.0,
            self.limits.max_stream_payload_bytes,
        )?;
        if inbound
            .from
            .as_ref()
            .is_some_and(|from| *from != vouched.from)
        {
            return Err(FrameError::OtherSender);
        }
        if vouched.sequence != inbound.next {
            return Err(FrameError::Order);
        }
        let mut sender = self.sender(now, &vouched.from)?;
        if !sender.bucket.take(now) {
            return Err(FrameError::Rate);
        }
        inbound.next += 1;
        inbound.from.get_or_insert_with(|| vouched.from.clone());
        Ok(self.opened(sender, vouched))
    }

    /// Forgets a sender that the view has dropped for good, and makes its place free. What was recorded from it can
    /// be replayed from then on.
    pub fn forget(&mut self, name: &MemberName) {
        self.senders.remove(name);
    }

    /// The senders that are remembered.
    pub fn names(&self) -> impl Iterator<Item = &MemberName> {
        self.senders.keys()
    }

    /// How many senders are remembered; at most [`FrameLimits::max_senders`].
    pub fn senders(&self) -> usize {
        self.senders.len()
    }

    fn vouch<'a>(
        &self,
        frame: &'a [u8],
        channel: u8,
        session: &[u8],
        most: usize,
    ) -> Result<Vouched<'a>, FrameError> {
        let (&version, _) = frame.split_first().ok_or(FrameError::Malformed)?;
        if version != VERSION {
            return Err(FrameError::Version);
        }
        if frame.len() > max_frame_bytes(most) {
            return Err(FrameError::TooLong);
        }
        let body_length = frame
            .len()
            .checked_sub(MAC_BYTES)
            .ok_or(FrameError::Malformed)?;
        let (body, mac) = frame.split_at(body_length);
        let (head, rest) = body.split_at_checked(FIXED).ok_or(FrameError::Malformed)?;
        let (from, rest) = rest
            .split_at_checked(head[3].into())
            .ok_or(FrameError::Malformed)?;
        let (to, payload) = rest
            .split_at_checked(head[4].into())
            .ok_or(FrameError::Malformed)?;
        if head[1] != channel {
            return Err(FrameError::Channel);
        }
        if payload.len() > most {
            return Err(FrameError::TooLong);
        }
        if to != self.me.as_str().as_bytes() {
            return Err(FrameError::Receiver);
        }
        if !self.keys.vouch(session, body, mac) {
            return Err(FrameError::Mac);
        }
        let name = std::str::from_utf8(from)
            .ok()
            .and_then(|name| MemberName::try_from(name).ok());
        let name = name.ok_or(FrameError::Malformed)?;
        if name == self.me {
            return Err(FrameError::OwnName);
        }
        let integer = |at: usize| u64::from_le_bytes(head[at..at + 8].try_into().expect("8 bytes"));
        let from = MemberInstance {
            name,
            incarnation: Incarnation(integer(5)),
        };
        Ok(Vouched {
            from,
            kind: head[2],
            sequence: integer(13),
            payload,
        })
    }

    /// What is known of the sender, as a copy that [`Self::opened`] puts in place once all else is settled.
    fn sender(&self, now: Micros, from: &MemberInstance) -> Result<Sender, FrameError> {
        match self.senders.get(&from.name) {
            Some(known) if from.incarnation < known.incarnation => Err(FrameError::OldIncarnation),
            Some(known) if from.incarnation == known.incarnation => Ok(known.clone()),
            // The bucket stays, so that a new life is no way around the rate.
            Some(known) => Ok(Sender {
                incarnation: from.incarnation,
                window: Window::new(),
                bucket: known.bucket.clone(),
            }),
            None if self.senders.len() >= self.limits.max_senders => {
                Err(FrameError::TooManySenders)
            }
            None => Ok(Sender {
                incarnation: from.incarnation,
                window: Window::new(),
                bucket: TokenBucket::new(now, self.limits.frames_per_second, self.limits.burst),
            }),
        }
    }

    fn opened<'a>(&mut self, sender: Sender, vouched: Vouched<'a>) -> Opened<'a> {
        let Vouched {
            from,
            kind,
            sequence,
            payload,
        } = vouched;
        self.senders.insert(from.name.clone(), sender);
        Opened {
            from,
            kind,
            sequence,
            payload,
        }
    }
}

#[cfg(test)]
mod tests;
