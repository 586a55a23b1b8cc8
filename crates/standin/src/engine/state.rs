//! What the engine holds: prompts being prefilled, answers being generated, and their memory.

use super::cache::Cache;
use super::control::Counts;
use super::settings::Settings;
use crate::answer::Source;
use crate::http::{Refusal, refusal};
use chestnutrack_engine::order::{Decode, Hold, Holds, Import, Load, Prefill, Prefilled, Resume};
use chestnutrack_engine::prefix;
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{oneshot, watch};

/// Most ended answers that can still be resumed.
const ENDED_MAX: usize = 2_000;

/// A place in a queue: higher priority first, then first come, first served.
type Turn = (Reverse<i32>, u64);

/// A prompt and its KV cache.
struct Prompt {
    number: u64,
    source: Source,
    names: Vec<u64>,
    tokens: u32,
    cached: u32,
    stage: Stage,
    exports: u32,
    expired: bool,
    done: Option<oneshot::Sender<Result<Prefilled, Refusal>>>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    Queued,
    Computing,
    Held,
}

/// How far an answer is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Progress {
    pub(super) generated: u32,
    /// Why it ended, once it has.
    pub(super) finish: Option<&'static str>,
}

/// An answer, from its import on.
struct Answer {
    number: u64,
    /// Memory held until the end, in tokens.
    kv_tokens: u32,
    /// Known once the import has ended.
    prompt: Option<Imported>,
    total: u32,
    finish: &'static str,
    progress: Option<watch::Sender<Progress>>,
}

/// What an import brings.
#[derive(Clone, Copy)]
pub(super) struct Imported {
    pub(super) source: Source,
    pub(super) tokens: u32,
}

/// An answer as a stream reads it.
#[derive(Clone)]
pub(super) struct Reading {
    pub(super) source: Source,
    pub(super) progress: watch::Receiver<Progress>,
    pub(super) offset: u32,
}

/// A prefill at its turn.
pub(super) struct Work {
    pub(super) id: Arc<str>,
    pub(super) number: u64,
    /// Tokens to compute.
    pub(super) tokens: u32,
}

pub(super) struct State {
    settings: Settings,
    number: u64,
    prompts: HashMap<Arc<str>, Prompt>,
    prefill_queue: BTreeMap<Turn, Arc<str>>,
    answers: HashMap<Arc<str>, Answer>,
    decode_queue: BTreeMap<Turn, Arc<str>>,
    batch: Vec<Arc<str>>,
    ended: VecDeque<(Arc<str>, Reading)>,
    pub(super) cache: Cache,
    pub(super) counts: Counts,
}

pub(super) type Prefilling = oneshot::Receiver<Result<Prefilled, Refusal>>;

impl State {
    pub(super) fn new(settings: &Settings) -> State {
        let cache = Cache::new(settings.cache_tokens, settings.events_lost_percent, settings.seed);
        State {
            settings: *settings,
            number: 0,
            prompts: HashMap::new(),
            prefill_queue: BTreeMap::new(),
            answers: HashMap::new(),
            decode_queue: BTreeMap::new(),
            batch: Vec::new(),
            ended: VecDeque::new(),
            cache,
            counts: Counts::default(),
        }
    }

    fn number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    /// Memory in use, in tokens.
    pub(super) fn used(&self) -> u32 {
        let prompts = self.prompts.values().map(Prompt::held).sum::<u32>();
        prompts + self.answers.values().map(|answer| answer.kv_tokens).sum::<u32>()
    }

    fn has_room(&self, tokens: u32) -> bool {
        tokens <= self.settings.kv_tokens - self.used().min(self.settings.kv_tokens)
    }

