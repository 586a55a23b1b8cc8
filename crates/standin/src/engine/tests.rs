//! The engine's tables: turns, memory, and that whatever happens nothing stays held.

use super::settings::Settings;
use super::state::{Imported, Prefilling, State, Work};
use crate::answer::Generator;
use crate::http::{Refusal, refusal};
use chestnutrack_engine::order::{Decode, Import, Prefill};
use quickcheck::{Arbitrary, Gen, quickcheck};
use std::sync::Arc;
use std::time::Duration;

/// Memory of the engine under test, in tokens.
const KV_TOKENS: u32 = 60;
/// Requests that events are about.
const REQUESTS: u8 = 5;

fn state() -> State {
    State::new(&Settings { kv_tokens: KV_TOKENS, slots: 2, ..Settings::default() })
}

fn name(request: u8) -> Arc<str> {
    format!("{request}.1").into()
}

fn prefill(request: u8, tokens: u8, priority: i32) -> Prefill {
    let prompt = "x".repeat(usize::from(tokens) * 4).into();
    Prefill { id: name(request), fence: 1, prompt, priority }
}

fn import(request: u8, kv_tokens: u32) -> Import {
    let from = "127.0.0.1:1".parse().unwrap();
    Import { id: name(request), fence: 1, from, handle: name(request), kv_tokens }
}

fn imported(tokens: u32) -> Imported {
    Imported { source: Generator::new("x"), tokens }
}

/// Something that happens to the engine.
#[derive(Clone, Debug)]
enum Event {
    Prefill(u8, u8, i32),
    BeginPrefill,
    EndPrefill { failed: bool },
    Evict(u8),
    BeginExport(u8),
    EndExport { whole: bool },
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
            5 => Event::EndExport { whole: flag },
            6 => Event::BeginImport(request, tokens),
            7 => Event::EndImport { tokens, broken: flag },
            8 => Event::Decode(request, tokens),
            9 => Event::Step,
            _ => Event::Cancel(request),
        }
    }
}

/// The engine and what its loops and transfers are at.
struct Run {
    state: State,
    waiting: Vec<Prefilling>,
    work: Option<Work>,
    /// Work that ended and whose KV cache will be evicted.
    held: Vec<Work>,
    exports: Vec<(Arc<str>, u64)>,
    imports: Vec<(Arc<str>, u64)>,
}

impl Run {
    fn new() -> Run {
        Run {
            state: state(),
            waiting: Vec::new(),
            work: None,
            held: Vec::new(),
            exports: Vec::new(),
            imports: Vec::new(),
        }
    }

    fn event(&mut self, event: &Event) {
        match *event {
            Event::Prefill(request, tokens, priority) => {
                self.waiting.extend(self.state.queue(&prefill(request, tokens, priority)));
            }
            Event::BeginPrefill if self.work.is_none() => self.work = self.state.begin_prefill(),
            Event::BeginPrefill => {}
            Event::EndPrefill { failed } => {
                let Some(work) = self.work.take() else { return };
                if self.state.end_prefill(&work, failed) {
                    self.held.push(work);
                }
            }
            Event::Evict(request) => {
                let evicted = self.held.iter().filter(|work| work.id == name(request));
                evicted.for_each(|work| self.state.evict(&work.id, work.number));
            }
            Event::BeginExport(request) => {
                let begun = self.state.begin_export(&name(request));
                self.exports.extend(begun.map(|(number, _)| (name(request), number)));
            }
            Event::EndExport { whole } => {
                let Some((handle, number)) = self.exports.pop() else { return };
                self.state.end_export(&handle, number, whole);
            }
            Event::BeginImport(request, tokens) => {
                let begun = self.state.begin_import(&import(request, tokens.into()));
                self.imports.extend(begun.map(|number| (name(request), number)));
            }
            Event::EndImport { tokens, broken } => self.end_import(tokens, broken),
            Event::Decode(request, output_tokens) => {
                let output_tokens = output_tokens.into();
                let order = Decode { id: name(request), fence: 1, output_tokens, priority: 0 };
                let _ = self.state.begin_decode(&order);
            }
            Event::Step => {
                self.state.fill_batch();
                self.state.step(Duration::ZERO);
            }
            Event::Cancel(request) => self.state.cancel(&name(request)),
        }
    }

    fn end_import(&mut self, tokens: u8, broken: bool) {
        let Some((id, number)) = self.imports.pop() else { return };
        let transfer: Result<Imported, Refusal> =
            if broken { Err(refusal(404, "handle", "gone")) } else { Ok(imported(tokens.into())) };
        let _ = self.state.end_import(&id, number, transfer);
    }
}

