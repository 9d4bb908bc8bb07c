//! Frames between members: authenticated with a shared key, and refused if they are forged, corrupted, replayed or
//! meant for another member.
//!
//! Does no I/O and reads no clock. [`Sealer`] makes datagrams, [`StreamSealer`] the frames of one connection,
//! [`Opener`] checks both. A refused frame changes no state: only frames with a valid MAC reach the table of senders.
//!
//! Layout of a frame, in bytes, with integers in little-endian order:
//!
//! ```text
//! version 1 | channel 1 | kind 1 | bytes of from 1 | bytes of to 1 | incarnation 8 | sequence 8 | from | to | payload | MAC 32
//! ```
//!
//! The MAC is HMAC-SHA256 over a label, the connection's nonce (nothing for a datagram) and all of the frame before the
//! MAC. On a connection each frame follows its length ([`length_prefix`], [`frame_length`]). A connection carries
//! frames one way, from the member that opened it: the acceptor first sends a fresh random [`ConnectionNonce`] as plain
//! bytes, so that frames recorded from another connection are refused on this one.
//!
//! Limits of the protection: payloads are not encrypted; whoever has the key can send as any member; and a member that
//! has just started knows no sequence numbers, so it accepts a datagram recorded from a live sender once more if it
//! arrives before that sender's first fresh one. Membership messages tolerate that, because they are ordered by
//! incarnation and refutation; messages that must not be repeated go over connections.

use crate::fleet::{Incarnation, MAX_NAME_LENGTH, MemberInstance, MemberName};
use crate::routing::types::Micros;
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use std::collections::BTreeMap;
use std::fmt;
use std::io::Read;
use std::path::Path;

/// Version of the frame layout, the first byte of each frame.
pub const VERSION: u8 = 1;
/// Length of a frame's MAC, in bytes.
pub const MAC_BYTES: usize = 32;
/// Minimum length of a key, in bytes.
pub const MIN_KEY_BYTES: usize = 32;
/// Maximum number of keys in use: during a rotation the new one and the old one.
pub const MAX_KEYS: usize = 2;
/// A datagram is accepted if its sequence number is less than this below the highest one received from its sender.
pub const REPLAY_WINDOW: u64 = 1024;

const MAX_KEY_FILE_BYTES: u64 = 4096;
const FIXED_HEADER_BYTES: usize = 21;
const MAC_LABEL: &[u8] = b"whinhaven peer frame";
const DATAGRAM_CHANNEL: u8 = 1;
const STREAM_CHANNEL: u8 = 2;

/// The keys that members share. The first one signs, and any of them verifies.
#[derive(Clone, PartialEq, Eq)]
pub struct Keys(Vec<Vec<u8>>);

/// Why a key file can't be used. The texts and the debug output contain no part of a key.
#[derive(Debug, thiserror::Error)]
pub enum KeyError {
    /// The file can't be opened or read.
    #[error("can't be read: {0}")]
    Io(#[from] std::io::Error),
    /// The text is neither `keys = ["...", "..."]` nor one key per line.
    #[error("not of the form keys = [\"HEX\", \"HEX\"] or one HEX key per line")]
    Format,
    /// The key at this position, counted from 1, is not hexadecimal.
    #[error("key {0} is not hexadecimal; write two hexadecimal digits per byte")]
    NotHexadecimal(usize),
    /// The key at this position, counted from 1, has this many bytes, fewer than [`MIN_KEY_BYTES`].
    #[error("key {0} has {1} bytes, at least 32 are needed")]
    TooShort(usize, usize),
    /// The file has this many keys: none, or more than [`MAX_KEYS`].
    #[error("{0} keys in the file, 1 or 2 are needed")]
    Count(usize),
}

impl Keys {
    /// Parses the text of a key file: `keys = ["HEX", "HEX"]`, or one hexadecimal key per line; `#` begins a comment.
    pub fn parse(text: &str) -> Result<Keys, KeyError> {
        let without_comment = |line: &str| line.split('#').next().unwrap_or("").trim().to_owned();
        let hex: Vec<String> = if text.contains('=') {
            let table: toml::Table = text.parse().map_err(|_| KeyError::Format)?;
            let keys = table
                .get("keys")
                .and_then(toml::Value::as_array)
                .ok_or(KeyError::Format)?;
            let keys: Option<Vec<_>> = keys.iter().map(|k| k.as_str().map(str::to_owned)).collect();
            keys.ok_or(KeyError::Format)?
        } else {
            text.lines()
                .map(without_comment)
                .filter(|line| !line.is_empty())
                .collect()
        };
        if hex.is_empty() || hex.len() > MAX_KEYS {
            return Err(KeyError::Count(hex.len()));
        }
        let mut keys = Vec::new();
        for (i, hex) in hex.iter().enumerate() {
            let key = from_hex(hex).ok_or(KeyError::NotHexadecimal(i + 1))?;
            if key.len() < MIN_KEY_BYTES {
                return Err(KeyError::TooShort(i + 1, key.len()));
            }
            keys.push(key);
        }
        Ok(Keys(keys))
    }

