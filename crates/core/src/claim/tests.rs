//! Tests claims under random sequences of requests, lost answers and lost holders.

use super::{CLAIM_RUN_MAX, CLAIM_TTL, Record, Status, evaluate, object_name};
use crate::member::Identity;
use quickcheck::{Arbitrary, Gen, quickcheck};
use std::collections::BTreeSet;
use std::time::Duration;

/// A step of a random sequence for one key.
#[derive(Clone, Debug)]
enum Step {
    /// A member claims the key for a new request; the answer to its write may be lost.
    Request { member: u8, lost: bool },
    /// A member repeats the claim for its last request.
    Retry { member: u8 },
    /// The member settles the claim if it holds it.
    Settle { member: u8 },
    /// A member is lost, and a new incarnation takes its place.
    Replace { member: u8 },
    /// Time passes.
    Wait { minutes: u8 },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let member = u8::arbitrary(g) % 3;
        match u8::arbitrary(g) % 8 {
            0..=2 => Step::Request { member, lost: bool::arbitrary(g) },
            3 | 4 => Step::Retry { member },
            5 => Step::Settle { member },
            6 => Step::Replace { member },
            _ => Step::Wait { minutes: u8::arbitrary(g) % 20 },
        }
    }
}

/// The object of one key, and three members.
#[derive(Default)]
struct Model {
    object: Option<(Record<u32>, u64)>,
    minute: u64,
    incarnations: [u64; 3],
    requests: [u64; 3],
    last_request: u64,
    ran: BTreeSet<u64>,
}

impl Model {
    fn identity(&self, member: u8) -> Identity {
        let incarnation = self.incarnations[usize::from(member)];
        Identity { name: format!("h{member}").into(), incarnation }
    }

    fn record(&self, member: u8) -> Record<u32> {
        let request = self.requests[usize::from(member)].to_string();
        Record { request, writer: self.identity(member), body: "body".to_owned(), ended: None }
    }

    /// Creates the object if it doesn't exist; otherwise evaluates the existing claim.
    fn claim(&mut self, member: u8, lost: bool) {
        let proposed = self.record(member);
        let Some((existing, written_at)) = &self.object else {
            self.object = Some((proposed, self.minute));
            if !lost {
                self.ran.insert(self.requests[usize::from(member)]);
            }
            return;
        };
        let age = Duration::from_secs(60 * (self.minute - written_at));
        let is_alive = |holder: &Identity| (0..3).any(|member| self.identity(member) == *holder);
        match evaluate(existing, age, &proposed, is_alive) {
            Status::Own => drop(self.ran.insert(self.requests[usize::from(member)])),
            Status::Expired => self.object = None,
            _ => {}
        }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Request { member, lost } => {
                self.last_request += 1;
                self.requests[usize::from(member)] = self.last_request;
                self.claim(member, lost);
            }
            Step::Retry { member } => self.claim(member, false),
            Step::Settle { member } => {
                let holder = self.identity(member);
                let is_running = |(record, _): &&mut (Record<u32>, u64)| {
                    record.writer == holder && record.ended.is_none()
                };
                if let Some((record, written_at)) = self.object.as_mut().filter(is_running) {
                    record.ended = Some(1);
                    *written_at = self.minute;
                }
            }
            Step::Replace { member } => self.incarnations[usize::from(member)] += 1,
            Step::Wait { minutes } => self.minute += u64::from(minutes),
        }
    }
}

quickcheck! {
    fn one_key_runs_once_within_its_lifetime(steps: Vec<Step>) -> bool {
        let mut model = Model::default();
        let ttl = CLAIM_TTL.as_secs() / 60;
        for step in &steps {
            if model.minute < ttl {
                model.step(step);
            }
        }
        model.minute >= ttl || model.ran.len() <= 1
    }
}

fn record(request: &str, incarnation: u64, ended: Option<u32>) -> Record<u32> {
    let writer = Identity { name: "a".into(), incarnation };
    Record { request: request.to_owned(), writer, body: "body".to_owned(), ended }
}

#[test]
fn a_running_claim_is_unknown_once_its_holder_is_gone_or_it_is_too_old() {
    let (existing, proposed) = (record("1", 1, None), record("2", 2, None));

    let status_if_holder_is_gone = evaluate(&existing, Duration::ZERO, &proposed, |_| false);
    let status_if_too_old = evaluate(&existing, CLAIM_RUN_MAX, &proposed, |_| true);
    let status_if_holder_is_alive = evaluate(&existing, Duration::ZERO, &proposed, |_| true);

    assert_eq!(
        (status_if_holder_is_gone, status_if_too_old, status_if_holder_is_alive),
        (Status::Unknown, Status::Unknown, Status::Running)
    );
}

#[test]
fn an_ended_claim_is_reported_until_it_expires_even_if_its_holder_is_gone() {
    let (existing, proposed) = (record("1", 1, Some(7)), record("2", 2, None));

    let status_before_expiry = evaluate(&existing, CLAIM_RUN_MAX, &proposed, |_| false);
    let status_after_expiry = evaluate(&existing, CLAIM_TTL, &proposed, |_| true);

    assert_eq!((status_before_expiry, status_after_expiry), (Status::Ended(7), Status::Expired));
}

#[test]
fn names_depend_on_where_their_parts_are_split() {
    assert_ne!(object_name("s", "ab", "c", "k"), object_name("s", "a", "bc", "k"));
    assert_eq!(object_name("s", "a", "b", "k").len(), 64);
}
