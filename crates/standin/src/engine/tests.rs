//! Unit tests of the engine's state: queue order, memory accounting, and that no sequence of events
//! leaks memory.

use super::settings::Settings;
use super::state::{KvCache, PrefillJob, PrefillReply, State};
use crate::answer::Generator;
use crate::http::{Failure, failure};
use chestnutrack_engine::order::{Decode, Import, Prefill};
use quickcheck::{Arbitrary, Gen, quickcheck};
use std::sync::Arc;
use std::time::Duration;

/// Memory of the engine under test, in tokens.
const KV_TOKENS: u32 = 60;
/// Number of requests that the events affect.
const REQUESTS: u8 = 5;

/// Returns the state of an engine with [`KV_TOKENS`] tokens of memory and two slots.
fn state() -> State {
    State::new(&Settings { kv_tokens: KV_TOKENS, slots: 2, ..Settings::default() })
}

fn request_id(request: u8) -> Arc<str> {
    format!("{request}.1").into()
}

/// Returns an order to prefill a prompt of this many tokens.
fn prefill(request: u8, tokens: u8, priority: i32) -> Prefill {
    let prompt = "x".repeat(usize::from(tokens) * 4).into();
    Prefill { id: request_id(request), fence: 1, prompt, priority }
}

/// Returns an order to import the prompt of a request and to reserve `kv_tokens` tokens of memory.
fn import(request: u8, kv_tokens: u32) -> Import {
    let from = "127.0.0.1:1".parse().unwrap();
    Import { id: request_id(request), fence: 1, from, handle: request_id(request), kv_tokens }
}

fn kv_cache(tokens: u32) -> KvCache {
    KvCache { generator: Generator::new("x"), tokens }
}

/// An order, or a step of a background task or transfer.
#[derive(Clone, Debug)]
enum Event {
    Prefill(u8, u8, i32),
    BeginPrefill,
    EndPrefill { failed: bool },
    Evict(u8),
    BeginExport(u8),
    EndExport { is_complete: bool },
    BeginImport(u8, u8),
    EndImport { tokens: u8, broken: bool },
    Decode(u8, u8),
    Step,
    Cancel(u8),
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Event {
        let request = u8::arbitrary(g) % REQUESTS;
        let tokens = u8::arbitrary(g) % 40;
        let flag = bool::arbitrary(g);
        match u8::arbitrary(g) % 11 {
            0 => Event::Prefill(request, tokens, i32::from(flag)),
            1 => Event::BeginPrefill,
            2 => Event::EndPrefill { failed: flag },
            3 => Event::Evict(request),
            4 => Event::BeginExport(request),
            5 => Event::EndExport { is_complete: flag },
            6 => Event::BeginImport(request, tokens),
            7 => Event::EndImport { tokens, broken: flag },
            8 => Event::Decode(request, tokens),
            9 => Event::Step,
            _ => Event::Cancel(request),
        }
    }
}

/// The state, with the work that the engine's tasks and transfers have in progress.
struct Simulation {
    state: State,
    /// Outcomes of all prefills queued so far.
    replies: Vec<PrefillReply>,
    /// The prefill that is being computed.
    job: Option<PrefillJob>,
    /// Ended prefills whose KV cache will be evicted.
    held: Vec<PrefillJob>,
    /// Handle and serial number of each export in progress.
    exports: Vec<(Arc<str>, u64)>,
    /// Request id and serial number of each import in progress.
    imports: Vec<(Arc<str>, u64)>,
}

impl Simulation {
    fn new() -> Simulation {
        Simulation {
            state: state(),
            replies: Vec::new(),
            job: None,
            held: Vec::new(),
            exports: Vec::new(),
            imports: Vec::new(),
        }
    }

    /// Applies an event; one that nothing in progress fits has no effect.
    fn apply(&mut self, event: &Event) {
        match *event {
            Event::Prefill(request, tokens, priority) => {
                self.replies.extend(self.state.queue_prefill(&prefill(request, tokens, priority)));
            }
            Event::BeginPrefill if self.job.is_none() => self.job = self.state.begin_prefill(),
            Event::BeginPrefill => {}
            Event::EndPrefill { failed } => {
                let Some(job) = self.job.take() else { return };
                if self.state.end_prefill(&job, failed) {
                    self.held.push(job);
                }
            }
            Event::Evict(request) => {
                let evicted = self.held.iter().filter(|job| job.id == request_id(request));
                evicted.for_each(|job| self.state.evict(&job.id, job.serial));
            }
            Event::BeginExport(request) => {
                let started = self.state.begin_export(&request_id(request));
                self.exports.extend(started.map(|(serial, _)| (request_id(request), serial)));
            }
            Event::EndExport { is_complete } => {
                let Some((handle, serial)) = self.exports.pop() else { return };
                self.state.end_export(&handle, serial, is_complete);
            }
            Event::BeginImport(request, tokens) => {
                let started = self.state.begin_import(&import(request, tokens.into()));
                self.imports.extend(started.map(|serial| (request_id(request), serial)));
            }
            Event::EndImport { tokens, broken } => self.end_import(tokens, broken),
            Event::Decode(request, output_tokens) => {
                let output_tokens = output_tokens.into();
                let order =
                    Decode { id: request_id(request), fence: 1, output_tokens, priority: 0 };
                let _ = self.state.begin_decode(&order);
            }
            Event::Step => {
                self.state.fill_batch();
                self.state.step(Duration::ZERO);
            }
            Event::Cancel(request) => self.state.cancel(&request_id(request)),
        }
    }