    /// Reads a key file. The second value is a warning for the log if every user of the machine can read the file.
    pub fn read(path: &Path) -> Result<(Keys, Option<&'static str>), KeyError> {
        use std::os::unix::fs::PermissionsExt;
        let file = std::fs::File::open(path)?;
        let mode = file.metadata()?.permissions().mode();
        let mut text = String::new();
        file.take(MAX_KEY_FILE_BYTES).read_to_string(&mut text)?;
        let warning =
            (mode & 0o004 != 0).then_some("every user of this machine can read the key file; remove the permission with chmod o-r");
        Ok((Keys::parse(&text)?, warning))
    }

    fn mac(key: &[u8], nonce: &[u8], body: &[u8]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes keys of any length");
        for part in [MAC_LABEL, nonce, body] {
            mac.update(part);
        }
        mac
    }

    fn sign(&self, nonce: &[u8], frame: &mut Vec<u8>) {
        let mac = Self::mac(&self.0[0], nonce, frame).finalize().into_bytes();
        frame.extend_from_slice(&mac);
    }

    /// Whether one of the keys produces this MAC. The comparison takes constant time.
    fn verify(&self, nonce: &[u8], body: &[u8], mac: &[u8]) -> bool {
        self.0
            .iter()
            .any(|key| Self::mac(key, nonce, body).verify_slice(mac).is_ok())
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

/// Limits of frames' sizes, of senders, and of senders' rates.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FrameLimits {
    /// Maximum payload of a datagram, in bytes.
    #[serde(rename = "most_datagram")]
    pub max_datagram_bytes: usize,
    /// Maximum payload of a frame on a connection, in bytes.
    #[serde(rename = "most_stream_frame")]
    pub max_stream_payload_bytes: usize,
    /// Maximum number of senders in the table; frames of further senders are refused.
    #[serde(rename = "most_senders")]
    pub max_senders: usize,
    /// Average number of frames per second accepted from one sender.
    #[serde(rename = "per_second")]
    pub frames_per_second: u32,
    /// Maximum number of frames accepted from one sender at once.
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

/// Why a frame is refused. A refused frame changes no state. The texts are values of log fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, thiserror::Error)]
pub enum FrameError {
    /// The frame is truncated, or its layout is invalid.
    #[error("malformed")]
    Malformed,
    /// The payload is larger than the [`FrameLimits`] allow.
    #[error("too_long")]
    TooLong,
    /// The version is not [`VERSION`].
    #[error("version")]
    Version,
    /// The frame was made for a connection but arrived as a datagram, or the other way round.
    #[error("channel")]
    Channel,
    /// The frame is addressed to another member.
    #[error("receiver")]
    Receiver,
    /// The frame names this member as its sender.
    #[error("own_name")]
    OwnName,
    /// The MAC fits none of the keys: the frame is forged, corrupted, made with another key, or of another connection.
    #[error("mac")]
    Mac,
    /// The frame is from an earlier incarnation of the sender than the latest one received.
    #[error("old_incarnation")]
    OldIncarnation,
    /// The datagram was accepted before, or is too old for the replay window.
    #[error("replay")]
    Replay,
    /// The frame is not the next one of its connection.
    #[error("order")]
    Order,
    /// The frame is from another sender or incarnation than the connection's first frame.
    #[error("other_sender")]
    OtherSender,
    /// The sender is new, and the table of senders is full.
    #[error("too_many_senders")]
    TooManySenders,
    /// The sender exceeds its rate.
    #[error("rate")]
    Rate,
}

impl FrameError {
    /// All variants, in the order of their declaration.
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

/// Random bytes that the acceptor of a connection sends first and that every MAC on it covers. Must be unique.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ConnectionNonce(pub [u8; 16]);

/// A frame that was accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenedFrame<'a> {
    /// The sender and its incarnation.
    pub from: MemberInstance,
    /// Kind of the payload; its meaning is defined by the transport.
    pub kind: u8,
    /// Sequence number, from 1: of the sender's datagrams in this incarnation, or of the connection's frames.
    pub sequence: u64,
    /// The bytes that the sender sealed.
    pub payload: &'a [u8],
}

#[allow(clippy::too_many_arguments)]
fn seal(
    keys: &Keys,
    me: &MemberInstance,
    to: &MemberName,
    channel: u8,
    nonce: &[u8],
    kind: u8,
    sequence: u64,
    payload: &[u8],
) -> Vec<u8> {
    let (from, to) = (me.name.as_str().as_bytes(), to.as_str().as_bytes());
    let mut frame =
        Vec::with_capacity(FIXED_HEADER_BYTES + from.len() + to.len() + payload.len() + MAC_BYTES);
    frame.extend_from_slice(&[VERSION, channel, kind, from.len() as u8, to.len() as u8]);
    frame.extend_from_slice(&me.incarnation.0.to_le_bytes());
    frame.extend_from_slice(&sequence.to_le_bytes());
    frame.extend_from_slice(from);
    frame.extend_from_slice(to);
    frame.extend_from_slice(payload);
    keys.sign(nonce, &mut frame);
    frame
}

/// Seals a member's datagrams. Needs to be created once per incarnation, because it numbers the datagrams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sealer {
    me: MemberInstance,
    keys: Keys,
    max_payload_bytes: usize,
    next_sequence: u64,
}

impl Sealer {
    /// Creates a sealer for this member and incarnation.
    pub fn new(me: MemberInstance, keys: Keys, limits: &FrameLimits) -> Self {
        Sealer {
            me,
            keys,
            max_payload_bytes: limits.max_datagram_bytes,
            next_sequence: 1,
        }
    }

