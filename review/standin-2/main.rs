//! Plays the cases of this review that are scripts: `player CASE FOLDER`. The folder is that of the case. It starts entry hosts as
//! processes, and takes the places of the platform's store, the replicas and the consumers.

#[allow(dead_code, reason = "the cases use different parts")]
mod common;
mod silence;

fn main() {
    let case = std::env::args().nth(1).unwrap_or_default();
    let run = common::Run::new();
    match case.as_str() {
        "silence" => silence::play(run),
        _ => run.end(2, "could not run: no case of that name"),
    }
}
