//! What each arrival turns into: its turn, its reservation, its prefill, its answer.

use super::server::backend;
use super::{Backend, World};
use crate::scripted::engine;
use crate::scripted::entry::{Active, ask, target};
use crate::scripted::load::{Arrival, organisations};
use chestnutrack_core::place;
use chestnutrack_document::model::Role;
use chestnutrack_wire::frame::{Frame, Load};
use chestnutrack_wire::{Attempt, Request, frame};
use std::time::Duration;

/// Attempts at one request.
const ATTEMPTS_MAX: u32 = 1_000;

impl World {
    pub(super) fn arrive(&mut self, index: usize) {
        let arrival = self.arrivals[index].clone();
        let entry = &mut self.entries[arrival.entry];
        if entry.wait(&self.settings, self.now, index, &arrival, false) {
            entry.active.insert(index, Active { arrival: index, ..Active::default() });
        } else {
            self.outcomes[index].refused = true;
        }
        self.turns(arrival.entry);
    }

    pub(super) fn expire(&mut self, number: usize) {
        let entry = &mut self.entries[number];
        for waiting in entry.queue.expire(self.now, |_| false) {
            entry.active.remove(&waiting.item);
            self.outcomes[waiting.item].refused = true;
        }
    }

    pub(super) fn turns(&mut self, number: usize) {
        loop {
            let entry = &mut self.entries[number];
            let Some((index, key)) = entry.turn(&self.settings, self.now, &self.arrivals) else {
                return;
            };
            self.counts.placed += 1;
            match key {
                Some(key) => self.reserve(number, index, key),
                None if self.start_prefill(number, index) => {}
                None => return,
            }
        }
    }

    pub(super) fn reserve(
        &mut self,
        number: usize,
        index: usize,
        key: chestnutrack_core::place::Key,
    ) {
        let arrival = self.arrivals[index].clone();
        let entry = &mut self.entries[number];
        let Some(active) = entry.active.get_mut(&index) else { return };
        active.attempt += 1;
        active.decode = Some(key);
        active.reserved = false;
        let attempt = active.attempt;
        let has_kv = active.kv.is_some();
        entry.table[key].record_sent(u64::from(arrival.prompt_tokens));
        let server = entry.numbers[&key];
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
        self.send(server, number, Frame::Reserve(request(index), Attempt(attempt), reserve));
    }

    pub(super) fn reserve_wait_ms(&self, arrival: &Arrival) -> u32 {
        let left = (arrival.at + self.settings.deadline).since(self.now);
        let wait = match self.settings.reserve_wait {
            Some(wait) => wait.min(left),
            None => place::wait::max_wait(self.now, target(&self.settings, arrival), left),
        };
        u32::try_from(wait.as_millis()).unwrap_or(u32::MAX)
    }

    /// Sends a request to a prefill server; false when none is open and it is back in the queue.
    pub(super) fn start_prefill(&mut self, number: usize, index: usize) -> bool {
        let arrival = self.arrivals[index].clone();
        let entry = &mut self.entries[number];
        let wanted = ask(&arrival, None);
        let Some(key) = entry.prefill(&self.settings, self.now, &wanted) else {
            self.give_back(number, index);
            return false;
        };
        let Some(active) = entry.active.get_mut(&index) else { return true };
        active.prefill = Some(key);
        active.attempt = active.attempt.max(1);
        let attempt = active.attempt;
        entry.table[key].record_sent(u64::from(arrival.prompt_tokens));
        let server = entry.numbers[&key];
        let left_ms = self.now.millis_until(arrival.at + self.settings.deadline);
        let prefill = frame::Prefill {
            organisation: organisations(&self.settings)[arrival.organisation].clone(),
            may_wait: false,
            prompt: self.prompt.clone(),
            prompt_tokens: arrival.prompt_tokens,
            deadline_ms: u32::try_from(left_ms).unwrap_or(u32::MAX),
        };
        self.send(server, number, Frame::Prefill(request(index), Attempt(attempt), prefill));
        true
    }

