//! Prompts being prefilled, answers being generated, and the memory that they hold.
//!
//! A request has a prompt on the engine that prefills it, from the prefill order until its KV cache
//! is exported, evicted or cancelled. It has an answer on the engine that decodes it, from the
//! import order until the answer ends or is cancelled. Memory is simulated: it is a number of
//! tokens. A hold is the memory that one request occupies. Answers aren't stored either, since the
//! generator of a prompt's answer returns any token of it again.

use super::cache::Cache;
use super::control::Counts;
use super::settings::Settings;
use crate::answer::Generator;
use crate::http::{Failure, failure};
use chestnutrack_engine::order::{Decode, Hold, Holds, Import, Load, Prefill, Prefilled, Resume};
use chestnutrack_engine::prefix;
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{oneshot, watch};

/// Maximum number of ended answers that callers can still read.
const ENDED_ANSWERS_MAX: usize = 2_000;

/// Position in a queue: by descending priority, then by serial number, so first come, first served.
type QueueKey = (Reverse<i32>, u64);

/// A prompt from its prefill order until its KV cache is freed.
struct Prompt {
    /// Distinguishes this prompt from an earlier one with the same id.
    serial: u64,
    generator: Generator,
    /// Hashes of its complete pieces, the keys in the prefix cache.
    piece_hashes: Vec<u64>,
    tokens: u32,
    /// Tokens found in the prefix cache.
    cached_tokens: u32,
    stage: Stage,
    /// Exports in progress.
    active_exports: u32,
    /// Whether it is due for eviction when its exports have ended.
    expired: bool,
    /// Where to send the outcome of the prefill; `None` once sent.
    reply: Option<oneshot::Sender<Result<Prefilled, Failure>>>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Waits for its prefill; holds no memory.
    Queued,
    /// The prefill is running.
    Computing,
    /// The KV cache is complete.
    Held,
}

/// Progress of an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Progress {
    /// Tokens generated so far.
    pub(super) generated: u32,
    /// Why the answer ended; `None` while it is generated.
    pub(super) finish_reason: Option<&'static str>,
}

/// An answer from its import order until it ends.
struct Answer {
    /// Distinguishes this answer from an earlier one with the same id.
    serial: u64,
    /// Memory reserved until the answer ends, in tokens.
    kv_tokens: u32,
    /// KV cache of the prompt; `None` until the import has ended.
    prompt_kv: Option<KvCache>,
    /// Length of the whole answer; 0 until the decode order.
    total_tokens: u32,
    /// Why the answer ends when it has its whole length; empty until the decode order.
    finish_reason: &'static str,
    /// `None` until the decode order.
    progress: Option<watch::Sender<Progress>>,
}

/// A simulated KV cache, as transferred between engines: its size and the generator of its prompt's
/// answer.
#[derive(Clone, Copy)]
pub(super) struct KvCache {
    pub(super) generator: Generator,
    /// Prompt tokens in the KV cache.
    pub(super) tokens: u32,
}

/// Reads an answer from an offset on.
#[derive(Clone)]
pub(super) struct AnswerReader {
    pub(super) generator: Generator,
    /// Tells how much is generated; closed when the answer has ended or was cancelled.
    pub(super) progress: watch::Receiver<Progress>,
    /// Offset of the next token to read.
    pub(super) offset: u32,
}

/// A prefill that is being computed.
pub(super) struct PrefillJob {
    pub(super) id: Arc<str>,
    /// Serial number of the prompt.
    pub(super) serial: u64,
    /// Prompt tokens to compute or, once ended, that were computed.
    pub(super) tokens: u32,
}

/// State of the engine.
pub(super) struct State {
    settings: Settings,
    /// Serial number given last, to a prompt, an answer or a decode order.
    last_serial: u64,
    /// Prompts by request id.
    prompts: HashMap<Arc<str>, Prompt>,
    /// Ids of the requests that wait for their prefill.
    prefill_queue: BTreeMap<QueueKey, Arc<str>>,
    /// Answers by request id.
    answers: HashMap<Arc<str>, Answer>,
    /// Ids of the requests that wait for a slot in the batch.
    decode_queue: BTreeMap<QueueKey, Arc<str>>,
    /// Requests for which each step generates a token.
    batch: Vec<Arc<str>>,
    /// Request ids and readers of the answers that ended last, oldest first, for callers that
    /// resume them.
    ended_answers: VecDeque<(Arc<str>, AnswerReader)>,
    pub(super) cache: Cache,
    pub(super) counts: Counts,
}

