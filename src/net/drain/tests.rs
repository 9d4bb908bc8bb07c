use super::*;

#[test]
fn each_position_is_taken_once_and_followers_see_it() {
    let switch = DrainSwitch::default();
    let mut follower = switch.subscribe();
    assert!(!*follower.borrow_and_update());
    assert!(!switch.stop(), "nothing to stop");
    assert!(switch.start());
    assert!(!switch.start(), "already under way");
    assert!(switch.is_draining() && *follower.borrow_and_update());
    assert!(switch.stop());
    assert!(!switch.is_draining() && !*follower.borrow_and_update());
}

/// A switch and the stage that follows it, on a paused clock.
struct Followed {
    switch: DrainSwitch,
    stage: watch::Sender<Stage>,
}

impl Followed {
    fn start() -> Self {
        let followed = Followed {
            switch: DrainSwitch::default(),
            stage: watch::Sender::new(Stage::Open),
        };
        tokio::task::spawn_local(apply_to_connections(
            followed.switch.subscribe(),
            followed.stage.clone(),
        ));
        followed
    }

    async fn stage_after(&self, time: Duration) -> Stage {
        tokio::time::sleep(time).await;
        *self.stage.borrow()
    }
}

const MOMENT: Duration = Duration::from_millis(1);

async fn tell(story: impl Future<Output = ()>) {
    tokio::task::LocalSet::new().run_until(story).await;
}

#[tokio::test(start_paused = true)]
async fn connections_close_once_the_front_has_noticed_and_are_kept_after_the_stop() {
    tell(async {
        let followed = Followed::start();
        for _ in 0..2 {
            assert_eq!(followed.stage_after(MOMENT).await, Stage::Open);
            followed.switch.start();
            assert_eq!(
                followed.stage_after(CLOSE_DELAY - MOMENT).await,
                Stage::Open
            );
            // A second start doesn't put it off.
            followed.switch.start();
            assert_eq!(followed.stage_after(2 * MOMENT).await, Stage::Draining);
            followed.switch.stop();
            assert_eq!(followed.stage_after(MOMENT).await, Stage::Open);
            followed.switch.stop();
        }
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_drain_called_off_at_once_closes_nothing() {
    tell(async {
        let followed = Followed::start();
        let mut seen = followed.stage.subscribe();
        followed.switch.start();
        assert_eq!(followed.stage_after(CLOSE_DELAY / 2).await, Stage::Open);
        followed.switch.stop();
        assert_eq!(followed.stage_after(2 * CLOSE_DELAY).await, Stage::Open);
        assert!(!seen.has_changed().unwrap());
        // The next one has its whole time.
        followed.switch.start();
        assert_eq!(
            followed.stage_after(CLOSE_DELAY - MOMENT).await,
            Stage::Open
        );
        seen.wait_for(|stage| *stage == Stage::Draining)
            .await
            .unwrap();
    })
    .await;
}

/// Guards against a conductor that accepts on though it ends.
#[rstest::rstest]
#[case::in_a_drain(true, 2 * CLOSE_DELAY)]
#[case::as_a_drain_begins(true, MOMENT)]
#[case::ahead_of_it(false, MOMENT)]
#[tokio::test(start_paused = true)]
async fn a_drain_moves_no_conductor_that_ends(#[case] drains: bool, #[case] since: Duration) {
    tell(async {
        let followed = Followed::start();
        if drains {
            followed.switch.start();
        }
        followed.stage_after(since).await;
        followed.stage.send_replace(Stage::Closing);
        for switch in [DrainSwitch::stop, DrainSwitch::start, DrainSwitch::stop] {
            assert_eq!(followed.stage_after(2 * CLOSE_DELAY).await, Stage::Closing);
            switch(&followed.switch);
        }
        assert_eq!(followed.stage_after(2 * CLOSE_DELAY).await, Stage::Closing);
    })
    .await;
}
