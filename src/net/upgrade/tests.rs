use super::*;
use std::path::PathBuf;

const ADDRESS: &str = "127.0.0.1:8000";
const WHOLE: usize = 1024;
const SPARE: usize = 24;

/// A folder of its own for a test, removed with it.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path =
            std::env::temp_dir().join(format!("whinhaven-place-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    async fn place(&self) -> Result<Place, ConfigError> {
        Place::take(&self.0, ADDRESS.parse().unwrap()).await
    }

    fn seat(&self) -> Seat {
        Seat::take(&self.0, ADDRESS.parse().unwrap()).unwrap()
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
        tokio::time::sleep(SEAT_WAIT / 2).await;
        drop(first);
    });
    assert!(matches!(third, Ok(Place::Shared(_))));
}

#[tokio::test(start_paused = true)]
async fn a_start_waits_until_the_running_process_has_given_way() {
    let folder = Folder::new("way");
    let running = folder.seat();
    running.tell(Claim {
        phase: Phase::Serving,
        sockets: WHOLE,
    });
    let place = folder.place().await.unwrap();
    let shares = Shares::new(WHOLE, SPARE);
    let refused = place.first_share(shares).await.unwrap_err();
    assert!(refused.0.starts_with("limits.sockets"), "{refused}");
    let (first, ()) = tokio::join!(place.first_share(shares), async {
        tokio::time::sleep(SEAT_WAIT / 2).await;
        running.tell(Claim {
            phase: Phase::Serving,
            sockets: WHOLE * 3 / 4,
        });
    });
    assert_eq!(first.unwrap(), (WHOLE / 4, true));
    let told = running.other().unwrap();
    assert_eq!(
        told,
        Claim {
            phase: Phase::Starting,
            sockets: WHOLE / 4
        }
    );
}

#[tokio::test]
async fn a_process_alone_has_the_whole_limit() {
    let folder = Folder::new("alone");
    let place = folder.place().await.unwrap();
    assert_eq!(
        place.first_share(Shares::new(WHOLE, SPARE)).await.unwrap(),
        (WHOLE, false)
    );
}