    /// Ends the import that began last, if any, successfully or with a failed transfer.
    fn end_import(&mut self, tokens: u8, broken: bool) {
        let Some((id, serial)) = self.imports.pop() else { return };
        let transfer: Result<KvCache, Failure> =
            if broken { Err(failure(404, "handle", "gone")) } else { Ok(kv_cache(tokens.into())) };
        let _ = self.state.end_import(&id, serial, transfer);
    }
}

quickcheck! {
    fn memory_is_never_exceeded_and_nothing_stays_held(events: Vec<Event>) -> bool {
        let mut simulation = Simulation::new();
        let mut is_within_limit = true;
        for event in &events {
            simulation.apply(event);
            is_within_limit &= simulation.state.used_tokens() <= KV_TOKENS;
        }
        (0..REQUESTS).for_each(|request| simulation.state.cancel(&request_id(request)));
        // A prefill or transfer in progress ends only after the cancellation of its request.
        simulation.apply(&Event::EndPrefill { failed: false });
        while !simulation.exports.is_empty() {
            simulation.apply(&Event::EndExport { is_complete: true });
        }
        while !simulation.imports.is_empty() {
            simulation.apply(&Event::EndImport { tokens: 1, broken: false });
        }
        let load = simulation.state.load();
        let is_idle = load.running == 0 && load.waiting == 0 && simulation.state.fill_batch() == 0;
        is_within_limit
            && is_idle
            && simulation.state.used_tokens() == 0
            && simulation.state.holds().holds.is_empty()
    }

    fn every_prefill_is_answered(events: Vec<Event>) -> bool {
        let mut simulation = Simulation::new();
        events.iter().for_each(|event| simulation.apply(event));
        (0..REQUESTS).for_each(|request| simulation.state.cancel(&request_id(request)));
        simulation.replies.iter_mut().all(|reply| reply.try_recv().is_ok())
    }
}

#[test]
fn a_cancelled_import_that_ends_later_holds_nothing() {
    let mut state = state();
    let serial = state.begin_import(&import(1, 30)).unwrap();

    state.cancel("1.1");
    let result = state.end_import("1.1", serial, Ok(kv_cache(10)));

    assert_eq!(result.map(drop), Err(failure(409, "id", "cancelled")));
    assert_eq!(state.used_tokens(), 0);
}

#[test]
fn a_cancelled_import_does_not_end_the_one_that_came_after_it() {
    let mut state = state();
    let first = state.begin_import(&import(1, 30)).unwrap();
    state.cancel("1.1");
    let second = state.begin_import(&import(1, 20)).unwrap();

    let result = state.end_import("1.1", first, Err(failure(404, "handle", "gone")));

    assert!(result.is_err());
    assert!(state.has_answer("1.1", second));
    assert_eq!(state.used_tokens(), 20);
}

#[test]
fn a_prefill_that_ends_after_its_cancellation_is_wasted() {
    let mut state = state();
    let _reply = state.queue_prefill(&prefill(1, 10, 0)).unwrap();
    let job = state.begin_prefill().unwrap();

    state.cancel("1.1");
    let is_held = state.end_prefill(&job, false);

    assert!(!is_held);
    assert_eq!(state.used_tokens(), 0);
    assert_eq!(state.counts.wasted_prefill_tokens, 10);
}

#[test]
fn higher_priority_goes_first_and_equals_in_their_order() {
    let mut state = state();
    let priorities = [0, 5, 0, -1, 5];
    let replies: Vec<_> = (0..)
        .zip(priorities)
        .map(|(request, priority)| state.queue_prefill(&prefill(request, 1, priority)).unwrap())
        .collect();

    let order: Vec<_> =
        std::iter::from_fn(|| state.begin_prefill()).map(|job| job.id.to_string()).collect();

    assert_eq!(order, ["1.1", "4.1", "0.1", "2.1", "3.1"]);
    drop(replies);
}

#[test]
fn a_kv_cache_lives_until_its_export_ends() {
    let mut state = state();
    let _reply = state.queue_prefill(&prefill(1, 10, 0)).unwrap();
    let job = state.begin_prefill().unwrap();
    state.end_prefill(&job, false);
    let (serial, _) = state.begin_export("1.1").unwrap();

    state.evict("1.1", job.serial);
    let used_during_export = state.used_tokens();
    state.end_export("1.1", serial, true);

    assert_eq!((used_during_export, state.used_tokens()), (10, 0));
    assert_eq!(state.counts.wasted_prefill_tokens, 0);
}

#[test]
fn a_request_that_waits_for_a_slot_gets_it_when_one_ends() {
    let mut state = state();
    for request in 0..3 {
        let serial = state.begin_import(&import(request, 5)).unwrap();
        state.end_import(&request_id(request), serial, Ok(kv_cache(1))).unwrap();
        let output_tokens = u32::from(request) + 1;
        let order = Decode { id: request_id(request), fence: 1, output_tokens, priority: 0 };
        state.begin_decode(&order).unwrap();
    }

    let sizes: Vec<_> = std::iter::from_fn(|| {
        let size = state.fill_batch();
        state.step(Duration::ZERO);
        (size > 0).then_some(size)
    })
    .collect();

    assert_eq!(sizes, [2, 2, 1, 1]);
    assert_eq!(state.used_tokens(), 0);
}