quickcheck! {
    fn memory_is_never_exceeded_and_nothing_stays_held(events: Vec<Event>) -> bool {
        let mut run = Run::new();
        let mut within = true;
        for event in &events {
            run.event(event);
            within &= run.state.used() <= KV_TOKENS;
        }
        (0..REQUESTS).for_each(|request| run.state.cancel(&name(request)));
        // Loops and transfers that were at work when their request was cancelled end after it.
        run.event(&Event::EndPrefill { failed: false });
        while !run.exports.is_empty() {
            run.event(&Event::EndExport { whole: true });
        }
        while !run.imports.is_empty() {
            run.event(&Event::EndImport { tokens: 1, broken: false });
        }
        let load = run.state.load();
        let idle = load.running == 0 && load.waiting == 0 && run.state.fill_batch() == 0;
        within && idle && run.state.used() == 0 && run.state.holds().holds.is_empty()
    }

    fn every_prefill_is_answered(events: Vec<Event>) -> bool {
        let mut run = Run::new();
        events.iter().for_each(|event| run.event(event));
        (0..REQUESTS).for_each(|request| run.state.cancel(&name(request)));
        run.waiting.iter_mut().all(|waiting| waiting.try_recv().is_ok())
    }
}

#[test]
fn a_cancelled_import_that_ends_later_holds_nothing() {
    let mut state = state();
    let number = state.begin_import(&import(1, 30)).unwrap();

    state.cancel("1.1");
    let ended = state.end_import("1.1", number, Ok(imported(10)));

    assert_eq!(ended.map(drop), Err(refusal(409, "id", "cancelled")));
    assert_eq!(state.used(), 0);
}

#[test]
fn a_cancelled_import_does_not_end_the_one_that_came_after_it() {
    let mut state = state();
    let first = state.begin_import(&import(1, 30)).unwrap();
    state.cancel("1.1");
    let second = state.begin_import(&import(1, 20)).unwrap();

    let late = state.end_import("1.1", first, Err(refusal(404, "handle", "gone")));

    assert!(late.is_err());
    assert!(state.has_answer("1.1", second));
    assert_eq!(state.used(), 20);
}

#[test]
fn a_prefill_that_ends_after_its_cancellation_is_wasted() {
    let mut state = state();
    let _waiting = state.queue(&prefill(1, 10, 0)).unwrap();
    let work = state.begin_prefill().unwrap();

    state.cancel("1.1");
    let held = state.end_prefill(&work, false);

    assert!(!held);
    assert_eq!(state.used(), 0);
    assert_eq!(state.counts.wasted_prefill_tokens, 10);
}

#[test]
fn higher_priority_goes_first_and_equals_in_their_order() {
    let mut state = state();
    let priorities = [0, 5, 0, -1, 5];
    let waiting: Vec<_> = (0..)
        .zip(priorities)
        .map(|(request, priority)| state.queue(&prefill(request, 1, priority)).unwrap())
        .collect();

    let turns: Vec<_> =
        std::iter::from_fn(|| state.begin_prefill()).map(|work| work.id.to_string()).collect();

    assert_eq!(turns, ["1.1", "4.1", "0.1", "2.1", "3.1"]);
    drop(waiting);
}

#[test]
fn a_kv_cache_lives_until_its_export_ends() {
    let mut state = state();
    let _waiting = state.queue(&prefill(1, 10, 0)).unwrap();
    let work = state.begin_prefill().unwrap();
    state.end_prefill(&work, false);
    let (number, _) = state.begin_export("1.1").unwrap();

    state.evict("1.1", work.number);
    let during = state.used();
    state.end_export("1.1", number, true);

    assert_eq!((during, state.used()), (10, 0));
    assert_eq!(state.counts.wasted_prefill_tokens, 0);
}

#[test]
fn a_request_that_waits_for_a_slot_gets_it_when_one_ends() {
    let mut state = state();
    for request in 0..3 {
        let number = state.begin_import(&import(request, 5)).unwrap();
        state.end_import(&name(request), number, Ok(imported(1))).unwrap();
        let output_tokens = u32::from(request) + 1;
        let order = Decode { id: name(request), fence: 1, output_tokens, priority: 0 };
        state.begin_decode(&order).unwrap();
    }

    let sizes: Vec<_> = std::iter::from_fn(|| {
        let size = state.fill_batch();
        state.step(Duration::ZERO);
        (size > 0).then_some(size)
    })
    .collect();

    assert_eq!(sizes, [2, 2, 1, 1]);
    assert_eq!(state.used(), 0);
}
