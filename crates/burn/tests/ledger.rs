//! The ledger counts every request exactly once, even if writes or their answers are lost.

use chestnutrack_burn::ledger::{Read, Step};
use chestnutrack_burn::series::Key;
use chestnutrack_burn::{BURN_PERIOD, Counts, Ledger, Outcome, Report, Write};
use chestnutrack_core::time::Instant;
use quickcheck::{Arbitrary, Gen, quickcheck};
use std::time::Duration;

/// An object in the platform's store.
#[derive(Default)]
struct Object {
    version: u64,
    value: Option<serde_json::Value>,
    written: Instant,
}

impl Object {
    fn write(&mut self, now: Instant, write: &Write) -> Result<u64, ()> {
        if write.version != self.version {
            return Err(());
        }
        *self =
            Object { version: self.version + 1, value: Some(write.value.clone()), written: now };
        Ok(self.version)
    }

    fn read(&self, now: Instant) -> Option<Read> {
        let value = self.value.clone()?;
        Some(Read { version: self.version, age: now.since(self.written), value })
    }
}

fn key(organisation: &str, route: &str) -> Key {
    Key { organisation: organisation.into(), route: route.into() }
}

fn ledger(incarnation: u64, now: Instant) -> Ledger {
    Ledger::new("larder-orders".into(), incarnation, now)
}

/// Performs all actions of a ledger that are due, without losing any answer.
fn run_due_actions(ledger: &mut Ledger, object: &mut Object, now: Instant) {
    loop {
        match ledger.next_step(now) {
            Step::Idle => return,
            Step::Read => ledger.apply_read(now, object.read(now)),
            Step::Write(write) => match object.write(now, &write) {
                Ok(version) => ledger.confirm_write(version),
                Err(()) => ledger.mark_write_lost(now),
            },
        }
    }
}

fn total(object: &Object, now: Instant) -> Counts {
    let objects: Vec<Read> = object.read(now).into_iter().collect();
    let report = Report::from_objects("larder-orders", 950, &objects);
    report.whole.windows.last().map(|burn| burn.counts).unwrap_or_default()
}

#[test]
fn the_first_write_requires_that_no_object_exists() {
    let now = Instant::from_millis(1_000);
    let mut ledger = ledger(1, now);
    ledger.record(now, key("dairy-coop", "deposit"), Outcome::Good);

    assert_eq!(ledger.next_step(now), Step::Read);
    ledger.apply_read(now, None);
    let Step::Write(write) = ledger.next_step(now) else { panic!("no write") };

    assert_eq!(write.version, 0);
}

#[test]
fn a_host_without_requests_makes_one_call() {
    let start = Instant::from_millis(0);
    let mut ledger = ledger(1, start);
    let mut object = Object::default();

    run_due_actions(&mut ledger, &mut object, start);
    let later = start + 100 * BURN_PERIOD;

    assert_eq!(ledger.next_step(later), Step::Idle);
    assert_eq!(object.version, 0);
}

#[test]
fn a_lost_answer_does_not_count_a_request_twice() {
    let now = Instant::from_millis(1_000);
    let mut ledger = ledger(1, now);
    let mut object = Object::default();
    run_due_actions(&mut ledger, &mut object, now);
    ledger.record(now, key("dairy-coop", "deposit"), Outcome::Good);
    let write = ledger.flush(now).unwrap();

    object.write(now, &write).unwrap();
    ledger.mark_write_lost(now);
    let later = now + 2 * BURN_PERIOD;
    ledger.record(later, key("dairy-coop", "deposit"), Outcome::Failed);
    run_due_actions(&mut ledger, &mut object, later);

    assert_eq!(total(&object, later), Counts { good: 1, failed: 1, ..Counts::default() });
}