    /// Puts a request back at the front of the queue, or refuses it.
    pub(super) fn give_back(&mut self, number: usize, index: usize) {
        let arrival = self.arrivals[index].clone();
        let late = self.now >= arrival.at + self.settings.deadline;
        let entry = &mut self.entries[number];
        let attempts = entry.active.get(&index).map_or(0, |active| active.attempt);
        if late || attempts >= ATTEMPTS_MAX {
            entry.active.remove(&index);
            self.outcomes[index].refused = true;
            return;
        }
        entry.wait(&self.settings, self.now, index, &arrival, true);
    }

    pub(super) fn answer(&mut self, number: usize, server: usize, frame: Frame) {
        if let Some(load) = load_of(&frame) {
            self.entries[number].loaded(self.now, server, load);
        }
        match frame {
            Frame::Reserved(id, attempt, _, _) => self.reserved(number, id, attempt),
            Frame::Prefilled(id, attempt, kv, _) => self.prefilled(number, id, attempt, kv),
            Frame::Tokens(id, _, offset, texts) => self.tokens(id, offset, texts.len()),
            Frame::End(id, attempt, total, _, _) => self.ended(number, server, id, attempt, total),
            Frame::Failed(id, attempt, failure, _) => {
                self.full(number, server, failure);
                self.failed(number, server, id, attempt);
            }
            _ => {}
        }
        self.turns(number);
    }

    pub(super) fn reserved(&mut self, number: usize, id: Request, attempt: Attempt) {
        let index = index_of(id);
        let Some(active) = self.entries[number].active.get_mut(&index) else { return };
        if active.attempt != attempt.0 {
            return;
        }
        active.reserved = true;
        match active.kv.clone() {
            Some(kv) => self.decode(number, index, kv),
            None => {
                self.start_prefill(number, index);
            }
        }
    }

    pub(super) fn prefilled(
        &mut self,
        number: usize,
        id: Request,
        attempt: Attempt,
        kv: frame::Kv,
    ) {
        let index = index_of(id);
        let arrival = self.arrivals[index].clone();
        self.counts.prefilled += u64::from(arrival.prompt_tokens);
        let entry = &mut self.entries[number];
        let Some(active) = entry.active.get_mut(&index) else { return };
        if active.attempt != attempt.0 {
            return;
        }
        let prefill = active.prefill.take();
        active.kv = Some(kv.clone());
        let reserved = active.reserved;
        let wanted = ask(&arrival, Some(active));
        entry.left(prefill);
        if reserved {
            self.decode(number, index, kv);
            return;
        }
        match entry.late_decode(&self.settings, self.now, &wanted) {
            Some(key) => self.reserve(number, index, key),
            None => self.restart(number, index),
        }
    }

    /// Loses a request's KV cache and puts the request back.
    pub(super) fn restart(&mut self, number: usize, index: usize) {
        if let Some(active) = self.entries[number].active.get_mut(&index) {
            active.kv = None;
            active.passed_over.clear();
        }
        self.give_back(number, index);
    }

    pub(super) fn decode(&mut self, number: usize, index: usize, kv: frame::Kv) {
        let entry = &mut self.entries[number];
        let Some(active) = entry.active.get(&index) else { return };
        let Some(key) = active.decode else { return };
        let server = entry.numbers[&key];
        let attempt = Attempt(active.attempt);
        let output_tokens = self.arrivals[index].output_tokens;
        let order = frame::Decode { kv, output_tokens };
        self.send(server, number, Frame::Decode(request(index), attempt, order));
    }

    pub(super) fn tokens(&mut self, id: Request, offset: u32, count: usize) {
        let index = index_of(id);
        if offset == 0 {
            self.counts.decoded += u64::from(self.arrivals[index].prompt_tokens);
        }
        let outcome = &mut self.outcomes[index];
        outcome.first.get_or_insert(self.now);
        outcome.last = Some(self.now);
        outcome.tokens = offset + u32::try_from(count).unwrap_or(0);
    }

