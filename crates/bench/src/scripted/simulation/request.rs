//! Request path of the entry hosts: queueing, admission, reservation, prefill, decode and the
//! handling of failures.

use super::server::new_backend;
use super::{Backend, Simulation};
use crate::scripted::engine;
use crate::scripted::entry::{ActiveRequest, admission_target, placement_query};
use crate::scripted::load::{Arrival, organisations};
use chestnutrack_core::place;
use chestnutrack_document::model::Role;
use chestnutrack_wire::frame::{Frame, Load};
use chestnutrack_wire::{Attempt, Request, frame};
use std::time::Duration;

/// Most attempts for one request.
const ATTEMPTS_MAX: u32 = 1_000;

impl Simulation {
    /// Queues a request that arrives at its entry host, or refuses it if the queue does. Then
    /// admits waiting requests.
    pub(super) fn handle_arrival(&mut self, index: usize) {
        let arrival = self.arrivals[index].clone();
        let entry = &mut self.entries[arrival.entry];
        if entry.enqueue(&self.settings, self.now, index, &arrival, false) {
            entry
                .active
                .insert(index, ActiveRequest { arrival: index, ..ActiveRequest::default() });
        } else {
            self.outcomes[index].is_refused = true;
        }
        self.admit_waiting(arrival.entry);
    }

    /// Removes and refuses the queued requests whose deadline has passed. An item of the queue is
    /// the index of an arrival.
    pub(super) fn expire_waiting(&mut self, entry_index: usize) {
        let entry = &mut self.entries[entry_index];
        for waiting in entry.queue.expire(self.now, |_| false) {
            entry.active.remove(&waiting.item);
            self.outcomes[waiting.item].is_refused = true;
        }
    }

    /// Admits requests from the queue of an entry host until none can be placed.
    pub(super) fn admit_waiting(&mut self, entry_index: usize) {
        loop {
            let entry = &mut self.entries[entry_index];
            let Some((index, key)) = entry.admit_next(&self.settings, self.now, &self.arrivals)
            else {
                return;
            };
            self.counts.placed += 1;
            match key {
                Some(key) => self.reserve(entry_index, index, key),
                None if self.start_prefill(entry_index, index) => {}
                None => return,
            }
        }
    }

    /// Asks a decode server for a slot, as a new attempt.
    pub(super) fn reserve(
        &mut self,
        entry_index: usize,
        index: usize,
        key: chestnutrack_core::place::Key,
    ) {
        let arrival = self.arrivals[index].clone();
        let entry = &mut self.entries[entry_index];
        let Some(active) = entry.active.get_mut(&index) else { return };
        active.attempt += 1;
        active.decode = Some(key);
        active.reserved = false;
        let attempt = active.attempt;
        let has_kv = active.kv.is_some();
        entry.table[key].record_sent(u64::from(arrival.prompt_tokens));
        let server_index = entry.server_indices[&key];
        let prefill_ms = engine::prefill_time(arrival.prompt_tokens).as_millis();
        let needed_in_ms = if has_kv { 0 } else { u32::try_from(prefill_ms).unwrap_or(0) };
        let organisation = if self.settings.policy.fair { arrival.organisation } else { 0 };
        let reserve = frame::Reserve {
            organisation: organisations(&self.settings)[organisation].clone(),
            may_wait: false,
            kv_tokens: arrival.prompt_tokens + arrival.output_tokens,
            transfer_tokens: arrival.prompt_tokens,
            output_tokens: arrival.output_tokens,
            wait_ms: if has_kv { 0 } else { self.reserve_wait_ms(&arrival) },
            needed_in_ms,
        };
        self.counts.reserves += 1;
        self.send(
            server_index,
            entry_index,
            Frame::Reserve(request(index), Attempt(attempt), reserve),
        );
    }

    /// Returns how long a reservation may wait at the decode server, in milliseconds.
    pub(super) fn reserve_wait_ms(&self, arrival: &Arrival) -> u32 {
        let remaining = (arrival.at + self.settings.deadline).since(self.now);
        let wait = match self.settings.reserve_wait {
            Some(wait) => wait.min(remaining),
            None => place::wait::max_wait(
                self.now,
                admission_target(&self.settings, arrival),
                remaining,
            ),
        };
        u32::try_from(wait.as_millis()).unwrap_or(u32::MAX)
    }

    /// Sends a request to a prefill server. Returns `false` if none is available; the request is
    /// then requeued, or refused if its deadline has passed.
    pub(super) fn start_prefill(&mut self, entry_index: usize, index: usize) -> bool {
        let arrival = self.arrivals[index].clone();
        let entry = &mut self.entries[entry_index];
        let query = placement_query(&arrival, None);
        let Some(key) = entry.choose_prefill(&self.settings, self.now, &query) else {
            self.requeue(entry_index, index);
            return false;
        };
        let Some(active) = entry.active.get_mut(&index) else { return true };
        active.prefill = Some(key);
        active.attempt = active.attempt.max(1);
        let attempt = active.attempt;
        entry.table[key].record_sent(u64::from(arrival.prompt_tokens));
        let server_index = entry.server_indices[&key];
        let remaining_ms = self.now.millis_until(arrival.at + self.settings.deadline);
        let prefill = frame::Prefill {
            organisation: organisations(&self.settings)[arrival.organisation].clone(),
            may_wait: false,
            prompt: self.prompt.clone(),
            prompt_tokens: arrival.prompt_tokens,
            deadline_ms: u32::try_from(remaining_ms).unwrap_or(u32::MAX),
        };
        self.send(
            server_index,
            entry_index,
            Frame::Prefill(request(index), Attempt(attempt), prefill),
        );
        true
    }

