//! Each fault of the relay does what it says, by itself and one way.

use rstest::rstest;
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::time::{Duration, Instant};
use whinhaven_lab::history::{History, STUCK};
use whinhaven_lab::network::{Faults, Network};

struct Link {
    network: Network,
    udp: (UdpSocket, UdpSocket),
    tcp: TcpListener,
    at: SocketAddr,
}

/// A link `a` to `b`; datagrams are sent from the first socket and come out at the second.
fn link(seed: u64) -> Link {
    let tcp = TcpListener::bind("127.0.0.1:0").unwrap();
    let to = UdpSocket::bind(tcp.local_addr().unwrap()).unwrap();
    let network = Network::new(seed, History::new()).unwrap();
    let at = network
        .link(
            "a",
            "b",
            "127.0.0.1:0".parse().unwrap(),
            tcp.local_addr().unwrap(),
        )
        .unwrap();
    let from = UdpSocket::bind("127.0.0.1:0").unwrap();
    to.set_read_timeout(Some(STUCK)).unwrap();
    Link {
        network,
        udp: (from, to),
        tcp,
        at,
    }
}

impl Link {
    /// Sends numbered datagrams, waits until the relay has them, and then sends the last one, `stop`, over a good link.
    fn send(&self, count: u32) -> Vec<Vec<u8>> {
        for n in 0..count {
            self.udp.0.send_to(&n.to_be_bytes(), self.at).unwrap();
            while self.network.carried("a", "b")[0] <= u64::from(n) {
                std::thread::yield_now();
            }
        }
        self.network.set("a", "b", |f| {
            *f = Faults {
                delay: Duration::from_millis(60),
                ..Faults::default()
            }
        });
        self.udp.0.send_to(b"stop", self.at).unwrap();
        let mut came = Vec::new();
        loop {
            let mut buffer = [0; 64];
            let length = self.udp.1.recv(&mut buffer).unwrap();
            if &buffer[..length] == b"stop" {
                return came;
            }
            came.push(buffer[..length].to_vec());
        }
    }
}

fn numbers(came: &[Vec<u8>]) -> Vec<u32> {
    came.iter()
        .map(|d| u32::from_be_bytes(d.as_slice().try_into().unwrap()))
        .collect()
}

#[rstest]
#[case::none(Faults::default(), 100, 100, true)]
#[case::cut(Faults { cut: true, ..Faults::default() }, 0, 0, true)]
#[case::held_and_let_go_in_a_burst(Faults { held: true, ..Faults::default() }, 100, 100, true)]
#[case::half_lost(Faults { loss: 0.5, ..Faults::default() }, 30, 70, true)]
#[case::half_twice(Faults { duplicate: 0.5, ..Faults::default() }, 130, 170, false)]
#[case::half_overtaken(Faults { reorder: 0.5, ..Faults::default() }, 100, 100, false)]
fn datagrams_come_as_the_faults_have_it(
    #[case] faults: Faults,
    #[case] least: usize,
    #[case] most: usize,
    #[case] in_order: bool,
) {
    let link = link(7);
    link.network.set("a", "b", |f| *f = faults.clone());
    let came = numbers(&link.send(100));
    assert!((least..=most).contains(&came.len()), "{came:?}");
    assert_eq!(came.is_sorted(), in_order, "{came:?}");
    assert!(came.iter().collect::<BTreeSet<_>>().len() <= 100);
}

#[test]
fn one_bit_of_a_garbled_datagram_is_flipped() {
    let link = link(7);
    link.network.set("a", "b", |f| f.garble = 1.0);
    for (n, came) in link.send(20).iter().enumerate() {
        let wrong: u32 = came
            .iter()
            .zip((n as u32).to_be_bytes())
            .map(|(a, b)| (a ^ b).count_ones())
            .sum();
        assert_eq!(wrong, 1);
    }
}

#[test]
fn forged_and_replayed_datagrams_come_beside_the_real_ones() {
    let link = link(7);
    link.network
        .set("a", "b", |f| (f.forge, f.replay) = (1.0, 1.0));
    let came = link.send(20);
    let real = |n: &u32| came.contains(&n.to_be_bytes().to_vec());
    assert!(
        (0..20).filter(real).count() == 20 && came.len() == 59,
        "{came:?}"
    );
}

/// Guards against runs that can't be told again: what is lost follows from the seed.
#[test]
fn the_same_seed_loses_the_same_datagrams() {
    let lost = |seed| {
        let link = link(seed);
        link.network.set("a", "b", |f| f.loss = 0.3);
        numbers(&link.send(60))
    };
    assert_eq!(lost(3), lost(3));
    assert_ne!(lost(3), lost(4));
}

#[test]
fn a_connection_is_cut_one_way_held_and_dripped() {
    let link = link(7);
    let mut client = TcpStream::connect(link.at).unwrap();
    let (mut server, _) = link.tcp.accept().unwrap();
    for stream in [&client, &server] {
        stream.set_read_timeout(Some(STUCK)).unwrap();
    }
    let mut byte = [0; 1];
    link.network.cut_one_way("a", "b");
    client.write_all(b"1").unwrap();
    // The other way is open meanwhile, and nothing has come this way when that has been through.
    server.write_all(b"2").unwrap();
    client.read_exact(&mut byte).unwrap();
    assert_eq!(&byte, b"2");
    server.set_nonblocking(true).unwrap();
    assert!(server.read(&mut byte).is_err());
    server.set_nonblocking(false).unwrap();
    link.network.heal();
    server.read_exact(&mut byte).unwrap();
    assert_eq!(&byte, b"1");
    // Two hundred bytes at a thousand a second take at least that long, less the first piece.
    link.network.set("a", "b", |f| f.drip = 1000);
    let begun = Instant::now();
    client.write_all(&[b'x'; 200]).unwrap();
    server.read_exact(&mut [0; 200]).unwrap();
    assert!(begun.elapsed() >= Duration::from_millis(170));
    // The end of a process is not told through a cut.
    link.network.heal();
    link.network.cut("a", "b");
    drop(client);
    server.set_nonblocking(true).unwrap();
    assert!(matches!(server.read(&mut byte), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock));
    server.set_nonblocking(false).unwrap();
    link.network.heal();
    assert!(matches!(server.read(&mut byte), Ok(0) | Err(_)));
}

/// Guards against what no network does: bytes that arrive on a connection which never came up.
#[test]
fn a_connection_given_up_before_it_came_up_carries_nothing() {
    let link = link(1);
    link.network.cut_one_way("b", "a");
    let mut early = TcpStream::connect(link.at).unwrap();
    early.write_all(b"early").unwrap();
    early.shutdown(std::net::Shutdown::Write).unwrap();
    early.set_read_timeout(Some(STUCK)).unwrap();
    // The relay has let go of it.
    assert!(matches!(early.read(&mut [0]), Ok(0)));
    link.network.heal();
    let mut late = TcpStream::connect(link.at).unwrap();
    late.write_all(b"late!").unwrap();
    let (mut came, mut bytes) = (link.tcp.accept().unwrap().0, [0; 5]);
    came.read_exact(&mut bytes).unwrap();
    assert_eq!(&bytes, b"late!");
}
