use super::events::{self, Event, EventReceiver};
use super::stream::{Action, AttemptState, Stage};
use chestnutrack_wire::frame::{Cause, Decode, Failure, Finish, Forward, Frame, Kv, Load, Ran};
use chestnutrack_wire::{Attempt, Request};
use quickcheck::{Arbitrary, Gen, quickcheck};

const REQUEST: Request = Request(7);
const ATTEMPT: Attempt = Attempt(1);
/// Answer of the side process, one token per letter.
const ANSWER: &str = "abcdefghijkl";

/// Frame as it may be received: late, duplicated, out of order, or with an earlier part missing.
#[derive(Clone, Debug)]
enum Arrival {
    /// Tokens of the answer: offset and number.
    Tokens(usize, usize),
    /// End of the answer, with its stated total.
    End(usize),
    /// Failure that is reported as not run.
    Failed,
}

impl Arbitrary for Arrival {
    fn arbitrary(g: &mut Gen) -> Arrival {
        let offset = usize::arbitrary(g) % ANSWER.len();
        match u8::arbitrary(g) % 16 {
            0 => Arrival::Failed,
            1 | 2 => Arrival::End(ANSWER.len()),
            3 => Arrival::End(offset),
            _ => Arrival::Tokens(offset, usize::arbitrary(g) % 5),
        }
    }
}

impl Arrival {
    fn frame(&self) -> Frame {
        match self {
            Arrival::Tokens(offset, length) => {
                let letters = ANSWER.chars().skip(*offset).take(*length);
                let texts = letters.map(|letter| letter.to_string().into()).collect();
                Frame::Tokens(REQUEST, ATTEMPT, u32::try_from(*offset).unwrap(), texts)
            }
            Arrival::End(total) => {
                let total = u32::try_from(*total).unwrap();
                Frame::End(REQUEST, ATTEMPT, total, Finish::Stop, Load::default())
            }
            Arrival::Failed => failed(Ran::NotRun),
        }
    }
}

/// Returns a frame that reports a failed attempt.
fn failed(ran: Ran) -> Frame {
    let failure = Failure { ran, cause: Cause::Backend, retry_after_ms: 0 };
    Frame::Failed(REQUEST, ATTEMPT, failure, Load::default())
}

/// Returns the command of a plain call.
fn forward() -> Frame {
    Frame::Forward(
        REQUEST,
        ATTEMPT,
        Forward {
            organisation: None,
            may_wait: false,
            once: true,
            method: "POST".into(),
            target: "/deposits".into(),
            headers: Vec::new(),
            body: Vec::new(),
            wait_ms: 0,
            deadline_ms: 0,
        },
    )
}

/// Returns the command that starts a generation.
fn decode() -> Frame {
    let kv = Kv {
        address: "127.0.0.1:9".parse().unwrap(),
        handle: "kv".into(),
        tokens: 1,
        bytes: 1,
        cached_tokens: 0,
    };
    Frame::Decode(REQUEST, ATTEMPT, Decode { kv, output_tokens: 1 })
}

/// Returns the state of an attempt whose answer was requested by a command, and its events.
fn answering_attempt(command: Frame) -> (AttemptState, EventReceiver) {
    let (sender, events) = events::channel(1 << 10);
    (AttemptState::new(Stage::Answering, command, sender), events)
}

/// Returns the text received and whether the answer was reported as complete.
fn received(events: &mut EventReceiver) -> (String, bool) {
    let (mut text, mut is_whole) = (String::new(), false);
    while let Some(event) = events.try_next() {
        match event {
            Event::Tokens(texts) => text.push_str(&texts.concat()),
            Event::End(_) => is_whole = true,
            _ => {}
        }
    }
    (text, is_whole)
}