    /// Makes a datagram for `to`. Fails only if the payload exceeds [`FrameLimits::max_datagram_bytes`].
    pub fn seal(
        &mut self,
        to: &MemberName,
        kind: u8,
        payload: &[u8],
    ) -> Result<Vec<u8>, FrameError> {
        if payload.len() > self.max_payload_bytes {
            return Err(FrameError::TooLong);
        }
        let frame = seal(
            &self.keys,
            &self.me,
            to,
            DATAGRAM_CHANNEL,
            &[],
            kind,
            self.next_sequence,
            payload,
        );
        self.next_sequence += 1;
        Ok(frame)
    }
}

/// Seals the frames of one connection that this member opened to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamSealer {
    me: MemberInstance,
    to: MemberName,
    keys: Keys,
    max_payload_bytes: usize,
    nonce: ConnectionNonce,
    next_sequence: u64,
}

impl StreamSealer {
    /// Creates a sealer for the connection to `to` on which the acceptor sent `nonce`.
    pub fn new(
        me: MemberInstance,
        to: MemberName,
        keys: Keys,
        limits: &FrameLimits,
        nonce: ConnectionNonce,
    ) -> Self {
        StreamSealer {
            me,
            to,
            keys,
            max_payload_bytes: limits.max_stream_payload_bytes,
            nonce,
            next_sequence: 1,
        }
    }

