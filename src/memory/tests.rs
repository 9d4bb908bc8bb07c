use super::*;

fn filled(budget: &Budget, length: usize, expected_len: usize) -> Buffer {
    let mut buffer = Buffer::new(budget);
    for _ in 0..length / 100 {
        buffer.extend(&[7; 100], expected_len).unwrap();
    }
    buffer
}

/// Guards against memory that is held and does not count: what a buffer reserves is what it has allocated.
#[test]
fn a_buffer_reserves_its_capacity() {
    let budget = Budget::new(1_000_000);
    let mut buffer = Buffer::new(&budget);
    for _ in 0..190 {
        buffer.extend(&[7; 1_000], 190_000).unwrap();
        assert_eq!(1_000_000 - budget.left(), buffer.bytes.capacity());
        assert!(buffer.bytes.capacity() <= 190_000);
    }
    drop(buffer);
    assert_eq!(budget.left(), 1_000_000);
}

/// Guards against bytes that stop counting while a clone of them is still held, as by an attempt after its first event.
#[test]
fn frozen_bytes_count_until_their_last_clone_is_dropped() {
    let budget = Budget::new(10_000);
    let bytes = filled(&budget, 5_000, usize::MAX).freeze();
    assert_eq!((bytes.len(), budget.left()), (5_000, 5_000));
    let part = bytes.slice(10..20);
    drop(bytes);
    assert_eq!(budget.left(), 5_000);
    drop(part);
    assert_eq!(budget.left(), 10_000);
}

#[test]
fn a_buffer_that_the_budget_has_no_room_for_stays_as_it_is() {
    let budget = Budget::new(1_000);
    let mut buffer = filled(&budget, 900, 900);
    assert_eq!(buffer.extend(&[7; 200], 1_100), Err(BudgetExhausted));
    assert_eq!((buffer.len(), budget.left()), (900, 100));
}

#[test]
fn bytes_reserved_in_advance_are_not_reserved_again() {
    let budget = Budget::new(10_000);
    let mut buffer = Buffer::with_reservation(6_000, &budget).unwrap();
    assert_eq!(budget.left(), 4_000);
    buffer.extend(&[7; 5_000], 5_000).unwrap();
    assert_eq!(budget.left(), 4_000);
    buffer.extend(&[7; 2_000], 7_000).unwrap();
    assert_eq!(budget.left(), 3_000);
}

#[test]
fn a_split_takes_from_the_budget_only_what_the_reservation_lacks() {
    let budget = Budget::new(1_000);
    let mut whole = Reservation::new(&budget);
    whole.grow(600).unwrap();
    let part = whole.split(500).unwrap();
    assert_eq!(
        (part.bytes(), whole.bytes(), budget.left()),
        (500, 100, 400)
    );
    let larger = whole.split(300).unwrap();
    assert_eq!(
        (larger.bytes(), whole.bytes(), budget.left()),
        (300, 0, 200)
    );
    assert!(whole.split(300).is_err());
    assert_eq!(budget.left(), 200);
}

/// Guards against an answer that is cut after its request has run, because others took the last of the budget.
#[test]
fn a_request_in_progress_may_exceed_the_budget_by_half() {
    let budget = Budget::new(1_000);
    let mut body = Reservation::new(&budget);
    body.grow(1_000).unwrap();
    let mut answer = Reservation::new(&budget);
    assert_eq!(answer.grow(1), Err(BudgetExhausted));
    assert_eq!(answer.grow_in_progress(500), Ok(()));
    assert_eq!(answer.grow_in_progress(1), Err(BudgetExhausted));
    drop(body);
    assert_eq!((answer.bytes(), budget.left()), (500, 500));
}

/// Guards against requests that are admitted while those in progress hold more than the budget.
#[test]
fn an_overdrawn_budget_admits_nothing_until_it_is_paid_back() {
    let budget = Budget::new(1_000);
    let call = Buffer::overdrawn(vec![7; 1_500], &budget);
    let mut reservation = Reservation::new(&budget);
    assert_eq!(
        (budget.left(), reservation.grow(1)),
        (0, Err(BudgetExhausted))
    );
    drop(call);
    assert_eq!(reservation.grow(1_000), Ok(()));
}