quickcheck! {
    fn an_answer_is_a_prefix_and_reported_complete_only_if_it_is(arrivals: Vec<Arrival>) -> bool {
        let (mut attempt, mut events) = answering_attempt(decode());
        for arrival in &arrivals {
            if matches!(attempt.handle_frame(arrival.frame()), Action::Remove | Action::Abandon) {
                break;
            }
        }
        let (text, is_whole) = received(&mut events);
        // A correct side process never states a total below what it sent. A wrong total is
        // accepted if it equals what was received; if more was received, the answer is abandoned.
        let fits = ANSWER.starts_with(&text);
        let stated = |arrival: &Arrival| matches!(arrival, Arrival::End(total) if *total == text.len());
        fits && (!is_whole || arrivals.iter().any(stated))
    }

    fn frames_in_order_give_the_whole_answer(cuts: Vec<u8>) -> bool {
        let (mut attempt, mut events) = answering_attempt(decode());
        let mut offset = 0;
        for cut in cuts.iter().map(|cut| usize::from(cut % 4)).chain([ANSWER.len()]) {
            attempt.handle_frame(Arrival::Tokens(offset, cut).frame());
            offset = (offset + cut).min(ANSWER.len());
            attempt.handle_frame(Arrival::Tokens(offset.saturating_sub(2), 2).frame());
        }
        attempt.handle_frame(Arrival::End(ANSWER.len()).frame());
        received(&mut events) == (ANSWER.to_owned(), true)
    }
}

#[test]
fn a_failure_after_a_resume_never_reports_not_run() {
    let (mut attempt, mut events) = answering_attempt(forward());

    attempt.record_resume();
    attempt.handle_frame(failed(Ran::NotRun));

    let Some(Event::Failed(failure)) = events.try_next() else { panic!("no failure") };
    assert_eq!(failure.ran, Ran::Unknown);
}

#[test]
fn a_failure_on_the_first_connection_keeps_its_report() {
    let (mut attempt, mut events) = answering_attempt(forward());

    attempt.handle_frame(failed(Ran::NotRun));

    let Some(Event::Failed(failure)) = events.try_next() else { panic!("no failure") };
    assert_eq!(failure.ran, Ran::NotRun);
}

#[test]
fn a_body_buffered_beyond_the_limit_is_abandoned() {
    let (mut attempt, _events) = answering_attempt(forward());
    attempt.handle_frame(Frame::Head(REQUEST, ATTEMPT, 200, Vec::new()));
    let part = |offset: u64| Frame::Body(REQUEST, ATTEMPT, offset, vec![0; 600]);

    let (first, second) = (attempt.handle_frame(part(0)), attempt.handle_frame(part(600)));

    assert_eq!((first, second), (Action::Continue, Action::Abandon));
}

#[test]
fn a_body_before_its_head_is_requested_again() {
    let (mut attempt, _events) = answering_attempt(forward());

    let next = attempt.handle_frame(Frame::Body(REQUEST, ATTEMPT, 0, vec![1]));

    assert_eq!(next, Action::Resume);
}

#[test]
fn a_lost_stream_reports_whether_it_ran() {
    let ran = |stage| {
        let (sender, _events) = events::channel(1);
        AttemptState::new(stage, forward(), sender).ran()
    };

    assert_eq!(ran(Stage::Reserving), Ran::NotRun);
    assert_eq!(ran(Stage::Reserved), Ran::NotRun);
    assert_eq!(ran(Stage::Prefilling), Ran::Unknown);
    assert_eq!(ran(Stage::Prefilled), Ran::Ran);
    assert_eq!(ran(Stage::Answering), Ran::Unknown);
}

#[test]
fn a_command_is_resent_only_if_it_is_known_not_to_have_arrived() {
    let reserved = || Frame::Reserved(REQUEST, ATTEMPT, 0, Load::default());
    let (mut attempt, _events) = answering_attempt(decode());

    let late = attempt.handle_frame(reserved());
    attempt.record_resume();
    let after_resume = attempt.handle_frame(reserved());

    assert_eq!((late, after_resume), (Action::Discard, Action::Resend));
}
