//! JSON pages for operators: members, configuration and limits.

use chestnutrack_core::config::Config;
use chestnutrack_core::limit::Status;
use chestnutrack_core::member::{Membership, Peer};
use chestnutrack_core::time::Instant;
use serde_json::{Value, json};

/// The pages, rendered at one moment.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pages {
    members: Value,
    configuration: Value,
    limits: Value,
}

impl Pages {
    /// Renders the pages from a member's state; the configuration is shown as not trusted until
    /// [`Pages::with_trusted`] is called.
    pub(crate) fn new(
        now: Instant,
        membership: &Membership,
        divisor: Option<u32>,
        config: &Config,
        statuses: &[Status],
        platform_up: bool,
    ) -> Pages {
        let peers: Vec<_> = membership.peers().map(|peer| peer_value(now, peer)).collect();
        let me = membership.me();
        let members = json!({
            "name": me.name,
            "incarnation": me.incarnation,
            "version": membership.version(),
            "listed": membership.is_listed(),
            "current": membership.is_current(now),
            "share": divisor.map(|divisor| format!("1/{divisor}")),
            "platform_up": platform_up,
            "peers": peers,
        });
        let confirmed = config.confirmation_age(now);
        let configuration = json!({
            "version": config.version(),
            "confirmed_ms_ago": confirmed.and_then(|ago| u64::try_from(ago.as_millis()).ok()),
            "trusted": false,
        });
        let limits: Vec<_> = statuses.iter().map(status_value).collect();
        Pages { members, configuration, limits: json!({ "organisations": limits }) }
    }

    /// Sets whether the configuration page shows the configuration as trusted.
    pub(crate) fn with_trusted(mut self, trusted: bool) -> Pages {
        self.configuration["trusted"] = Value::Bool(trusted);
        self
    }

    /// Returns the page at a path, or `None` if there is none.
    pub(crate) fn get(&self, path: &str) -> Option<Value> {
        match path {
            "/v1/members" => Some(self.members.clone()),
            "/v1/configuration" => Some(self.configuration.clone()),
            "/v1/limits" => Some(self.limits.clone()),
            _ => None,
        }
    }
}

/// Returns the entry of a peer on the members page.
fn peer_value(now: Instant, peer: &Peer) -> Value {
    json!({
        "name": peer.member.identity.name,
        "incarnation": peer.member.identity.incarnation,
        "address": peer.member.address,
        "vouched_for_ms": peer.vouched_until.map(|until| now.millis_until(until)),
        "needed": peer.vouch_required,
        "dead": peer.dead,
        "silent_ms": u64::try_from(now.since(peer.last_heartbeat).as_millis()).ok(),
        "members_version": peer.table_version,
        "configuration_version": peer.configuration_version,
    })
}

/// Returns the entry of an organisation on the limits page.
fn status_value(status: &Status) -> Value {
    json!({
        "organisation": status.name,
        "available_tokens": status.available,
        "rate_tokens_per_s": status.rate,
        "burst_tokens": status.burst,
        "waiting": status.waiting,
    })
}
