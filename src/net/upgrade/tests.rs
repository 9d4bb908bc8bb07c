use super::*;
use std::path::PathBuf;

const ADDRESS: &str = "127.0.0.1:8000";
const TOTAL: usize = 1024;
const RESERVED: usize = 24;

/// A folder of its own for a test, removed with it.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path =
            std::env::temp_dir().join(format!("whinhaven-place-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    async fn place(&self) -> Result<AddressOwnership, ConfigError> {
        AddressOwnership::acquire(&self.0, ADDRESS.parse().unwrap()).await
    }

    fn seat(&self) -> LockFile {
        LockFile::acquire(&self.0, ADDRESS.parse().unwrap()).unwrap()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[tokio::test(start_paused = true)]
async fn a_third_process_waits_for_a_seat_and_is_told_when_there_is_none() {
    let folder = Folder::new("third");
    let (first, _second) = (folder.seat(), folder.seat());
    let refused = folder.place().await.err().unwrap();
    assert!(refused.0.contains("two other processes"), "{refused}");
    let (third, ()) = tokio::join!(folder.place(), async {
        tokio::time::sleep(STARTUP_WAIT / 2).await;
        drop(first);
    });
    assert!(matches!(third, Ok(AddressOwnership::Shared(_))));
}

#[tokio::test(start_paused = true)]
async fn a_start_waits_until_the_running_process_has_given_way() {
    let folder = Folder::new("way");
    let running = folder.seat();
    running.publish(ProcessStatus {
        phase: ProcessPhase::Serving,
        sockets: TOTAL,
    });
    let place = folder.place().await.unwrap();
    let limit = DescriptorLimit::new(TOTAL, RESERVED);
    let refused = place.initial_share(limit).await.unwrap_err();
    assert!(refused.0.starts_with("limits.sockets"), "{refused}");
    let (first, ()) = tokio::join!(place.initial_share(limit), async {
        tokio::time::sleep(STARTUP_WAIT / 2).await;
        running.publish(ProcessStatus {
            phase: ProcessPhase::Serving,
            sockets: TOTAL * 3 / 4,
        });
    });
    assert_eq!(first.unwrap(), (TOTAL / 4, true));
    let published = running.other_process().unwrap();
    assert_eq!(
        published,
        ProcessStatus {
            phase: ProcessPhase::Starting,
            sockets: TOTAL / 4
        }
    );
}

#[tokio::test]
async fn a_process_alone_has_the_whole_limit() {
    let folder = Folder::new("alone");
    let place = folder.place().await.unwrap();
    assert_eq!(
        place
            .initial_share(DescriptorLimit::new(TOTAL, RESERVED))
            .await
            .unwrap(),
        (TOTAL, false)
    );
}