    /// Makes the next frame, without its length. Fails only if the payload exceeds
    /// [`FrameLimits::max_stream_payload_bytes`].
    pub fn seal(&mut self, kind: u8, payload: &[u8]) -> Result<Vec<u8>, FrameError> {
        if payload.len() > self.max_payload_bytes {
            return Err(FrameError::TooLong);
        }
        let frame = seal(
            &self.keys,
            &self.me,
            &self.to,
            STREAM_CHANNEL,
            &self.nonce.0,
            kind,
            self.next_sequence,
            payload,
        );
        self.next_sequence += 1;
        Ok(frame)
    }
}

/// The length that precedes a frame on a connection.
pub fn length_prefix(frame: &[u8]) -> [u8; 4] {
    (frame.len() as u32).to_le_bytes()
}

/// Decodes the length of the next frame. Fails, before the frame is read, if no frame within `limits` has that length.
pub fn frame_length(prefix: [u8; 4], limits: &FrameLimits) -> Result<usize, FrameError> {
    let length = u32::from_le_bytes(prefix) as usize;
    match length {
        _ if length > max_frame_bytes(limits.max_stream_payload_bytes) => Err(FrameError::TooLong),
        _ if length < FIXED_HEADER_BYTES + 2 + MAC_BYTES => Err(FrameError::Malformed),
        _ => Ok(length),
    }
}

/// Maximum length in bytes of a frame with a payload of up to `max_payload_bytes` bytes. A buffer for datagrams needs
/// one byte more, so that a longer datagram is noticed.
pub const fn max_frame_bytes(max_payload_bytes: usize) -> usize {
    FIXED_HEADER_BYTES + 2 * MAX_NAME_LENGTH + max_payload_bytes + MAC_BYTES
}

/// The acceptor's state of a connection: its sender and the next sequence number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Inbound {
    nonce: ConnectionNonce,
    from: Option<MemberInstance>,
    next_sequence: u64,
}

impl Inbound {
    /// Creates the state of a new connection on which `nonce` was sent.
    pub fn new(nonce: ConnectionNonce) -> Self {
        Inbound {
            nonce,
            from: None,
            next_sequence: 1,
        }
    }

    /// The sender; `None` until a frame is accepted.
    pub fn from(&self) -> Option<&MemberInstance> {
        self.from.as_ref()
    }
}

/// Token bucket: limits the average rate and the burst.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TokenBucket {
    frames_per_second: u32,
    burst: u32,
    micro_tokens: u64,
    updated_at: Micros,
}

impl TokenBucket {
    /// Creates a bucket that holds `burst` tokens and is refilled at `frames_per_second`.
    pub fn new(now: Micros, frames_per_second: u32, burst: u32) -> Self {
        TokenBucket {
            frames_per_second,
            burst,
            micro_tokens: u64::from(burst) * 1_000_000,
            updated_at: now,
        }
    }

    /// Takes a token if one is available.
    pub fn take(&mut self, now: Micros) -> bool {
        let refill = now
            .saturating_sub(self.updated_at)
            .saturating_mul(u64::from(self.frames_per_second));
        let available = self
            .micro_tokens
            .saturating_add(refill)
            .min(u64::from(self.burst) * 1_000_000);
        let remaining = available.checked_sub(1_000_000);
        // A refusal changes nothing: the tokens added since the last success are computed again the next time.
        if let Some(remaining) = remaining {
            (self.micro_tokens, self.updated_at) = (remaining, now.max(self.updated_at));
        }
        remaining.is_some()
    }
}

/// Bit map of a sender's latest datagrams that were accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ReplayWindow {
    highest: u64,
    accepted: [u64; (REPLAY_WINDOW / 64) as usize],
}