    /// Puts a request back at the front of the queue. Refuses it if its deadline has passed or its
    /// attempts are used up.
    pub(super) fn requeue(&mut self, entry_index: usize, index: usize) {
        let arrival = self.arrivals[index].clone();
        let is_late = self.now >= arrival.at + self.settings.deadline;
        let entry = &mut self.entries[entry_index];
        let attempts = entry.active.get(&index).map_or(0, |active| active.attempt);
        if is_late || attempts >= ATTEMPTS_MAX {
            entry.active.remove(&index);
            self.outcomes[index].is_refused = true;
            return;
        }
        entry.enqueue(&self.settings, self.now, index, &arrival, true);
    }

    /// Handles a frame from a side process: records the load on it, passes it to the request that
    /// it belongs to, and admits waiting requests.
    pub(super) fn handle_frame(&mut self, entry_index: usize, server_index: usize, frame: Frame) {
        if let Some(load) = reported_load(&frame) {
            self.entries[entry_index].record_load(self.now, server_index, load);
        }
        match frame {
            Frame::Reserved(id, attempt, _, _) => self.handle_reserved(entry_index, id, attempt),
            Frame::Prefilled(id, attempt, kv, _) => {
                self.handle_prefilled(entry_index, id, attempt, kv)
            }
            Frame::Tokens(id, _, offset, texts) => self.handle_tokens(id, offset, texts.len()),
            Frame::End(id, attempt, total, _, _) => {
                self.handle_end(entry_index, server_index, id, attempt, total)
            }
            Frame::Failed(id, attempt, failure, _) => {
                self.record_refusal(entry_index, server_index, failure);
                self.handle_failed(entry_index, server_index, id, attempt);
            }
            _ => {}
        }
        self.admit_waiting(entry_index);
    }

    /// Records that the decode slot is reserved, and starts the decode if the prefill has finished
    /// or else the prefill. Ignores a reservation for an earlier attempt.
    pub(super) fn handle_reserved(&mut self, entry_index: usize, id: Request, attempt: Attempt) {
        let index = arrival_index(id);
        let Some(active) = self.entries[entry_index].active.get_mut(&index) else { return };
        if active.attempt != attempt.0 {
            return;
        }
        active.reserved = true;
        match active.kv.clone() {
            Some(kv) => self.start_decode(entry_index, index, kv),
            None => {
                self.start_prefill(entry_index, index);
            }
        }
    }

    /// Records the KV cache of a finished prefill, and starts the decode if the slot is reserved.
    /// If not, reserves a slot on a decode server, or restarts the request if none is available.
    /// Ignores a prefill of an earlier attempt, except that its tokens are counted.
    pub(super) fn handle_prefilled(
        &mut self,
        entry_index: usize,
        id: Request,
        attempt: Attempt,
        kv: frame::Kv,
    ) {
        let index = arrival_index(id);
        let arrival = self.arrivals[index].clone();
        self.counts.prefilled_tokens += u64::from(arrival.prompt_tokens);
        let entry = &mut self.entries[entry_index];
        let Some(active) = entry.active.get_mut(&index) else { return };
        if active.attempt != attempt.0 {
            return;
        }
        let prefill = active.prefill.take();
        active.kv = Some(kv.clone());
        let reserved = active.reserved;
        let query = placement_query(&arrival, Some(active));
        entry.record_finished(prefill);
        if reserved {
            self.start_decode(entry_index, index, kv);
            return;
        }
        match entry.choose_late_decode(&self.settings, self.now, &query) {
            Some(key) => self.reserve(entry_index, index, key),
            None => self.restart(entry_index, index),
        }
    }

    /// Discards the KV cache of a request and requeues it for a new prefill.
    pub(super) fn restart(&mut self, entry_index: usize, index: usize) {
        if let Some(active) = self.entries[entry_index].active.get_mut(&index) {
            active.kv = None;
            active.refused_by.clear();
        }
        self.requeue(entry_index, index);
    }

    /// Sends the decode command of a request to its decode server, with the KV cache to import.
    pub(super) fn start_decode(&mut self, entry_index: usize, index: usize, kv: frame::Kv) {
        let entry = &mut self.entries[entry_index];
        let Some(active) = entry.active.get(&index) else { return };
        let Some(key) = active.decode else { return };
        let server_index = entry.server_indices[&key];
        let attempt = Attempt(active.attempt);
        let output_tokens = self.arrivals[index].output_tokens;
        let order = frame::Decode { kv, output_tokens };
        self.send(server_index, entry_index, Frame::Decode(request(index), attempt, order));
    }