/// Receives the outcome of a prefill.
pub(super) type PrefillReply = oneshot::Receiver<Result<Prefilled, Failure>>;

impl State {
    /// Creates the state of an engine without requests.
    pub(super) fn new(settings: &Settings) -> State {
        let cache = Cache::new(settings.cache_tokens, settings.events_lost_percent, settings.seed);
        State {
            settings: *settings,
            last_serial: 0,
            prompts: HashMap::new(),
            prefill_queue: BTreeMap::new(),
            answers: HashMap::new(),
            decode_queue: BTreeMap::new(),
            batch: Vec::new(),
            ended_answers: VecDeque::new(),
            cache,
            counts: Counts::default(),
        }
    }

    /// Returns a new serial number.
    fn next_serial(&mut self) -> u64 {
        self.last_serial += 1;
        self.last_serial
    }

    /// Returns the memory in use, in tokens.
    pub(super) fn used_tokens(&self) -> u32 {
        let prompts = self.prompts.values().map(Prompt::held_tokens).sum::<u32>();
        prompts + self.answers.values().map(|answer| answer.kv_tokens).sum::<u32>()
    }

    /// Returns `true` if at least `tokens` tokens of memory are free.
    fn has_memory_for(&self, tokens: u32) -> bool {
        tokens <= self.settings.kv_tokens - self.used_tokens().min(self.settings.kv_tokens)
    }

    /// Queues a prefill; the receiver returned gets its outcome.
    ///
    /// # Errors
    ///
    /// Status 409 if the id has a prompt already, 400 for an empty prompt, 503 for one larger than
    /// the memory.
    pub(super) fn queue_prefill(&mut self, order: &Prefill) -> Result<PrefillReply, Failure> {
        if self.prompts.contains_key(&order.id) {
            return Err(failure(409, "id", "already prefilled or waiting"));
        }
        let tokens = prefix::token_count(&order.prompt);
        if tokens == 0 {
            return Err(failure(400, "prompt", "is empty"));
        }
        if tokens > self.settings.kv_tokens {
            return Err(failure(503, "prompt", "larger than the memory"));
        }
        let serial = self.next_serial();
        let (reply, receiver) = oneshot::channel();
        let prompt = Prompt {
            serial,
            generator: Generator::new(&order.prompt),
            piece_hashes: prefix::hashes(&order.prompt),
            tokens,
            cached_tokens: 0,
            stage: Stage::Queued,
            active_exports: 0,
            expired: false,
            reply: Some(reply),
        };
        self.prompts.insert(Arc::clone(&order.id), prompt);
        self.prefill_queue.insert((Reverse(order.priority), serial), Arc::clone(&order.id));
        Ok(receiver)
    }

    /// Begins the first queued prefill for which there is enough memory, or returns `None` if there
    /// is none. Those before it fail with status 503.
    pub(super) fn begin_prefill(&mut self) -> Option<PrefillJob> {
        loop {
            let (_, id) = self.prefill_queue.pop_first()?;
            let prompt = self.prompts.get(&id)?;
            if !self.has_memory_for(prompt.tokens) {
                let prompt = self.prompts.remove(&id)?;
                prompt.send_reply(Err(failure(503, "memory", "full")));
                continue;
            }
            let prompt = self.prompts.get_mut(&id)?;
            // The last token is always computed, because its result is the answer's first token.
            prompt.cached_tokens = self.cache.lookup(&prompt.piece_hashes).min(prompt.tokens - 1);
            prompt.stage = Stage::Computing;
            let (serial, tokens) = (prompt.serial, prompt.tokens - prompt.cached_tokens);
            return Some(PrefillJob { id, serial, tokens });
        }
    }

    /// Returns `true` unless the prompt with this serial number was cancelled or freed.
    pub(super) fn has_prompt(&self, id: &str, serial: u64) -> bool {
        self.prompts.get(id).is_some_and(|prompt| prompt.serial == serial)
    }

