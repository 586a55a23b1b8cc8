//! Checks of responses.

use crate::fixture::reply;
use chestnutrack_load::call::{Verdict, check_completion, check_plain};

fn streamed(tokens: &[&str], done: bool) -> String {
    let event = |token: &&str| {
        format!("data: {}\n\n", serde_json::json!({ "choices": [{ "text": token }] }))
    };
    let events: String = tokens.iter().map(event).collect();
    if done { events + "data: [DONE]\n\n" } else { events }
}

fn verdict(tokens: &[&str], done: bool) -> Verdict {
    check_completion(&reply(200, "text/event-stream", &streamed(tokens, done)), " a b c")
}

#[test]
fn a_whole_answer_has_all_tokens_and_an_end() {
    assert_eq!(verdict(&[" a", " b", " c"], true), Verdict::Complete);
}

#[test]
fn an_answer_without_its_end_is_not_whole() {
    assert_eq!(verdict(&[" a", " b", " c"], false), Verdict::Truncated);
}

#[test]
fn an_answer_that_ends_early_is_not_whole() {
    assert_eq!(verdict(&[" a", " b"], true), Verdict::Truncated);
}

#[test]
fn a_stream_that_ends_with_an_error_event_is_aborted_not_truncated() {
    let text = streamed(&[" a"], false) + "data: {\"error\":{\"code\":\"backend_failed\"}}\n\n";
    let reply = reply(200, "text/event-stream", &text);

    assert_eq!(check_completion(&reply, " a b c"), Verdict::Aborted);
    assert_eq!(reply.stream_error().as_deref(), Some("backend_failed"));
}

#[test]
fn a_response_with_a_repeated_token_belongs_to_another_request() {
    assert_eq!(verdict(&[" a", " b", " b", " c"], true), Verdict::WrongRequest);
}

#[test]
fn an_answer_that_goes_on_is_too_long() {
    assert_eq!(verdict(&[" a", " b", " c", " d"], true), Verdict::TooLong);
}

#[test]
fn an_error_status_is_a_refusal() {
    let refusal = reply(429, "application/json", r#"{"error":{"code":"over_rate"}}"#);

    assert_eq!(check_completion(&refusal, " a"), Verdict::Refused);
    assert_eq!(refusal.code(), "over_rate");
}

#[test]
fn a_plain_answer_names_the_target_it_is_for() {
    let answer = reply(200, "application/json", r#"{"path":"/stock/1?request=a"}"#);

    assert_eq!(check_plain(&answer, "/stock/1?request=a"), Verdict::Complete);
    assert_eq!(check_plain(&answer, "/stock/1?request=b"), Verdict::WrongRequest);
}