impl ReplayWindow {
    fn new() -> Self {
        ReplayWindow {
            highest: 0,
            accepted: [0; (REPLAY_WINDOW / 64) as usize],
        }
    }

    fn bit_position(sequence: u64) -> (usize, u64) {
        let at = sequence % REPLAY_WINDOW;
        ((at / 64) as usize, 1 << (at % 64))
    }

    /// Whether a sequence number is within the window and not yet accepted. Numbers start at 1, so 0 is never fresh.
    fn is_fresh(&self, sequence: u64) -> bool {
        let (word, bit) = Self::bit_position(sequence);
        sequence > self.highest
            || (sequence > 0
                && self.highest - sequence < REPLAY_WINDOW
                && self.accepted[word] & bit == 0)
    }

    fn take(&mut self, sequence: u64) {
        if sequence > self.highest {
            for skipped in (self.highest + 1..=sequence)
                .rev()
                .take(REPLAY_WINDOW as usize)
            {
                let (word, bit) = Self::bit_position(skipped);
                self.accepted[word] &= !bit;
            }
            self.highest = sequence;
        }
        let (word, bit) = Self::bit_position(sequence);
        self.accepted[word] |= bit;
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Sender {
    incarnation: Incarnation,
    window: ReplayWindow,
    bucket: TokenBucket,
}

/// A frame whose MAC is valid.
struct VerifiedFrame<'a> {
    from: MemberInstance,
    kind: u8,
    sequence: u64,
    payload: &'a [u8],
}

/// Checks frames addressed to a member. Keeps state of 150 bytes and a name per sender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Opener {
    me: MemberName,
    keys: Keys,
    limits: FrameLimits,
    senders: BTreeMap<MemberName, Sender>,
}

impl Opener {
    /// Creates an opener for frames addressed to `me`, with an empty table of senders.
    pub fn new(me: MemberName, keys: Keys, limits: FrameLimits) -> Self {
        Opener {
            me,
            keys,
            limits,
            senders: BTreeMap::new(),
        }
    }

