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
