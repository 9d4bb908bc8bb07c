use super::Slope;

#[test]
fn a_line_goes_through_points_that_lie_on_one() {
    let slope = Slope::through(&[(10.0, 25.0), (20.0, 45.0), (100.0, 205.0)]).expect("three sizes");
    assert!((slope.base - 5.0).abs() < 1e-9 && (slope.each - 2.0).abs() < 1e-9);
    assert!((slope.at(1_400.0) - 2_805.0).abs() < 1e-6 && slope.off_by < 1e-9);
}

#[test]
fn a_line_says_how_far_off_its_points_are() {
    let slope = Slope::through(&[(0.0, 0.0), (1.0, 10.0), (2.0, 0.0)]).expect("three sizes");
    assert!((slope.off_by - 2.0 / 3.0).abs() < 1e-9);
}

#[test]
fn one_size_makes_no_line() {
    assert_eq!(Slope::through(&[]), None);
    assert_eq!(Slope::through(&[(5.0, 1.0), (5.0, 2.0)]), None);
}
