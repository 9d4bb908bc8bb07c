use super::*;
use rstest::rstest;

/// A folder of its own for a test, removed with it.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path =
            std::env::temp_dir().join(format!("whinhaven-seat-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    fn take(&self) -> Result<Seat, SeatError> {
        Seat::take(&self.0, ADDRESS.parse().unwrap())
    }

    fn file(&self, number: usize) -> PathBuf {
        self.0.join(format!("whinhaven-{ADDRESS}.seat{number}"))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

const ADDRESS: &str = "127.0.0.1:8000";

#[test]
fn two_processes_hear_each_other_and_a_third_has_no_seat() {
    let folder = Folder::new("two");
    let first = folder.take().unwrap();
    assert_eq!(first.other(), None);
    let second = folder.take().unwrap();
    assert!(matches!(folder.take(), Err(SeatError::Taken)));
    assert_eq!(
        first.other(),
        Some(Claim {
            phase: Phase::Starting,
            sockets: 0
        })
    );
    for claim in [
        Claim {
            phase: Phase::Serving,
            sockets: 1024,
        },
        Claim {
            phase: Phase::Stopping,
            sockets: 7,
        },
    ] {
        second.tell(claim);
        assert_eq!(first.other(), Some(claim));
    }
    drop(second);
    assert_eq!(first.other(), None);
    drop(first);
    assert!(folder.take().is_ok());
}

#[test]
fn another_address_has_seats_of_its_own() {
    let folder = Folder::new("address");
    let _first = folder.take().unwrap();
    let other = Seat::take(&folder.0, "127.0.0.1:8001".parse().unwrap()).unwrap();
    assert_eq!(other.other(), None);
}

#[rstest]
#[case::empty("")]
#[case::text("who knows what\n")]
#[case::cut_short("whinhaven-seat-1 serving")]
#[case::other_phase("whinhaven-seat-1 resting 5")]
#[case::no_number("whinhaven-seat-1 serving -5")]
#[case::more("whinhaven-seat-1 serving 5 5")]
#[case::other_version("whinhaven-seat-2 serving 5")]
fn a_line_that_is_no_claim_counts_for_nothing(#[case] line: &str) {
    assert_eq!(line.parse::<Claim>(), Err(NoClaim));
    let folder = Folder::new(&format!("line-{}", line.len()));
    std::fs::write(folder.file(1), line).unwrap();
    let first = folder.take().unwrap();
    assert_eq!(first.other(), None, "nobody holds it");
    let foreign = File::open(folder.file(1)).unwrap();
    foreign.lock().unwrap();
    assert_eq!(
        first.other(),
        Some(Claim {
            phase: Phase::Starting,
            sockets: 0
        })
    );
}

#[test]
fn a_stale_claim_counts_for_nothing() {
    let folder = Folder::new("stale");
    std::fs::write(folder.file(1), "whinhaven-seat-1 serving 1024\n").unwrap();
    let first = folder.take().unwrap();
    assert_eq!(first.other(), None);
    let second = folder.take().unwrap();
    assert_eq!(
        first.other(),
        Some(Claim {
            phase: Phase::Starting,
            sockets: 0
        })
    );
    drop(second);
}

#[test]
fn what_is_no_file_is_said_to_be_unusable() {
    let folder = Folder::new("folder");
    std::fs::create_dir(folder.file(0)).unwrap();
    assert!(matches!(folder.take(), Err(SeatError::Unusable(path, _)) if path == folder.file(0)));
}
