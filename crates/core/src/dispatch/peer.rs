//! What hosts tell each other of their generations and their waiting requests.

use super::{Dispatch, Server, ServerKey};
use crate::forecast;
use crate::time::Instant;
use chestnutrack_wire::frame::{DemandNews, EngineNews, News, RunNews};
use std::sync::Arc;
use std::time::Duration;

/// Age from which a peer's news says nothing any more: by then it has ended its generations, or
/// its engines have.
const FORGOTTEN: Duration = Duration::from_secs(10);

/// Age from which a peer's news are overdue: longer than its heartbeat.
const OVERDUE: Duration = Duration::from_millis(600);

/// How long a failure makes a server the last choice.
const DOUBTFUL_FOR: Duration = Duration::from_millis(1_000);
/// How long what a peer tells of failing servers counts.
const SUSPECTED_FOR: Duration = Duration::from_millis(1_000);

/// What a peer has told.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    at: Instant,
    engines: Vec<EngineNews>,
    /// Ages of its waiting requests when it told, in milliseconds.
    waiting: Vec<u32>,
    /// Servers that it passes over.
    failing: Vec<Arc<str>>,
    /// Servers that failed it lately.
    doubtful: Vec<Arc<str>>,
    /// What its requests are like.
    demand: Vec<DemandNews>,
}

impl Peer {
    /// Its generations, grown since it told of them.
    pub(super) fn runs<T>(
        &self,
        now: Instant,
        dispatch: &Dispatch<T>,
    ) -> Vec<(ServerKey, forecast::Generation)> {
        let age = now.since(self.at);
        if age >= FORGOTTEN {
            return Vec::new();
        }
        let millis = age.as_secs_f64() * 1_000.0;
        let mut runs = Vec::new();
        for engine in &self.engines {
            let Some(&key) = dispatch.names.get(&engine.server) else { continue };
            let more = millis * dispatch.servers[key].tokens_per_ms;
            runs.extend(engine.runs.iter().map(|run| (key, run_of(*run).grown_by(more))));
        }
        runs
    }

    /// Prompt tokens that it waits for to be prefilled at an engine that prefills so many in a
    /// millisecond. It tells of each prompt that was prefilled, so that what it told holds until its next
    /// news are overdue.
    pub(super) fn prefilling(&self, now: Instant, server: &str, per_ms: f64) -> f64 {
        let told = self.engines.iter().find(|engine| &*engine.server == server);
        let overdue = now.since(self.at).saturating_sub(OVERDUE);
        let done = overdue.as_secs_f64() * 1_000.0 * per_ms;
        told.map_or(0.0, |engine| (f64::from(engine.prefilling) - done).max(0.0))
    }

    /// How many of its waiting requests are older than one that arrived then.
    pub(super) fn ahead(&self, now: Instant, arrived: Instant) -> usize {
        let (age, since) = (now.since(arrived), now.since(self.at));
        let older = |told: &&u32| Duration::from_millis(u64::from(**told)) + since > age;
        self.waiting.iter().filter(older).count()
    }

    /// What its requests to a service are like.
    pub(super) fn demand(&self, service: &str) -> Option<&DemandNews> {
        self.demand.iter().find(|demand| &*demand.service == service)
    }

    /// How many requests wait there.
    pub(super) fn waiting(&self) -> usize {
        self.waiting.len()
    }
}

fn run_of(run: RunNews) -> forecast::Generation {
    forecast::Generation {
        context: f64::from(run.context),
        generated: f64::from(run.made),
        expected: f64::from(run.expected),
        max_tokens: f64::from(run.most),
    }
}

fn count(tokens: f64) -> u32 {
    tokens.clamp(0.0, f64::from(u32::MAX)) as u32
}

impl<T> Dispatch<T> {
    /// What this host tells of its generations.
    pub fn engine_reports(&self) -> Vec<EngineNews> {
        let mut news: Vec<EngineNews> = Vec::new();
        for (key, server) in &self.servers {
            let runs = self.runs.values().filter(|run| run.decode == key);
            let runs: Vec<RunNews> = runs
                .map(|run| RunNews {
                    context: count(run.memory.context),
                    made: count(run.memory.generated),
                    expected: count(run.memory.expected),
                    most: count(run.memory.max_tokens),
                })
                .collect();
            if runs.is_empty() && server.prefilling == 0 {
                continue;
            }
            news.push(EngineNews {
                server: server.entry.name.clone(),
                runs,
                prefilling: u32::try_from(server.prefilling).unwrap_or(u32::MAX),
            });
        }
        news
    }

    /// What this host tells of its waiting requests: their ages, in milliseconds, the oldest first.
    pub fn waiting_ages_ms(&self, now: Instant) -> Vec<u32> {
        let age = |arrived| u32::try_from(now.since(arrived).as_millis()).unwrap_or(u32::MAX);
        let mut ages: Vec<u32> = self.queue.arrivals().map(age).collect();
        ages.sort_unstable_by(|left, right| right.cmp(left));
        ages.truncate(super::admission::AHEAD_MAX);
        ages
    }

    /// Takes in what a peer tells.
    pub fn update_peer(&mut self, now: Instant, peer: &Arc<str>, news: &News) {
        let peer_news = Peer {
            at: now,
            engines: news.engines.clone(),
            waiting: news.waiting.clone(),
            failing: news.failing.clone(),
            doubtful: news.doubtful.clone(),
            demand: news.demand.clone(),
        };
        self.peers.insert(peer.clone(), peer_news);
    }

    /// Age of the oldest news of a peer that count.
    pub(super) fn report_age(&self, now: Instant) -> Duration {
        let ages = self.peers.values().map(|peer| now.since(peer.at));
        ages.filter(|age| *age < FORGOTTEN).max().unwrap_or_default()
    }

    /// Forgets a peer whose process is gone: its connections to engines are closed.
    pub fn remove_peer(&mut self, peer: &str) {
        self.peers.remove(peer);
    }

    /// Servers that this host passes over: they fail, or others stand at their addresses.
    pub fn failing_servers(&self, now: Instant) -> Vec<Arc<str>> {
        let fails = |server: &&Server| server.health.is_failing(now) || server.replaced;
        let failing = self.servers.values().filter(fails);
        failing.map(|server| server.entry.name.clone()).collect()
    }

    /// Servers that failed this host lately.
    pub fn recently_failed_servers(&self, now: Instant) -> Vec<Arc<str>> {
        let doubtful =
            self.servers.values().filter(|server| server.health.failed_within(now, DOUBTFUL_FOR));
        doubtful.map(|server| server.entry.name.clone()).collect()
    }

    /// Whether a peer passes a server over.
    pub(super) fn is_suspected(&self, now: Instant, server: &Server) -> bool {
        self.fresh_peers(now).any(|peer| peer.failing.contains(&server.entry.name))
    }

    /// Whether a server failed this host or a peer lately.
    pub(super) fn is_doubtful(&self, now: Instant, server: &Server) -> bool {
        server.health.failed_within(now, DOUBTFUL_FOR)
            || self.fresh_peers(now).any(|peer| peer.doubtful.contains(&server.entry.name))
    }

    fn fresh_peers(&self, now: Instant) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |peer| now.since(peer.at) < SUSPECTED_FOR)
    }
}
