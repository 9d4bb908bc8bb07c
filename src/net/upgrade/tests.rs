use super::*;
use std::path::PathBuf;

const ADDRESS: &str = "127.0.0.1:8000";
const TOTAL: usize = 1024;
const RESERVED: usize = 24;

/// A temporary folder for one test, deleted on drop.
struct TempFolder(PathBuf);

impl TempFolder {
    fn new(name: &str) -> Self {
        let path =
            std::env::temp_dir().join(format!("whinhaven-place-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        TempFolder(path)
    }

    async fn acquire(&self) -> Result<AddressOwnership, ConfigError> {
        AddressOwnership::acquire(&self.0, ADDRESS.parse().unwrap()).await
    }

    fn lock_file(&self) -> LockFile {
        LockFile::acquire(&self.0, ADDRESS.parse().unwrap()).unwrap()
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[tokio::test(start_paused = true)]
async fn third_process_waits_for_a_lock_file_and_fails_without_one() {
    let folder = TempFolder::new("third");
    let (first, _second) = (folder.lock_file(), folder.lock_file());
    let error = folder.acquire().await.err().unwrap();
    assert!(error.0.contains("two other processes"), "{error}");
    let (third, ()) = tokio::join!(folder.acquire(), async {
        tokio::time::sleep(STARTUP_WAIT / 2).await;
        drop(first);
    });
    assert!(matches!(third, Ok(AddressOwnership::Shared(_))));
}

#[tokio::test(start_paused = true)]
async fn start_waits_until_the_running_process_gives_up_descriptors() {
    let folder = TempFolder::new("way");
    let running = folder.lock_file();
    running.publish(ProcessStatus {
        phase: ProcessPhase::Serving,
        sockets: TOTAL,
    });
    let ownership = folder.acquire().await.unwrap();
    let limit = DescriptorLimit::new(TOTAL, RESERVED);
    let error = ownership.initial_share(limit).await.unwrap_err();
    assert!(error.0.starts_with("limits.sockets"), "{error}");
    let (first, ()) = tokio::join!(ownership.initial_share(limit), async {
        tokio::time::sleep(STARTUP_WAIT / 2).await;
        running.publish(ProcessStatus {
            phase: ProcessPhase::Serving,
            sockets: TOTAL * 3 / 4,
        });
    });
    assert_eq!(first.unwrap(), (TOTAL / 4, true));
    let status = running.other_process().unwrap();
    assert_eq!(
        status,
        ProcessStatus {
            phase: ProcessPhase::Starting,
            sockets: TOTAL / 4
        }
    );
}

#[tokio::test]
async fn single_process_gets_the_whole_limit() {
    let folder = TempFolder::new("alone");
    let ownership = folder.acquire().await.unwrap();
    assert_eq!(
        ownership
            .initial_share(DescriptorLimit::new(TOTAL, RESERVED))
            .await
            .unwrap(),
        (TOTAL, false)
    );
}