    /// Ends a prefill and answers its order; returns `true` if the engine now holds its KV cache.
    /// The computed tokens count as wasted if the prefill failed or was cancelled.
    pub(super) fn end_prefill(&mut self, job: &PrefillJob, failed: bool) -> bool {
        self.counts.prefilled_tokens += u64::from(job.tokens);
        let is_current = self.has_prompt(&job.id, job.serial);
        if failed && is_current {
            let prompt = self.prompts.remove(&job.id);
            prompt
                .into_iter()
                .for_each(|prompt| prompt.send_reply(Err(failure(500, "prefill", "failed"))));
        }
        let prompt = self.prompts.get_mut(&job.id).filter(|_| is_current);
        let Some(prompt) = prompt else {
            self.counts.wasted_prefill_tokens += u64::from(job.tokens);
            return false;
        };
        prompt.stage = Stage::Held;
        let prefilled = Prefilled {
            tokens: prompt.tokens,
            bytes: self.settings.kv_bytes(prompt.tokens),
            cached_tokens: prompt.cached_tokens,
            evicted_in_ms: millis(self.settings.to_real_time(self.settings.evict_after)),
        };
        self.counts.prefills += 1;
        self.counts.cached_tokens += u64::from(prompt.cached_tokens);
        self.cache.store(&prompt.piece_hashes);
        if let Some(reply) = prompt.reply.take() {
            let _ = reply.send(Ok(prefilled));
        }
        true
    }

    /// Evicts a KV cache; if it is being exported, the end of the export evicts it.
    pub(super) fn evict(&mut self, id: &str, serial: u64) {
        if !self.has_prompt(id, serial) {
            return;
        }
        let Some(prompt) = self.prompts.get_mut(id) else { return };
        prompt.expired = true;
        if prompt.active_exports == 0 {
            self.discard_prompt(id);
        }
    }

    /// Removes a prompt that wasn't exported; the tokens computed for a complete KV cache count as
    /// wasted.
    fn discard_prompt(&mut self, id: &str) {
        let Some(prompt) = self.prompts.remove(id) else { return };
        if prompt.stage == Stage::Held {
            self.counts.wasted_prefill_tokens += u64::from(prompt.tokens - prompt.cached_tokens);
        }
        prompt.send_reply(Err(failure(409, "id", "cancelled")));
    }

    /// Begins an export; returns the prompt's serial number and its KV cache. The handle that names
    /// a KV cache is the id of its request.
    ///
    /// # Errors
    ///
    /// Status 404 if there is no complete KV cache.
    pub(super) fn begin_export(&mut self, handle: &str) -> Result<(u64, KvCache), Failure> {
        let held_prompt = self.prompts.get_mut(handle).filter(|prompt| prompt.stage == Stage::Held);
        let prompt = held_prompt.ok_or_else(|| failure(404, "handle", "no such KV cache"))?;
        prompt.active_exports += 1;
        Ok((prompt.serial, KvCache { generator: prompt.generator, tokens: prompt.tokens }))
    }

    /// Ends an export; a complete export frees the KV cache.
    pub(super) fn end_export(&mut self, handle: &str, serial: u64, is_complete: bool) {
        if !self.has_prompt(handle, serial) {
            return;
        }
        let Some(prompt) = self.prompts.get_mut(handle) else { return };
        prompt.active_exports -= 1;
        if is_complete {
            self.counts.exports += 1;
            self.counts.exported_tokens += u64::from(prompt.tokens);
            self.prompts.remove(handle);
        } else if prompt.expired && prompt.active_exports == 0 {
            self.discard_prompt(handle);
        }
    }

    /// Begins an import, which creates the request's answer and reserves its memory; returns the
    /// answer's serial number.
    ///
    /// # Errors
    ///
    /// Status 409 if the id has an answer already, 503 if there is too little memory.
    pub(super) fn begin_import(&mut self, order: &Import) -> Result<u64, Failure> {
        if self.answers.contains_key(&order.id) {
            return Err(failure(409, "id", "already imported"));
        }
        if !self.has_memory_for(order.kv_tokens) {
            return Err(failure(503, "memory", "full"));
        }
        let serial = self.next_serial();
        let answer = Answer {
            serial,
            kv_tokens: order.kv_tokens,
            prompt_kv: None,
            total_tokens: 0,
            finish_reason: "",
            progress: None,
        };
        self.answers.insert(Arc::clone(&order.id), answer);
        Ok(serial)
    }

