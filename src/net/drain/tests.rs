use super::*;

#[test]
fn switch_reports_changes_once_and_notifies_subscribers() {
    let switch = DrainSwitch::default();
    let mut subscriber = switch.subscribe();
    assert!(!*subscriber.borrow_and_update());
    assert!(!switch.stop(), "no drain to stop");
    assert!(switch.start());
    assert!(!switch.start(), "already draining");
    assert!(switch.is_draining() && *subscriber.borrow_and_update());
    assert!(switch.stop());
    assert!(!switch.is_draining() && !*subscriber.borrow_and_update());
}

/// A switch and the stage that it controls, on a paused clock.
struct DrainFixture {
    switch: DrainSwitch,
    stage: watch::Sender<Stage>,
}

impl DrainFixture {
    fn start() -> Self {
        let fixture = DrainFixture {
            switch: DrainSwitch::default(),
            stage: watch::Sender::new(Stage::Open),
        };
        tokio::task::spawn_local(apply_to_connections(
            fixture.switch.subscribe(),
            fixture.stage.clone(),
        ));
        fixture
    }

    async fn stage_after(&self, time: Duration) -> Stage {
        tokio::time::sleep(time).await;
        *self.stage.borrow()
    }
}

const TICK: Duration = Duration::from_millis(1);

async fn run_local(test: impl Future<Output = ()>) {
    tokio::task::LocalSet::new().run_until(test).await;
}

#[tokio::test(start_paused = true)]
async fn connections_close_after_the_delay_and_are_kept_after_the_stop() {
    run_local(async {
        let fixture = DrainFixture::start();
        for _ in 0..2 {
            assert_eq!(fixture.stage_after(TICK).await, Stage::Open);
            fixture.switch.start();
            assert_eq!(fixture.stage_after(CLOSE_DELAY - TICK).await, Stage::Open);
            // A second start does not restart the delay.
            fixture.switch.start();
            assert_eq!(fixture.stage_after(2 * TICK).await, Stage::Draining);
            fixture.switch.stop();
            assert_eq!(fixture.stage_after(TICK).await, Stage::Open);
            fixture.switch.stop();
        }
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn drain_stopped_before_the_delay_closes_nothing() {
    run_local(async {
        let fixture = DrainFixture::start();
        let mut stage_changes = fixture.stage.subscribe();
        fixture.switch.start();
        assert_eq!(fixture.stage_after(CLOSE_DELAY / 2).await, Stage::Open);
        fixture.switch.stop();
        assert_eq!(fixture.stage_after(2 * CLOSE_DELAY).await, Stage::Open);
        assert!(!stage_changes.has_changed().unwrap());
        // The next drain waits for the complete delay.
        fixture.switch.start();
        assert_eq!(fixture.stage_after(CLOSE_DELAY - TICK).await, Stage::Open);
        stage_changes
            .wait_for(|stage| *stage == Stage::Draining)
            .await
            .unwrap();
    })
    .await;
}

/// Guards against a drain switch that returns a closing router to accepting connections.
#[rstest::rstest]
#[case::draining(true, 2 * CLOSE_DELAY)]
#[case::drain_just_started(true, TICK)]
#[case::not_draining(false, TICK)]
#[tokio::test(start_paused = true)]
async fn drain_does_not_change_the_stage_of_a_closing_router(
    #[case] is_draining: bool,
    #[case] delay: Duration,
) {
    run_local(async {
        let fixture = DrainFixture::start();
        if is_draining {
            fixture.switch.start();
        }
        fixture.stage_after(delay).await;
        fixture.stage.send_replace(Stage::Closing);
        for switch in [DrainSwitch::stop, DrainSwitch::start, DrainSwitch::stop] {
            assert_eq!(fixture.stage_after(2 * CLOSE_DELAY).await, Stage::Closing);
            switch(&fixture.switch);
        }
        assert_eq!(fixture.stage_after(2 * CLOSE_DELAY).await, Stage::Closing);
    })
    .await;
}