    /// Queues a prefill.
    pub(super) fn queue(&mut self, order: &Prefill) -> Result<Prefilling, Refusal> {
        if self.prompts.contains_key(&order.id) {
            return Err(refusal(409, "id", "already prefilled or waiting"));
        }
        let tokens = prefix::token_count(&order.prompt);
        if tokens == 0 {
            return Err(refusal(400, "prompt", "is empty"));
        }
        if tokens > self.settings.kv_tokens {
            return Err(refusal(503, "prompt", "larger than the memory"));
        }
        let number = self.number();
        let (done, prefilling) = oneshot::channel();
        let prompt = Prompt {
            number,
            source: Source::new(&order.prompt),
            names: prefix::hashes(&order.prompt),
            tokens,
            cached: 0,
            stage: Stage::Queued,
            exports: 0,
            expired: false,
            done: Some(done),
        };
        self.prompts.insert(Arc::clone(&order.id), prompt);
        self.prefill_queue.insert((Reverse(order.priority), number), Arc::clone(&order.id));
        Ok(prefilling)
    }

    /// Begins the prefill whose turn it is.
    pub(super) fn begin_prefill(&mut self) -> Option<Work> {
        loop {
            let (_, id) = self.prefill_queue.pop_first()?;
            let prompt = self.prompts.get(&id)?;
            if !self.has_room(prompt.tokens) {
                let prompt = self.prompts.remove(&id)?;
                prompt.end(Err(refusal(503, "memory", "full")));
                continue;
            }
            let prompt = self.prompts.get_mut(&id)?;
            // The last token is always computed: it gives the first token of the answer.
            prompt.cached = self.cache.lookup(&prompt.names).min(prompt.tokens - 1);
            prompt.stage = Stage::Computing;
            let (number, tokens) = (prompt.number, prompt.tokens - prompt.cached);
            return Some(Work { id, number, tokens });
        }
    }

    /// Whether a prefill or an exported KV cache is still wanted.
    pub(super) fn has_prompt(&self, id: &str, number: u64) -> bool {
        self.prompts.get(id).is_some_and(|prompt| prompt.number == number)
    }

    /// Ends a prefill; returns whether its KV cache is held now.
    pub(super) fn end_prefill(&mut self, work: &Work, failed: bool) -> bool {
        self.counts.prefilled_tokens += u64::from(work.tokens);
        let wanted = self.has_prompt(&work.id, work.number);
        if failed && wanted {
            let prompt = self.prompts.remove(&work.id);
            prompt
                .into_iter()
                .for_each(|prompt| prompt.end(Err(refusal(500, "prefill", "failed"))));
        }
        let prompt = self.prompts.get_mut(&work.id).filter(|_| wanted);
        let Some(prompt) = prompt else {
            self.counts.wasted_prefill_tokens += u64::from(work.tokens);
            return false;
        };
        prompt.stage = Stage::Held;
        let prefilled = Prefilled {
            tokens: prompt.tokens,
            bytes: self.settings.bytes_of(prompt.tokens),
            cached_tokens: prompt.cached,
            evicted_in_ms: millis(self.settings.real(self.settings.evict)),
        };
        self.counts.prefills += 1;
        self.counts.cached_tokens += u64::from(prompt.cached);
        self.cache.store(&prompt.names);
        if let Some(done) = prompt.done.take() {
            let _ = done.send(Ok(prefilled));
        }
        true
    }

    /// Evicts a KV cache, unless an export of it runs; then that export's end does.
    pub(super) fn evict(&mut self, id: &str, number: u64) {
        if !self.has_prompt(id, number) {
            return;
        }
        let Some(prompt) = self.prompts.get_mut(id) else { return };
        prompt.expired = true;
        if prompt.exports == 0 {
            self.waste(id);
        }
    }

    fn waste(&mut self, id: &str) {
        let Some(prompt) = self.prompts.remove(id) else { return };
        if prompt.stage == Stage::Held {
            self.counts.wasted_prefill_tokens += u64::from(prompt.tokens - prompt.cached);
        }
        prompt.end(Err(refusal(409, "id", "cancelled")));
    }

    /// Begins an export; returns the KV cache's number and what is exported.
    pub(super) fn begin_export(&mut self, handle: &str) -> Result<(u64, Imported), Refusal> {
        let held = self.prompts.get_mut(handle).filter(|prompt| prompt.stage == Stage::Held);
        let prompt = held.ok_or_else(|| refusal(404, "handle", "no such KV cache"))?;
        prompt.exports += 1;
        Ok((prompt.number, Imported { source: prompt.source, tokens: prompt.tokens }))
    }