#[test]
fn a_successor_continues_the_counts() {
    let now = Instant::from_millis(1_000);
    let mut object = Object::default();
    let mut first = ledger(1, now);
    run_due_actions(&mut first, &mut object, now);
    first.record(now, key("honey-shop", "chat"), Outcome::Slow);
    let write = first.flush(now).unwrap();
    object.write(now, &write).unwrap();

    // The host was rebooted, so that the successor's clock starts at zero.
    let boot = Instant::from_millis(5);
    object.written = Instant::from_millis(0);
    let mut second = ledger(2, boot);
    run_due_actions(&mut second, &mut object, boot);
    second.record(boot, key("honey-shop", "chat"), Outcome::Good);
    let later = boot + 2 * BURN_PERIOD;
    run_due_actions(&mut second, &mut object, later);

    assert_eq!(total(&object, later), Counts { good: 1, slow: 1, ..Counts::default() });
}

#[test]
fn a_large_value_is_bounded_and_has_a_longer_period() {
    let start = Instant::from_millis(0);
    let mut ledger = ledger(1, start);
    let mut object = Object::default();
    run_due_actions(&mut ledger, &mut object, start);
    let mut recorded = 0;
    for bucket in 0..100 {
        let now = start + Duration::from_secs(300 * bucket);
        for organisation in 0..200 {
            let key = key(&format!("organisation-{organisation}"), "chat");
            ledger.record(now, key, Outcome::Good);
            recorded += 1;
        }
    }
    let now = start + Duration::from_secs(300 * 100);

    let write = ledger.flush(now).unwrap();
    object.write(now, &write).unwrap();

    assert!(write.bytes <= chestnutrack_burn::BURN_VALUE_BYTES_MAX, "{} bytes", write.bytes);
    assert!(chestnutrack_burn::write_period(write.bytes) > BURN_PERIOD);
    assert_eq!(total(&object, now).good, recorded);
}

/// An event on one host.
#[derive(Clone, Copy, Debug)]
enum Event {
    Record,
    Wait,
    Tick,
    /// The next write takes effect, but its answer is lost.
    LoseAnswer,
    /// The next write is lost before it takes effect.
    LoseWrite,
    /// Another process of the same name records a request and writes.
    Rival,
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Event {
        use Event::*;
        *g.choose(&[Record, Record, Wait, Tick, Tick, LoseAnswer, LoseWrite, Rival])
            .expect("there are events")
    }
}

/// Plays events, then lets both processes write all counts. Returns `true` if each request is counted
/// exactly once.
fn counts_each_request_once(events: Vec<Event>) -> bool {
    let mut now = Instant::from_millis(0);
    let (mut ledger, mut rival) = (ledger(1, now), ledger(2, now));
    let mut object = Object::default();
    let (mut recorded, mut lose_answer, mut lose_write) = (0, false, false);
    for event in events {
        match event {
            Event::Record => {
                ledger.record(now, key("bay-bakery", "stock"), Outcome::Good);
                recorded += 1;
            }
            Event::Wait => now = now + BURN_PERIOD,
            Event::LoseAnswer => lose_answer = true,
            Event::LoseWrite => lose_write = true,
            Event::Rival => {
                rival.record(now, key("bay-bakery", "stock"), Outcome::Good);
                recorded += 1;
                run_due_actions(&mut rival, &mut object, now);
            }
            Event::Tick => match ledger.next_step(now) {
                Step::Idle => {}
                Step::Read => ledger.apply_read(now, object.read(now)),
                Step::Write(_) if std::mem::take(&mut lose_write) => ledger.mark_write_lost(now),
                Step::Write(write) => match object.write(now, &write) {
                    Ok(_) if std::mem::take(&mut lose_answer) => ledger.mark_write_lost(now),
                    Ok(version) => ledger.confirm_write(version),
                    Err(()) => ledger.mark_write_lost(now),
                },
            },
        }
    }
    for _ in 0..4 {
        now = now + 4 * BURN_PERIOD;
        run_due_actions(&mut ledger, &mut object, now);
        run_due_actions(&mut rival, &mut object, now);
    }
    total(&object, now).all() == recorded
}

#[test]
fn a_rival_write_after_a_lost_answer_does_not_count_a_request_twice() {
    use Event::*;

    assert!(counts_each_request_once(vec![LoseAnswer, Record, Tick, Tick, Rival]));
}

quickcheck! {
    fn each_request_is_counted_once(events: Vec<Event>) -> bool {
        counts_each_request_once(events)
    }
}