    pub(super) fn handle_tokens(&mut self, id: Request, offset: u32, count: usize) {
        let index = arrival_index(id);
        if offset == 0 {
            self.counts.decoded_prompt_tokens += u64::from(self.arrivals[index].prompt_tokens);
        }
        let outcome = &mut self.outcomes[index];
        outcome.first_token_at.get_or_insert(self.now);
        outcome.last_token_at = Some(self.now);
        outcome.tokens = offset + u32::try_from(count).unwrap_or(0);
    }

    /// Ends a request whose answer has ended. It is complete if all its tokens arrived.
    pub(super) fn handle_end(
        &mut self,
        entry_index: usize,
        server_index: usize,
        id: Request,
        attempt: Attempt,
        total: u32,
    ) {
        let index = arrival_index(id);
        let entry = &mut self.entries[entry_index];
        if let Some(active) = entry.active.remove(&index) {
            entry.record_finished(active.decode);
        }
        self.outcomes[index].is_complete = self.outcomes[index].tokens == total;
        self.send(server_index, entry_index, Frame::Done(id, attempt));
    }

    pub(super) fn handle_failed(
        &mut self,
        entry_index: usize,
        server_index: usize,
        id: Request,
        attempt: Attempt,
    ) {
        let index = arrival_index(id);
        let entry = &mut self.entries[entry_index];
        let Some(active) = entry.active.get_mut(&index) else { return };
        if active.attempt != attempt.0 {
            return;
        }
        let key = entry.server_keys[&server_index];
        if active.prefill == Some(key) {
            let (prefill, decode) = (active.prefill.take(), active.decode.take());
            active.reserved = false;
            let decode_server = decode.map(|key| entry.server_indices[&key]);
            entry.record_finished(prefill);
            entry.record_finished(decode);
            if let Some(decode_server) = decode_server {
                self.send(decode_server, entry_index, Frame::Cancel(id, attempt));
            }
            self.restart(entry_index, index);
            return;
        }
        active.decode = None;
        active.reserved = false;
        active.refused_by.push(entry.table[key].name.clone());
        let has_kv = active.kv.is_some();
        let query = placement_query(&self.arrivals[index], Some(active));
        entry.record_finished(Some(key));
        if !has_kv {
            if let Some(active) = entry.active.get_mut(&index) {
                active.refused_by.clear();
            }
            self.requeue(entry_index, index);
            return;
        }
        match entry.choose_late_decode(&self.settings, self.now, &query) {
            Some(key) => self.reserve(entry_index, index, key),
            None => self.restart(entry_index, index),
        }
    }

    /// Excludes a server that refused a request from placement until the retry delay that it gave
    /// has passed.
    pub(super) fn record_refusal(
        &mut self,
        entry_index: usize,
        server_index: usize,
        failure: frame::Failure,
    ) {
        let entry = &mut self.entries[entry_index];
        let key = entry.server_keys[&server_index];
        let retry_after = Duration::from_millis(u64::from(failure.retry_after_ms));
        entry.table[key].record_full(self.now, retry_after);
    }

    /// Stops a decode server: its state is lost, and the entry hosts are disconnected from it.
    pub(super) fn stop_server(&mut self, server_index: usize) {
        let replacement = new_backend(
            &self.settings,
            &(self.backends[server_index].config.name.clone(), Role::Decode),
        );
        let epoch = self.backends[server_index].epoch;
        self.backends[server_index] = Backend { alive: false, epoch, ..replacement };
        for entry_index in 0..self.entries.len() {
            let Some(key) = self.entries[entry_index].server_keys.get(&server_index).copied()
            else {
                continue;
            };
            self.entries[entry_index].table[key].connected = false;
            let affected: Vec<usize> = self.entries[entry_index]
                .active
                .values()
                .filter(|active| active.decode == Some(key))
                .map(|active| active.arrival)
                .collect();
            for index in affected {
                self.handle_server_loss(entry_index, index);
            }
        }
    }

    /// Handles the loss of the decode server of a request. The request is restarted unless the
    /// caller has already received a token; then it ends incomplete.
    pub(super) fn handle_server_loss(&mut self, entry_index: usize, index: usize) {
        let entry = &mut self.entries[entry_index];
        let Some(active) = entry.active.get_mut(&index) else { return };
        // Reservations, prefills and failures that are still reported for the lost attempt carry
        // its number and are ignored.
        active.attempt += 1;
        let decode = active.decode.take();
        entry.record_finished(decode);
        if self.outcomes[index].first_token_at.is_some() {
            entry.active.remove(&index);
            return;
        }
        self.restart(entry_index, index);
    }
}

fn request(index: usize) -> Request {
    Request(index as u128)
}

fn arrival_index(request: Request) -> usize {
    usize::try_from(request.0).unwrap_or_default()
}

fn reported_load(frame: &Frame) -> Option<Load> {
    match frame {
        Frame::Reserved(_, _, _, load)
        | Frame::Prefilled(_, _, _, load)
        | Frame::End(_, _, _, _, load)
        | Frame::Failed(_, _, _, load)
        | Frame::Loaded(load) => Some(*load),
        _ => None,
    }
}
