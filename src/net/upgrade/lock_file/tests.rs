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

    fn take(&self) -> Result<LockFile, LockFileError> {
        LockFile::acquire(&self.0, ADDRESS.parse().unwrap())
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
    assert_eq!(first.other_process(), None);
    let second = folder.take().unwrap();
    assert!(matches!(folder.take(), Err(LockFileError::AllHeld)));
    assert_eq!(
        first.other_process(),
        Some(ProcessStatus {
            phase: ProcessPhase::Starting,
            sockets: 0
        })
    );
    for status in [
        ProcessStatus {
            phase: ProcessPhase::Serving,
            sockets: 1024,
        },
        ProcessStatus {
            phase: ProcessPhase::Stopping,
            sockets: 7,
        },
    ] {
        second.publish(status);
        assert_eq!(first.other_process(), Some(status));
    }
    drop(second);
    assert_eq!(first.other_process(), None);
    drop(first);
    assert!(folder.take().is_ok());
}

#[test]
fn another_address_has_seats_of_its_own() {
    let folder = Folder::new("address");
    let _first = folder.take().unwrap();
    let other = LockFile::acquire(&folder.0, "127.0.0.1:8001".parse().unwrap()).unwrap();
    assert_eq!(other.other_process(), None);
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
    assert_eq!(line.parse::<ProcessStatus>(), Err(InvalidStatus));
    let folder = Folder::new(&format!("line-{}", line.len()));
    std::fs::write(folder.file(1), line).unwrap();
    let first = folder.take().unwrap();
    assert_eq!(first.other_process(), None, "nobody holds it");
    let foreign = File::open(folder.file(1)).unwrap();
    foreign.lock().unwrap();
    assert_eq!(
        first.other_process(),
        Some(ProcessStatus {
            phase: ProcessPhase::Starting,
            sockets: 0
        })
    );
}

#[test]
fn a_stale_claim_counts_for_nothing() {
    let folder = Folder::new("stale");
    std::fs::write(folder.file(1), "whinhaven-seat-1 serving 1024\n").unwrap();
    let first = folder.take().unwrap();
    assert_eq!(first.other_process(), None);
    let second = folder.take().unwrap();
    assert_eq!(
        first.other_process(),
        Some(ProcessStatus {
            phase: ProcessPhase::Starting,
            sockets: 0
        })
    );
    drop(second);
}

#[test]
fn what_is_no_file_is_said_to_be_unusable() {
    let folder = Folder::new("folder");
    std::fs::create_dir(folder.file(0)).unwrap();
    assert!(
        matches!(folder.take(), Err(LockFileError::Unusable(path, _)) if path == folder.file(0))
    );
}