    /// Ends an export. The KV cache is freed once a whole one was exported.
    pub(super) fn end_export(&mut self, handle: &str, number: u64, whole: bool) {
        if !self.has_prompt(handle, number) {
            return;
        }
        let Some(prompt) = self.prompts.get_mut(handle) else { return };
        prompt.exports -= 1;
        if whole {
            self.counts.exports += 1;
            self.counts.exported_tokens += u64::from(prompt.tokens);
            self.prompts.remove(handle);
        } else if prompt.expired && prompt.exports == 0 {
            self.waste(handle);
        }
    }

    /// Reserves the memory of an import; returns its number.
    pub(super) fn begin_import(&mut self, order: &Import) -> Result<u64, Refusal> {
        if self.answers.contains_key(&order.id) {
            return Err(refusal(409, "id", "already imported"));
        }
        if !self.has_room(order.kv_tokens) {
            return Err(refusal(503, "memory", "full"));
        }
        let number = self.number();
        let answer = Answer {
            number,
            kv_tokens: order.kv_tokens,
            prompt: None,
            total: 0,
            finish: "",
            progress: None,
        };
        self.answers.insert(Arc::clone(&order.id), answer);
        Ok(number)
    }

    /// Whether an import is still wanted.
    pub(super) fn has_answer(&self, id: &str, number: u64) -> bool {
        self.answers.get(id).is_some_and(|answer| answer.number == number)
    }

    /// Ends an import; one that failed holds nothing any more.
    pub(super) fn end_import(
        &mut self,
        id: &str,
        number: u64,
        transfer: Result<Imported, Refusal>,
    ) -> Result<Imported, Refusal> {
        if !self.has_answer(id, number) {
            return Err(refusal(409, "id", "cancelled"));
        }
        let Some(answer) = self.answers.get_mut(id) else { return transfer };
        let fits = |imported: &Imported| imported.tokens <= answer.kv_tokens;
        let too_small = || refusal(400, "kv_tokens", "smaller than the KV cache");
        match transfer.and_then(|found| if fits(&found) { Ok(found) } else { Err(too_small()) }) {
            Ok(imported) => {
                answer.prompt = Some(imported);
                self.counts.imports += 1;
                self.counts.imported_tokens += u64::from(imported.tokens);
                Ok(imported)
            }
            Err(refusal) => {
                self.answers.remove(id);
                Err(refusal)
            }
        }
    }

    /// Queues an imported request for generation.
    pub(super) fn begin_decode(&mut self, order: &Decode) -> Result<Reading, Refusal> {
        let number = self.number();
        let missing = || refusal(404, "id", "nothing imported");
        let answer = self.answers.get_mut(&order.id).ok_or_else(missing)?;
        let prompt = answer.prompt.ok_or_else(missing)?;
        if answer.progress.is_some() {
            return Err(refusal(409, "id", "already generating"));
        }
        if prompt.tokens.saturating_add(order.output_tokens) > answer.kv_tokens {
            return Err(refusal(400, "output_tokens", "prompt and answer exceed the import's"));
        }
        answer.total = prompt.source.total(order.output_tokens);
        answer.finish = prompt.source.finish(order.output_tokens);
        let (sender, progress) = watch::channel(Progress::default());
        answer.progress = Some(sender);
        self.decode_queue.insert((Reverse(order.priority), number), Arc::clone(&order.id));
        Ok(Reading { source: prompt.source, progress, offset: 0 })
    }

    /// An answer that is generated, or that has ended lately, from an offset.
    pub(super) fn resume(&self, order: &Resume) -> Result<Reading, Refusal> {
        let running = || {
            let answer = self.answers.get(&order.id)?;
            let progress = answer.progress.as_ref()?.subscribe();
            Some(Reading { source: answer.prompt?.source, progress, offset: 0 })
        };
        let ended = || {
            let found = self.ended.iter().rev().find(|(id, _)| *id == order.id);
            found.map(|(_, reading)| reading.clone())
        };
        let found = running().or_else(ended);
        let reading = found.ok_or_else(|| refusal(404, "id", "no such answer"))?;
        if order.offset > reading.progress.borrow().generated {
            return Err(refusal(400, "offset", "beyond what is generated"));
        }
        Ok(Reading { offset: order.offset, ..reading })
    }

