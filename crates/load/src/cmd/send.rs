//! `send`: sends requests one after the other and prints the responses.

use crate::call::{self, Reply, Verdict};
use argh::FromArgs;
use chestnutrack_cli::output::{FINDING, Output, UNREACHABLE, USAGE};
use chestnutrack_harness::caller::{self, Call};
use chestnutrack_standin::answer;
use std::fmt::Write;
use std::net::SocketAddr;

/// Default prompt.
const PROMPT: &str = "Which pies can be picked up before noon?";

/// Send requests one after the other, round-robin to the entry hosts, and print the responses.
#[derive(FromArgs)]
#[argh(subcommand, name = "send")]
pub(super) struct Send {
    /// address of an entry host; may be given several times
    #[argh(option)]
    entry: Vec<SocketAddr>,
    /// API key of the caller
    #[argh(option)]
    key: Option<String>,
    /// path; by default /v1/completions
    #[argh(option, default = "\"/v1/completions\".to_owned()")]
    path: String,
    /// model; without one, a plain call is made
    #[argh(option)]
    model: Option<String>,
    /// prompt of a completion or body of a plain call
    #[argh(option)]
    body: Option<String>,
    /// idempotency key
    #[argh(option)]
    idempotency_key: Option<String>,
    /// tokens to generate; by default 16
    #[argh(option, default = "16")]
    tokens: u32,
    /// requests to send; by default 1
    #[argh(option, default = "1")]
    count: u32,
    /// stream the response
    #[argh(switch)]
    stream: bool,
}

impl Send {
    pub(super) async fn run(self) -> Result<Output, Output> {
        if self.entry.is_empty() {
            return Err(Output::error(
                USAGE,
                "--entry is missing: give the address of an entry host",
            ));
        }
        let call = self.call();
        let mut output = Output::default();
        let mut unexpected = 0;
        for (index, address) in (0..self.count).zip(self.entry.iter().cycle()) {
            match call::send(*address, &call).await {
                Ok(reply) => {
                    unexpected += u32::from(!self.print_reply(index, &reply, &mut output.out))
                }
                Err(error) => return Ok(output.with_error(UNREACHABLE, error)),
            }
        }
        if unexpected == 0 {
            return Ok(output);
        }
        let message = format!("{unexpected} of {} responses were not as expected", self.count);
        Ok(output.with_error(FINDING, message))
    }

    fn prompt(&self) -> &str {
        self.body.as_deref().unwrap_or(PROMPT)
    }

    fn call(&self) -> Call {
        let mut call = match &self.model {
            Some(model) => {
                let (prompt, key) = (self.prompt(), String::new());
                caller::completion(&self.path, model, &key, prompt, self.tokens, self.stream)
            }
            None => Call {
                method: if self.body.is_some() { "POST" } else { "GET" },
                target: self.path.clone(),
                body: self.body.clone().unwrap_or_default().into_bytes(),
                ..Call::default()
            },
        };
        call.key = self.key.clone();
        let key = self.idempotency_key.iter();
        call.headers.extend(key.map(|key| ("idempotency-key".to_owned(), key.clone())));
        call
    }

    /// Writes a reply to `out`. Returns `false` if it is not as expected.
    fn print_reply(&self, index: u32, reply: &Reply, out: &mut String) -> bool {
        let verdict = self.verdict(reply);
        let _ = writeln!(
            out,
            "{index}: status {} request {} {} first {} ms total {} ms: {verdict}\n{}",
            reply.answer.status,
            reply.request(),
            reply.ran(),
            reply.time_to_first.as_millis(),
            reply.total.as_millis(),
            reply.answer.text().trim_end(),
        );
        verdict == Verdict::Complete
    }

    fn verdict(&self, reply: &Reply) -> Verdict {
        if self.model.is_some() {
            return call::check_completion(reply, &answer::full_text(self.prompt(), self.tokens));
        }
        if reply.is_success() { Verdict::Complete } else { Verdict::Refused }
    }
}
