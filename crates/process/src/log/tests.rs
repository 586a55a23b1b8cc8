use super::{Bucket, RateLimit};
use std::time::{Duration, Instant};

const BOUND: RateLimit = RateLimit { lines_per_s: 10, bytes_per_s: 1_000, queued_lines_max: 8 };

#[test]
fn lines_beyond_the_bound_are_dropped_counted_and_told_once() {
    let start = Instant::now();
    let mut bucket = Bucket::new(BOUND, start);

    let taken = (0..100).filter(|_| bucket.take(start, 10)).count();

    assert_eq!(taken, 20);
    assert_eq!(bucket.dropped_since(0), 80);
    assert_eq!(bucket.dropped_since(0), 0);
}

#[test]
fn the_bound_holds_for_bytes_as_well_and_fills_up_with_time() {
    let start = Instant::now();
    let mut bucket = Bucket::new(BOUND, start);

    let at_once = (0..10).filter(|_| bucket.take(start, 1_000)).count();
    let later = (0..10).filter(|_| bucket.take(start + Duration::from_secs(1), 1_000)).count();

    assert_eq!((at_once, later), (2, 1));
}

#[test]
fn lines_that_the_writer_lost_are_told_too() {
    let mut bucket = Bucket::new(BOUND, Instant::now());

    assert_eq!(bucket.dropped_since(3), 3);
}