    /// Returns `true` unless the answer with this serial number was cancelled or has ended.
    pub(super) fn has_answer(&self, id: &str, serial: u64) -> bool {
        self.answers.get(id).is_some_and(|answer| answer.serial == serial)
    }

    /// Ends an import. A successful one gives the answer its KV cache; a failed one removes the
    /// answer and frees its memory.
    ///
    /// # Errors
    ///
    /// Status 409 if the import was cancelled, 400 if the KV cache exceeds the reserved memory, or
    /// the error of the transfer.
    pub(super) fn end_import(
        &mut self,
        id: &str,
        serial: u64,
        transfer: Result<KvCache, Failure>,
    ) -> Result<KvCache, Failure> {
        if !self.has_answer(id, serial) {
            return Err(failure(409, "id", "cancelled"));
        }
        let Some(answer) = self.answers.get_mut(id) else { return transfer };
        let fits = |imported: &KvCache| imported.tokens <= answer.kv_tokens;
        let too_small = || failure(400, "kv_tokens", "smaller than the KV cache");
        match transfer
            .and_then(|received| if fits(&received) { Ok(received) } else { Err(too_small()) })
        {
            Ok(imported) => {
                answer.prompt_kv = Some(imported);
                self.counts.imports += 1;
                self.counts.imported_tokens += u64::from(imported.tokens);
                Ok(imported)
            }
            Err(error) => {
                self.answers.remove(id);
                Err(error)
            }
        }
    }

    /// Queues an imported request for generation.
    ///
    /// # Errors
    ///
    /// Status 404 if nothing was imported, 409 if generation was ordered already, 400 if prompt and
    /// answer exceed the reserved memory.
    pub(super) fn begin_decode(&mut self, order: &Decode) -> Result<AnswerReader, Failure> {
        let serial = self.next_serial();
        let missing = || failure(404, "id", "nothing imported");
        let answer = self.answers.get_mut(&order.id).ok_or_else(missing)?;
        let prompt_kv = answer.prompt_kv.ok_or_else(missing)?;
        if answer.progress.is_some() {
            return Err(failure(409, "id", "already generating"));
        }
        if prompt_kv.tokens.saturating_add(order.output_tokens) > answer.kv_tokens {
            return Err(failure(400, "output_tokens", "prompt and answer exceed the import's"));
        }
        answer.total_tokens = prompt_kv.generator.token_count(order.output_tokens);
        answer.finish_reason = prompt_kv.generator.finish_reason(order.output_tokens);
        let (sender, progress) = watch::channel(Progress::default());
        answer.progress = Some(sender);
        self.decode_queue.insert((Reverse(order.priority), serial), Arc::clone(&order.id));
        Ok(AnswerReader { generator: prompt_kv.generator, progress, offset: 0 })
    }

    /// Returns a reader, from the given offset, of an answer that is being generated or that ended
    /// recently.
    ///
    /// # Errors
    ///
    /// Status 404 if there is no such answer, 400 if the offset exceeds the generated tokens.
    pub(super) fn resume(&self, order: &Resume) -> Result<AnswerReader, Failure> {
        let from_running = || {
            let answer = self.answers.get(&order.id)?;
            let progress = answer.progress.as_ref()?.subscribe();
            Some(AnswerReader { generator: answer.prompt_kv?.generator, progress, offset: 0 })
        };
        let from_ended = || {
            let found = self.ended_answers.iter().rev().find(|(id, _)| *id == order.id);
            found.map(|(_, reader)| reader.clone())
        };
        let found = from_running().or_else(from_ended);
        let reader = found.ok_or_else(|| failure(404, "id", "no such answer"))?;
        if order.offset > reader.progress.borrow().generated {
            return Err(failure(400, "offset", "beyond what is generated"));
        }
        Ok(AnswerReader { offset: order.offset, ..reader })
    }

    /// Moves queued requests into the batch while it has free slots; returns its size.
    pub(super) fn fill_batch(&mut self) -> u32 {
        while self.batch.len() < self.settings.slots as usize {
            let Some((_, id)) = self.decode_queue.pop_first() else { break };
            self.batch.push(id);
        }
        let size = u32::try_from(self.batch.len()).unwrap_or(u32::MAX);
        self.counts.batch_max = self.counts.batch_max.max(size);
        size
    }