    pub(super) fn ended(
        &mut self,
        number: usize,
        server: usize,
        id: Request,
        attempt: Attempt,
        total: u32,
    ) {
        let index = index_of(id);
        let entry = &mut self.entries[number];
        if let Some(active) = entry.active.remove(&index) {
            entry.left(active.decode);
        }
        self.outcomes[index].whole = self.outcomes[index].tokens == total;
        self.send(server, number, Frame::Done(id, attempt));
    }

    pub(super) fn failed(&mut self, number: usize, server: usize, id: Request, attempt: Attempt) {
        let index = index_of(id);
        let entry = &mut self.entries[number];
        let Some(active) = entry.active.get_mut(&index) else { return };
        if active.attempt != attempt.0 {
            return;
        }
        let key = entry.keys[&server];
        if active.prefill == Some(key) {
            let (prefill, decode) = (active.prefill.take(), active.decode.take());
            active.reserved = false;
            let held = decode.map(|key| entry.numbers[&key]);
            entry.left(prefill);
            entry.left(decode);
            if let Some(held) = held {
                self.send(held, number, Frame::Cancel(id, attempt));
            }
            self.restart(number, index);
            return;
        }
        active.decode = None;
        active.reserved = false;
        active.passed_over.push(entry.table[key].name.clone());
        let has_kv = active.kv.is_some();
        let wanted = ask(&self.arrivals[index], Some(active));
        entry.left(Some(key));
        if !has_kv {
            if let Some(active) = entry.active.get_mut(&index) {
                active.passed_over.clear();
            }
            self.give_back(number, index);
            return;
        }
        match entry.late_decode(&self.settings, self.now, &wanted) {
            Some(key) => self.reserve(number, index, key),
            None => self.restart(number, index),
        }
    }

    /// Passes a server that refused over until it says that it may be asked again.
    pub(super) fn full(&mut self, number: usize, server: usize, failure: frame::Failure) {
        let entry = &mut self.entries[number];
        let key = entry.keys[&server];
        let again_in = Duration::from_millis(u64::from(failure.retry_after_ms));
        entry.table[key].record_full(self.now, again_in);
    }

    pub(super) fn lose(&mut self, number: usize) {
        let fresh =
            backend(&self.settings, &(self.backends[number].config.name.clone(), Role::Decode));
        let epoch = self.backends[number].epoch;
        self.backends[number] = Backend { alive: false, epoch, ..fresh };
        for entry in 0..self.entries.len() {
            let Some(key) = self.entries[entry].keys.get(&number).copied() else { continue };
            self.entries[entry].table[key].connected = false;
            let lost: Vec<usize> = self.entries[entry]
                .active
                .values()
                .filter(|active| active.decode == Some(key))
                .map(|active| active.arrival)
                .collect();
            for index in lost {
                self.lost(entry, index);
            }
        }
    }

    /// A request's decode server is gone: it starts anew unless the caller has had a token.
    pub(super) fn lost(&mut self, number: usize, index: usize) {
        let entry = &mut self.entries[number];
        let Some(active) = entry.active.get_mut(&index) else { return };
        active.attempt += 1;
        let decode = active.decode.take();
        entry.left(decode);
        if self.outcomes[index].first.is_some() {
            entry.active.remove(&index);
            return;
        }
        self.restart(number, index);
    }
}

fn request(index: usize) -> Request {
    Request(index as u128)
}

fn index_of(request: Request) -> usize {
    usize::try_from(request.0).unwrap_or_default()
}

fn load_of(frame: &Frame) -> Option<Load> {
    match frame {
        Frame::Reserved(_, _, _, load)
        | Frame::Prefilled(_, _, _, load)
        | Frame::End(_, _, _, _, load)
        | Frame::Failed(_, _, _, load)
        | Frame::Loaded(load) => Some(*load),
        _ => None,
    }
}
