use super::*;
use rstest::rstest;

/// A temporary folder for one test, deleted on drop.
struct TempFolder(PathBuf);

impl TempFolder {
    fn new(name: &str) -> Self {
        let path =
            std::env::temp_dir().join(format!("whinhaven-seat-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        TempFolder(path)
    }

    fn acquire(&self) -> Result<LockFile, LockFileError> {
        LockFile::acquire(&self.0, ADDRESS.parse().unwrap())
    }

    fn file(&self, number: usize) -> PathBuf {
        self.0.join(format!("whinhaven-{ADDRESS}.seat{number}"))
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

const ADDRESS: &str = "127.0.0.1:8000";

#[test]
fn two_processes_see_each_others_status_and_a_third_gets_no_lock_file() {
    let folder = TempFolder::new("two");
    let first = folder.acquire().unwrap();
    assert_eq!(first.other_process(), None);
    let second = folder.acquire().unwrap();
    assert!(matches!(folder.acquire(), Err(LockFileError::AllHeld)));
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
    assert!(folder.acquire().is_ok());
}

#[test]
fn each_address_has_its_own_lock_files() {
    let folder = TempFolder::new("address");
    let _first = folder.acquire().unwrap();
    let other = LockFile::acquire(&folder.0, "127.0.0.1:8001".parse().unwrap()).unwrap();
    assert_eq!(other.other_process(), None);
}

#[rstest]
#[case::empty("")]
#[case::text("who knows what\n")]
#[case::truncated("whinhaven-seat-1 serving")]
#[case::unknown_phase("whinhaven-seat-1 resting 5")]
#[case::negative_number("whinhaven-seat-1 serving -5")]
#[case::extra_word("whinhaven-seat-1 serving 5 5")]
#[case::other_version("whinhaven-seat-2 serving 5")]
fn invalid_status_line_is_treated_as_a_starting_process(#[case] line: &str) {
    assert_eq!(line.parse::<ProcessStatus>(), Err(InvalidStatus));
    let folder = TempFolder::new(&format!("line-{}", line.len()));
    std::fs::write(folder.file(1), line).unwrap();
    let first = folder.acquire().unwrap();
    assert_eq!(first.other_process(), None, "no process holds the file");
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
fn status_in_an_unlocked_file_is_ignored() {
    let folder = TempFolder::new("stale");
    std::fs::write(folder.file(1), "whinhaven-seat-1 serving 1024\n").unwrap();
    let first = folder.acquire().unwrap();
    assert_eq!(first.other_process(), None);
    let second = folder.acquire().unwrap();
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
fn path_that_is_not_a_file_is_reported_as_unusable() {
    let folder = TempFolder::new("folder");
    std::fs::create_dir(folder.file(0)).unwrap();
    assert!(
        matches!(folder.acquire(), Err(LockFileError::Unusable(path, _)) if path == folder.file(0))
    );
}