    /// Fills the batch; returns its size.
    pub(super) fn fill_batch(&mut self) -> u32 {
        while self.batch.len() < self.settings.slots as usize {
            let Some((_, id)) = self.decode_queue.pop_first() else { break };
            self.batch.push(id);
        }
        let size = u32::try_from(self.batch.len()).unwrap_or(u32::MAX);
        self.counts.batch_max = self.counts.batch_max.max(size);
        size
    }

    /// Generates a token for each request in the batch, so much later than due.
    pub(super) fn step(&mut self, late: Duration) {
        self.counts.steps += 1;
        self.counts.late_us += u64::try_from(late.as_micros()).unwrap_or(u64::MAX);
        for id in std::mem::take(&mut self.batch) {
            let Some(answer) = self.answers.get_mut(&id) else { continue };
            let Some(progress) = &answer.progress else { continue };
            let mut now = *progress.borrow();
            if now.generated < answer.total {
                now.generated += 1;
                self.counts.generated_tokens += 1;
            }
            now.finish = (now.generated == answer.total).then_some(answer.finish);
            progress.send_replace(now);
            if now.finish.is_some() { self.end_answer(&id) } else { self.batch.push(id) }
        }
    }

    /// Frees an answer that is whole; its text can be resumed for a while.
    fn end_answer(&mut self, id: &Arc<str>) {
        let Some(answer) = self.answers.remove(id) else { return };
        self.counts.answers += 1;
        let (Some(prompt), Some(progress)) = (answer.prompt, answer.progress) else { return };
        if self.ended.len() == ENDED_MAX {
            self.ended.pop_front();
        }
        let reading = Reading { source: prompt.source, progress: progress.subscribe(), offset: 0 };
        self.ended.push_back((Arc::clone(id), reading));
    }

    /// Frees all that a request holds.
    pub(super) fn cancel(&mut self, id: &str) {
        let held = self.prompts.contains_key(id) || self.answers.contains_key(id);
        self.counts.cancelled += u64::from(held);
        self.waste(id);
        if let Some(answer) = self.answers.remove(id) {
            let unread = answer.prompt.filter(|_| answer.progress.is_none());
            self.counts.undecoded_tokens += unread.map_or(0, |prompt| u64::from(prompt.tokens));
        }
        self.prefill_queue.retain(|_, queued| **queued != *id);
        self.decode_queue.retain(|_, queued| **queued != *id);
        self.batch.retain(|running| **running != *id);
    }

    pub(super) fn holds(&self) -> Holds {
        let prompts = self
            .prompts
            .iter()
            .map(|(id, prompt)| (id, prompt.held(), prompt.stage == Stage::Computing));
        let answers =
            self.answers.iter().map(|(id, answer)| (id, answer.kv_tokens, self.batch.contains(id)));
        let mut holds: BTreeMap<&Arc<str>, Hold> = BTreeMap::new();
        for (id, kv_tokens, running) in prompts.chain(answers) {
            let none = || Hold { id: Arc::clone(id), kv_tokens: 0, running: false };
            let hold = holds.entry(id).or_insert_with(none);
            hold.kv_tokens += kv_tokens;
            hold.running |= running;
        }
        Holds { holds: holds.into_values().collect() }
    }

    pub(super) fn load(&self) -> Load {
        let count = |length| u32::try_from(length).unwrap_or(u32::MAX);
        let computing = |prompt: &&Prompt| prompt.stage == Stage::Computing;
        let computing = self.prompts.values().filter(computing).count();
        Load {
            running: count(self.batch.len() + computing),
            waiting: count(self.decode_queue.len() + self.prefill_queue.len()),
            kv_used: u64::from(self.used()),
            age_ms: 0,
        }
    }
}

impl Prompt {
    fn held(&self) -> u32 {
        if self.stage == Stage::Queued { 0 } else { self.tokens }
    }

    /// Answers the prefill's order, if it still waits.
    fn end(self, outcome: Result<Prefilled, Refusal>) {
        if let Some(done) = self.done {
            let _ = done.send(outcome);
        }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
