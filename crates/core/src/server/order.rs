//! Sends orders (commands) to the engine, and only while this process holds authority over it.

use super::event::{Effect, Order, Task};
use super::hold::{Key, engine_id};
use super::{Counter, Server};
use std::sync::Arc;

/// An order that is withheld until this process's authority has been checked.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    hold: Key,
    id: Arc<str>,
    task: Task,
}

/// Returns the priority on the engine; higher runs first. Interactive requests go before those that
/// may wait.
pub(super) fn priority(may_wait: bool) -> i32 {
    i32::from(!may_wait)
}

impl Server {
    /// Orders the engine to carry out a task for a hold.
    pub(super) fn order(&mut self, key: Key, task: Task) {
        let Some(hold) = self.holds.get(key) else { return };
        let id = engine_id(hold.id);
        self.send_order(Pending { hold: key, id, task });
    }

    /// Sends an order that belongs to no hold.
    pub(super) fn order_by_id(&mut self, id: Arc<str>, task: Task) {
        self.send_order(Pending { hold: Key::default(), id, task });
    }

    /// Sends an order with the fencing number. Without authority it is withheld, or dropped if
    /// authority is lost.
    fn send_order(&mut self, pending: Pending) {
        let Some(fence) = self.authority.fence() else {
            if !self.authority.is_lost() {
                self.pending.push(pending);
            }
            return;
        };
        self.count(Counter::Orders);
        let Pending { hold, id, task } = pending;
        self.effects.push(Effect::Order(Order { hold, id, fence, task }));
    }

    /// Sends the withheld orders, after authority was confirmed.
    pub(super) fn send_pending(&mut self) {
        for pending in std::mem::take(&mut self.pending) {
            self.send_order(pending);
        }
    }

    /// Drops the withheld orders of a hold. Returns `true` if the order that would have started its
    /// work, an import or prefill, was among them: the engine then doesn't know the hold.
    pub(super) fn drop_pending(&mut self, key: Key) -> bool {
        let starts_work = |task: &Task| matches!(task, Task::Prefill { .. } | Task::Import { .. });
        let mut of_hold = self.pending.iter().filter(|pending| pending.hold == key);
        let start_not_sent = of_hold.any(|pending| starts_work(&pending.task));
        self.pending.retain(|pending| pending.hold != key);
        start_not_sent
    }
}
