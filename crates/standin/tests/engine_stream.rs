//! Tests of the engine client with streams that are cut, unresponsive, oversized or malformed.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

mod support;

use chestnutrack_engine::client::{Client, Settings};
use chestnutrack_engine::error::Error;
use chestnutrack_engine::order::Decode;
use quickcheck::quickcheck;
use std::net::SocketAddr;
use std::time::Duration;
use support::{Action, read_answer, scripted_server};

const RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

fn client(address: SocketAddr) -> Client {
    Client::new(address, Settings::default(), None)
}

/// Returns a client with a short timeout for silent streams.
fn short_timeout_client(address: SocketAddr) -> Client {
    let stream_idle_timeout = Duration::from_secs(1);
    Client::new(address, Settings { stream_idle_timeout, ..Settings::default() }, None)
}

fn decode(id: &str, output_tokens: u32) -> Decode {
    Decode { id: id.into(), fence: 1, output_tokens, priority: 0 }
}

#[tokio::test]
async fn malformed_lines_are_errors_with_their_line_number() {
    let malformed = [
        ("not json\n", "line 1"),
        ("{\"token\":{\"offset\":1,\"text\":\"b\"}}\n", "line 1"),
        ("{\"end\":{\"total\":3,\"finish\":\"stop\"}}\n", "line 1"),
        ("{\"token\":{\"offset\":-1,\"text\":\"b\"}}\n", "line 1"),
        ("{\"token\":{\"offset\":0,\"text\":\"a\"}}\n\n", "line 2"),
    ];
    for (lines, place) in malformed {
        let text = format!("{RESPONSE_HEAD}{:x}\r\n{lines}\r\n0\r\n\r\n", lines.len());
        let client = client(scripted_server(vec![Action::KeepOpen(text.leak())]).await);
        let mut stream = client.decode(&decode("a.1", 5)).await.unwrap();

        let outcome = read_answer(&mut stream).await;

        assert!(
            matches!(&outcome, Err(Error::Malformed(found, _)) if found == place),
            "{lines}: {outcome:?}"
        );
        assert_eq!(stream.next().await, Ok(None));
    }
}

#[tokio::test]
async fn a_duplicate_token_is_an_error() {
    let lines = "{\"token\":{\"offset\":0,\"text\":\"a\"}}\n".repeat(2);
    let text = format!("{RESPONSE_HEAD}{:x}\r\n{lines}\r\n0\r\n\r\n", lines.len());
    let client = client(scripted_server(vec![Action::KeepOpen(text.leak())]).await);
    let mut stream = client.decode(&decode("a.1", 5)).await.unwrap();

    let outcome = read_answer(&mut stream).await;

    let expected = "offset 0 in place of 1".to_owned();
    assert_eq!(outcome, Err(Error::Malformed("line 2".to_owned(), expected)));
}

#[tokio::test]
async fn a_truncated_stream_is_an_error() {
    let token = "{\"token\":{\"offset\":0,\"text\":\"a\"}}\n";
    let chunk = format!("{RESPONSE_HEAD}{:x}\r\n{token}\r\n", token.len());
    let ended: &'static str = format!("{chunk}0\r\n\r\n").leak();
    let chunk: &'static str = chunk.leak();
    let half: &'static str = chunk[..chunk.len() - 10].to_owned().leak();

    for action in
        [Action::KeepOpen(ended), Action::Close(chunk), Action::Hang(chunk), Action::Hang(half)]
    {
        let client = short_timeout_client(scripted_server(vec![action]).await);
        let mut stream = client.decode(&decode("a.1", 5)).await.unwrap();
        let outcome = read_answer(&mut stream).await;
        assert!(matches!(outcome, Err(Error::Unknown(_))), "{outcome:?}");
    }
}

/// Returns a text as HTTP chunks that end at the given places, modulo its length.
fn chunked(text: &str, chunk_ends: &[usize]) -> String {
    let mut chunk_ends: Vec<usize> = chunk_ends.iter().map(|end| end % text.len()).collect();
    chunk_ends.extend([0, text.len()]);
    chunk_ends.sort_unstable();
    chunk_ends.dedup();
    let pieces = chunk_ends.windows(2).map(|ends| &text[ends[0]..ends[1]]);
    pieces.map(|piece| format!("{:x}\r\n{piece}\r\n", piece.len())).collect()
}

/// Reads an answer that a server sends as these HTTP chunks.
fn answer_of(chunks: String) -> Result<(String, String), Error> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let text = format!("{RESPONSE_HEAD}{chunks}0\r\n\r\n");
        let client = client(scripted_server(vec![Action::KeepOpen(text.leak())]).await);
        let mut stream = client.decode(&decode("a.1", 5)).await?;
        read_answer(&mut stream).await
    })
}

const COMPLETE_ANSWER: &str = concat!(
    "{\"token\":{\"offset\":0,\"text\":\" w1\"}}\n",
    "{\"token\":{\"offset\":1,\"text\":\" w2\"}}\n",
    "{\"end\":{\"total\":2,\"finish\":\"length\"}}\n",
);

quickcheck! {
    fn an_answer_does_not_depend_on_its_chunks(cuts: Vec<usize>) -> bool {
        answer_of(chunked(COMPLETE_ANSWER, &cuts)) == Ok((" w1 w2".to_owned(), "length".to_owned()))
    }

    fn a_missing_or_changed_byte_is_detected(place: usize, byte: Option<u8>) -> bool {
        let place = place % COMPLETE_ANSWER.len();
        let byte = byte.map(|byte| char::from(byte % 128)).filter(|byte| !"\n ".contains(*byte));
        let replacement = byte.map(String::from).unwrap_or_default();
        let text =
            format!("{}{replacement}{}", &COMPLETE_ANSWER[..place], &COMPLETE_ANSWER[place + 1..]);
        match answer_of(chunked(&text, &[])) {
            // The client can't validate a token's text or the finish reason, so these may differ.
            Ok((tokens, finish)) => {
                tokens != " w1 w2" || finish != "length" || text == COMPLETE_ANSWER
            }
            Err(Error::Malformed(place, _)) => place.starts_with("line "),
            Err(error) => matches!(error, Error::Unknown(_)),
        }
    }
}

#[tokio::test]
async fn a_refusal_with_a_truncated_body_is_still_a_refusal() {
    let fenced = "HTTP/1.1 412 Fenced\r\ncontent-length: 10\r\n\r\n{";
    let actions = vec![Action::Hang(fenced), Action::Close(fenced)];
    let stream_open_timeout = Duration::from_millis(500);
    let settings = Settings { stream_open_timeout, ..Settings::default() };
    let client = Client::new(scripted_server(actions).await, settings, None);

    let silent = client.decode(&decode("a.1", 5)).await.map(drop);
    let cut = client.decode(&decode("a.1", 5)).await.map(drop);

    assert_eq!((silent, cut), (Err(Error::Fenced), Err(Error::Fenced)));
}

#[tokio::test]
async fn an_oversized_line_is_an_error() {
    let line = "x".repeat(100_000);
    let text = format!("{RESPONSE_HEAD}{:x}\r\n{line}\r\n", line.len());
    let client = client(scripted_server(vec![Action::Hang(text.leak())]).await);
    let mut stream = client.decode(&decode("a.1", 5)).await.unwrap();

    let outcome = stream.next().await;

    assert!(matches!(outcome, Err(Error::Malformed(_, _))), "{outcome:?}");
}
