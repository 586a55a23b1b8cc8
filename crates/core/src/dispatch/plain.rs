//! Plain services: the server with the fewest requests of this host under way.

use super::engine::spread;
use super::{Dispatch, Key};
use crate::time::Instant;

/// Part of a server's slots beyond which one in another failure domain is as good.
const NEAR_PART: u32 = 2;

impl<T> Dispatch<T> {
    /// Takes a place at a server of a plain service, other than those passed over.
    pub fn plain(&mut self, now: Instant, service: &str, passed_over: &[Key]) -> Option<Key> {
        let draw = self.draw();
        let candidates = self.servers.iter().filter(|(key, server)| {
            &*server.entry.service == service && server.is_open() && !passed_over.contains(key)
        });
        let ranked = candidates.map(|(key, server)| {
            let unsound = !server.health.is_sound(now, server.running);
            let busy = server.running >= server.entry.slots / NEAR_PART;
            let far = server.entry.failure_domain != self.near;
            let tie = spread(key, draw);
            ((unsound, busy, far, server.running, tie), key)
        });
        let (_, key) = ranked.min()?;
        self.servers[key].running += 1;
        Some(key)
    }

    /// Gives a place at a plain service's server back.
    pub fn plain_ended(&mut self, key: Key) {
        if let Some(server) = self.servers.get_mut(key) {
            server.running -= 1;
        }
    }
}