    /// Generates a token for each request in the batch.
    ///
    /// `lateness` is the time by which the step ended too late.
    pub(super) fn step(&mut self, lateness: Duration) {
        self.counts.steps += 1;
        self.counts.late_us += u64::try_from(lateness.as_micros()).unwrap_or(u64::MAX);
        for id in std::mem::take(&mut self.batch) {
            let Some(answer) = self.answers.get_mut(&id) else { continue };
            let Some(progress) = &answer.progress else { continue };
            let mut updated = *progress.borrow();
            if updated.generated < answer.total_tokens {
                updated.generated += 1;
                self.counts.generated_tokens += 1;
            }
            updated.finish_reason =
                (updated.generated == answer.total_tokens).then_some(answer.finish_reason);
            progress.send_replace(updated);
            if updated.finish_reason.is_some() { self.end_answer(&id) } else { self.batch.push(id) }
        }
    }

    /// Removes an answer that has its whole length, which frees its memory, and keeps a reader in
    /// `ended_answers`, from which callers can still read the answer.
    fn end_answer(&mut self, id: &Arc<str>) {
        let Some(answer) = self.answers.remove(id) else { return };
        self.counts.answers += 1;
        let (Some(prompt_kv), Some(progress)) = (answer.prompt_kv, answer.progress) else { return };
        if self.ended_answers.len() == ENDED_ANSWERS_MAX {
            self.ended_answers.pop_front();
        }
        let reader = AnswerReader {
            generator: prompt_kv.generator,
            progress: progress.subscribe(),
            offset: 0,
        };
        self.ended_answers.push_back((Arc::clone(id), reader));
    }

    /// Removes a request's prompt and answer, and frees their memory.
    pub(super) fn cancel(&mut self, id: &str) {
        let was_held = self.prompts.contains_key(id) || self.answers.contains_key(id);
        self.counts.cancelled += u64::from(was_held);
        self.discard_prompt(id);
        if let Some(answer) = self.answers.remove(id) {
            let undecoded = answer.prompt_kv.filter(|_| answer.progress.is_none());
            self.counts.undecoded_tokens +=
                undecoded.map_or(0, |prompt_kv| u64::from(prompt_kv.tokens));
        }
        self.prefill_queue.retain(|_, queued| **queued != *id);
        self.decode_queue.retain(|_, queued| **queued != *id);
        self.batch.retain(|running| **running != *id);
    }

    /// Returns the hold of each request: its memory, and whether its prefill or its generation is
    /// running.
    pub(super) fn holds(&self) -> Holds {
        let prompts = self
            .prompts
            .iter()
            .map(|(id, prompt)| (id, prompt.held_tokens(), prompt.stage == Stage::Computing));
        let answers =
            self.answers.iter().map(|(id, answer)| (id, answer.kv_tokens, self.batch.contains(id)));
        let mut holds: BTreeMap<&Arc<str>, Hold> = BTreeMap::new();
        for (id, kv_tokens, running) in prompts.chain(answers) {
            let empty_hold = || Hold { id: Arc::clone(id), kv_tokens: 0, running: false };
            let hold = holds.entry(id).or_insert_with(empty_hold);
            hold.kv_tokens += kv_tokens;
            hold.running |= running;
        }
        Holds { holds: holds.into_values().collect() }
    }

    /// Returns the current load, counting prefills and generations.
    pub(super) fn load(&self) -> Load {
        let count = |length| u32::try_from(length).unwrap_or(u32::MAX);
        let computing = |prompt: &&Prompt| prompt.stage == Stage::Computing;
        let computing = self.prompts.values().filter(computing).count();
        Load {
            running: count(self.batch.len() + computing),
            waiting: count(self.decode_queue.len() + self.prefill_queue.len()),
            kv_used: u64::from(self.used_tokens()),
            age_ms: 0,
        }
    }
}

impl Prompt {
    /// Returns the memory that the prompt holds, in tokens.
    fn held_tokens(&self) -> u32 {
        if self.stage == Stage::Queued { 0 } else { self.tokens }
    }

    /// Sends the outcome of the prefill, unless it was sent before.
    fn send_reply(self, outcome: Result<Prefilled, Failure>) {
        if let Some(reply) = self.reply {
            let _ = reply.send(outcome);
        }
    }
}

/// Returns a duration in whole milliseconds.
fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