    /// Checks a datagram and returns its content.
    pub fn open_datagram<'a>(
        &mut self,
        now: Micros,
        frame: &'a [u8],
    ) -> Result<OpenedFrame<'a>, FrameError> {
        let verified = self.verify(frame, DATAGRAM_CHANNEL, &[], self.limits.max_datagram_bytes)?;
        let mut sender = self.sender(now, &verified.from)?;
        if !sender.window.is_fresh(verified.sequence) {
            return Err(FrameError::Replay);
        }
        if !sender.bucket.take(now) {
            return Err(FrameError::Rate);
        }
        sender.window.take(verified.sequence);
        Ok(self.accept(sender, verified))
    }

    /// Checks a frame of a connection and returns its content. After [`FrameError::Rate`] the same frame may be tried
    /// again later. After any other error the connection can't be trusted any more, and the caller has to close it.
    pub fn open_stream_frame<'a>(
        &mut self,
        now: Micros,
        inbound: &mut Inbound,
        frame: &'a [u8],
    ) -> Result<OpenedFrame<'a>, FrameError> {
        let verified = self.verify(
            frame,
            STREAM_CHANNEL,
            &inbound.nonce.0,
            self.limits.max_stream_payload_bytes,
        )?;
        if inbound
            .from
            .as_ref()
            .is_some_and(|from| *from != verified.from)
        {
            return Err(FrameError::OtherSender);
        }
        if verified.sequence != inbound.next_sequence {
            return Err(FrameError::Order);
        }
        let mut sender = self.sender(now, &verified.from)?;
        if !sender.bucket.take(now) {
            return Err(FrameError::Rate);
        }
        inbound.next_sequence += 1;
        inbound.from.get_or_insert_with(|| verified.from.clone());
        Ok(self.accept(sender, verified))
    }

    /// Removes a sender that the membership has forgotten, and frees its place in the table. Its recorded datagrams can
    /// be replayed from then on.
    pub fn forget(&mut self, name: &MemberName) {
        self.senders.remove(name);
    }

    /// Names of the senders in the table.
    pub fn sender_names(&self) -> impl Iterator<Item = &MemberName> {
        self.senders.keys()
    }

    /// Number of senders in the table; at most [`FrameLimits::max_senders`].
    pub fn sender_count(&self) -> usize {
        self.senders.len()
    }

    fn verify<'a>(
        &self,
        frame: &'a [u8],
        channel: u8,
        nonce: &[u8],
        max_payload_bytes: usize,
    ) -> Result<VerifiedFrame<'a>, FrameError> {
        let (&version, _) = frame.split_first().ok_or(FrameError::Malformed)?;
        if version != VERSION {
            return Err(FrameError::Version);
        }
        if frame.len() > max_frame_bytes(max_payload_bytes) {
            return Err(FrameError::TooLong);
        }
        let body_length = frame
            .len()
            .checked_sub(MAC_BYTES)
            .ok_or(FrameError::Malformed)?;
        let (body, mac) = frame.split_at(body_length);
        let (header, remaining) = body
            .split_at_checked(FIXED_HEADER_BYTES)
            .ok_or(FrameError::Malformed)?;
        let (from, remaining) = remaining
            .split_at_checked(header[3].into())
            .ok_or(FrameError::Malformed)?;
        let (to, payload) = remaining
            .split_at_checked(header[4].into())
            .ok_or(FrameError::Malformed)?;
        if header[1] != channel {
            return Err(FrameError::Channel);
        }
        if payload.len() > max_payload_bytes {
            return Err(FrameError::TooLong);
        }
        if to != self.me.as_str().as_bytes() {
            return Err(FrameError::Receiver);
        }
        if !self.keys.verify(nonce, body, mac) {
            return Err(FrameError::Mac);
        }
        let name = std::str::from_utf8(from)
            .ok()
            .and_then(|name| MemberName::try_from(name).ok());
        let name = name.ok_or(FrameError::Malformed)?;
        if name == self.me {
            return Err(FrameError::OwnName);
        }
        let read_u64 = |at: usize| {
            u64::from_le_bytes(
                header[at..at + 8]
                    .try_into()
                    .expect("the range has 8 bytes"),
            )
        };
        let from = MemberInstance {
            name,
            incarnation: Incarnation(read_u64(5)),
        };
        Ok(VerifiedFrame {
            from,
            kind: header[2],
            sequence: read_u64(13),
            payload,
        })
    }

    /// A copy of the sender's state, or new state. [`Self::accept`] stores it once all checks have passed.
    fn sender(&self, now: Micros, from: &MemberInstance) -> Result<Sender, FrameError> {
        match self.senders.get(&from.name) {
            Some(known) if from.incarnation < known.incarnation => Err(FrameError::OldIncarnation),
            Some(known) if from.incarnation == known.incarnation => Ok(known.clone()),
            // The bucket is kept, so that a new incarnation can't exceed the rate.
            Some(known) => Ok(Sender {
                incarnation: from.incarnation,
                window: ReplayWindow::new(),
                bucket: known.bucket.clone(),
            }),
            None if self.senders.len() >= self.limits.max_senders => {
                Err(FrameError::TooManySenders)
            }
            None => Ok(Sender {
                incarnation: from.incarnation,
                window: ReplayWindow::new(),
                bucket: TokenBucket::new(now, self.limits.frames_per_second, self.limits.burst),
            }),
        }
    }

    fn accept<'a>(&mut self, sender: Sender, verified: VerifiedFrame<'a>) -> OpenedFrame<'a> {
        let VerifiedFrame {
            from,
            kind,
            sequence,
            payload,
        } = verified;
        self.senders.insert(from.name.clone(), sender);
        OpenedFrame {
            from,
            kind,
            sequence,
            payload,
        }
    }
}

#[cfg(test)]
mod tests;
